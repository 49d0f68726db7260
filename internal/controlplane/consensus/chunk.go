// Transfer of snapshots and of entries too large for one message, in chunks. At most one chunk is in flight to a member;
// the next one follows its acknowledgement. Heartbeats continue during a transfer, and each response states how many bytes
// the receiver holds. So the response to any heartbeat sent after a chunk reveals that the chunk was lost, without a timer,
// and the transfer resumes from the bytes that the receiver holds.

package consensus

import (
	"hash/fnv"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// chunkSender is the transfer of a snapshot or of a large entry to a member. A newer snapshot doesn't restart a transfer
// that has begun.
type chunkSender struct {
	content      wire.Chunk    // the snapshot or entry, with all of its Data
	prevTerm     uint64        // for an entry: the term of the entry before it
	acknowledged uint64        // bytes that the receiver is known to hold
	inFlight     bool          // whether a chunk is sent and not yet acknowledged
	sentAt       time.Duration // when the last chunk was sent, by the leader's clock
}

// checksum returns the 64-bit FNV-1a hash that wire.Chunk.Checksum holds.
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

// prevEntry returns the index and term to send as PrevIndex and PrevTerm: those of the entry before a large entry whose
// transfer isn't complete, otherwise those of the last entry that the content covers.
func (s *chunkSender) prevEntry() (index, term uint64) {
	if s.content.IsEntry && s.acknowledged < s.content.Size {
		return s.content.Index - 1, s.prevTerm
	}
	return s.content.Index, s.content.Term
}

// nextChunk returns the chunk to send now, or nil if one is in flight or the receiver holds all bytes. A snapshot without
// data is still sent as one chunk.
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

// acknowledge processes a response to a message that was sent at sentAt; held states how much the receiver holds, nil for
// nothing. If that is no more than before and the message was sent after the last chunk, the chunk was lost, and the
// transfer resumes from what the receiver holds.
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

// chunkReceiver is the receiving side of a transfer. Once the transfer is complete it drops the data but keeps the
// description of the content, so that later responses still report it as received.
type chunkReceiver struct {
	content  wire.Chunk // the snapshot or entry, without Data
	data     []byte     // the bytes received so far; nil once complete
	complete bool       // whether all bytes were received
}

// status returns the chunk that a response carries, whose Offset is the number of bytes received; nil without a transfer.
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

// receiveChunk stores a chunk and returns the whole content if the chunk completes it. Duplicate and out-of-order chunks are
// dropped; the response tells the sender from which offset to continue.
func (n *Node) receiveChunk(chunk *wire.Chunk) (content wire.Chunk, complete bool) {
	if chunk.Size > tuning.MessageMax {
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
		n.receiver = nil // corrupted; the response makes the sender start again from offset 0
		return wire.Chunk{}, false
	}
	content = r.content
	content.Data, r.data, r.complete = r.data, nil, true
	return content, true
}
