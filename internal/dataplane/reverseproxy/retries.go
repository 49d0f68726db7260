// This file implements the loop over a request's targets. It decides whether another attempt may follow and which error
// the caller gets if no attempt succeeds. The state machine decides whether there is another target, and which one.

package reverseproxy

import (
	"net/http"
	"strings"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// hashMultiplier is the multiplier of Knuth's multiplicative hashing, which spreads consecutive ids over all values.
const hashMultiplier = 2654435761

// forward carries out the state machine's commands for the request, starting with the given one, until the caller has a
// response.
func (q *request) forward(command statemachine.Command) {
	for {
		if command == nil {
			q.abort() // the caller disconnected; Ask has notified the state machine
		}
		if rejection, ok := command.(statemachine.Reject); ok {
			q.reject(&rejection)
			return
		}
		target := command.(statemachine.Forward)
		sent, ended := q.tryTarget(&target)
		if ended {
			return
		}
		command = q.forwarder.stateMachine.Ask(q.incoming.Context(), q.id, statemachine.Retry{ID: q.id, Sent: sent})
	}
}

// reject responds to a request for which the state machine has no target, or no further one.
func (q *request) reject(rejection *statemachine.Reject) {
	if q.passFallback() {
		return
	}
	reqErr := requestError{rejection.Status, rejection.RetryAfter, rejection.Code, rejection.Message}
	if q.lastError != nil {
		reqErr.code = q.lastError.code
		reqErr.message += "; the previous attempt failed with: " + q.lastError.code
		if q.errorStatus != 0 {
			reqErr.status = q.errorStatus
		}
		if reqErr.retryAfter == 0 {
			reqErr.retryAfter = tuning.RetryAfterMin
		}
	}
	if len(rejection.Allowed) > 0 {
		q.writer.Header().Set("Allow", strings.Join(rejection.Allowed, ", "))
	}
	q.fail(&reqErr, q.ran)
}

// tryTarget attempts to send the request to a target. sent means that part of the request may have reached the target;
// ended means that the request has ended.
func (q *request) tryTarget(target *statemachine.Forward) (sent, ended bool) {
	q.service = target.Service
	if !q.limitBody(target) {
		q.returnTarget()
		q.fail(errBodyTooLarge, config.RanNo)
		return false, true
	}
	idempotent := isIdempotent(target, q.incoming.Method)
	// The state machine rejects pipelined requests that are not idempotent. Checking again ensures that none is ever
	// sent.
	if q.pipelined != nil && !idempotent {
		q.returnTarget()
		q.pipelined.deferred = true
		return false, true
	}
	result := q.attempt(target, idempotent)
	return result.sent, q.finishAttempt(&result, idempotent)
}

// limitBody applies the service's limit to the request's body. It returns false if the limit is already exceeded.
func (q *request) limitBody(target *statemachine.Forward) bool {
	limit := q.forwarder.maxBodyBytes(&target.ServiceConfig)
	q.body.remaining = limit - int64(len(q.body.buffered))
	return q.incoming.ContentLength <= limit && q.body.remaining >= 0
}

// returnTarget notifies the state machine that the request does not use the target that was chosen for it.
func (q *request) returnTarget() {
	q.forwarder.stateMachine.Notify(statemachine.AttemptDone{ID: q.id, Outcome: statemachine.ClientGone, Last: true})
}

// isIdempotent reports whether a request may run more than once. Its route decides, or its method if the route has no
// kind.
func isIdempotent(target *statemachine.Forward, method string) bool {
	if target.Route.Kind == "" {
		return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	}
	return target.Route.Idempotent()
}

// finishAttempt ends the request after an attempt, unless another attempt may follow. It reports whether the request
// has ended.
func (q *request) finishAttempt(result *attemptResult, idempotent bool) (ended bool) {
	switch {
	case result.status != 0:
		q.countServed(result)
		return true
	case q.body.callerGone(q.incoming):
		if result.outcome != statemachine.ClientGone {
			q.forwarder.stateMachine.Notify(statemachine.Cancel{ID: q.id})
		}
		q.abort()
	case q.body.tooLarge:
		q.fail(errBodyTooLarge, config.RanUnknown)
		return true
	case q.body.aborted:
		q.fail(errBodyIncomplete, config.RanUnknown)
		return true
	}
	q.recordFailure(result)
	if !result.deadlineExceeded && (!result.mayHaveRun || idempotent) && !q.body.restRead {
		return false
	}
	q.forwarder.stateMachine.Notify(statemachine.Cancel{ID: q.id, Failed: true})
	if !q.passFallback() {
		q.failWithResult(result)
	}
	return true
}

// countServed counts a request whose response was passed on. If the response was truncated, countServed panics with
// http.ErrAbortHandler, which closes the caller's connection. For HTTP/1.0 the end of the connection may be the end of the
// response, so the connection is reset.
func (q *request) countServed(result *attemptResult) {
	q.status = result.status
	q.forwarder.Counts.Served.Add(1)
	if result.truncated {
		q.forwarder.Counts.Truncated.Add(1)
		if conn := callerConnOf(q.incoming); conn != nil && !q.incoming.ProtoAtLeast(1, 1) {
			conn.reset()
		}
		panic(http.ErrAbortHandler)
	}
}

// recordFailure records what a failed attempt means for the error response that the caller may get.
func (q *request) recordFailure(result *attemptResult) {
	q.lastError = result.err
	if result.mayHaveRun {
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

// passFallback passes the fallback response on to the caller. It returns false if there is none.
func (q *request) passFallback() bool {
	if q.fallback == nil {
		return false
	}
	q.status = q.fallback.http.StatusCode
	q.forwarder.Counts.Served.Add(1)
	q.fallback.writeTo(q.writer, q.incoming.Method)
	return true
}

// failWithResult responds with the error of the last attempt. Retry-After differs by request, so that callers do not
// all retry at the same time.
func (q *request) failWithResult(result *attemptResult) {
	status := q.errorStatus
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	spread := time.Duration(q.id*hashMultiplier>>8) % tuning.RetryAfterSpan
	q.fail(&requestError{status, tuning.RetryAfterMin + spread, result.err.code, result.err.message}, q.ran)
}
