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
	seq  uint64
	at   time.Duration
	last uint64
}

type heldMessage struct {
	seq uint64
	m   *wire.Message
}

func (n *Node) syncBatch(now time.Duration, b *wire.Batch) {
	n.seq++
	b.Seq = n.seq
	n.unsyncedBatches = append(n.unsyncedBatches, unsyncedBatch{n.seq, now, n.last()})
	n.ready.Batches = append(n.ready.Batches, b)
}

func (n *Node) syncHardState(now time.Duration) {
	n.syncBatch(now, &wire.Batch{HasHardState: true, Term: n.term, Vote: n.vote})
	n.hardSeq = n.seq
}

// Advance says that all batches up to seq are on disk.
func (n *Node) Advance(now time.Duration, seq uint64) {
	for len(n.unsyncedBatches) > 0 && n.unsyncedBatches[0].seq <= seq {
		n.stable = max(n.stable, min(n.unsyncedBatches[0].last, n.last()))
		n.unsyncedBatches = n.unsyncedBatches[1:]
	}
	n.heldMessages = slices.DeleteFunc(n.heldMessages, func(w heldMessage) bool {
		if w.seq <= seq {
			n.ready.Messages = append(n.ready.Messages, w.m)
			return true
		}
		return false
	})
	n.advance(now)
}

// DiskStalled says that the disk has kept a sync waiting for too long.
func (n *Node) DiskStalled(now time.Duration) bool {
	return len(n.unsyncedBatches) > 0 && now-n.unsyncedBatches[0].at > tuning.SyncStall
}

func (n *Node) send(m *wire.Message, afterSync bool) {
	m.From, m.Disk, m.Epoch, m.Term = n.self.Name, n.self.Disk, n.epoch, n.term
	if afterSync && len(n.unsyncedBatches) > 0 {
		if len(n.heldMessages) >= tuning.SendQueue {
			return // as if lost: it is asked again
		}
		n.heldMessages = append(n.heldMessages, heldMessage{n.seq, m})
		return
	}
	n.ready.Messages = append(n.ready.Messages, m)
}

// Persist syncs a batch that changes nothing for the node itself, and numbers it.
func (n *Node) Persist(now time.Duration, b *wire.Batch) (seq uint64) {
	n.syncBatch(now, b)
	return n.seq
}
