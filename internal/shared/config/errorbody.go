package config

import "encoding/json"

// RanStatus is whether a request that got an error response ran at a target, or a change took effect.
type RanStatus string

// Values of RanStatus.
const (
	RanNo      RanStatus = "no"      // it did not run or take effect
	RanUnknown RanStatus = "unknown" // it may have run or taken effect
)

// ErrorBody is the body of every error response of a daemon.
type ErrorBody struct {
	// Code is the machine-readable cause, such as no_leader.
	Code string `json:"code"`
	// Rejection is the kind of rejection: what must change before the call can succeed. It is set on the operators'
	// interface only.
	Rejection Rejection `json:"refusal,omitempty"`
	// Message is the human-readable cause.
	Message string `json:"message"`
	// Ran is whether the request ran. Default: RanNo.
	Ran RanStatus `json:"ran"`
	// Faults are the faults of the document in the request, if it has any.
	Faults []Fault `json:"faults,omitempty"`
	// Revision is the revision of the configuration in force, 0 if it is not reported.
	Revision uint64 `json:"revision,omitempty"`
	// ID is the id of the change, "" if the call is not a change.
	ID string `json:"id,omitempty"`
}

// JSON returns the body as it is sent: an object with the single field "error", followed by a newline.
func (b ErrorBody) JSON() []byte {
	if b.Ran == "" {
		b.Ran = RanNo
	}
	body, _ := json.Marshal(struct {
		Error ErrorBody `json:"error"`
	}{b})
	return append(body, '\n')
}
