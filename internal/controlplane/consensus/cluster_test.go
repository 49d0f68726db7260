package consensus

import (
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// simpleCluster runs the three test members: messages arrive after oneWay unless their link is cut, and syncs are done at
// once.
type simpleCluster struct {
	now         time.Duration
	nodes       map[string]*Node
	states      map[string]*PersistentState
	partitioned map[string]bool // "ab": nothing gets from a to b
	inFlight    []messageInFlight
}

// oneWay is how long a message takes from a member to another.
const oneWay = 2 * time.Millisecond

type messageInFlight struct {
	deliverAt time.Duration
	receiver  *Node // a restart loses what was in flight to it
	message   *wire.Message
}

func newSimpleCluster() *simpleCluster {
	cluster := &simpleCluster{nodes: map[string]*Node{}, states: map[string]*PersistentState{}, partitioned: map[string]bool{}}
	for _, name := range memberNames {
		_, state := newTestNode(name)
		cluster.states[name] = &state
		cluster.restart(name)
	}
	return cluster
}

// restart starts a member, also again, from what its disk holds.
func (c *simpleCluster) restart(name string) {
	state := *c.states[name]
	c.nodes[name] = New(c.now, name, state)
}

// run lets time pass by at most span until a condition holds, and says whether it does.
func (c *simpleCluster) run(t *testing.T, span time.Duration, done func() bool) bool {
	t.Helper()
	for end := c.now + span; c.now < end; c.now += time.Millisecond {
		c.deliver()
		leaseHolders := 0
		for _, name := range memberNames {
			c.nodes[name].Tick(c.now)
			c.carryOut(name)
			if c.nodes[name].HasLease(c.now) {
				leaseHolders++
			}
		}
		if leaseHolders > 1 {
			t.Fatalf("%d members hold a lease at %v", leaseHolders, c.now)
		}
		if done() {
			return true
		}
	}
	return false
}

// deliver takes the messages that have arrived in.
func (c *simpleCluster) deliver() {
	for _, f := range c.inFlight {
		if f.deliverAt <= c.now && c.nodes[f.message.To] == f.receiver {
			f.receiver.Step(c.now, f.message)
		}
	}
	c.inFlight = slices.DeleteFunc(c.inFlight, func(f messageInFlight) bool { return f.deliverAt <= c.now })
}

// carryOut sends and syncs what a member has ready.
func (c *simpleCluster) carryOut(name string) {
	n := c.nodes[name]
	for ready := n.Ready(); len(ready.Batches)+len(ready.Messages) > 0; ready = n.Ready() {
		for _, m := range ready.Messages {
			if !c.partitioned[name+m.To] {
				c.inFlight = append(c.inFlight, messageInFlight{c.now + oneWay, c.nodes[m.To], m})
			}
		}
		for _, b := range ready.Batches {
			c.states[name].ApplyBatch(b)
			n.Advance(c.now, b.Seq)
		}
	}
}

// hasLeader says whether some member holds the lease.
func (c *simpleCluster) hasLeader() bool { return c.leader() != "" }

// leader names the member that holds the lease, "" if none does.
func (c *simpleCluster) leader() string {
	for _, n := range memberNames {
		if c.nodes[n].HasLease(c.now) {
			return n
		}
	}
	return ""
}

// isolate cuts all links of a member, or heals them.
func (c *simpleCluster) isolate(name string, cut bool) {
	for _, n := range memberNames {
		c.partitioned[name+n], c.partitioned[n+name] = cut, cut
	}
}
