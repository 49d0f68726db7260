// This file sends what is too large for one message, a snapshot or a large entry, in chunks. One is in flight to a member
// at a time; the next follows its acknowledgement, and after a loss the transfer resumes from what the receiver holds.
// Heartbeats go on beside it and their responses say how much that is, so a lost chunk is noticed by the response
// to any heartbeat that was sent after it, without a timer.

package consensus

import (
	"hash/fnv"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// chunkSender is a snapshot or an entry that is being sent to a member. It keeps what it began with: a newer snapshot doesn't
// restart it.
type chunkSender struct {
	content      wire.Chunk    // what is sent; its Data is all of it
	prevTerm     uint64        // of an entry: the term of the one before it
	acknowledged uint64        // how many bytes the receiver is known to hold
	inFlight     bool          // a chunk was sent and not answered yet
	sentAt       time.Duration // when the last chunk was sent
}

// checksum is FNV-1a, 64 bits, as wire.Chunk has it.
func checksum(data []byte) uint64 {
	hash := fnv.New64a()
	hash.Write(data)
	return hash.Sum64()
}

func newSnapshotSender(s wire.Snapshot) *chunkSender {
	return &chunkSender{content: wire.Chunk{Index: s.Index, Term: s.Term, Members: s.Members,
		Size: uint64(len(s.Data)), Checksum: checksum(s.Data), Data: s.Data}}
}

func newEntrySender(e wire.Entry, prevTerm uint64) *chunkSender {
	return &chunkSender{prevTerm: prevTerm, content: wire.Chunk{IsEntry: true, Index: e.Index, Term: e.Term, Kind: e.Kind,
		Size: uint64(len(e.Data)), Checksum: checksum(e.Data), Data: e.Data}}
}

// prevEntry returns the entry that the receiver's log must hold: the one before an entry that is still being sent, else the
// last one that the content brings.
func (s *chunkSender) prevEntry() (index, term uint64) {
	if s.content.IsEntry && s.acknowledged < s.content.Size {
		return s.content.Index - 1, s.prevTerm
	}
	return s.content.Index, s.content.Term
}

// nextChunk returns the chunk to send now, nil if one is in flight or all has arrived. A snapshot without data still takes
// one chunk.
func (s *chunkSender) nextChunk(now time.Duration) *wire.Chunk {
	if s.inFlight || s.acknowledged == s.content.Size && s.content.Size > 0 {
		return nil
	}
	chunk := s.content
	chunk.Offset = s.acknowledged
	chunk.Data = s.content.Data[s.acknowledged:min(s.acknowledged+tuning.AppendMax, s.content.Size)]
	s.inFlight, s.sentAt = true, now
	return &chunk
}

// acknowledge takes in how much the receiver says it holds, nil if nothing; sentAt is when the message that it answers was
// sent. That is progress, or else the response to a message sent after the chunk, which was lost then.
func (s *chunkSender) acknowledge(held *wire.Chunk, sentAt time.Duration) {
	var bytes uint64
	if held != nil && sameContent(held, &s.content) {
		bytes = min(held.Offset, s.content.Size)
	}
	if bytes > s.acknowledged || sentAt > s.sentAt {
		s.acknowledged, s.inFlight = bytes, false
	}
}

func sameContent(a, b *wire.Chunk) bool {
	return a.IsEntry == b.IsEntry && a.Index == b.Index && a.Term == b.Term && a.Size == b.Size && a.Checksum == b.Checksum
}

// chunkReceiver is what has arrived of a snapshot or entry. Once complete it keeps only what it was, so that responses go
// on to say that all has arrived.
type chunkReceiver struct {
	content  wire.Chunk // what arrives, without its Data
	data     []byte
	complete bool
}

// status is what a response says of it: Offset bytes are held.
func (r *chunkReceiver) status() *wire.Chunk {
	if r == nil {
		return nil
	}
	status := r.content
	status.Data, status.Members, status.Offset = nil, nil, uint64(len(r.data))
	if r.complete {
		status.Offset = status.Size
	}
	return &status
}

// receiveChunk takes a chunk in, and returns the content if that completes it. A chunk that came twice, or before an
// earlier one, is dropped: the response says from where to go on.
func (n *Node) receiveChunk(chunk *wire.Chunk) (content wire.Chunk, complete bool) {
	if chunk.Size > tuning.WireMax {
		return wire.Chunk{}, false
	}
	if n.receiver == nil || !sameContent(&n.receiver.content, chunk) {
		if chunk.Offset != 0 {
			return wire.Chunk{}, false
		}
		n.receiver = &chunkReceiver{content: *chunk}
		n.receiver.content.Data = nil
	}
	r := n.receiver
	if r.complete || chunk.Offset != uint64(len(r.data)) || chunk.Offset+uint64(len(chunk.Data)) > chunk.Size {
		return wire.Chunk{}, false
	}
	r.data = append(r.data, chunk.Data...)
	if uint64(len(r.data)) < chunk.Size {
		return wire.Chunk{}, false
	}
	if checksum(r.data) != chunk.Checksum {
		n.receiver = nil // damaged, and asked for again from its beginning
		return wire.Chunk{}, false
	}
	content = r.content
	content.Data, r.data, r.complete = r.data, nil, true
	return content, true
}
