package consensus

import (
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// testMembers are the members in most tests.
var testMembers = []wire.Member{{Name: "a", Disk: 1}, {Name: "b", Disk: 2}, {Name: "c", Disk: 3}}

// memberNames are the names of testMembers.
var memberNames = []string{"a", "b", "c"}

// newTestNode starts one of the test members with an empty log. It also returns the state on its disk.
func newTestNode(name string) (*Node, PersistentState) {
	state := PersistentState{Epoch: 1, Disk: uint64(name[0]-'a') + 1, Snapshot: wire.Snapshot{Index: 1, Members: testMembers}}
	return New(0, name, state), state
}

// electLeader makes a node win an election with the vote of member b, and returns the time at which it became leader.
func electLeader(n *Node) time.Duration {
	now := tuning.ElectionTimeoutMin + tuning.ElectionTimeoutSpread
	n.Tick(now)
	for n.Role() != Leader {
		n.Advance(now, n.batchSeq)
		preVote, term := n.Role() == PreCandidate, n.Term()
		if preVote {
			term++
		}
		n.Step(now, &wire.Message{From: "b", Disk: 2, Epoch: 1, Term: term, Vote: &wire.Vote{PreVote: preVote, Reply: true, Granted: true}})
	}
	return now
}

// newFollower starts test member a with the given log entries.
func newFollower(log ...wire.Entry) *Node {
	_, state := newTestNode("a")
	state.Log = log
	return New(0, "a", state)
}

// appendFromB returns an append message from test member b.
func appendFromB(term uint64, request *wire.Append) *wire.Message {
	return &wire.Message{Kind: wire.KindAppend, From: "b", Disk: 2, Epoch: 1, Term: term, Append: request}
}
