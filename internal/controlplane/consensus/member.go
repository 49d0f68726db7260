// This file is the list of members: who votes, who learns, and changes by one.

package consensus

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Members is the latest list in the log, agreed or not, with the places that nobody has taken.
func (n *Node) Members() []wire.Member { return slices.Clone(n.members) }

// membersOf reads an entry of kind EntryMembers. One from disk has been checked before, see
// CheckImage; the others come from a leader that made them.
func membersOf(e wire.Entry) (ms []wire.Member) {
	if err := json.Unmarshal(e.Data, &ms); err != nil {
		panic(errors.Wrapf(err, "members entry %d", e.Index))
	}
	return ms
}

func (n *Node) updateMembership() {
	n.members, n.electorate = n.snapshot.Members, nil
	for _, e := range n.log {
		if e.Kind == EntryMembers {
			n.electorate = n.members
			n.members = membersOf(e)
		}
	}
	n.electorate = slices.Clone(n.electorate)
	for _, m := range n.members {
		if !slices.Contains(n.electorate, m) {
			n.electorate = append(n.electorate, m)
		}
	}
	n.electorate = slices.DeleteFunc(n.electorate, func(m wire.Member) bool { return m.Disk == 0 }) // a place that nobody has
	if n.role == Leader {
		n.updateProgress()
	}
}

func (n *Node) isVoter(name string, disk uint64) bool {
	return slices.Contains(n.members, wire.Member{Name: name, Disk: disk})
}

func (n *Node) updateProgress() {
	for _, p := range n.progress {
		p.voter = slices.Contains(n.members, p.member)
	}
	for _, m := range n.members {
		if m == n.self {
			continue
		}
		if p := n.progress[m.Name]; p == nil || p.member != m {
			n.progress[m.Name] = &progress{member: m, voter: true, next: n.lastIndex() + 1, ackedAt: -1 << 62}
		}
	}
}

// AddLearner has the leader keep m up to date without a vote.
func (n *Node) AddLearner(m wire.Member) {
	if p := n.progress[m.Name]; n.role == Leader && (p == nil || p.member != m) && !n.isVoterName(m.Name) {
		n.progress[m.Name] = &progress{member: m, next: n.lastIndex() + 1, ackedAt: -1 << 62}
	}
}

// RetainLearners stops keeping those without a vote up to date that are not to be kept.
func (n *Node) RetainLearners(keep func(wire.Member) bool) {
	maps.DeleteFunc(n.progress, func(_ string, p *progress) bool { return !p.voter && !keep(p.member) })
}

// RecentlyActive says that a member, or one that learns, has answered lately.
func (n *Node) RecentlyActive(now time.Duration, m wire.Member) bool {
	p := n.progress[m.Name]
	return m == n.self || p != nil && p.member == m && now-p.ackedAt < tuning.LeaderLease
}

func (n *Node) isVoterName(name string) bool {
	return slices.ContainsFunc(n.members, func(m wire.Member) bool { return m.Name == name })
}

// CaughtUp says that a peer answers and holds all that is agreed, but for what a
// growing log always has on its way.
func (n *Node) CaughtUp(now time.Duration, m wire.Member) bool {
	match, ok := n.Match(m)
	return ok && match > 0 && match+tuning.LearnerLag >= n.commit && n.RecentlyActive(now, m)
}

// Match is the last entry that a peer is known to hold, if it is kept up to date.
func (n *Node) Match(m wire.Member) (index uint64, ok bool) {
	p := n.progress[m.Name]
	if p == nil || p.member != m {
		return 0, false
	}
	return p.match, true
}

// Removed says that an agreed list of members does not have this node.
func (n *Node) Removed() bool {
	return !n.isVoter(n.self.Name, n.self.Disk) && !n.membersUncommitted()
}

// membersUncommitted says that a change of members is in the log and not known to be agreed.
func (n *Node) membersUncommitted() bool {
	return slices.ContainsFunc(n.log, func(e wire.Entry) bool { return e.Kind == EntryMembers && e.Index > n.commit })
}

// CanChangeMembers says that no change of members is under way and that the leader has
// agreed an entry of its own term, so that a change may be proposed.
func (n *Node) CanChangeMembers() bool {
	return n.role == Leader && n.commit >= n.termStartIndex && !n.membersUncommitted()
}

// ProposeMembers proposes a member list that differs from the present one by one.
func (n *Node) ProposeMembers(now time.Duration, ms []wire.Member) {
	d := 0
	for _, m := range ms {
		if !slices.Contains(n.members, m) {
			d++
		}
	}
	for _, m := range n.members {
		if !slices.Contains(ms, m) {
			d++
		}
	}
	if d != 1 || !n.CanChangeMembers() {
		panic(errors.AssertionFailedf("change of members by %d, settled %v", d, n.CanChangeMembers()))
	}
	b, _ := json.Marshal(ms)
	n.appendEntry(now, EntryMembers, b)
	n.replicate(now, false)
}
