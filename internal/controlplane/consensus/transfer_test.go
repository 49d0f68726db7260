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

// linkedCluster plays members whose links carry so many bytes a second and whose syncs take
// time. A message that would wait for its link for too long is dropped, as a shell does.
type linkedCluster struct {
	now                time.Duration
	names              []string
	nodes              map[string]*Node
	states             map[string]*PersistentState
	linkRate           map[string]float64 // bytes a second into a member, 0: no bound
	linkFreeAt         map[string]time.Duration
	syncTime           map[string]time.Duration
	drop               func(m *wire.Message) bool
	onSend             func(m *wire.Message, bytes int)
	onApply            func(name string, e wire.Entry)
	compactedState     func(name string) []byte // what a member compacts to
	inFlight           []messageInFlight
	pendingSyncs       []pendingSync
	snapshotsInstalled map[string]int
	largestMessage     int // of one message
}

type pendingSync struct {
	doneAt  time.Duration
	node    *Node
	name    string
	batches []*wire.Batch
}

func newLinkedCluster(members ...string) *linkedCluster {
	c := &linkedCluster{nodes: map[string]*Node{}, states: map[string]*PersistentState{}, linkRate: map[string]float64{}, linkFreeAt: map[string]time.Duration{},
		syncTime: map[string]time.Duration{}, snapshotsInstalled: map[string]int{}, drop: func(*wire.Message) bool { return false }, onSend: func(*wire.Message, int) {},
		onApply: func(string, wire.Entry) {}, compactedState: func(string) []byte { return []byte("state") }}
	var list []wire.Member
	for i, name := range members {
		list = append(list, wire.Member{Name: name, Disk: uint64(i) + 1})
	}
	for _, m := range list {
		c.add(m, PersistentState{Epoch: 1, Disk: m.Disk, Snapshot: wire.Snapshot{Index: 1, Members: list}})
	}
	return c
}

func (c *linkedCluster) add(m wire.Member, im PersistentState) {
	c.names = append(c.names, m.Name)
	c.states[m.Name] = &im
	c.restart(m.Name)
}

func (c *linkedCluster) restart(name string) {
	im := *c.states[name]
	im.Log = slices.Clone(im.Log)
	c.nodes[name] = New(c.now, name, im)
}

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
	c.inFlight = append(c.inFlight, messageInFlight{at + 2*time.Millisecond, to, m})
}

func (c *linkedCluster) carryOut(name string) {
	n := c.nodes[name]
	for o := n.Ready(); len(o.Batches)+len(o.Messages)+len(o.CommittedEntries) > 0 || o.Snapshot != nil; o = n.Ready() {
		for _, m := range o.Messages {
			c.send(m)
		}
		if o.Snapshot != nil {
			c.snapshotsInstalled[name]++
		}
		for _, e := range o.CommittedEntries {
			c.onApply(name, e)
		}
		if len(o.Batches) > 0 {
			c.pendingSyncs = append(c.pendingSyncs, pendingSync{c.now + c.syncTime[name], n, name, o.Batches})
		}
		if n.SnapshotDue() {
			n.Compact(c.now, c.compactedState(name))
		}
	}
}

// step moves time on by a millisecond.
func (c *linkedCluster) step() {
	c.now += time.Millisecond
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
	for _, name := range c.names {
		c.nodes[name].Tick(c.now)
		c.carryOut(name)
	}
}

func (c *linkedCluster) run(d time.Duration, done func() bool) bool {
	for end := c.now + d; c.now < end; {
		c.step()
		if done() {
			return true
		}
	}
	return false
}

func never() bool { return false }

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

func randomBytes(rnd *rand.Rand, bytes int) []byte {
	b := make([]byte, 0, bytes+8)
	for len(b) < bytes {
		b = binary.LittleEndian.AppendUint64(b, rnd.Uint64())
	}
	return b[:bytes]
}

// proposeContinuously proposes a change ten times a second, and has all members compact to the last
// sixteen of them, as the core's state does.
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

