package statemachine

// HTTP status codes (RFC 9110) that state machines return or check. They are defined here since state machines import
// no package that does I/O, such as net/http.
const (
	StatusBadRequest            = 400
	StatusNotFound              = 404
	StatusMethodNotAllowed      = 405
	StatusPreconditionFailed    = 412
	StatusRequestEntityTooLarge = 413
	StatusUnprocessableEntity   = 422
	StatusPreconditionRequired  = 428
	StatusInternalServerError   = 500
	StatusBadGateway            = 502
	StatusServiceUnavailable    = 503
	StatusGatewayTimeout        = 504
)
