package simulator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/shared/wire"
)

// Fault is a kind of fault, or of operators' work that meets faults. A name is what mfsim's flag --kind takes.
type Fault struct {
	Name   string
	Inject func(w *World) // starts it, and schedules its end
}

// Faults are all kinds of faults. Days draw by index: new kinds go to the end of their list.
var Faults = slices.Concat(targetFaults, proxyFaults, controlFaults, networkFaults, operatorFaults)

// FaultByName finds a fault.
func FaultByName(name string) (Fault, bool) {
	i := slices.IndexFunc(Faults, func(f Fault) bool { return strings.EqualFold(f.Name, name) })
	if i < 0 {
		return Fault{}, false
	}
	return Faults[i], true
}

// defaultLossPause is how long after a control machine's return or start the next may be lost,
// where the plan does not say.
const defaultLossPause = 8 * time.Second

// lossPause is how long after a control machine's return or start the next may be lost.
func (w *World) lossPause() time.Duration { return cmp.Or(w.Plan.CatchUp, defaultLossPause) }

// expendableControlDaemon draws a control daemon whose loss leaves a sound majority; nil: there is none now.
func (w *World) expendableControlDaemon() *Process {
	if w.processes.replacing > 0 || w.processes.replaced > 0 && w.partitionedLately() {
		return nil // machines that are cut off count as lost, and one that is removed can't come back instead
	}
	daemons := w.daemons(wire.ControlDaemon)
	for _, p := range daemons {
		d := p.disk
		if !p.alive || p.frozen || d.stalled || d.full || d.rejecting || w.now-p.startedOrKilledAt < w.lossPause() {
			return nil // one at a time: the others are the majority
		}
	}
	return daemons[w.random.IntN(len(daemons))]
}

// partitionedLately says whether control daemons are cut off from each other, or were until a short while ago.
func (w *World) partitionedLately() bool {
	return w.now < w.network.controlPartitionedUntil+w.lossPause()
}

// killAndRestart kills a process and starts it again after some time between two numbers of milliseconds.
func (w *World) killAndRestart(p *Process, low, high int) {
	w.Kill(p)
	w.restartLater(p, w.randomMilliseconds(low, high))
}

// killAndRestartAll does that with several processes.
func (w *World) killAndRestartAll(processes []*Process, low, high int) {
	for _, p := range processes {
		w.killAndRestart(p, low, high)
	}
}

// fleet are all daemons whose machines are there.
func (w *World) fleet() (daemons []*Process) {
	for _, name := range w.processes.names {
		daemons = append(daemons, w.process(name))
	}
	return daemons
}
