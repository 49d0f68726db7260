// This file is what must hold in every state, and the history that it needs.

package modelcheck

import (
	"encoding/json"
	"fmt"
	"slices"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

// Names of the invariants, with which a violation begins.
const (
	ElectionSafety       = "one leader per term"
	CommittedEntriesKept = "committed entries are kept"
	LogMatching          = "logs match"
	StateMachineSafety   = "state machines agree"
	LeaderCompleteness   = "leaders hold what is committed"
	QuorumsIntersect     = "majorities of successive lists meet"
	SingleLeaseHolder    = "one lease at a time"
	LeaseHolderIsCurrent = "a lease holder knows the latest commit"
	VotersAreMembers     = "only members vote and are counted"
	OneVotePerTerm       = "one vote per term"
	SyncedBeforeSent     = "what is promised is synced"
	NoPanic              = "no step panics"
)

type (
	leaderRecord struct {
		term    uint64
		machine string
	}
	voteRecord struct {
		term      uint64
		voter     wire.Member
		candidate string
	}
	// commitRecord is an entry that some node held for committed, and the latest
	// term of a node that did so first.
	commitRecord struct {
		progress
		entryTerm uint64
		byTerm    uint64
	}
)

// history is what has happened and no node may go back on.
type history struct {
	leaders   []leaderRecord
	votes     []voteRecord
	committed []commitRecord // by index, from firstIndex on
}

// clone clips the lists, so that appending to one copies it.
func (h history) clone() history {
	return history{slices.Clip(h.leaders), slices.Clip(h.votes), slices.Clip(h.committed)}
}

func (w *State) fail(invariant, format string, args ...any) {
	if w.broken == "" && !slices.Contains(w.scenario.Faults.Ignore, invariant) {
		w.broken = invariant + ": " + fmt.Sprintf(format, args...)
	}
}

// check looks at the machine that acted last, against all others.
func (w *State) check(i int) {
	m := w.machines[i]
	w.checkLeader(m)
	w.checkCommitted(m)
	w.checkLists(m)
	for j, other := range w.machines {
		if j != i {
			w.checkLogs(m, other)
		}
	}
	w.checkLeases()
}

// checkLeader records who leads a term, and that a majority of members voted for it.
func (w *State) checkLeader(m *machine) {
	if m.node.Role() != consensus.Leader {
		return
	}
	term := m.node.Term()
	k := slices.IndexFunc(w.history.leaders, func(l leaderRecord) bool { return l.term == term })
	switch {
	case k < 0:
		w.history.leaders = append(w.history.leaders, leaderRecord{term, m.name})
		w.checkElection(m, term)
	case w.history.leaders[k].machine != m.name:
		w.fail(ElectionSafety, "%s and %s in term %d", w.history.leaders[k].machine, m.name, term)
	}
	w.checkComplete(m, term)
}

func (w *State) checkElection(m *machine, term uint64) {
	members := m.node.Members()
	self := wire.Member{Name: m.name, Disk: m.disk.Disk}
	if !slices.Contains(members, self) {
		w.fail(VotersAreMembers, "%s leads term %d and is no member of %v", m.name, term, members)
	}
	votes := 1
	for _, v := range w.history.votes {
		if v.term == term && v.candidate == m.name && v.voter != self && slices.Contains(members, v.voter) {
			votes++
		}
	}
	if 2*votes <= len(members) {
		w.fail(VotersAreMembers, "%s leads term %d by %d votes of the members %v", m.name, term, votes, members)
	}
}

// checkComplete wants a leader to hold all that was committed in earlier terms.
func (w *State) checkComplete(m *machine, term uint64) {
	log, snap := m.node.Log(), m.node.Snapshot()
	for _, c := range w.history.committed {
		if c.byTerm >= term || c.index <= snap.Index {
			continue
		}
		k := c.index - snap.Index - 1
		if k >= uint64(len(log)) || log[k].Term != c.entryTerm {
			w.fail(LeaderCompleteness, "%s leads term %d without entry %d of term %d, committed in term %d", m.name, term, c.index, c.entryTerm, c.byTerm)
		}
	}
}

// checkCommitted follows what the node holds for committed and compares it with
// what any node ever did.
func (w *State) checkCommitted(m *machine) {
	snap, log, commit := m.node.Snapshot(), m.node.Log(), min(m.node.Commit(), m.node.LastIndex())
	if snap.Index < firstIndex {
		return
	}
	at := decodeProgress(snap.Data)
	w.compareCommitted(m, at, snap.Term)
	for _, e := range log {
		if e.Index > commit {
			break
		}
		at = at.then(e)
		w.compareCommitted(m, at, e.Term)
	}
	if m.applied != at {
		w.fail(StateMachineSafety, "%s has applied %+v and committed %+v", m.name, m.applied, at)
	}
}

func (w *State) compareCommitted(m *machine, at progress, term uint64) {
	k := int(at.index) - firstIndex
	known := w.history.committed
	switch {
	case k < len(known) && known[k].progress != at:
		w.fail(CommittedEntriesKept, "%s holds another entry %d than was committed", m.name, at.index)
	case k == len(known):
		w.history.committed = append(known, commitRecord{at, term, m.node.Term()})
	case k > len(known):
		w.fail(CommittedEntriesKept, "%s has a snapshot at %d beyond what was committed", m.name, at.index)
	}
}

// checkLogs wants two logs that agree on the term of an entry to agree on all before it.
func (w *State) checkLogs(a, b *machine) {
	from := max(a.node.Snapshot().Index, b.node.Snapshot().Index) + 1
	last := min(a.node.LastIndex(), b.node.LastIndex())
	matched := false
	for i := last; i >= from; i-- {
		x, y := entryAt(a.node, i), entryAt(b.node, i)
		same := x.Term == y.Term
		if matched && !same || same && (x.Kind != y.Kind || string(x.Data) != string(y.Data)) {
			w.fail(LogMatching, "entry %d of %s and %s", i, a.name, b.name)
			return
		}
		matched = matched || same
	}
}

func entryAt(n *consensus.Node, i uint64) wire.Entry { return n.Log()[i-n.Snapshot().Index-1] }

// checkLists wants each list of members in a log to share a member between any
// majority of it and any majority of the list before.
func (w *State) checkLists(m *machine) {
	list := m.node.Snapshot().Members
	for _, e := range m.node.Log() {
		if e.Kind != consensus.EntryMembers {
			continue
		}
		var after []wire.Member
		if err := json.Unmarshal(e.Data, &after); err != nil {
			w.fail(QuorumsIntersect, "entry %d of %s: %v", e.Index, m.name, err)
			return
		}
		if !majoritiesMeet(list, after) {
			w.fail(QuorumsIntersect, "entry %d of %s: %v after %v", e.Index, m.name, after, list)
		}
		list = after
	}
}

func majoritiesMeet(a, b []wire.Member) bool {
	union := len(a)
	for _, m := range b {
		if !slices.Contains(a, m) {
			union++
		}
	}
	return len(a)/2+1+len(b)/2+1 > union
}

// checkLeases wants at most one machine to hold a lease at one true time, and
// that one to know of every commit.
func (w *State) checkLeases() {
	holder := -1
	for i, m := range w.machines {
		if !m.node.HasLease(m.clock(w.now)) {
			continue
		}
		if holder >= 0 {
			w.fail(SingleLeaseHolder, "%s in term %d and %s in term %d", w.machines[holder].name, w.machines[holder].node.Term(), m.name, m.node.Term())
		}
		holder = i
		latest := w.history.committed[len(w.history.committed)-1]
		if latest.byTerm > m.node.Term() {
			w.fail(LeaseHolderIsCurrent, "%s holds a lease in term %d, entry %d was committed in term %d", m.name, m.node.Term(), latest.index, latest.byTerm)
		}
	}
}

// checkPromise looks at a message that leaves: votes and confirmations must be on
// disk, unless the disk is in a later term already, when they count as sent late.
func (w *State) checkPromise(m *machine, msg *wire.Message) {
	v, a := msg.Vote, msg.Append
	switch {
	case v != nil && !v.PreVote && !v.Reply:
		w.recordVote(m, msg.Term, m.name)
		w.wantSyncedVote(m, msg, m.name)
	case v != nil && !v.PreVote && v.Granted:
		w.recordVote(m, msg.Term, msg.To)
		w.wantSyncedVote(m, msg, msg.To)
	case v != nil && !v.PreVote && v.NoLeader && m.disk.Term < msg.Term:
		w.fail(SyncedBeforeSent, "%s gave its consent to term %d and has term %d on disk", m.name, msg.Term, m.disk.Term)
	case a != nil && !a.Reply && m.disk.Term < msg.Term:
		w.fail(SyncedBeforeSent, "%s leads in term %d and has term %d on disk", m.name, msg.Term, m.disk.Term)
	case a != nil && a.Reply && a.Success:
		w.wantSyncedLog(m, msg)
	}
}

func (w *State) wantSyncedVote(m *machine, msg *wire.Message, candidate string) {
	if m.disk.Term < msg.Term || m.disk.Term == msg.Term && m.disk.Vote != candidate {
		w.fail(SyncedBeforeSent, "%s voted for %s in term %d and has term %d, vote %q on disk", m.name, candidate, msg.Term, m.disk.Term, m.disk.Vote)
	}
}

func (w *State) wantSyncedLog(m *machine, msg *wire.Message) {
	match := msg.Append.MatchIndex
	last := m.disk.Snapshot.Index + uint64(len(m.disk.Log))
	if m.disk.Term > msg.Term {
		return
	}
	if m.disk.Term < msg.Term || last < match {
		w.fail(SyncedBeforeSent, "%s confirmed entry %d in term %d and has entry %d, term %d on disk", m.name, match, msg.Term, last, m.disk.Term)
	}
}

// recordVote keeps who voted for whom, over restarts.
func (w *State) recordVote(m *machine, term uint64, candidate string) {
	voter := wire.Member{Name: m.name, Disk: m.disk.Disk}
	for _, v := range w.history.votes {
		if v.term == term && v.voter == voter {
			if v.candidate != candidate {
				w.fail(OneVotePerTerm, "%s voted for %s and %s in term %d", m.name, v.candidate, candidate, term)
			}
			return
		}
	}
	w.history.votes = append(w.history.votes, voteRecord{term, voter, candidate})
}
