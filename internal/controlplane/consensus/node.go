// Package consensus is Raft as one pure state machine: elections with a pre-vote, log replication, leader leases,
// snapshots that travel in chunks, membership changes by one member, and leadership transfer. The paper is Ongaro and
// Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014).
//
// A Node reads no clock, draws no random numbers and does no I/O. Its caller, package controlplane, passes in the time
// (Tick), messages of other members (Step) and finished syncs (Advance), and takes from Ready what is to be sent, synced
// and applied. Messages that depend on a sync wait in the node until Advance reports it. What the package doesn't do:
// it opens no connections and files, it doesn't bootstrap a cluster (an epoch's first members come in a snapshot), it
// decides on no membership change, and it doesn't know what the data of an entry means.
//
// It differs from the paper in three points:
//
//   - Lease. A leader may decide only while HasLease holds: a majority acknowledged messages sent within
//     tuning.LeaderLease, and its own disk keeps up. Members that had contact with a leader reject every candidate for
//     tuning.ElectionTimeoutMin, which is longer, so two leaders never decide at once.
//   - Identity. A member is its name and its disk. One that lost its disk is another member: it may have forgotten its
//     votes, so it learns first and votes once it has been added again.
//   - Unanimous election. Nobody has to wait for the end of a lease where every single member answers and has no
//     contact with a leader, as after a start of them all. A candidate of such an election leads only once each member,
//     including those of the list before an uncommitted change, has its term on disk. A member that has can lead in no
//     earlier term any more, so nobody else is left who may decide.
//
// Begin reading at Node.Tick and Node.Step in this file; elections are in election.go, the leader's side of
// replication in replication.go, the follower's in append.go.
package consensus

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// The kinds of log entries, in wire.Entry.Kind.
const (
	// EntryNoop begins a leader's term.
	EntryNoop uint16 = iota
	// EntryMembers is a membership change; its data is the new list of wire.Member as JSON.
	EntryMembers
	// EntryData is a command of the state machine, which this package doesn't look into.
	EntryData
)

// never is a time before all others, for what has not happened yet.
const never time.Duration = -1 << 62

// Ready is what the steps since the last Ready left to do. Batches and messages are independent of each other, since
// the node keeps back messages that depend on a sync. A snapshot is restored before entries are applied.
type Ready struct {
	// Batches are to be written and synced in this order, and then to be reported to Advance.
	Batches []*wire.Batch
	// Messages are to be sent now, in this order. Any of them may be lost.
	Messages []*wire.Message
	// CommittedEntries are to be applied to the state machine, in this order.
	CommittedEntries []wire.Entry
	// Snapshot replaces the state machine's state, if it is not nil.
	Snapshot *wire.Snapshot
	// Rejected are messages that were dropped, for the log.
	Rejected []Rejection
}

// Node is one member of the cluster, or a learner. All its methods are for one goroutine.
type Node struct {
	self  wire.Member
	epoch uint64

	// The persistent state: it counts as promised to others only once its batches are synced.
	term     uint64
	vote     string // the candidate that got this node's vote in term, "" for none
	snapshot wire.Snapshot
	log      []wire.Entry // the entries after the snapshot

	compactedTail []wire.Entry   // the last entries that the snapshot replaced, for members a little behind; in memory only
	receiver      *chunkReceiver // a snapshot or large entry that arrives in chunks
	commit        uint64         // index of the last entry known to be committed
	applied       uint64         // index of the last entry handed over in Ready
	stable        uint64         // index of the last entry that this node's disk has synced

	members    []wire.Member // the latest list in the log, committed or not, as Raft requires
	electorate []wire.Member // members, and those before the last change if that may be uncommitted; without vacant entries

	role             Role
	roleSince        time.Duration
	leader           string        // the leader that the node follows or is, "" for none
	leaderContactAt  time.Duration // when the node accepted a leader's message last; its start counts as one
	leaderMessageAt  time.Duration // when any leader's message came last since the start, also of an earlier term
	electionDeadline time.Duration

	votes        map[string]bool // the members that voted for this node in its campaign
	consents     map[string]bool // the members without contact to a leader, in a unanimous election
	unanimous    bool            // the campaign is a unanimous election
	outranked    bool            // in a unanimous election: another member is to campaign instead
	campaignedAt time.Duration
	lastVoteAt   time.Duration // when the campaign got its last vote

	progress       map[string]*progress // of a leader: the other members and the learners, by name
	heartbeatAt    time.Duration
	termStartIndex uint64 // index of the no-op entry that began this leader's term

	batchSeq        uint64 // number of the last batch
	hardStateSeq    uint64 // number of the last batch with term and vote
	unsyncedBatches []unsyncedBatch
	pendingMessages []pendingMessage

	ready Ready
}

