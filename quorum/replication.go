// This file replicates the log from the leader to the others and counts what a
// majority has synced.

package quorum

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/limit"
	"myrtlefold/wire"
)

// noStamp is in the answer to an append of an earlier term, which proves nothing to the
// leader of this one: the stamp may be by the clock of an earlier process of its name.
const noStamp = -1 << 62

type peer struct {
	member wire.Member
	voter  bool
	next   uint64
	match  uint64
	acked  time.Duration
	snapAt time.Duration
}

func (n *Node) add(now time.Duration, kind uint16, data []byte) uint64 {
	e := wire.Entry{Index: n.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log = append(n.log, e)
	if kind == EntryMembers {
		n.readMembers()
	}
	n.syncBatch(now, &wire.Batch{Entries: []wire.Entry{e}})
	n.advance(now)
	return e.Index
}

// Propose adds data to the log and returns its index; only a leader with a
// lease may call it.
func (n *Node) Propose(now time.Duration, data []byte) uint64 {
	i := n.add(now, EntryData, data)
	n.replicate(now, false)
	return i
}

func (n *Node) advance(now time.Duration) {
	if n.role == Leader {
		var ix []uint64
		for _, m := range n.members {
			if m == n.self {
				ix = append(ix, n.stable)
			} else if p := n.peers[m.Name]; p != nil && p.member == m {
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
				n.replicate(now, false)
			}
		}
	}
	for n.applied < n.commit && n.applied < n.last() {
		n.applied++
		n.out.Apply = append(n.out.Apply, n.log[n.applied-n.snap.Index-1])
	}
	if n.role == Leader && n.commit >= n.termStart && n.CanChangeMembers() && !n.isVoter(n.self.Name, n.self.Disk) {
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

// Open is how much has been proposed and is not agreed yet.
func (n *Node) UncommittedBytes() int { return n.entryBytes(n.commit, n.last()) }

func (n *Node) replicate(now time.Duration, beat bool) {
	if n.role != Leader {
		return
	}
	for _, p := range n.sorted() {
		if beat || p.next <= n.last() || p.match < n.commit {
			n.sendAppend(now, p)
		}
	}
}

func (n *Node) sorted() []*peer {
	var ps []*peer
	for _, p := range n.peers {
		ps = append(ps, p)
	}
	slices.SortFunc(ps, func(a, b *peer) int {
		if a.member.Name < b.member.Name {
			return -1
		}
		return 1
	})
	return ps
}

func (n *Node) sendAppend(now time.Duration, p *peer) {
	a := &wire.Append{Commit: n.commit}
	if p.next <= n.snap.Index {
		a.PrevIndex, a.PrevTerm = n.snap.Index, n.snap.Term
		if now-p.snapAt > 5*limit.HeartbeatEvery || p.snapAt == 0 {
			p.snapAt = now
			s := n.snap
			a.Snap = &s
			p.next = n.snap.Index + 1
		}
	} else {
		a.PrevIndex = p.next - 1
		a.PrevTerm, _ = n.termAt(a.PrevIndex)
		size := 0
		for i := p.next; i <= n.last() && size < limit.AppendMax; i++ {
			e := n.log[i-n.snap.Index-1]
			size += len(e.Data) + 64
			a.Entries = append(a.Entries, e)
		}
		p.next += uint64(len(a.Entries))
	}
	n.send(&wire.Msg{Kind: uint16(wire.KAppend), To: p.member.Name, Stamp: int64(now), Append: a}, false)
}

func (n *Node) appendAsk(now time.Duration, m *wire.Msg) {
	a := m.Append
	r := &wire.Msg{Kind: uint16(wire.KAppend), To: m.From, Stamp: m.Stamp, Append: &wire.Append{Reply: true, Match: n.last()}}
	n.leaderSpokeAt = now
	if m.Term < n.term {
		r.Stamp = noStamp
		n.send(r, false)
		return
	}
	n.follow(now, m.Term)
	n.leader = m.From
	n.leaderHeardAt = now
	n.deadline = now + limit.ElectMin + n.deadline%limit.ElectSpread
	if a.Snap != nil && a.Snap.Index > n.commit {
		n.snap = *a.Snap
		n.log = nil
		n.commit, n.applied = a.Snap.Index, a.Snap.Index
		n.stable = 0
		for i := range n.unsyncedBatches {
			n.unsyncedBatches[i].last = 0
		}
		n.readMembers()
		s := n.snap
		n.syncBatch(now, &wire.Batch{Snap: &s, Cut: 1})
		n.out.Restore = &s
		n.out.Apply = nil
	}
	t, ok := n.termAt(a.PrevIndex)
	if a.PrevIndex < n.snap.Index {
		// All before the snapshot is agreed: answer for what it covers.
		r.Append.Ok, r.Append.Match = true, n.snap.Index
		n.send(r, true)
		return
	}
	if !ok || t != a.PrevTerm {
		if ok {
			r.Append.Match = min(a.PrevIndex-1, n.last())
		}
		n.send(r, false)
		return
	}
	var fresh []wire.Entry
	var cut uint64
	for i, e := range a.Entries {
		if t, ok := n.termAt(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= n.commit {
			panic(errors.AssertionFailedf("%s: agreed entry %d would be overwritten", n.self.Name, e.Index))
		}
		fresh = a.Entries[i:]
		if e.Index <= n.last() {
			cut = e.Index
			n.log = slices.Clone(n.log[:e.Index-n.snap.Index-1])
			n.stable = min(n.stable, e.Index-1)
			for i := range n.unsyncedBatches {
				n.unsyncedBatches[i].last = min(n.unsyncedBatches[i].last, e.Index-1)
			}
		}
		break
	}
	if len(fresh) > 0 {
		n.log = append(n.log, fresh...)
		n.readMembers()
		n.syncBatch(now, &wire.Batch{Cut: cut, Entries: fresh})
	}
	match := a.PrevIndex + uint64(len(a.Entries))
	r.Append.Ok, r.Append.Match = true, match
	n.send(r, match > n.stable || len(n.unsyncedBatches) > 0 && n.unsyncedBatches[0].seq <= n.hardSeq)
	if c := min(a.Commit, match); c > n.commit {
		n.commit = c
		n.advance(now)
	}
}

func (n *Node) appendReply(now time.Duration, m *wire.Msg) {
	if m.Term > n.term {
		n.follow(now, m.Term)
		return
	}
	p := n.peers[m.From]
	if n.role != Leader || m.Term != n.term || p == nil || p.member.Disk != m.Disk {
		return
	}
	if at := time.Duration(m.Stamp); at >= n.since && at <= now {
		p.acked = max(p.acked, at)
	}
	if !m.Append.Ok {
		p.next = max(p.match+1, min(p.next, m.Append.Match+1))
		if p.next > n.snap.Index || now-p.snapAt > 5*limit.HeartbeatEvery {
			n.sendAppend(now, p)
		}
		return
	}
	p.match = max(p.match, min(m.Append.Match, n.last()))
	p.next = max(p.next, p.match+1)
	n.advance(now)
	if p.next <= n.last() {
		n.sendAppend(now, p)
	}
}
