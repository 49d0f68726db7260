package simulator

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/shared/wire"
)

// controlStopGrace is the time from the stop signal to a control daemon until its process is killed.
const controlStopGrace = 6 * time.Second

// ReplaceControlDaemon permanently replaces a control machine, including its disk. The successor is a daemon with an empty disk in
// the same domain, with a different name and address. In an unplanned replacement, the old daemon is killed now and the
// successor starts after the pause. In a planned one, the successor starts now and the old daemon gets the stop signal after
// the pause. Once both have happened, then is called with the time of the successor's start.
func (w *World) ReplaceControlDaemon(old *Process, planned bool, pause time.Duration, then func(started time.Duration)) {
	w.processes.replaced++
	w.processes.replacing++
	w.Stats.ReplacedMachines++
	name := fmt.Sprintf("r%d", w.processes.replaced)
	if !planned {
		w.logf("%s is lost permanently", old.name)
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
		w.logf("stop %s permanently", old.name)
		if old.alive {
			w.stopProcess(old)
		}
		w.removeOnceStopped(old, w.now+controlStopGrace, func() {
			w.processes.replacing--
			then(started)
		})
	})
}

// startSuccessor starts a control daemon with an empty disk in the domain of the old one.
func (w *World) startSuccessor(old *Process, name string) {
	w.logf("%s replaces %s", name, old.name)
	w.addProcess(wire.ControlDaemon, name, domainIndex(old.domain))
	w.processes.seedDaemons = w.seedDaemonsFor(name)
	w.startProcess(w.process(name))
}

// addAndStart starts a daemon on a new machine and returns it.
func (w *World) addAndStart(kind wire.DaemonKind, name string, domain int) *Process {
	w.addProcess(kind, name, domain)
	p := w.process(name)
	w.startProcess(p)
	return p
}

// domainIndex returns the index of a domain, starting at 0, from its name.
func domainIndex(domain string) int { return int(domain[1] - '1') }

// replaceRandomControlDaemon replaces a control machine, in half of the cases the leader's. It does nothing if another
// control machine is lost, or if the plan has no seed nodes: without them the control plane doesn't replace members itself.
func (w *World) replaceRandomControlDaemon(planned bool) {
	p := w.expendableControlDaemon()
	if p == nil || w.Plan.SeedNodes == 0 || w.partitionedLately() {
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

// removeOnceStopped waits until a stopping process has ended, or kills it at the deadline, and then removes its machine.
func (w *World) removeOnceStopped(old *Process, deadline time.Duration, then func()) {
	if old.alive && w.now < deadline {
		w.schedule(10*time.Millisecond, func() { w.removeOnceStopped(old, deadline, then) })
		return
	}
	w.Kill(old)
	w.removeMachine(old)
	then()
}

// removeMachine permanently removes a machine, including its disk.
func (w *World) removeMachine(old *Process) {
	w.recordDiskLoss(old)
	old.removed = true
	w.forgetMachine(old)
}

// forgetMachine removes a machine from the list of the fleet.
func (w *World) forgetMachine(old *Process) {
	w.processes.names = slices.DeleteFunc(w.processes.names, func(name string) bool { return name == old.name })
}

// seedDaemonsFor returns the names of the seed nodes of a process that starts now: up to three running control daemons other than itself, or
// itself if there are none.
func (w *World) seedDaemonsFor(self string) (seedDaemons []string) {
	for _, p := range w.daemons(wire.ControlDaemon) {
		if p.alive && p.name != self && len(seedDaemons) < 3 {
			seedDaemons = append(seedDaemons, p.name)
		}
	}
	if len(seedDaemons) == 0 {
		return []string{self}
	}
	return seedDaemons
}
