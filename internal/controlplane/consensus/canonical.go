// Canonical encoding of a node's state. Only the model checker uses it, to recognize states that it has already visited.

package consensus

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// maxDeadline bounds how far ahead a node sets any deadline. The encoding doesn't distinguish times further away.
const maxDeadline = transferBackoff + tuning.ElectionTimeoutMin

// CanonicalEncoder encodes state in a canonical form: nodes and disks are renumbered, and points in time are written
// relative to the current time, clamped to the range in which they affect a node's decisions. States that differ only in
// these respects have equal encodings.
type CanonicalEncoder struct {
	// Bytes is the output so far.
	Bytes []byte
	// NodeIndex maps a node's name to the number that is written for it. It must accept "".
	NodeIndex func(name string) byte
	// DiskNumber maps a disk's number to the number that is written for it. It must accept 0.
	DiskNumber func(disk uint64) uint64
	// DeadlineStep is the fixed step in which the caller advances time; deadlines that fall into the same step are
	// encoded alike. 0 means that time advances by any amount.
	DeadlineStep time.Duration
}

// Uint appends an integer in variable-length encoding.
func (c *CanonicalEncoder) Uint(value uint64) { c.Bytes = binary.AppendUvarint(c.Bytes, value) }

// Uints appends several integers.
func (c *CanonicalEncoder) Uints(values ...uint64) {
	for _, value := range values {
		c.Uint(value)
	}
}

// Bool appends a boolean.
func (c *CanonicalEncoder) Bool(value bool) {
	if value {
		c.Bytes = append(c.Bytes, 1)
	} else {
		c.Bytes = append(c.Bytes, 0)
	}
}

// Data appends opaque bytes, prefixed by their length.
func (c *CanonicalEncoder) Data(data []byte) {
	c.Uint(uint64(len(data)))
	c.Bytes = append(c.Bytes, data...)
}

// Age appends the time that has passed from at to now, clamped to the range from -limit to limit.
func (c *CanonicalEncoder) Age(now, at, limit time.Duration) {
	age := limit
	if at > now-limit {
		age = max(now-at, -limit)
	}
	c.Bytes = binary.AppendVarint(c.Bytes, int64(age))
}

// NodeName appends a node's name.
func (c *CanonicalEncoder) NodeName(name string) { c.Bytes = append(c.Bytes, c.NodeIndex(name)) }

// NodeNames appends a set of nodes.
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
func (c *CanonicalEncoder) Member(member wire.Member) {
	c.NodeName(member.Name)
	c.Uint(c.DiskNumber(member.Disk))
}

// Members appends a member list independently of its order.
func (c *CanonicalEncoder) Members(members []wire.Member) {
	if !slices.IsSortedFunc(members, c.compareMembers) {
		members = slices.SortedFunc(slices.Values(members), c.compareMembers)
	}
	c.Uint(uint64(len(members)))
	for _, member := range members {
		c.Member(member)
	}
}

func (c *CanonicalEncoder) compareMembers(a, b wire.Member) int {
	return cmp.Or(
		cmp.Compare(c.NodeIndex(a.Name), c.NodeIndex(b.Name)),
		cmp.Compare(c.DiskNumber(a.Disk), c.DiskNumber(b.Disk)),
	)
}

// Entries appends log entries.
func (c *CanonicalEncoder) Entries(entries []wire.Entry) {
	c.Uint(uint64(len(entries)))
	for _, e := range entries {
		c.Uints(e.Index, e.Term, uint64(e.Kind))
		var members []wire.Member
		if e.Kind == EntryMembers && json.Unmarshal(e.Data, &members) == nil {
			c.Members(members)
			continue
		}
		c.Data(e.Data)
	}
}

// Snapshot appends a snapshot.
func (c *CanonicalEncoder) Snapshot(s *wire.Snapshot) {
	c.Bool(s != nil)
	if s == nil {
		return
	}
	c.Uints(s.Index, s.Term)
	c.Members(s.Members)
	c.Data(s.Data)
}

// Chunk appends a chunk of a snapshot or of a large entry.
func (c *CanonicalEncoder) Chunk(chunk *wire.Chunk) {
	c.Bool(chunk != nil)
	if chunk == nil {
		return
	}
	c.Bool(chunk.IsEntry)
	c.Members(chunk.Members)
	c.Uints(chunk.Index, chunk.Term, uint64(chunk.Kind), chunk.Size, chunk.Checksum, chunk.Offset)
	c.Data(chunk.Data)
}

// Message appends a vote or append message. now is the current time of the clock that its timestamp was read from, or 0 if
// the message has no timestamp.
func (c *CanonicalEncoder) Message(message *wire.Message, now time.Duration) {
	c.NodeName(message.From)
	c.NodeName(message.To)
	c.Uints(c.DiskNumber(message.Disk), message.Epoch, message.Term)
	if vote := message.Vote; vote != nil {
		for _, flag := range []bool{vote.PreVote, vote.Reply, vote.Granted, vote.Transfer, vote.Unanimous, vote.NoLeader} {
			c.Bool(flag)
		}
		c.Uints(vote.LastIndex, vote.LastTerm)
	}
	if appended := message.Append; appended != nil {
		c.Age(now, time.Duration(message.Timestamp), tuning.ElectionTimeoutMin)
		c.Bool(appended.Reply)
		c.Bool(appended.Success)
		c.Uints(appended.PrevIndex, appended.PrevTerm, appended.Commit, appended.MatchIndex)
		c.Entries(appended.Entries)
		c.Chunk(appended.Chunk)
	}
}

