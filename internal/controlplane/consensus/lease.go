// This file is the leader's lease, and what a node knows of contact with a leader.

package consensus

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// leaderLostAfter is how long after the last contact a leader still counts as known: the time-out of an election and the
// time to win it, so that callers don't act on the gap between two leaders.
const leaderLostAfter = 3 * tuning.ElectionTimeoutMin

// HasLease says whether this node may decide now. A leader may once it has committed the entry that began its term, as
// long as a majority acknowledged messages that it sent within tuning.LeaderLease: each of those members rejects
// other candidates for tuning.ElectionTimeoutMin after the message came, so no other leader can have a majority before
// this lease has run out, also by clocks that differ by a few per cent.
func (n *Node) HasLease(now time.Duration) bool {
	return n.role == Leader && n.commit >= n.termStartIndex && !n.DiskStalled(now) && n.majorityAckedAt(now) > now-tuning.LeaderLease
}

// majorityAckedAt returns the time of sending, by this node's clock, such that a majority acknowledged messages that
// were sent then or later.
func (n *Node) majorityAckedAt(now time.Duration) time.Duration {
	return majorityValue(n, now, never, func(p *progress) time.Duration { return p.ackedAt })
}

// HasLeader says whether this node is a leader, or had contact with one lately.
func (n *Node) HasLeader(now time.Duration) bool {
	return n.role == Leader || n.leader != "" && now-n.leaderContactAt < leaderLostAfter
}

// LastLeaderContact returns when a follower last accepted a message of the leader; its start counts as one.
func (n *Node) LastLeaderContact() time.Duration { return n.leaderContactAt }

// recordLeaderContact notes an append message of the term's leader, and puts the next election off.
func (n *Node) recordLeaderContact(now time.Duration, leader string) {
	n.leader = leader
	n.leaderContactAt = now
	n.electionDeadline = now + tuning.ElectionTimeoutMin + n.electionDeadline%tuning.ElectionTimeoutSpread
}

// noLeaderContact says whether this node is no leader and no leader's message has come for tuning.LeaderQuiet. The start
// counts as no contact here: a unanimous election doesn't rely on leases having run out.
func (n *Node) noLeaderContact(now time.Duration) bool {
	return n.role != Leader && now-n.leaderMessageAt >= tuning.LeaderQuiet
}

// NoOtherLeaderSince says, of a leader, whether nobody else has decided since a term in which this node led. A leader
// decides only after it has committed its term's first entry, and later leaders hold all committed entries. So if
// another has, the entry before the one that began this leader's term is of a later term than the given one.
func (n *Node) NoOtherLeaderSince(term uint64) bool {
	if n.role != Leader || term == n.term {
		return n.role == Leader
	}
	termBefore, ok := n.termAt(n.termStartIndex - 1)
	return ok && termBefore == term
}
