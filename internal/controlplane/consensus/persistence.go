// This file numbers the batches that are to be synced, and keeps messages back until what they promise is on disk.

package consensus

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// unsyncedBatch is a batch that Advance hasn't reported yet.
type unsyncedBatch struct {
	seq       uint64
	queuedAt  time.Duration
	lastIndex uint64 // of the log as the batch leaves it; lowered if entries are truncated before it is synced
}

// pendingMessage is a message that waits until the batch seq is synced.
type pendingMessage struct {
	seq     uint64
	message *wire.Message
}

// Persist numbers a batch of the caller's own, which changes nothing for the node, and has it synced in order with the
// node's batches. It returns the number, which Advance reports.
func (n *Node) Persist(now time.Duration, batch *wire.Batch) (seq uint64) {
	n.persistBatch(now, batch)
	return n.batchSeq
}

// Advance reports that all batches up to seq are synced: their entries count as acknowledged by this node, and the
// messages that waited for them are sent.
func (n *Node) Advance(now time.Duration, seq uint64) {
	for len(n.unsyncedBatches) > 0 && n.unsyncedBatches[0].seq <= seq {
		n.stable = max(n.stable, min(n.unsyncedBatches[0].lastIndex, n.lastIndex()))
		n.unsyncedBatches = n.unsyncedBatches[1:]
	}
	n.pendingMessages = slices.DeleteFunc(n.pendingMessages, func(pending pendingMessage) bool {
		if pending.seq <= seq {
			n.ready.Messages = append(n.ready.Messages, pending.message)
			return true
		}
		return false
	})
	n.advanceCommit(now)
}

// DiskStalled says whether a sync has taken longer than tuning.SyncStall.
func (n *Node) DiskStalled(now time.Duration) bool {
	return len(n.unsyncedBatches) > 0 && now-n.unsyncedBatches[0].queuedAt > tuning.SyncStall
}

func (n *Node) persistBatch(now time.Duration, batch *wire.Batch) {
	n.batchSeq++
	batch.Seq = n.batchSeq
	n.unsyncedBatches = append(n.unsyncedBatches, unsyncedBatch{n.batchSeq, now, n.lastIndex()})
	n.ready.Batches = append(n.ready.Batches, batch)
}

// persistHardState has term and vote synced.
func (n *Node) persistHardState(now time.Duration) {
	n.persistBatch(now, &wire.Batch{HasHardState: true, Term: n.term, Vote: n.vote})
	n.hardStateSeq = n.batchSeq
}

// hardStateUnsynced says whether the present term may not be on disk yet.
func (n *Node) hardStateUnsynced() bool {
	return len(n.unsyncedBatches) > 0 && n.unsyncedBatches[0].seq <= n.hardStateSeq
}

// truncateUnsynced notes that the log has been cut after lastIndex, so that a later sync of what was there before isn't
// counted for entries that have taken its place.
func (n *Node) truncateUnsynced(lastIndex uint64) {
	n.stable = min(n.stable, lastIndex)
	for i := range n.unsyncedBatches {
		n.unsyncedBatches[i].lastIndex = min(n.unsyncedBatches[i].lastIndex, lastIndex)
	}
}

// send sends a message in this node's name; with afterSync it waits until all batches so far are synced.
func (n *Node) send(m *wire.Message, afterSync bool) {
	m.From, m.Disk, m.Epoch, m.Term = n.self.Name, n.self.Disk, n.epoch, n.term
	if !afterSync || len(n.unsyncedBatches) == 0 {
		n.ready.Messages = append(n.ready.Messages, m)
		return
	}
	if len(n.pendingMessages) >= tuning.SendQueue {
		return // as if it was lost: the other side repeats its request
	}
	n.pendingMessages = append(n.pendingMessages, pendingMessage{n.batchSeq, m})
}
