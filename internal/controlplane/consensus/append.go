// Follower side of log replication: handling of append messages.

package consensus

import (
	"time"

	"myrtlefold/internal/shared/wire"
)

// noTimestamp replaces the timestamp in a response to an append message of an earlier term. Such a message must not renew
// the current leader's lease: its timestamp may come from the clock of an earlier process of the same name.
const noTimestamp = -1 << 62

// handleAppendEntries processes a leader's append message, which may carry entries, a chunk or neither, and responds to it.
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
		// A snapshot covers only committed entries, and the leader's log holds all of them, so the logs match up to
		// the snapshot.
		response.Append.Success, response.Append.MatchIndex = true, n.snapshot.Index
		n.send(response, true)
	case !n.matchesTerm(request.PrevIndex, request.PrevTerm):
		// This log diverges from the leader's at or before PrevIndex, so the entries can't be appended.
		if term, ok := n.termAt(request.PrevIndex); ok {
			response.Append.MatchIndex = n.lastIndexBeforeTerm(request.PrevIndex, term)
		}
		n.send(response, false)
	default:
		n.storeEntries(now, entries)
		match := request.PrevIndex + uint64(len(entries))
		isHeartbeat := len(entries) == 0 && !installed
		n.acknowledgeUpTo(match, isHeartbeat, response)
		// This log equals the leader's up to match; entries after it may differ from the committed ones.
		if commit := min(request.Commit, match); commit > n.commit {
			n.commit = commit
			n.advanceCommit(now)
		}
	}
}

// receiveEntries returns the entries that a request delivers. If its chunk completes a large entry, it returns that entry;
// if its chunk completes a snapshot, it installs the snapshot and reports in installed whether that changed the node.
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

// acknowledgeUpTo tells the leader that this log equals the leader's up to index match. The leader counts acknowledged
// entries towards a majority, so the response waits until they are synced. A heartbeat is answered immediately, however
// slow the disk is, so that the leader keeps its lease; that response acknowledges only synced entries.
func (n *Node) acknowledgeUpTo(match uint64, isHeartbeat bool, response *wire.Message) {
	response.Append.Success, response.Append.MatchIndex = true, match
	if isHeartbeat && !n.hardStateUnsynced() {
		response.Append.MatchIndex = min(match, n.stable)
		n.send(response, false)
		return
	}
	// After a crash the node would forget a term that isn't on disk and could vote for another candidate in it.
	n.send(response, match > n.stable || n.hardStateUnsynced())
}
