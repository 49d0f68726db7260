package statemachine

// HTTP status codes (RFC 9110) that state machines answer with or look at. They stand here since a state machine
// imports nothing that does I/O, and so not package net/http.
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
