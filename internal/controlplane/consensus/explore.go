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
	c.peers = make(map[string]*peer, len(n.peers))
	for name, p := range n.peers {
		copied := *p
		copied.inFlight = slices.Clone(p.inFlight)
		if p.transfer != nil {
			t := *p.transfer
			copied.transfer = &t
		}
		c.peers[name] = &copied
	}
	if n.incoming != nil {
		in := *n.incoming
		in.data = slices.Clone(in.data)
		c.incoming = &in
	}
	c.unsyncedBatches = slices.Clone(n.unsyncedBatches)
	c.heldMessages = slices.Clone(n.heldMessages)
	c.out = Out{Batches: slices.Clone(n.out.Batches), Send: slices.Clone(n.out.Send), Apply: slices.Clone(n.out.Apply), Restore: n.out.Restore,
		Refused: slices.Clone(n.out.Refused)}
	return &c
}

// Log returns the entries after the snapshot. The caller must not change them.
func (n *Node) Log() []wire.Entry { return n.log }

// Vote returns whom this node voted for in its present term, "" for nobody.
func (n *Node) Vote() string { return n.vote }

// Canon writes state down in a canonical form: machines are renamed, and points
// in time become distances from the present, cut off where no decision of a node
// depends on them any more. States that differ only in these come out equal.
type Canon struct {
	Bytes []byte
	Name  func(name string) byte   // the machine's new place
	Disk  func(disk uint64) uint64 // the disk's new number
	// DeadlineStep, if given, is the only span by which time passes: deadlines within
	// the same step are equal then.
	DeadlineStep time.Duration
}

// Uint appends a number.
func (c *Canon) Uint(v uint64) { c.Bytes = binary.AppendUvarint(c.Bytes, v) }

// Bool appends a truth value.
func (c *Canon) Bool(v bool) {
	if v {
		c.Bytes = append(c.Bytes, 1)
	} else {
		c.Bytes = append(c.Bytes, 0)
	}
}

// Age appends how long before now at was, at most most and at least -most.
func (c *Canon) Age(now, at, most time.Duration) {
	age := most
	if at > now-most {
		age = max(now-at, -most)
	}
	c.Bytes = binary.AppendVarint(c.Bytes, int64(age))
}

// Machine appends a machine's name.
func (c *Canon) Machine(name string) { c.Bytes = append(c.Bytes, c.Name(name)) }

// Machines appends a set of machines.
func (c *Canon) Machines(set map[string]bool) {
	var bits uint64
	for name, in := range set {
		if in {
			bits |= 1 << c.Name(name)
		}
	}
	c.Uint(bits)
}

// Member appends a member.
func (c *Canon) Member(m wire.Member) {
	c.Machine(m.Name)
	c.Uint(c.Disk(m.Disk))
}

// Members appends a list of members, whose order means nothing.
func (c *Canon) Members(ms []wire.Member) {
	if !slices.IsSortedFunc(ms, c.compare) {
		ms = slices.SortedFunc(slices.Values(ms), c.compare)
	}
	c.Uint(uint64(len(ms)))
	for _, m := range ms {
		c.Member(m)
	}
}

func (c *Canon) compare(a, b wire.Member) int {
	return cmp.Or(cmp.Compare(c.Name(a.Name), c.Name(b.Name)), cmp.Compare(c.Disk(a.Disk), c.Disk(b.Disk)))
}

