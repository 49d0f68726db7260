// Leader election: when a node campaigns, which candidates it votes for, and when it has won.

package consensus

import (
	"cmp"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// campaignKind distinguishes the kinds of campaigns in which a node requests votes.
type campaignKind int

const (
	// preElection is a pre-vote: it asks whether an election would be won, without starting a new term.
	preElection campaignKind = iota
	// election requests votes in a new term.
	election
	// transferElection is an election that the leader itself requested, so voters don't wait for its lease to expire.
	transferElection
)

// tickElection starts a campaign if one is due. Learners and members whose disk is stalled couldn't lead, so they don't
// campaign.
func (n *Node) tickElection(now time.Duration) {
	if n.DiskStalled(now) || !n.isSelfVoter() {
		return
	}
	switch {
	case n.mayWinByMajority(now):
		n.becomeLeader(now)
	case now >= n.electionDeadline && now-n.leaderContactAt >= tuning.ElectionTimeoutMin:
		n.leader = ""
		n.campaign(now, preElection, false)
	case n.mayStartUnanimousElection(now):
		// Keep the deadline of the ordinary election: members that don't answer must not delay it.
		deadline := n.electionDeadline
		n.campaign(now, preElection, true)
		n.electionDeadline = deadline
	}
}

// mayWinByMajority reports whether a candidate in a unanimous election may become leader as in an ordinary one: it has the
// votes of a majority, and received the last of them so long ago that every lease its voters supported has expired.
func (n *Node) mayWinByMajority(now time.Duration) bool {
	return n.role == Candidate && n.unanimous && n.hasMajority(len(n.votes)) && now-n.lastVoteAt >= tuning.ElectionTimeoutMin
}

// mayStartUnanimousElection reports whether the node may start or repeat a unanimous election.
func (n *Node) mayStartUnanimousElection(now time.Duration) bool {
	idle := n.role == Follower || n.unanimous && n.role == PreCandidate
	return idle && n.noLeaderContact(now) && now-n.campaignedAt >= tuning.PreVoteInterval
}

// campaign requests votes from all members, or from the whole electorate in a unanimous election.
func (n *Node) campaign(now time.Duration, kind campaignKind, unanimous bool) {
	n.campaignedAt = now
	if kind == preElection {
		n.becomePreCandidate(now)
	} else {
		n.becomeCandidate(now)
	}
	n.unanimous = unanimous
	n.requestVotes(kind)
	n.consents[n.self.Name] = true
	n.countVote(now, n.self.Name, true)
}

// requestVotes sends vote requests. In an election they wait until the candidate's own vote is synced, since after a
// restart it must not vote for another candidate in the same term. A pre-vote makes no promise, so its requests are sent
// immediately; they name the term after the current one.
func (n *Node) requestVotes(kind campaignKind) {
	preVote := kind == preElection
	term := n.term
	if preVote {
		term++
	}
	voters := n.members
	if n.unanimous {
		voters = n.electorate
	}
	lastTerm, _ := n.termAt(n.lastIndex())
	for _, member := range voters {
		if member == n.self || isVacant(member) {
			continue
		}
		request := &wire.Message{Kind: wire.KindVote, To: member.Name, Vote: &wire.Vote{PreVote: preVote,
			LastIndex: n.lastIndex(), LastTerm: lastTerm, Transfer: kind == transferElection, Unanimous: n.unanimous}}
		n.send(request, !preVote)
		request.Term = term
	}
}

// countVote records a vote if vote is set. It then checks whether the campaign has enough votes and consents, and if so
// starts the election after a pre-vote, or becomes leader after an election. A unanimous election needs the votes of a
// majority and the consent of every member of the electorate, and only the candidate that no other outranks continues it.
func (n *Node) countVote(now time.Duration, name string, vote bool) {
	if vote && !n.votes[name] {
		n.votes[name], n.lastVoteAt = true, now
	}
	if !n.hasMajority(len(n.votes)) || n.unanimous && (n.outranked || !n.hasAllConsents()) {
		return
	}
	switch n.role {
	case PreCandidate:
		n.campaign(now, election, n.unanimous)
	case Candidate:
		n.becomeLeader(now)
	}
}

// hasAllConsents reports whether the whole electorate has consented. That includes a member removed by an uncommitted
// change: it may be the leader that proposed the change and may still hold a lease.
func (n *Node) hasAllConsents() bool {
	return !slices.ContainsFunc(n.electorate, func(m wire.Member) bool { return !n.consents[m.Name] })
}

// handleVoteRequest responds to a candidate or pre-candidate.
func (n *Node) handleVoteRequest(now time.Duration, message *wire.Message) {
	if n.isReplacedDisk(message) {
		return
	}
	response := n.newVoteResponse(message)
	if message.Vote.PreVote {
		n.answerPreVote(now, message, response)
		return
	}
	if !n.allowsElection(now, message.Vote) || message.Term < n.term {
		n.send(response, false)
		return
	}
	if message.Term > n.term {
		n.becomeFollower(now, message.Term)
	}
	if n.isUpToDate(message.Vote) && (n.vote == "" || n.vote == message.From) && n.role == Follower {
		if n.vote == "" {
			n.vote = message.From
			n.persistHardState(now)
		}
		response.Vote.Granted = true
		n.electionDeadline = now + tuning.ElectionTimeoutMin + tuning.ElectionTimeoutSpread
	}
	// A follower is in a later term than any in which it led, so it can't hold a lease, whether or not it grants the vote.
	response.Vote.NoLeader = n.role == Follower
	n.send(response, true)
}

// newVoteResponse returns a response that grants no vote and states the last entry of this node's log.
func (n *Node) newVoteResponse(m *wire.Message) *wire.Message {
	lastTerm, _ := n.termAt(n.lastIndex())
	return &wire.Message{Kind: wire.KindVote, To: m.From, Vote: &wire.Vote{PreVote: m.Vote.PreVote, Reply: true,
		Unanimous: m.Vote.Unanimous, LastIndex: n.lastIndex(), LastTerm: lastTerm}}
}

// answerPreVote tells a pre-candidate whether this node would vote for it, and changes no state. A granted pre-vote carries
// the term that was requested. A rejection carries this node's term, without which a pre-candidate in an earlier term
// might never advance to a later one.
func (n *Node) answerPreVote(now time.Duration, m, response *wire.Message) {
	response.Vote.NoLeader = m.Vote.Unanimous && n.noLeaderContact(now) && len(n.unsyncedBatches) == 0
	response.Vote.Granted = n.allowsElection(now, m.Vote) && n.isUpToDate(m.Vote) && m.Term > n.term
	n.send(response, false)
	if response.Vote.Granted {
		response.Term = m.Term
	}
}

// isUpToDate reports whether a candidate's log is at least as up to date as this node's. Since a majority checks this before
// it votes, an elected leader holds every committed entry (section 5.4.1 of the Raft paper).
func (n *Node) isUpToDate(request *wire.Vote) bool {
	lastTerm, _ := n.termAt(n.lastIndex())
	return request.LastTerm > lastTerm || request.LastTerm == lastTerm && request.LastIndex >= n.lastIndex()
}

// allowsElection reports whether this node's support for a leader's lease permits the election of another leader. Each
// acknowledgement of a leader's message supports its lease, so the node rejects candidates for longer than the lease lasts,
// unless the leader itself requested the election or the election is unanimous.
func (n *Node) allowsElection(now time.Duration, request *wire.Vote) bool {
	leaseExpired := n.role != Leader && now-n.leaderContactAt >= tuning.ElectionTimeoutMin
	return request.Transfer || leaseExpired || request.Unanimous && n.noLeaderContact(now)
}

// handleVoteResponse counts the vote or consent of a member of the electorate.
func (n *Node) handleVoteResponse(now time.Duration, message *wire.Message) {
	response := message.Vote
	campaigning := n.role == PreCandidate || n.role == Candidate
	if !slices.Contains(n.electorate, wire.Member{Name: message.From, Disk: message.Disk}) || campaigning && response.Unanimous != n.unanimous {
		return
	}
	vote := response.Granted && n.isVoter(message.From, message.Disk)
	switch {
	case n.role == PreCandidate && n.isPreVoteOrConsent(message):
		n.outranked = n.outranked || response.Unanimous && n.isOutrankedBy(message)
		n.consents[message.From] = n.consents[message.From] || response.NoLeader
		n.countVote(now, message.From, vote)
	case !response.Granted && message.Term > n.term:
		n.becomeFollower(now, message.Term)
	case n.role == Candidate && !response.PreVote && message.Term == n.term:
		n.consents[message.From] = n.consents[message.From] || response.NoLeader
		n.countVote(now, message.From, vote)
	}
}

// isPreVoteOrConsent reports whether a response grants this node's current pre-vote or consents to its election.
func (n *Node) isPreVoteOrConsent(m *wire.Message) bool {
	granted := m.Vote.Granted && m.Term == n.term+1
	consents := m.Vote.NoLeader && m.Term <= n.term
	return m.Vote.PreVote && (granted || consents)
}

// isOutrankedBy reports whether the sender of m is the preferred candidate: the one with the more up-to-date log, or with
// equal logs the one whose name sorts first. All members agree on this order, so only one of them continues its campaign.
func (n *Node) isOutrankedBy(m *wire.Message) bool {
	lastTerm, _ := n.termAt(n.lastIndex())
	return cmp.Or(
		cmp.Compare(m.Vote.LastTerm, lastTerm),
		cmp.Compare(m.Vote.LastIndex, n.lastIndex()),
		cmp.Compare(n.self.Name, m.From),
	) > 0
}
