package consensus

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// linkedCluster simulates members whose links have limited bandwidth and whose syncs take time. A message that would
// wait longer than tuning.SendQueueTTL for its link is dropped, as a daemon would drop it.
type linkedCluster struct {
	now                time.Duration
	names              []string
	nodes              map[string]*Node
	states             map[string]*PersistentState
	linkRate           map[string]float64               // bandwidth to a member in bytes per second, 0 for unlimited
	linkFreeAt         map[string]time.Duration         // when the link to a member has sent all queued messages
	syncTime           map[string]time.Duration         // duration of a sync on a member's disk
	drop               func(m *wire.Message) bool       // reports whether a message is lost
	onSend             func(m *wire.Message, bytes int) // called for each message, including lost ones
	onApply            func(name string, e wire.Entry)  // called for each entry that a member applies
	compactedState     func(name string) []byte         // returns the data for a member's next snapshot
	inFlight           []messageInFlight
	pendingSyncs       []pendingSync
	snapshotsInstalled map[string]int // number of snapshots that a member received and installed
	largestMessage     int            // in bytes
}

// pendingSync is a sync in progress on a member's disk.
type pendingSync struct {
	doneAt  time.Duration
	node    *Node
	name    string
	batches []*wire.Batch
}

func newLinkedCluster(members ...string) *linkedCluster {
	c := &linkedCluster{
		nodes:              map[string]*Node{},
		states:             map[string]*PersistentState{},
		linkRate:           map[string]float64{},
		linkFreeAt:         map[string]time.Duration{},
		syncTime:           map[string]time.Duration{},
		snapshotsInstalled: map[string]int{},
		drop:               func(*wire.Message) bool { return false },
		onSend:             func(*wire.Message, int) {},
		onApply:            func(string, wire.Entry) {},
		compactedState:     func(string) []byte { return []byte("state") },
	}
	var list []wire.Member
	for i, name := range members {
		list = append(list, wire.Member{Name: name, Disk: uint64(i) + 1})
	}
	for _, m := range list {
		c.add(m, PersistentState{Epoch: 1, Disk: m.Disk, Snapshot: wire.Snapshot{Index: 1, Members: list}})
	}
	return c
}

func (c *linkedCluster) add(m wire.Member, state PersistentState) {
	c.names = append(c.names, m.Name)
	c.states[m.Name] = &state
	c.restart(m.Name)
}

func (c *linkedCluster) restart(name string) {
	state := *c.states[name]
	state.Log = slices.Clone(state.Log)
	c.nodes[name] = New(c.now, name, state)
}

// send queues a message on the link to its receiver.
func (c *linkedCluster) send(m *wire.Message) {
	bytes, err := wire.NewWriter(io.Discard).Put(m)
	if err != nil {
		panic(err)
	}
	c.largestMessage = max(c.largestMessage, bytes)
	c.onSend(m, bytes)
	to := c.nodes[m.To]
	if to == nil || c.drop(m) {
		return
	}
	at := c.now
	if rate := c.linkRate[m.To]; rate > 0 {
		free := max(c.linkFreeAt[m.To], at)
		if free-at > tuning.SendQueueTTL {
			return
		}
		at = free + time.Duration(float64(bytes)/rate*float64(time.Second))
		c.linkFreeAt[m.To] = at
	}
	c.inFlight = append(c.inFlight, messageInFlight{at + messageDelay, to, m})
}

// processReady sends, applies and starts syncing a member's pending output, and compacts its log if that is due.
func (c *linkedCluster) processReady(name string) {
	n := c.nodes[name]
	for ready := n.Ready(); len(ready.Batches)+len(ready.Messages)+len(ready.CommittedEntries) > 0 || ready.Snapshot != nil; ready = n.Ready() {
		for _, m := range ready.Messages {
			c.send(m)
		}
		if ready.Snapshot != nil {
			c.snapshotsInstalled[name]++
		}
		for _, e := range ready.CommittedEntries {
			c.onApply(name, e)
		}
		if len(ready.Batches) > 0 {
			c.pendingSyncs = append(c.pendingSyncs, pendingSync{c.now + c.syncTime[name], n, name, ready.Batches})
		}
		if n.SnapshotDue() {
			n.Compact(c.now, c.compactedState(name))
		}
	}
}

