package consensus

import (
	"encoding/json"
	"time"

	"myrtlefold/internal/shared/wire"
)

// What follows disables a guard of the node, to see that the model checker notices.

// CommitByCount commits what a majority holds, whatever term it is of.
func (n *Node) CommitByCount(now time.Duration) {
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

// ProposeAnyMembers proposes a member list, however it differs from the present one.
func (n *Node) ProposeAnyMembers(now time.Duration, members []wire.Member) {
	data, _ := json.Marshal(members)
	n.appendEntry(now, EntryMembers, data)
	n.replicate(now, false)
}

// SkipApplied withholds committed entries from the state machine.
func (n *Node) SkipApplied() { n.ready.CommittedEntries = nil }

// CommitOwn commits what only the leader itself has synced.
func (n *Node) CommitOwn(now time.Duration) {
	if n.role == Leader && n.stable > n.commit && n.stable >= n.termStartIndex {
		n.commit = n.stable
		n.advanceCommit(now)
	}
}

// TermAt returns the term of an entry, 0 if there is none.
func (n *Node) TermAt(index uint64) uint64 {
	term, _ := n.termAt(index)
	return term
}

// DiskOf returns the disk that the member list has for a name, 0 if the name isn't listed.
func (n *Node) DiskOf(name string) uint64 {
	for _, m := range n.members {
		if m.Name == name {
			return m.Disk
		}
	}
	return 0
}
