// This file defines the scenarios: the first state of an exploration and the bounds of the events that follow.

package modelcheck

import (
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Scenario is a first state and the bounds of the exploration from there.
type Scenario struct {
	Name        string
	Description string
	// Servers is the number of servers. The first Voters of them are the initial members.
	Servers int
	Voters  int
	// VacantMembers is the number of entries in the initial member list that no server holds: they are reserved for
	// members that join later.
	VacantMembers int
	// ClockRates are the rates of the servers' clocks in thousandths of true time, assigned to the servers in turn. If it is
	// empty, all clocks run at the rate of true time.
	ClockRates []int64
	// SynchronousDisks means that disks sync at once. This saves transitions, so that a search gets deeper.
	SynchronousDisks bool
	// MaxInFlight is the maximum number of messages in flight. Beyond it the oldest are lost.
	MaxInFlight int
	// TimeSteps are the durations by which an Advance transition may move true time forward.
	TimeSteps []time.Duration
	// Budget limits how often each kind of transition occurs on a path of a search.
	Budget Budget
	// Setup brings the newly started servers to the first state. If it is nil, they stay as they are.
	Setup func(s *State)
	// LateCall adds a call that is late, see latecall.go.
	LateCall bool
	// Faults are the faults to inject.
	Faults Faults
}

// Faults change the behavior of a scenario's servers, so that tests can show that each invariant's check can fail. The zero value
// changes nothing.
type Faults struct {
	// AcknowledgeEarly reports whether to acknowledge a batch to the node before it is synced.
	AcknowledgeEarly func(batch *wire.Batch) bool
	// Restart changes the disk contents that a restarted server reads.
	Restart func(disk *consensus.PersistentState)
	// Deliver changes a copy of a message on its way to a node.
	Deliver func(node *consensus.Node, message *wire.Message)
	// AfterStep is called after each step of a node, before its output is processed.
	AfterStep func(node *consensus.Node, now time.Duration)
	// ChangeMembers is called instead of Node.ProposeMembers.
	ChangeMembers func(node *consensus.Node, now time.Duration, members []wire.Member)
	// LateCallPosition returns the position by which a leader judges the late call in place of the recorded one.
	LateCallPosition func(leader *consensus.Node, recorded consensus.Position) consensus.Position
	// Ignore names invariants whose violations are not reported, so that a test can show the violations that follow from them.
	Ignore []string
}

// The time steps of the scenarios: the heartbeat interval; slightly more than half of the time for which a member in contact
// with a leader rejects candidates; and more than the longest election timeout.
var (
	heartbeat           = tuning.HeartbeatEvery
	halfElectionTimeout = tuning.ElectionTimeoutMin/2 + tuning.HeartbeatEvery/10
	longestTimeout      = tuning.ElectionTimeoutMin + tuning.ElectionTimeoutSpread + tuning.HeartbeatEvery
)

// driftingRates are clock rates that differ by 2 %, the maximum drift that the protocol allows for.
var driftingRates = []int64{1000, 1010, 990}

// Scenarios lists all scenarios in the order in which mfsim check runs them.
var Scenarios = []Scenario{
	{
		Name:        "first-start",
		Description: "three servers start at the same time; disks sync late",
		Servers:     3,
		Voters:      3,
		MaxInFlight: 5,
		TimeSteps:   []time.Duration{longestTimeout},
		Budget:      Budget{Advance: 1, Restart: 1},
	},
	{
		Name:        "election",
		Description: "no contact to a leader for long: candidates, votes, late syncs, restarts, duplicates",
		Servers:     3,
		Voters:      3,
		MaxInFlight: 5,
		TimeSteps:   []time.Duration{longestTimeout},
		Budget:      Budget{Advance: 1, Restart: 1, Duplicate: 1},
		Setup:       setupNoContact,
	},
	{
		Name:             "second-leader",
		Description:      "a leader loses contact while another is elected; clocks differ by 2 %",
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
		Description: "a leader proposes, disks sync late, processes restart",
		Servers:     3,
		Voters:      3,
		MaxInFlight: 5,
		TimeSteps:   []time.Duration{longestTimeout},
		Budget:      Budget{Advance: 1, Propose: 2, Restart: 2},
		Setup:       setupLeader,
	},
	{
		Name:             "diverged",
		Description:      "two successive leaders propose entries that no other server has yet",
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
		Description: "a majority holds an entry of an earlier term, another server one of a term in between",
		Servers:     3,
		Voters:      3,
		MaxInFlight: 4,
		TimeSteps:   []time.Duration{longestTimeout},
		Budget:      Budget{Advance: 2, Restart: 1},
		Setup:       setupOvertaken,
	},
	{
		Name:             "members",
		Description:      "three members and a standby: membership changes, lost disks",
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
		Description: "one member and a standby: the smallest control plane that grows",
		Servers:     2,
		Voters:      1,
		MaxInFlight: 5,
		TimeSteps:   []time.Duration{heartbeat, longestTimeout},
		Budget:      Budget{Advance: 3, AddMember: 1, DropMember: 1, Restart: 2, Wipe: 1, Propose: 2},
	},
	{
		Name:        "snapshot",
		Description: "a member has lost its disk or lags behind a snapshot; disks sync late",
		Servers:     3,
		Voters:      3,
		MaxInFlight: 4,
		TimeSteps:   []time.Duration{heartbeat, longestTimeout},
		Budget:      Budget{Advance: 2, Wipe: 1, Compact: 1, Propose: 1, Restart: 1},
		Setup:       setupCompacted,
	},
	{
		Name:        "snapshot-under-way",
		Description: "a lagging member installs a snapshot; disks sync late, processes restart",
		Servers:     3,
		Voters:      3,
		MaxInFlight: 4,
		TimeSteps:   []time.Duration{longestTimeout},
		Budget:      Budget{Advance: 2, Compact: 1, Propose: 1, Restart: 2},
		Setup:       setupLaggingMember,
	},
	{
		Name:        "handover",
		Description: "a leader transfers leadership while its messages are in flight",
		Servers:     3,
		Voters:      3,
		MaxInFlight: 5,
		TimeSteps:   []time.Duration{heartbeat, longestTimeout},
		Budget:      Budget{Advance: 2, TransferLeadership: 2, Propose: 1, Duplicate: 1},
		Setup:       setupLeader,
	},
	{
		Name:             "kept-place",
		Description:      "two members and a vacant member, which a standby replaces",
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
		Description:      "five servers, one leader after another",
		Servers:          5,
		Voters:           5,
		SynchronousDisks: true,
		MaxInFlight:      6,
		TimeSteps:        []time.Duration{longestTimeout},
		Budget:           Budget{Advance: 2, Propose: 1, Restart: 1},
		Setup:            setupLeader,
	},
	{
		Name:             "late-call",
		Description:      "a caller gives a call up and makes a later change; copies of the call reach each leader late",
		Servers:          3,
		Voters:           3,
		SynchronousDisks: true,
		MaxInFlight:      4,
		TimeSteps:        []time.Duration{longestTimeout},
		Budget:           Budget{Advance: 2, Restart: 1, OpenLateCall: 1, ChangeSubject: 1, ExecuteLateCall: 2},
		Setup:            setupLeader,
		LateCall:         true,
	},
}

// ScenarioByName returns the scenario with the given name, or nil if there is none.
func ScenarioByName(name string) *Scenario {
	for i := range Scenarios {
		if Scenarios[i].Name == name {
			return &Scenarios[i]
		}
	}
	return nil
}
