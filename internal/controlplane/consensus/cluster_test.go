package consensus

import (
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// simpleCluster simulates the three test members. Messages arrive after messageDelay unless their link is cut, and syncs
// complete immediately.
type simpleCluster struct {
	now         time.Duration
	nodes       map[string]*Node
	states      map[string]*PersistentState
	partitioned map[string]bool // by sender and receiver, for example "ab": messages from a to b are lost
	inFlight    []messageInFlight
}

// messageDelay is the one-way latency between two members.
const messageDelay = 2 * time.Millisecond

type messageInFlight struct {
	deliverAt time.Duration
	receiver  *Node // a message is lost if its receiver is restarted while it is in flight
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

// restart starts or restarts a member from the state on its disk.
func (c *simpleCluster) restart(name string) {
	state := *c.states[name]
	c.nodes[name] = New(c.now, name, state)
}

// run advances time by at most span until done returns true, and returns whether it did. The test fails if two members hold
// a lease at the same time.
func (c *simpleCluster) run(t *testing.T, span time.Duration, done func() bool) bool {
	t.Helper()
	for end := c.now + span; c.now < end; c.now += time.Millisecond {
		c.deliver()
		leaseHolders := 0
		for _, name := range memberNames {
			c.nodes[name].Tick(c.now)
			c.processReady(name)
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

// deliver delivers the messages that are due.
func (c *simpleCluster) deliver() {
	for _, f := range c.inFlight {
		if f.deliverAt <= c.now && c.nodes[f.message.To] == f.receiver {
			f.receiver.Step(c.now, f.message)
		}
	}
	c.inFlight = slices.DeleteFunc(c.inFlight, func(f messageInFlight) bool { return f.deliverAt <= c.now })
}

// processReady sends and syncs a member's pending output.
func (c *simpleCluster) processReady(name string) {
	n := c.nodes[name]
	for ready := n.Ready(); len(ready.Batches)+len(ready.Messages) > 0; ready = n.Ready() {
		for _, m := range ready.Messages {
			if !c.partitioned[name+m.To] {
				c.inFlight = append(c.inFlight, messageInFlight{c.now + messageDelay, c.nodes[m.To], m})
			}
		}
		for _, b := range ready.Batches {
			c.states[name].ApplyBatch(b)
			n.Advance(c.now, b.Seq)
		}
	}
}

// hasLeader reports whether some member holds a lease.
func (c *simpleCluster) hasLeader() bool { return c.leader() != "" }

// leader returns the name of the member that holds a lease, "" if none does.
func (c *simpleCluster) leader() string {
	for _, n := range memberNames {
		if c.nodes[n].HasLease(c.now) {
			return n
		}
	}
	return ""
}

// isolate cuts all links of a member, or restores them if cut is false.
func (c *simpleCluster) isolate(name string, cut bool) {
	for _, n := range memberNames {
		c.partitioned[name+n], c.partitioned[n+name] = cut, cut
	}
}
