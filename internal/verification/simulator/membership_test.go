package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Members are lost for good, again and again, leaders among them and while leaders crash, and
// an empty daemon at another address comes for each; seeds change with them.
func TestLostMembersAreReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(16) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			cores := []int{3, 5, 7, 9}[seed%4]
			w := Start(seed, bootstrapPlan(cores, 3))
			w.runUntil(10*time.Second, w.hasMembers(min(cores, 7)))
			for round := range 8 {
				ms := w.memberNames()
				if len(ms) == 0 {
					t.Fatalf("no leader in round %d\n%s", round, w.Trace(40))
				}
				old := w.process(ms[w.random.IntN(len(ms))])
				if round%3 == 2 {
					old = w.Leader()
				}
				w.Kill(old)
				w.forgetMachine(old)
				w.schedule(w.randomMilliseconds(0, 6000), func() {
					name := fmt.Sprintf("n%d", round)
					w.addProcess(wire.ControlDaemon, name, int(old.domain[1]-'1'))
					w.processes.seeds = []string{ms[0], ms[len(ms)-1], name}
					w.startProcess(w.process(name))
				})
				if cores > 3 {
					w.schedule(w.randomMilliseconds(7000, 12000), func() {
						if l := w.Leader(); l != nil {
							w.Kill(l)
							w.schedule(w.randomMilliseconds(500, 3000), func() { w.Restart(l) })
						}
					})
				}
				w.Run(w.now + 16*time.Second)
				w.runUntil(25*time.Second, func() bool {
					l := w.memberNames()
					return len(l) == min(cores, 7) && !slices.Contains(l, old.name)
				})
				requireNoFailure(t, w)
				w.checkMembership(t, min(cores, 7))
				w.PutConfig(w.Leader(), w.Revision(), round+5)
				w.Run(w.now + 3*time.Second)
			}
			w.AwaitRecovery(15 * time.Second)
			w.Finish()
			requireNoFailure(t, w)
			if r := w.Leader().controller.Revision(); r < 8 {
				t.Errorf("revision %d", r)
			}
			if e := w.Leader().controller.Status(0).Epoch; e != 1 {
				t.Errorf("epoch %d", e)
			}
		})
	}
}

// A member that stops gracefully is replaced by a standby before it ends, and remains a member over a
// restart of its machine if there is none; one that crashes is replaced by a standby. On
// its return it is a member again, or a standby.
func TestStoppingMemberIsReplacedByAStandby(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		polite bool
		cores  int
	}{{true, 6}, {true, 5}, {false, 6}, {false, 5}} {
		w := Start(4, bootstrapPlan(c.cores, 3))
		w.runUntil(10*time.Second, w.hasMembers(5))
		ms := w.memberNames()
		p := w.process(ms[0])
		if p == w.Leader() {
			p = w.process(ms[1])
		}
		if c.polite {
			w.stopProcess(p)
			w.runUntil(tuning.HandoverWait, func() bool { return !p.alive })
		} else {
			w.Kill(p)
			w.Run(w.now + tuning.CatchUpDefault/tuning.ReplaceParts + time.Second)
		}
		if p.alive || w.Leader() == nil {
			t.Fatalf("%+v: alive %v\n%s", c, p.alive, w.Trace(20))
		}
		if keeps := slices.Contains(w.memberNames(), p.name); keeps != (c.cores == 5) {
			t.Errorf("%+v: %v without %s\n%s", c, w.memberNames(), p.name, w.Trace(20))
		}
		w.Run(w.now + 30*time.Second)
		requireNoFailure(t, w)
		if keeps := slices.Contains(w.memberNames(), p.name); keeps != (c.cores == 5) {
			t.Errorf("%+v: later %v without %s\n%s", c, w.memberNames(), p.name, w.Trace(20))
		}
		w.Restart(p)
		w.Run(w.now + 5*time.Second)
		w.checkMembership(t, 5)
	}
}

// A domain is lost: the others are a majority. For a while its members remain members; if it
// stays away nobody is removed unless fewer then make a majority.
func TestControlPlaneSurvivesLossOfADomain(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, bootstrapPlan([]int{3, 5, 7, 11}[seed%4], 3))
		w.Run(w.now + 5*time.Second)
		n := len(w.memberNames())
		for _, p := range w.daemons(wire.ControlDaemon) {
			if p.domain == "d1" {
				w.Kill(p)
			}
		}
		w.runUntil(4*time.Second, w.hasLeader)
		if w.Leader() == nil {
			t.Fatalf("seed %d: no leader\n%s", seed, w.Trace(30))
		}
		w.Run(w.now + 90*time.Second)
		requireNoFailure(t, w)
		t.Log(n, w.memberNames())
		for _, p := range w.daemons(wire.ControlDaemon) {
			w.Restart(p)
		}
		w.Run(w.now + 20*time.Second)
		requireNoFailure(t, w)
		w.checkMembership(t, n)
	}
}

// Two of five members are lost, one after the other, and nobody comes for them: later a majority of
// three is enough, and a third may be lost.
func TestMembershipShrinksWithoutStandbys(t *testing.T) {
	t.Parallel()
	w := Start(3, bootstrapPlan(5, 3))
	w.runUntil(10*time.Second, w.hasMembers(5))
	for range 3 {
		for _, n := range w.memberNames() {
			if p := w.process(n); p != w.Leader() && p.alive {
				w.Kill(p)
				break
			}
		}
		w.Run(w.now + 75*time.Second)
		requireNoFailure(t, w)
		if w.Leader() == nil {
			t.Fatalf("no leader\n%s", w.Trace(30))
		}
	}
}

// The members are swapped one by one until none of the first is left.
func TestOperatorsSwapAllMembers(t *testing.T) {
	t.Parallel()
	w := Start(3, Small)
	for i := range 3 {
		name := []string{"c7", "c8", "c9"}[i]
		w.addAndStart(wire.ControlDaemon, name, i)
		w.Run(w.now + 2*time.Second)
		old := []string{"c1", "c2", "c3"}[i]
		for _, call := range []string{name + "/add", old + "/remove"} {
			c := &change{}
			for range 3 {
				c = &change{kind: changeKind(call)}
				w.SendChange(w.Leader(), "POST", "/v1/core/"+call, "", nil, c)
				w.Run(w.now + 4*time.Second)
				if c.state != changeRejected {
					break // a leader that is to go yields first and says so
				}
			}
			requireNoFailure(t, w)
			if c.state != changeAccepted {
				t.Fatalf("%s %s\n%s", call, c.state, w.Trace(40))
			}
		}
		w.Kill(w.process(old))
		w.PutConfig(w.Leader(), w.Revision(), i+10)
		w.Run(w.now + 2*time.Second)
	}
	requireNoFailure(t, w)
	ms := w.Leader().controller.Status(0).Members
	if len(ms) != 3 || w.Leader().controller.Revision() != 4 {
		t.Fatalf("%v revision %d\n%s", ms, w.Leader().controller.Revision(), w.Trace(40))
	}
	for _, m := range ms {
		if m.Name[1] < '7' {
			t.Fatalf("%v", ms)
		}
	}
}
