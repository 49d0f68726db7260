// This file models the network as the set of messages in flight.

package modelcheck

import (
	"hash/fnv"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

// networkMessage is a message in flight. Its id is a checksum over its contents.
type networkMessage struct {
	id      uint64
	message *wire.Message
}

// send puts a message in flight. A message to an unknown server is dropped, and so is the oldest message in flight when there
// are more than the scenario's bound. A message that is already in flight isn't added again: the Duplicate transition models
// duplicates.
func (s *State) send(message *wire.Message) {
	if s.serverIndex(message.To) < 0 {
		return
	}
	sent := networkMessage{messageID(message), message}
	if slices.ContainsFunc(s.network, func(other networkMessage) bool { return other.id == sent.id }) {
		return
	}
	s.network = append(s.network, sent)
	if excess := len(s.network) - s.scenario.MaxInFlight; excess > 0 {
		s.network = slices.Delete(s.network, 0, excess)
	}
}

func messageID(message *wire.Message) uint64 {
	encoder := consensus.CanonicalEncoder{
		NodeIndex:  func(name string) byte { return (name + "\xff")[0] },
		DiskNumber: func(disk uint64) uint64 { return disk },
	}
	encoder.Message(message, 0)
	encoder.Uint(uint64(message.Timestamp))
	hash := fnv.New64a()
	hash.Write(encoder.Bytes)
	return hash.Sum64()
}

// findMessage returns the index of a transition's message in flight, or else that of a message with the same description, or
// -1 if there is none. While a counterexample is minimized, the timestamp and so the id of a message may differ.
func (s *State) findMessage(wanted networkMessage) int {
	i := slices.IndexFunc(s.network, func(m networkMessage) bool { return m.id == wanted.id })
	if i >= 0 {
		return i
	}
	description := describeMessage(wanted.message)
	return slices.IndexFunc(s.network, func(m networkMessage) bool { return describeMessage(m.message) == description })
}

// timestampClock returns the current time on the clock that set a message's timestamp: that of the leader, which sends append
// messages and receives their responses. It returns 0 for vote messages, which have no timestamp.
func (s *State) timestampClock(message *wire.Message) time.Duration {
	if message.Append == nil {
		return 0
	}
	leader := message.From
	if message.Append.Reply {
		leader = message.To
	}
	return s.servers[s.serverIndex(leader)].clock(s.now)
}

// copyMessage copies a message with its vote and append parts, which an injected fault may change.
func copyMessage(message *wire.Message) *wire.Message {
	c := *message
	if message.Vote != nil {
		vote := *message.Vote
		c.Vote = &vote
	}
	if message.Append != nil {
		appended := *message.Append
		c.Append = &appended
	}
	return &c
}
