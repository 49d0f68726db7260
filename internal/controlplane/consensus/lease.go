// The leader's lease, and a node's record of its contact with leaders.

package consensus

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// leaderLostAfter is how long after the last contact a leader still counts as known. It covers the election timeout and the
// election itself, so that callers don't react to the gap between two leaders.
const leaderLostAfter = 3 * tuning.ElectionTimeoutMin

// HasLease reports whether this node may make decisions as leader now. It must have committed the first entry of its term,
// and a majority must have acknowledged messages that it sent within tuning.LeaderLease. Each of those members rejects other
// candidates for tuning.ElectionTimeoutMin after it received the message, so no other leader can be elected before this
// lease expires, even if clock rates differ by a few per cent.
func (n *Node) HasLease(now time.Duration) bool {
	return n.role == Leader && n.commit >= n.termStartIndex && !n.DiskStalled(now) && n.majorityAnsweredMessageSentAt(now) > now-tuning.LeaderLease
}

// majorityAnsweredMessageSentAt returns the latest time, by this node's clock, such that a majority has
// answered messages that this node sent at that time or later.
func (n *Node) majorityAnsweredMessageSentAt(now time.Duration) time.Duration {
	return majorityValue(n, now, never, func(p *progress) time.Duration { return p.answeredMessageSentAt })
}

// HasLeader reports whether this node is the leader or had recent contact with one.
func (n *Node) HasLeader(now time.Duration) bool {
	return n.role == Leader || n.leader != "" && now-n.leaderContactAt < leaderLostAfter
}

// LastLeaderContact returns when this node last accepted a leader's message, by its own clock. Its start counts as contact.
func (n *Node) LastLeaderContact() time.Duration { return n.leaderContactAt }

// recordLeaderContact records an append message from the current term's leader and postpones the next election.
func (n *Node) recordLeaderContact(now time.Duration, leader string) {
	n.leader = leader
	n.leaderContactAt = now
	n.electionDeadline = now + tuning.ElectionTimeoutMin + n.electionDeadline%tuning.ElectionTimeoutSpread
}

// noLeaderContact reports whether this node isn't the leader and has received no leader's message for tuning.LeaderSilenceMin.
// Its start doesn't count as contact here, since a unanimous election doesn't rely on leases having expired.
func (n *Node) noLeaderContact(now time.Duration) bool {
	return n.role != Leader && now-n.leaderMessageAt >= tuning.LeaderSilenceMin
}

// NoOtherLeaderSince reports whether this node leads and no other leader has made decisions since the given term, in which
// this node led. A leader makes decisions only after it has committed the first entry of its term, and later leaders hold
// all committed entries. So if another leader made decisions, the entry before the first one of this leader's term is of a
// later term than the given one.
func (n *Node) NoOtherLeaderSince(term uint64) bool {
	if n.role != Leader || term == n.term {
		return n.role == Leader
	}
	termBefore, ok := n.termAt(n.termStartIndex - 1)
	return ok && termBefore == term
}
