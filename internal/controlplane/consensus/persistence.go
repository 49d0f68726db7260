// Sequence numbers of batches, and messages that are held back until the state they depend on is on disk.

package consensus

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// unsyncedBatch is a batch whose sync Advance hasn't reported yet.
type unsyncedBatch struct {
	seq       uint64
	queuedAt  time.Duration
	lastIndex uint64 // last index of the log after the batch; lowered if entries are truncated before it is synced
}

// pendingMessage is a message that is held back until batch seq is synced.
type pendingMessage struct {
	seq     uint64
	message *wire.Message
}

// Persist queues a batch of the caller for syncing, in order with the node's own batches. The batch must not affect the
// node's state. Persist returns its sequence number, up to which Advance later reports batches as synced.
func (n *Node) Persist(now time.Duration, batch *wire.Batch) (seq uint64) {
	n.persistBatch(now, batch)
	return n.batchSeq
}

// Advance reports that all batches up to seq are synced. Their entries then count as acknowledged by this node
// itself, and messages that waited for these batches are released.
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

// DiskStalled reports whether the oldest unsynced batch has waited longer than tuning.SyncStall.
func (n *Node) DiskStalled(now time.Duration) bool {
	return len(n.unsyncedBatches) > 0 && now-n.unsyncedBatches[0].queuedAt > tuning.SyncStall
}

func (n *Node) persistBatch(now time.Duration, batch *wire.Batch) {
	n.batchSeq++
	batch.Seq = n.batchSeq
	n.unsyncedBatches = append(n.unsyncedBatches, unsyncedBatch{n.batchSeq, now, n.lastIndex()})
	n.ready.Batches = append(n.ready.Batches, batch)
}

// persistHardState queues a batch with the term and vote.
func (n *Node) persistHardState(now time.Duration) {
	n.persistBatch(now, &wire.Batch{HasHardState: true, Term: n.term, Vote: n.vote})
	n.hardStateSeq = n.batchSeq
}

// hardStateUnsynced reports whether the current term and vote may not be on disk yet.
func (n *Node) hardStateUnsynced() bool {
	return len(n.unsyncedBatches) > 0 && n.unsyncedBatches[0].seq <= n.hardStateSeq
}

// truncateUnsynced records that the log was truncated after lastIndex, so that a later sync of the removed entries isn't
// counted for the entries that replace them.
func (n *Node) truncateUnsynced(lastIndex uint64) {
	n.stable = min(n.stable, lastIndex)
	for i := range n.unsyncedBatches {
		n.unsyncedBatches[i].lastIndex = min(n.unsyncedBatches[i].lastIndex, lastIndex)
	}
}

// send completes a message with this node's name, disk, epoch and term, and sends it. With afterSync the message is held
// back until all batches queued so far are synced.
func (n *Node) send(m *wire.Message, afterSync bool) {
	m.From, m.Disk, m.Epoch, m.Term = n.self.Name, n.self.Disk, n.epoch, n.term
	if !afterSync || len(n.unsyncedBatches) == 0 {
		n.ready.Messages = append(n.ready.Messages, m)
		return
	}
	if len(n.pendingMessages) >= tuning.SendQueue {
		return // drop it, as the network may; the sender of the request repeats it
	}
	n.pendingMessages = append(n.pendingMessages, pendingMessage{n.batchSeq, m})
}
