// This file is the election: when a node campaigns, who votes for it, and when it has won.

package consensus

import (
	"cmp"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// campaignKind is why, and how, a node asks for votes.
type campaignKind int

const (
	// preElection asks whether an election would be won, without a new term.
	preElection campaignKind = iota
	// election asks for votes in a new term.
	election
	// transferElection is an election that the leader itself has asked for, so members don't wait for its lease.
	transferElection
)

// tickElection campaigns when it is time to. A learner, and a member whose disk hangs, could not lead and doesn't.
func (n *Node) tickElection(now time.Duration) {
	if n.DiskStalled(now) || !n.isSelfVoter() {
		return
	}
	switch {
	case n.mayWinWithoutConsents(now):
		n.becomeLeader(now)
	case now >= n.electionDeadline && now-n.leaderContactAt >= tuning.ElectionTimeoutMin:
		n.leader = ""
		n.campaign(now, preElection, false)
	case n.mayAskForConsents(now):
		// The ordinary election stays due: a member that doesn't answer must not put it off.
		deadline := n.electionDeadline
		n.campaign(now, preElection, true)
		n.electionDeadline = deadline
	}
}

// mayWinWithoutConsents says whether a unanimous election has become an ordinary one: it has the votes of a majority, and
// the last of these is so old that every lease which its voters supported has run out.
func (n *Node) mayWinWithoutConsents(now time.Duration) bool {
	return n.role == Candidate && n.unanimous && n.hasMajority(len(n.votes)) && now-n.lastVoteAt >= tuning.ElectionTimeoutMin
}

// mayAskForConsents says whether a unanimous election may be tried, or tried again.
func (n *Node) mayAskForConsents(now time.Duration) bool {
	idle := n.role == Follower || n.unanimous && n.role == PreCandidate
	return idle && n.noLeaderContact(now) && now-n.campaignedAt >= tuning.PreVoteInterval
}

// campaign asks for votes: the members', or in a unanimous election those of the whole electorate.
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

// requestVotes sends vote requests. Those of an election wait until the candidate's own vote is synced: a candidate that
// restarts must not vote for another in the same term. A pre-vote promises nothing, and is for the term after the
// present one.
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

// countVote takes a vote in, or only a consent, and goes on once there are enough. A unanimous election needs a
// majority's votes as well as all consents, and only the candidate with the best log goes on with it.
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

// hasAllConsents says whether every member, also of the list before an uncommitted change, has consented. A member that
// the change removes counts, since it may be the leader that proposed it and may still decide.
func (n *Node) hasAllConsents() bool {
	return !slices.ContainsFunc(n.electorate, func(m wire.Member) bool { return !n.consents[m.Name] })
}

// handleVoteRequest answers a candidate or pre-candidate.
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
	// A follower is in a later term than any in which it led, so it can't decide any more, vote or no vote.
	response.Vote.NoLeader = n.role == Follower
	n.send(response, true)
}

// newVoteResponse answers a request without a vote, with this node's last entry.
func (n *Node) newVoteResponse(m *wire.Message) *wire.Message {
	lastTerm, _ := n.termAt(n.lastIndex())
	return &wire.Message{Kind: wire.KindVote, To: m.From, Vote: &wire.Vote{PreVote: m.Vote.PreVote, Reply: true,
		Unanimous: m.Vote.Unanimous, LastIndex: n.lastIndex(), LastTerm: lastTerm}}
}

// answerPreVote says whether this node would vote for the pre-candidate, and changes nothing. A vote carries the term
// that the pre-candidate asked for; any other answer carries this node's term, or a pre-candidate of an earlier term
// might never ask for a later one.
func (n *Node) answerPreVote(now time.Duration, m, response *wire.Message) {
	response.Vote.NoLeader = m.Vote.Unanimous && n.noLeaderContact(now) && len(n.unsyncedBatches) == 0
	response.Vote.Granted = n.allowsElection(now, m.Vote) && n.isUpToDate(m.Vote) && m.Term > n.term
	n.send(response, false)
	if response.Vote.Granted {
		response.Term = m.Term
	}
}

// isUpToDate says whether a candidate's log ends at least as late as this node's: with a vote from a majority it then
// holds every committed entry (section 5.4.1 of the paper).
func (n *Node) isUpToDate(request *wire.Vote) bool {
	lastTerm, _ := n.termAt(n.lastIndex())
	return request.LastTerm > lastTerm || request.LastTerm == lastTerm && request.LastIndex >= n.lastIndex()
}

// allowsElection says whether another leader may be elected as far as this node's promises go. Each acknowledgement of a
// leader's message supports its lease, so candidates are rejected for longer than that lasts, unless the leader itself
// asked for the election or every member consents to it.
func (n *Node) allowsElection(now time.Duration, request *wire.Vote) bool {
	leaseExpired := n.role != Leader && now-n.leaderContactAt >= tuning.ElectionTimeoutMin
	return request.Transfer || leaseExpired || request.Unanimous && n.noLeaderContact(now)
}

// handleVoteResponse counts the answer of a member of the electorate.
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

// isPreVoteOrConsent says whether a response is to this node's present pre-vote and supports it.
func (n *Node) isPreVoteOrConsent(m *wire.Message) bool {
	granted := m.Vote.Granted && m.Term == n.term+1
	consents := m.Vote.NoLeader && m.Term <= n.term
	return m.Vote.PreVote && (granted || consents)
}

// isOutrankedBy says whether another member is the better candidate: the one with the later log, then the one whose name
// comes first. All members reach the same result, so just one of them goes on.
func (n *Node) isOutrankedBy(m *wire.Message) bool {
	lastTerm, _ := n.termAt(n.lastIndex())
	return cmp.Or(
		cmp.Compare(m.Vote.LastTerm, lastTerm),
		cmp.Compare(m.Vote.LastIndex, n.lastIndex()),
		cmp.Compare(n.self.Name, m.From),
	) > 0
}
