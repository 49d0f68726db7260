// This file lists the transitions that are enabled in a state, and takes them.

package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

// TransitionKind is what happens in a transition.
type TransitionKind uint8

// The kinds of transitions.
const (
	Deliver            TransitionKind = iota // a message arrives
	Duplicate                                // a message arrives and stays in flight
	Tick                                     // a process looks at its clock
	Sync                                     // the disk has synced all Count batches
	Advance                                  // true time passes for all servers
	Restart                                  // a process ends and starts again; Count unsynced batches had been written
	Wipe                                     // the same with its disk lost
	Propose                                  // a leader adds an entry
	AddLearner                               // a leader replicates to Member
	AddMember                                // a leader proposes the list with Member
	DropMember                               // a leader proposes the list without Member
	Compact                                  // a process replaces its log by a snapshot
	TransferLeadership                       // a leader hands over
	kindCount
)

// String returns the kind's name in a counterexample.
func (k TransitionKind) String() string {
	return [...]string{"deliver", "deliver and keep", "tick", "sync", "advance", "restart", "wipe", "propose", "learn", "add", "drop", "compact", "transfer"}[k]
}

// Budget bounds how often each kind of transition happens from the start on. Kinds that are bounded by what there is
// (messages, batches) need none.
type Budget [kindCount]uint8

// unlimited are the kinds that have no budget.
var unlimited = [kindCount]bool{Deliver: true, Tick: true, Sync: true, AddLearner: true}

// Transition is one event. Which fields count depends on its kind.
type Transition struct {
	Kind     TransitionKind
	Server   int           // its index
	Count    int           // of batches
	Duration time.Duration // that passes
	Member   wire.Member
	message  networkMessage // that arrives
}

// String returns the transition's line in a counterexample.
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
		return fmt.Sprintf("append reply ok %v match %d", appended.Success, appended.MatchIndex)
	}
	text := fmt.Sprintf("append after %d/%d commit %d entries", appended.PrevIndex, appended.PrevTerm, appended.Commit)
	for _, entry := range appended.Entries {
		text += fmt.Sprintf(" %d/%d", entry.Index, entry.Term)
	}
	if chunk := appended.Chunk; chunk != nil {
		text += fmt.Sprintf(" piece of %d/%d at %d", chunk.Index, chunk.Term, chunk.Offset)
	}
	return text
}

// enabled lists the transitions that may come next, in a fixed order.
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

// serverTransitions adds what one server may do.
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
}

// membershipTransitions adds the membership changes that a leader may propose: any one change, more than the control plane
// would choose. As there, a server learns first.
func (s *State) membershipTransitions(i int, add func(Transition)) {
	leader := s.servers[i]
	if !leader.node.CanChangeMembers() {
		return
	}
	members := leader.node.Members()
	for _, member := range members {
		if len(members) == 1 {
			break // nobody would be left
		}
		add(Transition{Kind: DropMember, Server: i, Member: member})
	}
	for j, other := range s.servers {
		member := wire.Member{Name: other.name, Disk: diskNumber(j, other.disks)}
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

// isEnabled says whether a server's transition may come next. In a counterexample that is being minimized it may not.
func (s *State) isEnabled(wanted Transition) bool {
	return slices.ContainsFunc(s.enabled(), func(t Transition) bool {
		return t.Kind == wanted.Kind && t.Server == wanted.Server && t.Count == wanted.Count && t.Member == wanted.Member
	})
}

// after returns the state after a transition, nil if it isn't enabled.
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
	default:
		next.step(t.Server, func(node *consensus.Node, now time.Duration) { next.stepServer(t, node, now) })
	}
	return next
}

// spend counts a transition towards the budget.
func (s *State) spend(kind TransitionKind) {
	if !unlimited[kind] {
		s.spent[kind]++
	}
}

// stepServer has a server's node take the step of a transition.
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

// afterTime returns the state after time has passed.
func (s *State) afterTime(t Transition) *State {
	next := s.clone()
	next.spend(t.Kind)
	next.now += t.Duration
	next.checkLeases()
	return next
}

// afterDelivery returns the state after a message has arrived, nil if it isn't in flight.
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
