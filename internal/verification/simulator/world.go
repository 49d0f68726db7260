// Package simulator is a deterministic simulator of a whole fleet in virtual time. It runs the production state machines of
// control daemons and proxies on simulated machines. The network delays, loses and reorders messages and has partitions. Disks
// stall, lose unsynced writes or all data. Clocks start at different times and run at different rates. Processes crash, freeze
// and restart. Targets, callers and operators are simulated too. Rules are checked at each step that can break them. All
// randomness comes from the seed: the same seed gives the same trace.
//
// The simulator doesn't run the daemons' I/O code (HTTP, connections, files). The tests of package daemon and mfchaos do.
//
// World is the entry point to the code. The files process.go and commands.go run the state machines, random_faults.go defines a
// run of random faults, rules.go the checks, and scenes.go the runs which show that each check can fail.
package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/wire"
)

// GCPercent is the garbage collection target percentage (see debug.SetGCPercent) for programs that run worlds. It is high because
// a world holds only a few MiB but allocates many short-lived objects.
const GCPercent = 400

// bootstrapWindow is the time from the start of the run within which control daemons start with the setting for a first
// bootstrap, if the plan has seed nodes.
const bootstrapWindow = 1050 * time.Millisecond

// World is one run: the simulated machines, the network, the clients, and what the run recorded.
type World struct {
	Plan    Plan
	Seed    uint64
	Failure string // name of the first violated rule, a colon and a description; "" while all rules hold
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
	digest        *digest // nil if the plan doesn't ask for it
}

// New returns a world whose machines have just started.
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

// startDaemons adds the plan's daemons and starts them: all at once, or at random times within a second if the plan has seed nodes.
func (w *World) startDaemons() {
	for i := range w.Plan.ControlDaemons {
		w.addProcess(wire.ControlDaemon, fmt.Sprintf("c%d", i+1), i%w.Plan.Domains)
	}
	for i := range w.Plan.Proxies {
		w.addProcess(wire.ProxyDaemon, fmt.Sprintf("g%d", i+1), i%w.Plan.Domains)
	}
	w.processes.seedDaemons = w.processes.names[:min(3, len(w.processes.names))]
	if w.Plan.SeedNodes > 0 {
		w.processes.seedDaemons = w.processes.names[:w.Plan.SeedNodes]
	}
	for _, name := range w.processes.names {
		p := w.process(name)
		if w.Plan.SeedNodes == 0 {
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

// AwaitServing runs until the whole fleet serves (see Serving) or the given time is over. It reports whether the fleet serves.
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

// Serving reports whether there is a leader that has a configuration and an available target of each service, and every running
// proxy holds a lease and a table of the leader's term.
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
