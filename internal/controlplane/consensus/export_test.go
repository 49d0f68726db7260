package consensus

import (
	"encoding/json"
	"time"

	"myrtlefold/internal/shared/wire"
)

// Test-only methods of Node. Some of them violate a rule of Raft, to check that the model checker detects the violation.

// CommitByCountingReplicas commits the entries that a majority has synced, even those of an earlier term.
func (n *Node) CommitByCountingReplicas(now time.Duration) {
	if n.role != Leader {
		return
	}
	index := majorityValue(n, n.stable, 0, func(p *progress) uint64 { return p.match })
	if index > n.commit {
		n.commit = index
		n.advanceCommit(now)
		n.replicate(now, false)
	}
}

// ProposeAnyMembers proposes a member list without checking that it differs from the current one by only one member.
func (n *Node) ProposeAnyMembers(now time.Duration, members []wire.Member) {
	data, _ := json.Marshal(members)
	n.appendEntry(now, EntryMembers, data)
	n.replicate(now, false)
}

// DiscardCommittedEntries drops the committed entries in Ready, so that they are never applied to the state machine.
func (n *Node) DiscardCommittedEntries() { n.ready.CommittedEntries = nil }

// CommitWithoutQuorum commits entries that only the leader itself has synced.
func (n *Node) CommitWithoutQuorum(now time.Duration) {
	if n.role == Leader && n.stable > n.commit && n.stable >= n.termStartIndex {
		n.commit = n.stable
		n.advanceCommit(now)
	}
}

// TermAt returns the term of the entry at index, or 0 if there is none.
func (n *Node) TermAt(index uint64) uint64 {
	term, _ := n.termAt(index)
	return term
}

// DiskOf returns the disk of the member with that name, or 0 if there is no such member.
func (n *Node) DiskOf(name string) uint64 {
	for _, m := range n.members {
		if m.Name == name {
			return m.Disk
		}
	}
	return 0
}
