// This file sends what is too large for one message, a snapshot or a large entry, in
// pieces: one is under way to a peer at a time, the next follows its acknowledgement,
// and after a loss the transfer goes on from what the receiver holds. Heartbeats go on
// beside it and their answers say how much that is, so a lost piece is noticed by the
// answer to any heartbeat that was sent after it, without a timer.

package consensus

import (
	"hash/fnv"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// chunkSender is a snapshot or an entry on its way to a peer. It keeps what it began with:
// a newer snapshot does not restart it.
type chunkSender struct {
	content      wire.Chunk // what is sent; its Data is all of it
	prevTerm     uint64     // of the entry before, for the receiver's check
	acknowledged uint64     // how many bytes the receiver is known to hold
	inFlight     bool       // a piece was sent and not answered yet
	sentAt       time.Duration
}

func checksum(data []byte) uint64 {
	h := fnv.New64a()
	h.Write(data)
	return h.Sum64()
}

func newSnapshotSender(s wire.Snapshot) *chunkSender {
	return &chunkSender{content: wire.Chunk{Index: s.Index, Term: s.Term, Members: s.Members,
		Size: uint64(len(s.Data)), Checksum: checksum(s.Data), Data: s.Data}}
}

func newEntrySender(e wire.Entry, prevTerm uint64) *chunkSender {
	return &chunkSender{prevTerm: prevTerm, content: wire.Chunk{IsEntry: true, Index: e.Index, Term: e.Term, Kind: e.Kind,
		Size: uint64(len(e.Data)), Checksum: checksum(e.Data), Data: e.Data}}
}

// prevEntry is the log position that the receiver has once all has arrived, or for an entry,
// before that, the one that it must have had before.
func (t *chunkSender) prevEntry() (index, term uint64) {
	if t.content.IsEntry && t.acknowledged < t.content.Size {
		return t.content.Index - 1, t.prevTerm
	}
	return t.content.Index, t.content.Term
}

// nextChunk is the piece to send now, nil if one is under way or all has arrived.
func (t *chunkSender) nextChunk(now time.Duration) *wire.Chunk {
	if t.inFlight || t.acknowledged == t.content.Size && t.content.Size > 0 {
		return nil
	}
	p := t.content
	p.Offset = t.acknowledged
	p.Data = t.content.Data[t.acknowledged:min(t.acknowledged+tuning.AppendMax, t.content.Size)]
	t.inFlight, t.sentAt = true, now
	return &p
}

// acknowledge takes what an answer says the receiver holds; stamp is when the message that
// it answers was sent.
func (t *chunkSender) acknowledge(held *wire.Chunk, stamp time.Duration) {
	var n uint64
	if held != nil && sameContent(held, &t.content) {
		n = min(held.Offset, t.content.Size)
	}
	// Progress, or the answer to a message behind the piece, which therefore was lost.
	if n > t.acknowledged || stamp > t.sentAt {
		t.acknowledged, t.inFlight = n, false
	}
}

func sameContent(a, b *wire.Chunk) bool {
	return a.IsEntry == b.IsEntry && a.Index == b.Index && a.Term == b.Term && a.Size == b.Size && a.Checksum == b.Checksum
}

// chunkReceiver is what has arrived of a transfer. Once complete it keeps only what it was, so
// that answers go on to say that all has arrived.
type chunkReceiver struct {
	content  wire.Chunk
	data     []byte
	complete bool
}

// status is what an answer says of it.
func (a *chunkReceiver) status() *wire.Chunk {
	if a == nil {
		return nil
	}
	s := a.content
	s.Data, s.Members, s.Offset = nil, nil, uint64(len(a.data))
	if a.complete {
		s.Offset = s.Size
	}
	return &s
}

// receiveChunk takes a piece and says whether with it all has arrived whole.
func (n *Node) receiveChunk(p *wire.Chunk) (whole wire.Chunk, complete bool) {
	if p.Size > tuning.WireMax {
		return wire.Chunk{}, false
	}
	if n.receiver == nil || !sameContent(&n.receiver.content, p) {
		if p.Offset != 0 {
			return wire.Chunk{}, false
		}
		n.receiver = &chunkReceiver{content: *p}
		n.receiver.content.Data = nil
	}
	in := n.receiver
	if in.complete || p.Offset != uint64(len(in.data)) || p.Offset+uint64(len(p.Data)) > p.Size {
		return wire.Chunk{}, false // it came twice, or one before it is missing
	}
	in.data = append(in.data, p.Data...)
	if uint64(len(in.data)) < p.Size {
		return wire.Chunk{}, false
	}
	if checksum(in.data) != p.Checksum {
		n.receiver = nil // begun again from nothing
		return wire.Chunk{}, false
	}
	whole = in.content
	whole.Data, in.data, in.complete = in.data, nil, true
	return whole, true
}

// installSnapshot makes a snapshot that has arrived whole this node's state and says whether it did. One that the log
// covers already changes nothing: what follows it there may have been acknowledged.
func (n *Node) installSnapshot(now time.Duration, s wire.Snapshot) bool {
	if s.Index <= n.commit {
		return false
	}
	if t, ok := n.termAt(s.Index); ok && t == s.Term {
		return false
	}
	n.snapshot, n.log, n.compactedTail = s, nil, nil
	n.commit, n.applied, n.stable = s.Index, s.Index, 0
	for i := range n.unsyncedBatches {
		n.unsyncedBatches[i].lastIndex = 0
	}
	n.updateMembership()
	n.persistBatch(now, &wire.Batch{Snapshot: &s, TruncateFrom: 1})
	n.ready.Snapshot = &s
	n.ready.CommittedEntries = nil
	return true
}