// A new member on a link of 128 KiB a second catches up while ten changes a second of 30 KB
// go on, with one transfer that nothing restarts; heartbeats are contact all the while.
func TestThinLinkMemberCatchesUp(t *testing.T) {
	c := newLinkedCluster("a", "b", "c")
	rnd := rand.New(rand.NewPCG(1, 2))
	c.run(2*time.Second, never)
	tick := c.proposeContinuously(t, func() []byte { return wire.Compress(configuration(rnd, 30<<10)) })
	c.run(10*time.Second, func() bool { tick(); return false })

	learner := wire.Member{Name: "d", Disk: 9}
	c.linkRate["d"] = tuning.SlowLink
	begun, sent, whole := 0, 0, 0
	c.onSend = func(m *wire.Message, _ int) {
		if m.Append == nil || m.Append.Reply || m.Append.Chunk == nil || m.Append.Chunk.IsEntry {
			return
		}
		if m.Append.Chunk.Offset == 0 {
			begun++
			whole += int(m.Append.Chunk.Size)
		}
		sent += len(m.Append.Chunk.Data)
	}
	c.add(learner, PersistentState{Epoch: 1, Disk: 9})
	from, compacted := c.now, false
	first := uint64(0)
	var contact time.Duration
	caught := c.run(20*time.Second, func() bool {
		tick()
		_, n := c.leader(t)
		n.AddLearner(learner)
		if first == 0 {
			first = n.snapshot.Index
		}
		compacted = compacted || n.snapshot.Index > first
		if p := n.progress["d"]; p.ackedAt > from {
			contact = max(contact, c.now-p.ackedAt)
		}
		match, ok := n.Match(learner)
		return ok && match > 0 && match >= n.Commit() // all of it, not only nearly
	})
	t.Logf("caught up after %v: %d snapshot(s), %d of %d bytes sent, longest without contact %v, largest message %d bytes", c.now-from, begun, sent, whole, contact, c.largestMessage)
	if !caught || c.now-from > 5*time.Second {
		t.Fatalf("not caught up after %v", c.now-from)
	}
	if begun != 1 || sent != whole {
		t.Errorf("%d snapshots begun, %d bytes sent for %d", begun, sent, whole)
	}
	if contact >= tuning.LeaderLease {
		t.Errorf("%v without contact", contact)
	}
	if c.largestMessage > tuning.AppendMax+4<<10 {
		t.Errorf("a message of %d bytes", c.largestMessage)
	}
	c.run(10*time.Second, func() bool { // and stays so
		tick()
		_, n := c.leader(t)
		if lag := n.LastIndex() - n.progress["d"].match; lag > 10 {
			t.Fatalf("%d entries behind again at %v", lag, c.now)
		}
		return false
	})
}

// Changes that are more than a link carries can't be followed; but what is under way to that
// member stays bounded, it stays in contact, and it is there soon after they end.
func TestMoreThanTheLinkCarries(t *testing.T) {
	c := newLinkedCluster("a", "b", "c")
	rnd := rand.New(rand.NewPCG(3, 4))
	c.run(2*time.Second, never)
	name, _ := c.leader(t)
	slow := c.names[(slices.Index(c.names, name)+1)%3]
	c.linkRate[slow] = tuning.SlowLink
	tick := c.proposeContinuously(t, func() []byte { return randomBytes(rnd, 30<<10) })
	var contact time.Duration
	c.run(20*time.Second, func() bool {
		tick()
		_, n := c.leader(t)
		contact = max(contact, c.now-n.progress[slow].ackedAt)
		if b := n.progress[slow].inflightBytes(); b > tuning.AppendMax {
			t.Fatalf("%d bytes under way", b)
		}
		return false
	})
	if contact >= tuning.LeaderLease {
		t.Errorf("%v without contact", contact)
	}
	from := c.now
	_, n := c.leader(t)
	if !c.run(15*time.Second, func() bool { return n.progress[slow].match >= n.Commit() }) {
		t.Fatalf("at %d of %d after the changes ended", n.progress[slow].match, n.Commit())
	}
	t.Logf("longest without contact %v; there %v after the changes ended", contact, c.now-from)
}

