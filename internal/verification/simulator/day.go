package simulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/shared/wire"
)

const (
	// bootstrapTime is how long a fleet that is switched on may take until it has a leader, in the usual case, and
	// maxBootstrapTime if a vote is split: that costs another election.
	bootstrapTime    = 5 * time.Second
	maxBootstrapTime = 10 * time.Second
	// firstConfigurationTime is how long it may take to serve by its first configuration.
	firstConfigurationTime = 3 * time.Second
	// afterFaults is how long a day goes on after its last fault, before healing.
	afterFaults = 9 * time.Second
	// recoveryBound is how long after healing everything must serve again.
	recoveryBound = 15 * time.Second
	// observationTime is for how long after recovery requests are counted, and servedShare the part of them that
	// must be served.
	observationTime = 8 * time.Second
	servedShare     = 0.7
	// readInterval is the time between two reads of the configuration.
	readInterval = 400 * time.Millisecond
)

// Start bootstraps the fleet, puts a first configuration in force and starts the callers.
func Start(seed uint64, plan Plan) *World {
	world := New(seed, plan)
	if !world.Run(bootstrapTime) {
		return world
	}
	for world.Leader() == nil && world.now < maxBootstrapTime && world.Failure == "" {
		world.Run(world.now + 100*time.Millisecond)
	}
	leader := world.Leader()
	if leader == nil {
		world.violated(ruleBootstrap, "no leader after 10 s")
		return world
	}
	world.PutConfig(leader, 0, 1)
	if !world.AwaitServing(firstConfigurationTime) && world.Failure == "" {
		world.violated(ruleBootstrap, "not serving 3 s after the first configuration")
	}
	world.StartCallers()
	return world
}

// Day runs a seed: so many faults drawn from kinds (all if none is named) that begin over
// a span of time, then healing, then the last checks.
func Day(seed uint64, plan Plan, kinds []Fault, faults int, span time.Duration) *World {
	return day(seed, plan, kinds, faults, span, func(*World) {})
}

// day is a Day that is prepared by a function once the fleet serves. With as many kinds as faults each comes once.
func day(seed uint64, plan Plan, kinds []Fault, faults int, span time.Duration, prepare func(*World)) *World {
	world := Start(seed, plan)
	if world.Failure != "" {
		return world
	}
	prepare(world)
	if len(kinds) == 0 {
		kinds = Faults
	}
	begin := world.now
	for i := range faults {
		fault := kinds[world.random.IntN(len(kinds))]
		if len(kinds) == faults {
			fault = kinds[i]
		}
		world.schedule(time.Duration(world.random.Int64N(int64(span))), func() { world.inject(fault) })
	}
	world.StartReaders(readInterval)
	if !world.Run(begin + span + afterFaults) {
		return world
	}
	world.Heal()
	world.AwaitRecovery(recoveryBound)
	world.Finish()
	return world
}

// inject starts a fault.
func (w *World) inject(f Fault) {
	w.logf("fault: %s", f.Name)
	f.Inject(w)
}

// Heal ends all faults.
func (w *World) Heal() {
	w.logf("heal")
	clear(w.network.blocked)
	putConfig := func() { // a service may have been left out
		if leader := w.Leader(); leader != nil {
			w.PutConfig(leader, w.Revision(), w.random.IntN(1000))
		}
	}
	if w.Leader() != nil {
		putConfig()
	} else {
		w.schedule(4*time.Second, putConfig)
	}
	w.operators.repliesLostUntil = 0
	w.calmNetwork()
	for _, p := range w.fleet() {
		p.slowdown, p.disk.slowdown, p.disk.full = 0, 0, false
		if !p.alive {
			w.Restart(p)
		}
		w.Thaw(p)
	}
	for _, t := range w.targets.all {
		t.hanging, t.losesResponses, t.sendsSurplus, t.serviceTime = false, false, false, t.usualServiceTime
	}
}

// AwaitRecovery runs until the fleet serves with all targets that are ready; it must within that time.
func (w *World) AwaitRecovery(within time.Duration) {
	from := w.now
	if !w.AwaitServing(within) && w.Failure == "" {
		w.violated(ruleRecoveryTime, "not serving %v after healing: %s", within, w.describeDaemons())
	}
	for w.Failure == "" && w.missingTarget() != "" {
		if w.now-from > within {
			w.violated(ruleFullCapacity, "%s not served %v after healing", w.missingTarget(), within)
		}
		w.Run(w.now + 100*time.Millisecond)
	}
	w.Stats.RecoveryTime = w.now - from
}

// missingTarget names a target that lives and is ready, and that the leader's table does
// not offer; "" if there is none. Of two that claim one name, one is enough.
func (w *World) missingTarget() string {
	for _, t := range w.targets.all {
		if !t.alive || t.state != wire.TargetReady || w.targets.listening[t.address] != t || w.offered(t) {
			continue
		}
		offersNamesake := func(o *Target) bool { return o.fullName() == t.fullName() && w.offered(o) }
		if !slices.ContainsFunc(w.targets.all, offersNamesake) {
			return t.fullName()
		}
	}
	return ""
}

// offered says whether the leader's table offers a target to requests.
func (w *World) offered(t *Target) bool {
	leader := w.Leader()
	if leader == nil || leader.controller.Table() == nil {
		return false
	}
	for _, entry := range leader.controller.Table().Targets {
		if entry.ID() == t.id() {
			return !entry.Draining && !entry.Pending && entry.EjectionLeft == 0
		}
	}
	return false
}

// describeDaemons says how each daemon is.
func (w *World) describeDaemons() string {
	var b strings.Builder
	for _, p := range w.fleet() {
		if p.controller != nil {
			status := p.controller.Status(p.localTime())
			fmt.Fprintf(&b, "%s %s %s epoch %d term %d; ", p.name, status.Role, status.Leadership, status.Epoch, status.Term)
		} else {
			fmt.Fprintf(&b, "%s %s; ", p.name, p.proxy.State())
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
	w.Run(w.now + observationTime)
	if served := w.ServedBetween(from, w.now); w.Failure == "" && served < int(w.Plan.Rate*observationTime.Seconds()*servedShare) {
		w.violated(ruleServingAgain, "%d exchanges served in the 8 s after healing", served)
	}
	w.callers.stopped = true
	w.Run(w.now + 3*time.Second)
	w.CheckAcknowledgedChanges()
	w.CheckHistory()
	w.CheckRetryBudget()
	w.checkNothingInFlight()
}
