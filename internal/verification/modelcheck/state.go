// Package modelcheck checks the real consensus.Node systematically: it runs a small cluster through the orders of events that a
// scenario allows, and checks invariants in every state that it reaches. Messages arrive in any order, late, twice or
// never; syncs are late; servers restart with all, none or a part of what they had written; servers pause while time
// passes; there are membership changes, snapshots and leadership transfers.
//
// Search explores breadth first within the scenario's bounds, and treats states of the same canonical form as one; Walk goes
// deeper at random. A violation comes with a counterexample, the shortest sequence of transitions that a search finds, or
// what is left of a walk's when it has been minimized. The package checks no liveness, and nothing of the control plane
// above consensus: that is the simulator's work.
//
// Begin reading at State in this file; the invariants are in invariant.go, the transitions in transition.go, the scenarios in
// scenario.go.
package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

const (
	// epoch is the only epoch that is checked: bootstraps are the control plane's, not the node's.
	epoch = 1
	// firstIndex is the index of the snapshot that every scenario begins with.
	firstIndex = 1
	// startTime is the true time at which scenarios begin, so that no time is near zero.
	startTime = time.Minute
)

// State is one state of the cluster. It is never changed once it is reached: a transition makes a new State that shares with
// the old one all servers but the one that took the step.
type State struct {
	scenario  *Scenario
	now       time.Duration // the true time
	servers   []*server
	network   []networkMessage // oldest first
	spent     Budget           // what has been used of the scenario's budget
	history   history
	violation string // the invariant that the last transition broke, and how; "" if none
}

// newState starts the scenario's servers: its voters are the first members.
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

// members are the members at the start, with the vacant entries of the list.
func (scenario *Scenario) members() (members []wire.Member) {
	for i := range scenario.Voters {
		members = append(members, wire.Member{Name: serverName(i), Disk: diskNumber(i, 0)})
	}
	for i := range scenario.VacantMembers {
		members = append(members, wire.Member{Name: fmt.Sprintf("%s-kept", serverName(i))})
	}
	return members
}

// serverIndex returns the index of a server, -1 for names that no server has.
func (s *State) serverIndex(name string) int {
	return slices.IndexFunc(s.servers, func(server *server) bool { return server.name == name })
}

// leader returns the index of the server that holds the lease, -1 if none does.
func (s *State) leader() int {
	return slices.IndexFunc(s.servers, func(server *server) bool { return server.node.HasLease(server.clock(s.now)) })
}

// clone copies the state but not its servers.
func (s *State) clone() *State {
	c := *s
	c.servers = slices.Clone(s.servers)
	c.network = slices.Clone(s.network)
	c.history = s.history.clone()
	return &c
}

// cloneServer replaces a server by a copy, which may be changed then.
func (s *State) cloneServer(i int) *server {
	s.servers[i] = s.servers[i].clone()
	return s.servers[i]
}

// step has one server take a step, carries out what that leaves to do, and checks the invariants. The state must be a
// fresh clone.
func (s *State) step(i int, step func(node *consensus.Node, now time.Duration)) {
	server := s.cloneServer(i)
	defer s.recoverPanic(server)
	now := server.clock(s.now)
	step(server.node, now)
	if hook := s.scenario.Faults.AfterStep; hook != nil {
		hook(server.node, now)
	}
	s.carryOut(server, now)
	s.check(i)
}

// recoverPanic makes a panic a violation. It is to be deferred.
func (s *State) recoverPanic(server *server) {
	if r := recover(); r != nil {
		s.fail(NoPanic, "%s: %v", server.name, r)
	}
}

// carryOut takes what the node has ready until there is nothing: batches go to the disk, messages to the network, committed
// entries to the state machine.
func (s *State) carryOut(server *server, now time.Duration) {
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

// restart ends a process and starts it again from its disk, on which the first written of the pending batches are.
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

// wipe has a server come back with an empty disk, as a daemon of the epoch that knows of no members, which is how the
// control plane has it join.
func (s *State) wipe(i int) {
	server := s.cloneServer(i)
	server.disks++
	server.disk = consensus.PersistentState{Epoch: epoch, Disk: diskNumber(i, server.disks)}
	s.start(i, server)
}

// start starts a server's process from its disk.
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
