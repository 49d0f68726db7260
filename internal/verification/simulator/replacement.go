package simulator

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/shared/wire"
)

// controlStopGrace is how long after the stop signal the process of a replaced control machine is killed.
const controlStopGrace = 6 * time.Second

// ReplaceControlDaemon takes a control machine away for good: its process and disk never come back. Its successor
// is an empty daemon in the same domain under another name and address. Unplanned, the old one is killed now and the
// successor starts after the pause. Planned, the successor starts now and the old one
// gets the stop signal after the pause. Then is called once both have happened, with the
// time of the successor's start.
func (w *World) ReplaceControlDaemon(old *Process, planned bool, pause time.Duration, then func(started time.Duration)) {
	w.processes.replaced++
	w.processes.replacing++
	w.Stats.ReplacedMachines++
	name := fmt.Sprintf("r%d", w.processes.replaced)
	if !planned {
		w.logf("%s is gone for good", old.name)
		w.Kill(old)
		w.removeMachine(old)
		w.schedule(pause, func() {
			w.startSuccessor(old, name)
			w.processes.replacing--
			then(w.now)
		})
		return
	}
	w.startSuccessor(old, name)
	started := w.now
	w.schedule(pause, func() {
		w.logf("stop %s for good", old.name)
		if old.alive {
			w.stopProcess(old)
		}
		w.removeOnceStopped(old, w.now+controlStopGrace, func() {
			w.processes.replacing--
			then(started)
		})
	})
}

// startSuccessor starts an empty control daemon in the domain of another.
func (w *World) startSuccessor(old *Process, name string) {
	w.logf("%s comes in place of %s", name, old.name)
	w.addProcess(wire.ControlDaemon, name, domainIndex(old.domain))
	w.processes.seeds = w.seedsFor(name)
	w.startProcess(w.process(name))
}

// addAndStart starts a daemon on a new machine.
func (w *World) addAndStart(kind wire.DaemonKind, name string, domain int) *Process {
	w.addProcess(kind, name, domain)
	p := w.process(name)
	w.startProcess(p)
	return p
}

// domainIndex is a domain's number from 0, by its name.
func domainIndex(domain string) int { return int(domain[1] - '1') }

// replaceRandomControlDaemon replaces a control machine, the leader half of the time, where the control plane looks
// after its members itself and no other machine of it is lost.
func (w *World) replaceRandomControlDaemon(planned bool) {
	p := w.expendableControlDaemon()
	if p == nil || w.Plan.Seeds == 0 || w.partitionedLately() {
		return
	}
	if leader := w.Leader(); leader != nil && w.random.IntN(2) == 0 {
		p = leader
	}
	if w.random.IntN(2) == 0 {
		w.putNextConfig(p)
	}
	w.ReplaceControlDaemon(p, planned, w.randomMilliseconds(0, 1500), func(time.Duration) {})
}

// removeOnceStopped waits for a process that has the stop signal, kills it at the deadline, and
// then removes its machine.
func (w *World) removeOnceStopped(old *Process, deadline time.Duration, then func()) {
	if old.alive && w.now < deadline {
		w.schedule(10*time.Millisecond, func() { w.removeOnceStopped(old, deadline, then) })
		return
	}
	w.Kill(old)
	w.removeMachine(old)
	then()
}

// removeMachine removes a machine that never comes back; to the history its disk is lost.
func (w *World) removeMachine(old *Process) {
	w.recordDiskLoss(old)
	old.removed = true
	w.forgetMachine(old)
}

// forgetMachine takes a machine out of the fleet.
func (w *World) forgetMachine(old *Process) {
	w.processes.names = slices.DeleteFunc(w.processes.names, func(name string) bool { return name == old.name })
}

// seedsFor are the names of the seeds of a process that is started now: up to three living
// control daemons, itself left out if there are others.
func (w *World) seedsFor(self string) (seeds []string) {
	for _, p := range w.daemons(wire.ControlDaemon) {
		if p.alive && p.name != self && len(seeds) < 3 {
			seeds = append(seeds, p.name)
		}
	}
	if len(seeds) == 0 {
		return []string{self}
	}
	return seeds
}
