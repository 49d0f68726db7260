// Leadership transfer, as in section 3.10 of Ongaro's thesis, "Consensus: Bridging Theory and Practice".

package consensus

import (
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// transferBackoff is how long a node doesn't campaign after it transferred leadership: time for the election of its
// successor and for a second election after a split vote.
const transferBackoff = 4 * tuning.ElectionTimeoutMin

// TransferLeadership steps down and asks the recently active member with the longest log to campaign immediately. It
// returns false if there is no such member; this node then remains leader.
func (n *Node) TransferLeadership(now time.Duration) bool {
	return n.TransferLeadershipTo(now, tuning.LeaderLease, func(wire.Member) bool { return true })
}

// TransferLeadershipTo is TransferLeadership limited to eligible members that have acknowledged a message sent less than
// maxAckAge ago.
func (n *Node) TransferLeadershipTo(now, maxAckAge time.Duration, eligible func(wire.Member) bool) bool {
	var successor *progress
	for _, p := range n.sortedProgress() {
		if p.voter && eligible(p.member) && now-p.answeredMessageSentAt < maxAckAge && (successor == nil || p.match > successor.match) {
			successor = p
		}
	}
	if n.role != Leader || successor == nil {
		return false
	}
	// From here on this node makes no decisions, so the successor's election need not wait for its lease to expire.
	n.stepDown(now)
	n.electionDeadline = now + transferBackoff
	n.leaderMessageAt = n.electionDeadline // in the future, so that noLeaderContact is false until this time too
	// A vote reply with Transfer set asks its receiver to campaign immediately.
	timeoutNow := &wire.Message{Kind: wire.KindVote, To: successor.member.Name, Vote: &wire.Vote{Transfer: true, Reply: true}}
	n.send(timeoutNow, false)
	return true
}

// handleTimeoutNow starts a campaign immediately, at the leader's request.
func (n *Node) handleTimeoutNow(now time.Duration, m *wire.Message) {
	if m.Term == n.term && n.role == Follower && n.isSelfVoter() {
		n.campaign(now, transferElection, false)
	}
}
