// This file is the scenarios: where an exploration starts and what may happen in it.

package explore

import (
	"time"

	"myrtlefold/limit"
	"myrtlefold/quorum"
	"myrtlefold/wire"
)

// Scenario is a start and the bounds of what may happen from there.
type Scenario struct {
	Name        string
	About       string
	Machines    int
	Voters      int             // the first so many are members at the start
	Ghosts      int             // places of the list that are kept and nobody has
	Rates       []int64         // of the machines' clocks in thousandths, one after another; none: all run true
	SyncAtOnce  bool            // disks have no delay, which leaves depth for the rest
	MaxInFlight int             // messages under way; the oldest beyond that are lost
	Steps       []time.Duration // by which true time passes
	Budget      Budget
	Prepare     func(w *World)
	Faults      Faults
}

// Faults alter what a scenario's machines do, to see the invariants fail. The zero
// value alters nothing.
type Faults struct {
	AckEarly       func(b *wire.Batch) bool                                       // the node is told at once that b is on disk
	Restart        func(im *quorum.Image)                                         // what a restart finds on its disk
	Deliver        func(n *quorum.Node, m *wire.Msg) *wire.Msg                    // what n receives in place of m
	AfterStep      func(n *quorum.Node, now time.Duration)                        // after each step of a node
	ProposeMembers func(n *quorum.Node, now time.Duration, members []wire.Member) // in place of Node.ProposeMembers
}

// Spans of true time: a heartbeat; half of what a member that heard a leader
// refuses others; more than any timeout.
var (
	heartbeat = limit.HeartbeatEvery
	halfQuiet = limit.ElectMin/2 + limit.HeartbeatEvery/10
	timeout   = limit.ElectMin + limit.ElectSpread + limit.HeartbeatEvery
)

// driftingRates are clocks that differ by 2 %, the most that is provided for.
var driftingRates = []int64{1000, 1010, 990}

// elected has a leader that everybody follows and an agreed entry.
func elected(w *World) {
	w.settle(2 * time.Second)
	i := w.leader()
	w.act(i, func(n *quorum.Node, now time.Duration) { n.Propose(now, []byte("start")) })
	w.drain()
	w.settle(2 * heartbeat)
}

// compacted has a leader whose snapshot covers the log, so that whoever lacks
// entries needs it.
func compacted(w *World) {
	elected(w)
	i := w.leader()
	w.act(i, func(n *quorum.Node, now time.Duration) { n.Compact(now, w.machines[i].applied.encode()) })
	w.drain()
}

// Scenarios are all explorations, in the order in which they run.
var Scenarios = []Scenario{
	{
		Name: "first-start", About: "three machines start at once and none waits; disks are late",
		Machines: 3, Voters: 3, MaxInFlight: 5, Steps: []time.Duration{timeout},
		Budget: Budget{Advance: 1, Restart: 1},
	},
	{
		Name: "election", About: "no leader was heard for long: candidates, votes, late syncs, restarts, duplicates",
		Machines: 3, Voters: 3, MaxInFlight: 5, Steps: []time.Duration{timeout},
		Budget: Budget{Advance: 1, Restart: 1, Duplicate: 1}, Prepare: func(w *World) { w.now += timeout },
	},
	{
		Name: "second-leader", About: "a leader is out of touch while another is elected; clocks differ by 2 %",
		Machines: 3, Voters: 3, SyncAtOnce: true, MaxInFlight: 6, Steps: []time.Duration{heartbeat, halfQuiet, timeout}, Rates: driftingRates,
		Budget: Budget{Advance: 4, Propose: 1, Restart: 1}, Prepare: elected,
	},
	{
		Name: "late-sync", About: "a leader proposes, disks are late, processes end",
		Machines: 3, Voters: 3, MaxInFlight: 5, Steps: []time.Duration{timeout},
		Budget: Budget{Advance: 1, Propose: 2, Restart: 2}, Prepare: elected,
	},
	{
		Name: "diverged", About: "two leaders in turn propose what nobody else has yet",
		Machines: 3, Voters: 3, SyncAtOnce: true, MaxInFlight: 5, Steps: []time.Duration{timeout},
		Budget: Budget{Advance: 3, Propose: 2, Restart: 1}, Prepare: elected,
	},
	{
		Name: "members", About: "three members and a standby: changes of the list, lost disks",
		Machines: 4, Voters: 3, SyncAtOnce: true, MaxInFlight: 4, Steps: []time.Duration{timeout},
		Budget: Budget{Advance: 1, AddMember: 1, DropMember: 1, Wipe: 1, Propose: 1}, Prepare: elected,
	},
	{
		Name: "one-grows", About: "one member and a standby, the smallest core that grows",
		Machines: 2, Voters: 1, MaxInFlight: 5, Steps: []time.Duration{heartbeat, timeout},
		Budget: Budget{Advance: 3, AddMember: 1, DropMember: 1, Restart: 2, Wipe: 1, Propose: 2}, Prepare: nil,
	},
	{
		Name: "snapshot", About: "a member lost its disk or lags behind a snapshot; disks are late",
		Machines: 3, Voters: 3, MaxInFlight: 4, Steps: []time.Duration{heartbeat, timeout},
		Budget: Budget{Advance: 2, Wipe: 1, Compact: 1, Propose: 1, Restart: 1}, Prepare: compacted,
	},
	{
		Name: "handover", About: "a leader hands over while its messages are still under way",
		Machines: 3, Voters: 3, MaxInFlight: 5, Steps: []time.Duration{heartbeat, timeout},
		Budget: Budget{Advance: 2, Transfer: 2, Propose: 1, Duplicate: 1}, Prepare: elected,
	},
	{
		Name: "kept-place", About: "two members and a place that is kept for a third, which is given to a standby",
		Machines: 3, Voters: 2, Ghosts: 1, SyncAtOnce: true, MaxInFlight: 4, Steps: []time.Duration{timeout},
		Budget: Budget{Advance: 2, AddMember: 1, DropMember: 1, Restart: 1, Propose: 1}, Prepare: elected,
	},
	{
		Name: "five", About: "five machines, one leader after another",
		Machines: 5, Voters: 5, SyncAtOnce: true, MaxInFlight: 6, Steps: []time.Duration{timeout},
		Budget: Budget{Advance: 2, Propose: 1, Restart: 1}, Prepare: elected,
	},
}

// ByName is the scenario of that name, nil if there is none.
func ByName(name string) *Scenario {
	for i := range Scenarios {
		if Scenarios[i].Name == name {
			return &Scenarios[i]
		}
	}
	return nil
}
