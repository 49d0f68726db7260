package config

import "net/http"

// Rejection is the kind of a rejection, which tells the caller how to proceed. Every error body on the operators'
// interface contains it, in addition to the code for the specific cause.
type Rejection string

// Kinds of rejections.
const (
	// RejectedVersion means that the change is based on another version than the current one and did not take effect.
	// The caller should read the current version and base the change on it.
	RejectedVersion Rejection = "another_version"
	// RejectedInvalid means that the call itself is invalid, at any time and at any daemon.
	RejectedInvalid Rejection = "invalid"
	// RejectedUndecided means that this daemon can't decide on the call now. ErrorBody.Ran tells whether the call may
	// have taken effect. The caller should retry with the same id, at any daemon.
	RejectedUndecided Rejection = "cannot_tell"
	// RejectedConflict means that the call is valid but conflicts with the current state of the fleet.
	RejectedConflict Rejection = "conflict"
	// RejectedNotFound means that an object named in the call does not exist.
	RejectedNotFound Rejection = "not_found"
)

// RejectionOf returns the kind of rejection for an HTTP status on the operators' interface, "" for a status that is not a
// rejection or is not used on this interface.
func RejectionOf(status int) Rejection {
	switch status {
	case http.StatusPreconditionFailed:
		return RejectedVersion
	case http.StatusBadRequest, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity, http.StatusPreconditionRequired:
		return RejectedInvalid
	case http.StatusRequestTimeout, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return RejectedUndecided
	case http.StatusConflict:
		return RejectedConflict
	case http.StatusNotFound:
		return RejectedNotFound
	}
	return ""
}
