// This file is the election: who asks for votes, who grants them, and when a
// candidate leads.
package quorum

import (
	"cmp"
	"slices"
	"time"

	"myrtlefold/limit"
	"myrtlefold/wire"
)

// hearsNone says that this node leads nobody and that no leader has spoken to it lately.
func (n *Node) hearsNone(now time.Duration) bool {
	return n.role != Leader && now-n.met >= limit.LeaderQuiet
}

// stand asks for votes; all says that every member is asked whether it may be at once.
func (n *Node) stand(now time.Duration, pre, transfer, all bool) {
	n.askedAt = now
	if pre {
		n.become(now, Asking)
	} else {
		n.term++
		n.vote = n.self.Name
		n.become(now, Candidate)
		n.hard(now)
	}
	t := n.term
	if pre {
		t++
	}
	n.all = all
	lt, _ := n.termAt(n.last())
	ask := n.members
	if all {
		ask = n.everyone
	}
	for _, m := range ask {
		if m == n.self || m.Disk == 0 {
			continue
		}
		v := &wire.Msg{Kind: uint16(wire.KVote), To: m.Name, Vote: &wire.Vote{Pre: pre, LastIndex: n.last(), LastTerm: lt, Transfer: transfer, All: all}}
		n.send(v, !pre)
		v.Term = t
	}
	n.alone[n.self.Name] = true
	n.count(now, n.self.Name, true)
}

// count takes a vote, or only leave to stand at once, and acts on what there is.
func (n *Node) count(now time.Duration, name string, vote bool) {
	if vote && !n.votes[name] {
		n.votes[name], n.votedAt = true, now
	}
	if 2*len(n.votes) <= len(n.members) || n.all && (n.outdone || !n.leave()) {
		return
	}
	switch n.role {
	case Asking:
		n.stand(now, false, false, n.all)
	case Candidate:
		n.become(now, Leader)
		n.spread(now, true)
	}
}

// leave says that every member has given leave to stand at once.
func (n *Node) leave() bool {
	return !slices.ContainsFunc(n.everyone, func(m wire.Member) bool { return !n.alone[m.Name] })
}

// Yield gives leadership up and asks the best partner to stand at once.
func (n *Node) Yield(now time.Duration) bool {
	var best *partner
	for _, p := range n.sorted() {
		if p.voter && now-p.acked < limit.CoreGrant && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if n.role != Leader || best == nil {
		return false
	}
	n.become(now, Follower)
	n.leader = ""
	n.deadline = now + 4*limit.ElectMin
	n.met = n.deadline
	n.send(&wire.Msg{Kind: uint16(wire.KVote), To: best.m.Name, Vote: &wire.Vote{Transfer: true, Reply: true}}, false)
	return true
}

func (n *Node) voteAsk(now time.Duration, m *wire.Msg) {
	v := m.Vote
	for _, k := range n.members {
		if k.Name == m.From && k.Disk != m.Disk {
			return
		}
	}
	lt, _ := n.termAt(n.last())
	upToDate := v.LastTerm > lt || v.LastTerm == lt && v.LastIndex >= n.last()
	quiet := v.Transfer || now-n.heard >= limit.ElectMin && n.role != Leader || v.All && n.hearsNone(now)
	r := &wire.Msg{Kind: uint16(wire.KVote), To: m.From, Vote: &wire.Vote{Pre: v.Pre, Reply: true, All: v.All, LastIndex: n.last(), LastTerm: lt}}
	if v.Pre {
		r.Vote.Alone = v.All && n.hearsNone(now) && len(n.open) == 0
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
			n.hard(now)
		}
		r.Vote.Granted = true
		n.deadline = now + limit.ElectMin + limit.ElectSpread
	}
	r.Vote.Alone = n.role == Follower // in a later term than any in which it led
	n.send(r, true)
}

func (n *Node) voteReply(now time.Duration, m *wire.Msg) {
	from, v := wire.Member{Name: m.From, Disk: m.Disk}, m.Vote
	if !slices.Contains(n.everyone, from) || v.All != n.all && (n.role == Asking || n.role == Candidate) {
		return
	}
	vote := v.Granted && n.voter(m.From, m.Disk)
	switch {
	case n.role == Asking && v.Pre && (v.Granted && m.Term == n.term+1 || v.Alone && m.Term <= n.term):
		lt, _ := n.termAt(n.last())
		n.outdone = n.outdone || v.All && cmp.Or(cmp.Compare(v.LastTerm, lt), cmp.Compare(v.LastIndex, n.last()), cmp.Compare(n.self.Name, m.From)) > 0
		n.alone[m.From] = n.alone[m.From] || v.Alone
		n.count(now, m.From, vote)
	case !v.Granted && m.Term > n.term:
		n.follow(now, m.Term)
	case n.role == Candidate && !v.Pre && m.Term == n.term:
		n.alone[m.From] = n.alone[m.From] || v.Alone
		n.count(now, m.From, vote)
	}
}
