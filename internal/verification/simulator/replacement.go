// This file replaces core machines for good: the process and its disk never come
// back, and an empty daemon at another address comes in their place.

package simulator

import (
	"fmt"
	"myrtlefold/internal/shared/wire"
	"slices"
	"time"
)

// stopGrace is how long after the polite signal a replaced machine's process is ended by force.
const stopGrace = 6 * time.Second

// ReplaceControlDaemon takes a core machine away for good; its successor stands in the same
// domain under another name and address. Unplanned, the old one is killed now and the
// successor starts after the pause. Planned, the successor starts now and the old one
// is told to stop after the pause. Then is called once both have happened, with the
// time of the successor's start.
func (w *World) ReplaceControlDaemon(old *Process, planned bool, pause time.Duration, then func(started time.Duration)) {
	w.replaced++
	w.replacing++
	w.Stats.ReplacedMachines++
	name := fmt.Sprintf("r%d", w.replaced)
	successor := func() {
		w.log("%s comes in place of %s", name, old.name)
		w.addProc(wire.ControlDaemon, name, int(old.domain[1]-'1'))
		w.seeds = w.someCores(name)
		w.start(w.procs[name])
	}
	if !planned {
		w.log("%s is gone for good", old.name)
		w.Kill(old)
		w.forgetProc(old)
		w.at(pause, func() {
			successor()
			w.replacing--
			then(w.now)
		})
		return
	}
	successor()
	started := w.now
	w.at(pause, func() {
		w.log("stop %s for good", old.name)
		if old.alive {
			w.stop(old)
		}
		w.endReplaced(old, w.now+stopGrace, func() {
			w.replacing--
			then(started)
		})
	})
}

// replaceOne replaces a core machine, the leader half of the time, where the core looks
// after its members itself and no other machine of it is lost.
func (w *World) replaceOne(planned bool) {
	p := w.mayHurtCore()
	if p == nil || w.Plan.Seeds == 0 || w.now < w.coreCutUntil+w.lossPause() {
		return
	}
	if l := w.Leader(); l != nil && w.rnd.IntN(2) == 0 {
		p = l
	}
	if w.rnd.IntN(2) == 0 {
		w.PutConfig(p, w.Revision(), w.docNumber())
	}
	w.ReplaceControlDaemon(p, planned, w.ms(0, 1500), func(time.Duration) {})
}

// endReplaced waits for a process that was told to stop, kills it at the deadline, and
// then removes its machine.
func (w *World) endReplaced(old *Process, deadline time.Duration, then func()) {
	if old.alive && w.now < deadline {
		w.at(10*time.Millisecond, func() { w.endReplaced(old, deadline, then) })
		return
	}
	w.Kill(old)
	w.forgetProc(old)
	then()
}

// forgetProc removes a machine that never comes back; to the history its disk is lost.
func (w *World) forgetProc(old *Process) {
	w.loseMajority(old)
	old.gone = true
	w.names = slices.DeleteFunc(w.names, func(n string) bool { return n == old.name })
}

// someCores are the addresses that a process started now is told: up to three living
// core daemons, the named one left out if there are others.
func (w *World) someCores(but string) (seeds []string) {
	for _, n := range w.all(wire.ControlDaemon) {
		if w.procs[n].alive && n != but && len(seeds) < 3 {
			seeds = append(seeds, n)
		}
	}
	if len(seeds) == 0 {
		return []string{but}
	}
	return seeds
}

// docNumber tells each configuration of a run from all others: the same one asked for
// twice on one base is rightly accepted twice.
func (w *World) docNumber() int { return 1000 + len(w.changes) }
