// This file classes refusals by what their reader can do about them.

package config

import "net/http"

// Rejection says what a refused call needs before it can succeed. It stands in the
// body of every refusal on the operators' interface, beside the code that names
// the particular cause.
type Rejection string

// The kinds of refusals.
const (
	// RejectedVersion means that the change was built on another version than the present one.
	// Nothing of it is in force. Read the present one and build on that.
	RejectedVersion Rejection = "another_version"
	// RejectedInvalid means that the call itself is wrong, and would be at any time and at any daemon.
	RejectedInvalid Rejection = "invalid"
	// RejectedUndecided means that this daemon can't judge the call now. "ran" says whether it may
	// have taken effect. Send the same call again, with the same id, to any daemon.
	RejectedUndecided Rejection = "cannot_tell"
	// RejectedConflict means that the call is sound but does not fit what the fleet is doing now.
	RejectedConflict Rejection = "conflict"
	// RejectedNotFound means that what the call names does not exist.
	RejectedNotFound Rejection = "not_found"
)

// RejectionOf classes an HTTP status of the operators' interface; "" for a status that
// is no refusal, or that this interface does not use.
func RejectionOf(status int) Rejection {
	switch status {
	case http.StatusPreconditionFailed:
		return RejectedVersion
	case http.StatusBadRequest, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity, http.StatusPreconditionRequired:
		return RejectedInvalid
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return RejectedUndecided
	case http.StatusConflict:
		return RejectedConflict
	case http.StatusNotFound:
		return RejectedNotFound
	}
	return ""
}
