// Package simulator runs the state machines of a whole fleet in virtual time: control daemons and proxies as
// they are, on simulated machines. Its network is seeded, with delay, loss and partitions; its disks stall, tear
// and are lost; its clocks start anywhere and run at unlike speed; processes crash, freeze and come back; targets,
// callers and operators are simulated. What must never happen is checked at each step that it concerns. A seed
// is a run: the same seed gives the same trace, step by step.
//
// It does not run the daemons' shells (HTTP, connections, files); package daemon's tests and mfchaos do.
//
// Begin with World, then process.go and commands.go (how a state machine is run), day.go (a random run),
// rules.go (what is checked) and scenes.go (how each check is shown to be able to fail).
package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/wire"
)

// GCPercent is how far the heap of a program that runs worlds may grow between two
// collections, in percent: each world holds a few MiB and makes much that is soon garbage.
const GCPercent = 400

// bootstrapWindow is for how long after the beginning processes start with the setting that the fleet starts for the first time.
const bootstrapWindow = 1050 * time.Millisecond

// World is one run: the machines, what they do to each other, and what was seen of it.
type World struct {
	Plan    Plan
	Seed    uint64
	Failure string // the first rule that was broken, a colon, and how; "" while all hold
	Stats   Stats

	scheduler
	trace     trace
	processes processes
	targets   targets
	network   network
	callers   callers
	operators operators
	checks    checks

	disabledGuard Guard   // guardNone in ordinary runs
	digest        *digest // nil: the plan asks for none
}

// New returns a world whose machines have just been switched on.
func New(seed uint64, plan Plan) *World {
	w := &World{Plan: plan, Seed: seed, scheduler: newScheduler(seed), processes: newProcesses(), targets: newTargets(),
		network: newNetwork(), callers: newCallers(), operators: newOperators(), checks: newChecks()}
	if plan.Digest {
		w.digest = newDigest()
	}
	w.startDaemons()
	w.startTargets()
	return w
}

// startDaemons adds the plan's daemons and starts them: all at once, or within a second if the control
// plane bootstraps from seeds.
func (w *World) startDaemons() {
	for i := range w.Plan.ControlDaemons {
		w.addProcess(wire.ControlDaemon, fmt.Sprintf("c%d", i+1), i%w.Plan.Domains)
	}
	for i := range w.Plan.Proxies {
		w.addProcess(wire.ProxyDaemon, fmt.Sprintf("g%d", i+1), i%w.Plan.Domains)
	}
	w.processes.seeds = w.processes.names[:min(3, len(w.processes.names))]
	if w.Plan.Seeds > 0 {
		w.processes.seeds = w.processes.names[:w.Plan.Seeds]
	}
	for _, name := range w.processes.names {
		p := w.process(name)
		if w.Plan.Seeds == 0 {
			w.startProcess(p)
		} else {
			w.schedule(w.randomMilliseconds(0, 1000), func() { w.startProcess(p) })
		}
	}
}

// startTargets starts the plan's targets.
func (w *World) startTargets() {
	number := 0
	for _, service := range slices.Sorted(maps.Keys(w.Plan.Services)) {
		for i := range w.Plan.Services[service] {
			w.AddTarget(service, fmt.Sprintf("%s%d", service, i+1), fmt.Sprintf("d%d", number%w.Plan.Domains+1), fmt.Sprintf("10.1.0.%d:80", number+1), 0)
			number++
		}
	}
}

// AwaitServing runs until the whole fleet serves (see Serving), and says whether it does within that time.
func (w *World) AwaitServing(within time.Duration) bool {
	end := w.now + within
	for w.now < end {
		if !w.Run(w.now + 100*time.Millisecond) {
			return false
		}
		if w.Serving() {
			return true
		}
	}
	return false
}

// Serving says whether a leader has a configuration and an available target of each service, and every
// living proxy holds a lease and a table of its term.
func (w *World) Serving() bool {
	leader := w.Leader()
	if leader == nil || leader.controller.Table() == nil || len(leader.controller.Table().Proxies) == 0 || leader.controller.Revision() == 0 {
		return false
	}
	table := leader.controller.Table()
	for _, name := range w.processes.names {
		p := w.process(name)
		if p.proxy != nil && p.alive && (p.proxy.State() != dataplane.Leased || p.proxy.Table().Key.Term != table.Key.Term) {
			return false
		}
	}
	for service := range w.Plan.Services {
		available := func(t wire.Target) bool {
			return t.Service == service && !t.Draining && t.EjectionLeft == 0 && !t.Pending
		}
		if !slices.ContainsFunc(table.Targets, available) {
			return false
		}
	}
	return true
}
