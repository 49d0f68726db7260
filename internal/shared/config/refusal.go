// This file classes refusals by what their reader can do about them.

package config

import "net/http"

// Refusal says what a refused call needs before it can succeed. It stands in the
// body of every refusal on the operators' interface, beside the code that names
// the particular cause.
type Refusal string

// The kinds of refusals.
const (
	// RefusedVersion means that the change was built on another version than the present one.
	// Nothing of it is in force. Read the present one and build on that.
	RefusedVersion Refusal = "another_version"
	// RefusedInvalid means that the call itself is wrong, and would be at any time and at any daemon.
	RefusedInvalid Refusal = "invalid"
	// RefusedCannotTell means that this daemon can't judge the call now. "ran" says whether it may
	// have taken effect. Send the same call again, with the same id, to any daemon.
	RefusedCannotTell Refusal = "cannot_tell"
	// RefusedConflict means that the call is sound but does not fit what the fleet is doing now.
	RefusedConflict Refusal = "conflict"
	// RefusedNotFound means that what the call names does not exist.
	RefusedNotFound Refusal = "not_found"
)

// RefusalOf classes an HTTP status of the operators' interface; "" for a status that
// is no refusal, or that this interface does not use.
func RefusalOf(status int) Refusal {
	switch status {
	case http.StatusPreconditionFailed:
		return RefusedVersion
	case http.StatusBadRequest, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity, http.StatusPreconditionRequired:
		return RefusedInvalid
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return RefusedCannotTell
	case http.StatusConflict:
		return RefusedConflict
	case http.StatusNotFound:
		return RefusedNotFound
	}
	return ""
}
