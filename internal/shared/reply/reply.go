// Package reply builds HTTP API responses that control daemons and proxies have in common. Start with Problem.
package reply

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// statusUnavailable is the HTTP status of a response to a call that can't be decided now and should be retried.
const statusUnavailable = 503

// Body encodes a value as JSON, followed by a newline. It panics if the value can't be encoded.
func Body(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "encode API response"))
	}
	return append(text, '\n')
}

// Problem returns the response to a call that is rejected or whose outcome is unknown. It derives the kind of rejection from
// the HTTP status and sets Retry-After for a 503.
func Problem(status int, body config.ErrorBody) statemachine.Reply {
	body.Rejection = config.RejectionOf(status)
	problem := statemachine.Reply{Status: status, Body: body.JSON()}
	if status == statusUnavailable {
		problem.RetryAfter = tuning.RetryAfterMin
	}
	return problem
}
