package dataplane

import (
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// rejection is the response to a rejected request.
type rejection struct {
	status  int // HTTP status
	code    string
	message string
}

// Rejections, by reason.
var (
	rejectedNoRule      = rejection{statemachine.StatusNotFound, "no_rule", "no route or rule for this host and path"}
	rejectedNotServing  = rejection{statemachine.StatusServiceUnavailable, "not_serving", "this proxy has no up-to-date table"}
	rejectedStopping    = rejection{statemachine.StatusServiceUnavailable, "stopping", "this proxy is shutting down and may not finish the request in time"}
	rejectedDeadline    = rejection{statemachine.StatusServiceUnavailable, "late", "the request cannot be answered before its deadline"}
	rejectedBusy        = rejection{statemachine.StatusServiceUnavailable, "busy", "every target of the service is busy"}
	rejectedNoTarget    = rejection{statemachine.StatusServiceUnavailable, "no_target", "the service has no eligible target"}
	rejectedNoAttempt   = rejection{statemachine.StatusServiceUnavailable, "tries", "no attempts are left"}
	rejectedRetryBudget = rejection{statemachine.StatusServiceUnavailable, "retry_budget", "the service's retry budget is used up"}
	rejectedMayHaveRun  = rejection{statemachine.StatusBadGateway, "may_have_run", "the request may have run and must not be retried"}
)

// reject ends a request with the given response.
func (p *Proxy) reject(now time.Duration, req *request, reason rejection) {
	command := statemachine.Reject{ID: req.id, Status: reason.status, Code: reason.code, Message: reason.message}
	if reason.status == statemachine.StatusServiceUnavailable {
		command.RetryAfter = req.retryAfter(now)
	}
	p.emit(command)
	if reason.status >= statemachine.StatusInternalServerError && req.serviceName != "" {
		p.countObjectives(now, req, false)
	}
	p.removeRequest(req)
}

// retryAfter returns how long the caller should wait before it retries. If the caller's timeout is known, the
// wait ends while some of that time is left. The request's id spreads the waits, so that callers don't retry
// all at once.
func (r *request) retryAfter(now time.Duration) time.Duration {
	spread := r.id * 2654435761 >> 8
	if r.timeoutUnknown {
		return tuning.RetryAfterMin + time.Duration(spread%uint64(tuning.RetryAfterSpan))
	}
	base := r.route.LatencyTarget()
	if base == 0 {
		base = r.deadline - r.startedAt
	}
	base = max(base/8, 1)
	wait := base + time.Duration(spread%uint64(base))
	return max(tuning.RetryAfterFloor, min(wait, (r.deadline-now)/tuning.RetryAfterDivisor))
}
