// This file numbers the batches that have to be synced, and keeps back messages
// until what they promise is on disk.
package quorum

import (
	"slices"
	"time"

	"myrtlefold/limit"
	"myrtlefold/wire"
)

type batch struct {
	seq  uint64
	at   time.Duration
	last uint64
}

type waiting struct {
	seq uint64
	m   *wire.Msg
}

func (n *Node) sync(now time.Duration, b *wire.Batch) {
	n.seq++
	b.Seq = n.seq
	n.open = append(n.open, batch{n.seq, now, n.last()})
	n.out.Batches = append(n.out.Batches, b)
}

func (n *Node) hard(now time.Duration) {
	n.sync(now, &wire.Batch{Hard: true, Term: n.term, Vote: n.vote})
	n.hardSeq = n.seq
}

// Synced says that all batches up to seq are on disk.
func (n *Node) Synced(now time.Duration, seq uint64) {
	for len(n.open) > 0 && n.open[0].seq <= seq {
		n.stable = max(n.stable, min(n.open[0].last, n.last()))
		n.open = n.open[1:]
	}
	n.wait = slices.DeleteFunc(n.wait, func(w waiting) bool {
		if w.seq <= seq {
			n.out.Send = append(n.out.Send, w.m)
			return true
		}
		return false
	})
	n.advance(now)
}

// Stalled says that the disk has kept a sync waiting for too long.
func (n *Node) Stalled(now time.Duration) bool {
	return len(n.open) > 0 && now-n.open[0].at > limit.FsyncStall
}

func (n *Node) send(m *wire.Msg, afterSync bool) {
	m.From, m.Disk, m.Epoch, m.Term = n.self.Name, n.self.Disk, n.epoch, n.term
	if afterSync && len(n.open) > 0 {
		n.wait = append(n.wait, waiting{n.seq, m})
		return
	}
	n.out.Send = append(n.out.Send, m)
}

// Keep syncs a batch that changes nothing for the node itself, and numbers it.
func (n *Node) Keep(now time.Duration, b *wire.Batch) (seq uint64) {
	n.sync(now, b)
	return n.seq
}
