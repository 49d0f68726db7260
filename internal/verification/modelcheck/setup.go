// This file brings the servers of a scenario to its first state. What it does is no transition: the states that it is called
// with are changed.

package modelcheck

import (
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// setupNoContact lets every member's time-out run out.
func setupNoContact(s *State) { s.now += longestTimeout }

// setupLeader has a leader that all members follow, and a committed entry.
func setupLeader(s *State) {
	s.runFor(2 * time.Second)
	s.propose(s.leader(), "start")
	s.quiesce()
	s.runFor(2 * heartbeat)
}

// setupCompacted has a leader whose snapshot covers its log, so that a member that lacks entries needs it.
func setupCompacted(s *State) {
	setupLeader(s)
	s.compact(s.leader())
	s.quiesce()
}

// setupOvertaken has a majority that holds an entry of the first term, whose leader was elected again in the third term and
// restarted before it synced an entry of that; another server holds an entry of the second term at the same index. It is the
// case in which a majority that holds an entry of an earlier term does not make it committed (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", section 5.4.2).
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

// setupLaggingMember has a member that lacks entries which the leader's snapshot covers, with that snapshot in flight.
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
	state.restart(leader, 0) // what a leader keeps of the compacted log in memory is gone
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
	panic("no snapshot is in flight")
}

// electByVoteOf has a server elected by the vote of another alone, with nothing delivered to the rest.
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

// deliverBetween delivers what two servers have for each other, and syncs the second one's disk.
func (s *State) deliverBetween(first, second int) {
	for len(s.network) > 0 {
		message := s.takeOldest()
		if to := s.serverIndex(message.To); to == first || to == second {
			s.receive(message)
		}
		s.syncAll(second)
	}
}

// runFor lets time pass with every message delivered in order and every sync done.
func (s *State) runFor(span time.Duration) {
	for end := s.now + span; s.now < end; s.now += tuning.TickEvery {
		for i := range s.servers {
			s.tick(i)
		}
		s.quiesce()
	}
}

// quiesce delivers and syncs until nothing is left to do.
func (s *State) quiesce() { s.quiesceExcept("") }

// quiesceExcept does the same, but what goes to one server is lost.
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

// takeOldest takes the oldest message off the network.
func (s *State) takeOldest() *wire.Message {
	oldest := s.network[0].message
	s.network = s.network[1:]
	return oldest
}

// receive has a message's receiver take it in.
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

// syncAll syncs all that a server's disk has been given.
func (s *State) syncAll(i int) {
	s.step(i, func(_ *consensus.Node, now time.Duration) { s.servers[i].sync(len(s.servers[i].pending), now) })
}
