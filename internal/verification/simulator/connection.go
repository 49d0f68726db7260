package simulator

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// connection leads from a proxy to a target; the proxy keeps it idle between requests.
type connection struct {
	target    *Target
	idleSince time.Duration
	surplusAt time.Duration // when a response comes on it that no request waits for, 0: none does
}

const (
	// surplusShare is the part of responses after which a target that does so sends another one.
	surplusShare = 0.3
	// maxSurplusDelay is how much later that comes at most, in milliseconds: some come while the connection is
	// idle, some once it carries the next request.
	maxSurplusDelay = 60
	// idleLimitShares: with guardIdleConnections disabled, each proxy keeps this part of a target's connections.
	idleLimitShares = 16
)

// takeConnection returns the idle connection of a proxy to a target that was used last, less than maxIdle ago,
// nil if none can be used: the reverse proxy closes those that are closed or on which something came.
func (w *World) takeConnection(process *Process, id wire.TargetID, maxIdle time.Duration) *connection {
	for len(process.idle[id]) > 0 {
		last := len(process.idle[id]) - 1
		c := process.idle[id][last]
		if w.now-c.idleSince >= maxIdle {
			return nil
		}
		process.idle[id] = process.idle[id][:last]
		if !c.target.alive {
			continue
		}
		if c.surplusAt > 0 && c.surplusAt <= w.now {
			w.Stats.SurplusResponses++
			continue
		}
		return c
	}
	return nil
}

// returnConnection keeps a connection idle after a complete response; of all, as many as were used last are kept.
func (w *World) returnConnection(process *Process, id wire.TargetID, returned *connection, most int) {
	if returned.target.sendsSurplus && w.random.Float64() < surplusShare {
		returned.surplusAt = w.now + w.randomMilliseconds(0, maxSurplusDelay)
	}
	returned.idleSince = w.now
	if _, listed := process.targets[id]; !listed {
		return
	}
	if w.disabledGuard == guardIdleConnections { // a fixed part of the limit for each proxy, the oldest first
		process.idle[id] = slices.DeleteFunc(process.idle[id], func(o *connection) bool { return w.now-o.idleSince >= tuning.ConnIdle })
		if len(process.idle[id]) < max(1, w.Plan.ConnectionLimit/idleLimitShares) {
			process.idle[id] = append(process.idle[id], returned)
		}
		return
	}
	idle := append(process.idle[id], returned)
	process.idle[id] = idle[max(0, len(idle)-most):]
}

// overConnectionLimit says whether a target has as many connections as it takes, in use or not; it resets the next.
func (w *World) overConnectionLimit(t *Target, id wire.TargetID) bool {
	if w.Plan.ConnectionLimit == 0 {
		return false
	}
	count := 0
	for _, p := range w.processes.byName {
		if p.proxy == nil || !p.alive {
			continue
		}
		for _, c := range p.idle[id] {
			if c.target == t && w.now-c.idleSince < tuning.ConnIdle {
				count++
			}
		}
		for _, a := range p.attempts {
			if a.connection.target == t {
				count++
			}
		}
	}
	w.Stats.MostConnections = max(w.Stats.MostConnections, count+1)
	if count < w.Plan.ConnectionLimit {
		return false
	}
	w.Stats.OverConnectionLimit++
	return true
}

// readSurplusResponse has a proxy read a response that bears another request's id, unless the attempt has ended.
func (w *World) readSurplusResponse(a *attempt) {
	if !a.end() {
		return
	}
	w.Stats.MismatchedResponses++
	if w.disabledGuard != guardResponseIDs {
		a.loseResponse()
		return
	}
	if w.callers.open[a.request.id] == a.request {
		w.violated(ruleOwnResponse, "exchange %d at %s got the answer to an earlier one", a.request.id, a.process.name)
	}
}

// resetConnections breaks a part of a proxy's connections to targets and callers, and those with other daemons.
// What a target was at work on has run, and is dropped there.
func (w *World) resetConnections(p *Process, part float64) {
	w.logf("reset %.2f of the connections of %s", part, p.name)
	for id, idle := range p.idle {
		p.idle[id] = idle[:len(idle)-int(part*float64(len(idle)))]
	}
	for _, a := range slices.Clone(p.attempts) {
		if w.random.Float64() < part && a.end() {
			w.Stats.ResetAttempts++
			a.loseResponse()
		}
	}
	w.cancelRequests(p, part, &w.Stats.Abandoned)
	w.resetDaemonConnections(p)
}
