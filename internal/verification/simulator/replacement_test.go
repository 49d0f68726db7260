package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// machineLoss is a way to lose a control machine temporarily or permanently.
type machineLoss struct {
	name string // what happens to the machine, for the trace
	// inject causes the loss. It calls allowNext once, with the time from which the next loss is allowed.
	inject func(w *World, p *Process, allowNext func(at time.Duration))
}

// machineLosses lists the ways to lose a control machine. The first two are the unplanned and the planned replacement.
var machineLosses = []machineLoss{
	{"replaced", func(w *World, p *Process, allowNext func(time.Duration)) {
		w.ReplaceControlDaemon(p, false, w.randomMilliseconds(0, 1500), func(started time.Duration) { allowNext(started + testCatchUp) })
	}},
	{"replaced as planned", func(w *World, p *Process, allowNext func(time.Duration)) {
		w.ReplaceControlDaemon(p, true, w.randomMilliseconds(0, 1500), func(started time.Duration) { allowNext(max(w.now, started+testCatchUp)) })
	}},
	{"restarted", func(w *World, p *Process, allowNext func(time.Duration)) {
		w.Kill(p)
		w.schedule(w.randomMilliseconds(100, 6000), func() { w.Restart(p); allowNext(w.now + testCatchUp) })
	}},
	{"restarted as planned", func(w *World, p *Process, allowNext func(time.Duration)) {
		w.stopProcess(p)
		w.schedule(w.randomMilliseconds(800, 3000), func() { w.Kill(p); w.Restart(p); allowNext(w.now + testCatchUp) })
	}},
	{"restarted with an empty disk", func(w *World, p *Process, allowNext func(time.Duration)) {
		w.Kill(p)
		w.WipeDisk(p)
		w.schedule(w.randomMilliseconds(100, 3000), func() { w.Restart(p); allowNext(w.now + testCatchUp) })
	}},
	{"isolated", func(w *World, p *Process, allowNext func(time.Duration)) {
		d := w.randomMilliseconds(500, 9000)
		w.isolate([]string{p.name}, d, true, true)
		w.schedule(d, func() { allowNext(w.now + testCatchUp) })
	}},
	{"frozen", func(w *World, p *Process, allowNext func(time.Duration)) {
		d := w.randomMilliseconds(300, 6000)
		w.Freeze(p, d)
		w.schedule(d, func() { allowNext(w.now + testCatchUp) })
	}},
}

