// This file numbers the batches that have to be synced, and keeps back messages
// until what they promise is on disk.

package consensus

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

type unsyncedBatch struct {
	seq       uint64
	queuedAt  time.Duration
	lastIndex uint64
}

type pendingMessage struct {
	seq     uint64
	message *wire.Message
}

func (n *Node) persistBatch(now time.Duration, b *wire.Batch) {
	n.batchSeq++
	b.Seq = n.batchSeq
	n.unsyncedBatches = append(n.unsyncedBatches, unsyncedBatch{n.batchSeq, now, n.lastIndex()})
	n.ready.Batches = append(n.ready.Batches, b)
}

func (n *Node) persistHardState(now time.Duration) {
	n.persistBatch(now, &wire.Batch{HasHardState: true, Term: n.term, Vote: n.vote})
	n.hardStateSeq = n.batchSeq
}

// Advance says that all batches up to seq are on disk.
func (n *Node) Advance(now time.Duration, seq uint64) {
	for len(n.unsyncedBatches) > 0 && n.unsyncedBatches[0].seq <= seq {
		n.stable = max(n.stable, min(n.unsyncedBatches[0].lastIndex, n.lastIndex()))
		n.unsyncedBatches = n.unsyncedBatches[1:]
	}
	n.pendingMessages = slices.DeleteFunc(n.pendingMessages, func(w pendingMessage) bool {
		if w.seq <= seq {
			n.ready.Messages = append(n.ready.Messages, w.message)
			return true
		}
		return false
	})
	n.advanceCommit(now)
}

// DiskStalled says that the disk has kept a sync waiting for too long.
func (n *Node) DiskStalled(now time.Duration) bool {
	return len(n.unsyncedBatches) > 0 && now-n.unsyncedBatches[0].queuedAt > tuning.SyncStall
}

func (n *Node) send(m *wire.Message, afterSync bool) {
	m.From, m.Disk, m.Epoch, m.Term = n.self.Name, n.self.Disk, n.epoch, n.term
	if afterSync && len(n.unsyncedBatches) > 0 {
		if len(n.pendingMessages) >= tuning.SendQueue {
			return // as if lost: it is asked again
		}
		n.pendingMessages = append(n.pendingMessages, pendingMessage{n.batchSeq, m})
		return
	}
	n.ready.Messages = append(n.ready.Messages, m)
}

// Persist syncs a batch that changes nothing for the node itself, and numbers it.
func (n *Node) Persist(now time.Duration, b *wire.Batch) (seq uint64) {
	n.persistBatch(now, b)
	return n.batchSeq
}
