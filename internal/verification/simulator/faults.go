package simulator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/shared/wire"
)

// Fault is a kind of fault, or a kind of operator activity that runs inject among the faults. Name is a value of mfsim's flag
// --kind.
type Fault struct {
	Name   string
	Inject func(w *World) // starts the fault and schedules its end
}

// Faults lists all kinds of faults. Runs draw them by index, so any change of the order or number of kinds changes the runs of
// existing seeds.
var Faults = slices.Concat(targetFaults, proxyFaults, controlFaults, networkFaults, operatorFaults)

// faultsByNameOnly are drawn only if they are named, so that they change no run of an existing seed.
var faultsByNameOnly = []Fault{lateCalls, proxiesLeave, proxiesCrash}

// FaultByName returns the fault with the given name, ignoring case: one of Faults or of those that are drawn by name only. The
// result is false if there is none.
func FaultByName(name string) (Fault, bool) {
	for _, f := range append(slices.Clone(Faults), faultsByNameOnly...) {
		if strings.EqualFold(f.Name, name) {
			return f, true
		}
	}
	return Fault{}, false
}

// defaultLossPause is the value of lossPause for plans without CatchUp.
const defaultLossPause = 8 * time.Second

// lossPause returns the minimum time between the start or kill of a control daemon and the next loss of one.
func (w *World) lossPause() time.Duration { return cmp.Or(w.Plan.CatchUp, defaultLossPause) }

// expendableControlDaemon returns a random control daemon whose loss leaves a healthy majority, or nil if there is none now.
func (w *World) expendableControlDaemon() *Process {
	if w.processes.replacing > 0 || w.processes.replaced > 0 && w.partitionedLately() {
		return nil // partitioned machines count as lost, and a replaced machine doesn't return to restore the majority
	}
	daemons := w.daemons(wire.ControlDaemon)
	for _, p := range daemons {
		d := p.disk
		if !p.alive || p.frozen || d.stalled || d.full || d.rejecting || w.now-p.startedOrKilledAt < w.lossPause() {
			return nil // at most one daemon may be disturbed at a time, so that the others form a majority
		}
	}
	return daemons[w.random.IntN(len(daemons))]
}

// partitionedLately reports whether control daemons are partitioned from each other, or were within the last lossPause.
func (w *World) partitionedLately() bool {
	return w.now < w.network.controlPartitionedUntil+w.lossPause()
}

// killAndRestart kills a process and restarts it after a random delay of low to high milliseconds.
func (w *World) killAndRestart(p *Process, low, high int) {
	w.Kill(p)
	w.restartLater(p, w.randomMilliseconds(low, high))
}

// killAndRestartAll kills several processes and restarts each of them after a random delay of low to high milliseconds.
func (w *World) killAndRestartAll(processes []*Process, low, high int) {
	for _, p := range processes {
		w.killAndRestart(p, low, high)
	}
}

// fleet returns all daemons, running or not, whose machines weren't removed.
func (w *World) fleet() (daemons []*Process) {
	for _, name := range w.processes.names {
		daemons = append(daemons, w.process(name))
	}
	return daemons
}
