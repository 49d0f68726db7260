package simulator

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// startThreeMembers starts a control plane of three members in three domains and runs it for testCatchUp, after which it
// must survive a loss.
func startThreeMembers(t *testing.T, seed uint64) *World {
	t.Helper()
	w := Start(seed, replacementPlan(3, 3))
	w.Run(w.now + testCatchUp)
	requireNoFailure(t, w)
	w.checkMembership(t, 3)
	return w
}

// An unreachable member is removed before its successor is added, so that a majority is left if the successor crashes
// as soon as it is a member.
func TestMajoritySurvivesCrashOfSuccessor(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := startThreeMembers(t, seed)
		old := w.followerMembers(w.Leader())[seed%2]
		w.ReplaceControlDaemon(old, false, 0, func(time.Duration) {})
		w.Run(w.now + time.Millisecond)
		w.requireWithin(t, testCatchUp, "the successor becomes a member", func() bool { return w.isMember(w.process("r1")) })
		w.Kill(w.process("r1"))
		w.Run(w.now + 20*time.Millisecond)
		w.requireChange(t)
		requireNoFailure(t, w)
	}
}

// A reachable member is removed only after its successor was added, so that a majority is left if another member
// crashes at the first membership change.
func TestMajoritySurvivesCrashDuringPlannedReplacement(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := startThreeMembers(t, seed)
		followers := w.followerMembers(w.Leader())
		w.ReplaceControlDaemon(followers[0], true, 100*time.Millisecond, func(time.Duration) {})
		before := w.memberNames()
		w.requireWithin(t, testCatchUp, "the membership changes", func() bool { now := w.memberNames(); return now != nil && !slices.Equal(now, before) })
		w.Kill(followers[1])
		w.Run(w.now + 20*time.Millisecond)
		w.requireChange(t)
		requireNoFailure(t, w)
	}
}

// A member that gets the stop signal when its successor starts keeps running and remains a member until the successor has
// become a member, even over a network that is slow and loses messages.
func TestPlannedSuccessorJoinsBeforeOldMemberExits(t *testing.T) {
	t.Parallel()
	for _, controlDaemons := range []int{1, 3, 4, 5, 7, 11} {
		for seed := range uint64(6) {
			w := Start(seed, replacementPlan(controlDaemons, 3))
			w.runUntil(10*time.Second, w.hasMembers([]int{0, 1, 0, 3, 3, 5, 0, 7, 0, 0, 0, 7}[controlDaemons]))
			w.Run(w.now + testCatchUp)
			w.network.delay, w.network.loss = 60*time.Millisecond, 0.02
			old := w.Leader()
			if followers := w.followerMembers(old); seed%2 == 1 && len(followers) > 0 {
				old = followers[0]
			}
			n := len(w.memberNames())
			w.ReplaceControlDaemon(old, true, 0, func(time.Duration) {})
			w.requireWithin(t, controlStopGrace, "the old member exits", func() bool { return !old.alive })
			w.requireWithin(t, failoverBound, "a member leads", w.hasLeader)
			if w.isMember(old) || len(w.memberNames()) < n {
				t.Errorf("seed %d: with %d control daemons, %s exited and left members %v, want at least %d without it\n%s", seed, controlDaemons, old.name, w.memberNames(), n, w.Trace(20))
			}
			requireNoFailure(t, w)
		}
	}
}

// A lost leader is replaced as fast as any other member, or right after the election of a new leader if that takes longer.
// The time without contact to the lost leader before the election counts towards the wait before a member is replaced.
func TestLostLeaderIsReplacedInTime(t *testing.T) {
	t.Parallel()
	const bound = 6 * time.Second
	limit := max(bound/tuning.ReplacementDivisor, tuning.ElectionTimeoutMin+tuning.ElectionTimeoutSpread+tuning.NewLeaderGrace) + 500*time.Millisecond
	for seed := range uint64(9) {
		controlDaemons := []int{3, 5, 7}[seed%3]
		p := replacementPlan(controlDaemons, 3)
		p.CatchUp = bound
		w := Start(seed, p)
		w.runUntil(2*tuning.GrowAfter, w.hasMembers(controlDaemons))
		w.Run(w.now + bound)
		old := w.Leader()
		w.ReplaceControlDaemon(old, false, 0, func(time.Duration) {})
		w.Run(w.now + time.Millisecond)
		d := w.requireWithin(t, bound, "the successor replaces the leader", func() bool { return w.isMember(w.process("r1")) && !w.isMember(old) })
		if d > limit {
			t.Errorf("seed %d: the leader was replaced after %v, want at most %v", seed, d, limit)
		}
		requireNoFailure(t, w)
	}
}

