// Graceful shutdown of a proxy. The proxy becomes unready at once, but keeps serving for the linger time, while
// callers move away; its responses close their connections. After the linger time it accepts only requests that
// can finish before the process ends. It still accepts those because callers may use open connections until the
// process ends. As soon as no request is in flight, or when the time is up, it stops accepting requests on all
// connections. The process ends once the leader has taken the proxy off the membership, or when the time is up.

package dataplane

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// shutdownTimes returns how long a stopping proxy keeps serving at least (linger) and at most (longest).
func (s *Settings) shutdownTimes() (linger, longest time.Duration) {
	if s.GracePeriod <= 0 {
		return tuning.ShutdownLinger, tuning.ShutdownTimeout
	}
	linger = min(tuning.ShutdownLingerMax, s.GracePeriod/2)
	longest = max(s.GracePeriod-tuning.ShutdownMargin, s.GracePeriod/2)
	return linger, longest
}

// beginShutdown starts the shutdown: the proxy becomes unready.
func (p *Proxy) beginShutdown(now time.Duration) {
	if p.stopping {
		return
	}
	p.stopping, p.stopRequestedAt = true, now
	p.emit(statemachine.CloseAfterResponse{})
	reason := fmt.Sprintf("stop requested with %d requests in flight", len(p.requests))
	p.emit(statemachine.StateChange{Subject: statemachine.SubjectShutdown, From: "serving", To: "stopping", Reason: reason})
}

// responseReserve returns the part of the shutdown time that is reserved for the last responses of targets and
// for passing them on.
func responseReserve(longest time.Duration) time.Duration {
	return min(tuning.ShutdownReserve, longest/tuning.ShutdownReserveDivisor)
}

// admitDuringShutdown limits the request's deadline to the end of the process if this proxy is stopping, and
// reports whether the request may be accepted. It may be if its deadline already comes before that end, or if
// its target still has the time that the route is expected to need. During the linger time all requests are
// accepted, since callers have had no time to notice the shutdown.
func (p *Proxy) admitDuringShutdown(now time.Duration, req *request) bool {
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

// workTime returns how long a target that gets the request now may work on it. The limit is the deadline or, if
// this proxy is stopping, the last moment at which a response of the target can still be passed on before the
// process ends.
func (p *Proxy) workTime(now time.Duration, req *request) time.Duration {
	until := req.deadline
	if p.stopping {
		_, longest := p.settings.shutdownTimes()
		until = min(until, p.stopRequestedAt+longest-responseReserve(longest))
	}
	return max(time.Millisecond, until-now)
}

// expectedTime returns how long a request of a route is expected to take at most: its latency target, or a
// fraction of its timeout if it has none.
func expectedTime(route *config.Route) time.Duration {
	if target := route.LatencyTarget(); target > 0 {
		return target
	}
	return route.Timeout() / tuning.ExpectedTimeDivisor
}

// rejectStopping rejects a request so that the caller retries at another proxy. The wait before the retry is
// the same as for any rejection: if many proxies stop together, an immediate retry would only reach the next
// stopping one.
func (p *Proxy) rejectStopping(now time.Duration, req *request) {
	p.Counts.Stopping++
	p.reject(now, req, rejectedStopping)
}

// tickShutdown ends the service if no request is in flight after the linger time, or if the time is up, and then the process.
func (p *Proxy) tickShutdown(now time.Duration) {
	if !p.stopping {
		return
	}
	if p.departed {
		p.tickSignOff(now)
		return
	}
	linger, longest := p.settings.shutdownTimes()
	waited := now - p.stopRequestedAt
	switch {
	case waited > longest && len(p.requests) > 0:
		p.endService(now, longest-waited, fmt.Sprintf("shutdown timed out with %d requests in flight", len(p.requests)))
	case waited > linger && len(p.requests) == 0:
		p.endService(now, longest-waited, "no requests are in flight")
	}
}

// endService stops accepting and forwarding requests, and tells the control plane. Responses that are still being written have
// timeLeft to finish.
func (p *Proxy) endService(now, timeLeft time.Duration, reason string) {
	p.departed, p.departedAt = true, now
	p.emit(statemachine.StopAccepting{TimeLeft: timeLeft})
	p.emit(statemachine.StateChange{Subject: statemachine.SubjectShutdown, From: "stopping", To: "departed", Reason: reason})
	p.sendHellos(now)
	p.pullTable(now)
	p.tickSignOff(now)
}

// tickSignOff ends the process once the leader has removed this proxy from the membership, so that no change waits for it and
// no other proxy needs its lease. It pulls tables until then, for tuning.SignOffWait and until the end of the longest shutdown at
// most.
func (p *Proxy) tickSignOff(now time.Duration) {
	_, longest := p.settings.shutdownTimes()
	timeIsUp := now > min(p.departedAt+tuning.SignOffWait, p.stopRequestedAt+longest)
	if p.exited || p.isMember() && !timeIsUp {
		return
	}
	p.exited = true
	reason := "removed from the proxy membership"
	if p.isMember() {
		reason = "still in the proxy membership when the time to sign off was up"
	}
	p.emit(statemachine.StateChange{Subject: statemachine.SubjectShutdown, From: "departed", To: "stopped", Reason: reason})
	p.emit(statemachine.Exit{})
}

// isMember reports whether this proxy is in the membership of its table.
func (p *Proxy) isMember() bool {
	return p.table != nil && slices.ContainsFunc(p.table.Proxies, func(proxy wire.Proxy) bool { return proxy.Name == p.settings.Self.Name })
}
