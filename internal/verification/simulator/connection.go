// This file is the simulated connections: those of proxies to targets, on which surplus
// answers come and which are reset, and those between daemons, whose messages in flight a
// reset loses.

package simulator

import (
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// connection leads from a proxy to a target; the proxy keeps it between requests.
type connection struct {
	target    *Target
	usedAt    time.Duration // when it was last put back
	surplusAt time.Duration // when an answer comes on it that no request waits for, 0: none does
}

// attempt is a request that was written to a target and has no answer yet.
type attempt struct {
	x     *request
	conn  *connection
	over  bool
	loses func() // tells the proxy that its answer is lost
}

// surplusShare is the part of answers after which a target that does so sends another one,
// surplusLate how much later at most, in milliseconds: some come while the connection is
// idle, some once it carries the next request.
const (
	surplusShare = 0.3
	surplusLate  = 60
)

// takeConnection is the connection of a proxy to a target that was used last, less than idle ago, nil if
// none can be used: the forwarder closes those that are closed or on which something came.
func (w *World) takeConnection(p *Process, id wire.TargetID, idle time.Duration) *connection {
	for l := p.pool[id]; len(l) > 0; l = p.pool[id] {
		c := l[len(l)-1]
		if w.now-c.usedAt >= idle {
			return nil
		}
		p.pool[id] = l[:len(l)-1]
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

// keepConnection puts a connection back after a whole answer; the n that were used last are kept.
func (w *World) keepConnection(p *Process, id wire.TargetID, c *connection, n int) {
	if c.target.surplus && w.rnd.Float64() < surplusShare {
		c.surplusAt = w.now + w.ms(0, surplusLate)
	}
	c.usedAt = w.now
	if _, ok := p.live[id]; !ok {
		return
	}
	if w.sabotage == "idle connections" { // a part of the cap for each proxy, and what is there stays
		p.pool[id] = slices.DeleteFunc(p.pool[id], func(o *connection) bool { return w.now-o.usedAt >= tuning.ConnIdle })
		if len(p.pool[id]) < max(1, w.Plan.ConnectionLimit/16) {
			p.pool[id] = append(p.pool[id], c)
		}
		return
	}
	l := append(p.pool[id], c)
	p.pool[id] = l[max(0, len(l)-n):]
}

// overCap says that a target has as many connections as it takes, in use or not; it resets the next.
func (w *World) overCap(t *Target, id wire.TargetID) bool {
	if w.Plan.ConnectionLimit == 0 {
		return false
	}
	n := 0
	for _, p := range w.procs {
		if p.gate == nil || !p.alive {
			continue
		}
		for _, c := range p.pool[id] {
			if c.target == t && w.now-c.usedAt < tuning.ConnIdle {
				n++
			}
		}
		for _, a := range p.attempts {
			if a.conn.target == t {
				n++
			}
		}
	}
	w.Stats.MostConnections = max(w.Stats.MostConnections, n+1)
	if n < w.Plan.ConnectionLimit {
		return false
	}
	w.Stats.OverConnectionLimit++
	return true
}

// beginAttempt notes a request as written; a surplus answer that is still to come on the
// connection is then read in place of its own.
func (w *World) beginAttempt(p *Process, x *request, c *connection, loses func()) *attempt {
	a := &attempt{x: x, conn: c, loses: loses}
	p.attempts = append(p.attempts, a)
	if c.surplusAt > 0 {
		w.at(c.surplusAt-w.now, func() { w.readSurplus(p, a) })
	}
	return a
}

// readSurplus has a proxy read an answer that bears another request's id.
func (w *World) readSurplus(p *Process, a *attempt) {
	if !w.endAttempt(p, a) {
		return
	}
	w.Stats.MismatchedResponses++
	if w.sabotage == "ids" {
		if w.open[a.x.id] == a.x {
			w.broken("another's answer", "exchange %d at %s got the answer to an earlier one", a.x.id, p.name)
		}
		return
	}
	a.loses()
}

// endAttempt says whether an attempt had not ended before.
func (w *World) endAttempt(p *Process, a *attempt) bool {
	if a.over {
		return false
	}
	a.over = true
	p.attempts = slices.DeleteFunc(p.attempts, func(o *attempt) bool { return o == a })
	return true
}

// resetConnections breaks a part of a proxy's connections to targets and callers. What a
// target was at work on has run, and is dropped there.
func (w *World) resetConnections(p *Process, part float64) {
	w.log("reset %.2f of the connections of %s", part, p.name)
	for id, l := range p.pool {
		p.pool[id] = l[:len(l)-int(part*float64(len(l)))]
	}
	for _, a := range slices.Clone(p.attempts) {
		if w.rnd.Float64() < part && w.endAttempt(p, a) {
			w.Stats.ResetAttempts++
			a.loses()
		}
	}
	w.callersLeave(p, part, &w.Stats.Abandoned)
	w.resetLinks(p)
}

// callersLeave has a part of a proxy's callers go, or lose their connections, before they
// have their answers; count is what they are counted by.
func (w *World) callersLeave(p *Process, part float64, count *int) {
	var left []uint64
	for id, x := range w.open {
		if x.gate == p && x.gen == p.gen {
			left = append(left, id)
		}
	}
	slices.Sort(left)
	for _, id := range left {
		if w.rnd.Float64() < part {
			*count++
			delete(w.open, id)
			w.deliver(p, statemachine.Cancel{ID: id})
		}
	}
}

// linkReset is a connection between two daemons that was reset: what was sent on it before
// at and has not come is lost, and what is sent before until waits for the next connection.
type linkReset struct{ at, until time.Duration }

// resetLinks breaks a daemon's connections with all others, both ways.
func (w *World) resetLinks(p *Process) {
	for _, n := range w.names {
		if n == p.name {
			continue
		}
		r := linkReset{w.now, w.now + w.ms(1, 60)}
		for _, k := range both(p.name, n) {
			w.resets[k] = r
		}
	}
}
