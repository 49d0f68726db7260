// This file is the scenarios: where an exploration starts and what may happen in it.

package modelcheck

import (
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Scenario is a start and the bounds of what may happen from there.
type Scenario struct {
	Name             string
	Description      string
	Machines         int
	Voters           int             // the first so many are members at the start
	VacantMembers    int             // places of the list that are kept and nobody has
	ClockRates       []int64         // of the machines' clocks in thousandths, one after another; none: all run true
	SynchronousDisks bool            // disks have no delay, which leaves depth for the rest
	MaxInFlight      int             // messages under way; the oldest beyond that are lost
	TimeSteps        []time.Duration // by which true time passes
	Budget           Budget
	Setup            func(w *State)
	Faults           Faults
}

// Faults alter what a scenario's machines do, to see the invariants fail. The zero
// value alters nothing.
type Faults struct {
	// AcknowledgeEarly says which batches the node is told are on disk before they are.
	AcknowledgeEarly func(b *wire.Batch) bool
	// Restart changes what a restart finds on its disk.
	Restart func(im *consensus.PersistentState)
	// Deliver changes a copy of a message on its way to n.
	Deliver func(n *consensus.Node, m *wire.Message)
	// AfterStep is called after each step of a node.
	AfterStep func(n *consensus.Node, now time.Duration)
	// ChangeMembers is called in place of Node.ProposeMembers.
	ChangeMembers func(n *consensus.Node, now time.Duration, members []wire.Member)
	// Ignore names invariants that are not looked at, so that what follows shows.
	Ignore []string
}

// Spans of true time: a heartbeat; half of what a member that heard a leader
// refuses others; more than any timeout.
var (
	heartbeat = tuning.HeartbeatEvery
	halfQuiet = tuning.ElectionTimeoutMin/2 + tuning.HeartbeatEvery/10
	timeout   = tuning.ElectionTimeoutMin + tuning.ElectionTimeoutSpread + tuning.HeartbeatEvery
)

// driftingRates are clocks that differ by 2 %, the most that is provided for.
var driftingRates = []int64{1000, 1010, 990}

// elected has a leader that everybody follows and an agreed entry.
func elected(w *State) {
	w.settle(2 * time.Second)
	i := w.leader()
	w.act(i, func(n *consensus.Node, now time.Duration) { n.Propose(now, []byte("start")) })
	w.drain()
	w.settle(2 * heartbeat)
}

// compacted has a leader whose snapshot covers the log, so that whoever lacks
// entries needs it.
func compacted(w *State) {
	elected(w)
	i := w.leader()
	w.act(i, func(n *consensus.Node, now time.Duration) { n.Compact(now, w.machines[i].applied.encode()) })
	w.drain()
}

// electWith has machine i elected by the vote of j alone, with nothing else delivered.
func electWith(w *State, i, j int) {
	w.network = nil
	before := w.machines[i].node.Term()
	for w.machines[i].node.Role() != consensus.Leader || w.machines[i].node.Term() == before {
		for _, k := range []int{i, j} {
			w.act(k, func(_ *consensus.Node, now time.Duration) { w.sync(w.machines[k], len(w.machines[k].pending), now) })
		}
		w.network = slices.DeleteFunc(w.network, func(p packet) bool { to := w.place(p.m.To); return to != i && to != j })
		if len(w.network) == 0 {
			w.now += timeout
			w.act(i, func(n *consensus.Node, now time.Duration) { n.Tick(now) })
			continue
		}
		p := w.network[0]
		w.network = w.network[1:]
		w.act(w.place(p.m.To), func(n *consensus.Node, now time.Duration) { n.Step(now, p.m) })
	}
}

// overtaken has a majority that holds an entry of the first term, of which the leader
// of the third has restarted before it synced an entry of its own, and another
// machine with one of the second term at the same place: the case in which a
// majority that holds an entry of an earlier term does not make it committed
// (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 5.4.2).
func overtaken(w *State) {
	elected(w)
	a := w.leader()
	b, c := (a+1)%len(w.machines), (a+2)%len(w.machines)
	w.act(a, func(n *consensus.Node, now time.Duration) { n.Propose(now, []byte("first")) })
	w.network = nil
	w.drain()
	electWith(w, c, b)
	w.network = nil
	w.drain()
	electWith(w, a, b)
	w.passBetween(a, b)
	w.restart(a, 0)
	w.network = nil
}

// passBetween delivers what two machines have for each other and syncs the second one's disk.
func (w *State) passBetween(i, j int) {
	for len(w.network) > 0 {
		p := w.network[0]
		w.network = w.network[1:]
		if to := w.place(p.m.To); to == i || to == j {
			w.act(to, func(n *consensus.Node, now time.Duration) { n.Step(now, p.m) })
		}
		w.act(j, func(_ *consensus.Node, now time.Duration) { w.sync(w.machines[j], len(w.machines[j].pending), now) })
	}
}

// lagging has a member that lacks entries which the leader's snapshot covers, and
// the snapshot for it is under way.
func lagging(w *State) {
	elected(w)
	i := w.leader()
	late := w.machines[(i+1)%len(w.machines)].name
	for range 2 {
		w.act(i, func(n *consensus.Node, now time.Duration) { n.Propose(now, []byte("more")) })
		w.drainExcept(late)
	}
	w.act(i, func(n *consensus.Node, now time.Duration) { n.Compact(now, w.machines[i].applied.encode()) })
	w.drainExcept(late)
	w.restart(i, 0) // what a leader keeps of the compacted log in memory is gone
	electWith(w, i, (i+2)%len(w.machines))
	for range 20 {
		if slices.ContainsFunc(w.network, func(p packet) bool { return p.m.Append != nil && p.m.Append.Chunk != nil }) {
			return
		}
		if len(w.network) == 0 {
			w.now += heartbeat
			w.act(i, func(n *consensus.Node, now time.Duration) { n.Tick(now) })
			continue
		}
		p := w.network[0]
		w.network = w.network[1:]
		w.act(w.place(p.m.To), func(n *consensus.Node, now time.Duration) { n.Step(now, p.m) })
	}
	panic("no snapshot is under way")
}

// Scenarios are all explorations, in the order in which they run.
var Scenarios = []Scenario{
	{
		Name: "first-start", Description: "three machines start at once and none waits; disks are late",
		Machines: 3, Voters: 3, MaxInFlight: 5, TimeSteps: []time.Duration{timeout},
		Budget: Budget{Advance: 1, Restart: 1},
	},
	{
		Name: "election", Description: "no leader was heard for long: candidates, votes, late syncs, restarts, duplicates",
		Machines: 3, Voters: 3, MaxInFlight: 5, TimeSteps: []time.Duration{timeout},
		Budget: Budget{Advance: 1, Restart: 1, Duplicate: 1}, Setup: func(w *State) { w.now += timeout },
	},
	{
		Name: "second-leader", Description: "a leader is out of touch while another is elected; clocks differ by 2 %",
		Machines: 3, Voters: 3, SynchronousDisks: true, MaxInFlight: 6, TimeSteps: []time.Duration{heartbeat, halfQuiet, timeout}, ClockRates: driftingRates,
		Budget: Budget{Advance: 4, Propose: 1, Restart: 1}, Setup: elected,
	},
	{
		Name: "late-sync", Description: "a leader proposes, disks are late, processes end",
		Machines: 3, Voters: 3, MaxInFlight: 5, TimeSteps: []time.Duration{timeout},
		Budget: Budget{Advance: 1, Propose: 2, Restart: 2}, Setup: elected,
	},
	{
		Name: "diverged", Description: "two leaders in turn propose what nobody else has yet",
		Machines: 3, Voters: 3, SynchronousDisks: true, MaxInFlight: 5, TimeSteps: []time.Duration{timeout},
		Budget: Budget{Advance: 3, Propose: 2, Restart: 1}, Setup: elected,
	},
	{
		Name: "overtaken", Description: "a majority holds an entry of an earlier term, another machine one of a term between",
		Machines: 3, Voters: 3, MaxInFlight: 4, TimeSteps: []time.Duration{timeout},
		Budget: Budget{Advance: 2, Restart: 1}, Setup: overtaken,
	},
	{
		Name: "members", Description: "three members and a standby: changes of the list, lost disks",
		Machines: 4, Voters: 3, SynchronousDisks: true, MaxInFlight: 4, TimeSteps: []time.Duration{timeout},
		Budget: Budget{Advance: 1, AddMember: 1, DropMember: 1, Wipe: 1, Propose: 1}, Setup: elected,
	},
	{
		Name: "one-grows", Description: "one member and a standby, the smallest core that grows",
		Machines: 2, Voters: 1, MaxInFlight: 5, TimeSteps: []time.Duration{heartbeat, timeout},
		Budget: Budget{Advance: 3, AddMember: 1, DropMember: 1, Restart: 2, Wipe: 1, Propose: 2}, Setup: nil,
	},
	{
		Name: "snapshot", Description: "a member lost its disk or lags behind a snapshot; disks are late",
		Machines: 3, Voters: 3, MaxInFlight: 4, TimeSteps: []time.Duration{heartbeat, timeout},
		Budget: Budget{Advance: 2, Wipe: 1, Compact: 1, Propose: 1, Restart: 1}, Setup: compacted,
	},
	{
		Name: "snapshot-under-way", Description: "a lagging member takes a snapshot in; disks are late, processes end",
		Machines: 3, Voters: 3, MaxInFlight: 4, TimeSteps: []time.Duration{timeout},
		Budget: Budget{Advance: 2, Compact: 1, Propose: 1, Restart: 2}, Setup: lagging,
	},
	{
		Name: "handover", Description: "a leader hands over while its messages are still under way",
		Machines: 3, Voters: 3, MaxInFlight: 5, TimeSteps: []time.Duration{heartbeat, timeout},
		Budget: Budget{Advance: 2, TransferLeadership: 2, Propose: 1, Duplicate: 1}, Setup: elected,
	},
	{
		Name: "kept-place", Description: "two members and a place that is kept for a third, which is given to a standby",
		Machines: 3, Voters: 2, VacantMembers: 1, SynchronousDisks: true, MaxInFlight: 4, TimeSteps: []time.Duration{timeout},
		Budget: Budget{Advance: 2, AddMember: 1, DropMember: 1, Restart: 1, Propose: 1}, Setup: elected,
	},
	{
		Name: "five", Description: "five machines, one leader after another",
		Machines: 5, Voters: 5, SynchronousDisks: true, MaxInFlight: 6, TimeSteps: []time.Duration{timeout},
		Budget: Budget{Advance: 2, Propose: 1, Restart: 1}, Setup: elected,
	},
}

// ScenarioByName is the scenario of that name, nil if there is none.
func ScenarioByName(name string) *Scenario {
	for i := range Scenarios {
		if Scenarios[i].Name == name {
			return &Scenarios[i]
		}
	}
	return nil
}
