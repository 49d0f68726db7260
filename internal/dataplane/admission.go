// Admission of requests: each one is forwarded to a target, queued or rejected.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/statemachine"
)

// admit finds the route of a new request, sets its deadline to the earlier of the caller's and the route's
// timeout, and schedules it. It rejects the request if this proxy is shutting down or not serving.
func (p *Proxy) admit(now time.Duration, event statemachine.Admit) {
	req := &request{id: event.ID, startedAt: now, timeoutUnknown: event.Timeout <= 0, deadline: now + event.Timeout}
	if p.departed {
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
	if !p.admitDuringShutdown(now, req) {
		p.rejectStopping(now, req)
		return
	}
	p.requests[req.id] = req
	p.service(req.serviceName).countArrival(now, req)
	p.schedule(now, req, true)
}

// schedule forwards the request to a target, queues it if mayQueue is set and the queue has room, or rejects
// it.
func (p *Proxy) schedule(now time.Duration, req *request, mayQueue bool) {
	service := p.service(req.serviceName)
	if req.deadlineTooClose(now, service) {
		p.Counts.DeadlineTooClose++
		p.reject(now, req, rejectedDeadline)
		return
	}
	var target *targetState
	hasCandidates := true
	if !p.atMaxInFlight(req, service) && !(mayQueue && p.mustQueue(service, req)) {
		target, hasCandidates = p.chooseTarget(now, req)
	}
	if !hasCandidates && req.routeState != nil {
		if target = p.fallBackInSplit(now, req); target != nil {
			hasCandidates, service = true, p.service(req.serviceName)
		}
	}
	switch {
	case target != nil:
		p.forward(now, req, target, service)
	case !hasCandidates:
		p.Counts.NoTarget++
		p.reject(now, req, rejectedNoTarget)
	case mayQueue && p.enqueue(now, req, service):
	default:
		p.rejectBusy(now, req, service)
	}
}

// fallBackInSplit looks for a target in the other services of the request's split. If a service has one that
// can take the request now, it moves the request to that service and returns the target. Otherwise it returns
// nil and leaves the request unchanged.
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

// mayAttempt reports whether the request's next attempt is allowed by the service's retry budget. First
// attempts always are.
func (p *Proxy) mayAttempt(now time.Duration, req *request, service *serviceState) bool {
	return !req.isRetry || service.retryCredit.available(now, p.settings.Retry)
}

// atMaxInFlight reports whether this proxy has used up its share of the service's limit on concurrent requests.
func (p *Proxy) atMaxInFlight(req *request, service *serviceState) bool {
	return req.serviceConfig.MaxInFlight > 0 && service.inFlight >= p.shareOf(req.serviceConfig.MaxInFlight, req.serviceName)
}

// deadlineTooClose reports whether the request should be rejected because the service is under pressure and the
// time left is shorter than the route's mean response time. The service's capacity is better spent on requests
// that can still finish.
func (r *request) deadlineTooClose(now time.Duration, service *serviceState) bool {
	return r.routeState != nil && service.underPressure(now) && r.deadline-now < r.routeState.meanTime()
}

// rejectBusy rejects a request because the service's targets or its queue are full, and marks the service as
// under pressure.
func (p *Proxy) rejectBusy(now time.Duration, req *request, service *serviceState) {
	service.pressureAt = now
	p.Counts.Busy++
	p.reject(now, req, rejectedBusy)
}

// rejectRetryBudget rejects a request whose next attempt exceeds the retry budget.
func (p *Proxy) rejectRetryBudget(now time.Duration, req *request) {
	p.Counts.RetriesDenied++
	p.reject(now, req, rejectedRetryBudget)
}
