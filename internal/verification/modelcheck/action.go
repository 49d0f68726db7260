// This file lists what may happen next in a state and makes it happen.

package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

// TransitionKind is what sort of action it is.
type TransitionKind uint8

// The kinds of actions.
const (
	Deliver            TransitionKind = iota // a message arrives
	Duplicate                                // a message arrives and stays under way
	Tick                                     // a process looks at its clock
	Sync                                     // the disk has synced all Count batches
	Advance                                  // true time passes for all machines
	Restart                                  // a process ends and starts again; Count unsynced batches had been written
	Wipe                                     // the same with its disk lost
	Propose                                  // a leader adds an entry
	AddLearner                               // a leader keeps Member up to date
	AddMember                                // a leader proposes the list with Member
	DropMember                               // a leader proposes the list without Member
	Compact                                  // a process replaces its log by a snapshot
	TransferLeadership                       // a leader hands over
	kinds
)

func (k TransitionKind) String() string {
	return [...]string{"deliver", "deliver and keep", "tick", "sync", "advance", "restart", "wipe", "propose", "learn", "add", "drop", "compact", "transfer"}[k]
}

// Budget bounds how often each kind of action happens on a way from the start;
// kinds that are bounded by what there is (messages, batches) have no budget.
type Budget [kinds]uint8

// free are the kinds that are not counted.
var free = [kinds]bool{Deliver: true, Tick: true, Sync: true, AddLearner: true}

// Transition is one event.
type Transition struct {
	Kind     TransitionKind
	Machine  int
	Count    int
	Duration time.Duration
	Member   wire.Member
	packet   packet
}

func (a Transition) String() string {
	switch a.Kind {
	case Deliver, Duplicate:
		return fmt.Sprintf("%v %s", a.Kind, describe(a.packet.m))
	case Advance:
		return fmt.Sprintf("advance %v", a.Duration)
	case Sync, Restart:
		return fmt.Sprintf("%s: %v, %d batches", machineName(a.Machine), a.Kind, a.Count)
	case AddLearner, AddMember, DropMember:
		return fmt.Sprintf("%s: %v %s/%d", machineName(a.Machine), a.Kind, a.Member.Name, a.Member.Disk)
	}
	return fmt.Sprintf("%s: %v", machineName(a.Machine), a.Kind)
}

func describe(m *wire.Message) string {
	s := fmt.Sprintf("%s/%d>%s term %d ", m.From, m.Disk, m.To, m.Term)
	if v := m.Vote; v != nil {
		return s + fmt.Sprintf("vote%+v", *v)
	}
	a := *m.Append
	if a.Reply {
		return s + fmt.Sprintf("append reply ok %v match %d", a.Success, a.MatchIndex)
	}
	s += fmt.Sprintf("append after %d/%d commit %d entries", a.PrevIndex, a.PrevTerm, a.Commit)
	for _, e := range a.Entries {
		s += fmt.Sprintf(" %d/%d", e.Index, e.Term)
	}
	if a.Chunk != nil {
		s += fmt.Sprintf(" piece of %d/%d at %d", a.Chunk.Index, a.Chunk.Term, a.Chunk.Offset)
	}
	return s
}

// actions lists what may happen next, in a fixed order.
func (w *State) actions() []Transition {
	var as []Transition
	add := func(a Transition) {
		if free[a.Kind] || w.used[a.Kind] < w.scenario.Budget[a.Kind] {
			as = append(as, a)
		}
	}
	for _, p := range w.network {
		add(Transition{Kind: Deliver, packet: p})
		add(Transition{Kind: Duplicate, packet: p})
	}
	for i, m := range w.machines {
		add(Transition{Kind: Tick, Machine: i})
		if k := len(m.pending); k > 0 {
			add(Transition{Kind: Sync, Machine: i, Count: k})
		}
		for k := 0; k <= len(m.pending); k++ {
			add(Transition{Kind: Restart, Machine: i, Count: k})
		}
		add(Transition{Kind: Wipe, Machine: i})
		if m.applied.index > m.node.Snapshot().Index {
			add(Transition{Kind: Compact, Machine: i})
		}
		if m.node.Role() == consensus.Leader {
			add(Transition{Kind: TransferLeadership, Machine: i})
		}
		if m.node.HasLease(m.clock(w.now)) {
			add(Transition{Kind: Propose, Machine: i})
			w.memberActions(i, m, add)
		}
	}
	for _, d := range w.scenario.TimeSteps {
		add(Transition{Kind: Advance, Duration: d})
	}
	return as
}

