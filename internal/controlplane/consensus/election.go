// This file is the election: who asks for votes, who leases them, and when a
// candidate leads.

package consensus

import (
	"cmp"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// hearsNone says that this node leads nobody and that no leader has spoken to it lately.
func (n *Node) noLeaderContact(now time.Duration) bool {
	return n.role != Leader && now-n.leaderMessageAt >= tuning.LeaderQuiet
}

// stand asks for votes; all says that every member is asked whether it may be at once.
func (n *Node) campaign(now time.Duration, pre, transfer, all bool) {
	n.campaignedAt = now
	if pre {
		n.become(now, PreCandidate)
	} else {
		n.term++
		n.vote = n.self.Name
		n.become(now, Candidate)
		n.persistHardState(now)
	}
	t := n.term
	if pre {
		t++
	}
	n.unanimous = all
	lt, _ := n.termAt(n.lastIndex())
	ask := n.members
	if all {
		ask = n.electorate
	}
	for _, m := range ask {
		if m == n.self || m.Disk == 0 {
			continue
		}
		v := &wire.Message{Kind: wire.KindVote, To: m.Name, Vote: &wire.Vote{PreVote: pre, LastIndex: n.lastIndex(), LastTerm: lt, Transfer: transfer, Unanimous: all}}
		n.send(v, !pre)
		v.Term = t
	}
	n.consents[n.self.Name] = true
	n.countVote(now, n.self.Name, true)
}

// count takes a vote, or only leave to stand at once, and acts on what there is.
func (n *Node) countVote(now time.Duration, name string, vote bool) {
	if vote && !n.votes[name] {
		n.votes[name], n.lastVoteAt = true, now
	}
	if 2*len(n.votes) <= len(n.members) || n.unanimous && (n.outranked || !n.unanimousConsent()) {
		return
	}
	switch n.role {
	case PreCandidate:
		n.campaign(now, false, false, n.unanimous)
	case Candidate:
		n.become(now, Leader)
		n.replicate(now, true)
	}
}

// unanimousConsent says that every member has given leave to stand at once.
func (n *Node) unanimousConsent() bool {
	return !slices.ContainsFunc(n.electorate, func(m wire.Member) bool { return !n.consents[m.Name] })
}

// TransferLeadership gives leadership up and asks the best peer to stand at once.
func (n *Node) TransferLeadership(now time.Duration) bool {
	return n.TransferLeadershipTo(now, tuning.LeaderLease, func(wire.Member) bool { return true })
}

// TransferLeadershipTo is the same among those peers that may lead and acknowledged something that was sent
// no longer than a time ago.
func (n *Node) TransferLeadershipTo(now, acked time.Duration, may func(wire.Member) bool) bool {
	var best *progress
	for _, p := range n.sortedProgress() {
		if p.voter && may(p.member) && now-p.ackedAt < acked && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if n.role != Leader || best == nil {
		return false
	}
	n.become(now, Follower)
	n.leader = ""
	n.electionDeadline = now + 4*tuning.ElectionTimeoutMin
	n.leaderMessageAt = n.electionDeadline
	n.send(&wire.Message{Kind: wire.KindVote, To: best.member.Name, Vote: &wire.Vote{Transfer: true, Reply: true}}, false)
	return true
}

func (n *Node) handleVoteRequest(now time.Duration, m *wire.Message) {
	v := m.Vote
	for _, k := range n.members {
		if k.Name == m.From && k.Disk != m.Disk {
			return
		}
	}
	lt, _ := n.termAt(n.lastIndex())
	upToDate := v.LastTerm > lt || v.LastTerm == lt && v.LastIndex >= n.lastIndex()
	quiet := v.Transfer || now-n.leaderContactAt >= tuning.ElectionTimeoutMin && n.role != Leader || v.Unanimous && n.noLeaderContact(now)
	r := &wire.Message{Kind: wire.KindVote, To: m.From, Vote: &wire.Vote{PreVote: v.PreVote, Reply: true, Unanimous: v.Unanimous, LastIndex: n.lastIndex(), LastTerm: lt}}
	if v.PreVote {
		r.Vote.NoLeader = v.Unanimous && n.noLeaderContact(now) && len(n.unsyncedBatches) == 0
		r.Vote.Granted = quiet && upToDate && m.Term > n.term
		n.send(r, false)
		if r.Vote.Granted {
			r.Term = m.Term
		} // else the asker learns this node's term, or it might never ask for a later one
		return
	}
	if !quiet || m.Term < n.term {
		n.send(r, false)
		return
	}
	if m.Term > n.term {
		n.follow(now, m.Term)
	}
	if upToDate && (n.vote == "" || n.vote == m.From) && n.role == Follower {
		if n.vote == "" {
			n.vote = m.From
			n.persistHardState(now)
		}
		r.Vote.Granted = true
		n.electionDeadline = now + tuning.ElectionTimeoutMin + tuning.ElectionTimeoutSpread
	}
	r.Vote.NoLeader = n.role == Follower // in a later term than any in which it led
	n.send(r, true)
}

func (n *Node) handleVoteResponse(now time.Duration, m *wire.Message) {
	from, v := wire.Member{Name: m.From, Disk: m.Disk}, m.Vote
	if !slices.Contains(n.electorate, from) || v.Unanimous != n.unanimous && (n.role == PreCandidate || n.role == Candidate) {
		return
	}
	vote := v.Granted && n.isVoter(m.From, m.Disk)
	switch {
	case n.role == PreCandidate && v.PreVote && (v.Granted && m.Term == n.term+1 || v.NoLeader && m.Term <= n.term):
		lt, _ := n.termAt(n.lastIndex())
		n.outranked = n.outranked || v.Unanimous && cmp.Or(cmp.Compare(v.LastTerm, lt), cmp.Compare(v.LastIndex, n.lastIndex()), cmp.Compare(n.self.Name, m.From)) > 0
		n.consents[m.From] = n.consents[m.From] || v.NoLeader
		n.countVote(now, m.From, vote)
	case !v.Granted && m.Term > n.term:
		n.follow(now, m.Term)
	case n.role == Candidate && !v.PreVote && m.Term == n.term:
		n.consents[m.From] = n.consents[m.From] || v.NoLeader
		n.countVote(now, m.From, vote)
	}
}
