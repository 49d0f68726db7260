// Cluster membership: voters, learners, and changes by one member at a time, as in chapter 4 of Ongaro's thesis,
// "Consensus: Bridging Theory and Practice".

package consensus

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/wire"
)

// isVacant reports whether an entry of the member list is a placeholder for a future member. Such an entry has no vote but
// counts towards the size of a majority.
func isVacant(member wire.Member) bool { return member.Disk == 0 }

// Members returns the latest member list in the log, committed or not, including vacant entries.
func (n *Node) Members() []wire.Member { return slices.Clone(n.members) }

// decodeMembers decodes an entry of kind EntryMembers. It panics on malformed data, which PersistentState.Validate and
// validateEntries have ruled out for entries from disk and from a leader.
func decodeMembers(entry wire.Entry) (members []wire.Member) {
	if err := json.Unmarshal(entry.Data, &members); err != nil {
		panic(errors.Wrapf(err, "decode membership change entry %d", entry.Index))
	}
	return members
}

// membersAt returns the member list in effect at index, which must not be before the snapshot.
func (n *Node) membersAt(index uint64) []wire.Member {
	members := n.snapshot.Members
	for _, e := range n.log {
		if e.Index <= index && e.Kind == EntryMembers {
			members = decodeMembers(e)
		}
	}
	return members
}

// updateMembership derives the member list from the log. A list takes effect when its entry is appended, committed or not;
// if that entry is truncated, the previous list takes effect again.
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

// updateProgress makes the leader replicate to all members of the list. A removed member continues as a learner until
// RetainLearners drops it.
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

// isReplacedDisk reports whether the sender has the name of a member but another disk. It may have lost its record of votes.
func (n *Node) isReplacedDisk(m *wire.Message) bool {
	return slices.ContainsFunc(n.members, func(member wire.Member) bool { return member.Name == m.From && member.Disk != m.Disk })
}

// AddLearner makes the leader replicate to a learner, which has no vote. It does nothing on other nodes, or if a member has
// the learner's name.
func (n *Node) AddLearner(learner wire.Member) {
	if n.role == Leader && n.progressOf(learner) == nil && !n.isVoterName(learner.Name) {
		n.progress[learner.Name] = n.newProgress(learner, false)
	}
}

// RetainLearners stops the replication to all learners for which keep returns false.
func (n *Node) RetainLearners(keep func(wire.Member) bool) {
	maps.DeleteFunc(n.progress, func(_ string, p *progress) bool { return !p.voter && !keep(p.member) })
}

// Removed reports whether the committed member list excludes this node.
func (n *Node) Removed() bool { return !n.isSelfVoter() && !n.hasUncommittedChange() }

// hasUncommittedChange reports whether the log holds a membership change that isn't known to be committed.
func (n *Node) hasUncommittedChange() bool {
	return slices.ContainsFunc(n.log, func(e wire.Entry) bool { return e.Kind == EntryMembers && e.Index > n.commit })
}

// CanChangeMembers reports whether this node may propose a membership change. There must be no uncommitted change, since
// majorities of two lists that differ by two members need not overlap. The leader must also have committed an entry of its
// own term: until then another node may hold an uncommitted change of an earlier leader.
func (n *Node) CanChangeMembers() bool {
	return n.role == Leader && n.commit >= n.termStartIndex && !n.hasUncommittedChange()
}

// ProposeMembers proposes a member list that differs from the current one by exactly one member. It panics if the lists
// differ otherwise or CanChangeMembers is false.
func (n *Node) ProposeMembers(now time.Duration, members []wire.Member) {
	difference := countMissing(members, n.members) + countMissing(n.members, members)
	if difference != 1 || !n.CanChangeMembers() {
		panic(errors.AssertionFailedf("node %s: invalid membership change: lists differ by %d entries, CanChangeMembers is %v", n.self.Name, difference, n.CanChangeMembers()))
	}
	data, err := json.Marshal(members)
	if err != nil {
		panic(errors.Wrap(err, "encode membership change"))
	}
	n.appendEntry(now, EntryMembers, data)
	n.replicate(now, false)
}

// countMissing returns the number of members that others doesn't contain.
func countMissing(members, others []wire.Member) (count int) {
	for _, member := range members {
		if !slices.Contains(others, member) {
			count++
		}
	}
	return count
}
