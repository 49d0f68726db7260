// Log compaction by snapshots, and installation of a leader's snapshot.

package consensus

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// SnapshotDue reports whether the log has grown so large that the caller should call Compact.
func (n *Node) SnapshotDue() bool {
	return n.applied > n.snapshot.Index && (len(n.log) > tuning.LogMax || n.entryBytes(n.snapshot.Index, n.applied) > tuning.LogBytes)
}

// Compact replaces the applied entries by a snapshot. data is the encoded state of the state machine after the last applied
// entry.
func (n *Node) Compact(now time.Duration, data []byte) {
	term, ok := n.termAt(n.applied)
	if !ok || n.applied == n.snapshot.Index {
		return
	}
	snapshot := wire.Snapshot{Index: n.applied, Term: term, Members: n.membersAt(n.applied), Data: data}
	compacted := n.applied - n.snapshot.Index
	n.retainTail(n.log[:compacted])
	n.log = slices.Clone(n.log[compacted:])
	n.snapshot = snapshot
	n.persistBatch(now, &wire.Batch{Snapshot: &snapshot})
}

// installSnapshot replaces this node's log by a leader's complete snapshot and reports whether it did. A snapshot that the
// log already covers is ignored: this node may have acknowledged entries after it, which the leader counts on.
func (n *Node) installSnapshot(now time.Duration, snapshot wire.Snapshot) bool {
	if snapshot.Index <= n.commit || n.matchesTerm(snapshot.Index, snapshot.Term) {
		return false
	}
	n.snapshot, n.log, n.compactedTail = snapshot, nil, nil
	n.commit, n.applied = snapshot.Index, snapshot.Index
	n.truncateUnsynced(0)
	n.updateMembership()
	n.persistBatch(now, &wire.Batch{Snapshot: &snapshot, TruncateFrom: 1})
	n.ready.Snapshot = &snapshot
	n.ready.CommittedEntries = nil // the snapshot covers them
	return true
}
