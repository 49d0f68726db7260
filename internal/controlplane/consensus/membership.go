// This file is the membership: who votes, who learns, and changes by one member at a time (chapter 4 of Ongaro's thesis,
// "Consensus: Bridging Theory and Practice").

package consensus

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/wire"
)

// isVacant says whether an entry of the member list is kept for a member to come. It counts towards the size of a majority.
func isVacant(member wire.Member) bool { return member.Disk == 0 }

// Members returns the latest member list in the log, committed or not, with its vacant entries.
func (n *Node) Members() []wire.Member { return slices.Clone(n.members) }

// decodeMembers reads an entry of kind EntryMembers. One from disk has passed PersistentState.Validate, one from a leader
// has passed validateEntries.
func decodeMembers(entry wire.Entry) (members []wire.Member) {
	if err := json.Unmarshal(entry.Data, &members); err != nil {
		panic(errors.Wrapf(err, "members entry %d", entry.Index))
	}
	return members
}

// membersAt returns the member list in force at an index after the snapshot.
func (n *Node) membersAt(index uint64) []wire.Member {
	members := n.snapshot.Members
	for _, e := range n.log {
		if e.Index <= index && e.Kind == EntryMembers {
			members = decodeMembers(e)
		}
	}
	return members
}

// updateMembership takes the member list from the log. It is in force from its entry on, committed or not; if that entry
// is truncated, the list before is in force again.
func (n *Node) updateMembership() {
	var previous []wire.Member
	n.members = n.snapshot.Members
	for _, e := range n.log {
		if e.Kind == EntryMembers {
			previous = n.members
			n.members = decodeMembers(e)
		}
	}
	n.electorate = slices.Clone(previous)
	for _, member := range n.members {
		if !slices.Contains(n.electorate, member) {
			n.electorate = append(n.electorate, member)
		}
	}
	n.electorate = slices.DeleteFunc(n.electorate, isVacant)
	if n.role == Leader {
		n.updateProgress()
	}
}

// updateProgress has the leader replicate to all members of the list. Who has been removed goes on as a learner, until
// RetainLearners ends that.
func (n *Node) updateProgress() {
	for _, p := range n.progress {
		p.voter = slices.Contains(n.members, p.member)
	}
	for _, member := range n.members {
		if member != n.self && n.progressOf(member) == nil {
			n.progress[member.Name] = n.newProgress(member, true)
		}
	}
}

func (n *Node) isVoter(name string, disk uint64) bool {
	return slices.Contains(n.members, wire.Member{Name: name, Disk: disk})
}

func (n *Node) isSelfVoter() bool { return slices.Contains(n.members, n.self) }

func (n *Node) isVoterName(name string) bool {
	return slices.ContainsFunc(n.members, func(m wire.Member) bool { return m.Name == name })
}

// isReplacedDisk says whether the sender has a member's name and another disk: it may have forgotten its votes.
func (n *Node) isReplacedDisk(m *wire.Message) bool {
	return slices.ContainsFunc(n.members, func(member wire.Member) bool { return member.Name == m.From && member.Disk != m.Disk })
}

// AddLearner has the leader replicate to a daemon that has no vote. A member's name can't learn beside the member.
func (n *Node) AddLearner(learner wire.Member) {
	if n.role == Leader && n.progressOf(learner) == nil && !n.isVoterName(learner.Name) {
		n.progress[learner.Name] = n.newProgress(learner, false)
	}
}

// RetainLearners ends the replication to those learners that are not to be kept.
func (n *Node) RetainLearners(keep func(wire.Member) bool) {
	maps.DeleteFunc(n.progress, func(_ string, p *progress) bool { return !p.voter && !keep(p.member) })
}

// Removed says whether a committed member list doesn't have this node.
func (n *Node) Removed() bool { return !n.isSelfVoter() && !n.hasUncommittedChange() }

// hasUncommittedChange says whether a membership change is in the log and not known to be committed.
func (n *Node) hasUncommittedChange() bool {
	return slices.ContainsFunc(n.log, func(e wire.Entry) bool { return e.Kind == EntryMembers && e.Index > n.commit })
}

// CanChangeMembers says whether this node may propose a membership change. No other may be uncommitted, since majorities
// of two lists that differ by two need not share a member. And the leader must have committed an entry of its own
// term: until then a change by an earlier leader may be uncommitted elsewhere.
func (n *Node) CanChangeMembers() bool {
	return n.role == Leader && n.commit >= n.termStartIndex && !n.hasUncommittedChange()
}

// ProposeMembers proposes a member list that differs from the present one by one member. It may only be called while
// CanChangeMembers says so.
func (n *Node) ProposeMembers(now time.Duration, members []wire.Member) {
	difference := countMissing(members, n.members) + countMissing(n.members, members)
	if difference != 1 || !n.CanChangeMembers() {
		panic(errors.AssertionFailedf("membership change by %d, may be proposed: %v", difference, n.CanChangeMembers()))
	}
	data, err := json.Marshal(members)
	if err != nil {
		panic(errors.Wrap(err, "members entry"))
	}
	n.appendEntry(now, EntryMembers, data)
	n.replicate(now, false)
}

// countMissing returns how many of the members are not among the others.
func countMissing(members, others []wire.Member) (count int) {
	for _, member := range members {
		if !slices.Contains(others, member) {
			count++
		}
	}
	return count
}
