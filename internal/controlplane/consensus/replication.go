// Leader side of log replication: what the leader sends to each member and learner, and when entries are committed.

package consensus

import (
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Propose appends a command to the log and returns its index. It may be called only while HasLease is true. The command is
// committed once Ready returns it; it may be lost if another leader is elected first.
func (n *Node) Propose(now time.Duration, data []byte) (index uint64) {
	index = n.appendEntry(now, EntryData, data)
	n.replicate(now, false)
	return index
}

// advanceCommit commits what a majority has synced, if this node is the leader, and then adds newly committed entries to
// Ready.
func (n *Node) advanceCommit(now time.Duration) {
	if n.role == Leader {
		n.commitMajority(now)
	}
	for n.applied < n.commit && n.applied < n.lastIndex() {
		n.applied++
		n.ready.CommittedEntries = append(n.ready.CommittedEntries, n.entry(n.applied))
	}
	if n.CanChangeMembers() && !n.isSelfVoter() {
		n.stepDown(now) // a leader that removes itself leads until its removal is committed
	}
}

// commitMajority commits the entries that a majority has synced, up to an entry of the leader's current term. An entry of
// an earlier term can be stored on a majority and still be overwritten by a later leader that lacks it (figure 8 of the
// Raft paper), so it is committed only together with an entry of the current term.
func (n *Node) commitMajority(now time.Duration) {
	index := majorityValue(n, n.stable, 0, func(p *progress) uint64 { return p.match })
	if index > n.commit && n.matchesTerm(index, n.term) {
		n.commit = index
		n.announceCommit(now)
	}
}

// replicate sends each member and learner the entries or chunk that it needs next. With heartbeat, those that need nothing
// are sent a heartbeat.
func (n *Node) replicate(now time.Duration, heartbeat bool) {
	if n.role != Leader {
		return
	}
	for _, p := range n.sortedProgress() {
		n.sendAppend(now, p, heartbeat)
	}
}

// announceCommit sends the new commit index immediately to those that haven't acknowledged all entries up to it; the others
// learn it from the next heartbeat.
func (n *Node) announceCommit(now time.Duration) {
	for _, p := range n.sortedProgress() {
		n.sendAppend(now, p, p.chunks == nil && p.match < n.commit)
	}
}

// sendAppend sends the entries or chunk that a member needs next, within the limit on bytes in flight. If there is nothing
// to send, it sends a heartbeat if heartbeat is set, and nothing otherwise.
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

// startChunks starts a chunked transfer if the member needs one: of the snapshot, if the leader no longer holds the next
// entry, or of the next entry, if that is too large for one message.
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

// prevEntry returns the index and term of the entry before the next one to send, which the member's log must match.
func (n *Node) prevEntry(p *progress) (index, term uint64) {
	index = p.next - 1
	if _, prevTerm, ok := n.retainedEntry(p.next); ok {
		return index, prevTerm
	}
	term, _ = n.termAt(index)
	return index, term
}

// nextEntries returns the next entries to send to a member, limited to tuning.AppendMax bytes in flight, and marks them as
// sent.
func (n *Node) nextEntries(peer *progress) (entries []wire.Entry) {
	size, room := 0, tuning.AppendMax-peer.inflightBytes()
	for {
		entry, _, ok := n.retainedEntry(peer.next)
		first := size == 0 && len(peer.inflight) == 0 // always allowed if it fits into one message
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

// handleAppendResponse updates a member's progress from its response and sends what it needs next.
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
		sentAt = never // this leader can't have sent the message at that time in this term
	}
	peer.answeredMessageSentAt = max(peer.answeredMessageSentAt, sentAt)
	if peer.chunks != nil {
		peer.chunks.acknowledge(message.Append.Chunk, sentAt)
	}
	if message.Append.Success {
		peer.acknowledge(min(message.Append.MatchIndex, n.lastIndex()))
		n.advanceCommit(now)
	} else {
		peer.rewind(now, message.Append.MatchIndex, sentAt)
	}
	if n.role == Leader { // it steps down above if it committed its own removal
		n.sendAppend(now, peer, false)
	}
}
