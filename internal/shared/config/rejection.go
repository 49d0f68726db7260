package config

import "net/http"

// Rejection says what a rejected call needs before it can succeed. It is part of the body of every
// rejection on the operators' interface, beside the code, which names the particular cause.
type Rejection string

// The kinds of rejections.
const (
	// RejectedVersion means that the change was based on another version than the present one. Nothing of
	// it is in force. Read the present version and base the change on that.
	RejectedVersion Rejection = "another_version"
	// RejectedInvalid means that the call itself is wrong, and would be at any time and at any daemon.
	RejectedInvalid Rejection = "invalid"
	// RejectedUndecided means that this daemon can't decide on the call now. The body's Ran says whether it
	// may have taken effect. Retry with the same id, at any daemon.
	RejectedUndecided Rejection = "cannot_tell"
	// RejectedConflict means that the call is valid but conflicts with what the fleet is doing now.
	RejectedConflict Rejection = "conflict"
	// RejectedNotFound means that what the call names does not exist.
	RejectedNotFound Rejection = "not_found"
)

// RejectionOf returns the kind of rejection for an HTTP status of the operators' interface; "" for a
// status that is no rejection or that this interface does not use.
func RejectionOf(status int) Rejection {
	switch status {
	case http.StatusPreconditionFailed:
		return RejectedVersion
	case http.StatusBadRequest, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity, http.StatusPreconditionRequired:
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
