package config

import "encoding/json"

// Ran says whether the request of an error response ran at a target, or the change was made.
type Ran string

// What an error response says of its request.
const (
	RanNo      Ran = "no"      // it did not run
	RanUnknown Ran = "unknown" // it may have run
)

// ErrorBody is the body of every error response of a daemon.
type ErrorBody struct {
	// Code names the cause for programs, such as no_leader.
	Code string `json:"code"`
	// Rejection says what the call needs before it can succeed. Set on the operators' interface only.
	Rejection Rejection `json:"refusal,omitempty"`
	// Message is for people.
	Message string `json:"message"`
	// Ran says whether the request ran. Default: RanNo.
	Ran Ran `json:"ran"`
	// Faults are those of the document that was sent.
	Faults []Fault `json:"faults,omitempty"`
	// Revision is that of the configuration in force.
	Revision uint64 `json:"revision,omitempty"`
	// ID is the id of the change.
	ID string `json:"id,omitempty"`
}

// JSON returns the body as it is sent: an object with the one field error, and a newline.
func (b ErrorBody) JSON() []byte {
	if b.Ran == "" {
		b.Ran = RanNo
	}
	body, _ := json.Marshal(struct {
		Error ErrorBody `json:"error"`
	}{b})
	return append(body, '\n')
}
