// This file has the loop over a request's targets: what follows each attempt, and which error the caller gets
// if none brings a response. Which target is next, and whether there is one, is the owner's decision.

package reverseproxy

import (
	"net/http"
	"strings"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// idSpread is a multiplier that spreads consecutive ids over all values (Knuth's multiplicative hashing).
const idSpread = 2654435761

// forward carries out the owner's commands for the request, the first of which it is given, until the caller has a
// response.
func (q *request) forward(command statemachine.Command) {
	for {
		if command == nil {
			q.abort() // the caller left while the owner was asked, which knows it
		}
		if rejection, ok := command.(statemachine.Reject); ok {
			q.reject(&rejection)
			return
		}
		target := command.(statemachine.Forward)
		sent, over := q.tryTarget(&target)
		if over {
			return
		}
		command = q.forwarder.owner.Ask(q.incoming.Context(), q.id, statemachine.Retry{ID: q.id, Sent: sent})
	}
}

// reject answers a request for which the owner has no target, or no other one.
func (q *request) reject(rejection *statemachine.Reject) {
	if q.passFallback() {
		return
	}
	failed := requestError{rejection.Status, rejection.RetryAfter, rejection.Code, rejection.Message}
	if q.lastError != nil {
		failed.code = q.lastError.code
		failed.message += "; before that: " + q.lastError.code
		if q.errorStatus != 0 {
			failed.status = q.errorStatus
		}
		if failed.retryAfter == 0 {
			failed.retryAfter = tuning.RetryAfterMin
		}
	}
	if len(rejection.Allowed) > 0 {
		q.writer.Header().Set("Allow", strings.Join(rejection.Allowed, ", "))
	}
	q.fail(&failed, q.ran)
}

// tryTarget makes an attempt at a target. It returns whether something of the request may have come there, and
// whether the request is over.
func (q *request) tryTarget(target *statemachine.Forward) (sent, over bool) {
	q.service = target.Service
	if !q.limitBody(target) {
		q.returnTarget()
		q.fail(errBodyTooLarge, config.RanNo)
		return false, true
	}
	idempotent := isIdempotent(target, q.incoming.Method)
	if q.pipelined != nil && !idempotent { // the owner gives these no target; nothing is sent in any case
		q.returnTarget()
		q.pipelined.deferred = true
		return false, true
	}
	result := q.attempt(target, idempotent)
	return result.sent, q.conclude(&result, idempotent)
}

// limitBody sets the limit of the service on the request's body. It returns false if that is exceeded already.
func (q *request) limitBody(target *statemachine.Forward) bool {
	limit := q.forwarder.maxBodyBytes(&target.ServiceConfig)
	q.body.remaining = limit - int64(len(q.body.buffered))
	return q.incoming.ContentLength <= limit && q.body.remaining >= 0
}

// returnTarget tells the owner that the request does not use its target.
func (q *request) returnTarget() {
	q.forwarder.owner.Notify(statemachine.AttemptDone{ID: q.id, Outcome: statemachine.ClientGone, Last: true})
}

// isIdempotent reports whether a request may run more than once: by its route, and without one by its method.
func isIdempotent(target *statemachine.Forward, method string) bool {
	if target.Route.Kind == "" {
		return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	}
	return target.Route.Idempotent()
}

// conclude ends the request after an attempt, unless another attempt may follow. It returns whether the request is
// over.
func (q *request) conclude(result *attemptResult, idempotent bool) (over bool) {
	switch {
	case result.status != 0:
		q.countServed(result)
		return true
	case q.body.callerGone(q.incoming):
		if result.outcome != statemachine.ClientGone {
			q.forwarder.owner.Notify(statemachine.Cancel{ID: q.id})
		}
		q.abort()
	case q.body.tooLarge:
		q.fail(errBodyTooLarge, config.RanUnknown)
		return true
	case q.body.aborted:
		q.fail(errBodyIncomplete, config.RanUnknown)
		return true
	}
	q.noteFailure(result)
	if !result.deadlineExceeded && (!result.ran || idempotent) && !q.body.restRead {
		return false
	}
	q.forwarder.owner.Notify(statemachine.Cancel{ID: q.id, Failed: true})
	if !q.passFallback() {
		q.failAfter(result)
	}
	return true
}

// countServed counts a request whose response was passed on, and ends its caller's connection if it was truncated.
func (q *request) countServed(result *attemptResult) {
	q.status = result.status
	q.forwarder.Counts.Served.Add(1)
	if result.truncated {
		q.forwarder.Counts.Truncated.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// noteFailure keeps what a failed attempt means for the error that the caller may get.
func (q *request) noteFailure(result *attemptResult) {
	q.lastError = result.err
	if result.ran {
		q.ran = config.RanUnknown
		q.errorStatus = http.StatusBadGateway
		if result.deadlineExceeded {
			q.errorStatus = http.StatusGatewayTimeout
		}
	}
	if q.fallback == nil {
		q.fallback = result.fallback
	}
}

// passFallback passes a target's own failure on to the caller, and returns false if there is none.
func (q *request) passFallback() bool {
	if q.fallback == nil {
		return false
	}
	q.status = q.fallback.http.StatusCode
	q.forwarder.Counts.Served.Add(1)
	q.fallback.writeTo(q.writer, q.incoming.Method)
	return true
}

// failAfter answers with the error of the last attempt. When to come back differs by request, so that callers do
// not come back at once.
func (q *request) failAfter(result *attemptResult) {
	status := q.errorStatus
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	spread := time.Duration(q.id*idSpread>>8) % tuning.RetryAfterSpan
	q.fail(&requestError{status, tuning.RetryAfterMin + spread, result.err.code, result.err.message}, q.ran)
}
