// This file takes snapshots, which replace the applied log by the state that it led to, and installs a leader's.

package consensus

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// SnapshotDue says whether the log has grown so long that the caller should call Compact.
func (n *Node) SnapshotDue() bool {
	return n.applied > n.snapshot.Index && (len(n.log) > tuning.LogMax || n.entryBytes(n.snapshot.Index, n.applied) > tuning.LogBytes)
}

// Compact replaces the applied entries by a snapshot; data is the state machine's state after the last of them.
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

// installSnapshot makes a leader's complete snapshot this node's state, and says whether it did. One that the log covers
// already changes nothing: the entries after it may have been acknowledged, and a leader counts on these.
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
