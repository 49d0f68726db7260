// This file computes the key of a state from its canonical form. States with the same key have equivalent successors,
// except for the length of timeouts drawn later, so the search expands only one of them.

package modelcheck

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"

	"myrtlefold/internal/controlplane/consensus"
)

// key is a checksum over the canonical form of a state.
type key [16]byte

const (
	// noServer encodes the empty server name.
	noServer = 255
	// maxServers is the upper bound for the servers of a scenario. A vacant member, whose name begins with a
	// server's name, is encoded as the server's number plus maxServers.
	maxServers = 32
)

// canonicalizer computes the keys of states. It reuses its buffers, so each worker needs its own.
type canonicalizer struct {
	encoder    consensus.CanonicalEncoder
	rank       [maxServers]byte // new number of each server, by its index
	smallest   []byte           // smallest canonical form found so far
	messages   [][]byte
	signatures []signature
	order      []int
	// serversDiffer means that servers differ in clock rate or that there are vacant members named after servers, so that the servers
	// are not interchangeable.
	serversDiffer bool
}

// signature summarizes a server's state without using server names. Only servers with equal signatures are permuted in the
// search for the smallest canonical form.
type signature [12]uint64

// Indexes of the two signature numbers that count a server's messages in flight.
const (
	messagesTo   = 10
	messagesFrom = 11
)

func newCanonicalizer(scenario *Scenario) *canonicalizer {
	c := &canonicalizer{serversDiffer: len(scenario.ClockRates) > 1 || scenario.VacantMembers > 0}
	if len(scenario.TimeSteps) == 1 && scenario.TimeSteps[0] == longestTimeout && len(scenario.ClockRates) == 0 {
		c.encoder.DeadlineStep = longestTimeout // all deadlines within the next step pass together
	}
	c.encoder.NodeIndex = c.nodeIndex
	c.encoder.DiskNumber = c.diskNumber
	return c
}

func (c *canonicalizer) nodeIndex(name string) byte {
	if name == "" {
		return noServer
	}
	rank := c.rank[(name[0]-'a')%maxServers]
	if len(name) > 1 {
		rank += maxServers // a vacant member
	}
	return rank
}

func (c *canonicalizer) diskNumber(disk uint64) uint64 {
	if disk == 0 {
		return 0
	}
	server := (disk - 1) / disksPerServer % maxServers
	return diskNumber(int(c.rank[server]), (disk-1)%disksPerServer)
}

// key returns the checksum of the smallest canonical form over all orders of servers that are consistent with the order of
// their signatures.
func (c *canonicalizer) key(s *State) key {
	c.smallest = c.smallest[:0]
	c.orderServers(s)
	c.eachPermutation(0, func() {
		c.write(s, c.order)
		if len(c.smallest) == 0 || bytes.Compare(c.encoder.Bytes, c.smallest) < 0 {
			c.smallest = append(c.smallest[:0], c.encoder.Bytes...)
		}
	})
	sum := sha256.Sum256(c.smallest)
	return key(sum[:16])
}

// orderServers computes the servers' signatures and sorts the servers by them.
func (c *canonicalizer) orderServers(s *State) {
	c.signatures, c.order = c.signatures[:0], c.order[:0]
	for i := range s.servers {
		c.signatures, c.order = append(c.signatures, c.signatureOf(s, i)), append(c.order, i)
	}
	slices.SortStableFunc(c.order, func(a, b int) int { return slices.Compare(c.signatures[a][:], c.signatures[b][:]) })
}

func (c *canonicalizer) signatureOf(state *State, i int) signature {
	server := state.servers[i]
	node := server.node
	result := signature{uint64(node.Role()), node.Term(), node.Commit(), node.LastIndex(), node.Snapshot().Index, server.disksLost,
		uint64(len(server.pending)), server.disk.Term, server.applied.index, uint64(len(node.Members()))}
	if c.serversDiffer {
		result = signature{uint64(i)}
	}
	for _, inFlight := range state.network {
		if inFlight.message.To == server.name {
			result[messagesTo]++
		}
		if inFlight.message.From == server.name {
			result[messagesFrom]++
		}
	}
	return result
}

// eachPermutation calls visit for every permutation of servers with equal signatures, keeping the order before position
// from. The current permutation is in c.order.
func (c *canonicalizer) eachPermutation(from int, visit func()) {
	if from == len(c.order) {
		visit()
		return
	}
	for i := from; i < len(c.order) && (i == from || c.signatures[c.order[i]] == c.signatures[c.order[from]]); i++ {
		c.order[from], c.order[i] = c.order[i], c.order[from]
		c.eachPermutation(from+1, visit)
		c.order[from], c.order[i] = c.order[i], c.order[from]
	}
}

// serverForm returns the encoding of a single server, without renumbering.
func (c *canonicalizer) serverForm(s *State, i int) []byte {
	for j := range s.servers {
		c.rank[j] = byte(j)
	}
	c.encoder.Bytes = c.encoder.Bytes[:0]
	c.writeServer(s, i)
	return bytes.Clone(c.encoder.Bytes)
}

// write encodes the state with the servers in the given order.
func (c *canonicalizer) write(s *State, order []int) {
	c.encoder.Bytes = c.encoder.Bytes[:0]
	for rank, i := range order {
		c.rank[i] = byte(rank)
	}
	for _, i := range order {
		c.writeServer(s, i)
	}
	c.encoder.Bytes = append(c.encoder.Bytes, s.spent[:]...)
	if call := s.lateCall; call.opened {
		c.encoder.Uints(call.position.Committed, call.position.Term, call.position.Last)
	}
	c.writeNetwork(s)
	c.writeHistory(s)
}

func (c *canonicalizer) writeServer(s *State, i int) {
	server := s.servers[i]
	c.encoder.Node(server.node, server.clock(s.now))
	c.encoder.PersistentState(&server.disk)
	c.encoder.Uints(server.applied.index, server.disksLost, uint64(len(server.pending)))
	for _, batch := range server.pending {
		c.encoder.Batch(batch)
	}
}

// writeNetwork appends the messages in flight, sorted, since their order doesn't matter.
func (c *canonicalizer) writeNetwork(s *State) {
	start := len(c.encoder.Bytes)
	c.messages = c.messages[:0]
	for _, inFlight := range s.network {
		at := len(c.encoder.Bytes)
		c.encoder.Message(inFlight.message, s.timestampClock(inFlight.message))
		c.messages = append(c.messages, bytes.Clone(c.encoder.Bytes[at:]))
	}
	slices.SortFunc(c.messages, bytes.Compare)
	c.encoder.Bytes = c.encoder.Bytes[:start]
	c.encoder.Uint(uint64(len(c.messages)))
	for _, message := range c.messages {
		c.encoder.Bytes = append(c.encoder.Bytes, message...)
	}
}

// writeHistory appends the history that the invariants use, in an order that is independent of server names.
func (c *canonicalizer) writeHistory(state *State) {
	for _, leader := range state.history.leaders {
		c.encoder.Uint(leader.term)
		c.encoder.NodeName(leader.server)
	}
	votes := slices.SortedFunc(slices.Values(state.history.votes), func(a, b voteRecord) int {
		return cmp.Or(cmp.Compare(a.term, b.term), cmp.Compare(c.diskNumber(a.voter.Disk), c.diskNumber(b.voter.Disk)))
	})
	for _, vote := range votes {
		c.encoder.Uint(vote.term)
		c.encoder.Member(vote.voter)
		c.encoder.NodeName(vote.candidate)
	}
	for _, entry := range state.history.committed {
		c.encoder.Uints(entry.entryTerm, entry.byTerm)
	}
}
