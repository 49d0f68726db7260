// This file is the replicated log: the entries after the snapshot, and the last ones before it.

package consensus

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// entryOverhead is about what an entry takes in a message beside its data, in bytes.
const entryOverhead = 64

func (n *Node) lastIndex() uint64 { return n.snapshot.Index + uint64(len(n.log)) }

// termAt returns the term of an entry of the log, or of the snapshot's last entry.
func (n *Node) termAt(index uint64) (term uint64, ok bool) {
	switch {
	case index == n.snapshot.Index:
		return n.snapshot.Term, true
	case index < n.snapshot.Index || index > n.lastIndex():
		return 0, false
	}
	return n.entry(index).Term, true
}

// matchesTerm says whether the log holds an entry of that index and term. By the Log Matching property it then equals
// every log that does, up to this entry.
func (n *Node) matchesTerm(index, term uint64) bool {
	found, ok := n.termAt(index)
	return ok && found == term
}

// entry returns an entry after the snapshot, which must be there.
func (n *Node) entry(index uint64) wire.Entry { return n.log[index-n.snapshot.Index-1] }

// retainedEntry returns an entry that is still in memory, and the term of the one before it.
func (n *Node) retainedEntry(index uint64) (entry wire.Entry, prevTerm uint64, ok bool) {
	if index > n.lastIndex() {
		return wire.Entry{}, 0, false
	}
	if index > n.snapshot.Index {
		prevTerm, _ = n.termAt(index - 1)
		return n.entry(index), prevTerm, true
	}
	// The first entry of the tail can't be sent, since the term of the one before it is gone.
	first := n.snapshot.Index + 1 - uint64(len(n.compactedTail))
	if index <= first {
		return wire.Entry{}, 0, false
	}
	return n.compactedTail[index-first], n.compactedTail[index-first-1].Term, true
}

// lastIndexBeforeTerm returns the last index before the entries of a term that end at index, so that a leader goes back by
// a term, not by an entry, at a time. Committed entries match every leader's and are not gone back over.
func (n *Node) lastIndexBeforeTerm(index, term uint64) uint64 {
	for index > n.commit+1 && n.matchesTerm(index-1, term) {
		index--
	}
	return index - 1
}

// entryBytes returns how much data the entries after one index, up to another, hold.
func (n *Node) entryBytes(after, upTo uint64) (bytes int) {
	for _, e := range n.log {
		if e.Index > after && e.Index <= upTo {
			bytes += len(e.Data)
		}
	}
	return bytes
}

// UncommittedBytes returns how much data has been proposed and isn't committed yet.
func (n *Node) UncommittedBytes() int { return n.entryBytes(n.commit, n.lastIndex()) }

// appendEntry adds an entry of this leader's term to its log and returns the index.
func (n *Node) appendEntry(now time.Duration, kind uint16, data []byte) (index uint64) {
	entry := wire.Entry{Index: n.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log = append(n.log, entry)
	if kind == EntryMembers {
		n.updateMembership() // a member list is in force from its entry on, committed or not
	}
	n.persistBatch(now, &wire.Batch{Entries: []wire.Entry{entry}})
	n.advanceCommit(now)
	return entry.Index
}

// storeEntries adds those of a leader's entries that this follower lacks, and removes those that conflict with them. What
// the log holds beyond a leader's entries stays, as long as nothing conflicts: the message may be late, and later ones
// may have been acknowledged.
func (n *Node) storeEntries(now time.Duration, entries []wire.Entry) {
	known := 0
	for known < len(entries) && n.matchesTerm(entries[known].Index, entries[known].Term) {
		known++
	}
	missing := entries[known:]
	if len(missing) == 0 {
		return
	}
	first := missing[0].Index
	if first <= n.commit {
		panic(errors.AssertionFailedf("%s: committed entry %d would be overwritten", n.self.Name, first))
	}
	batch := &wire.Batch{Entries: missing}
	if first <= n.lastIndex() {
		batch.TruncateFrom = first
		n.log = slices.Clone(n.log[:first-n.snapshot.Index-1])
		n.truncateUnsynced(first - 1)
	}
	n.log = append(n.log, missing...)
	n.updateMembership()
	n.persistBatch(now, batch)
}

// retainTail keeps the last of the entries that a snapshot replaces in memory, up to tuning.LogTailBytes: a member that is
// a little behind, or was while a snapshot went to it, goes on from them and needs no other snapshot.
func (n *Node) retainTail(compacted []wire.Entry) {
	n.compactedTail = append(slices.Clone(n.compactedTail), compacted...)
	size, first := 0, len(n.compactedTail)
	for first > 0 {
		size += len(n.compactedTail[first-1].Data) + entryOverhead
		if size > tuning.LogTailBytes {
			break
		}
		first--
	}
	n.compactedTail = slices.Clone(n.compactedTail[first:])
}
