// This file is the queue of a service: requests that wait for one of its targets.

package dataplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// mustQueue reports that requests of the same or a higher priority wait already.
func (p *Proxy) mustQueue(service *serviceState, req *request) bool {
	return len(service.queue) > 0 && p.requests[service.queue[0]].priority <= req.priority
}

// enqueue queues the request by priority, and within one by arrival. It returns false if the request may not
// wait: then the caller rejects it.
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

// queueLimits returns how long the request may wait, 0 or less: not at all, and in how long a queue. By a rule these
// are its service's settings. On a route it waits for a part of the latency target, and as many requests do as the
// service's targets are likely to take within that time.
func (p *Proxy) queueLimits(now time.Duration, req *request, service *serviceState) (timeout time.Duration, length int) {
	if req.routeState == nil {
		timeout = time.Duration(req.serviceConfig.QueueTimeoutMs) * time.Millisecond
		return timeout, p.shareOf(req.serviceConfig.QueueLength, req.serviceName)
	}
	timeout = expectedTime(&req.route) / tuning.WaitTargetParts
	timeout = min(req.startedAt+timeout-now, req.deadline-now-req.routeState.meanTime())
	length = tuning.QueueMin
	if service.meanMs > 0 {
		length += int(max(service.window, 1) * float64(timeout.Milliseconds()) / service.meanMs)
	}
	return timeout, length
}

// preemptQueued rejects the last of the queue in favour of a request of higher priority. It returns false
// if there is none of a lower one.
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

// processQueues rejects the requests that have waited long enough and serves the others.
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

// serveQueue forwards the queued requests in their order, until there is no target for one.
func (p *Proxy) serveQueue(now time.Duration, service *serviceState) {
	for p.Serving() && len(service.queue) > 0 {
		req := p.requests[service.queue[0]]
		target, usable := p.chooseTarget(now, req)
		if p.atMaxInFlight(req, service) || target == nil && usable {
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