// Entries appends log entries.
func (c *Canon) Entries(es []wire.Entry) {
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

// Snap appends a snapshot.
func (c *Canon) Snap(s *wire.Snapshot) {
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

// Piece appends a part of a snapshot or of a large entry.
func (c *Canon) Piece(p *wire.Chunk) {
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
func (c *Canon) Message(m *wire.Message, now time.Duration) {
	c.Machine(m.From)
	c.Machine(m.To)
	c.Uint(c.Disk(m.Disk))
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
		c.Piece(a.Chunk)
	}
}

// Batch appends what a batch puts on disk, without its number.
func (c *Canon) Batch(b *wire.Batch) {
	c.Bool(b.HasHardState)
	c.Uint(b.Term)
	c.Machine(b.Vote)
	c.Uint(b.TruncateFrom)
	c.Entries(b.Entries)
	c.Snap(b.Snapshot)
}

// Image appends what a disk holds.
func (c *Canon) Image(im *Image) {
	c.Uint(im.Epoch)
	c.Uint(c.Disk(im.Disk))
	c.Uint(im.Term)
	c.Machine(im.Vote)
	c.Snap(&im.Snapshot)
	c.Entries(im.Log)
}

// Node appends a node's state at its time now. Output that was not taken yet is left out.
func (c *Canon) Node(n *Node, now time.Duration) {
	c.Member(n.self)
	c.Uint(n.epoch)
	c.Uint(uint64(n.role))
	c.Uint(n.term)
	c.Machine(n.vote)
	c.Snap(&n.snap)
	c.Entries(n.log)
	c.Entries(n.tail)
	c.assembly(n.incoming)
	c.Members(n.members)
	c.Members(n.electorate)
	for _, v := range []uint64{n.commit, n.applied, n.stable, n.termStart} {
		c.Uint(v)
	}
	c.Machine(n.leader)
	c.Machines(n.votes)
	c.Machines(n.consents)
	c.Bool(n.unanimous)
	c.Bool(n.outranked)
	c.Age(now, n.leaderHeardAt, tuning.ElectionTimeoutMin)
	c.deadline(now, n.deadline)
	c.Age(now, n.leaderSpokeAt, 5*tuning.ElectionTimeoutMin)
	c.Age(now, n.askedAt, tuning.PreVoteInterval)
	c.Age(now, n.votedAt, tuning.ElectionTimeoutMin)
	c.Age(now, n.beatAt, tuning.HeartbeatEvery)
	c.Age(now, n.since, tuning.ElectionTimeoutMin)
	c.peers(n, now)
	c.unsynced(n, now)
}

func (c *Canon) transfer(t *transfer, now time.Duration) {
	c.Bool(t != nil)
	if t == nil {
		return
	}
	c.Piece(&t.whole)
	c.Uint(t.prevTerm)
	c.Uint(t.held)
	c.Bool(t.underWay)
	c.Age(now, t.sentAt, tuning.ElectionTimeoutMin)
}

func (c *Canon) assembly(a *assembly) {
	c.Bool(a != nil)
	if a == nil {
		return
	}
	c.Piece(&a.whole)
	c.Uint(uint64(len(a.data)))
	c.Bytes = append(c.Bytes, a.data...)
	c.Bool(a.done)
}

func (c *Canon) deadline(now, at time.Duration) {
	if c.DeadlineStep > 0 {
		steps := max(0, (at-now+c.DeadlineStep-1)/c.DeadlineStep)
		at = now + steps*c.DeadlineStep
	}
	c.Age(now, at, 5*tuning.ElectionTimeoutMin)
}

func (c *Canon) peers(n *Node, now time.Duration) {
	ps := n.sorted()
	slices.SortFunc(ps, func(a, b *peer) int { return c.compare(a.member, b.member) })
	c.Uint(uint64(len(ps)))
	for _, p := range ps {
		c.Member(p.member)
		c.Bool(p.voter)
		c.Uint(p.next)
		c.Uint(p.match)
		c.Age(now, p.acked, tuning.ElectionTimeoutMin)
		c.Age(now, p.rewoundAt, tuning.ElectionTimeoutMin)
		c.Uint(uint64(len(p.inFlight)))
		for _, s := range p.inFlight {
			c.Uint(s.last)
			c.Uint(uint64(s.bytes))
		}
		c.transfer(p.transfer, now)
	}
}

// unsynced appends what waits for the disk, numbered from the last batch backwards.
func (c *Canon) unsynced(n *Node, now time.Duration) {
	c.Uint(uint64(len(n.unsyncedBatches)))
	for _, b := range n.unsyncedBatches {
		c.Age(now, b.at, tuning.SyncStall+time.Millisecond)
		c.Uint(b.last)
		c.Bool(b.seq <= n.hardSeq)
	}
	c.Uint(uint64(len(n.heldMessages)))
	for _, h := range n.heldMessages {
		c.Uint(n.seq - h.seq)
		c.Message(h.m, now)
	}
}