// Lost pieces are sent again from what has arrived, not from the beginning, and soon.
func TestLostPieceIsResumed(t *testing.T) {
	for _, kind := range []string{"snapshot", "entry"} {
		c := newLinkedCluster("a", "b", "c")
		rnd := rand.New(rand.NewPCG(5, 6))
		c.run(2*time.Second, never)
		name, n := c.leader(t)
		const size = 400 << 10
		c.compactedState = func(string) []byte { return randomBytes(rnd, size) }
		data := randomBytes(rnd, size)
		if kind == "snapshot" { // larger than tuning.LogBytes, so it is compacted at once
			data = randomBytes(rnd, size/3)
			for range 3 {
				n.Propose(c.now, data)
				c.carryOut(name)
				c.run(time.Second, never)
			}
		}
		sent, lost, once := 0, 0, map[string]int{} // once: bytes of each piece to each member
		c.drop = func(m *wire.Message) bool {
			if m.Append == nil || m.Append.Chunk == nil {
				return false
			}
			sent += len(m.Append.Chunk.Data)
			if p := m.Append.Chunk; !m.Append.Reply {
				once[fmt.Sprint(m.To, p.Index, p.Offset)] = len(p.Data)
			}
			gone := rnd.IntN(3) == 0 // answers too
			if gone {
				lost++
			}
			return gone
		}
		c.add(wire.Member{Name: "d", Disk: 9}, PersistentState{Epoch: 1, Disk: 9})
		from := c.now
		if kind == "entry" {
			c.run(time.Second, func() bool { n.AddLearner(wire.Member{Name: "d", Disk: 9}); return false })
			from, sent = c.now, 0
			clear(once)
			n.Propose(c.now, data)
			c.carryOut(name)
		}
		if !c.run(20*time.Second, func() bool {
			n.AddLearner(wire.Member{Name: "d", Disk: 9})
			return n.progress["d"].match >= n.LastIndex() && n.Commit() == n.LastIndex()
		}) {
			t.Fatalf("%s: at %d of %d", kind, n.progress["d"].match, n.LastIndex())
		}
		needed := 0
		for _, bytes := range once {
			needed += bytes
		}
		t.Logf("%s: %v, %d bytes sent for %d, %d messages lost", kind, c.now-from, sent, needed, lost)
		if lost == 0 || needed < size || sent > 2*needed || c.now-from > 5*time.Second {
			t.Errorf("%s: %d bytes sent for %d, %d lost, in %v", kind, sent, needed, lost, c.now-from)
		}
	}
}

func newFollower(log ...wire.Entry) *Node {
	_, im := newTestNode("a")
	im.Log = log
	return New(0, "a", im)
}

func appendFrom(term uint64, a *wire.Append) *wire.Message {
	return &wire.Message{Kind: wire.KindAppend, From: "b", Disk: 2, Epoch: 1, Term: term, Append: a}
}

func snapshotChunk(s wire.Snapshot, from, to int) *wire.Append {
	return &wire.Append{PrevIndex: s.Index, PrevTerm: s.Term, Chunk: &wire.Chunk{Index: s.Index, Term: s.Term, Members: s.Members,
		Size: uint64(len(s.Data)), Checksum: checksum(s.Data), Offset: uint64(from), Data: s.Data[from:to]}}
}

// A snapshot is acknowledged only whole and synced; a damaged one is begun again; pieces that
// come twice or out of order change nothing.
func TestSnapshotIsWholeBeforeItCounts(t *testing.T) {
	_, im := newTestNode("a")
	s := wire.Snapshot{Index: 50, Term: 1, Members: im.Snapshot.Members, Data: []byte("the whole state")}
	n := newFollower()
	recv := func(a *wire.Append) (Ready, *wire.Append) {
		n.Step(1, appendFrom(1, a))
		o := n.Ready()
		for _, b := range o.Batches {
			if b.HasHardState {
				n.Advance(1, b.Seq)
				o.Messages = append(o.Messages, n.Ready().Messages...)
			}
		}
		if len(o.Messages) == 0 {
			return o, nil
		}
		return o, o.Messages[len(o.Messages)-1].Append
	}
	recv(&wire.Append{}) // the term
	if _, r := recv(snapshotChunk(s, 5, 9)); r.Success || r.Chunk != nil {
		t.Fatalf("a piece without those before it: %+v", r)
	}
	if _, r := recv(snapshotChunk(s, 0, 5)); r.Success || r.Chunk == nil || r.Chunk.Offset != 5 {
		t.Fatalf("%+v", r)
	}
	recv(snapshotChunk(s, 0, 5))
	bad := snapshotChunk(s, 5, 15)
	bad.Chunk.Data = []byte("DAMAGED!!!")
	if _, r := recv(bad); r.Success || r.Chunk != nil || n.Commit() != 1 {
		t.Fatalf("damaged: %+v", r)
	}
	recv(snapshotChunk(s, 0, 5))
	o, r := recv(snapshotChunk(s, 5, 15))
	if r != nil || o.Snapshot == nil || string(o.Snapshot.Data) != string(s.Data) || len(o.Batches) != 1 {
		t.Fatalf("acknowledged before it was synced: %+v, restore %v", r, o.Snapshot)
	}
	if _, r := recv(&wire.Append{PrevIndex: 50, PrevTerm: 1}); r == nil || !r.Success || r.MatchIndex >= 50 {
		t.Fatalf("a heartbeat before the sync: %+v", r)
	}
	n.Advance(1, o.Batches[0].Seq)
	if a := n.Ready().Messages[0].Append; !a.Success || a.MatchIndex != 50 {
		t.Fatalf("%+v", a)
	}
}

