// This file reads a target's response and decides what it means for the attempt.

package reverseproxy

import (
	"net/http"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// response is a target's response of which the whole body or a first part, possibly empty, has been read.
type response struct {
	http     *http.Response
	buffered []byte // part of the body that has been read
	complete bool   // buffered is the whole body
}

// readResponse reads the response to the request that was written. It passes the response on, or returns why it does
// not.
func (a *attempt) readResponse() attemptResult {
	defer a.release(false)
	if !a.awaitResponse() {
		a.request.forwarder.Counts.AbandonedUnreachable.Add(1)
		return a.responseLost(errTargetUnreachable)
	}
	received, err := a.conn.readHeader(a.request.incoming.Method)
	if err != nil {
		return a.responseLost(errResponseLost)
	}
	if mismatch := a.checkOrigin(received); mismatch != nil {
		a.request.forwarder.Counts.MismatchedResponses.Add(1)
		return a.responseLost(mismatch)
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
		return a.responseLost(errResponseTruncated)
	}
	return a.useResponse(resp)
}

// awaitResponse waits until the first byte of the response can be read or reading fails. It returns false if the
// attempt should be abandoned, because the target is unreachable and the request may be sent to another one.
func (a *attempt) awaitResponse() bool {
	if !a.idempotent || !a.target.MayRetry || a.request.body.rest != nil {
		return true
	}
	forwarder, id := a.request.forwarder, a.target.Target.ID()
	return a.conn.awaitResponse(a.request.incoming.Context(), a.deadline, func() bool { return forwarder.mayAbandon(id) })
}

// checkOrigin checks that a response belongs to the request and comes from the target. It returns nil if it found
// nothing wrong.
func (a *attempt) checkOrigin(received *http.Response) *attemptError {
	headers := &a.request.forwarder.Headers
	if id := a.requestID(); id != "" && received.Header.Get(headers.Attempt) != id {
		return errMismatchedID
	}
	if received.StatusCode >= http.StatusMultipleChoices {
		return nil
	}
	if headers.Proof != "" && received.Header.Get(headers.Proof) == "" || a.isMarkedNotRun(received) {
		return errUnverifiedResponse
	}
	return nil
}

// isMarkedNotRun reports whether a response is marked with Headers.NotRun: the target did not run the request.
func (a *attempt) isMarkedNotRun(received *http.Response) bool {
	return received.Header.Get(a.request.forwarder.Headers.NotRun) != ""
}

// bufferBody reads up to tuning.ResponseBufferMax bytes of the response's body, unless the response may be streamed
// from the start.
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

// mayStream reports whether a response is streamed from the start: it has no length, so it may go on indefinitely, and
// its status and headers do not require the complete body for deciding what to do with it.
func (a *attempt) mayStream(received *http.Response) bool {
	return received.ContentLength < 0 && !a.target.ServiceConfig.HasHealthCheck() &&
		!a.isMarkedNotRun(received) && !(a.idempotent && isServerError(received))
}

// rejectedByTarget returns the result of an attempt whose response is marked as not run.
func (a *attempt) rejectedByTarget(resp *response) attemptResult {
	a.request.forwarder.Counts.TargetRejected.Add(1)
	a.release(resp.complete && !resp.http.Close && !a.isUploading())
	return attemptResult{sent: true, outcome: statemachine.TargetRejected, err: errTargetRejected, load: a.load}
}

// useResponse passes on the response of a target that has run the request, or returns it as a fallback.
func (a *attempt) useResponse(resp *response) attemptResult {
	outcome := statemachine.Served
	if isServerError(resp.http) {
		outcome = statemachine.ServerError
	}
	if a.target.ServiceConfig.HasHealthCheck() && !a.idempotent && impliesNotRun(resp.http.StatusCode) {
		// The status would tell the caller that the request did not run, but the target has not said so.
		a.release(resp.complete && !resp.http.Close && !a.isUploading())
		return attemptResult{sent: true, mayHaveRun: true, outcome: statemachine.ServerError, err: errAmbiguousStatus, load: a.load}
	}
	retries := a.mayRetryServerError(resp.http)
	if !resp.complete || a.isUploading() && !retries && !resp.http.Close {
		return a.stream(resp, outcome)
	}
	a.release(!resp.http.Close && !a.isUploading())
	if retries {
		return attemptResult{sent: true, mayHaveRun: true, outcome: outcome, fallback: resp, err: errTargetFailed, load: a.load}
	}
	result := attemptResult{status: resp.http.StatusCode, outcome: outcome, load: a.load}
	a.report(&result, true) // before writing: the target is done, however slowly the caller reads
	resp.writeTo(a.request.writer, a.request.incoming.Method)
	return result
}

// mayRetryServerError reports whether the request may be sent to another target after a target's server error. This
// holds only for idempotent requests on routes with a kind, and not while the body is being read from the caller. A 504 is
// passed on as the target's response, and a retry needs at least tuning.RetryTimeMin.
func (a *attempt) mayRetryServerError(received *http.Response) bool {
	readsBody := a.request.body.rest != nil && a.isUploading()
	return !readsBody && isServerError(received) && a.idempotent && a.target.Route.Kind != "" &&
		received.StatusCode != http.StatusGatewayTimeout && time.Until(a.deadline) > tuning.RetryTimeMin
}

// stream passes a response on as it arrives, and then lets the target have the rest of the request.
func (a *attempt) stream(resp *response, outcome statemachine.Outcome) attemptResult {
	result := attemptResult{status: resp.http.StatusCode, outcome: outcome, load: a.load}
	if a.isUploading() && resp.http.Close { // the target reads no more once it has sent its response
		a.request.writer.Header().Set("Connection", "close")
	}
	if err := resp.writeTo(a.request.writer, a.request.incoming.Method); err != nil {
		result.truncated = true
		result.outcome = statemachine.ResponseLost
		if a.request.body.callerGone(a.request.incoming) {
			result.outcome = statemachine.ClientGone
		}
		return result
	}
	if a.isUploading() {
		http.NewResponseController(a.request.writer).Flush() // an error means that the caller is gone, which ends the upload
	}
	a.release(!resp.http.Close)
	return result
}

// responseLost returns the result of an attempt whose response did not arrive, was incomplete, or did not come from the
// intended target.
func (a *attempt) responseLost(reason *attemptError) attemptResult {
	a.release(false)
	result := attemptResult{sent: true, mayHaveRun: true, outcome: statemachine.ResponseLost, err: reason, load: a.load}
	body := a.request.body
	switch {
	case body.callerGone(a.request.incoming) || body.aborted || body.tooLarge:
		result.outcome = statemachine.ClientGone
	case a.pastDeadline():
		result.deadlineExceeded, result.err = true, errResponseDeadline
	}
	return result
}

// mayAbandon reports whether an idempotent request may stop waiting for a response from a target. While draining, the
// proxy keeps waiting: the time left may be too short for another target to serve the request, and a planned shutdown
// must not end a request sooner.
func (f *Forwarder) mayAbandon(id wire.TargetID) bool {
	return !f.Draining.Load() && f.pool.isUnreachable(id)
}

// isServerError reports whether a response has a status of 500 or above.
func isServerError(received *http.Response) bool {
	return received.StatusCode >= http.StatusInternalServerError
}

// impliesNotRun reports whether callers take a status to mean that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
