// This file replicates the log from the leader to the others and counts what a
// majority has synced.

package consensus

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// noTimestamp is in the answer to an append of an earlier term, which proves nothing to the
// leader of this one: the stamp may be by the clock of an earlier process of its name.
const noTimestamp = -1 << 62

// progress is what a leader knows of another member, or of one that learns.
type progress struct {
	member    wire.Member
	voter     bool
	next      uint64
	match     uint64
	ackedAt   time.Duration
	inflight  []sentEntries // sent and not acknowledged, in order
	rewoundAt time.Duration // when entries were last begun again after a loss
	chunks    *chunkSender  // what goes to it in pieces, if anything does
}

// sentEntries is one message's entries.
type sentEntries struct {
	lastIndex uint64 // index
	bytes     int
}

func (p *progress) inflightBytes() (b int) {
	for _, s := range p.inflight {
		b += s.bytes
	}
	return b
}

// entryOverhead is what an entry takes in a message beside its data, in bytes, about.
const entryOverhead = 64

func (n *Node) appendEntry(now time.Duration, kind uint16, data []byte) uint64 {
	e := wire.Entry{Index: n.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log = append(n.log, e)
	if kind == EntryMembers {
		n.updateMembership()
	}
	n.persistBatch(now, &wire.Batch{Entries: []wire.Entry{e}})
	n.advanceCommit(now)
	return e.Index
}

// Propose adds data to the log and returns its index; only a leader with a
// lease may call it.
func (n *Node) Propose(now time.Duration, data []byte) uint64 {
	i := n.appendEntry(now, EntryData, data)
	n.replicate(now, false)
	return i
}

func (n *Node) advanceCommit(now time.Duration) {
	if n.role == Leader {
		var ix []uint64
		for _, m := range n.members {
			if m == n.self {
				ix = append(ix, n.stable)
			} else if p := n.progress[m.Name]; p != nil && p.member == m {
				ix = append(ix, p.match)
			} else {
				ix = append(ix, 0)
			}
		}
		if len(ix) > 0 {
			slices.Sort(ix)
			c := ix[(len(ix)-1)/2]
			if t, ok := n.termAt(c); ok && t == n.term && c > n.commit {
				n.commit = c
				n.announceCommit(now)
			}
		}
	}
	for n.applied < n.commit && n.applied < n.lastIndex() {
		n.applied++
		n.ready.CommittedEntries = append(n.ready.CommittedEntries, n.log[n.applied-n.snapshot.Index-1])
	}
	if n.role == Leader && n.commit >= n.termStartIndex && n.CanChangeMembers() && !n.isVoter(n.self.Name, n.self.Disk) {
		n.become(now, Follower)
		n.leader = ""
	}
}

func (n *Node) entryBytes(after, upTo uint64) (b int) {
	for _, e := range n.log {
		if e.Index > after && e.Index <= upTo {
			b += len(e.Data)
		}
	}
	return b
}

// UncommittedBytes is how much has been proposed and is not agreed yet.
func (n *Node) UncommittedBytes() int { return n.entryBytes(n.commit, n.lastIndex()) }

// replicate sends each peer what it may be sent now; a heartbeat goes to all of them.
func (n *Node) replicate(now time.Duration, heartbeat bool) {
	if n.role != Leader {
		return
	}
	for _, p := range n.sortedProgress() {
		n.sendAppend(now, p, heartbeat)
	}
}

// announceCommit tells those who have not acknowledged what is agreed now that it is; the
// others learn it with the next heartbeat.
func (n *Node) announceCommit(now time.Duration) {
	for _, p := range n.sortedProgress() {
		n.sendAppend(now, p, p.chunks == nil && p.match < n.commit)
	}
}

func (n *Node) sortedProgress() []*progress {
	var ps []*progress
	for _, p := range n.progress {
		ps = append(ps, p)
	}
	slices.SortFunc(ps, func(a, b *progress) int {
		if a.member.Name < b.member.Name {
			return -1
		}
		return 1
	})
	return ps
}

// retainedEntry is an entry that is still in memory, and the term of the one before it.
func (n *Node) retainedEntry(i uint64) (e wire.Entry, prevTerm uint64, ok bool) {
	if i > n.lastIndex() {
		return e, 0, false
	}
	if i > n.snapshot.Index {
		prevTerm, _ = n.termAt(i - 1)
		return n.log[i-n.snapshot.Index-1], prevTerm, true
	}
	first := n.snapshot.Index + 1 - uint64(len(n.compactedTail))
	if i <= first {
		return e, 0, false
	}
	return n.compactedTail[i-first], n.compactedTail[i-first-1].Term, true
}

// startChunks begins what has to go to a peer in pieces: a snapshot, if the entries that
// it needs are gone, or an entry that is too large for one message.
func (n *Node) startChunks(p *progress) {
	if p.next > n.lastIndex() {
		return
	}
	e, prevTerm, ok := n.retainedEntry(p.next)
	switch {
	case !ok:
		p.chunks = newSnapshotSender(n.snapshot)
		p.next = n.snapshot.Index + 1
		p.inflight = nil
	case len(e.Data) > tuning.AppendMax && len(p.inflight) == 0:
		p.chunks = newEntrySender(e, prevTerm)
	}
}

// sendAppend sends a peer what it needs next, as far as what is under way to it allows, or a
// heartbeat.
func (n *Node) sendAppend(now time.Duration, p *progress, heartbeat bool) {
	a := &wire.Append{Commit: n.commit}
	if p.chunks == nil {
		n.startChunks(p)
	}
	if t := p.chunks; t != nil {
		a.PrevIndex, a.PrevTerm = t.prevEntry()
		a.Chunk = t.nextChunk(now)
		if a.Chunk == nil && !heartbeat {
			return
		}
	} else {
		a.PrevIndex = p.next - 1
		a.PrevTerm, _ = n.termAt(a.PrevIndex)
		if _, t, ok := n.retainedEntry(p.next); ok {
			a.PrevTerm = t
		}
		a.Entries = n.nextEntries(p)
		if len(a.Entries) == 0 && !heartbeat {
			return
		}
	}
	n.send(&wire.Message{Kind: wire.KindAppend, To: p.member.Name, Timestamp: int64(now), Append: a}, false)
}

// nextEntries are the next entries for a peer: no more are under way than AppendMax.
func (n *Node) nextEntries(p *progress) (entries []wire.Entry) {
	size, room := 0, tuning.AppendMax-p.inflightBytes()
	for {
		e, _, ok := n.retainedEntry(p.next)
		if !ok || size+len(e.Data) > room && (size > 0 || len(p.inflight) > 0) || len(e.Data) > tuning.AppendMax {
			break
		}
		size += len(e.Data) + entryOverhead
		entries = append(entries, e)
		p.next++
	}
	if len(entries) > 0 {
		p.inflight = append(p.inflight, sentEntries{p.next - 1, size})
	}
	return entries
}

func (n *Node) handleAppendEntries(now time.Duration, m *wire.Message) {
	a := m.Append
	r := &wire.Message{Kind: wire.KindAppend, To: m.From, Timestamp: m.Timestamp, Append: &wire.Append{Reply: true, MatchIndex: n.lastIndex()}}
	n.leaderMessageAt = now
	if m.Term < n.term {
		r.Timestamp = noTimestamp
		n.send(r, false)
		return
	}
	n.follow(now, m.Term)
	n.leader = m.From
	n.leaderContactAt = now
	n.electionDeadline = now + tuning.ElectionTimeoutMin + n.electionDeadline%tuning.ElectionTimeoutSpread
	entries, installed := a.Entries, false
	if a.Chunk != nil {
		if whole, complete := n.receiveChunk(a.Chunk); complete && whole.IsEntry {
			entries = []wire.Entry{{Index: whole.Index, Term: whole.Term, Kind: whole.Kind, Data: whole.Data}}
		} else if complete {
			installed = n.installSnapshot(now, wire.Snapshot{Index: whole.Index, Term: whole.Term, Members: whole.Members, Data: whole.Data})
		}
	}
	r.Append.Chunk, r.Append.MatchIndex = n.receiver.status(), n.lastIndex()
	t, ok := n.termAt(a.PrevIndex)
	if a.PrevIndex < n.snapshot.Index {
		// All before the snapshot is agreed: answer for what it covers.
		r.Append.Success, r.Append.MatchIndex = true, n.snapshot.Index
		n.send(r, true)
		return
	}
	if !ok || t != a.PrevTerm {
		if ok {
			r.Append.MatchIndex = n.lastIndexBeforeTerm(a.PrevIndex, t)
		}
		n.send(r, false)
		return
	}
	var fresh []wire.Entry
	var cut uint64
	for i, e := range entries {
		if t, ok := n.termAt(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= n.commit {
			panic(errors.AssertionFailedf("%s: agreed entry %d would be overwritten", n.self.Name, e.Index))
		}
		fresh = entries[i:]
		if e.Index <= n.lastIndex() {
			cut = e.Index
			n.log = slices.Clone(n.log[:e.Index-n.snapshot.Index-1])
			n.stable = min(n.stable, e.Index-1)
			for i := range n.unsyncedBatches {
				n.unsyncedBatches[i].lastIndex = min(n.unsyncedBatches[i].lastIndex, e.Index-1)
			}
		}
		break
	}
	if len(fresh) > 0 {
		n.log = append(n.log, fresh...)
		n.updateMembership()
		n.persistBatch(now, &wire.Batch{TruncateFrom: cut, Entries: fresh})
	}
	match := a.PrevIndex + uint64(len(entries))
	r.Append.Success, r.Append.MatchIndex = true, match
	termUnsynced := len(n.unsyncedBatches) > 0 && n.unsyncedBatches[0].seq <= n.hardStateSeq
	if len(entries) == 0 && !installed && !termUnsynced {
		// A heartbeat is contact however slow the disk is; what is not on it yet is not acknowledged.
		r.Append.MatchIndex = min(match, n.stable)
		n.send(r, false)
	} else {
		n.send(r, match > n.stable || termUnsynced)
	}
	if c := min(a.Commit, match); c > n.commit {
		n.commit = c
		n.advanceCommit(now)
	}
}

// lastIndexBeforeTerm is the last index before the entries of a term that end at i, so that a leader
// goes back by a term, not by an entry, at a time; what is agreed is not in question.
func (n *Node) lastIndexBeforeTerm(i, term uint64) uint64 {
	for i > n.commit+1 {
		if t, _ := n.termAt(i - 1); t != term {
			break
		}
		i--
	}
	return i - 1
}

func (n *Node) handleAppendResponse(now time.Duration, m *wire.Message) {
	if m.Term > n.term {
		n.follow(now, m.Term)
		return
	}
	p := n.progress[m.From]
	if n.role != Leader || m.Term != n.term || p == nil || p.member.Disk != m.Disk {
		return
	}
	stamp := time.Duration(m.Timestamp)
	if stamp < n.roleSince || stamp > now {
		stamp = noTimestamp // it tells nothing of when
	}
	p.ackedAt = max(p.ackedAt, stamp)
	if p.chunks != nil {
		p.chunks.acknowledge(m.Append.Chunk, stamp)
	}
	if m.Append.Success {
		n.acknowledged(now, p, min(m.Append.MatchIndex, n.lastIndex()))
	} else {
		n.rewind(now, p, m.Append.MatchIndex, stamp)
	}
	if n.role == Leader {
		n.sendAppend(now, p, false)
	}
}

// acknowledged takes that a peer has all up to an index on disk.
func (n *Node) acknowledged(now time.Duration, p *progress, match uint64) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	p.inflight = slices.DeleteFunc(p.inflight, func(s sentEntries) bool { return s.lastIndex <= p.match })
	if t := p.chunks; t != nil && p.match >= t.content.Index {
		p.chunks = nil
	}
	n.advanceCommit(now)
}

// rewind begins entries again from where a peer says that its log ends. Answers to what was
// sent before the last time tell of the same loss and change nothing.
func (n *Node) rewind(now time.Duration, p *progress, last uint64, stamp time.Duration) {
	if stamp < p.rewoundAt || p.chunks != nil && !p.chunks.content.IsEntry {
		return // a snapshot's receiver has no such entry until it is installed
	}
	p.rewoundAt, p.inflight, p.chunks = now, nil, nil
	p.next = max(p.match+1, min(p.next, last+1))
}
