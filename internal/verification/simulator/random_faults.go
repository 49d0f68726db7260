package simulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/shared/wire"
)

const (
	// bootstrapTime is the usual time from the start of a fleet until it has a leader, and maxBootstrapTime the maximum,
	// which allows for another election after a split vote.
	bootstrapTime    = 5 * time.Second
	maxBootstrapTime = 10 * time.Second
	// firstConfigurationTime is the maximum time until the fleet serves with its first configuration.
	firstConfigurationTime = 3 * time.Second
	// timeBeforeHealing is how long a run continues after the span in which faults begin, before it heals all faults.
	timeBeforeHealing = 9 * time.Second
	// recoveryBound is the maximum time from healing until the fleet serves at full capacity again.
	recoveryBound = 15 * time.Second
	// observationTime is how long served requests are counted after recovery, and servedShare the fraction of the plan's
	// rate that must be served in that time.
	observationTime = 8 * time.Second
	servedShare     = 0.7
	// readInterval is the time between two reads of the configuration.
	readInterval = 400 * time.Millisecond
)

// Start creates a world, bootstraps its fleet, puts a first configuration in force and starts the callers.
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
		world.violated(ruleBootstrap, "no leader %v after the start", maxBootstrapTime)
		return world
	}
	world.PutConfig(leader, 0, 1)
	if !world.AwaitServing(firstConfigurationTime) && world.Failure == "" {
		world.violated(ruleBootstrap, "not serving %v after the first configuration was sent", firstConfigurationTime)
	}
	world.StartCallers()
	return world
}

// RunRandomFaults starts a fleet and injects the given number of faults at random times within span. Their kinds are drawn from
// kinds, or from Faults if kinds is empty. Then it heals all faults, waits for recovery and makes the final checks. The seed
// determines the run. mfsim calls such a run a day.
func RunRandomFaults(seed uint64, plan Plan, kinds []Fault, faults int, span time.Duration) *World {
	return runRandomFaults(seed, plan, kinds, faults, span, func(*World) {})
}

// runRandomFaults is like RunRandomFaults but calls prepare once the fleet serves. If there are as many kinds as faults, each
// kind is injected once.
func runRandomFaults(seed uint64, plan Plan, kinds []Fault, faults int, span time.Duration, prepare func(*World)) *World {
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
	if !world.Run(begin + span + timeBeforeHealing) {
		return world
	}
	world.Heal()
	world.AwaitRecovery(recoveryBound)
	world.Finish()
	return world
}

// inject logs and starts a fault.
func (w *World) inject(f Fault) {
	w.logf("fault: %s", f.Name)
	f.Inject(w)
}

// Heal ends all faults.
func (w *World) Heal() {
	w.logf("heal")
	clear(w.network.blocked)
	putConfig := func() { // the configuration in force may lack a service
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
	w.restoreNetwork()
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

// AwaitRecovery runs until the fleet serves with all ready targets. It is a violation if that takes longer than within.
func (w *World) AwaitRecovery(within time.Duration) {
	from := w.now
	if !w.AwaitServing(within) && w.Failure == "" {
		w.violated(ruleRecoveryTime, "not serving %v after healing; daemons: %s", within, w.describeDaemons())
	}
	for w.Failure == "" && w.missingTarget() != "" {
		if w.now-from > within {
			w.violated(ruleFullCapacity, "target %s is not in use %v after healing", w.missingTarget(), within)
		}
		w.Run(w.now + 100*time.Millisecond)
	}
	w.Stats.RecoveryTime = w.now - from
}

// missingTarget returns the name of a ready target that the leader's table doesn't offer to requests, or "" if there is none.
// Of several targets with the same name, the table needs to offer only one.
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

// offered reports whether the leader's table offers a target to requests.
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

// describeDaemons returns a summary of each daemon's state.
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

// Finish checks that requests are served after recovery, stops the callers and waits for the last changes and requests to end.
// Then it makes the checks that need the whole run.
func (w *World) Finish() {
	if w.Failure != "" {
		return
	}
	from := w.now
	w.Run(w.now + observationTime)
	if served := w.ServedBetween(from, w.now); w.Failure == "" && served < int(w.Plan.Rate*observationTime.Seconds()*servedShare) {
		w.violated(ruleServingAgain, "only %d requests served in the %v after recovery", served, observationTime)
	}
	w.callers.stopped = true
	w.Run(w.now + 3*time.Second)
	w.CheckAcknowledgedChanges()
	w.CheckHistory()
	w.CheckRetryBudget()
	w.checkNothingInFlight()
}