// chooseMachines returns the given number of running machines, chosen at random, to lose next: the leader, other members or
// standbys.
func (w *World) chooseMachines(t *testing.T, machines int) (chosen []*Process) {
	t.Helper()
	if w.Leader() == nil {
		t.Fatalf("seed %d: no leader before the next loss\n%s", w.Seed, w.Trace(60))
	}
	members := w.memberNames()
	for len(chosen) < machines {
		p := w.process(members[w.random.IntN(len(members))])
		switch w.random.IntN(6) {
		case 0, 1:
			p = w.Leader()
		case 2:
			p = w.pickProcess(wire.ControlDaemon, true)
		}
		if p.alive && !slices.Contains(chosen, p) {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// loseMachines loses the given number of machines at once, each in a random one of the given ways, and waits until the next loss
// is allowed. A leader must acknowledge changes again within failoverBound.
func (w *World) loseMachines(t *testing.T, round int, kinds []machineLoss, machines int) {
	t.Helper()
	nextAllowed, ongoing := time.Duration(0), machines
	allowNext := func(at time.Duration) { nextAllowed, ongoing = max(nextAllowed, at), ongoing-1 }
	for _, p := range w.chooseMachines(t, machines) {
		k := kinds[w.random.IntN(len(kinds))]
		w.logf("round %d: %s is %s", round, p.name, k.name)
		k.inject(w, p, allowNext)
	}
	w.requireLeader(t, round)
	w.runUntil(time.Minute, func() bool { return ongoing == 0 })
	w.Run(max(w.now, nextAllowed))
	requireNoFailure(t, w)
}

// replacementPlan returns a fleet with a small data plane, whose control plane must tolerate the next loss testCatchUp
// after a replacement has started.
func replacementPlan(controlDaemons, domains int) Plan {
	p := bootstrapPlan(controlDaemons, min(controlDaemons, 3))
	p.Domains, p.CatchUp = domains, testCatchUp
	p.Proxies, p.Rate, p.Services = 2, 20, map[string]int{"fares": 2}
	return p
}

// Losses follow one another as soon as they are allowed (see testCatchUp), on control planes of several sizes. After each of
// them a leader must be elected; in the end it accepts changes, and no acknowledged change is lost.
func TestLossRightAfterRepairIsTolerated(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ controlDaemons, domains, atOnce, members int }{
		{3, 3, 1, 3}, {4, 3, 1, 3}, {4, 4, 1, 3}, {5, 3, 1, 5}, {7, 3, 1, 7}, {7, 4, 2, 7}, {11, 3, 2, 7}, {11, 4, 2, 7},
	} {
		for seed := range uint64(8) {
			for _, changing := range []bool{false, true} { // the configuration is changed ten times a second meanwhile
				t.Run(fmt.Sprintf("%d control daemons in %d domains, %d at once, changing %v", c.controlDaemons, c.domains, c.atOnce, changing), func(t *testing.T) {
					t.Parallel()
					p := replacementPlan(c.controlDaemons, c.domains)
					p.Losses = c.atOnce
					w := Start(seed, p)
					w.runUntil(10*time.Second, w.hasMembers(c.members))
					requireNoFailure(t, w)
					w.Run(w.now + testCatchUp)
					kinds := machineLosses
					if seed%2 == 0 {
						kinds = machineLosses[:2] // replacements only
					}
					for round := range 8 {
						if changing {
							w.changeTenTimesASecond(5 * time.Second)
						}
						w.loseMachines(t, round, kinds, 1+round%c.atOnce)
					}
					w.runUntil(2*tuning.GrowAfter, w.hasMembers(c.members))
					w.checkMembership(t, c.members)
					w.requireChange(t)
					w.AwaitRecovery(15 * time.Second)
					w.Finish()
					requireNoFailure(t, w)
					if e := w.Leader().controller.Status(0).Epoch; e != 1 {
						t.Errorf("seed %d: epoch %d, want 1", seed, e)
					}
				})
			}
		}
	}
}

// The only machine of a control plane is replaced as planned, five times. Each transfers all acknowledged changes to its
// successor before its process ends.
func TestSingleMemberHandsOverBeforeItStops(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := Start(seed, replacementPlan(1, 3))
		for round := range 5 {
			if seed%2 == 1 {
				w.changeTenTimesASecond(5 * time.Second)
			}
			w.loseMachines(t, round, machineLosses[1:2], 1)
			w.requireChange(t)
			if n := len(w.memberNames()); n != 1 {
				t.Fatalf("seed %d, round %d: members %v, want one\n%s", seed, round, w.memberNames(), w.Trace(40))
			}
		}
		w.AwaitRecovery(15 * time.Second)
		w.Finish()
		requireNoFailure(t, w)
	}
}

// The sequence of a former incident: a planned replacement while the configuration is changed ten times a second, then a
// leader that is isolated, and another two replacements, each followed by a change.
func TestReplacementsDuringChangesAndIsolation(t *testing.T) {
	t.Parallel()
	for seed := range uint64(16) {
		w := Start(seed, replacementPlan([]int{3, 4, 5, 7}[seed%4], 3))
		w.runUntil(10*time.Second, w.hasMembers([]int{3, 3, 5, 7}[seed%4]))
		w.Run(w.now + testCatchUp)
		w.changeTenTimesASecond(16 * time.Second)
		w.Run(w.now + 2*time.Second)
		w.loseMachines(t, 0, machineLosses[1:2], 1)
		w.Run(w.now + 10*time.Second)
		l := w.Leader()
		if l == nil {
			t.Fatalf("seed %d: no leader after the burst of changes\n%s", seed, w.Trace(60))
		}
		w.isolate([]string{l.name}, 4*time.Second, true, true)
		w.requireLeader(t, 1)
		w.Run(w.now + 4*time.Second + testCatchUp)
		w.loseMachines(t, 2, machineLosses[:1], 1)
		w.Run(w.now + 2*time.Second)
		w.requireChange(t)
		w.loseMachines(t, 3, machineLosses[:1], 1)
		w.Run(w.now + 2*time.Second)
		w.requireChange(t)
		w.AwaitRecovery(15 * time.Second)
		w.Finish()
		requireNoFailure(t, w)
	}
}

// A whole domain is lost and returns; testCatchUp later the next domain is lost, or a single machine.
func TestLossRightAfterDomainReturnsIsTolerated(t *testing.T) {
	t.Parallel()
	for seed := range uint64(16) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			controlDaemons := []int{3, 5, 7, 11}[seed%4]
			w := Start(seed, replacementPlan(controlDaemons, 3+int(seed/4%2)))
			w.runUntil(10*time.Second, w.hasMembers(min(controlDaemons, 7)))
			w.Run(w.now + testCatchUp)
			for round := range 6 {
				if round%3 == 2 {
					w.loseMachines(t, round, machineLosses, 1)
					continue
				}
				domain := w.randomDomain()
				w.logf("round %d: domain %s is lost", round, domain)
				outage := w.randomMilliseconds(500, 8000)
				for _, p := range w.daemons(wire.ControlDaemon) {
					if p.domain == domain {
						w.Kill(p)
						w.schedule(outage, func() { w.Restart(p) })
					}
				}
				from := w.now
				w.requireLeader(t, round)
				w.Run(from + outage + testCatchUp)
				requireNoFailure(t, w)
			}
			w.runUntil(2*tuning.GrowAfter, w.hasMembers(min(controlDaemons, 7)))
			w.checkMembership(t, min(controlDaemons, 7))
			w.requireChange(t)
			w.AwaitRecovery(15 * time.Second)
			w.Finish()
			requireNoFailure(t, w)
		})
	}
}