// A snapshot that comes late, to a member that has acknowledged entries past it since, takes
// none of them away.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	n := newFollower(wire.Entry{Index: 2, Term: 1}, wire.Entry{Index: 3, Term: 1}, wire.Entry{Index: 4, Term: 1})
	n.Step(1, appendFrom(1, snapshotChunk(wire.Snapshot{Index: 3, Term: 1, Members: n.members, Data: []byte("s")}, 0, 1)))
	if o := n.Ready(); n.LastIndex() != 4 || o.Snapshot != nil {
		t.Fatalf("log ends at %d, restore %v", n.LastIndex(), o.Snapshot)
	}
}

// A heartbeat is answered at once however slow the disk is, and what is not on it yet is not
// acknowledged.
func TestHeartbeatOnSlowDisk(t *testing.T) {
	n := newFollower()
	n.Step(1, appendFrom(1, &wire.Append{}))
	for _, b := range n.Ready().Batches {
		n.Advance(1, b.Seq)
	}
	n.Ready()
	n.Step(2, appendFrom(1, &wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 1}}}))
	o := n.Ready()
	if len(o.Messages) != 0 {
		t.Fatal("acknowledged before the sync")
	}
	n.Step(3, appendFrom(1, &wire.Append{PrevIndex: 2, PrevTerm: 1}))
	if s := n.Ready().Messages; len(s) != 1 || !s[0].Append.Success || s[0].Append.MatchIndex != 1 {
		t.Fatalf("%+v", s)
	}
	n.Advance(4, o.Batches[0].Seq)
	if s := n.Ready().Messages; len(s) != 1 || s[0].Append.MatchIndex != 2 {
		t.Fatalf("%+v", s)
	}
}

// An entry that arrived in pieces and was overwritten since is taken again.
func TestOverwrittenEntryIsTakenAgain(t *testing.T) {
	n := newFollower()
	e := wire.Entry{Index: 2, Term: 1, Kind: EntryData, Data: []byte("large")}
	piece := &wire.Append{PrevIndex: 1, Chunk: &wire.Chunk{IsEntry: true, Index: 2, Term: 1, Kind: EntryData, Size: 5, Checksum: checksum(e.Data), Data: e.Data}}
	n.Step(1, appendFrom(1, piece))
	n.Step(2, appendFrom(2, &wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 2}}}))
	n.Step(3, appendFrom(3, piece))
	if got, _ := n.termAt(2); got != 1 || n.LastIndex() != 2 {
		t.Fatalf("entry 2 has term %d", got)
	}
}

// A member that was away for less than what is kept in memory needs no snapshot.
func TestTailServesWhoIsALittleBehind(t *testing.T) {
	c := newLinkedCluster("a", "b", "c")
	rnd := rand.New(rand.NewPCG(7, 8))
	c.run(2*time.Second, never)
	name, n := c.leader(t)
	away := c.names[(slices.Index(c.names, name)+1)%3]
	tick := c.proposeContinuously(t, func() []byte { return randomBytes(rnd, 4<<10) })
	c.run(time.Second, func() bool { tick(); return false })
	c.drop = func(m *wire.Message) bool { return m.To == away || m.From == away }
	before := n.snapshot.Index
	c.run(8*time.Second, func() bool { tick(); return false })
	if n.snapshot.Index == before {
		t.Fatal("nothing was compacted meanwhile")
	}
	c.restart(away)
	c.drop = func(*wire.Message) bool { return false }
	from := c.now
	if !c.run(5*time.Second, func() bool {
		tick()
		_, n = c.leader(t)
		return n.progress[away] != nil && n.progress[away].match >= n.Commit()
	}) {
		t.Fatal("it never caught up")
	}
	t.Logf("caught up after %v", c.now-from)
	if c.snapshotsInstalled[away] != 0 {
		t.Error("a snapshot was needed")
	}
}