// A standby receives all committed changes, even while no member is lost.
func TestStandbyFollowsTheLog(t *testing.T) {
	t.Parallel()
	w := startThreeMembers(t, 1)
	s := w.addAndStart(wire.ControlDaemon, "s1", 0)
	w.Run(w.now + time.Second)
	w.requireChange(t)
	w.Run(w.now + 300*time.Millisecond)
	if s.controller.Revision() != w.Leader().controller.Revision() || w.isMember(s) {
		t.Errorf("the standby has revision %d, want the leader's %d; it must not be one of the members %v", s.controller.Revision(), w.Leader().controller.Revision(), w.memberNames())
	}
}

// A standby whose disk stalls can't catch up. The leader must not wait for it, but add another standby, even one of
// another domain than that of the lost member.
func TestStandbyThatCannotCatchUpIsSkipped(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := startThreeMembers(t, seed)
		old := w.followerMembers(w.Leader())[0]
		domain := int(old.domain[1] - '0')
		stalled := w.addAndStart(wire.ControlDaemon, "s1", domain-1)
		w.StallDisk(stalled, time.Minute)
		healthy := w.addAndStart(wire.ControlDaemon, "s2", domain%3)
		w.Run(w.now + 500*time.Millisecond)
		w.Kill(old)
		w.removeMachine(old)
		w.requireWithin(t, tuning.LearnerTimeout+testCatchUp, "the other standby replaces the lost member", func() bool { return w.isMember(healthy) && !w.isMember(old) })
		requireNoFailure(t, w)
	}
}

// A member that is down for a while stays a member if the only standby can't catch up.
func TestMemberStaysWithoutUsableStandby(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := startThreeMembers(t, seed)
		old := w.followerMembers(w.Leader())[0]
		w.StallDisk(w.addAndStart(wire.ControlDaemon, "s1", domainIndex(old.domain)), time.Minute)
		w.Run(w.now + 500*time.Millisecond)
		w.Kill(old)
		w.Run(w.now + testCatchUp)
		if !w.isMember(old) {
			t.Errorf("seed %d: %s was removed although no standby is usable: members %v", seed, old.name, w.memberNames())
		}
		w.Restart(old)
		w.Run(w.now + time.Second)
		w.checkMembership(t, 3)
		requireNoFailure(t, w)
	}
}

// Two members that stop at the same time must not transfer leadership to each other until both have exited. Another
// member leads, and both are replaced before they exit.
func TestTwoStoppingMembersAreReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		p := replacementPlan(11, 3)
		p.Losses = 2
		w := Start(seed, p)
		w.runUntil(2*tuning.GrowAfter, w.hasMembers(7))
		w.Run(w.now + testCatchUp)
		first := w.Leader()
		second := slices.MinFunc(w.followerMembers(first), func(a, b *Process) int { return cmp.Compare(a.name, b.name) }) // the member to which leadership would be transferred first
		for _, old := range []*Process{first, second} {
			w.ReplaceControlDaemon(old, true, time.Millisecond, func(time.Duration) {})
		}
		w.requireWithin(t, controlStopGrace, "both members exit", func() bool { return !first.alive && !second.alive })
		w.requireWithin(t, failoverBound, "a member leads", w.hasLeader)
		if w.isMember(first) || w.isMember(second) || len(w.memberNames()) != 7 {
			t.Errorf("seed %d: %s and %s exited and left members %v, want 7 others\n%s", seed, first.name, second.name, w.memberNames(), w.Trace(20))
		}
		requireNoFailure(t, w)
	}
}
