// This file is the body of an error answer.

package model

import "encoding/json"

// Trouble is the one shape of every error that a daemon answers with. Ran says
// whether the request reached a back end: no, or unknown.
type Trouble struct {
	Code     string  `json:"code"`
	Message  string  `json:"message"`
	Ran      string  `json:"ran"`
	Faults   []Fault `json:"faults,omitempty"`
	Revision uint64  `json:"revision,omitempty"`
	Id       string  `json:"id,omitempty"`
}

// JSON wraps t as the body of an answer.
func (t Trouble) JSON() []byte {
	if t.Ran == "" {
		t.Ran = "no"
	}
	b, _ := json.Marshal(struct {
		Error Trouble `json:"error"`
	}{t})
	return append(b, '\n')
}
