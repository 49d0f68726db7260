package consensus

import (
	"encoding/json"
	"slices"
	"time"

	"myrtlefold/internal/shared/wire"
)

// What follows takes a guard of the node out, to see that the exploration notices.

// CommitByCount commits what a majority holds whatever term it is of.
func (n *Node) CommitByCount(now time.Duration) {
	if n.role != Leader {
		return
	}
	var held []uint64
	for _, m := range n.members {
		switch p := n.progress[m.Name]; {
		case m == n.self:
			held = append(held, n.stable)
		case p != nil && p.member == m:
			held = append(held, p.match)
		default:
			held = append(held, 0)
		}
	}
	slices.Sort(held)
	if c := held[(len(held)-1)/2]; c > n.commit {
		n.commit = c
		n.advanceCommit(now)
		n.replicate(now, false)
	}
}

// ProposeAnyMembers adds a list of members without a look at the present one.
func (n *Node) ProposeAnyMembers(now time.Duration, ms []wire.Member) {
	b, _ := json.Marshal(ms)
	n.appendEntry(now, EntryMembers, b)
	n.replicate(now, false)
}

// SkipApplied keeps agreed entries from the state machine.
func (n *Node) SkipApplied() { n.ready.CommittedEntries = nil }

// CommitOwn commits what only the leader itself has synced.
func (n *Node) CommitOwn(now time.Duration) {
	if n.role == Leader && n.stable > n.commit && n.stable >= n.termStartIndex {
		n.commit = n.stable
		n.advanceCommit(now)
	}
}

// TermAt is the term of an entry, 0 if there is none.
func (n *Node) TermAt(i uint64) uint64 {
	t, _ := n.termAt(i)
	return t
}

// DiskOf is the disk that the member list has for a name, 0 if it is not in there.
func (n *Node) DiskOf(name string) uint64 {
	for _, m := range n.members {
		if m.Name == name {
			return m.Disk
		}
	}
	return 0
}
