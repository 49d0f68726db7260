// This file defines the errors that the proxy itself responds with. Their codes and messages are part of the HTTP API.

package reverseproxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// requestError is the error response that ends a request.
type requestError struct {
	status     int
	retryAfter time.Duration // when the caller may retry, 0 for no Retry-After header
	code       string        // config.ErrorBody.Code
	message    string        // config.ErrorBody.Message
}

// Errors in callers' requests.
var (
	errHeaderTooLarge = &requestError{status: http.StatusRequestHeaderFieldsTooLarge, code: "header", message: "the header is too large"}
	errNotForwardable = badRequest("CONNECT and TRACE requests and ambiguous paths are not forwarded")
	errBodyIncomplete = badRequest("the body ended early")
	errBodyTooLarge   = &requestError{status: http.StatusRequestEntityTooLarge, code: "body", message: "the body exceeds the service's size limit"}
	errBodyTimeout    = &requestError{
		status: http.StatusRequestTimeout, retryAfter: tuning.RetryAfterMin,
		code: "late", message: "the body did not arrive before the request's deadline",
	}
	errBodyStopped = &requestError{
		status: http.StatusServiceUnavailable, retryAfter: tuning.RetryAfterMin,
		code: "stopping", message: "the body did not arrive before this proxy stopped accepting requests",
	}
)

// badRequest returns an error with status 400.
func badRequest(message string) *requestError {
	return &requestError{status: http.StatusBadRequest, code: "bad_request", message: message}
}

// Error returns the message for the caller.
func (e *requestError) Error() string { return e.message }

// attemptError is the reason why an attempt produced no response that could be passed on. The caller gets it if no
// other attempt follows.
type attemptError struct{ code, message string }

// Error returns the message for the caller.
func (e *attemptError) Error() string { return e.message }

// Errors that occur before any part of the request was written.
var (
	errNoConnection     = &attemptError{"closed", "no connection to the target"}
	errConnectionClosed = &attemptError{"closed", "the connection to the target was closed"}
	errConnectDeadline  = &attemptError{"late", "the deadline passed before a connection to the target was open"}
	errChoiceExpired    = &attemptError{"stale", "the choice of a target expired before anything was sent"}
	errWrongIdentity    = &attemptError{"foreign", "another target responded at the target's address"}
)

// Errors that occur after part of the request was written.
var (
	errResponseLost       = &attemptError{"lost", "the target's response was lost"}
	errResponseTruncated  = &attemptError{"lost", "the target's response was truncated"}
	errResponseDeadline   = &attemptError{"late", "no response before the deadline"}
	errMismatchedID       = &attemptError{"strange", "the target's response belongs to another request"}
	errUnverifiedResponse = &attemptError{"strange", "the response is not verified to come from the target"}
	errTargetUnreachable  = &attemptError{"dark", "the target became unreachable before it responded"}
	errTargetRejected     = &attemptError{"turned_away", "the target rejected the request without running it"}
	errTargetFailed       = &attemptError{"failed", "the target responded with a server error"}
	errAmbiguousStatus    = &attemptError{"unclear", "the target's status does not show whether the request ran"}
)

// Errors on a connection to a target. An attempt maps them to one of the errors above.
var (
	errInvalidResponse = errors.New("the target's response is not valid HTTP/1; check what listens at its address")
	errNotReusable     = errors.New("the target closes its connections after a response; have it keep them open")
)

// RetryAfter formats delay as the value of a Retry-After header. From one second on it is rounded up to whole seconds;
// a shorter delay has three decimal places and is at least 0.001.
func RetryAfter(delay time.Duration) string {
	if delay >= time.Second {
		return strconv.Itoa(int((delay + time.Second - 1) / time.Second))
	}
	return strconv.FormatFloat(max(0.001, delay.Seconds()), 'f', 3, 64)
}

// WriteError responds to a request with an error in the JSON format of all errors. retryAfter is when the caller may
// retry, 0 for no Retry-After header.
func WriteError(w http.ResponseWriter, status int, retryAfter time.Duration, body config.ErrorBody) {
	writeError(w, RanHeader, status, retryAfter, body)
}

// writeError is WriteError with a given name of the header that says whether the request ran.
func writeError(w http.ResponseWriter, ranHeader string, status int, retryAfter time.Duration, body config.ErrorBody) {
	if body.Ran == "" {
		body.Ran = config.RanNo
	}
	header := w.Header()
	if retryAfter > 0 {
		header.Set("Retry-After", RetryAfter(retryAfter))
	}
	header.Set(ranHeader, string(body.Ran))
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	text := body.JSON()
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	w.Write(text)
}
