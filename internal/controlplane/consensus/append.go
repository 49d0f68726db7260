// This file is the follower's side of replication: what it does with a leader's append message.

package consensus

import (
	"time"

	"myrtlefold/internal/shared/wire"
)

// noTimestamp is in the response to an append message of an earlier term, which proves nothing to the leader of this one:
// the message's timestamp may be by the clock of an earlier process of the same name.
const noTimestamp = -1 << 62

// handleAppendEntries takes in a leader's heartbeat, with the entries or the chunk that it carries, and answers it.
func (n *Node) handleAppendEntries(now time.Duration, message *wire.Message) {
	request := message.Append
	response := &wire.Message{Kind: wire.KindAppend, To: message.From, Timestamp: message.Timestamp, Append: &wire.Append{Reply: true, MatchIndex: n.lastIndex()}}
	n.leaderMessageAt = now
	if message.Term < n.term {
		response.Timestamp = noTimestamp
		n.send(response, false)
		return
	}
	n.becomeFollower(now, message.Term)
	n.recordLeaderContact(now, message.From)
	entries, installed := n.receiveEntries(now, request)
	response.Append.Chunk, response.Append.MatchIndex = n.receiver.status(), n.lastIndex()
	switch {
	case request.PrevIndex < n.snapshot.Index:
		// A snapshot covers committed entries only, and the leader's log holds all of these: they match up to here.
		response.Append.Success, response.Append.MatchIndex = true, n.snapshot.Index
		n.send(response, true)
	case !n.matchesTerm(request.PrevIndex, request.PrevTerm):
		// This log differs from the leader's at PrevIndex or before, so entries after it can't be accepted.
		if term, ok := n.termAt(request.PrevIndex); ok {
			response.Append.MatchIndex = n.lastIndexBeforeTerm(request.PrevIndex, term)
		}
		n.send(response, false)
	default:
		n.storeEntries(now, entries)
		match := request.PrevIndex + uint64(len(entries))
		isHeartbeat := len(entries) == 0 && !installed
		n.acknowledgeUpTo(match, isHeartbeat, response)
		// Up to match this log equals the leader's; entries after match may differ from those committed.
		if commit := min(request.Commit, match); commit > n.commit {
			n.commit = commit
			n.advanceCommit(now)
		}
	}
}

// receiveEntries returns the entries of a request. If a chunk completes a large entry, that is the one; if it completes a
// snapshot, this is installed.
func (n *Node) receiveEntries(now time.Duration, request *wire.Append) (entries []wire.Entry, installed bool) {
	if request.Chunk == nil {
		return request.Entries, false
	}
	content, complete := n.receiveChunk(request.Chunk)
	switch {
	case complete && content.IsEntry:
		return []wire.Entry{{Index: content.Index, Term: content.Term, Kind: content.Kind, Data: content.Data}}, false
	case complete:
		snapshot := wire.Snapshot{Index: content.Index, Term: content.Term, Members: content.Members, Data: content.Data}
		return request.Entries, n.installSnapshot(now, snapshot)
	}
	return request.Entries, false
}

// acknowledgeUpTo acknowledges that this log equals the leader's up to an index. The leader counts towards a majority what
// is acknowledged, so it has to be on disk. A heartbeat is answered at once, however slow the disk is, so that
// the leader keeps its lease; it then acknowledges only what is synced.
func (n *Node) acknowledgeUpTo(match uint64, isHeartbeat bool, response *wire.Message) {
	response.Append.Success, response.Append.MatchIndex = true, match
	if isHeartbeat && !n.hardStateUnsynced() {
		response.Append.MatchIndex = min(match, n.stable)
		n.send(response, false)
		return
	}
	// A term that isn't on disk might be forgotten, and a vote given to another leader of it.
	n.send(response, match > n.stable || n.hardStateUnsynced())
}
