// This file is what a leader knows of each member and learner, and how it reports that.

package consensus

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// progress is what a leader knows of another member, or of a learner.
type progress struct {
	member    wire.Member
	voter     bool          // else a learner
	next      uint64        // index of the next entry to send
	match     uint64        // index of the last entry that it is known to have on disk
	ackedAt   time.Duration // when the latest message was sent that it has answered, by the leader's clock
	inflight  []sentEntries // sent and not acknowledged, in order
	rewoundAt time.Duration // when next was last set back after a loss
	chunks    *chunkSender  // what goes to it in chunks, nil if nothing does
}

// sentEntries are the entries of one message.
type sentEntries struct {
	lastIndex uint64
	bytes     int
}

// newProgress begins with what the leader has itself, which the first rejection corrects.
func (n *Node) newProgress(member wire.Member, voter bool) *progress {
	return &progress{member: member, voter: voter, next: n.lastIndex() + 1, ackedAt: never}
}

func (p *progress) inflightBytes() (bytes int) {
	for _, sent := range p.inflight {
		bytes += sent.bytes
	}
	return bytes
}

// acknowledge notes that a member has all entries up to match on disk.
func (p *progress) acknowledge(match uint64) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	p.inflight = slices.DeleteFunc(p.inflight, func(sent sentEntries) bool { return sent.lastIndex <= p.match })
	if p.chunks != nil && p.match >= p.chunks.content.Index {
		p.chunks = nil
	}
}

// rewind sends entries again from where a member says that its log ends. A response to a message that was sent before the
// last rewind reports the same loss and changes nothing. Nor does one while a snapshot is sent: its receiver has no
// such entry until it is installed.
func (p *progress) rewind(now time.Duration, lastIndex uint64, sentAt time.Duration) {
	if sentAt < p.rewoundAt || p.chunks != nil && !p.chunks.content.IsEntry {
		return
	}
	p.rewoundAt, p.inflight, p.chunks = now, nil, nil
	p.next = max(p.match+1, min(p.next, lastIndex+1))
}

// recentlyActive says whether the leader's lease may count on the member.
func (p *progress) recentlyActive(now time.Duration) bool { return now-p.ackedAt < tuning.LeaderLease }

// sortedProgress returns the progress of all members and learners by name: messages leave in the same order in equal runs.
func (n *Node) sortedProgress() []*progress {
	return slices.SortedFunc(maps.Values(n.progress), func(a, b *progress) int { return cmp.Compare(a.member.Name, b.member.Name) })
}

// ReplicaProgress is how far a member or learner is, as its leader knows.
type ReplicaProgress struct {
	Member wire.Member
	Voter  bool // else a learner
	// Match is the index of the last entry that it is known to have on disk.
	Match uint64
	// AckedAt is when the leader sent the latest message that was answered, by the leader's clock; 0 if none was
	// in this term.
	AckedAt time.Duration
	// RecentlyActive says whether that was within tuning.LeaderLease.
	RecentlyActive bool
	// NeedsSnapshot says whether it lacks entries that the leader no longer holds.
	NeedsSnapshot bool
}

// Progress lists the leader itself and all members and learners that it replicates to, by name after the leader. It is
// empty at any other node.
func (n *Node) Progress(now time.Duration) []ReplicaProgress {
	if n.role != Leader {
		return nil
	}
	list := []ReplicaProgress{{Member: n.self, Voter: n.isSelfVoter(), Match: n.stable, AckedAt: now, RecentlyActive: true}}
	for _, p := range n.sortedProgress() {
		list = append(list, ReplicaProgress{
			Member:         p.member,
			Voter:          p.voter,
			Match:          p.match,
			AckedAt:        max(0, p.ackedAt),
			RecentlyActive: p.recentlyActive(now),
			NeedsSnapshot:  n.needsSnapshot(p),
		})
	}
	return list
}

func (n *Node) needsSnapshot(p *progress) bool {
	_, _, retained := n.retainedEntry(p.match + 1)
	return !retained && p.match < n.lastIndex()
}

// progressOf returns the progress of a member or learner on the disk that it is known by, nil if there is none.
func (n *Node) progressOf(member wire.Member) *progress {
	if p := n.progress[member.Name]; p != nil && p.member == member {
		return p
	}
	return nil
}

// RecentlyActive says whether a member or learner has answered within tuning.LeaderLease. The leader itself always has.
func (n *Node) RecentlyActive(now time.Duration, member wire.Member) bool {
	p := n.progressOf(member)
	return member == n.self || p != nil && p.recentlyActive(now)
}

// CaughtUp says whether a member or learner answers and holds all that is committed, but for tuning.LearnerLag entries,
// which a growing log always has in flight.
func (n *Node) CaughtUp(now time.Duration, member wire.Member) bool {
	match, ok := n.Match(member)
	return ok && match > 0 && match+tuning.LearnerLag >= n.commit && n.RecentlyActive(now, member)
}

// Match returns the index of the last entry that a member or learner is known to have on disk; ok is false if this node
// doesn't replicate to it.
func (n *Node) Match(member wire.Member) (index uint64, ok bool) {
	p := n.progressOf(member)
	if p == nil {
		return 0, false
	}
	return p.match, true
}
