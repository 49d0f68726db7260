// Package reply builds the answers of the HTTP API that control daemons and proxies give alike. It decides
// nothing about a call. Begin with Problem.
package reply

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// statusUnavailable is the HTTP status of an answer that promises nothing.
const statusUnavailable = 503

// Body is a value in JSON with a line end. It panics for a value that JSON can't express.
func Body(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "answer of the API"))
	}
	return append(text, '\n')
}

// Problem is the answer to a call that is rejected, or that promises nothing. The kind of rejection follows
// from the HTTP status; a 503 says after which time to ask again.
func Problem(status int, body config.ErrorBody) statemachine.Reply {
	body.Rejection = config.RejectionOf(status)
	problem := statemachine.Reply{Status: status, Body: body.JSON()}
	if status == statusUnavailable {
		problem.RetryAfter = tuning.RetryAfterMin
	}
	return problem
}
