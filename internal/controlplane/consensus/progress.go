// The leader's view of the replication to each member and learner.

package consensus

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// progress is a leader's record of the replication to another member or a learner.
type progress struct {
	member                wire.Member
	voter                 bool          // false for a learner
	next                  uint64        // index of the next entry to send
	match                 uint64        // index of the last entry that the member is known to have on disk
	answeredMessageSentAt time.Duration // when the leader sent the latest message that the member has answered; never if none
	inflight              []sentEntries // entries sent and not yet acknowledged, in order
	rewoundAt             time.Duration // when next was last set back after a loss
	chunks                *chunkSender  // the chunked transfer in progress, nil if none
}

// sentEntries describes the entries of one message in flight.
type sentEntries struct {
	lastIndex uint64
	bytes     int
}

// newProgress returns the initial progress of a member. It assumes that the member has all entries of the leader; the
// member's first rejection corrects that.
func (n *Node) newProgress(member wire.Member, voter bool) *progress {
	return &progress{member: member, voter: voter, next: n.lastIndex() + 1, answeredMessageSentAt: never}
}

func (p *progress) inflightBytes() (bytes int) {
	for _, sent := range p.inflight {
		bytes += sent.bytes
	}
	return bytes
}

// acknowledge records that the member has all entries up to match on disk.
func (p *progress) acknowledge(match uint64) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	p.inflight = slices.DeleteFunc(p.inflight, func(sent sentEntries) bool { return sent.lastIndex <= p.match })
	if p.chunks != nil && p.match >= p.chunks.content.Index {
		p.chunks = nil
	}
}

// rewind restarts sending after lastIndex, which a rejection reported as the end of the member's matching log. sentAt is
// when the rejected message was sent: if that was before the last rewind, the rejection reports the same loss and is
// ignored. Rejections are also ignored during a snapshot transfer, since the member lacks the entry at PrevIndex until it
// has installed the snapshot.
func (p *progress) rewind(now time.Duration, lastIndex uint64, sentAt time.Duration) {
	if sentAt < p.rewoundAt || p.chunks != nil && !p.chunks.content.IsEntry {
		return
	}
	p.rewoundAt, p.inflight, p.chunks = now, nil, nil
	p.next = max(p.match+1, min(p.next, lastIndex+1))
}

// recentlyActive reports whether the member has answered a message sent within tuning.LeaderLease.
func (p *progress) recentlyActive(now time.Duration) bool {
	return now-p.answeredMessageSentAt < tuning.LeaderLease
}

// sortedProgress returns the progress of all members and learners, sorted by name so that messages are sent in a
// deterministic order.
func (n *Node) sortedProgress() []*progress {
	return slices.SortedFunc(maps.Values(n.progress), func(a, b *progress) int { return cmp.Compare(a.member.Name, b.member.Name) })
}

// ReplicaProgress describes the replication to a member or learner, as known to the leader.
type ReplicaProgress struct {
	Member wire.Member
	Voter  bool // false for a learner
	// Match is the index of the last entry that the member is known to have on disk.
	Match uint64
	// AnsweredMessageSentAt is when the leader sent the latest message that the member has answered, by the
	// leader's clock. It is 0 if the member has answered none in this term.
	AnsweredMessageSentAt time.Duration
	// RecentlyActive reports whether AnsweredMessageSentAt is within tuning.LeaderLease.
	RecentlyActive bool
	// NeedsSnapshot reports whether the member lacks entries that the leader no longer holds.
	NeedsSnapshot bool
}

// Progress returns the replication progress of the leader itself, followed by that of all members and learners that it
// replicates to, sorted by name. It returns nil if this node isn't the leader.
func (n *Node) Progress(now time.Duration) []ReplicaProgress {
	if n.role != Leader {
		return nil
	}
	list := []ReplicaProgress{{Member: n.self, Voter: n.isSelfVoter(), Match: n.stable, AnsweredMessageSentAt: now, RecentlyActive: true}}
	for _, p := range n.sortedProgress() {
		list = append(list, ReplicaProgress{
			Member:                p.member,
			Voter:                 p.voter,
			Match:                 p.match,
			AnsweredMessageSentAt: max(0, p.answeredMessageSentAt),
			RecentlyActive:        p.recentlyActive(now),
			NeedsSnapshot:         n.needsSnapshot(p),
		})
	}
	return list
}

func (n *Node) needsSnapshot(p *progress) bool {
	_, _, retained := n.retainedEntry(p.match + 1)
	return !retained && p.match < n.lastIndex()
}

// progressOf returns the progress of the member or learner with that name and disk, or nil if there is none.
func (n *Node) progressOf(member wire.Member) *progress {
	if p := n.progress[member.Name]; p != nil && p.member == member {
		return p
	}
	return nil
}

// RecentlyActive reports whether a member or learner has answered a message sent within tuning.LeaderLease. It is always
// true for the node itself.
func (n *Node) RecentlyActive(now time.Duration, member wire.Member) bool {
	p := n.progressOf(member)
	return member == n.self || p != nil && p.recentlyActive(now)
}

// CaughtUp reports whether a member or learner is recently active and lacks at most tuning.LearnerLag committed entries,
// since some entries are always in flight while the log grows.
func (n *Node) CaughtUp(now time.Duration, member wire.Member) bool {
	match, ok := n.Match(member)
	return ok && match > 0 && match+tuning.LearnerLag >= n.commit && n.RecentlyActive(now, member)
}

// Match returns the index of the last entry that a member or learner is known to have on disk. ok is false if this node
// doesn't replicate to it.
func (n *Node) Match(member wire.Member) (index uint64, ok bool) {
	p := n.progressOf(member)
	if p == nil {
		return 0, false
	}
	return p.match, true
}
