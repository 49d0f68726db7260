package simulator

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// threeMembers is a control plane of three members in three domains, after its first change.
func threeMembers(t *testing.T, seed uint64) *World {
	t.Helper()
	w := Start(seed, replacementPlan(3, 3))
	w.Run(w.now + testCatchUp)
	requireNoFailure(t, w)
	w.checkMembership(t, 3)
	return w
}

// An unreachable member is removed before its successor is added: a successor that dies as soon as it
// is a member takes no majority with it.
func TestSuccessorThatDiesTakesNoMajorityAlong(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := threeMembers(t, seed)
		old := w.followerMembers(w.Leader())[seed%2]
		w.ReplaceControlDaemon(old, false, 0, func(time.Duration) {})
		w.Run(w.now + time.Millisecond)
		w.requireWithin(t, testCatchUp, "a successor", func() bool { return w.isListed(w.process("r1")) })
		w.Kill(w.process("r1"))
		w.Run(w.now + 20*time.Millisecond)
		w.requireChange(t)
		requireNoFailure(t, w)
	}
}

// A reachable member is removed after its successor is added: a member that dies at the
// first change of the members takes no majority with it.
func TestMemberDiesDuringPlannedReplacement(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := threeMembers(t, seed)
		fs := w.followerMembers(w.Leader())
		w.ReplaceControlDaemon(fs[0], true, 100*time.Millisecond, func(time.Duration) {})
		before := w.memberNames()
		w.requireWithin(t, testCatchUp, "a change of members", func() bool { l := w.memberNames(); return l != nil && !slices.Equal(l, before) })
		w.Kill(fs[1])
		w.Run(w.now + 20*time.Millisecond)
		w.requireChange(t)
		requireNoFailure(t, w)
	}
}

// A member that is stopped as its successor starts remains a member until the successor is one,
// also over a network that is slow and loses messages.
func TestPlannedSuccessorIsAMemberBeforeTheOldEnds(t *testing.T) {
	t.Parallel()
	for _, cores := range []int{1, 3, 4, 5, 7, 11} {
		for seed := range uint64(6) {
			w := Start(seed, replacementPlan(cores, 3))
			w.runUntil(10*time.Second, w.hasMembers([]int{0, 1, 0, 3, 3, 5, 0, 7, 0, 0, 0, 7}[cores]))
			w.Run(w.now + testCatchUp)
			w.network.delay, w.network.loss = 60*time.Millisecond, 0.02
			old := w.Leader()
			if fs := w.followerMembers(old); seed%2 == 1 && len(fs) > 0 {
				old = fs[0]
			}
			n := len(w.memberNames())
			w.ReplaceControlDaemon(old, true, 0, func(time.Duration) {})
			w.requireWithin(t, controlStopGrace, "the end", func() bool { return !old.alive })
			w.requireWithin(t, failoverBound, "a leader", w.hasLeader)
			if w.isListed(old) || len(w.memberNames()) < n {
				t.Errorf("seed %d: of %d, %s ended with members %v\n%s", seed, cores, old.name, w.memberNames(), w.Trace(20))
			}
			requireNoFailure(t, w)
		}
	}
}

// A lost leader is replaced in the same time as another member, an election aside: the time for which
// its followers did not reach it before one of them led counts.
func TestLostLeaderIsReplacedInTime(t *testing.T) {
	t.Parallel()
	const bound = 6 * time.Second
	most := max(bound/tuning.ReplaceParts, tuning.ElectionTimeoutMin+tuning.ElectionTimeoutSpread+tuning.NewLeaderGrace) + 500*time.Millisecond
	for seed := range uint64(9) {
		cores := []int{3, 5, 7}[seed%3]
		p := replacementPlan(cores, 3)
		p.CatchUp = bound
		w := Start(seed, p)
		w.runUntil(2*tuning.GrowAfter, w.hasMembers(cores))
		w.Run(w.now + bound)
		old := w.Leader()
		w.ReplaceControlDaemon(old, false, 0, func(time.Duration) {})
		w.Run(w.now + time.Millisecond)
		d := w.requireWithin(t, bound, "the repair", func() bool { return w.isListed(w.process("r1")) && !w.isListed(old) })
		if d > most {
			t.Errorf("seed %d: repaired after %v, wanted %v", seed, d, most)
		}
		requireNoFailure(t, w)
	}
}

// A standby has all that is agreed before any member is lost.
func TestStandbyFollowsTheLog(t *testing.T) {
	t.Parallel()
	w := threeMembers(t, 1)
	s := w.addAndStart(wire.ControlDaemon, "s1", 0)
	w.Run(w.now + time.Second)
	w.requireChange(t)
	w.Run(w.now + 300*time.Millisecond)
	if s.controller.Revision() != w.Leader().controller.Revision() || w.isListed(s) {
		t.Errorf("the standby has %d, the leader %d; members %v", s.controller.Revision(), w.Leader().controller.Revision(), w.memberNames())
	}
}

// A standby that can't learn, since its disk stalls, is not waited for: another comes instead,
// though it is of the wrong domain.
func TestStandbyThatCannotLearnIsPassedOver(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := threeMembers(t, seed)
		old := w.followerMembers(w.Leader())[0]
		dom := int(old.domain[1] - '0')
		bad := w.addAndStart(wire.ControlDaemon, "s1", dom-1)
		w.StallDisk(bad, time.Minute)
		good := w.addAndStart(wire.ControlDaemon, "s2", dom%3)
		w.Run(w.now + 500*time.Millisecond)
		w.Kill(old)
		w.removeMachine(old)
		w.requireWithin(t, tuning.LearnerTimeout+testCatchUp, "the other standby", func() bool { return w.isListed(good) && !w.isListed(old) })
		requireNoFailure(t, w)
	}
}

// A member that is away for a while is not given up for a standby that can't learn.
func TestMemberStaysIfNobodyCanReplaceIt(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := threeMembers(t, seed)
		old := w.followerMembers(w.Leader())[0]
		w.StallDisk(w.addAndStart(wire.ControlDaemon, "s1", domainIndex(old.domain)), time.Minute)
		w.Run(w.now + 500*time.Millisecond)
		w.Kill(old)
		w.Run(w.now + testCatchUp)
		if !w.isListed(old) {
			t.Errorf("seed %d: %v", seed, w.memberNames())
		}
		w.Restart(old)
		w.Run(w.now + time.Second)
		w.checkMembership(t, 3)
		requireNoFailure(t, w)
	}
}

// Two members that stop at once do not hand leadership to each other until both have
// ended: the others lead, and both are replaced before they end.
func TestTwoStoppingMembersAreReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		p := replacementPlan(11, 3)
		p.Losses = 2
		w := Start(seed, p)
		w.runUntil(2*tuning.GrowAfter, w.hasMembers(7))
		w.Run(w.now + testCatchUp)
		first := w.Leader()
		second := slices.MinFunc(w.followerMembers(first), func(a, b *Process) int { return cmp.Compare(a.name, b.name) }) // leadership would go there
		for _, old := range []*Process{first, second} {
			w.ReplaceControlDaemon(old, true, time.Millisecond, func(time.Duration) {})
		}
		w.requireWithin(t, controlStopGrace, "the end", func() bool { return !first.alive && !second.alive })
		w.requireWithin(t, failoverBound, "a leader", w.hasLeader)
		if w.isListed(first) || w.isListed(second) || len(w.memberNames()) != 7 {
			t.Errorf("seed %d: %s and %s ended with members %v\n%s", seed, first.name, second.name, w.memberNames(), w.Trace(20))
		}
		requireNoFailure(t, w)
	}
}
