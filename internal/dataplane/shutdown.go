// This file is a proxy's graceful shutdown. It goes unready at once and serves on while callers move away; its responses
// end their connections. After that linger it takes only requests whose deadline comes before the process ends, since
// callers may use open connections until then. At the first moment without a request in flight, or when its time
// is up, it stops accepting requests on all connections, and the process ends.

package dataplane

import (
	"fmt"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// shutdownTimes is how long a stopping proxy serves on in any case, and at most.
func (s *Settings) shutdownTimes() (linger, longest time.Duration) {
	if s.GracePeriod <= 0 {
		return tuning.ShutdownLinger, tuning.ShutdownTimeout
	}
	linger = min(tuning.ShutdownLingerMax, s.GracePeriod/2)
	longest = max(s.GracePeriod-tuning.ShutdownMargin, s.GracePeriod/2)
	return linger, longest
}

// beginShutdown goes unready.
func (p *Proxy) beginShutdown(now time.Duration) {
	if p.stopping {
		return
	}
	p.stopping, p.stopRequestedAt = true, now
	p.emit(statemachine.CloseAfterResponse{})
	reason := fmt.Sprintf("asked to, with %d requests under way", len(p.requests))
	p.emit(statemachine.StateChange{Subject: statemachine.SubjectShutdown, From: "serving", To: "stopping", Reason: reason})
}

// responseReserve is what a stopping proxy keeps of its time, for targets' last responses and for its own.
func responseReserve(longest time.Duration) time.Duration {
	return min(tuning.ShutdownReserve, longest/tuning.ShutdownReserveParts)
}

// fitsShutdown bounds the deadline of a request that comes to a stopping proxy by the end of the process, and returns
// whether the request may be taken: its own deadline comes before that, or its target has the time that the route
// expects. During the linger all are taken, since callers have had no time to learn of the shutdown.
func (p *Proxy) fitsShutdown(now time.Duration, req *request) bool {
	if !p.stopping {
		return true
	}
	linger, longest := p.settings.shutdownTimes()
	respondBy := p.stopRequestedAt + longest - responseReserve(longest)/2
	fits := req.deadline <= respondBy
	req.deadline = min(req.deadline, respondBy)
	if fits || now-p.stopRequestedAt <= linger {
		return true
	}
	return req.routeState != nil && p.workTime(now, req) >= expectedTime(&req.route)
}

// workTime is how long a target that gets the request now may work on it: until its deadline, or, if this proxy
// stops, until so long before the end of the process that the target's own response can still be passed on.
func (p *Proxy) workTime(now time.Duration, req *request) time.Duration {
	until := req.deadline
	if p.stopping {
		_, longest := p.settings.shutdownTimes()
		until = min(until, p.stopRequestedAt+longest-responseReserve(longest))
	}
	return max(time.Millisecond, until-now)
}

// expectedTime is how long a request of a route is expected to take at most: its latency target, or without one a
// part of its timeout.
func expectedTime(route *config.Route) time.Duration {
	if target := route.LatencyTarget(); target > 0 {
		return target
	}
	return route.Timeout() / tuning.WaitTimeoutParts
}

// rejectStopping sends a request to another proxy. The caller is to come back as after any rejection, not at once: where
// many proxies stop together it would only meet the next of them.
func (p *Proxy) rejectStopping(now time.Duration, req *request) {
	p.Counts.Stopping++
	p.reject(now, req, rejectedStopping)
}

// tickShutdown ends the process when no request is in flight after the linger, or when the time is up.
func (p *Proxy) tickShutdown(now time.Duration) {
	if !p.stopping || p.acceptingStopped {
		return
	}
	linger, longest := p.settings.shutdownTimes()
	waited := now - p.stopRequestedAt
	switch {
	case waited > longest && len(p.requests) > 0:
		p.finishShutdown(longest-waited, fmt.Sprintf("out of time, with %d requests under way", len(p.requests)))
	case waited > linger && len(p.requests) == 0:
		p.finishShutdown(longest-waited, "no request is under way")
	}
}

// finishShutdown stops accepting requests and ends the process. Responses that are still being written have timeLeft.
func (p *Proxy) finishShutdown(timeLeft time.Duration, reason string) {
	p.acceptingStopped = true
	p.emit(statemachine.StopAccepting{TimeLeft: timeLeft})
	p.emit(statemachine.StateChange{Subject: statemachine.SubjectShutdown, From: "stopping", To: "stopped", Reason: reason})
	p.emit(statemachine.Exit{})
}