// New starts a node of the given name from what its disk holds, which must have passed Validate. The start counts as
// contact with a leader, since the node may have acknowledged a leader's message, and so supported its lease, right
// before it stopped.
func New(now time.Duration, self string, state PersistentState) *Node {
	node := &Node{
		self:            wire.Member{Name: self, Disk: state.Disk},
		epoch:           state.Epoch,
		term:            state.Term,
		vote:            state.Vote,
		snapshot:        state.Snapshot,
		log:             slices.Clone(state.Log),
		commit:          state.Snapshot.Index,
		applied:         state.Snapshot.Index,
		leaderContactAt: now,
		leaderMessageAt: never,
		campaignedAt:    never,
	}
	node.stable = node.lastIndex()
	node.updateMembership()
	node.reset(now, Follower)
	return node
}

// Epoch returns the cluster's epoch, which counts its bootstraps.
func (n *Node) Epoch() uint64 { return n.epoch }

// Term returns the latest term that the node knows.
func (n *Node) Term() uint64 { return n.term }

// Vote returns the candidate that this node voted for in its present term, "" for none.
func (n *Node) Vote() string { return n.vote }

// Role returns the node's role in its term.
func (n *Node) Role() Role { return n.role }

// RoleSince returns when the node last took a role, by its own clock.
func (n *Node) RoleSince() time.Duration { return n.roleSince }

// Leader names the leader that the node follows or is, "" if it knows none.
func (n *Node) Leader() string { return n.leader }

// Commit returns the index of the last entry that the node knows to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// LastIndex returns the index of the last entry of the node's log.
func (n *Node) LastIndex() uint64 { return n.lastIndex() }

// Log returns the entries after the snapshot. The caller must not change them.
func (n *Node) Log() []wire.Entry { return n.log }

// Snapshot returns the latest snapshot, which the log continues. The caller must not change it.
func (n *Node) Snapshot() *wire.Snapshot { return &n.snapshot }

// Ready hands over what there is to do, and empties it.
func (n *Node) Ready() Ready {
	ready := n.ready
	n.ready = Ready{}
	return ready
}

// Tick reports the time. It is to be called every tuning.TickEvery.
func (n *Node) Tick(now time.Duration) {
	if n.role == Leader {
		n.tickHeartbeat(now)
	} else {
		n.tickElection(now)
	}
}

// Step takes a vote or append message in. One of another epoch is ignored; one that no correct member can have sent is
// dropped and reported in Ready.Rejected.
func (n *Node) Step(now time.Duration, message *wire.Message) {
	if message.Epoch != n.epoch {
		return
	}
	if err := n.validate(message); err != nil {
		n.ready.Rejected = append(n.ready.Rejected, Rejection{message.From, err})
		return
	}
	switch {
	case message.Vote != nil && message.Vote.Transfer && message.Vote.Reply:
		n.handleTimeoutNow(now, message)
	case message.Vote != nil && message.Vote.Reply:
		n.handleVoteResponse(now, message)
	case message.Vote != nil:
		n.handleVoteRequest(now, message)
	case message.Append != nil && message.Append.Reply:
		n.handleAppendResponse(now, message)
	case message.Append != nil:
		n.handleAppendEntries(now, message)
	}
}

// tickHeartbeat sends a leader's heartbeats, and has it step down once a majority or its own disk has been silent.
func (n *Node) tickHeartbeat(now time.Duration) {
	majorityContactAt := max(n.majorityAckedAt(now), n.roleSince)
	if n.DiskStalled(now) || now-majorityContactAt > tuning.ElectionTimeoutMin {
		n.stepDown(now)
		return
	}
	if now-n.heartbeatAt >= tuning.HeartbeatEvery {
		n.heartbeatAt = now
		n.replicate(now, true)
	}
}
