package consensus

import (
	"encoding/json"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// voteRequest returns a vote request of a candidate whose log ends with the snapshot.
func voteRequest(term, disk uint64, from string, transfer bool) *wire.Message {
	return &wire.Message{Kind: wire.KindVote, From: from, Disk: disk, Epoch: 1, Term: term, Vote: &wire.Vote{LastIndex: 1, Transfer: transfer}}
}

// grantedVotes counts the granted votes among the messages in ready.
func grantedVotes(ready Ready) int {
	count := 0
	for _, m := range ready.Messages {
		if m.Vote != nil && m.Vote.Granted {
			count++
		}
	}
	return count
}

// A vote is sent only after it is synced. A member votes once per term, also across a restart, and not for a candidate whose
// disk isn't a member's.
func TestVoteIsSyncedAndGivenOncePerTerm(t *testing.T) {
	leaseExpired := tuning.ElectionTimeoutMin + time.Second
	n, state := newTestNode("a")
	n.Step(leaseExpired, voteRequest(5, 2, "b", false))
	ready := n.Ready()
	if grantedVotes(ready) != 0 || len(ready.Batches) == 0 {
		t.Fatal("a vote was sent before it was synced, or no batch with the vote was emitted")
	}
	for _, b := range ready.Batches {
		state.ApplyBatch(b)
	}
	n.Advance(leaseExpired, ready.Batches[len(ready.Batches)-1].Seq)
	if grantedVotes(n.Ready()) != 1 {
		t.Fatal("not exactly one vote was sent after the sync")
	}
	n = New(0, "a", state)
	n.Step(leaseExpired, voteRequest(5, 3, "c", false))
	ready = n.Ready()
	for _, b := range ready.Batches {
		n.Advance(leaseExpired, b.Seq)
	}
	if grantedVotes(ready)+grantedVotes(n.Ready()) != 0 {
		t.Fatal("voted twice in a term after a restart")
	}
	n.Step(leaseExpired, voteRequest(6, 9, "c", false))
	if ready := n.Ready(); len(ready.Messages) > 0 || n.Term() == 6 {
		t.Fatal("answered a candidate whose disk isn't a member's, or adopted its term")
	}
}

// Just before a restart a member may have supported a leader's lease. After the restart it doesn't vote until that lease
// must have expired, unless the leader itself transfers leadership.
func TestVoteWaitsForLeaderLease(t *testing.T) {
	n, _ := newTestNode("a")
	n.Step(tuning.ElectionTimeoutMin/2, voteRequest(5, 2, "b", false))
	if n.Ready(); n.Term() != 0 {
		t.Fatal("voted while a leader could still hold a lease")
	}
	n.Step(tuning.ElectionTimeoutMin/2, voteRequest(5, 2, "b", true))
	if n.Ready(); n.Term() != 5 {
		t.Fatal("rejected a candidate to which the leader transferred leadership")
	}
	if tuning.ElectionTimeoutMin < tuning.LeaderLease*105/100 || tuning.SyncStall >= tuning.ElectionTimeoutMin {
		t.Fatal("ElectionTimeoutMin must exceed LeaderLease by 5 % and be longer than SyncStall, or two leaders could make decisions at the same time")
	}
}

// Of two remaining members one has the longer log and the other a higher term from a failed campaign. The response to a
// pre-vote must carry the later term, or the member with the longer log could never be elected.
func TestPreVoteResponseCarriesLaterTerm(t *testing.T) {
	snapshot := wire.Snapshot{Index: 1, Term: 5, Members: testMembers}
	nodes := map[string]*Node{
		"a": New(0, "a", PersistentState{Epoch: 1, Disk: 1, Term: 5, Snapshot: snapshot, Log: []wire.Entry{{Index: 2, Term: 5}}}),
		"b": New(0, "b", PersistentState{Epoch: 1, Disk: 2, Term: 6, Vote: "b", Snapshot: snapshot})}
	for now := time.Duration(0); now < 10*time.Second; now += tuning.TickEvery {
		for _, name := range []string{"a", "b"} {
			n := nodes[name]
			n.Tick(now)
			for {
				ready := n.Ready()
				if len(ready.Batches)+len(ready.Messages) == 0 {
					break
				}
				for _, m := range ready.Messages {
					if to := nodes[m.To]; to != nil {
						to.Step(now, m)
					}
				}
				if count := len(ready.Batches); count > 0 {
					n.Advance(now, ready.Batches[count-1].Seq)
				}
			}
		}
		if nodes["a"].HasLease(now) {
			return
		}
	}
	t.Fatalf("no leader: a is %v in term %d, b %v in term %d", nodes["a"].Role(), nodes["a"].Term(), nodes["b"].Role(), nodes["b"].Term())
}

// After all members were restarted no member can still hold a lease, so a leader is elected without waiting for leases to
// expire.
func TestUnanimousElectionAfterFullRestart(t *testing.T) {
	cluster := newSimpleCluster()
	if !cluster.run(t, tuning.ElectionTimeoutMin/2, cluster.hasLeader) {
		t.Fatalf("no leader within %v of the first start", tuning.ElectionTimeoutMin/2)
	}
	cluster.run(t, time.Second, noCondition)
	for _, n := range memberNames {
		cluster.restart(n)
	}
	if !cluster.run(t, tuning.ElectionTimeoutMin/2, cluster.hasLeader) {
		t.Fatalf("no leader within %v of a restart of all members", tuning.ElectionTimeoutMin/2)
	}
}

// If a majority restarts, the old leader may still hold a lease that the majority supported before. The majority must wait
// until that lease expires, also if its links to the old leader are cut and if members restart again meanwhile.
// simpleCluster.run checks that no two members hold a lease at the same time.
func TestRestartedMajorityWaitsForLease(t *testing.T) {
	for step := range 60 {
		cluster := newSimpleCluster()
		cluster.run(t, 2*time.Second, noCondition)
		oldLeader := cluster.leader()
		var rest []string
		for _, n := range memberNames {
			if n != oldLeader {
				rest = append(rest, n)
			}
		}
		bothWays := step%2 == 0 // otherwise the old leader receives nothing, but its messages still arrive
		for _, n := range rest {
			cluster.partitioned[n+oldLeader], cluster.partitioned[oldLeader+n] = true, bothWays
		}
		cluster.run(t, time.Duration(step)*7*time.Millisecond, noCondition)
		for _, n := range rest {
			cluster.restart(n)
		}
		cluster.run(t, time.Duration(step%7)*20*time.Millisecond, noCondition)
		cluster.restart(rest[step%2])
		elected := cluster.run(t, 8*time.Second, func() bool { return cluster.hasLeader() && cluster.leader() != oldLeader })
		if bothWays && !elected {
			t.Fatalf("step %d: the restarted majority never elected a leader", step)
		}
	}
}

// A member removed by an uncommitted change may be the leader that proposed the change, so a unanimous election needs its
// consent too.
func TestUnanimousElectionNeedsRemovedMember(t *testing.T) {
	remaining, err := json.Marshal(testMembers[:2])
	if err != nil {
		t.Fatal(err)
	}
	now := tuning.ElectionTimeoutMin / 4
	n := New(0, "a", PersistentState{Epoch: 1, Disk: 1, Term: 3, Snapshot: wire.Snapshot{Index: 1, Members: testMembers},
		Log: []wire.Entry{{Index: 2, Term: 3, Kind: EntryMembers, Data: remaining}}})
	consent := func(from string, disk uint64, preVote bool, term uint64) {
		n.Step(now, &wire.Message{Kind: wire.KindVote, From: from, Disk: disk, Epoch: 1, Term: term,
			Vote: &wire.Vote{PreVote: preVote, Reply: true, Unanimous: true, Granted: true, NoLeader: true, LastIndex: 1}})
		for ready := n.Ready(); len(ready.Batches)+len(ready.Messages) > 0; ready = n.Ready() {
			for _, b := range ready.Batches {
				n.Advance(now, b.Seq)
			}
		}
	}
	n.Tick(now)
	if consent("b", 2, true, 4); n.Role() != PreCandidate {
		t.Fatalf("role is %v without the consent of the removed member, want pre-candidate", n.Role())
	}
	if consent("c", 3, true, 4); n.Role() != Candidate {
		t.Fatalf("role is %v with the consent of all members, want candidate", n.Role())
	}
	if consent("b", 2, false, 4); n.Role() != Candidate {
		t.Fatalf("role is %v before all members have answered in the new term, want candidate", n.Role())
	}
	if consent("c", 3, false, 4); n.Role() != Leader {
		t.Fatalf("role is %v after all members have answered in the new term, want leader", n.Role())
	}
}
