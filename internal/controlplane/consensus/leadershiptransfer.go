// This file is leadership transfer (section 3.10 of Ongaro's thesis, "Consensus: Bridging Theory and Practice").

package consensus

import (
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// transferPatience is how long a leader that has handed over doesn't campaign itself: an election of its successor and a
// second one, should the vote be split.
const transferPatience = 4 * tuning.ElectionTimeoutMin

// TransferLeadership gives leadership up and asks the member with the longest log to campaign at once. It says whether
// there was one; else this node leads on.
func (n *Node) TransferLeadership(now time.Duration) bool {
	return n.TransferLeadershipTo(now, tuning.LeaderLease, func(wire.Member) bool { return true })
}

// TransferLeadershipTo does the same among those members that are eligible and acknowledged a message that was sent less
// than maxAckAge ago.
func (n *Node) TransferLeadershipTo(now, maxAckAge time.Duration, eligible func(wire.Member) bool) bool {
	var successor *progress
	for _, p := range n.sortedProgress() {
		if p.voter && eligible(p.member) && now-p.ackedAt < maxAckAge && (successor == nil || p.match > successor.match) {
			successor = p
		}
	}
	if n.role != Leader || successor == nil {
		return false
	}
	// It no longer decides from here on, so the successor's election need not wait for the end of its lease.
	n.stepDown(now)
	n.electionDeadline = now + transferPatience
	n.leaderMessageAt = n.electionDeadline
	timeoutNow := &wire.Message{Kind: wire.KindVote, To: successor.member.Name, Vote: &wire.Vote{Transfer: true, Reply: true}}
	n.send(timeoutNow, false)
	return true
}

// handleTimeoutNow campaigns at once, as the leader has asked.
func (n *Node) handleTimeoutNow(now time.Duration, m *wire.Message) {
	if m.Term == n.term && n.role == Follower && n.isSelfVoter() {
		n.campaign(now, transferElection, false)
	}
}