// After ten thousand changes log, tail, disk image and messages are what they were after a
// few hundred.
func TestBoundedAfterTenThousandChanges(t *testing.T) {
	c := newLinkedCluster("a", "b", "c")
	rnd := rand.New(rand.NewPCG(9, 10))
	c.run(2*time.Second, never)
	c.proposeContinuously(t, nil)
	doc := func() []byte { return randomBytes(rnd, 200+rnd.IntN(8<<10)) }
	for i := range 10000 {
		name, n := c.leader(t)
		n.Propose(c.now, doc())
		c.carryOut(name)
		c.step()
		if i%10 == 0 {
			c.run(20*time.Millisecond, func() bool { return n.Commit() == n.LastIndex() })
		}
	}
	c.run(time.Second, never)
	for _, name := range c.names {
		n, im := c.nodes[name], c.states[name]
		logBytes, tailBytes := n.entryBytes(0, n.lastIndex()), 0
		for _, e := range n.compactedTail {
			tailBytes += len(e.Data)
		}
		whole, err := wire.EncodeBatch(im.Checkpoint())
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: commit %d, log %d entries, %d bytes; tail %d bytes; image %d bytes", name, n.Commit(), len(n.log), logBytes, tailBytes, len(whole))
		if n.Commit() < 10000 || len(n.log) > tuning.LogMax+2 || logBytes > tuning.LogBytes+tuning.AppendMax || tailBytes > tuning.LogTailBytes || len(whole) > tuning.WALFileSize/2 {
			t.Errorf("%s holds too much", name)
		}
		if len(n.unsyncedBatches)+len(n.pendingMessages) > 0 {
			t.Errorf("%s: %d batches and %d messages left over", name, len(n.unsyncedBatches), len(n.pendingMessages))
		}
	}
	if c.largestMessage > tuning.AppendMax+4<<10 {
		t.Errorf("a message of %d bytes", c.largestMessage)
	}
}

// A follower whose disk takes 30 times as long stays in contact and keeps up; a leader whose
// disk does not answer stops deciding, acknowledges nothing, and another goes on.
func TestSlowAndStalledDisks(t *testing.T) {
	c := newLinkedCluster("a", "b", "c")
	rnd := rand.New(rand.NewPCG(11, 12))
	c.run(2*time.Second, never)
	name, n := c.leader(t)
	slow := c.names[(slices.Index(c.names, name)+1)%3]
	c.syncTime[slow] = 30 * 2 * time.Millisecond
	tick := c.proposeContinuously(t, func() []byte { return randomBytes(rnd, 4<<10) })
	var contact time.Duration
	c.run(10*time.Second, func() bool {
		tick()
		if _, leads := c.leader(t); leads != n {
			t.Fatal("another leads")
		}
		contact = max(contact, c.now-n.progress[slow].ackedAt)
		return false
	})
	if lag := n.LastIndex() - n.progress[slow].match; lag > 3 || contact > 2*tuning.HeartbeatEvery {
		t.Errorf("the slow one is %d entries behind, %v without contact", lag, contact)
	}

	c.syncTime[name] = 10 * time.Second
	index := n.Propose(c.now, []byte("not on the leader's disk"))
	c.carryOut(name)
	from := c.now
	if !c.run(tuning.ElectionTimeoutMin, func() bool { return !n.HasLease(c.now) }) {
		t.Fatal("it decides with a disk that does not answer")
	}
	t.Logf("it stopped deciding after %v", c.now-from)
	if !c.run(5*time.Second, func() bool {
		for _, other := range c.names {
			if other != name && c.nodes[other].HasLease(c.now) {
				return true
			}
		}
		return false
	}) {
		t.Fatal("nobody else leads")
	}
	if n.stable >= index {
		t.Error("it counts what its disk has not taken")
	}
	c.run(10*time.Second, never)
	if held := len(n.pendingMessages); held > tuning.SendQueue {
		t.Errorf("%d messages held", held)
	}
}
