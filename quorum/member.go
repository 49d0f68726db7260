// This file is the list of members: who votes, who learns, and changes by one.
package quorum

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/limit"
	"myrtlefold/wire"
)

func (n *Node) Members() []wire.Member { return slices.Clone(n.members) }

func (n *Node) readMembers() {
	n.members, n.everyone = n.snap.Members, nil
	for _, e := range n.log {
		if e.Kind == EMembers {
			var ms []wire.Member
			if err := json.Unmarshal(e.Data, &ms); err != nil {
				panic(errors.Wrapf(err, "members entry %d", e.Index))
			}
			n.everyone = n.members
			n.members = ms
		}
	}
	n.everyone = slices.Clone(n.everyone)
	for _, m := range n.members {
		if !slices.Contains(n.everyone, m) {
			n.everyone = append(n.everyone, m)
		}
	}
	n.everyone = slices.DeleteFunc(n.everyone, func(m wire.Member) bool { return m.Disk == 0 }) // a place that nobody has
	if n.role == Leader {
		n.syncPartners()
	}
}

func (n *Node) voter(name string, disk uint64) bool {
	return slices.Contains(n.members, wire.Member{Name: name, Disk: disk})
}

func (n *Node) syncPartners() {
	for _, p := range n.partners {
		p.voter = slices.Contains(n.members, p.m)
	}
	for _, m := range n.members {
		if m == n.self {
			continue
		}
		if p := n.partners[m.Name]; p == nil || p.m != m {
			n.partners[m.Name] = &partner{m: m, voter: true, next: n.last() + 1, acked: -1 << 62}
		}
	}
}

// Learn has the leader keep m up to date without a vote.
func (n *Node) Learn(m wire.Member) {
	if p := n.partners[m.Name]; n.role == Leader && (p == nil || p.m != m) && !n.voterName(m.Name) {
		n.partners[m.Name] = &partner{m: m, next: n.last() + 1, acked: -1 << 62}
	}
}

// Release stops keeping those without a vote up to date that are not to be kept.
func (n *Node) Release(keep func(wire.Member) bool) {
	maps.DeleteFunc(n.partners, func(_ string, p *partner) bool { return !p.voter && !keep(p.m) })
}

// Answers says that a member, or one that learns, has answered lately.
func (n *Node) Answers(now time.Duration, m wire.Member) bool {
	p := n.partners[m.Name]
	return m == n.self || p != nil && p.m == m && now-p.acked < limit.CoreGrant
}

func (n *Node) voterName(name string) bool {
	return slices.ContainsFunc(n.members, func(m wire.Member) bool { return m.Name == name })
}

// CaughtUp says that a partner holds all that is agreed.
func (n *Node) CaughtUp(m wire.Member) bool {
	p := n.partners[m.Name]
	return p != nil && p.m == m && p.match >= n.commit && p.match > 0
}

// Settled says that no change of members is under way and that the leader has
// agreed an entry of its own term, so that a change may be proposed.
func (n *Node) Settled() bool {
	if n.role != Leader || n.commit < n.noop {
		return false
	}
	for _, e := range n.log {
		if e.Kind == EMembers && e.Index > n.commit {
			return false
		}
	}
	return true
}

// Change proposes a member list that differs from the present one by one.
func (n *Node) Change(now time.Duration, ms []wire.Member) {
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
	if d != 1 || !n.Settled() {
		panic(errors.AssertionFailedf("change of members by %d, settled %v", d, n.Settled()))
	}
	b, _ := json.Marshal(ms)
	n.add(now, EMembers, b)
	n.spread(now, false)
}
