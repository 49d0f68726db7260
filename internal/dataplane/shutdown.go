// This file is how a proxy stops. It goes unready at once and serves on while callers move away; its answers end
// their connections. After that linger it takes only requests whose deadline comes before the process ends, since
// callers may use open connections until then. At the first moment without a request under way, or when its time
// is up, the intake closes, so that nothing more is taken on any connection, and the process ends.

package dataplane

import (
	"fmt"
	"myrtlefold/internal/shared/statemachine"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// stop is how long a stopping proxy serves on in any case, and at most.
func (s Settings) shutdownTimes() (linger, most time.Duration) {
	if s.GracePeriod <= 0 {
		return tuning.ShutdownLinger, tuning.ShutdownTimeout
	}
	return min(tuning.ShutdownLingerMax, s.GracePeriod/2), max(s.GracePeriod-tuning.ShutdownMargin, s.GracePeriod/2)
}

// beginShutdown goes unready.
func (p *Proxy) beginShutdown(now time.Duration) {
	if p.stopping {
		return
	}
	p.stopping, p.stopRequestedAt = true, now
	p.emit(statemachine.CloseAfterResponse{})
	why := fmt.Sprintf("asked to, with %d requests under way", len(p.requests))
	p.emit(statemachine.StateChange{Subject: statemachine.SubjectShutdown, From: "serving", To: "stopping", Reason: why})
}

// responseReserve is what a stopping proxy keeps of its time, for targets' last answers and for its own.
func responseReserve(most time.Duration) time.Duration {
	return min(tuning.ShutdownReserve, most/tuning.ShutdownReserveParts)
}

// fitsShutdown ends a request that comes to a stopping proxy with the process, and says whether it may be taken: its
// own deadline comes before, or its target has the time that the route aims at. In the linger all are taken:
// callers have had no time to hear of the stop.
func (p *Proxy) fitsShutdown(now time.Duration, x *request) bool {
	if !p.stopping {
		return true
	}
	linger, most := p.settings.shutdownTimes()
	answerBy := p.stopRequestedAt + most - responseReserve(most)/2
	fits := x.deadline <= answerBy
	x.deadline = min(x.deadline, answerBy)
	if fits || now-p.stopRequestedAt <= linger {
		return true
	}
	return x.routeState != nil && p.workTime(now, x) >= expectedTime(&x.route)
}

// workTime is how long a target that gets the request now may work on it: until its deadline, or, if this
// process stops, until so long before its end that the target's own answer can still be passed on.
func (p *Proxy) workTime(now time.Duration, x *request) time.Duration {
	until := x.deadline
	if p.stopping {
		_, most := p.settings.shutdownTimes()
		until = min(until, p.stopRequestedAt+most-responseReserve(most))
	}
	return max(time.Millisecond, until-now)
}

// expectedTime is how long a request of a route is meant to take at most: its aim, or without one the part of its
// timeout that stands for it.
func expectedTime(r *config.Route) time.Duration {
	if aim := r.LatencyTarget(); aim > 0 {
		return aim
	}
	return r.Timeout() / tuning.WaitTimeoutParts
}

// rejectStopping sends a request to another proxy. It is to come back as after any refusal, not at once: where many
// proxies stop together it would only meet the next of them.
func (p *Proxy) rejectStopping(now time.Duration, x *request) {
	p.Counts.Stopping++
	p.reject(now, x, 503, "stopping", "this proxy is stopping and takes no more such requests")
}

// tickShutdown ends the process when nothing is under way after the linger, or the time is up.
func (p *Proxy) tickShutdown(now time.Duration) {
	if !p.stopping || p.acceptingStopped {
		return
	}
	linger, most := p.settings.shutdownTimes()
	waited := now - p.stopRequestedAt
	switch {
	case waited > most && len(p.requests) > 0:
		p.finishShutdown(most-waited, fmt.Sprintf("out of time, with %d requests under way", len(p.requests)))
	case waited > linger && len(p.requests) == 0:
		p.finishShutdown(most-waited, "no request is under way")
	}
}

// finishShutdown closes the intake and ends the process, which has so long for answers that are still being written.
func (p *Proxy) finishShutdown(left time.Duration, why string) {
	p.acceptingStopped = true
	p.emit(statemachine.StopAccepting{TimeLeft: left})
	p.emit(statemachine.StateChange{Subject: statemachine.SubjectShutdown, From: "stopping", To: "stopped", Reason: why})
	p.emit(statemachine.Exit{})
}
