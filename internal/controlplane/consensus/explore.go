// This file lets a node be copied and its state be written down in a canonical
// form, for the systematic exploration in package explore. Nothing else uses it.

package consensus

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Clone returns a node that shares nothing with n that either of them changes.
// Messages, batches and the bytes of entries are never changed once made, and are shared.
func (n *Node) Clone() *Node {
	c := *n
	c.log = slices.Clone(n.log)
	c.members = slices.Clone(n.members)
	c.electorate = slices.Clone(n.electorate)
	c.votes = maps.Clone(n.votes)
	c.consents = maps.Clone(n.consents)
	c.progress = make(map[string]*progress, len(n.progress))
	for name, p := range n.progress {
		copied := *p
		copied.inflight = slices.Clone(p.inflight)
		if p.chunks != nil {
			t := *p.chunks
			copied.chunks = &t
		}
		c.progress[name] = &copied
	}
	if n.receiver != nil {
		in := *n.receiver
		in.data = slices.Clone(in.data)
		c.receiver = &in
	}
	c.unsyncedBatches = slices.Clone(n.unsyncedBatches)
	c.pendingMessages = slices.Clone(n.pendingMessages)
	c.ready = Ready{Batches: slices.Clone(n.ready.Batches), Messages: slices.Clone(n.ready.Messages), CommittedEntries: slices.Clone(n.ready.CommittedEntries), Snapshot: n.ready.Snapshot,
		Rejected: slices.Clone(n.ready.Rejected)}
	return &c
}

// Log returns the entries after the snapshot. The caller must not change them.
func (n *Node) Log() []wire.Entry { return n.log }

// Vote returns whom this node voted for in its present term, "" for nobody.
func (n *Node) Vote() string { return n.vote }

// CanonicalEncoder writes state down in a canonical form: machines are renamed, and points
// in time become distances from the present, cut off where no decision of a node
// depends on them any more. States that differ only in these come out equal.
type CanonicalEncoder struct {
	Bytes      []byte
	NodeIndex  func(name string) byte   // the machine's new place
	DiskNumber func(disk uint64) uint64 // the disk's new number
	// DeadlineStep, if given, is the only span by which time passes: deadlines within
	// the same step are equal then.
	DeadlineStep time.Duration
}

// Uint appends a number.
func (c *CanonicalEncoder) Uint(v uint64) { c.Bytes = binary.AppendUvarint(c.Bytes, v) }

// Bool appends a truth value.
func (c *CanonicalEncoder) Bool(v bool) {
	if v {
		c.Bytes = append(c.Bytes, 1)
	} else {
		c.Bytes = append(c.Bytes, 0)
	}
}

// Age appends how long before now at was, at most most and at least -most.
func (c *CanonicalEncoder) Age(now, at, most time.Duration) {
	age := most
	if at > now-most {
		age = max(now-at, -most)
	}
	c.Bytes = binary.AppendVarint(c.Bytes, int64(age))
}

// NodeName appends a machine's name.
func (c *CanonicalEncoder) NodeName(name string) { c.Bytes = append(c.Bytes, c.NodeIndex(name)) }

// Machines appends a set of machines.
func (c *CanonicalEncoder) NodeNames(set map[string]bool) {
	var bits uint64
	for name, in := range set {
		if in {
			bits |= 1 << c.NodeIndex(name)
		}
	}
	c.Uint(bits)
}

// Member appends a member.
func (c *CanonicalEncoder) Member(m wire.Member) {
	c.NodeName(m.Name)
	c.Uint(c.DiskNumber(m.Disk))
}

// Members appends a list of members, whose order means nothing.
func (c *CanonicalEncoder) Members(ms []wire.Member) {
	if !slices.IsSortedFunc(ms, c.compare) {
		ms = slices.SortedFunc(slices.Values(ms), c.compare)
	}
	c.Uint(uint64(len(ms)))
	for _, m := range ms {
		c.Member(m)
	}
}

func (c *CanonicalEncoder) compare(a, b wire.Member) int {
	return cmp.Or(cmp.Compare(c.NodeIndex(a.Name), c.NodeIndex(b.Name)), cmp.Compare(c.DiskNumber(a.Disk), c.DiskNumber(b.Disk)))
}

// Entries appends log entries.
func (c *CanonicalEncoder) Entries(es []wire.Entry) {
	c.Uint(uint64(len(es)))
	for _, e := range es {
		c.Uint(e.Index)
		c.Uint(e.Term)
		c.Uint(uint64(e.Kind))
		var ms []wire.Member
		if e.Kind == EntryMembers && json.Unmarshal(e.Data, &ms) == nil {
			c.Members(ms)
			continue
		}
		c.Uint(uint64(len(e.Data)))
		c.Bytes = append(c.Bytes, e.Data...)
	}
}

// Snapshot appends a snapshot.
func (c *CanonicalEncoder) Snapshot(s *wire.Snapshot) {
	c.Bool(s != nil)
	if s == nil {
		return
	}
	c.Uint(s.Index)
	c.Uint(s.Term)
	c.Members(s.Members)
	c.Uint(uint64(len(s.Data)))
	c.Bytes = append(c.Bytes, s.Data...)
}

// Chunk appends a part of a snapshot or of a large entry.
func (c *CanonicalEncoder) Chunk(p *wire.Chunk) {
	c.Bool(p != nil)
	if p == nil {
		return
	}
	c.Bool(p.IsEntry)
	c.Members(p.Members)
	for _, v := range []uint64{p.Index, p.Term, uint64(p.Kind), p.Size, p.Checksum, p.Offset, uint64(len(p.Data))} {
		c.Uint(v)
	}
	c.Bytes = append(c.Bytes, p.Data...)
}

