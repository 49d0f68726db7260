package consensus

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A late append of a leader's earlier process is answered in the present term. The
// answer must not renew the lease of the leader that the restarted process is now: its
// stamp is by another clock.
func TestLateAppendRenewsNoLease(t *testing.T) {
	const earlierClock = int64(time.Hour)
	follower, _ := newTestNode("b")
	follower.Step(0, &wire.Message{Kind: wire.KindAppend, From: "a", Disk: 1, Epoch: 1, Term: 3, Append: &wire.Append{PrevIndex: 1}})
	follower.Ready()
	follower.Step(1, &wire.Message{Kind: wire.KindAppend, From: "a", Disk: 1, Epoch: 1, Term: 2, Timestamp: earlierClock, Append: &wire.Append{PrevIndex: 1}})
	late := follower.Ready().Messages[0]
	if late.Term != 3 || late.Timestamp == earlierClock {
		t.Errorf("term %d, stamp %d", late.Term, late.Timestamp)
	}

	// The leader does not believe in stamps that it can't have given in this lead either.
	leader, _ := newTestNode("a")
	start := tuning.ElectionTimeoutMin + tuning.ElectionTimeoutSpread
	leader.Tick(start)
	for leader.Role() != Leader {
		o := leader.Ready()
		for _, b := range o.Batches {
			leader.Advance(start, b.Seq)
		}
		pre := leader.Role() == PreCandidate
		term := leader.Term()
		if pre {
			term++
		}
		leader.Step(start, &wire.Message{Kind: wire.KindVote, From: "b", Disk: 2, Epoch: 1, Term: term, Vote: &wire.Vote{PreVote: pre, Reply: true, Granted: true}})
	}
	for _, b := range leader.Ready().Batches {
		leader.Advance(start, b.Seq)
	}
	reply := func(stamp time.Duration) {
		leader.Step(start, &wire.Message{Kind: wire.KindAppend, From: "b", Disk: 2, Epoch: 1, Term: leader.Term(), Timestamp: int64(stamp),
			Append: &wire.Append{Reply: true, Success: true, MatchIndex: leader.LastIndex()}})
	}
	for _, stamp := range []time.Duration{time.Duration(earlierClock), start - 1, noTimestamp} {
		if reply(stamp); leader.HasLease(start) {
			t.Errorf("a stamp of %v renews the lease at %v", stamp, start)
		}
	}
	if reply(start); !leader.HasLease(start) {
		t.Error("no lease from a majority's answer")
	}
}