// memberActions are the changes of members that a leader may propose: any one
// change, more than the core would choose. As in the core, one learns first.
func (w *State) memberActions(i int, m *machine, add func(Transition)) {
	if !m.node.CanChangeMembers() {
		return
	}
	members := m.node.Members()
	for _, member := range members {
		if len(members) == 1 {
			break // nobody would be left
		}
		add(Transition{Kind: DropMember, Machine: i, Member: member})
	}
	for j, other := range w.machines {
		member := wire.Member{Name: other.name, Disk: diskNumber(j, other.disks)}
		if j == i || slices.ContainsFunc(members, func(k wire.Member) bool { return k.Name == member.Name }) {
			continue
		}
		if w.scenario.Budget[AddMember] > 0 {
			add(Transition{Kind: AddLearner, Machine: i, Member: member})
		}
		if m.node.CaughtUp(m.clock(w.now), member) {
			add(Transition{Kind: AddMember, Machine: i, Member: member})
		}
	}
}

// next is the state after an action, nil if the action is not possible here.
func (w *State) next(a Transition) *State {
	if a.Kind != Deliver && a.Kind != Duplicate && a.Kind != Advance && !w.possible(a) {
		return nil
	}
	c := w.clone()
	if !free[a.Kind] {
		c.used[a.Kind]++
	}
	step := func(f func(n *consensus.Node, now time.Duration)) { c.act(a.Machine, f) }
	switch a.Kind {
	case Deliver, Duplicate:
		return c.deliver(a)
	case Tick:
		step(func(n *consensus.Node, now time.Duration) { n.Tick(now) })
	case Sync:
		step(func(_ *consensus.Node, now time.Duration) { c.sync(c.machines[a.Machine], a.Count, now) })
	case Advance:
		c.now += a.Duration
		c.checkLeases()
	case Restart:
		c.restart(a.Machine, a.Count)
	case Wipe:
		c.wipe(a.Machine)
	case Propose:
		step(func(n *consensus.Node, now time.Duration) { n.Propose(now, []byte{c.used[Propose]}) })
	case AddLearner:
		step(func(n *consensus.Node, _ time.Duration) { n.AddLearner(a.Member) })
	case AddMember, DropMember:
		step(func(n *consensus.Node, now time.Duration) { c.changeMembers(n, now, a) })
	case Compact:
		step(func(n *consensus.Node, now time.Duration) { n.Compact(now, c.machines[a.Machine].applied.encode()) })
	case TransferLeadership:
		step(func(n *consensus.Node, now time.Duration) { n.TransferLeadership(now) })
	}
	return c
}

// possible says whether a machine can do what a trace, of which something may
// have been left out, has it do here.
func (w *State) possible(a Transition) bool {
	return slices.ContainsFunc(w.actions(), func(b Transition) bool {
		return a.Kind == b.Kind && a.Machine == b.Machine && a.Count == b.Count && a.Member == b.Member
	})
}

func (w *State) deliver(a Transition) *State {
	i := slices.IndexFunc(w.network, func(p packet) bool { return p.id == a.packet.id })
	if i < 0 {
		i = slices.IndexFunc(w.network, func(p packet) bool { return describe(p.m) == describe(a.packet.m) })
	}
	if i < 0 {
		return nil
	}
	c := w.clone()
	if a.Kind == Duplicate {
		c.used[Duplicate]++
	} else {
		c.network = slices.Delete(c.network, i, i+1)
	}
	msg := w.network[i].m
	c.act(c.place(msg.To), func(n *consensus.Node, now time.Duration) {
		if hook := w.scenario.Faults.Deliver; hook != nil {
			msg = copyOf(msg)
			hook(n, msg)
		}
		n.Step(now, msg)
	})
	return c
}

func copyOf(m *wire.Message) *wire.Message {
	c := *m
	if m.Vote != nil {
		v := *m.Vote
		c.Vote = &v
	}
	if m.Append != nil {
		a := *m.Append
		c.Append = &a
	}
	return &c
}

func (w *State) changeMembers(n *consensus.Node, now time.Duration, a Transition) {
	members := n.Members()
	if a.Kind == AddMember {
		members = append(members, a.Member)
	} else {
		members = slices.DeleteFunc(members, func(m wire.Member) bool { return m == a.Member })
	}
	if hook := w.scenario.Faults.ChangeMembers; hook != nil {
		hook(n, now, members)
		return
	}
	n.ProposeMembers(now, members)
}
