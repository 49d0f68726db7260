// A request's attempts at targets: forwarding, outcomes, retries and cancellation.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// forward starts an attempt of the request at the target and updates the counters of both.
func (p *Proxy) forward(now time.Duration, req *request, target *targetState, service *serviceState) {
	req.queued, req.target = false, target
	req.attempts++
	if !req.forwarded {
		// Counted here rather than at admission: a rejected request adds no traffic to the service, so it
		// must not earn retries.
		req.forwarded = true
		req.arrivalService.fairness.countForward(now, priorityLevel(req.route.Priority))
		service.retryCredit.countRequest(now, p.settings.Retry)
	}
	if req.isRetry {
		service.retryCredit.spend()
		p.Counts.Retries++
	}
	if target.warmingUp(now, req) {
		target.nextWarmupAt = now + target.warmupInterval
	}
	target.inFlight++
	target.lastUsedAt = now
	service.inFlight++
	p.Counts.Forwarded++
	p.emit(statemachine.Forward{
		ID:             req.id,
		Service:        req.serviceName,
		ServiceConfig:  req.serviceConfig,
		RouteName:      req.routeName,
		Route:          req.route,
		Target:         target.Target,
		TimeLeft:       req.deadline - now,
		WorkTime:       p.workTime(now, req),
		WriteBy:        now + tuning.ChoiceTTL,
		MayRetry:       req.attempts < req.route.Attempts,
		ConnectTimeout: connectTimeout(&req.route),
		MaxIdle:        p.maxIdleConnections(target, req.serviceConfig),
	})
}

// retry schedules the request for another attempt. It rejects the request if its attempts, its deadline or the
// retry budget don't allow one, or if a request that must not run twice may have run already.
func (p *Proxy) retry(now time.Duration, event statemachine.Retry) {
	req := p.requests[event.ID]
	if req == nil || req.target != nil || req.queued {
		return
	}
	req.classifyAttempt(event.Sent)
	switch {
	case req.mayHaveRun(event.Sent) && !req.route.Idempotent():
		p.Counts.NotRepeatable++
		p.reject(now, req, rejectedMayHaveRun)
	case !p.Serving():
		p.reject(now, req, rejectedNotServing)
	case req.attempts >= req.route.Attempts || req.failedConnects >= tuning.ConnectAttemptsMax || now >= req.deadline:
		p.reject(now, req, rejectedNoAttempt)
	case !p.mayAttempt(now, req, p.service(req.serviceName)):
		p.rejectRetryBudget(now, req)
	default:
		p.schedule(now, req, req.routeState != nil)
	}
}

// classifyAttempt updates the attempt counts by how the latest attempt ended. The argument sent is true if any
// part of the request was written to the target.
func (r *request) classifyAttempt(sent bool) {
	if !sent && (r.lastOutcome == statemachine.ConnectFailed || r.lastOutcome == statemachine.ChoiceExpired) {
		// A route's limit on attempts counts only targets that the request was sent to.
		r.attempts--
		r.failedConnects++
	}
	// If the service has a health check, a target that is not the intended one has read the request before it responds.
	otherResponded := r.lastOutcome == statemachine.WrongIdentity && r.serviceConfig.HasHealthCheck()
	if sent || otherResponded || r.lastOutcome == statemachine.TargetRejected {
		r.isRetry = true
	}
}

// mayHaveRun reports whether the target of the latest attempt may have executed the request. The argument sent
// is true if any part of the request was written to the target. On a route, a response or the loss of one counts as
// possible execution even if sent is false.
func (r *request) mayHaveRun(sent bool) bool {
	switch r.lastOutcome {
	case statemachine.Served, statemachine.ServerError, statemachine.ResponseLost:
		return sent || r.routeState != nil
	}
	return false
}

// attemptDone records an attempt's outcome, frees its slot at the target and serves the queue. The last attempt
// also ends the request.
func (p *Proxy) attemptDone(now time.Duration, event statemachine.AttemptDone) {
	req := p.requests[event.ID]
	if req == nil {
		return
	}
	if target := req.target; target != nil {
		service := p.service(req.serviceName)
		p.recordLoad(now, target, req, service, &event)
		target.inFlight--
		service.inFlight--
		req.target, req.lastOutcome = nil, event.Outcome
		if event.Outcome != statemachine.ChoiceExpired {
			req.triedTargets = append(req.triedTargets, target.ID())
		}
		p.countOutcome(now, target, req, &event)
	}
	if event.Last {
		if event.Outcome != statemachine.ClientGone {
			p.countObjectives(now, req, event.Outcome == statemachine.Served)
		}
		p.removeRequest(req)
	}
	p.serveQueue(now, p.service(req.serviceName))
}

// countOutcome adds an attempt's outcome to the statistics of its target.
func (p *Proxy) countOutcome(now time.Duration, target *targetState, req *request, event *statemachine.AttemptDone) {
	statistics := &target.statistics
	switch event.Outcome {
	case statemachine.Served:
		target.failedConnects = 0
		target.lastServedAt = now
		statistics.Successes++
		statistics.TotalMs += event.Milliseconds
		if req.serviceConfig.SlowMs > 0 && event.Milliseconds > float64(req.serviceConfig.SlowMs) {
			statistics.Slow++
		}
	case statemachine.ServerError, statemachine.ResponseLost:
		target.failedConnects = 0
		statistics.Errors++
		statistics.TotalMs += event.Milliseconds
	case statemachine.TargetRejected:
		target.failedConnects = 0
		statistics.Rejected++
	case statemachine.ChoiceExpired:
		p.Counts.ExpiredChoices++
	case statemachine.ConnectFailed, statemachine.WrongIdentity:
		statistics.Errors++
		p.countFailedConnect(now, target)
	}
}

// countFailedConnect records a failed connection to a target. The target is avoided for tuning.AvoidFor, and
// ejected after tuning.ProbeMisses failures in a row.
func (p *Proxy) countFailedConnect(now time.Duration, target *targetState) {
	target.avoidedUntil = now + tuning.AvoidFor
	p.Counts.AvoidedTargets++
	target.failedConnects++
	if target.failedConnects >= tuning.ProbeMisses {
		target.ownEjectionUntil = max(target.ownEjectionUntil, now+tuning.ClosedEjection)
		p.Counts.OwnEjections++
	}
}

// cancel ends a request whose client disconnected, or whose caller has received an error response in the
// meantime (event.Failed).
func (p *Proxy) cancel(now time.Duration, event statemachine.Cancel) {
	req := p.requests[event.ID]
	if req == nil {
		return
	}
	if event.Failed {
		p.countObjectives(now, req, false)
	}
	if req.target != nil {
		p.attemptDone(now, statemachine.AttemptDone{ID: event.ID, Outcome: statemachine.ClientGone, Last: true})
		return
	}
	p.removeRequest(req)
}
