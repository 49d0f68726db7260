// This file admits requests: each is forwarded to a target, queued or rejected.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/statemachine"
)

func (p *Proxy) admit(now time.Duration, event statemachine.Admit) {
	req := &request{id: event.ID, startedAt: now, timeoutUnknown: event.Timeout <= 0, deadline: now + event.Timeout}
	if p.acceptingStopped {
		p.rejectStopping(now, req)
		return
	}
	if !p.Serving() {
		p.Counts.NotServing++
		p.reject(now, req, rejectedNotServing)
		return
	}
	if !p.findRoute(now, req, &event) {
		return
	}
	req.serviceConfig = p.configuration.Services[req.serviceName]
	timeout := req.route.Timeout()
	if event.Timeout > 0 {
		timeout = min(timeout, event.Timeout)
	}
	req.deadline = now + timeout
	if !p.fitsShutdown(now, req) {
		p.rejectStopping(now, req)
		return
	}
	p.requests[req.id] = req
	p.service(req.serviceName).countArrival(now, req)
	p.schedule(now, req, true)
}

// schedule forwards the request to a target, queues it if it may wait, or rejects it.
func (p *Proxy) schedule(now time.Duration, req *request, mayWait bool) {
	service := p.service(req.serviceName)
	if req.deadlineTooClose(now, service) {
		p.Counts.DeadlineTooClose++
		p.reject(now, req, rejectedDeadline)
		return
	}
	var target *targetState
	usable := true
	if !p.atMaxInFlight(req, service) && !(mayWait && p.mustQueue(service, req)) {
		target, usable = p.chooseTarget(now, req)
	}
	if !usable && req.routeState != nil {
		if target = p.fallBackInSplit(now, req); target != nil {
			usable, service = true, p.service(req.serviceName)
		}
	}
	switch {
	case target != nil:
		p.forward(now, req, target, service)
	case !usable:
		p.Counts.NoTarget++
		p.reject(now, req, rejectedNoTarget)
	case mayWait && p.enqueue(now, req, service):
	default:
		p.rejectBusy(now, req, service)
	}
}

// fallBackInSplit moves a request to another service of its route's split that has a target for it now,
// and returns that target. The request stays as it is if there is none.
func (p *Proxy) fallBackInSplit(now time.Duration, req *request) *targetState {
	name, serviceConfig := req.serviceName, req.serviceConfig
	for _, share := range req.routeState.split {
		if share.Service == name {
			continue
		}
		req.serviceName, req.serviceConfig = share.Service, p.configuration.Services[share.Service]
		if target, _ := p.chooseTarget(now, req); target != nil && p.mayAttempt(now, req, p.service(req.serviceName)) {
			p.Counts.SplitFallbacks++
			return target
		}
	}
	req.serviceName, req.serviceConfig = name, serviceConfig
	return nil
}

// mayAttempt reports whether the retry budget has something for the next attempt, if that is a retry.
func (p *Proxy) mayAttempt(now time.Duration, req *request, service *serviceState) bool {
	return !req.isRetry || service.retryCredit.available(now, p.settings.Retry)
}

// atMaxInFlight reports whether this proxy's share of the service's bound on requests in flight is used up.
func (p *Proxy) atMaxInFlight(req *request, service *serviceState) bool {
	return req.serviceConfig.MaxInFlight > 0 && service.inFlight >= p.shareOf(req.serviceConfig.MaxInFlight, req.serviceName)
}

// deadlineTooClose reports that the service is under pressure and the request would take longer than it has:
// the service spends its time better on others.
func (r *request) deadlineTooClose(now time.Duration, service *serviceState) bool {
	return r.routeState != nil && service.underPressure(now) && r.deadline-now < r.routeState.meanTime()
}

func (p *Proxy) rejectBusy(now time.Duration, req *request, service *serviceState) {
	service.pressureAt = now
	p.Counts.Busy++
	p.reject(now, req, rejectedBusy)
}

func (p *Proxy) rejectRetryBudget(now time.Duration, req *request) {
	p.Counts.RetriesDenied++
	p.reject(now, req, rejectedRetryBudget)
}
