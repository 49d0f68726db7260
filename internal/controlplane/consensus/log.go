// The replicated log: the entries after the snapshot, and a tail of compacted entries before it.

package consensus

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// entryOverhead is the approximate encoded size of an entry in a message without its data, in bytes.
const entryOverhead = 64

func (n *Node) lastIndex() uint64 { return n.snapshot.Index + uint64(len(n.log)) }

// termAt returns the term of the log entry at index, or of the snapshot's last entry; ok is false for any other index.
func (n *Node) termAt(index uint64) (term uint64, ok bool) {
	switch {
	case index == n.snapshot.Index:
		return n.snapshot.Term, true
	case index < n.snapshot.Index || index > n.lastIndex():
		return 0, false
	}
	return n.entry(index).Term, true
}

// matchesTerm reports whether the log holds an entry of that index and term. By the Log Matching property it then equals
// every other log with such an entry, up to that entry.
func (n *Node) matchesTerm(index, term uint64) bool {
	found, ok := n.termAt(index)
	return ok && found == term
}

// entry returns the entry at index, which must be in the log after the snapshot.
func (n *Node) entry(index uint64) wire.Entry { return n.log[index-n.snapshot.Index-1] }

// retainedEntry returns the entry at index, from the log or the compacted tail, and the term of the entry before it. ok is
// false if either is no longer in memory.
func (n *Node) retainedEntry(index uint64) (entry wire.Entry, prevTerm uint64, ok bool) {
	if index > n.lastIndex() {
		return wire.Entry{}, 0, false
	}
	if index > n.snapshot.Index {
		prevTerm, _ = n.termAt(index - 1)
		return n.entry(index), prevTerm, true
	}
	// The first entry of the tail can't be sent, since the term of the entry before it is no longer known.
	first := n.snapshot.Index + 1 - uint64(len(n.compactedTail))
	if index <= first {
		return wire.Entry{}, 0, false
	}
	return n.compactedTail[index-first], n.compactedTail[index-first-1].Term, true
}

// lastIndexBeforeTerm returns the index before the run of entries of the given term that ends at index, so that a leader
// backtracks by whole terms instead of single entries. It doesn't go back past committed entries, which match every
// leader's log.
func (n *Node) lastIndexBeforeTerm(index, term uint64) uint64 {
	for index > n.commit+1 && n.matchesTerm(index-1, term) {
		index--
	}
	return index - 1
}

// entryBytes returns the total data size, in bytes, of the entries after index after, up to and including upTo.
func (n *Node) entryBytes(after, upTo uint64) (bytes int) {
	for _, e := range n.log {
		if e.Index > after && e.Index <= upTo {
			bytes += len(e.Data)
		}
	}
	return bytes
}

// UncommittedBytes returns the total data size, in bytes, of the entries that aren't known to be committed.
func (n *Node) UncommittedBytes() int { return n.entryBytes(n.commit, n.lastIndex()) }

// appendEntry appends an entry of the leader's current term to its log and returns its index.
func (n *Node) appendEntry(now time.Duration, kind uint16, data []byte) (index uint64) {
	entry := wire.Entry{Index: n.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log = append(n.log, entry)
	if kind == EntryMembers {
		n.updateMembership() // a member list takes effect when it is appended, not when it is committed
	}
	n.persistBatch(now, &wire.Batch{Entries: []wire.Entry{entry}})
	n.advanceCommit(now)
	return entry.Index
}

// storeEntries appends those of the leader's entries that this follower lacks, and removes entries that conflict with them.
// Without a conflict, log entries after the leader's stay: the message may be late, and this node may already have
// acknowledged entries of later messages.
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
		panic(errors.AssertionFailedf("node %s: append would overwrite committed entry %d (commit index %d)", n.self.Name, first, n.commit))
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

// retainTail keeps the most recent compacted entries in memory, up to tuning.LogTailBytes. A member that is slightly behind,
// or fell behind while it received a snapshot, is sent these entries and needs no further snapshot.
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
