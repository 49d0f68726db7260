package consensus

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A leader's process restarts and is elected again, and then a follower answers a late append message of the earlier
// process. Its response, in the current term, must not renew the new lease: the timestamp comes from the earlier process's
// clock.
func TestLateAppendDoesNotRenewLease(t *testing.T) {
	const earlierClock = int64(time.Hour)
	follower, _ := newTestNode("b")
	follower.Step(0, &wire.Message{Kind: wire.KindAppend, From: "a", Disk: 1, Epoch: 1, Term: 3, Append: &wire.Append{PrevIndex: 1}})
	follower.Ready()
	follower.Step(1, &wire.Message{Kind: wire.KindAppend, From: "a", Disk: 1, Epoch: 1, Term: 2, Timestamp: earlierClock, Append: &wire.Append{PrevIndex: 1}})
	late := follower.Ready().Messages[0]
	if late.Term != 3 || late.Timestamp == earlierClock {
		t.Errorf("response to an append of an earlier term has term %d and timestamp %d, want term 3 and not the append's timestamp", late.Term, late.Timestamp)
	}

	// The leader also ignores a timestamp that it can't have sent in its current term.
	leader, _ := newTestNode("a")
	start := electLeader(leader)
	for _, b := range leader.Ready().Batches {
		leader.Advance(start, b.Seq)
	}
	acknowledge := func(timestamp time.Duration) {
		leader.Step(start, &wire.Message{Kind: wire.KindAppend, From: "b", Disk: 2, Epoch: 1, Term: leader.Term(), Timestamp: int64(timestamp),
			Append: &wire.Append{Reply: true, Success: true, MatchIndex: leader.LastIndex()}})
	}
	for _, timestamp := range []time.Duration{time.Duration(earlierClock), start - 1, noTimestamp} {
		if acknowledge(timestamp); leader.HasLease(start) {
			t.Errorf("a response with timestamp %v renewed the lease at %v", timestamp, start)
		}
	}
	if acknowledge(start); !leader.HasLease(start) {
		t.Error("the leader has no lease after the acknowledgement of a majority")
	}
}

// A member that leads again determines from its log whether another leader made decisions since its earlier term. None did
// if no other member was elected in between, for example while the links to the majority were cut for a short time.
func TestNoOtherLeaderSince(t *testing.T) {
	leads := func(cluster *simpleCluster, name string) func() bool {
		return func() bool { return cluster.leader() == name }
	}
	for _, another := range []bool{false, true} {
		t.Run(fmt.Sprintf("another elected %v", another), func(t *testing.T) {
			cluster := newSimpleCluster()
			if !cluster.run(t, 5*time.Second, cluster.hasLeader) {
				t.Fatal("no leader was elected")
			}
			first := cluster.leader()
			n, term := cluster.nodes[first], cluster.nodes[first].Term()
			if !n.NoOtherLeaderSince(term) {
				t.Errorf("NoOtherLeaderSince(%d) is false in that same term", term)
			}
			cluster.isolate(first, true)
			if another && !cluster.run(t, 5*time.Second, func() bool { return cluster.hasLeader() && cluster.leader() != first }) {
				t.Fatal("no other member was elected")
			}
			if !another {
				// Cut all links until the leader has stepped down, so that no other member is elected.
				for _, name := range memberNames {
					cluster.isolate(name, true)
				}
				cluster.run(t, tuning.ElectionTimeoutMin+tuning.HeartbeatEvery, func() bool { return n.Role() != Leader })
			}
			for _, name := range memberNames {
				cluster.isolate(name, false)
			}
			// Transfer leadership until the first leader leads again.
			cluster.run(t, 300*time.Millisecond, noCondition)
			for i := 0; i < 20 && cluster.leader() != first; i++ {
				if cluster.hasLeader() {
					cluster.nodes[cluster.leader()].TransferLeadership(cluster.now)
				}
				cluster.run(t, 2*time.Second, leads(cluster, first))
			}
			if cluster.leader() != first {
				t.Fatalf("%s does not lead again", first)
			}
			hasTermBetween := false
			for _, e := range n.log {
				hasTermBetween = hasTermBetween || e.Term > term && e.Term < n.Term()
			}
			if got := n.NoOtherLeaderSince(term); got == hasTermBetween || another && got {
				t.Errorf("NoOtherLeaderSince(%d) is %v, log has entries of a term in between: %v, another member was elected: %v; want true exactly if neither is so", term, got, hasTermBetween, another)
			}
		})
	}
}
