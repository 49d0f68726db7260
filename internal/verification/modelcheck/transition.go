// This file enumerates the transitions enabled in a state and executes them.

package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

// TransitionKind is the kind of event in a transition.
type TransitionKind uint8

// The kinds of transitions.
const (
	Deliver            TransitionKind = iota // a message arrives
	Duplicate                                // a message arrives and stays in flight
	Tick                                     // a process handles a timer tick
	Sync                                     // the disk syncs all Count pending batches
	Advance                                  // true time passes for all servers
	Restart                                  // a process restarts; the first Count pending batches survive
	Wipe                                     // a process restarts with an empty disk
	Propose                                  // a leader appends an entry
	AddLearner                               // a leader starts to replicate to Member
	AddMember                                // a leader proposes the member list with Member added
	DropMember                               // a leader proposes the member list with Member removed
	Compact                                  // a process replaces its applied log entries with a snapshot
	TransferLeadership                       // a leader transfers its leadership
	OpenLateCall                             // the caller of the late call opens its connection to a process
	ChangeSubject                            // a leader appends a later change about the subject of the late call
	ExecuteLateCall                          // a copy of the late call reaches a leader
	kindCount
)

// String returns the name of the kind as counterexamples print it.
func (k TransitionKind) String() string {
	return [...]string{"deliver", "duplicate", "tick", "sync", "advance", "restart", "wipe", "propose", "add learner", "add member", "drop member", "compact", "transfer leadership", "open late call", "change subject", "execute late call"}[k]
}

// Budget is the maximum number of transitions of each kind on a path from the first state. The kinds in unlimited have none.
type Budget [kindCount]uint8

// unlimited marks the kinds without a budget. The messages and batches that exist limit their number, or repeating
// them has no effect.
var unlimited = [kindCount]bool{Deliver: true, Tick: true, Sync: true, AddLearner: true}

// Transition is one event. Its kind determines which of the other fields are used.
type Transition struct {
	Kind     TransitionKind
	Server   int            // index of the server that takes the step
	Count    int            // number of batches that are synced, or survive a restart
	Duration time.Duration  // time that passes in an Advance
	Member   wire.Member    // member or learner that is added or removed
	message  networkMessage // message that is delivered
}

// String returns the transition as a line of a counterexample.
func (t Transition) String() string {
	switch t.Kind {
	case Deliver, Duplicate:
		return fmt.Sprintf("%v %s", t.Kind, describeMessage(t.message.message))
	case Advance:
		return fmt.Sprintf("advance %v", t.Duration)
	case Sync, Restart:
		return fmt.Sprintf("%s: %v, %d batches", serverName(t.Server), t.Kind, t.Count)
	case AddLearner, AddMember, DropMember:
		return fmt.Sprintf("%s: %v %s/%d", serverName(t.Server), t.Kind, t.Member.Name, t.Member.Disk)
	}
	return fmt.Sprintf("%s: %v", serverName(t.Server), t.Kind)
}

func describeMessage(message *wire.Message) string {
	envelope := fmt.Sprintf("%s/%d>%s term %d ", message.From, message.Disk, message.To, message.Term)
	if vote := message.Vote; vote != nil {
		return envelope + fmt.Sprintf("vote%+v", *vote)
	}
	return envelope + describeAppend(message.Append)
}

func describeAppend(appended *wire.Append) string {
	if appended.Reply {
		return fmt.Sprintf("append response success %v match %d", appended.Success, appended.MatchIndex)
	}
	text := fmt.Sprintf("append after %d/%d commit %d entries", appended.PrevIndex, appended.PrevTerm, appended.Commit)
	for _, entry := range appended.Entries {
		text += fmt.Sprintf(" %d/%d", entry.Index, entry.Term)
	}
	if chunk := appended.Chunk; chunk != nil {
		text += fmt.Sprintf(" snapshot chunk of %d/%d at offset %d", chunk.Index, chunk.Term, chunk.Offset)
	}
	return text
}

// enabled lists the transitions that are possible in the state, in a deterministic order.
func (s *State) enabled() []Transition {
	var list []Transition
	add := func(t Transition) {
		if unlimited[t.Kind] || s.spent[t.Kind] < s.scenario.Budget[t.Kind] {
			list = append(list, t)
		}
	}
	for _, message := range s.network {
		add(Transition{Kind: Deliver, message: message})
		add(Transition{Kind: Duplicate, message: message})
	}
	for i := range s.servers {
		s.serverTransitions(i, add)
	}
	for _, step := range s.scenario.TimeSteps {
		add(Transition{Kind: Advance, Duration: step})
	}
	return list
}

