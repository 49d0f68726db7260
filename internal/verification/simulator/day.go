// This file holds the days that are made of faults: a day draws faults by its
// seed, lets them overlap, heals all, and then wants service back and everything
// acknowledged still in force.

package simulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/wire"
)

// Start founds the fleet and puts a first configuration in force.
func Start(seed uint64, p Plan) *World {
	w := New(seed, p)
	if !w.Run(5 * time.Second) {
		return w
	}
	for w.Leader() == nil && w.now < 10*time.Second && w.Failure == "" {
		w.Run(w.now + 100*time.Millisecond) // a split vote costs an election more
	}
	l := w.Leader()
	if l == nil {
		w.broken("start", "no leader after 10 s")
		return w
	}
	w.PutConfig(l, 0, 1)
	if !w.AwaitServing(3*time.Second) && w.Failure == "" {
		w.broken("start", "not serving 3 s after the first configuration")
	}
	w.StartCallers()
	return w
}

// Day runs a seed: so many faults drawn from kinds (all if none is named) over
// a span, then healing, then the last checks.
func Day(seed uint64, p Plan, kinds []Fault, faults int, span time.Duration) *World {
	return day(seed, p, kinds, faults, span, func(*World) {})
}

func day(seed uint64, p Plan, kinds []Fault, faults int, span time.Duration, prepare func(*World)) *World {
	w := Start(seed, p)
	if w.Failure != "" {
		return w
	}
	prepare(w)
	if len(kinds) == 0 {
		kinds = Faults
	}
	begin := w.now
	for i := range faults {
		f := kinds[w.rnd.IntN(len(kinds))]
		if len(kinds) == faults {
			f = kinds[i]
		}
		w.at(time.Duration(w.rnd.Int64N(int64(span))), func() {
			w.log("fault: %s", f.Name)
			f.Inject(w)
		})
	}
	w.StartReaders(400 * time.Millisecond)
	if !w.Run(begin + span + 9*time.Second) {
		return w
	}
	w.Heal()
	w.AwaitRecovery(15 * time.Second)
	w.Finish()
	return w
}

// Heal ends all that may still be wrong.
func (w *World) Heal() {
	w.log("heal")
	clear(w.cut)
	if l := w.Leader(); l != nil { // a service may have been left out
		w.PutConfig(l, w.Revision(), w.rnd.IntN(1000))
	} else {
		w.at(4*time.Second, func() {
			if l := w.Leader(); l != nil {
				w.PutConfig(l, w.Revision(), w.rnd.IntN(1000))
			}
		})
	}
	w.answersLostUntil = 0
	w.loss, w.delay, w.late = 0, time.Millisecond, 0
	for _, n := range w.names {
		p := w.procs[n]
		p.slow, p.disk.slow, p.disk.full = 0, 0, false
		if !p.alive {
			w.Restart(p)
		}
		w.Thaw(p)
	}
	for _, t := range w.targets {
		t.hang, t.lose, t.surplus, t.work = false, false, false, t.usual
	}
}

// AwaitRecovery wants service within d.
func (w *World) AwaitRecovery(d time.Duration) {
	from := w.now
	if !w.AwaitServing(d) && w.Failure == "" {
		w.broken("back in 15 s", "not serving %v after healing: %s", d, w.why())
	}
	for w.Failure == "" && w.missing() != "" {
		if w.now-from > d {
			w.broken("capacity back", "%s not served %v after healing", w.missing(), d)
		}
		w.Run(w.now + 100*time.Millisecond)
	}
	w.Stats.RecoveryTime = w.now - from
}

// missing names a target that lives and is ready, and that the leader's table does
// not offer. Of two that claim one name, one is enough.
func (w *World) missing() string {
	for _, t := range w.targets {
		if t.alive && t.state == wire.TargetReady && w.listen[t.addr] == t && !w.served(t) &&
			!slices.ContainsFunc(w.targets, func(o *Target) bool { return o.service == t.service && o.name == t.name && w.served(o) }) {
			return t.service + "/" + t.name
		}
	}
	return ""
}

// served says whether the leader's table offers a target.
func (w *World) served(t *Target) bool {
	l := w.Leader()
	if l == nil || l.core.Table() == nil {
		return false
	}
	for _, x := range l.core.Table().Targets {
		if x.Service == t.service && x.Name == t.name && x.Incarnation == t.inc {
			return !x.Draining && !x.Pending && x.EjectionLeft == 0
		}
	}
	return false
}

func (w *World) why() string {
	var b strings.Builder
	for _, n := range w.names {
		p := w.procs[n]
		if p.core != nil {
			s := p.core.Status(p.local())
			fmt.Fprintf(&b, "%s %s %s epoch %d term %d; ", n, s.Role, s.Leadership, s.Epoch, s.Term)
		} else {
			fmt.Fprintf(&b, "%s %s; ", n, p.gate.State())
		}
	}
	return b.String()
}

// Finish lets the last changes end, then makes the checks that look back.
func (w *World) Finish() {
	if w.Failure != "" {
		return
	}
	from := w.now
	w.Run(w.now + 8*time.Second)
	if w.Failure == "" && w.ServedBetween(from, w.now) < int(w.Plan.Rate*8*0.7) {
		w.broken("serving again", "%d exchanges served in the 8 s after healing", w.ServedBetween(from, w.now))
	}
	w.quiet = true
	w.Run(w.now + 3*time.Second)
	w.CheckAcknowledgedChanges()
	w.CheckHistory()
	w.CheckRetryBudget()
	for _, n := range w.names {
		if p := w.procs[n]; w.Failure == "" && p.gate != nil && p.alive && p.gate.State() == dataplane.Leased && p.gate.InFlight() > 0 {
			w.broken("forgotten exchange", "%s still counts %d in flight", n, p.gate.InFlight())
		}
	}
}
