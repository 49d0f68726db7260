// This file is the network: the messages in flight.

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

// send puts a message on the network, where it is lost if nobody has the receiver's name. Beyond the scenario's bound the
// oldest message is lost. A message that is in flight already isn't added: duplicates are transitions of their own.
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

// findMessage returns the index of a transition's message, or else of one that looks the same, -1 if there is none: in a
// counterexample that is being minimized, its timestamp may differ.
func (s *State) findMessage(wanted networkMessage) int {
	i := slices.IndexFunc(s.network, func(m networkMessage) bool { return m.id == wanted.id })
	if i >= 0 {
		return i
	}
	description := describeMessage(wanted.message)
	return slices.IndexFunc(s.network, func(m networkMessage) bool { return describeMessage(m.message) == description })
}

// timestampClock returns the present by the clock that a message's timestamp is of: the leader's, who sends append messages
// and gets the responses. Vote messages have none.
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

// copyMessage copies what a fault may change.
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
