// This file brings the servers of a scenario to its first state. Unlike transitions, these functions modify the state in place
// and use up no budget.

package modelcheck

import (
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// setupNoContact lets the election timeout of every member expire.
func setupNoContact(s *State) { s.now += longestTimeout }

// setupLeader runs the servers until there are a leader that all members follow and one committed entry.
func setupLeader(s *State) {
	s.runFor(2 * time.Second)
	s.propose(s.leader(), "start")
	s.quiesce()
	s.runFor(2 * heartbeat)
}

// setupCompacted runs the servers until there is a leader whose snapshot covers its whole log, so that a member that lacks
// entries needs the snapshot.
func setupCompacted(s *State) {
	setupLeader(s)
	s.compact(s.leader())
	s.quiesce()
}

// setupOvertaken runs the servers until a majority holds an entry of the first term. The leader of that term was elected again
// in the third term and restarted before it synced an entry of the third term. Another server holds an entry of the second
// term at the same index. This is the case in which an entry of an earlier term is not committed although a majority holds it (Ongaro
// and Ousterhout, "In Search of an Understandable Consensus Algorithm", section 5.4.2).
func setupOvertaken(s *State) {
	setupLeader(s)
	first := s.leader()
	second, third := (first+1)%len(s.servers), (first+2)%len(s.servers)
	s.propose(first, "first")
	s.network = nil
	s.quiesce()
	s.electByVoteOf(third, second)
	s.network = nil
	s.quiesce()
	s.electByVoteOf(first, second)
	s.deliverBetween(first, second)
	s.restart(first, 0)
	s.network = nil
}

// setupLaggingMember runs the servers until a member lacks entries covered by the leader's snapshot and a chunk of that
// snapshot is in flight.
func setupLaggingMember(state *State) {
	setupLeader(state)
	leader := state.leader()
	lagging := state.servers[(leader+1)%len(state.servers)].name
	for range 2 {
		state.propose(leader, "more")
		state.quiesceExcept(lagging)
	}
	state.compact(leader)
	state.quiesceExcept(lagging)
	state.restart(leader, 0) // drops the compacted entries that the leader still holds in memory
	state.electByVoteOf(leader, (leader+2)%len(state.servers))
	for range 20 {
		if slices.ContainsFunc(state.network, func(m networkMessage) bool { return m.message.Append != nil && m.message.Append.Chunk != nil }) {
			return
		}
		if len(state.network) == 0 {
			state.now += heartbeat
			state.tick(leader)
			continue
		}
		state.receive(state.takeOldest())
	}
	panic("setupLaggingMember: the leader sent no snapshot")
}

// electByVoteOf makes a server leader with the vote of one other server. Messages to all other servers are lost.
func (s *State) electByVoteOf(candidate, voter int) {
	s.network = nil
	node := func() *consensus.Node { return s.servers[candidate].node }
	before := node().Term()
	for node().Role() != consensus.Leader || node().Term() == before {
		s.syncAll(candidate)
		s.syncAll(voter)
		s.network = slices.DeleteFunc(s.network, func(m networkMessage) bool {
			to := s.serverIndex(m.message.To)
			return to != candidate && to != voter
		})
		if len(s.network) == 0 {
			s.now += longestTimeout
			s.tick(candidate)
			continue
		}
		s.receive(s.takeOldest())
	}
}

// deliverBetween delivers the messages to two servers until none is in flight, and syncs the second server's disk. Messages to
// all other servers are lost.
func (s *State) deliverBetween(first, second int) {
	for len(s.network) > 0 {
		message := s.takeOldest()
		if to := s.serverIndex(message.To); to == first || to == second {
			s.receive(message)
		}
		s.syncAll(second)
	}
}

// runFor advances time by span with regular ticks, delivering all messages in order and syncing all disks.
func (s *State) runFor(span time.Duration) {
	for end := s.now + span; s.now < end; s.now += tuning.TickEvery {
		for i := range s.servers {
			s.tick(i)
		}
		s.quiesce()
	}
}

// quiesce delivers all messages and syncs all disks until nothing is pending.
func (s *State) quiesce() { s.quiesceExcept("") }

// quiesceExcept is like quiesce but drops the messages to one server.
func (s *State) quiesceExcept(isolated string) {
	for busy := true; busy; {
		busy = false
		for i := range s.servers {
			if len(s.servers[i].pending) > 0 {
				s.syncAll(i)
				busy = true
			}
		}
		if len(s.network) == 0 {
			continue
		}
		busy = true
		if message := s.takeOldest(); message.To != isolated {
			s.receive(message)
		}
	}
}

// takeOldest removes the oldest message in flight and returns it.
func (s *State) takeOldest() *wire.Message {
	oldest := s.network[0].message
	s.network = s.network[1:]
	return oldest
}

// receive delivers a message to its receiver.
func (s *State) receive(message *wire.Message) {
	s.step(s.serverIndex(message.To), func(node *consensus.Node, now time.Duration) { node.Step(now, message) })
}

func (s *State) tick(i int) {
	s.step(i, func(node *consensus.Node, now time.Duration) { node.Tick(now) })
}

func (s *State) propose(leader int, data string) {
	s.step(leader, func(node *consensus.Node, now time.Duration) { node.Propose(now, []byte(data)) })
}

func (s *State) compact(i int) {
	s.step(i, func(node *consensus.Node, now time.Duration) { node.Compact(now, s.servers[i].applied.encode()) })
}

// syncAll syncs all pending batches of a server.
func (s *State) syncAll(i int) {
	s.step(i, func(_ *consensus.Node, now time.Duration) { s.servers[i].sync(len(s.servers[i].pending), now) })
}
