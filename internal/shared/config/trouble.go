// This file is the body of an error answer.

package config

import "encoding/json"

// ErrorBody is the one shape of every error that a daemon answers with.
type ErrorBody struct {
	Code      string    `json:"code"`               // for programs, such as no_leader
	Rejection Rejection `json:"refusal,omitempty"`  // set on the operators' interface
	Message   string    `json:"message"`            // for people
	Ran       string    `json:"ran"`                // whether the request ran at a back end: no (if empty), or unknown
	Faults    []Fault   `json:"faults,omitempty"`   // of the document that was sent
	Revision  uint64    `json:"revision,omitempty"` // of the configuration in force
	ID        string    `json:"id,omitempty"`       // of the change
}

// JSON returns the body of an answer: an object whose only field, error, is t.
func (t ErrorBody) JSON() []byte {
	if t.Ran == "" {
		t.Ran = "no"
	}
	b, _ := json.Marshal(struct {
		Error ErrorBody `json:"error"`
	}{t})
	return append(b, '\n')
}
