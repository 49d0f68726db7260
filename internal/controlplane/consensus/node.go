// Package consensus implements Raft as a deterministic state machine: elections with pre-vote, log replication, leader
// leases, chunked snapshot transfer, single-member membership changes, and leadership transfer. It follows Ongaro and
// Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), the Raft paper.
//
// A Node reads no clock, draws no random numbers and does no I/O. Its caller, package controlplane, passes in the time
// (Tick), messages of other members (Step) and completed syncs (Advance), and takes from Ready what to send, sync and
// apply. Messages that depend on a sync are held in the node until Advance reports that sync. The package doesn't open
// connections or files, bootstrap a cluster (the first members of an epoch come in a snapshot), decide on membership
// changes, or interpret the data of entries.
//
// It differs from the paper in three ways:
//
//   - Leader lease. A leader may make decisions only while HasLease is true: a majority has acknowledged messages sent
//     within tuning.LeaderLease, and its own disk isn't stalled. Members that had contact with a leader reject every
//     candidate for tuning.ElectionTimeoutMin, which is longer, so two leaders never make decisions at the same time.
//   - Identity. A member is identified by its name and its disk. A node that lost its disk is a different member: it may
//     have forgotten its votes, so it joins as a learner and votes only after it has been added again.
//   - Unanimous election. The wait for leases to expire is skipped if every member answers and has no contact with a
//     leader, for example after all members were restarted. The candidate becomes leader only once every member,
//     including those of the list before an uncommitted change, has the candidate's term on disk. None of them can lead
//     in an earlier term after that, so no other leader can still make decisions.
//
// Start reading at Node.Tick and Node.Step in this file. Elections are in election.go, the leader side of replication in
// replication.go and the follower side in append.go.
package consensus

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// The kinds of log entries, in wire.Entry.Kind.
const (
	// EntryNoop is the first entry of a leader's term. It has no data.
	EntryNoop uint16 = iota
	// EntryMembers is a membership change; its data is the new list of wire.Member as JSON.
	EntryMembers
	// EntryData is a command for the state machine; this package doesn't interpret its data.
	EntryData
)

// never is the time of an event that hasn't happened yet. It is before all other times.
const never time.Duration = -1 << 62

// Ready is the output of the node since the last call of Node.Ready. Batches and messages may be handled in any order
// relative to each other, since the node holds back messages that depend on a sync. A snapshot must be restored before
// entries are applied.
type Ready struct {
	// Batches must be written and synced in this order, and then reported to Advance.
	Batches []*wire.Batch
	// Messages must be sent now, in this order. Any of them may be lost.
	Messages []*wire.Message
	// CommittedEntries must be applied to the state machine in this order.
	CommittedEntries []wire.Entry
	// Snapshot replaces the state machine's state; nil if there is none to restore.
	Snapshot *wire.Snapshot
	// Rejected lists the messages that failed validation and were dropped, for logging.
	Rejected []Rejection
}

// Node is a member of the cluster or a learner. It is not safe for concurrent use.
type Node struct {
	self  wire.Member
	epoch uint64

	// The persistent state. The node sends no message that depends on a change here until the batch with it is synced.
	term     uint64
	vote     string // the candidate that this node voted for in term, "" for none
	snapshot wire.Snapshot
	log      []wire.Entry // the entries after the snapshot

	compactedTail []wire.Entry   // the last entries before the snapshot, for members slightly behind; in memory only
	receiver      *chunkReceiver // the snapshot or large entry being received in chunks, nil if none
	commit        uint64         // index of the last entry known to be committed
	applied       uint64         // index of the last entry returned in Ready
	stable        uint64         // index of the last entry that this node's disk has synced

	members    []wire.Member // the latest list in the log, committed or not, as Raft requires
	electorate []wire.Member // members, plus those of the list before the log's last change; without vacant entries

	role             Role
	roleSince        time.Duration // when the node last changed role, or restarted a campaign
	leader           string        // name of the leader, possibly this node; "" if unknown
	leaderContactAt  time.Duration // when the node last accepted a leader's message; its start counts as contact
	leaderMessageAt  time.Duration // when the node last received any leader's message, even of an earlier term; never if none since its start
	electionDeadline time.Duration // when a node without contact with a leader starts a pre-vote

	votes        map[string]bool // members that voted for this node in its current campaign
	consents     map[string]bool // in a unanimous election: members that reported no contact with a leader
	unanimous    bool            // whether the current campaign is a unanimous election
	outranked    bool            // in a unanimous election: whether another member is the preferred candidate
	campaignedAt time.Duration   // when the last campaign began
	lastVoteAt   time.Duration   // when the current campaign received its last vote

	progress       map[string]*progress // on a leader: replication state of the other members and the learners, by name
	heartbeatAt    time.Duration        // on a leader: when it last sent heartbeats
	termStartIndex uint64               // on a leader: index of the no-op entry that began its term

	batchSeq        uint64           // sequence number of the last batch
	hardStateSeq    uint64           // sequence number of the last batch with term and vote
	unsyncedBatches []unsyncedBatch  // in order of their sequence numbers
	pendingMessages []pendingMessage // messages that wait for a sync, in order

	ready Ready
}

// New starts the node named self from the state on its disk, which must have passed Validate. The start counts as contact
// with a leader: just before it stopped, the node may have acknowledged a leader's message and thereby supported its lease.
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

// Epoch returns the cluster's epoch, the number of times it has been bootstrapped.
func (n *Node) Epoch() uint64 { return n.epoch }

// Term returns the latest term known to the node.
func (n *Node) Term() uint64 { return n.term }

// Vote returns the candidate that this node voted for in its current term, "" for none.
func (n *Node) Vote() string { return n.vote }

// Role returns the node's role in its current term.
func (n *Node) Role() Role { return n.role }

// RoleSince returns when the node last changed role or restarted a campaign, by its own clock.
func (n *Node) RoleSince() time.Duration { return n.roleSince }

// Leader returns the name of the current leader, which may be this node, or "" if the leader is unknown.
func (n *Node) Leader() string { return n.leader }

// Commit returns the index of the last entry known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// LastIndex returns the index of the last entry of the node's log.
func (n *Node) LastIndex() uint64 { return n.lastIndex() }

// Log returns the entries after the snapshot. The caller must not modify them.
func (n *Node) Log() []wire.Entry { return n.log }

// Snapshot returns the latest snapshot. The caller must not modify it.
func (n *Node) Snapshot() *wire.Snapshot { return &n.snapshot }

// Ready returns the pending output and clears it.
func (n *Node) Ready() Ready {
	ready := n.ready
	n.ready = Ready{}
	return ready
}

// Tick advances the node's time to now. It must be called every tuning.TickEvery.
func (n *Node) Tick(now time.Duration) {
	if n.role == Leader {
		n.tickHeartbeat(now)
	} else {
		n.tickElection(now)
	}
}

// Step processes a vote or append message. Messages of another epoch are ignored. Messages that no correct member can have
// sent are dropped and reported in Ready.Rejected.
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

// tickHeartbeat sends the leader's heartbeats when they are due. The leader steps down if its disk is stalled or it has lost
// contact with a majority for tuning.ElectionTimeoutMin.
func (n *Node) tickHeartbeat(now time.Duration) {
	majorityContactAt := max(n.majorityAnsweredMessageSentAt(now), n.roleSince)
	if n.DiskStalled(now) || now-majorityContactAt > tuning.ElectionTimeoutMin {
		n.stepDown(now)
		return
	}
	if now-n.heartbeatAt >= tuning.HeartbeatEvery {
		n.heartbeatAt = now
		n.replicate(now, true)
	}
}
