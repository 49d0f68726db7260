// This file reads a target's response and decides what it means for the attempt.

package reverseproxy

import (
	"net/http"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// response is a target's response: complete, or its beginning with the rest to come.
type response struct {
	http     *http.Response
	buffered []byte // what was read of its body
	complete bool   // that is all of its body
}

// readResponse reads the response to the request that was written. It passes the response on, or says why it does
// not.
func (a *attempt) readResponse() attemptResult {
	defer a.release(false)
	if !a.awaitResponse() {
		a.request.forwarder.Counts.AbandonedUnreachable.Add(1)
		return a.lost(errTargetUnreachable)
	}
	received, err := a.conn.readHeader(a.request.incoming.Method)
	if err != nil {
		return a.lost(errResponseLost)
	}
	if mismatch := a.checkOrigin(received); mismatch != nil {
		a.request.forwarder.Counts.MismatchedResponses.Add(1)
		return a.lost(mismatch)
	}
	if value := received.Header.Get(a.request.forwarder.Headers.Load); value != "" {
		a.load = ParseLoad(value)
	}
	if a.target.ServiceConfig.HasHealthCheck() && received.StatusCode == http.StatusMisdirectedRequest {
		a.request.forwarder.Counts.WrongIdentity.Add(1)
		return attemptResult{sent: true, outcome: statemachine.WrongIdentity, err: errWrongIdentity}
	}
	resp, err := a.bufferBody(received)
	if a.isMarkedNotRun(received) {
		return a.rejectedByTarget(resp)
	}
	if err != nil {
		return a.lost(errResponseTruncated)
	}
	return a.useResponse(resp)
}

// awaitResponse waits until something comes. It returns false if the attempt is given up, because the target is
// unreachable and the request may go to another one.
func (a *attempt) awaitResponse() bool {
	if !a.idempotent || !a.target.MayRetry || a.request.body.rest != nil {
		return true
	}
	forwarder, id := a.request.forwarder, a.target.Target.ID()
	return a.conn.awaitResponse(a.request.incoming.Context(), a.deadline, func() bool { return forwarder.mayAbandon(id) })
}

// checkOrigin returns what shows that a response is not to the request or not its target's, nil if nothing does.
func (a *attempt) checkOrigin(received *http.Response) *attemptError {
	headers := &a.request.forwarder.Headers
	if id := a.requestID(); id != "" && received.Header.Get(headers.Attempt) != id {
		return errResponseOfAnother
	}
	if received.StatusCode >= http.StatusMultipleChoices {
		return nil
	}
	if headers.Proof != "" && received.Header.Get(headers.Proof) == "" || a.isMarkedNotRun(received) {
		return errResponseNotTargets
	}
	return nil
}

// isMarkedNotRun reports whether a response says that the target did not run the request.
func (a *attempt) isMarkedNotRun(received *http.Response) bool {
	return received.Header.Get(a.request.forwarder.Headers.NotRun) != ""
}

// bufferBody reads the response's body, up to tuning.ResponseBufferMax bytes, unless that may stream from the start.
func (a *attempt) bufferBody(received *http.Response) (*response, error) {
	resp := &response{http: received}
	var err error
	switch {
	case !a.mayStream(received):
		resp.buffered, resp.complete, err = readComplete(received, tuning.ResponseBufferMax)
	case received.Body == http.NoBody:
		resp.complete = true
	}
	return resp, err
}

// mayStream reports whether a response is passed on before its end: it has no length, so it may last for as long as
// it likes, and nothing in its header needs its end for a decision.
func (a *attempt) mayStream(received *http.Response) bool {
	return received.ContentLength < 0 && !a.target.ServiceConfig.HasHealthCheck() &&
		!a.isMarkedNotRun(received) && !(a.idempotent && isServerError(received))
}

// rejectedByTarget says what a response means whose target did not run the request.
func (a *attempt) rejectedByTarget(resp *response) attemptResult {
	a.request.forwarder.Counts.TargetRejected.Add(1)
	a.release(resp.complete && !resp.http.Close)
	return attemptResult{sent: true, outcome: statemachine.TargetRejected, err: errTargetRejected, load: a.load}
}

// useResponse passes a response on that is the target's own, or keeps it as a fallback.
func (a *attempt) useResponse(resp *response) attemptResult {
	outcome := statemachine.Served
	if isServerError(resp.http) {
		outcome = statemachine.ServerError
	}
	if a.target.ServiceConfig.HasHealthCheck() && !a.idempotent && promisesNotRun(resp.http.StatusCode) {
		// To a caller it would say that nothing ran, which its target has not said.
		a.release(resp.complete && !resp.http.Close)
		return attemptResult{sent: true, ran: true, outcome: statemachine.ServerError, err: errTargetFailedUnclear, load: a.load}
	}
	if !resp.complete {
		return a.stream(resp, outcome)
	}
	a.release(!resp.http.Close)
	if a.mayDoBetter(resp.http) {
		return attemptResult{sent: true, ran: true, outcome: outcome, fallback: resp, err: errTargetFailed, load: a.load}
	}
	result := attemptResult{status: resp.http.StatusCode, outcome: outcome, load: a.load}
	a.report(&result, true) // the target is free, however slowly the caller reads
	resp.writeTo(a.request.writer, a.request.incoming.Method)
	return result
}

// mayDoBetter reports whether another target may serve the request after a target's own failure. A target's
// time-out is its answer, and a further attempt needs time.
func (a *attempt) mayDoBetter(received *http.Response) bool {
	return isServerError(received) && a.idempotent && a.target.Route.Kind != "" &&
		received.StatusCode != http.StatusGatewayTimeout && time.Until(a.deadline) > tuning.RetryTimeMin
}

// stream passes a response on as it comes.
func (a *attempt) stream(resp *response, outcome statemachine.Outcome) attemptResult {
	result := attemptResult{status: resp.http.StatusCode, outcome: outcome, load: a.load}
	if err := resp.writeTo(a.request.writer, a.request.incoming.Method); err != nil {
		result.truncated = true
		result.outcome = statemachine.ResponseLost
		if a.request.body.callerGone(a.request.incoming) {
			result.outcome = statemachine.ClientGone
		}
		return result
	}
	a.release(!resp.http.Close)
	return result
}

// lost says what an attempt means whose response did not come, not completely, or not from its target.
func (a *attempt) lost(reason *attemptError) attemptResult {
	a.release(false)
	result := attemptResult{sent: true, ran: true, outcome: statemachine.ResponseLost, err: reason, load: a.load}
	body := a.request.body
	switch {
	case body.callerGone(a.request.incoming) || body.aborted || body.tooLarge:
		result.outcome = statemachine.ClientGone
	case a.pastDeadline():
		result.deadlineExceeded, result.err = true, errResponseDeadline
	}
	return result
}

// mayAbandon reports whether a request that may be repeated need not wait for a target any longer. A draining proxy
// waits: it may not find another target in the time that it has left, and planned work is no reason to end a
// response sooner.
func (f *Forwarder) mayAbandon(id wire.TargetID) bool {
	return !f.Draining.Load() && f.pool.isUnreachable(id)
}

// isServerError reports whether a response says that the target failed.
func isServerError(received *http.Response) bool {
	return received.StatusCode >= http.StatusInternalServerError
}

// promisesNotRun reports whether a status tells callers that nothing ran.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