// step advances time by one millisecond.
func (c *linkedCluster) step() {
	c.now += time.Millisecond
	c.deliver()
	c.finishSyncs()
	for _, name := range c.names {
		c.nodes[name].Tick(c.now)
		c.processReady(name)
	}
}

// deliver delivers the messages that are due.
func (c *linkedCluster) deliver() {
	var due []messageInFlight
	c.inFlight = slices.DeleteFunc(c.inFlight, func(f messageInFlight) bool {
		if f.deliverAt <= c.now {
			due = append(due, f)
		}
		return f.deliverAt <= c.now
	})
	for _, f := range due {
		if c.nodes[f.message.To] == f.receiver {
			f.receiver.Step(c.now, f.message)
			c.processReady(f.message.To)
		}
	}
}

// finishSyncs completes the syncs that are due and reports them to their nodes.
func (c *linkedCluster) finishSyncs() {
	var done []pendingSync
	c.pendingSyncs = slices.DeleteFunc(c.pendingSyncs, func(s pendingSync) bool {
		if s.doneAt <= c.now {
			done = append(done, s)
		}
		return s.doneAt <= c.now
	})
	for _, s := range done {
		if c.nodes[s.name] == s.node {
			for _, b := range s.batches {
				c.states[s.name].ApplyBatch(b)
			}
			s.node.Advance(c.now, s.batches[len(s.batches)-1].Seq)
			c.processReady(s.name)
		}
	}
}

// run advances time by at most span until done returns true, and returns whether it did.
func (c *linkedCluster) run(span time.Duration, done func() bool) bool {
	for end := c.now + span; c.now < end; {
		c.step()
		if done() {
			return true
		}
	}
	return false
}

// noCondition makes run last for the whole span.
func noCondition() bool { return false }

// leader returns the member that holds a lease; the test fails if none does.
func (c *linkedCluster) leader(t *testing.T) (string, *Node) {
	t.Helper()
	for _, name := range c.names {
		if c.nodes[name].HasLease(c.now) {
			return name, c.nodes[name]
		}
	}
	t.Fatalf("no member holds a lease at %v", c.now)
	return "", nil
}

// randomConfiguration returns a configuration document of at least the given size that compresses about as well as a real
// one: each route has the same fields with different names and numbers.
func randomConfiguration(rnd *rand.Rand, bytes int) []byte {
	var b []byte
	for i := 0; len(b) < bytes; i++ {
		b = fmt.Appendf(b, `{"id":"route-%d","host":"h%d.example","prefix":"/%x/%d","service":"service-%d","attempts":%d,"timeout_ms":%d,"priority":%d},`,
			i, rnd.IntN(400), rnd.Uint32(), i, rnd.IntN(40), 1+rnd.IntN(3), 100+rnd.IntN(5000), rnd.IntN(4))
	}
	return b
}

// randomBytes returns incompressible data.
func randomBytes(rnd *rand.Rand, bytes int) []byte {
	b := make([]byte, 0, bytes+8)
	for len(b) < bytes {
		b = binary.LittleEndian.AppendUint64(b, rnd.Uint64())
	}
	return b[:bytes]
}

// proposeContinuously returns a function that must be called in each step and proposes a change ten times a second. The
// members' snapshots hold the last tuning.ChangesKept changes, as those of the control plane do.
func (c *linkedCluster) proposeContinuously(t *testing.T, change func() []byte) (tick func()) {
	recent := map[string][][]byte{} // the last changes that each member applied
	c.onApply = func(name string, e wire.Entry) {
		if e.Kind == EntryData {
			recent[name] = append(recent[name], e.Data)
			recent[name] = recent[name][max(0, len(recent[name])-tuning.ChangesKept):]
		}
	}
	c.compactedState = func(name string) []byte { return slices.Concat(recent[name]...) }
	next := c.now
	return func() {
		if c.now >= next {
			next = c.now + 100*time.Millisecond
			name, n := c.leader(t)
			n.Propose(c.now, change())
			c.processReady(name)
		}
	}
}
