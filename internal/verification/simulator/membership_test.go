package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Members are lost permanently one after another, the leader in every third round, while other leaders crash. Each is
// replaced by a daemon with an empty disk at another address, and the list of seed nodes changes accordingly.
func TestLostMembersAreReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(16) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			controlDaemons := []int{3, 5, 7, 9}[seed%4]
			w := Start(seed, bootstrapPlan(controlDaemons, 3))
			w.runUntil(10*time.Second, w.hasMembers(min(controlDaemons, 7)))
			for round := range 8 {
				members := w.memberNames()
				if len(members) == 0 {
					t.Fatalf("seed %d: no leader in round %d\n%s", seed, round, w.Trace(40))
				}
				old := w.process(members[w.random.IntN(len(members))])
				if round%3 == 2 {
					old = w.Leader()
				}
				w.Kill(old)
				w.forgetMachine(old)
				w.schedule(w.randomMilliseconds(0, 6000), func() {
					name := fmt.Sprintf("n%d", round)
					w.addProcess(wire.ControlDaemon, name, int(old.domain[1]-'1'))
					w.processes.seedDaemons = []string{members[0], members[len(members)-1], name}
					w.startProcess(w.process(name))
				})
				if controlDaemons > 3 {
					w.schedule(w.randomMilliseconds(7000, 12000), func() {
						if l := w.Leader(); l != nil {
							w.Kill(l)
							w.schedule(w.randomMilliseconds(500, 3000), func() { w.Restart(l) })
						}
					})
				}
				w.Run(w.now + 16*time.Second)
				w.runUntil(25*time.Second, func() bool {
					now := w.memberNames()
					return len(now) == min(controlDaemons, 7) && !slices.Contains(now, old.name)
				})
				requireNoFailure(t, w)
				w.checkMembership(t, min(controlDaemons, 7))
				w.PutConfig(w.Leader(), w.Revision(), round+5)
				w.Run(w.now + 3*time.Second)
			}
			w.AwaitRecovery(15 * time.Second)
			w.Finish()
			requireNoFailure(t, w)
			if r := w.Leader().controller.Revision(); r < 8 {
				t.Errorf("seed %d: revision %d, want at least 8", seed, r)
			}
			if e := w.Leader().controller.Status(0).Epoch; e != 1 {
				t.Errorf("seed %d: epoch %d, want 1", seed, e)
			}
		})
	}
}

// A member that stops gracefully is replaced by a standby before its process ends; without a standby it remains a member
// while its machine restarts. The same applies to a crashed member. After the stopped or crashed member returns, the
// control plane has its full number of members.
func TestStoppingMemberIsReplacedByAStandby(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		graceful       bool // the member gets the stop signal; false: it is killed
		controlDaemons int  // 5 are members, the sixth is a standby
	}{{true, 6}, {true, 5}, {false, 6}, {false, 5}} {
		w := Start(4, bootstrapPlan(c.controlDaemons, 3))
		w.runUntil(10*time.Second, w.hasMembers(5))
		members := w.memberNames()
		p := w.process(members[0])
		if p == w.Leader() {
			p = w.process(members[1])
		}
		if c.graceful {
			w.stopProcess(p)
			w.runUntil(tuning.HandoverWait, func() bool { return !p.alive })
		} else {
			w.Kill(p)
			w.Run(w.now + tuning.CatchUpDefault/tuning.ReplacementDivisor + time.Second)
		}
		if p.alive || w.Leader() == nil {
			t.Fatalf("%+v: %s running: %v, want false; there is a leader: %v, want true\n%s", c, p.name, p.alive, w.Leader() != nil, w.Trace(20))
		}
		if isMember := slices.Contains(w.memberNames(), p.name); isMember != (c.controlDaemons == 5) {
			t.Errorf("%+v: %s is a member after it ended: %v, want %v; members %v\n%s", c, p.name, isMember, c.controlDaemons == 5, w.memberNames(), w.Trace(20))
		}
		w.Run(w.now + 30*time.Second)
		requireNoFailure(t, w)
		if isMember := slices.Contains(w.memberNames(), p.name); isMember != (c.controlDaemons == 5) {
			t.Errorf("%+v: %s is a member 30 s after it ended: %v, want %v; members %v\n%s", c, p.name, isMember, c.controlDaemons == 5, w.memberNames(), w.Trace(20))
		}
		w.Restart(p)
		w.Run(w.now + 5*time.Second)
		w.checkMembership(t, 5)
	}
}

// A whole domain is killed; the others still hold a majority, so a leader is elected within 4 s. Members of the lost
// domain are kept at first, and later removed only where a majority then needs fewer members. After 90 s the domain
// returns, and the control plane has as many members as before.
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
			t.Fatalf("seed %d: no leader 4 s after the loss of a domain\n%s", seed, w.Trace(30))
		}
		w.Run(w.now + 90*time.Second)
		requireNoFailure(t, w)
		t.Logf("seed %d: %d members before the loss, %v 90 s after it", seed, n, w.memberNames())
		for _, p := range w.daemons(wire.ControlDaemon) {
			w.Restart(p)
		}
		w.Run(w.now + 20*time.Second)
		requireNoFailure(t, w)
		w.checkMembership(t, n)
	}
}

// Two of five members are lost one after another and there is no standby, so the membership shrinks to three. A third
// member may then be lost: the two that are left are a majority of three and have a leader.
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
			t.Fatalf("no leader 75 s after the loss of a member\n%s", w.Trace(30))
		}
	}
}

// Operators add a new member and remove an old one until none of the original members is left.
func TestOperatorReplacesAllMembers(t *testing.T) {
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
					break // a leader that is to be removed first steps down and rejects the call
				}
			}
			requireNoFailure(t, w)
			if c.state != changeAccepted {
				t.Fatalf("POST /v1/core/%s was %s, want accepted\n%s", call, c.state, w.Trace(40))
			}
		}
		w.Kill(w.process(old))
		w.PutConfig(w.Leader(), w.Revision(), i+10)
		w.Run(w.now + 2*time.Second)
	}
	requireNoFailure(t, w)
	members := w.Leader().controller.Status(0).Members
	if len(members) != 3 || w.Leader().controller.Revision() != 4 {
		t.Fatalf("members %v, revision %d, want 3 members and revision 4\n%s", members, w.Leader().controller.Revision(), w.Trace(40))
	}
	for _, m := range members {
		if m.Name[1] < '7' {
			t.Fatalf("the original member %s is left among %v", m.Name, members)
		}
	}
}
