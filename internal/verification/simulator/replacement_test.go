package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// loss is a kind of loss of a control machine; it reports when the next may follow.
type loss struct {
	name string
	do   func(w *World, p *Process, over func(at time.Duration))
}

var losses = []loss{
	{"replaced", func(w *World, p *Process, over func(time.Duration)) {
		w.ReplaceControlDaemon(p, false, w.randomMilliseconds(0, 1500), func(started time.Duration) { over(started + testCatchUp) })
	}},
	{"replaced by plan", func(w *World, p *Process, over func(time.Duration)) {
		w.ReplaceControlDaemon(p, true, w.randomMilliseconds(0, 1500), func(started time.Duration) { over(max(w.now, started+testCatchUp)) })
	}},
	{"restarted", func(w *World, p *Process, over func(time.Duration)) {
		w.Kill(p)
		w.schedule(w.randomMilliseconds(100, 6000), func() { w.Restart(p); over(w.now + testCatchUp) })
	}},
	{"restarted by plan", func(w *World, p *Process, over func(time.Duration)) {
		w.stopProcess(p)
		w.schedule(w.randomMilliseconds(800, 3000), func() { w.Kill(p); w.Restart(p); over(w.now + testCatchUp) })
	}},
	{"disk lost", func(w *World, p *Process, over func(time.Duration)) {
		w.Kill(p)
		w.WipeDisk(p)
		w.schedule(w.randomMilliseconds(100, 3000), func() { w.Restart(p); over(w.now + testCatchUp) })
	}},
	{"cut off", func(w *World, p *Process, over func(time.Duration)) {
		d := w.randomMilliseconds(500, 9000)
		w.isolate([]string{p.name}, d, true, true)
		w.schedule(d, func() { over(w.now + testCatchUp) })
	}},
	{"frozen", func(w *World, p *Process, over func(time.Duration)) {
		d := w.randomMilliseconds(300, 6000)
		w.Freeze(p, d)
		w.schedule(d, func() { over(w.now + testCatchUp) })
	}},
}

// victims draws the machines that are lost next: the leader, other members, standbys.
func (w *World) victims(t *testing.T, machines int) (l []*Process) {
	t.Helper()
	if w.Leader() == nil {
		t.Fatalf("seed %d: nobody leads before the next loss\n%s", w.Seed, w.Trace(60))
	}
	ms := w.memberNames()
	for len(l) < machines {
		p := w.process(ms[w.random.IntN(len(ms))])
		switch w.random.IntN(6) {
		case 0, 1:
			p = w.Leader()
		case 2:
			p = w.pickProcess(wire.ControlDaemon, true)
		}
		if p.alive && !slices.Contains(l, p) {
			l = append(l, p)
		}
	}
	return l
}

// loseMachines loses so many machines at once and waits until the next loss is allowed. A
// leader must decide again within failoverBound.
func (w *World) loseMachines(t *testing.T, round int, kinds []loss, machines int) {
	t.Helper()
	until, open := time.Duration(0), machines
	over := func(at time.Duration) { until, open = max(until, at), open-1 }
	for _, p := range w.victims(t, machines) {
		k := kinds[w.random.IntN(len(kinds))]
		w.logf("round %d: %s is %s", round, p.name, k.name)
		k.do(w, p, over)
	}
	w.requireLeader(t, round)
	w.runUntil(time.Minute, func() bool { return open == 0 })
	w.Run(max(w.now, until))
	requireNoFailure(t, w)
}

func replacementPlan(cores, domains int) Plan {
	p := bootstrapPlan(cores, min(cores, 3))
	p.Domains, p.CatchUp = domains, testCatchUp
	p.Proxies, p.Rate, p.Services = 2, 20, map[string]int{"fares": 2}
	return p
}

// A loss follows the other as soon as the platform allows, on control planes of every size: there is a
// leader again each time, which accepts changes, and none is lost.
func TestLossRightAfterRepairIsBorne(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ cores, domains, atOnce, want int }{
		{3, 3, 1, 3}, {4, 3, 1, 3}, {4, 4, 1, 3}, {5, 3, 1, 5}, {7, 3, 1, 7}, {7, 4, 2, 7}, {11, 3, 2, 7}, {11, 4, 2, 7},
	} {
		for seed := range uint64(8) {
			for _, storm := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d cores in %d domains, %d at once, storm %v", c.cores, c.domains, c.atOnce, storm), func(t *testing.T) {
					t.Parallel()
					p := replacementPlan(c.cores, c.domains)
					p.Losses = c.atOnce
					w := Start(seed, p)
					w.runUntil(10*time.Second, w.hasMembers(c.want))
					requireNoFailure(t, w)
					w.Run(w.now + testCatchUp)
					kinds := losses
					if seed%2 == 0 {
						kinds = losses[:2]
					}
					for round := range 8 {
						if storm {
							w.changeTenTimesASecond(5 * time.Second)
						}
						w.loseMachines(t, round, kinds, 1+round%c.atOnce)
					}
					w.runUntil(2*tuning.GrowAfter, w.hasMembers(c.want))
					w.checkMembership(t, c.want)
					w.requireChange(t)
					w.AwaitRecovery(15 * time.Second)
					w.Finish()
					requireNoFailure(t, w)
					if e := w.Leader().controller.Status(0).Epoch; e != 1 {
						t.Errorf("seed %d: epoch %d", seed, e)
					}
				})
			}
		}
	}
}

