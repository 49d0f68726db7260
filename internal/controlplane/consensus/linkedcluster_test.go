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

// linkedCluster runs members whose links carry so many bytes a second and whose syncs take time. A message that would wait
// for its link for longer than tuning.SendQueueTTL is dropped, as a daemon does.
type linkedCluster struct {
	now                time.Duration
	names              []string
	nodes              map[string]*Node
	states             map[string]*PersistentState
	linkRate           map[string]float64       // bytes a second to a member, 0: no bound
	linkFreeAt         map[string]time.Duration // when a link has carried all that it was given
	syncTime           map[string]time.Duration // how long a member's disk takes
	drop               func(m *wire.Message) bool
	onSend             func(m *wire.Message, bytes int)
	onApply            func(name string, e wire.Entry)
	compactedState     func(name string) []byte // a member's snapshot
	inFlight           []messageInFlight
	pendingSyncs       []pendingSync
	snapshotsInstalled map[string]int
	largestMessage     int // in bytes
}

// pendingSync is what a disk is syncing.
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

// send puts a message on the link to its receiver.
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
	c.inFlight = append(c.inFlight, messageInFlight{at + oneWay, to, m})
}

// carryOut sends and syncs what a member has ready, and takes a snapshot when one is due.
func (c *linkedCluster) carryOut(name string) {
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

// step lets a millisecond pass.
func (c *linkedCluster) step() {
	c.now += time.Millisecond
	c.deliver()
	c.finishSyncs()
	for _, name := range c.names {
		c.nodes[name].Tick(c.now)
		c.carryOut(name)
	}
}

// deliver takes the messages that have arrived in.
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
			c.carryOut(f.message.To)
		}
	}
}

// finishSyncs reports the syncs that are done.
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
			c.carryOut(s.name)
		}
	}
}

// run lets time pass by at most span until a condition holds, and says whether it does.
func (c *linkedCluster) run(span time.Duration, done func() bool) bool {
	for end := c.now + span; c.now < end; {
		c.step()
		if done() {
			return true
		}
	}
	return false
}

// noCondition lets a cluster run for the whole span.
func noCondition() bool { return false }

// leader returns the member that holds the lease; the test fails if none does.
func (c *linkedCluster) leader(t *testing.T) (string, *Node) {
	t.Helper()
	for _, name := range c.names {
		if c.nodes[name].HasLease(c.now) {
			return name, c.nodes[name]
		}
	}
	t.Fatalf("no leader at %v", c.now)
	return "", nil
}

// configuration is a document of about so many bytes, as compressible as a real one: the same
// fields in each route, names and figures that differ.
func configuration(rnd *rand.Rand, bytes int) []byte {
	var b []byte
	for i := 0; len(b) < bytes; i++ {
		b = fmt.Appendf(b, `{"id":"route-%d","host":"h%d.example","prefix":"/%x/%d","service":"service-%d","attempts":%d,"timeout_ms":%d,"priority":%d},`,
			i, rnd.IntN(400), rnd.Uint32(), i, rnd.IntN(40), 1+rnd.IntN(3), 100+rnd.IntN(5000), rnd.IntN(4))
	}
	return b
}

// randomBytes can't be compressed.
func randomBytes(rnd *rand.Rand, bytes int) []byte {
	b := make([]byte, 0, bytes+8)
	for len(b) < bytes {
		b = binary.LittleEndian.AppendUint64(b, rnd.Uint64())
	}
	return b[:bytes]
}

// proposeContinuously proposes a change ten times a second, and has all members compact to the last
// sixteen of them, as the control plane's state does.
func (c *linkedCluster) proposeContinuously(t *testing.T, change func() []byte) (tick func()) {
	kept := map[string][][]byte{}
	c.onApply = func(name string, e wire.Entry) {
		if e.Kind == EntryData {
			kept[name] = append(kept[name], e.Data)
			kept[name] = kept[name][max(0, len(kept[name])-tuning.ChangesKept):]
		}
	}
	c.compactedState = func(name string) []byte { return slices.Concat(kept[name]...) }
	next := c.now
	return func() {
		if c.now >= next {
			next = c.now + 100*time.Millisecond
			name, n := c.leader(t)
			n.Propose(c.now, change())
			c.carryOut(name)
		}
	}
}
