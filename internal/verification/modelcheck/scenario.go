// This file is the scenarios: where the model checker begins, and what may happen then.

package modelcheck

import (
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Scenario is a first state, and the bounds of what may happen from there.
type Scenario struct {
	Name        string
	Description string
	// Servers is how many servers there are. The first Voters of them are members at the start.
	Servers int
	Voters  int
	// VacantMembers is how many entries of the member list are kept for a member to come.
	VacantMembers int
	// ClockRates are the rates of the servers' clocks in thousandths, one after another; without any all run true.
	ClockRates []int64
	// SynchronousDisks sync at once, which leaves depth for the rest.
	SynchronousDisks bool
	// MaxInFlight is how many messages are in flight at most; beyond that the oldest are lost.
	MaxInFlight int
	// TimeSteps are the spans by which true time passes.
	TimeSteps []time.Duration
	// Budget bounds the transitions of a search.
	Budget Budget
	// Setup brings the servers, which have just started, to the first state. Nil leaves them so.
	Setup func(s *State)
	// Faults are injected.
	Faults Faults
}

// Faults change what a scenario's servers do, to see the invariants broken. The zero value changes nothing.
type Faults struct {
	// AcknowledgeEarly says which batches are reported to the node as synced before they are.
	AcknowledgeEarly func(batch *wire.Batch) bool
	// Restart changes what a restart finds on its disk.
	Restart func(disk *consensus.PersistentState)
	// Deliver changes a copy of a message on its way to a node.
	Deliver func(node *consensus.Node, message *wire.Message)
	// AfterStep is called after each step of a node.
	AfterStep func(node *consensus.Node, now time.Duration)
	// ChangeMembers is called in place of Node.ProposeMembers.
	ChangeMembers func(node *consensus.Node, now time.Duration, members []wire.Member)
	// Ignore names invariants that are not checked, so that those that break in consequence show.
	Ignore []string
}

// The spans by which true time passes: a heartbeat's interval; half of the time for which a member with contact to a leader
// rejects candidates, and a bit; more than any election's time-out.
var (
	heartbeat           = tuning.HeartbeatEvery
	halfElectionTimeout = tuning.ElectionTimeoutMin/2 + tuning.HeartbeatEvery/10
	longestTimeout      = tuning.ElectionTimeoutMin + tuning.ElectionTimeoutSpread + tuning.HeartbeatEvery
)

// driftingRates are clocks that differ by 2 %, the most that is provided for.
var driftingRates = []int64{1000, 1010, 990}

// Scenarios are all scenarios, in the order in which they run.
var Scenarios = []Scenario{
	{
		Name:        "first-start",
		Description: "three machines start at once and none waits; disks are late",
		Servers:     3,
		Voters:      3,
		MaxInFlight: 5,
		TimeSteps:   []time.Duration{longestTimeout},
		Budget:      Budget{Advance: 1, Restart: 1},
	},
	{
		Name:        "election",
		Description: "no leader was heard for long: candidates, votes, late syncs, restarts, duplicates",
		Servers:     3,
		Voters:      3,
		MaxInFlight: 5,
		TimeSteps:   []time.Duration{longestTimeout},
		Budget:      Budget{Advance: 1, Restart: 1, Duplicate: 1},
		Setup:       setupNoContact,
	},
	{
		Name:             "second-leader",
		Description:      "a leader is out of touch while another is elected; clocks differ by 2 %",
		Servers:          3,
		Voters:           3,
		SynchronousDisks: true,
		MaxInFlight:      6,
		TimeSteps:        []time.Duration{heartbeat, halfElectionTimeout, longestTimeout},
		ClockRates:       driftingRates,
		Budget:           Budget{Advance: 4, Propose: 1, Restart: 1},
		Setup:            setupLeader,
	},
	{
		Name:        "late-sync",
		Description: "a leader proposes, disks are late, processes end",
		Servers:     3,
		Voters:      3,
		MaxInFlight: 5,
		TimeSteps:   []time.Duration{longestTimeout},
		Budget:      Budget{Advance: 1, Propose: 2, Restart: 2},
		Setup:       setupLeader,
	},
	{
		Name:             "diverged",
		Description:      "two leaders in turn propose what nobody else has yet",
		Servers:          3,
		Voters:           3,
		SynchronousDisks: true,
		MaxInFlight:      5,
		TimeSteps:        []time.Duration{longestTimeout},
		Budget:           Budget{Advance: 3, Propose: 2, Restart: 1},
		Setup:            setupLeader,
	},
	{
		Name:        "overtaken",
		Description: "a majority holds an entry of an earlier term, another machine one of a term between",
		Servers:     3,
		Voters:      3,
		MaxInFlight: 4,
		TimeSteps:   []time.Duration{longestTimeout},
		Budget:      Budget{Advance: 2, Restart: 1},
		Setup:       setupOvertaken,
	},
	{
		Name:             "members",
		Description:      "three members and a standby: changes of the list, lost disks",
		Servers:          4,
		Voters:           3,
		SynchronousDisks: true,
		MaxInFlight:      4,
		TimeSteps:        []time.Duration{longestTimeout},
		Budget:           Budget{Advance: 1, AddMember: 1, DropMember: 1, Wipe: 1, Propose: 1},
		Setup:            setupLeader,
	},
	{
		Name:        "one-grows",
		Description: "one member and a standby, the smallest core that grows",
		Servers:     2,
		Voters:      1,
		MaxInFlight: 5,
		TimeSteps:   []time.Duration{heartbeat, longestTimeout},
		Budget:      Budget{Advance: 3, AddMember: 1, DropMember: 1, Restart: 2, Wipe: 1, Propose: 2},
	},
	{
		Name:        "snapshot",
		Description: "a member lost its disk or lags behind a snapshot; disks are late",
		Servers:     3,
		Voters:      3,
		MaxInFlight: 4,
		TimeSteps:   []time.Duration{heartbeat, longestTimeout},
		Budget:      Budget{Advance: 2, Wipe: 1, Compact: 1, Propose: 1, Restart: 1},
		Setup:       setupCompacted,
	},
	{
		Name:        "snapshot-under-way",
		Description: "a lagging member takes a snapshot in; disks are late, processes end",
		Servers:     3,
		Voters:      3,
		MaxInFlight: 4,
		TimeSteps:   []time.Duration{longestTimeout},
		Budget:      Budget{Advance: 2, Compact: 1, Propose: 1, Restart: 2},
		Setup:       setupLaggingMember,
	},
	{
		Name:        "handover",
		Description: "a leader hands over while its messages are still under way",
		Servers:     3,
		Voters:      3,
		MaxInFlight: 5,
		TimeSteps:   []time.Duration{heartbeat, longestTimeout},
		Budget:      Budget{Advance: 2, TransferLeadership: 2, Propose: 1, Duplicate: 1},
		Setup:       setupLeader,
	},
	{
		Name:             "kept-place",
		Description:      "two members and a place that is kept for a third, which is given to a standby",
		Servers:          3,
		Voters:           2,
		VacantMembers:    1,
		SynchronousDisks: true,
		MaxInFlight:      4,
		TimeSteps:        []time.Duration{longestTimeout},
		Budget:           Budget{Advance: 2, AddMember: 1, DropMember: 1, Restart: 1, Propose: 1},
		Setup:            setupLeader,
	},
	{
		Name:             "five",
		Description:      "five machines, one leader after another",
		Servers:          5,
		Voters:           5,
		SynchronousDisks: true,
		MaxInFlight:      6,
		TimeSteps:        []time.Duration{longestTimeout},
		Budget:           Budget{Advance: 2, Propose: 1, Restart: 1},
		Setup:            setupLeader,
	},
}

// ScenarioByName returns the scenario of that name, nil if there is none.
func ScenarioByName(name string) *Scenario {
	for i := range Scenarios {
		if Scenarios[i].Name == name {
			return &Scenarios[i]
		}
	}
	return nil
}
