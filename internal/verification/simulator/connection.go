package simulator

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// connection is a proxy's connection to a target, which stays open between requests.
type connection struct {
	target    *Target
	idleSince time.Duration
	surplusAt time.Duration // when a response arrives that belongs to no open request; 0 if none will
}

const (
	// surplusShare is the fraction of responses after which a target with the surplus fault sends another response.
	surplusShare = 0.3
	// maxSurplusDelay is the maximum delay of a surplus response in milliseconds. Some arrive while the connection is
	// idle, some while it carries the next request.
	maxSurplusDelay = 60
	// idleLimitShares is the number of equal shares into which the connection limit is divided when guardIdleConnections is
	// disabled. Each proxy keeps at most one share, but at least one connection, idle.
	idleLimitShares = 16
)

// takeConnection removes and returns the proxy's most recently used idle connection to a target, or returns nil if none is
// usable. Connections that were idle for maxIdle or longer aren't usable. Like the reverse proxy, it discards connections that
// are closed or on which a surplus response has arrived.
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

// returnConnection keeps a connection idle after a complete response, unless the target is no longer in the proxy's table. Of
// the proxy's idle connections to the target, it keeps the most recently used ones, at most limit.
func (w *World) returnConnection(process *Process, id wire.TargetID, returned *connection, limit int) {
	if returned.target.sendsSurplus && w.random.Float64() < surplusShare {
		returned.surplusAt = w.now + w.randomMilliseconds(0, maxSurplusDelay)
	}
	returned.idleSince = w.now
	if _, listed := process.targets[id]; !listed {
		return
	}
	if w.disabledGuard == guardIdleConnections { // a fixed share of the limit for each proxy; further connections are closed
		process.idle[id] = slices.DeleteFunc(process.idle[id], func(o *connection) bool { return w.now-o.idleSince >= tuning.ConnIdleTimeout })
		if len(process.idle[id]) < max(1, w.Plan.ConnectionLimit/idleLimitShares) {
			process.idle[id] = append(process.idle[id], returned)
		}
		return
	}
	idle := append(process.idle[id], returned)
	process.idle[id] = idle[max(0, len(idle)-limit):]
}

// overConnectionLimit reports whether a target has reached its connection limit, counting active and idle connections, so that
// it resets the next one.
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
			if c.target == t && w.now-c.idleSince < tuning.ConnIdleTimeout {
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

// readSurplusResponse lets a proxy read a response with the id of another request, unless the attempt has ended.
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
		w.violated(ruleOwnResponse, "request %d at %s got the response to an earlier request", a.request.id, a.process.name)
	}
}

// resetConnections resets the given fraction of a proxy's connections to targets and callers, and all its connections to other
// daemons. Targets abort the requests in flight on these connections, which count as run.
func (w *World) resetConnections(p *Process, fraction float64) {
	w.logf("reset a fraction of %.2f of the connections of %s", fraction, p.name)
	for id, idle := range p.idle {
		p.idle[id] = idle[:len(idle)-int(fraction*float64(len(idle)))]
	}
	for _, a := range slices.Clone(p.attempts) {
		if w.random.Float64() < fraction && a.end() {
			w.Stats.ResetAttempts++
			a.loseResponse()
		}
	}
	w.cancelRequests(p, fraction, &w.Stats.Abandoned)
	w.resetDaemonConnections(p)
}
