package consensus

import (
	"encoding/json"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// voteRequest is from a candidate whose log ends with the snapshot.
func voteRequest(term, disk uint64, from string, transfer bool) *wire.Message {
	return &wire.Message{Kind: wire.KindVote, From: from, Disk: disk, Epoch: 1, Term: term, Vote: &wire.Vote{LastIndex: 1, Transfer: transfer}}
}

// grantedVotes counts the votes among messages that are sent.
func grantedVotes(ready Ready) int {
	count := 0
	for _, m := range ready.Messages {
		if m.Vote != nil && m.Vote.Granted {
			count++
		}
	}
	return count
}

// A vote is sent only once it is synced, is given once a term, is remembered over a restart, and isn't given to a disk that
// is no member.
func TestVoteIsSyncedAndGivenOncePerTerm(t *testing.T) {
	leaseExpired := tuning.ElectionTimeoutMin + time.Second
	n, state := newTestNode("a")
	n.Step(leaseExpired, voteRequest(5, 2, "b", false))
	ready := n.Ready()
	if grantedVotes(ready) != 0 || len(ready.Batches) == 0 {
		t.Fatal("a vote was sent before it was synced")
	}
	for _, b := range ready.Batches {
		state.ApplyBatch(b)
	}
	n.Advance(leaseExpired, ready.Batches[len(ready.Batches)-1].Seq)
	if grantedVotes(n.Ready()) != 1 {
		t.Fatal("no vote")
	}
	n = New(0, "a", state)
	n.Step(leaseExpired, voteRequest(5, 3, "c", false))
	ready = n.Ready()
	for _, b := range ready.Batches {
		n.Advance(leaseExpired, b.Seq)
	}
	if grantedVotes(ready)+grantedVotes(n.Ready()) != 0 {
		t.Fatal("two votes in a term")
	}
	n.Step(leaseExpired, voteRequest(6, 9, "c", false))
	if ready := n.Ready(); len(ready.Messages) > 0 || n.Term() == 6 {
		t.Fatal("a disk that is no member was answered")
	}
}

// A member that may have supported a leader's lease waits for its end after a restart too, unless that leader itself
// transfers leadership.
func TestVoteWaitsForLeaderLease(t *testing.T) {
	n, _ := newTestNode("a")
	n.Step(tuning.ElectionTimeoutMin/2, voteRequest(5, 2, "b", false))
	if n.Ready(); n.Term() != 0 {
		t.Fatal("voted while a leader may still hold a lease")
	}
	n.Step(tuning.ElectionTimeoutMin/2, voteRequest(5, 2, "b", true))
	if n.Ready(); n.Term() != 5 {
		t.Fatal("a transfer of leadership was rejected")
	}
	if tuning.ElectionTimeoutMin < tuning.LeaderLease*105/100 || tuning.SyncStall >= tuning.ElectionTimeoutMin {
		t.Fatal("a leader may decide while another is elected")
	}
}

// One of two members that are left has the longer log, the other the higher term, from a campaign without success: neither
// may block the other for good.
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

// After a start of all members nobody can still hold a lease, so none waits.
func TestUnanimousElectionAfterStartOfAll(t *testing.T) {
	cluster := newSimpleCluster()
	if !cluster.run(t, tuning.ElectionTimeoutMin/2, cluster.hasLeader) {
		t.Fatal("no leader soon after the first start")
	}
	cluster.run(t, time.Second, noCondition)
	for _, n := range memberNames {
		cluster.restart(n)
	}
	if !cluster.run(t, tuning.ElectionTimeoutMin/2, cluster.hasLeader) {
		t.Fatal("no leader soon after all were restarted")
	}
}

// A majority that has restarted is not everybody: the leader that it answered before may still hold its lease. They wait
// until that has run out, also if the links to it are cut, and whoever restarts meanwhile. The cluster checks that no two
// members hold a lease.
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
		bothWays := step%2 == 0 // else the leader gets nothing, but its messages arrive
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
			t.Fatal("the others never elected a leader")
		}
	}
}

// The member that the last change removes may be the leader that proposed it, so its consent is needed too.
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
		t.Fatalf("it is a %v without the consent of the removed member", n.Role())
	}
	if consent("c", 3, true, 4); n.Role() != Candidate {
		t.Fatalf("it is a %v with everybody's consent", n.Role())
	}
	if consent("b", 2, false, 4); n.Role() != Candidate {
		t.Fatalf("it is a %v though one has not answered in its term", n.Role())
	}
	if consent("c", 3, false, 4); n.Role() != Leader {
		t.Fatalf("it is a %v though everybody has answered in its term", n.Role())
	}
}