// Message appends a vote or append message; now is the present by the clock that
// its stamp is of, or zero if the message has none.
func (c *CanonicalEncoder) Message(m *wire.Message, now time.Duration) {
	c.NodeName(m.From)
	c.NodeName(m.To)
	c.Uint(c.DiskNumber(m.Disk))
	c.Uint(m.Epoch)
	c.Uint(m.Term)
	if v := m.Vote; v != nil {
		for _, b := range []bool{v.PreVote, v.Reply, v.Granted, v.Transfer, v.Unanimous, v.NoLeader} {
			c.Bool(b)
		}
		c.Uint(v.LastIndex)
		c.Uint(v.LastTerm)
	}
	if a := m.Append; a != nil {
		c.Age(now, time.Duration(m.Timestamp), tuning.ElectionTimeoutMin)
		c.Bool(a.Reply)
		c.Bool(a.Success)
		for _, v := range []uint64{a.PrevIndex, a.PrevTerm, a.Commit, a.MatchIndex} {
			c.Uint(v)
		}
		c.Entries(a.Entries)
		c.Chunk(a.Chunk)
	}
}

// Batch appends what a batch puts on disk, without its number.
func (c *CanonicalEncoder) Batch(b *wire.Batch) {
	c.Bool(b.HasHardState)
	c.Uint(b.Term)
	c.NodeName(b.Vote)
	c.Uint(b.TruncateFrom)
	c.Entries(b.Entries)
	c.Snapshot(b.Snapshot)
}

// PersistentState appends what a disk holds.
func (c *CanonicalEncoder) PersistentState(im *PersistentState) {
	c.Uint(im.Epoch)
	c.Uint(c.DiskNumber(im.Disk))
	c.Uint(im.Term)
	c.NodeName(im.Vote)
	c.Snapshot(&im.Snapshot)
	c.Entries(im.Log)
}

// Node appends a node's state at its time now. Output that was not taken yet is left out.
func (c *CanonicalEncoder) Node(n *Node, now time.Duration) {
	c.Member(n.self)
	c.Uint(n.epoch)
	c.Uint(uint64(n.role))
	c.Uint(n.term)
	c.NodeName(n.vote)
	c.Snapshot(&n.snapshot)
	c.Entries(n.log)
	c.Entries(n.compactedTail)
	c.assembly(n.receiver)
	c.Members(n.members)
	c.Members(n.electorate)
	for _, v := range []uint64{n.commit, n.applied, n.stable, n.termStartIndex} {
		c.Uint(v)
	}
	c.NodeName(n.leader)
	c.NodeNames(n.votes)
	c.NodeNames(n.consents)
	c.Bool(n.unanimous)
	c.Bool(n.outranked)
	c.Age(now, n.leaderContactAt, tuning.ElectionTimeoutMin)
	c.deadline(now, n.electionDeadline)
	c.Age(now, n.leaderMessageAt, 5*tuning.ElectionTimeoutMin)
	c.Age(now, n.campaignedAt, tuning.PreVoteInterval)
	c.Age(now, n.lastVoteAt, tuning.ElectionTimeoutMin)
	c.Age(now, n.heartbeatAt, tuning.HeartbeatEvery)
	c.Age(now, n.roleSince, tuning.ElectionTimeoutMin)
	c.peers(n, now)
	c.unsynced(n, now)
}

func (c *CanonicalEncoder) transfer(t *chunkSender, now time.Duration) {
	c.Bool(t != nil)
	if t == nil {
		return
	}
	c.Chunk(&t.content)
	c.Uint(t.prevTerm)
	c.Uint(t.acknowledged)
	c.Bool(t.inFlight)
	c.Age(now, t.sentAt, tuning.ElectionTimeoutMin)
}

func (c *CanonicalEncoder) assembly(a *chunkReceiver) {
	c.Bool(a != nil)
	if a == nil {
		return
	}
	c.Chunk(&a.content)
	c.Uint(uint64(len(a.data)))
	c.Bytes = append(c.Bytes, a.data...)
	c.Bool(a.complete)
}

func (c *CanonicalEncoder) deadline(now, at time.Duration) {
	if c.DeadlineStep > 0 {
		steps := max(0, (at-now+c.DeadlineStep-1)/c.DeadlineStep)
		at = now + steps*c.DeadlineStep
	}
	c.Age(now, at, 5*tuning.ElectionTimeoutMin)
}

func (c *CanonicalEncoder) peers(n *Node, now time.Duration) {
	ps := n.sortedProgress()
	slices.SortFunc(ps, func(a, b *progress) int { return c.compare(a.member, b.member) })
	c.Uint(uint64(len(ps)))
	for _, p := range ps {
		c.Member(p.member)
		c.Bool(p.voter)
		c.Uint(p.next)
		c.Uint(p.match)
		c.Age(now, p.ackedAt, tuning.ElectionTimeoutMin)
		c.Age(now, p.rewoundAt, tuning.ElectionTimeoutMin)
		c.Uint(uint64(len(p.inflight)))
		for _, s := range p.inflight {
			c.Uint(s.lastIndex)
			c.Uint(uint64(s.bytes))
		}
		c.transfer(p.chunks, now)
	}
}

// unsynced appends what waits for the disk, numbered from the last batch backwards.
func (c *CanonicalEncoder) unsynced(n *Node, now time.Duration) {
	c.Uint(uint64(len(n.unsyncedBatches)))
	for _, b := range n.unsyncedBatches {
		c.Age(now, b.queuedAt, tuning.SyncStall+time.Millisecond)
		c.Uint(b.lastIndex)
		c.Bool(b.seq <= n.hardStateSeq)
	}
	c.Uint(uint64(len(n.pendingMessages)))
	for _, h := range n.pendingMessages {
		c.Uint(n.batchSeq - h.seq)
		c.Message(h.message, now)
	}
}
