// This file is the leader's side of replication: what it sends to each member and learner, and when an entry is committed.

package consensus

import (
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Propose adds a command to the log and returns its index. Only a leader with a lease may call it. The command is committed
// once Ready hands it over; it may be lost if another leader is elected first.
func (n *Node) Propose(now time.Duration, data []byte) (index uint64) {
	index = n.appendEntry(now, EntryData, data)
	n.replicate(now, false)
	return index
}

// advanceCommit has a leader commit what a majority holds, and any node hand over what is committed.
func (n *Node) advanceCommit(now time.Duration) {
	if n.role == Leader {
		n.commitMajority(now)
	}
	for n.applied < n.commit && n.applied < n.lastIndex() {
		n.applied++
		n.ready.CommittedEntries = append(n.ready.CommittedEntries, n.entry(n.applied))
	}
	if n.CanChangeMembers() && !n.isSelfVoter() {
		n.stepDown(now) // its removal is committed; a leader leads until then
	}
}

// commitMajority commits what a majority has synced, if it is of this leader's term. An entry of an earlier term may be
// held by a majority and yet be overwritten by a leader that was elected without it (figure 8 of the paper); it is
// committed together with the first entry of this term.
func (n *Node) commitMajority(now time.Duration) {
	index := majorityValue(n, n.stable, 0, func(p *progress) uint64 { return p.match })
	if index > n.commit && n.matchesTerm(index, n.term) {
		n.commit = index
		n.announceCommit(now)
	}
}

// replicate sends each member and learner what it may be sent now, or with heartbeat at least that.
func (n *Node) replicate(now time.Duration, heartbeat bool) {
	if n.role != Leader {
		return
	}
	for _, p := range n.sortedProgress() {
		n.sendAppend(now, p, heartbeat)
	}
}

// announceCommit sends the new commit index to those that have not acknowledged all of it; the others learn it with the
// next heartbeat.
func (n *Node) announceCommit(now time.Duration) {
	for _, p := range n.sortedProgress() {
		n.sendAppend(now, p, p.chunks == nil && p.match < n.commit)
	}
}

// sendAppend sends what a member needs next, as far as what is in flight to it allows, or else a heartbeat if that is
// wanted.
func (n *Node) sendAppend(now time.Duration, peer *progress, heartbeat bool) {
	if peer.chunks == nil {
		n.startChunks(peer)
	}
	request := &wire.Append{Commit: n.commit}
	if peer.chunks != nil {
		request.PrevIndex, request.PrevTerm = peer.chunks.prevEntry()
		request.Chunk = peer.chunks.nextChunk(now)
	} else {
		request.PrevIndex, request.PrevTerm = n.prevEntry(peer)
		request.Entries = n.nextEntries(peer)
	}
	if request.Chunk == nil && len(request.Entries) == 0 && !heartbeat {
		return
	}
	n.send(&wire.Message{Kind: wire.KindAppend, To: peer.member.Name, Timestamp: int64(now), Append: request}, false)
}

// startChunks begins what has to go to a member in chunks: a snapshot, if the entries that it needs are gone, or an entry
// that is too large for one message.
func (n *Node) startChunks(p *progress) {
	if p.next > n.lastIndex() {
		return
	}
	entry, prevTerm, ok := n.retainedEntry(p.next)
	switch {
	case !ok:
		p.chunks = newSnapshotSender(n.snapshot)
		p.next = n.snapshot.Index + 1
		p.inflight = nil
	case len(entry.Data) > tuning.AppendMax && len(p.inflight) == 0:
		p.chunks = newEntrySender(entry, prevTerm)
	}
}

// prevEntry returns the entry before the next one for a member, which its log must hold.
func (n *Node) prevEntry(p *progress) (index, term uint64) {
	index = p.next - 1
	if _, prevTerm, ok := n.retainedEntry(p.next); ok {
		return index, prevTerm
	}
	term, _ = n.termAt(index)
	return index, term
}

// nextEntries returns the next entries for a member, so many that no more than tuning.AppendMax bytes are in flight to it.
func (n *Node) nextEntries(peer *progress) (entries []wire.Entry) {
	size, room := 0, tuning.AppendMax-peer.inflightBytes()
	for {
		entry, _, ok := n.retainedEntry(peer.next)
		first := size == 0 && len(peer.inflight) == 0 // goes by itself, whatever its size
		if !ok || size+len(entry.Data) > room && !first || len(entry.Data) > tuning.AppendMax {
			break
		}
		size += len(entry.Data) + entryOverhead
		entries = append(entries, entry)
		peer.next++
	}
	if len(entries) > 0 {
		peer.inflight = append(peer.inflight, sentEntries{peer.next - 1, size})
	}
	return entries
}

// handleAppendResponse takes in what a member acknowledges, and sends it what it needs next.
func (n *Node) handleAppendResponse(now time.Duration, message *wire.Message) {
	if message.Term > n.term {
		n.becomeFollower(now, message.Term)
		return
	}
	peer := n.progress[message.From]
	if n.role != Leader || message.Term != n.term || peer == nil || peer.member.Disk != message.Disk {
		return
	}
	sentAt := time.Duration(message.Timestamp)
	if sentAt < n.roleSince || sentAt > now {
		sentAt = never // no time at which this leader, in this term, can have sent it
	}
	peer.ackedAt = max(peer.ackedAt, sentAt)
	if peer.chunks != nil {
		peer.chunks.acknowledge(message.Append.Chunk, sentAt)
	}
	if message.Append.Success {
		peer.acknowledge(min(message.Append.MatchIndex, n.lastIndex()))
		n.advanceCommit(now)
	} else {
		peer.rewind(now, message.Append.MatchIndex, sentAt)
	}
	if n.role == Leader { // it may have committed its own removal
		n.sendAppend(now, peer, false)
	}
}