// serverTransitions adds the enabled transitions of one server.
func (s *State) serverTransitions(i int, add func(Transition)) {
	server := s.servers[i]
	unsynced := len(server.pending)
	add(Transition{Kind: Tick, Server: i})
	if unsynced > 0 {
		add(Transition{Kind: Sync, Server: i, Count: unsynced})
	}
	for written := 0; written <= unsynced; written++ {
		add(Transition{Kind: Restart, Server: i, Count: written})
	}
	add(Transition{Kind: Wipe, Server: i})
	if server.applied.index > server.node.Snapshot().Index {
		add(Transition{Kind: Compact, Server: i})
	}
	if server.node.Role() == consensus.Leader {
		add(Transition{Kind: TransferLeadership, Server: i})
	}
	if server.node.HasLease(server.clock(s.now)) {
		add(Transition{Kind: Propose, Server: i})
		s.membershipTransitions(i, add)
	}
	s.lateCallTransitions(i, add)
}

// membershipTransitions adds the membership changes that a leader may propose. It allows every single change, which is more
// than the control plane proposes. As in the control plane, a server must be a caught-up learner before it becomes a member.
func (s *State) membershipTransitions(i int, add func(Transition)) {
	leader := s.servers[i]
	if !leader.node.CanChangeMembers() {
		return
	}
	members := leader.node.Members()
	for _, member := range members {
		if len(members) == 1 {
			break // the only member can't be removed
		}
		add(Transition{Kind: DropMember, Server: i, Member: member})
	}
	for j, other := range s.servers {
		member := wire.Member{Name: other.name, Disk: diskNumber(j, other.disksLost)}
		if j == i || slices.ContainsFunc(members, func(m wire.Member) bool { return m.Name == member.Name }) {
			continue
		}
		if s.scenario.Budget[AddMember] > 0 {
			add(Transition{Kind: AddLearner, Server: i, Member: member})
		}
		if leader.node.CaughtUp(leader.clock(s.now), member) {
			add(Transition{Kind: AddMember, Server: i, Member: member})
		}
	}
}

// isEnabled reports whether a server's transition is possible in the state. It may not be while a counterexample is minimized,
// since earlier transitions are left out.
func (s *State) isEnabled(wanted Transition) bool {
	return slices.ContainsFunc(s.enabled(), func(t Transition) bool {
		return t.Kind == wanted.Kind && t.Server == wanted.Server && t.Count == wanted.Count && t.Member == wanted.Member
	})
}

// after returns the state after a transition, or nil if the transition isn't enabled.
func (s *State) after(t Transition) *State {
	switch t.Kind {
	case Deliver, Duplicate:
		return s.afterDelivery(t)
	case Advance:
		return s.afterTime(t)
	}
	if !s.isEnabled(t) {
		return nil
	}
	next := s.clone()
	next.spend(t.Kind)
	switch t.Kind {
	case Restart:
		next.restart(t.Server, t.Count)
	case Wipe:
		next.wipe(t.Server)
	case OpenLateCall:
		next.openLateCall(t.Server)
	default:
		next.step(t.Server, func(node *consensus.Node, now time.Duration) { next.stepServer(t, node, now) })
	}
	return next
}

// spend counts a transition against the budget.
func (s *State) spend(kind TransitionKind) {
	if !unlimited[kind] {
		s.spent[kind]++
	}
}

// stepServer executes a transition on a server's node.
func (s *State) stepServer(t Transition, node *consensus.Node, now time.Duration) {
	server := s.servers[t.Server]
	switch t.Kind {
	case Tick:
		node.Tick(now)
	case Sync:
		server.sync(t.Count, now)
	case Propose:
		node.Propose(now, []byte{s.spent[Propose]})
	case AddLearner:
		node.AddLearner(t.Member)
	case AddMember, DropMember:
		s.changeMembers(t, node, now)
	case Compact:
		node.Compact(now, server.applied.encode())
	case TransferLeadership:
		node.TransferLeadership(now)
	case ChangeSubject:
		node.Propose(now, laterChangeData)
	case ExecuteLateCall:
		if s.mayExecuteLateCall(node) {
			node.Propose(now, lateCallData)
		}
	}
}

func (s *State) changeMembers(t Transition, node *consensus.Node, now time.Duration) {
	members := node.Members()
	if t.Kind == AddMember {
		members = append(members, t.Member)
	} else {
		members = slices.DeleteFunc(members, func(m wire.Member) bool { return m == t.Member })
	}
	if hook := s.scenario.Faults.ChangeMembers; hook != nil {
		hook(node, now, members)
		return
	}
	node.ProposeMembers(now, members)
}

// afterTime returns the state after an Advance transition.
func (s *State) afterTime(t Transition) *State {
	next := s.clone()
	next.spend(t.Kind)
	next.now += t.Duration
	next.checkLeases()
	return next
}

// afterDelivery returns the state after the delivery of a message, or nil if the message isn't in flight.
func (s *State) afterDelivery(t Transition) *State {
	i := s.findMessage(t.message)
	if i < 0 {
		return nil
	}
	next := s.clone()
	next.spend(t.Kind)
	message := s.network[i].message
	if t.Kind == Deliver {
		next.network = slices.Delete(next.network, i, i+1)
	}
	next.step(next.serverIndex(message.To), func(node *consensus.Node, now time.Duration) {
		if hook := s.scenario.Faults.Deliver; hook != nil {
			message = copyMessage(message)
			hook(node, message)
		}
		node.Step(now, message)
	})
	return next
}