// A control plane of one machine is replaced by plan, again and again: the old one hands over
// all that it acknowledged before it ends.
func TestOnlyMemberHandsOverBeforeItEnds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := Start(seed, replacementPlan(1, 3))
		for round := range 5 {
			if seed%2 == 1 {
				w.changeTenTimesASecond(5 * time.Second)
			}
			w.loseMachines(t, round, losses[1:2], 1)
			w.requireChange(t)
			if n := len(w.memberNames()); n != 1 {
				t.Fatalf("seed %d, round %d: members %v\n%s", seed, round, w.memberNames(), w.Trace(40))
			}
		}
		w.AwaitRecovery(15 * time.Second)
		w.Finish()
		requireNoFailure(t, w)
	}
}

// The second incident's day: changes ten times a second, a planned replacement meanwhile,
// later a leader that is isolated, and a second replacement.
func TestReplacementsDuringChangesAndIsolation(t *testing.T) {
	t.Parallel()
	for seed := range uint64(16) {
		cores := []int{3, 4, 5, 7}[seed%4]
		w := Start(seed, replacementPlan(cores, 3))
		w.runUntil(10*time.Second, w.hasMembers([]int{3, 3, 5, 7}[seed%4]))
		w.Run(w.now + testCatchUp)
		w.changeTenTimesASecond(16 * time.Second)
		w.Run(w.now + 2*time.Second)
		w.loseMachines(t, 0, losses[1:2], 1)
		w.Run(w.now + 10*time.Second)
		l := w.Leader()
		if l == nil {
			t.Fatalf("seed %d: nobody leads after the storm\n%s", seed, w.Trace(60))
		}
		w.isolate([]string{l.name}, 4*time.Second, true, true)
		w.requireLeader(t, 1)
		w.Run(w.now + 4*time.Second + testCatchUp)
		w.loseMachines(t, 2, losses[:1], 1)
		w.Run(w.now + 2*time.Second)
		w.requireChange(t)
		w.loseMachines(t, 3, losses[:1], 1)
		w.Run(w.now + 2*time.Second)
		w.requireChange(t)
		w.AwaitRecovery(15 * time.Second)
		w.Finish()
		requireNoFailure(t, w)
	}
}

// A domain is lost and comes back; testCatchUp later a machine or another domain is lost.
func TestLossRightAfterDomainReturnsIsBorne(t *testing.T) {
	t.Parallel()
	for seed := range uint64(16) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			cores := []int{3, 5, 7, 11}[seed%4]
			w := Start(seed, replacementPlan(cores, 3+int(seed/4%2)))
			w.runUntil(10*time.Second, w.hasMembers(min(cores, 7)))
			w.Run(w.now + testCatchUp)
			for round := range 6 {
				if round%3 == 2 {
					w.loseMachines(t, round, losses, 1)
					continue
				}
				dom := w.randomDomain()
				w.logf("round %d: domain %s is lost", round, dom)
				d := w.randomMilliseconds(500, 8000)
				for _, p := range w.daemons(wire.ControlDaemon) {
					if p.domain == dom {
						w.Kill(p)
						w.schedule(d, func() { w.Restart(p) })
					}
				}
				from := w.now
				w.requireLeader(t, round)
				w.Run(from + d + testCatchUp)
				requireNoFailure(t, w)
			}
			w.runUntil(2*tuning.GrowAfter, w.hasMembers(min(cores, 7)))
			w.checkMembership(t, min(cores, 7))
			w.requireChange(t)
			w.AwaitRecovery(15 * time.Second)
			w.Finish()
			requireNoFailure(t, w)
		})
	}
}

// Days of control machines' losses only, at the pace that the platform allows, with many faults of
// which several are machines lost for good.
func TestDaysOfReplacements(t *testing.T) {
	t.Parallel()
	kinds := faultsNamed(t, "core machine replaced for good", "core machine replaced by plan", "core machine replaced for good", "core killed",
		"leader killed", "leader stopped", "core loses disk", "leader frozen", "leader isolated", "core herd killed",
		"power fails everywhere", "net loses and delays", "config burst", "domain loses power", "machines restarted in turn")
	replaced := 0
	for seed := uint64(1); seed <= 40; seed++ {
		p := replacementPlan([]int{3, 4, 5, 7, 11}[seed%5], 3+int(seed/5%2))
		w := Day(seed, p, kinds, 30, 50*time.Second)
		requireNoFailure(t, w)
		replaced += w.Stats.ReplacedMachines
	}
	if replaced < 40 {
		t.Errorf("only %d machines were replaced", replaced)
	}
	t.Logf("%d machines were replaced", replaced)
}

// A machine that is replaced for good takes its disk along: to the history, two of three
// within diskLossWindow are a majority's disks lost, and one is not.
func TestReplacedMachineCountsAsLostDisk(t *testing.T) {
	t.Parallel()
	w := Start(31, bootstrapPlan(3, 3))
	unacknowledged := w.checks.acknowledged + 1
	w.checks.history.Reset()
	w.checks.history.Read(w.now).Return(w.now, unacknowledged, "")
	for i, left := range []int{1, 0} {
		w.ReplaceControlDaemon(w.daemons(wire.ControlDaemon)[0], false, time.Second, func(time.Duration) {})
		if w.checks.history.Len() != left {
			t.Errorf("after %d replaced machines the history holds %d reads of what may be lost, not %d", i+1, w.checks.history.Len(), left)
		}
		w.Run(w.now + 10*time.Second)
		w.checks.history.Reset()
		w.checks.history.Read(w.now).Return(w.now, w.checks.acknowledged+1, "")
	}
}
