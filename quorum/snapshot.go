// This file replaces the applied log by the state that it led to.

package quorum

import (
	"encoding/json"
	"slices"
	"time"

	"myrtlefold/limit"
	"myrtlefold/wire"
)

func (n *Node) Snap() *wire.Snap { return &n.snap }

// Full says that a snapshot is due.
func (n *Node) SnapshotDue() bool {
	return n.applied > n.snap.Index && (len(n.log) > limit.LogMax || n.entryBytes(n.snap.Index, n.applied) > limit.LogBytes)
}

// Compact replaces the applied log by the state that it led to.
func (n *Node) Compact(now time.Duration, data []byte) {
	t, ok := n.termAt(n.applied)
	if !ok || n.applied == n.snap.Index {
		return
	}
	ms := n.snap.Members
	for _, e := range n.log {
		if e.Index <= n.applied && e.Kind == EntryMembers {
			var l []wire.Member
			if json.Unmarshal(e.Data, &l) == nil {
				ms = l
			}
		}
	}
	s := wire.Snap{Index: n.applied, Term: t, Members: ms, Data: data}
	n.log = slices.Clone(n.log[n.applied-n.snap.Index:])
	n.snap = s
	n.syncBatch(now, &wire.Batch{Snap: &s})
}
