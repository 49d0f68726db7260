// This file holds the rules of what must never happen, as checks that the
// simulator makes at each step they concern.

package simulator

import (
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// Bounds of the brief's "about 2 s".
const (
	leaveBound = 2 * time.Second
	goneBound  = 2 * time.Second
	// lostBound is the same when the leader was lost in those very seconds, one miss short of
	// its ejection: what it had spent is added to a proxy's doubt and its own two probes.
	lostBound = 2500 * time.Millisecond
)

// checkCores: at most one member decides at any moment of real time, within an
// epoch and beyond it.
func (w *World) checkCores(p *Process) {
	if !p.core.HoldsLease(p.local()) {
		return
	}
	for _, n := range w.names {
		o := w.procs[n]
		if o != p && o.core != nil && o.alive && o.core.HoldsLease(o.local()) {
			w.broken("one leader", "%s and %s both decide", p.name, o.name)
		}
	}
}

// checkGate: a proxy's revision never goes back.
func (w *World) checkGate(p *Process) {
	if r := p.gate.Revision(); r < p.rev {
		w.broken("slipped back", "%s went from revision %d to %d", p.name, p.rev, r)
	} else {
		p.rev = r
	}
}

// checkGive: what a proxy may do with a request now.
func (w *World) checkGive(p *Process, c *statemachine.Forward, x *request) {
	if r := p.gate.Revision(); r < w.acked {
		w.broken("not in force", "%s serves on revision %d, %d was acknowledged", p.name, r, w.acked)
	}
	if at, ok := w.emptied[c.Target.Domain]; ok && w.now > at {
		w.broken("emptied domain", "%s gives an exchange to %s/%s in %s, emptied %v ago", p.name, c.Target.Service, c.Target.Name, c.Target.Domain, w.now-at)
	}
	x.rev = p.gate.Revision()
	w.checkTarget(p, c)
}

// checkWrite: the same once more when the first byte goes out, which a frozen process
// does late. A choice that was right may be carried out for its short life.
func (w *World) checkWrite(p *Process, c *statemachine.Forward, x *request) {
	life := tuning.ChoiceTTL * 21 / 20
	for r, at := range w.ackedAt {
		if r > x.rev && w.now-at > life {
			w.broken("not in force", "%s writes what it chose on revision %d, %d was acknowledged %v ago", p.name, x.rev, r, w.now-at)
		}
	}
	if at, ok := w.emptied[c.Target.Domain]; ok && w.now-at > life {
		w.broken("emptied domain", "%s writes to %s/%s in %s, emptied %v ago", p.name, c.Target.Service, c.Target.Name, c.Target.Domain, w.now-at)
	}
	w.checkTarget(p, c)
}

func (w *World) checkTarget(p *Process, c *statemachine.Forward) {
	for _, t := range w.targets {
		if t.service != c.Target.Service || t.name != c.Target.Name || t.inc != c.Target.Incarnation {
			continue
		}
		if t.leftAt > 0 {
			late := w.now - t.leftAt
			w.Stats.LatestToDraining = max(w.Stats.LatestToDraining, late)
			if late > leaveBound {
				w.broken("leaving", "%s (%s) gives an exchange to %s/%s, leaving for %v", p.name, p.gate.State(), t.service, t.name, late)
			}
		}
		if !t.alive && t.goneAt > 0 {
			late := w.now - t.goneAt
			w.Stats.LatestToCrashed = max(w.Stats.LatestToCrashed, late)
			bound := goneBound
			if w.lostLead >= t.goneAt-time.Second {
				bound = lostBound
			}
			if late > bound {
				w.broken("gone", "%s (%s) gives an exchange to %s/%s, gone for %v", p.name, p.gate.State(), t.service, t.name, late)
			}
		}
	}
}

// runs: a request reaches a back end's code.
func (w *World) runs(t *Target, x *request) {
	x.ran++
	if x.unsafe && x.ran > 1 {
		w.broken("ran twice", "exchange %d at %s/%s", x.id, t.service, t.name)
	}
	if x.final == "no" {
		w.broken("refused but ran", "exchange %d runs after its refusal", x.id)
	}
	if t.state == wire.TargetWarming {
		n := 1 // those that a dead proxy left behind, or whose caller has its answer, are nobody's any more
		for _, o := range t.works {
			if o.gate.alive && o.gate.gen == o.gen && w.open[o.id] == o {
				n++
			}
		}
		w.Stats.MostWhileWarming = max(w.Stats.MostWhileWarming, n)
		if n > warmCap {
			w.broken("warming", "%s/%s has %d exchanges, bears %d", t.service, t.name, n, warmCap)
		}
	}
}

// checkCold: in any second a cold target gets no more than half over its rate and five.
func (w *World) checkCold(t *Target) {
	if t.coldTill <= w.now || t.coldTold != t.coldTill || w.now < t.coldFrom {
		t.came = nil
		return
	}
	w.Stats.WarmupArrivals++
	t.came = append(slices.DeleteFunc(t.came, func(at time.Duration) bool { return w.now-at >= time.Second }), w.now)
	if most := w.Plan.WarmupRate*1.5 + 5; float64(len(t.came)) > most {
		w.broken("cold rate", "%s/%s got %d exchanges in a second, bears %v", t.service, t.name, len(t.came), w.Plan.WarmupRate)
	}
}

// CheckRetryBudget holds that retries stay within a fifth of the traffic of any 10 s, plus the allowance.
func (w *World) CheckRetryBudget() {
	free := max(tuning.RetryFree, w.Plan.Proxies)
	for svc, l := range w.sends {
		from, retries, traffic := 0, 0, 0
		for _, e := range l {
			traffic++
			if e.retry {
				retries++
			}
			for l[from].at < e.at-tuning.RetryWindow {
				traffic--
				if l[from].retry {
					retries--
				}
				from++
			}
			if retries > traffic/tuning.RetryShare+free+2 {
				w.broken("retry budget", "%s: %d retries among %d sends in 10 s", svc, retries, traffic)
			}
		}
	}
}

// CheckAcknowledgedChanges holds that what was acknowledged is still agreed by every member that leads,
// and what was refused never took effect.
func (w *World) CheckAcknowledgedChanges() {
	l := w.Leader()
	if l == nil {
		return
	}
	if r := l.core.Revision(); r < w.acked {
		w.broken("forgotten", "revision %d was acknowledged, the leader has %d", w.acked, r)
	}
	kept := map[string]state.Record{}
	for _, r := range l.core.ChangeRecords() {
		kept[r.ID] = r
	}
	for _, c := range w.changes {
		if r, ok := kept[c.token]; ok {
			if c.state == "refused" && r.Outcome == "accepted" {
				w.broken("refused but in force", "%s", c.token)
			}
			if c.state == "accepted" && r.Outcome != "accepted" {
				w.broken("accepted but not in force", "%s", c.token)
			}
		}
	}
}

// ServedBetween counts served requests in a span.
func (w *World) ServedBetween(a, b time.Duration) (n int) {
	for _, t := range w.okAt {
		if t >= a && t < b {
			n++
		}
	}
	return n
}
