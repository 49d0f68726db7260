package consensus

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A late append message of a leader's earlier process is answered in the present term. The response must not renew the lease
// of the leader that the restarted process is now: its timestamp is by another clock.
func TestLateAppendRenewsNoLease(t *testing.T) {
	const earlierClock = int64(time.Hour)
	follower, _ := newTestNode("b")
	follower.Step(0, &wire.Message{Kind: wire.KindAppend, From: "a", Disk: 1, Epoch: 1, Term: 3, Append: &wire.Append{PrevIndex: 1}})
	follower.Ready()
	follower.Step(1, &wire.Message{Kind: wire.KindAppend, From: "a", Disk: 1, Epoch: 1, Term: 2, Timestamp: earlierClock, Append: &wire.Append{PrevIndex: 1}})
	late := follower.Ready().Messages[0]
	if late.Term != 3 || late.Timestamp == earlierClock {
		t.Errorf("term %d, timestamp %d", late.Term, late.Timestamp)
	}

	// Nor does a leader accept a timestamp that it can't have sent in this term.
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
			t.Errorf("a timestamp of %v renews the lease at %v", timestamp, start)
		}
	}
	if acknowledge(start); !leader.HasLease(start) {
		t.Error("no lease from a majority's acknowledgement")
	}
}

// A leader knows from its log whether another has decided since a term in which it led: none has if it was only without a
// majority for a while, one has if another was elected meanwhile.
func TestNoOtherLeaderSince(t *testing.T) {
	leads := func(cluster *simpleCluster, name string) func() bool {
		return func() bool { return cluster.leader() == name }
	}
	for _, another := range []bool{false, true} {
		t.Run(fmt.Sprintf("another elected %v", another), func(t *testing.T) {
			cluster := newSimpleCluster()
			if !cluster.run(t, 5*time.Second, cluster.hasLeader) {
				t.Fatal("nobody leads")
			}
			first := cluster.leader()
			n, term := cluster.nodes[first], cluster.nodes[first].Term()
			if !n.NoOtherLeaderSince(term) {
				t.Error("in its own term nobody else has led")
			}
			cluster.isolate(first, true)
			if another && !cluster.run(t, 5*time.Second, func() bool { return cluster.hasLeader() && cluster.leader() != first }) {
				t.Fatal("no other member was elected")
			}
			if !another {
				// Nobody reaches anybody until the leader has stepped down.
				for _, name := range memberNames {
					cluster.isolate(name, true)
				}
				cluster.run(t, tuning.ElectionTimeoutMin+tuning.HeartbeatEvery, func() bool { return n.Role() != Leader })
			}
			for _, name := range memberNames {
				cluster.isolate(name, false)
			}
			// Leadership is transferred until the first member has it again.
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
			led := false
			for _, e := range n.log {
				led = led || e.Term > term && e.Term < n.Term()
			}
			if got := n.NoOtherLeaderSince(term); got == led || another && got {
				t.Errorf("NoOtherLeaderSince(%d) is %v, entries of another's term in the log: %v", term, got, led)
			}
		})
	}
}
