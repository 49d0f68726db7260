// This file replaces the applied log by the state that it led to.

package consensus

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Snapshot is the latest snapshot, which the log goes on from. It must not be changed.
func (n *Node) Snapshot() *wire.Snapshot { return &n.snapshot }

// SnapshotDue says that a snapshot is due.
func (n *Node) SnapshotDue() bool {
	return n.applied > n.snapshot.Index && (len(n.log) > tuning.LogMax || n.entryBytes(n.snapshot.Index, n.applied) > tuning.LogBytes)
}

// Compact replaces the applied log by the state that it led to.
func (n *Node) Compact(now time.Duration, data []byte) {
	t, ok := n.termAt(n.applied)
	if !ok || n.applied == n.snapshot.Index {
		return
	}
	ms := n.snapshot.Members
	for _, e := range n.log {
		if e.Index <= n.applied && e.Kind == EntryMembers {
			ms = membersOf(e)
		}
	}
	s := wire.Snapshot{Index: n.applied, Term: t, Members: ms, Data: data}
	n.retainTail(n.log[:n.applied-n.snapshot.Index])
	n.log = slices.Clone(n.log[n.applied-n.snapshot.Index:])
	n.snapshot = s
	n.persistBatch(now, &wire.Batch{Snapshot: &s})
}

// retainTail keeps the last of the entries that a snapshot replaces in memory, up to
// tuning.TailBytes: a peer that is a little behind, or was while a snapshot went to it,
// goes on from them and needs no other snapshot.
func (n *Node) retainTail(compacted []wire.Entry) {
	n.compactedTail = append(slices.Clone(n.compactedTail), compacted...)
	size, from := 0, len(n.compactedTail)
	for from > 0 {
		size += len(n.compactedTail[from-1].Data) + entryOverhead
		if size > tuning.LogTailBytes {
			break
		}
		from--
	}
	n.compactedTail = slices.Clone(n.compactedTail[from:])
}
