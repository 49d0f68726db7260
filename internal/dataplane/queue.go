// The queue of a service, which holds requests that wait for one of its targets.

package dataplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// mustQueue reports whether requests of the same or a higher priority are already queued.
func (p *Proxy) mustQueue(service *serviceState, req *request) bool {
	return len(service.queue) > 0 && p.requests[service.queue[0]].priority <= req.priority
}

// enqueue adds the request to the queue, which is ordered by priority and then by arrival. It returns false if
// the request may not be queued; the caller then rejects it.
func (p *Proxy) enqueue(now time.Duration, req *request, service *serviceState) bool {
	timeout, length := p.queueLimits(now, req, service)
	if timeout <= 0 || len(service.queue) >= length && !p.preemptQueued(now, req, service) {
		return false
	}
	req.queued = true
	req.queuedUntil = min(now+timeout, req.deadline)
	position, _ := slices.BinarySearchFunc(service.queue, req.priority, func(id uint64, priority int) int {
		if p.requests[id].priority <= priority {
			return -1
		}
		return 1
	})
	service.queue = slices.Insert(service.queue, position, req.id)
	service.pressureAt = now
	p.Counts.Queued++
	return true
}

// queueLimits returns how long the request may be queued, and the maximum length of the queue. A timeout of 0
// or less means that it may not be queued. For a rule, both are settings of the service. On a route, a request
// may be queued for a fraction of its expected time, if the route's mean response time then remains until its
// deadline. The length is the number of requests that the service's targets are expected to take while the
// request is queued.
func (p *Proxy) queueLimits(now time.Duration, req *request, service *serviceState) (timeout time.Duration, length int) {
	if req.routeState == nil {
		timeout = time.Duration(req.serviceConfig.QueueTimeoutMs) * time.Millisecond
		return timeout, p.shareOf(req.serviceConfig.QueueLength, req.serviceName)
	}
	timeout = expectedTime(&req.route) / tuning.QueueTimeoutDivisor
	timeout = min(req.startedAt+timeout-now, req.deadline-now-req.routeState.meanTime())
	length = tuning.QueueMin
	if service.meanMs > 0 {
		length += int(max(service.window, 1) * float64(timeout.Milliseconds()) / service.meanMs)
	}
	return timeout, length
}

// preemptQueued rejects the last request in the queue to make room for one of higher priority. It returns false
// if the priority of the last one is not lower.
func (p *Proxy) preemptQueued(now time.Duration, req *request, service *serviceState) bool {
	if len(service.queue) == 0 {
		return false
	}
	preempted := p.requests[service.queue[len(service.queue)-1]]
	if preempted.priority <= req.priority {
		return false
	}
	p.Counts.Preempted++
	p.reject(now, preempted, rejectedBusy)
	return true
}

// processQueues rejects the requests whose queue timeout has expired and serves the others.
func (p *Proxy) processQueues(now time.Duration) {
	var waiting []string
	for name, service := range p.services {
		if len(service.queue) > 0 {
			waiting = append(waiting, name)
		}
	}
	slices.Sort(waiting)
	for _, name := range waiting {
		service := p.services[name]
		for _, id := range slices.Clone(service.queue) {
			if req := p.requests[id]; now >= req.queuedUntil {
				p.rejectBusy(now, req, service)
			}
		}
		p.serveQueue(now, service)
	}
}

// serveQueue forwards queued requests in order until no target can take the next one.
func (p *Proxy) serveQueue(now time.Duration, service *serviceState) {
	for p.Serving() && len(service.queue) > 0 {
		req := p.requests[service.queue[0]]
		target, hasCandidates := p.chooseTarget(now, req)
		if p.atMaxInFlight(req, service) || target == nil && hasCandidates {
			break
		}
		service.queue = service.queue[1:]
		req.queued = false
		switch {
		case target == nil || req.deadlineTooClose(now, service):
			p.schedule(now, req, false)
		case !p.mayAttempt(now, req, service):
			p.rejectRetryBudget(now, req)
		default:
			p.forward(now, req, target, service)
		}
	}
}
