// Package modelcheck is a model checker for the production consensus.Node. It explores the event orders that a scenario allows
// in a small cluster, and checks invariants in every state that it reaches. Messages arrive in any order, late, twice or
// never; syncs complete late; servers restart with all, none or a part of their unsynced writes; servers pause while time
// passes; and there are membership changes, snapshots and leadership transfers.
//
// Search explores breadth first within the scenario's bounds, and treats states of the same canonical form as equal. Walk takes
// long random walks. A violation is reported with a counterexample: a shortest sequence of transitions from a search, or a
// minimized random walk. The package checks neither liveness properties nor the control plane above consensus; the package
// simulator does.
//
// State in this file is the entry point to the code. The invariants are in invariant.go, the transitions in transition.go and
// the scenarios in scenario.go.
package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

const (
	// epoch is the epoch of all servers. Only a bootstrap by the control plane, which isn't modeled, changes the epoch.
	epoch = 1
	// firstIndex is the index of the initial snapshot in every scenario.
	firstIndex = 1
	// startTime is the true time at which scenarios begin. It is far from zero, so that no time computed from it is zero or
	// negative.
	startTime = time.Minute
)

// State is one state of the cluster. It is immutable once it is reached: a transition creates a new State, which shares all
// servers with the old one except the server that took the step.
type State struct {
	scenario  *Scenario
	now       time.Duration // true time
	servers   []*server
	network   []networkMessage // messages in flight, oldest first
	spent     Budget           // number of budgeted transitions of each kind taken so far
	history   history
	lateCall  lateCall
	violation string // violated invariant and a description; "" if none
}

// newState starts the scenario's servers and runs its Setup.
func newState(scenario *Scenario) *State {
	s := &State{scenario: scenario, now: startTime}
	members := scenario.members()
	for i := range scenario.Servers {
		s.servers = append(s.servers, s.newServer(i, members))
	}
	s.history.committed = []commitRecord{{stateMachine: stateMachine{index: firstIndex}}}
	if scenario.Setup != nil {
		scenario.Setup(s)
		s.spent = Budget{}
	}
	return s
}

// members returns the initial member list, including vacant members.
func (scenario *Scenario) members() (members []wire.Member) {
	for i := range scenario.Voters {
		members = append(members, wire.Member{Name: serverName(i), Disk: diskNumber(i, 0)})
	}
	for i := range scenario.VacantMembers {
		members = append(members, wire.Member{Name: fmt.Sprintf("%s-kept", serverName(i))})
	}
	return members
}

// serverIndex returns the index of the server with the given name, or -1 if there is none.
func (s *State) serverIndex(name string) int {
	return slices.IndexFunc(s.servers, func(server *server) bool { return server.name == name })
}

// leader returns the index of the server that holds the lease, or -1 if none does.
func (s *State) leader() int {
	return slices.IndexFunc(s.servers, func(server *server) bool { return server.node.HasLease(server.clock(s.now)) })
}

// clone returns a copy of the state that shares the servers.
func (s *State) clone() *State {
	c := *s
	c.servers = slices.Clone(s.servers)
	c.network = slices.Clone(s.network)
	c.history = s.history.clone()
	return &c
}

// cloneServer replaces a shared server with a copy that may be modified, and returns the copy.
func (s *State) cloneServer(i int) *server {
	s.servers[i] = s.servers[i].clone()
	return s.servers[i]
}

// step calls a step function on server i's node, processes the node's output and checks the invariants. It modifies the state,
// which therefore must be a new clone or, during setup, the first state.
func (s *State) step(i int, step func(node *consensus.Node, now time.Duration)) {
	server := s.cloneServer(i)
	defer s.recoverPanic(server)
	now := server.clock(s.now)
	step(server.node, now)
	if hook := s.scenario.Faults.AfterStep; hook != nil {
		hook(server.node, now)
	}
	s.processReady(server, now)
	s.check(i)
}

// recoverPanic turns a panic into a violation. It must be called by defer.
func (s *State) recoverPanic(server *server) {
	if r := recover(); r != nil {
		s.fail(NoPanic, "%s: %v", server.name, r)
	}
}

// processReady processes the node's output until there is no more: batches go to the disk, messages to the network, and
// snapshots and committed entries to the state machine.
func (s *State) processReady(server *server, now time.Duration) {
	for {
		ready := server.node.Ready()
		if len(ready.Batches)+len(ready.Messages)+len(ready.CommittedEntries) == 0 && ready.Snapshot == nil {
			return
		}
		for _, message := range ready.Messages {
			s.checkSent(server, message)
			s.send(message)
		}
		server.applyReady(&ready)
		server.pending = append(server.pending, ready.Batches...)
		if s.scenario.SynchronousDisks {
			server.sync(len(server.pending), now)
			continue
		}
		for _, batch := range ready.Batches {
			if early := s.scenario.Faults.AcknowledgeEarly; early != nil && early(batch) {
				server.node.Advance(now, batch.Seq)
			}
		}
	}
}

// restart ends a server's process and starts it again from its disk. Of its pending batches, the first written ones are on
// disk; the others are lost.
func (s *State) restart(i, written int) {
	server := s.cloneServer(i)
	for _, batch := range server.pending[:written] {
		server.disk.ApplyBatch(batch)
	}
	if hook := s.scenario.Faults.Restart; hook != nil {
		hook(&server.disk)
	}
	s.start(i, server)
}

// wipe restarts a server with an empty disk. The server knows the epoch but no members, as when the control plane lets a new
// daemon join.
func (s *State) wipe(i int) {
	server := s.cloneServer(i)
	server.disksLost++
	server.disk = consensus.PersistentState{Epoch: epoch, Disk: diskNumber(i, server.disksLost)}
	s.start(i, server)
}

// start starts a server's process from the state on its disk.
func (s *State) start(i int, server *server) {
	defer s.recoverPanic(server)
	server.pending = nil
	server.applied = stateMachine{}
	if server.disk.Snapshot.Index > 0 {
		server.applied = decodeStateMachine(server.disk.Snapshot.Data)
	}
	server.node = consensus.New(server.clock(s.now), server.name, server.disk)
	s.check(i)
}
