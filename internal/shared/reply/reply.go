// Package reply builds the answers of the HTTP API that both daemons give.
package reply

import (
	"encoding/json"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// Body is v in JSON, with a line end. It panics for what JSON can't express.
func Body(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return append(b, '\n')
}

// Problem is a refusal, or an answer that promises nothing; its kind goes by the status.
func Problem(status int, t config.ErrorBody) statemachine.Reply {
	t.Rejection = config.RejectionOf(status)
	r := statemachine.Reply{Status: status, Body: t.JSON()}
	if status == 503 {
		r.RetryAfter = tuning.RetryAfterMin
	}
	return r
}