// Batch appends the content of a batch without its sequence number.
func (c *CanonicalEncoder) Batch(b *wire.Batch) {
	c.Bool(b.HasHardState)
	c.Uint(b.Term)
	c.NodeName(b.Vote)
	c.Uint(b.TruncateFrom)
	c.Entries(b.Entries)
	c.Snapshot(b.Snapshot)
}

// PersistentState appends the state stored on a disk.
func (c *CanonicalEncoder) PersistentState(s *PersistentState) {
	c.Uints(s.Epoch, c.DiskNumber(s.Disk), s.Term)
	c.NodeName(s.Vote)
	c.Snapshot(&s.Snapshot)
	c.Entries(s.Log)
}

// Node appends a node's state; now is the current time by the node's clock. Pending Ready output is left out, since the
// model checker consumes it after each step.
func (c *CanonicalEncoder) Node(node *Node, now time.Duration) {
	c.Member(node.self)
	c.Uints(node.epoch, uint64(node.role), node.term)
	c.NodeName(node.vote)
	c.Snapshot(&node.snapshot)
	c.Entries(node.log)
	c.Entries(node.compactedTail)
	c.receiver(node.receiver)
	c.Members(node.members)
	c.Members(node.electorate)
	c.Uints(node.commit, node.applied, node.stable, node.termStartIndex)
	c.NodeName(node.leader)
	c.NodeNames(node.votes)
	c.NodeNames(node.consents)
	c.Bool(node.unanimous)
	c.Bool(node.outranked)
	c.Age(now, node.leaderContactAt, tuning.ElectionTimeoutMin)
	c.deadline(now, node.electionDeadline)
	c.Age(now, node.leaderMessageAt, maxDeadline)
	c.Age(now, node.campaignedAt, tuning.PreVoteInterval)
	c.Age(now, node.lastVoteAt, tuning.ElectionTimeoutMin)
	c.Age(now, node.heartbeatAt, tuning.HeartbeatEvery)
	c.Age(now, node.roleSince, tuning.ElectionTimeoutMin)
	c.progress(node, now)
	c.unsynced(node, now)
}

func (c *CanonicalEncoder) receiver(r *chunkReceiver) {
	c.Bool(r != nil)
	if r == nil {
		return
	}
	c.Chunk(&r.content)
	c.Data(r.data)
	c.Bool(r.complete)
}

func (c *CanonicalEncoder) sender(s *chunkSender, now time.Duration) {
	c.Bool(s != nil)
	if s == nil {
		return
	}
	c.Chunk(&s.content)
	c.Uints(s.prevTerm, s.acknowledged)
	c.Bool(s.inFlight)
	c.Age(now, s.sentAt, tuning.ElectionTimeoutMin)
}

func (c *CanonicalEncoder) deadline(now, at time.Duration) {
	if c.DeadlineStep > 0 {
		steps := max(0, (at-now+c.DeadlineStep-1)/c.DeadlineStep)
		at = now + steps*c.DeadlineStep
	}
	c.Age(now, at, maxDeadline)
}

func (c *CanonicalEncoder) progress(node *Node, now time.Duration) {
	list := node.sortedProgress()
	slices.SortFunc(list, func(a, b *progress) int { return c.compareMembers(a.member, b.member) })
	c.Uint(uint64(len(list)))
	for _, p := range list {
		c.Member(p.member)
		c.Bool(p.voter)
		c.Uints(p.next, p.match)
		c.Age(now, p.answeredMessageSentAt, tuning.ElectionTimeoutMin)
		c.Age(now, p.rewoundAt, tuning.ElectionTimeoutMin)
		c.Uint(uint64(len(p.inflight)))
		for _, sent := range p.inflight {
			c.Uints(sent.lastIndex, uint64(sent.bytes))
		}
		c.sender(p.chunks, now)
	}
}

// unsynced appends the unsynced batches and the messages that wait for them. Batches are numbered backwards from the last
// one.
func (c *CanonicalEncoder) unsynced(n *Node, now time.Duration) {
	c.Uint(uint64(len(n.unsyncedBatches)))
	for _, batch := range n.unsyncedBatches {
		c.Age(now, batch.queuedAt, tuning.SyncStall+time.Millisecond)
		c.Uint(batch.lastIndex)
		c.Bool(batch.seq <= n.hardStateSeq)
	}
	c.Uint(uint64(len(n.pendingMessages)))
	for _, pending := range n.pendingMessages {
		c.Uint(n.batchSeq - pending.seq)
		c.Message(pending.message, now)
	}
}
