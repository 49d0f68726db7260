// This file defines the invariants, which must hold in every state, and the history that they are checked against.

package modelcheck

import (
	"encoding/json"
	"fmt"
	"slices"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

// Names of the invariants. The text of a violation begins with one of them. ElectionSafety, LogMatching, LeaderCompleteness and
// StateMachineSafety are the properties of figure 3 in the Raft paper.
const (
	ElectionSafety       = "one leader per term"
	CommittedEntriesKept = "committed entries are kept"
	LogMatching          = "logs match"
	StateMachineSafety   = "state machines agree"
	LeaderCompleteness   = "leaders hold all committed entries"
	QuorumsIntersect     = "majorities of successive member lists intersect"
	SingleLeaseHolder    = "one lease at a time"
	LeaseHolderIsCurrent = "a lease holder knows the latest commit"
	VotersAreMembers     = "only members vote and are counted"
	OneVotePerTerm       = "one vote per term"
	SyncedBeforeSent     = "state is synced before it is announced"
	NoPanic              = "no step panics"
	LateCallsIgnored     = "late calls have no effect after later changes"
)

type (
	// leaderRecord names the leader of a term.
	leaderRecord struct {
		term   uint64
		server string
	}
	// voteRecord is a member's vote for a candidate in a term.
	voteRecord struct {
		term      uint64
		voter     wire.Member
		candidate string
	}
	// commitRecord is the state after a committed entry, the entry's term, and the term of the node that first considered
	// the entry committed.
	commitRecord struct {
		stateMachine
		entryTerm uint64
		byTerm    uint64
	}
)

// history records elections, votes and commits, none of which a later step may contradict.
type history struct {
	leaders   []leaderRecord
	votes     []voteRecord
	committed []commitRecord // in order of the entries' indexes, starting at firstIndex
}

// clone returns a history that shares its lists with h. Their capacity is clipped, so an append copies them.
func (h history) clone() history {
	return history{slices.Clip(h.leaders), slices.Clip(h.votes), slices.Clip(h.committed)}
}

// fail records a violation unless the scenario ignores the invariant. Only the first violation is kept.
func (s *State) fail(invariant, format string, args ...any) {
	if s.violation == "" && !slices.Contains(s.scenario.Faults.Ignore, invariant) {
		s.violation = invariant + ": " + fmt.Sprintf(format, args...)
	}
}

// check checks all invariants that the last step, taken by server i, can violate.
func (s *State) check(i int) {
	server := s.servers[i]
	s.checkLeader(server)
	s.checkCommitted(server)
	s.checkLateCall(server)
	s.checkMemberLists(server)
	for j, other := range s.servers {
		if j != i {
			s.checkLogMatching(server, other)
		}
	}
	s.checkLeases()
}

// checkLeader checks that a term has at most one leader, that a majority of the members voted for it, and that it holds all
// entries committed in earlier terms.
func (s *State) checkLeader(server *server) {
	if server.node.Role() != consensus.Leader {
		return
	}
	term := server.node.Term()
	known := slices.IndexFunc(s.history.leaders, func(leader leaderRecord) bool { return leader.term == term })
	switch {
	case known < 0:
		s.history.leaders = append(s.history.leaders, leaderRecord{term, server.name})
		s.checkElectionVotes(server, term)
	case s.history.leaders[known].server != server.name:
		s.fail(ElectionSafety, "%s and %s both lead in term %d", s.history.leaders[known].server, server.name, term)
	}
	s.checkLeaderCompleteness(server, term)
}

func (s *State) checkElectionVotes(leader *server, term uint64) {
	members := leader.node.Members()
	self := wire.Member{Name: leader.name, Disk: leader.disk.Disk}
	if !slices.Contains(members, self) {
		s.fail(VotersAreMembers, "%s leads term %d but is not among the members %v", leader.name, term, members)
	}
	votes := 1
	for _, vote := range s.history.votes {
		if vote.term == term && vote.candidate == leader.name && vote.voter != self && slices.Contains(members, vote.voter) {
			votes++
		}
	}
	if 2*votes <= len(members) {
		s.fail(VotersAreMembers, "%s leads term %d with %d votes from the members %v", leader.name, term, votes, members)
	}
}

// checkLeaderCompleteness checks that a leader holds all entries that were committed in earlier terms.
func (s *State) checkLeaderCompleteness(leader *server, term uint64) {
	log, snapshot := leader.node.Log(), leader.node.Snapshot()
	for _, entry := range s.history.committed {
		if entry.byTerm >= term || entry.index <= snapshot.Index {
			continue
		}
		offset := entry.index - snapshot.Index - 1
		if offset >= uint64(len(log)) || log[offset].Term != entry.entryTerm {
			s.fail(LeaderCompleteness, "%s leads term %d without entry %d of term %d, committed in term %d",
				leader.name, term, entry.index, entry.entryTerm, entry.byTerm)
		}
	}
}

// checkCommitted checks that the entries a node considers committed equal those in the history, and that its state machine
// has applied exactly these.
func (s *State) checkCommitted(server *server) {
	node := server.node
	snapshot, commit := node.Snapshot(), min(node.Commit(), node.LastIndex())
	if snapshot.Index < firstIndex {
		return
	}
	state := decodeStateMachine(snapshot.Data)
	s.compareCommitted(server, state, snapshot.Term)
	for _, entry := range node.Log() {
		if entry.Index > commit {
			break
		}
		state = state.apply(entry)
		s.compareCommitted(server, state, entry.Term)
	}
	if server.applied != state {
		s.fail(StateMachineSafety, "%s has applied state %+v but committed state %+v", server.name, server.applied, state)
	}
}

// compareCommitted compares the state after a committed entry with the state recorded for that index. If none is recorded
// yet, it records this one.
func (s *State) compareCommitted(server *server, state stateMachine, entryTerm uint64) {
	known := s.history.committed
	offset := int(state.index) - firstIndex
	switch {
	case offset < len(known) && known[offset].stateMachine != state:
		s.fail(CommittedEntriesKept, "%s considers a different entry %d committed than was committed first", server.name, state.index)
	case offset == len(known):
		s.history.committed = append(known, commitRecord{state, entryTerm, server.node.Term()})
	case offset > len(known):
		s.fail(CommittedEntriesKept, "%s has a snapshot at index %d, beyond the last committed entry", server.name, state.index)
	}
}

// checkLogMatching checks that two logs with the same term at some index are identical up to that index.
func (s *State) checkLogMatching(a, b *server) {
	first := max(a.node.Snapshot().Index, b.node.Snapshot().Index) + 1
	last := min(a.node.LastIndex(), b.node.LastIndex())
	matched := false
	for index := last; index >= first; index-- {
		x, y := entryAt(a.node, index), entryAt(b.node, index)
		same := x.Term == y.Term
		if matched && !same || same && (x.Kind != y.Kind || string(x.Data) != string(y.Data)) {
			s.fail(LogMatching, "entry %d differs between %s and %s", index, a.name, b.name)
			return
		}
		matched = matched || same
	}
}

func entryAt(node *consensus.Node, index uint64) wire.Entry {
	return node.Log()[index-node.Snapshot().Index-1]
}

// checkMemberLists checks that any majority of a member list in a log shares a member with any majority of the previous list.
func (s *State) checkMemberLists(server *server) {
	members := server.node.Snapshot().Members
	for _, entry := range server.node.Log() {
		if entry.Kind != consensus.EntryMembers {
			continue
		}
		var after []wire.Member
		if err := json.Unmarshal(entry.Data, &after); err != nil {
			s.fail(QuorumsIntersect, "entry %d of %s: %v", entry.Index, server.name, err)
			return
		}
		if !quorumsIntersect(members, after) {
			s.fail(QuorumsIntersect, "entry %d of %s: members %v after %v", entry.Index, server.name, after, members)
		}
		members = after
	}
}

func quorumsIntersect(a, b []wire.Member) bool {
	union := len(a)
	for _, member := range b {
		if !slices.Contains(a, member) {
			union++
		}
	}
	return len(a)/2+1+len(b)/2+1 > union
}

// checkLeases checks that at most one server holds a lease at any point in true time, and that no entry was committed in a
// term after the holder's.
func (s *State) checkLeases() {
	var holder *server
	for _, server := range s.servers {
		if !server.node.HasLease(server.clock(s.now)) {
			continue
		}
		if holder != nil {
			s.fail(SingleLeaseHolder, "%s in term %d and %s in term %d both hold a lease", holder.name, holder.node.Term(), server.name, server.node.Term())
		}
		holder = server
		latest := s.history.committed[len(s.history.committed)-1]
		if latest.byTerm > server.node.Term() {
			s.fail(LeaseHolderIsCurrent, "%s holds a lease in term %d, but entry %d was committed in term %d",
				server.name, server.node.Term(), latest.index, latest.byTerm)
		}
	}
}

// checkSent checks that the votes, terms and entries which a message announces are on the sender's disk. If the disk has a
// later term already, the message counts as sent before that term began.
func (s *State) checkSent(sender *server, message *wire.Message) {
	vote, appended := message.Vote, message.Append
	diskTerm := sender.disk.Term
	switch {
	case vote != nil && !vote.PreVote && !vote.Reply:
		s.recordVote(sender, message.Term, sender.name)
		s.checkVoteSynced(sender, message.Term, sender.name)
	case vote != nil && !vote.PreVote && vote.Granted:
		s.recordVote(sender, message.Term, message.To)
		s.checkVoteSynced(sender, message.Term, message.To)
	case vote != nil && !vote.PreVote && vote.NoLeader && diskTerm < message.Term:
		s.fail(SyncedBeforeSent, "%s consented to term %d but has term %d on disk", sender.name, message.Term, diskTerm)
	case appended != nil && !appended.Reply && diskTerm < message.Term:
		s.fail(SyncedBeforeSent, "%s leads in term %d but has term %d on disk", sender.name, message.Term, diskTerm)
	case appended != nil && appended.Reply && appended.Success:
		s.checkLogSynced(sender, message)
	}
}

func (s *State) checkVoteSynced(voter *server, term uint64, candidate string) {
	disk := &voter.disk
	if disk.Term < term || disk.Term == term && disk.Vote != candidate {
		s.fail(SyncedBeforeSent, "%s voted for %s in term %d but has term %d, vote %q on disk", voter.name, candidate, term, disk.Term, disk.Vote)
	}
}

func (s *State) checkLogSynced(sender *server, message *wire.Message) {
	disk, match := &sender.disk, message.Append.MatchIndex
	if disk.Term > message.Term {
		return
	}
	last := disk.Snapshot.Index + uint64(len(disk.Log))
	if disk.Term < message.Term || last < match {
		s.fail(SyncedBeforeSent, "%s acknowledged entry %d in term %d but has entry %d, term %d on disk", sender.name, match, message.Term, last, disk.Term)
	}
}

// recordVote records a vote and checks that the member, identified by name and disk, hasn't voted for another candidate in
// the term, including votes from before a restart.
func (s *State) recordVote(server *server, term uint64, candidate string) {
	voter := wire.Member{Name: server.name, Disk: server.disk.Disk}
	for _, vote := range s.history.votes {
		if vote.term == term && vote.voter == voter {
			if vote.candidate != candidate {
				s.fail(OneVotePerTerm, "%s voted for %s and %s in term %d", server.name, vote.candidate, candidate, term)
			}
			return
		}
	}
	s.history.votes = append(s.history.votes, voteRecord{term, voter, candidate})
}