// Runs of random faults of control machines only, several of which remove a machine permanently, at the intervals that
// the control plane must tolerate.
func TestRandomFaultsWithMachineReplacements(t *testing.T) {
	t.Parallel()
	kinds := faultsNamed(t, "control machine replaced after a loss", "control machine replaced as planned", "control machine replaced after a loss", "control daemon killed",
		"leader killed", "leader restarted gracefully", "control daemon loses disk", "leader frozen", "leader isolated", "all control daemons killed",
		"power failure of the whole fleet", "network loses and delays messages", "config burst", "power failure of a domain", "control daemons restarted in turn")
	replaced := 0
	for seed := uint64(1); seed <= 40; seed++ {
		p := replacementPlan([]int{3, 4, 5, 7, 11}[seed%5], 3+int(seed/5%2))
		w := RunRandomFaults(seed, p, kinds, 30, 50*time.Second)
		requireNoFailure(t, w)
		replaced += w.Stats.ReplacedMachines
	}
	if replaced < 40 {
		t.Errorf("only %d machines were replaced in all runs, want at least 40", replaced)
	}
	t.Logf("%d machines were replaced in all runs", replaced)
}

// A permanently replaced machine counts as a lost disk in the recorded history. Two of three within diskLossWindow count as
// the loss of a majority of the disks, after which the history forgets reads of state that may be lost; one does not.
func TestReplacedMachineCountsAsLostDisk(t *testing.T) {
	t.Parallel()
	w := Start(31, bootstrapPlan(3, 3))
	unacknowledged := w.checks.acknowledged + 1
	w.checks.history.Reset()
	w.checks.history.Read(w.now).Return(w.now, unacknowledged, "")
	for i, left := range []int{1, 0} {
		w.ReplaceControlDaemon(w.daemons(wire.ControlDaemon)[0], false, time.Second, func(time.Duration) {})
		if w.checks.history.Len() != left {
			t.Errorf("after %d replaced machines the history holds %d reads of state that may be lost, want %d", i+1, w.checks.history.Len(), left)
		}
		w.Run(w.now + 10*time.Second)
		w.checks.history.Reset()
		w.checks.history.Read(w.now).Return(w.now, w.checks.acknowledged+1, "")
	}
}
