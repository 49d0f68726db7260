// Package consensus is the agreement among the core members: election, log,
// snapshots, catch-up and change of members, as one pure state machine. A Node
// reads no clock and does no I/O: it is told the time and what came in, and
// leaves in Out what to send, what to sync and what is agreed. Messages that
// depend on a sync wait in the node until Synced says it is done.
//
// A leader may decide only while Leads holds: a majority answered messages sent
// within tuning.CoreGrant and its own disk keeps up. Members that heard a leader
// refuse all others for tuning.ElectMin, which is longer, so two never decide at
// once. A member is its name and its disk: one that lost its disk is another
// member, learns first, and votes once it has been added again.
//
// Nobody has to wait where every single member answers and hears no leader, as after
// a start of them all: a candidate that stands so leads only once each member, also
// of the list before a change that may be under way, has taken its term on disk. Who
// has can lead in no earlier one any more, so nobody else is left who may decide.
package consensus

import (
	"hash/fnv"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Role is what a node is in its term.
type Role int

// The roles of a node.
const (
	Follower     Role = iota
	PreCandidate      // a pre-vote is out
	Candidate
	Leader
)

func (r Role) String() string { return [...]string{"follower", "asking", "candidate", "leader"}[r] }

// Kinds of log entries.
const (
	EntryNoop uint16 = iota
	EntryMembers
	EntryData
)

// Ready is what a step left to do, in order: sync, send, apply.
type Ready struct {
	Batches          []*wire.Batch
	Messages         []*wire.Message
	CommittedEntries []wire.Entry
	Snapshot         *wire.Snapshot
	Rejected         []Rejection
}

// Node is one member of the agreement, or one that learns. It has no clock and does no I/O: what
// a step left to do is in its Out.
type Node struct {
	self             wire.Member
	epoch            uint64
	role             Role
	term             uint64
	vote             string
	snapshot         wire.Snapshot
	log              []wire.Entry
	compactedTail    []wire.Entry   // the last entries that the snapshot stands for, for peers a little behind; in memory only
	receiver         *chunkReceiver // a snapshot or large entry that arrives in pieces
	members          []wire.Member
	commit           uint64
	applied          uint64
	stable           uint64
	leader           string
	leaderContactAt  time.Duration
	electionDeadline time.Duration
	votes            map[string]bool
	unanimous        bool            // it stands without waiting, by everybody's leave
	consents         map[string]bool // who gave that
	outranked        bool            // another member should stand in its place
	leaderMessageAt  time.Duration   // when a leader last spoke here since this start
	campaignedAt     time.Duration
	lastVoteAt       time.Duration
	electorate       []wire.Member // the members, and those before the last change if that may be under way
	progress         map[string]*progress
	heartbeatAt      time.Duration
	roleSince        time.Duration
	batchSeq         uint64
	hardStateSeq     uint64
	unsyncedBatches  []unsyncedBatch
	pendingMessages  []pendingMessage
	termStartIndex   uint64
	ready            Ready
}

// New starts a node from what its disk holds. Booting counts as having heard a
// leader, since the node may have promised one that it would wait.
func New(now time.Duration, self string, im PersistentState) *Node {
	n := &Node{self: wire.Member{Name: self, Disk: im.Disk}, epoch: im.Epoch, term: im.Term, vote: im.Vote,
		snapshot: im.Snapshot, log: slices.Clone(im.Log), leaderContactAt: now, leaderMessageAt: -1 << 62, campaignedAt: -1 << 62, progress: map[string]*progress{}}
	n.commit, n.applied = im.Snapshot.Index, im.Snapshot.Index
	n.stable = n.lastIndex()
	n.updateMembership()
	n.become(now, Follower)
	return n
}

// Epoch is the core's epoch: one from each bootstrap on.
func (n *Node) Epoch() uint64 { return n.epoch }

// Term is the latest term that the node knows.
func (n *Node) Term() uint64 { return n.term }

// Role is the node's role in that term.
func (n *Node) Role() Role { return n.role }

// Leader names the leader that the node follows or is, "" if it knows none.
func (n *Node) Leader() string { return n.leader }

// Commit is the index of the last entry that the node knows to be agreed.
func (n *Node) Commit() uint64 { return n.commit }

// LastIndex is the index of the last entry of the node's log.
func (n *Node) LastIndex() uint64 { return n.lastIndex() }

// RoleSince is when the node last took a role, by its own clock.
func (n *Node) RoleSince() time.Duration { return n.roleSince }

// NoOtherLeaderSince says, of a leader, that nobody else has decided since a term in which it led. Who
// decides in a term has had its first entry there agreed, and later leaders have what is agreed:
// so it would stand in the log before the entry that began this leader's term.
func (n *Node) NoOtherLeaderSince(term uint64) bool {
	if n.role != Leader || term == n.term {
		return n.role == Leader
	}
	t, ok := n.termAt(n.termStartIndex - 1)
	return ok && t == term
}

// Ready hands over what there is to do and empties it.
func (n *Node) Ready() Ready {
	o := n.ready
	n.ready = Ready{}
	return o
}

func (n *Node) lastIndex() uint64 { return n.snapshot.Index + uint64(len(n.log)) }

func (n *Node) termAt(i uint64) (uint64, bool) {
	switch {
	case i == n.snapshot.Index:
		return n.snapshot.Term, true
	case i < n.snapshot.Index || i > n.lastIndex():
		return 0, false
	}
	return n.log[i-n.snapshot.Index-1].Term, true
}

// become is the one place where the role changes.
func (n *Node) become(now time.Duration, r Role) {
	n.role = r
	n.roleSince = now
	n.votes, n.consents, n.unanimous, n.outranked = map[string]bool{}, map[string]bool{}, false, false
	n.progress = map[string]*progress{}
	h := fnv.New64a()
	h.Write([]byte(n.self.Name))
	h.Write([]byte{byte(n.term), byte(n.term >> 8), byte(now >> 20), byte(now >> 28)})
	n.electionDeadline = now + tuning.ElectionTimeoutMin + time.Duration(h.Sum64()%uint64(tuning.ElectionTimeoutSpread))
	if r == Leader {
		n.leader = n.self.Name
		n.updateProgress()
		for _, p := range n.progress {
			p.next = n.lastIndex() + 1
		}
		n.termStartIndex = n.appendEntry(now, EntryNoop, nil)
		n.heartbeatAt = 0
	}
}

// HasLeader says whether a leader is heard, or is this node.
func (n *Node) HasLeader(now time.Duration) bool {
	return n.role == Leader || n.leader != "" && now-n.leaderContactAt < 3*tuning.ElectionTimeoutMin
}

// HasLease says whether this node may decide now.
func (n *Node) HasLease(now time.Duration) bool {
	return n.role == Leader && n.commit >= n.termStartIndex && !n.DiskStalled(now) && n.majorityAckedAt(now) > now-tuning.LeaderLease
}

func (n *Node) majorityAckedAt(now time.Duration) time.Duration {
	var at []time.Duration
	for _, m := range n.members {
		if m == n.self {
			at = append(at, now)
		} else if p := n.progress[m.Name]; p != nil && p.member == m {
			at = append(at, p.ackedAt)
		} else {
			at = append(at, -1<<62)
		}
	}
	if len(at) == 0 {
		return -1 << 62
	}
	slices.Sort(at)
	return at[(len(at)-1)/2]
}

// Tick moves time on.
func (n *Node) Tick(now time.Duration) {
	switch n.role {
	case Leader:
		if n.DiskStalled(now) || now-max(n.majorityAckedAt(now), n.roleSince) > tuning.ElectionTimeoutMin {
			n.become(now, Follower)
			n.leader = ""
			return
		}
		if now-n.heartbeatAt >= tuning.HeartbeatEvery {
			n.heartbeatAt = now
			n.replicate(now, true)
		}
	default:
		if n.DiskStalled(now) || !n.isVoter(n.self.Name, n.self.Disk) {
			return
		}
		if n.role == Candidate && n.unanimous && 2*len(n.votes) > len(n.members) && now-n.lastVoteAt >= tuning.ElectionTimeoutMin {
			n.become(now, Leader) // whatever its voters had promised before is over now
			n.replicate(now, true)
			return
		}
		if now >= n.electionDeadline && now-n.leaderContactAt >= tuning.ElectionTimeoutMin {
			n.leader = ""
			n.campaign(now, true, false, false)
		} else if n.noLeaderContact(now) && now-n.campaignedAt >= tuning.PreVoteInterval && (n.role == Follower || n.unanimous && n.role == PreCandidate) {
			at := n.electionDeadline
			n.campaign(now, true, false, true)
			n.electionDeadline = at
		}
	}
}

func (n *Node) follow(now time.Duration, term uint64) {
	if term > n.term {
		n.term, n.vote, n.leader = term, "", ""
		if n.receiver != nil && n.receiver.complete {
			n.receiver = nil // the new leader may have overwritten it
		}
		n.persistHardState(now)
	}
	if n.role != Follower {
		n.become(now, Follower)
	}
}

// Step takes a message of kind KVote or KAppend of this node's epoch. One that no sound
// member can have sent is dropped and told of in Out.Refused.
func (n *Node) Step(now time.Duration, m *wire.Message) {
	if m.Epoch != n.epoch {
		return
	}
	if err := n.validate(m); err != nil {
		n.ready.Rejected = append(n.ready.Rejected, Rejection{m.From, err})
		return
	}
	switch {
	case m.Vote != nil && m.Vote.Transfer && m.Vote.Reply:
		if m.Term == n.term && n.role == Follower && n.isVoter(n.self.Name, n.self.Disk) {
			n.campaign(now, false, true, false)
		}
	case m.Vote != nil && m.Vote.Reply:
		n.handleVoteResponse(now, m)
	case m.Vote != nil:
		n.handleVoteRequest(now, m)
	case m.Append != nil && m.Append.Reply:
		n.handleAppendResponse(now, m)
	case m.Append != nil:
		n.handleAppendEntries(now, m)
	}
}
