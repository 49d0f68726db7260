// Package modelcheck runs the real consensus.Node through every order of events that a
// bounded scenario allows: messages in any order, late, twice or never; syncs late;
// restarts with, without and with part of what was written; machines that stand
// still while time passes; changes of members, snapshots and handovers. Each state
// is checked against the invariants in invariant.go, and a violation comes with
// the shortest trace that leads to it.
//
// A World is one state. It is never changed: an action makes a new World that
// shares with the old one all machines but the one that acted.
package modelcheck

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// epoch is the only epoch of an exploration: foundings are the core's, not the node's.
const epoch = 1

// firstIndex is the index of the snapshot that every scenario starts from.
const firstIndex = 1

// diskStride separates the numbers of one machine's successive disks from the next machine's.
const diskStride = 16

// startAt is the true time at which scenarios begin, so that no time is near zero.
const startAt = time.Minute

// nominalRate is the rate of a clock that runs true, in thousandths.
const nominalRate = 1000

// progress is how far a state machine has come: its state is a sum over all
// entries that were applied, so that different histories show.
type progress struct {
	index uint64
	sum   uint64
}

func (p progress) then(e wire.Entry) progress {
	h := fnv.New64a()
	var b [32]byte
	binary.LittleEndian.PutUint64(b[0:], p.sum)
	binary.LittleEndian.PutUint64(b[8:], e.Index)
	binary.LittleEndian.PutUint64(b[16:], e.Term)
	binary.LittleEndian.PutUint64(b[24:], uint64(e.Kind))
	h.Write(b[:])
	h.Write(e.Data)
	return progress{e.Index, h.Sum64()}
}

func (p progress) encode() []byte {
	return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, p.index), p.sum)
}

func decodeProgress(b []byte) progress {
	if len(b) != 16 {
		return progress{index: firstIndex}
	}
	return progress{binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])}
}

// machine is one core machine: its process, its disk and its clock.
type machine struct {
	name    string
	node    *consensus.Node
	disk    consensus.PersistentState // what a restart finds at least
	pending []*wire.Batch             // handed to the disk, not known to be synced
	applied progress
	disks   uint64 // how many disks it has had
	rate    int64  // of its clock, in thousandths of the true time
}

func (m *machine) clone() *machine {
	c := *m
	c.node = m.node.Clone()
	c.disk.Log = slices.Clip(m.disk.Log)
	c.pending = slices.Clone(m.pending)
	return &c
}

// clock is the machine's own time at the true time now.
func (m *machine) clock(now time.Duration) time.Duration {
	return now / nominalRate * time.Duration(m.rate)
}

// packet is a message under way, known by a sum over its contents.
type packet struct {
	id uint64
	m  *wire.Message
}

// State is one state of an exploration.
type State struct {
	scenario *Scenario
	now      time.Duration
	machines []*machine
	network  []packet // oldest first
	used     Budget   // what was taken of the scenario's budget
	history  history
	broken   string // the invariant that the last action broke, and how
}

// newWorld starts the scenario's machines: its voters are the first members.
func newWorld(s *Scenario) *State {
	w := &State{scenario: s, now: startAt}
	var members []wire.Member
	for i := range s.Voters {
		members = append(members, wire.Member{Name: machineName(i), Disk: diskNumber(i, 0)})
	}
	for i := range s.VacantMembers {
		members = append(members, wire.Member{Name: fmt.Sprintf("%s-kept", machineName(i))})
	}
	for i := range s.Machines {
		m := &machine{name: machineName(i), rate: nominalRate, disk: consensus.PersistentState{Epoch: epoch, Disk: diskNumber(i, 0)}}
		if len(s.ClockRates) > 0 {
			m.rate = s.ClockRates[i%len(s.ClockRates)]
		}
		if i < s.Voters {
			m.disk.Snapshot = wire.Snapshot{Index: firstIndex, Members: members}
		}
		m.applied = decodeProgress(nil)
		if i >= s.Voters {
			m.applied = progress{}
		}
		m.node = consensus.New(m.clock(w.now), m.name, m.disk)
		w.machines = append(w.machines, m)
	}
	w.history.committed = []commitRecord{{progress: progress{index: firstIndex}}}
	if s.Setup != nil {
		s.Setup(w)
		w.used = Budget{}
	}
	return w
}

func machineName(i int) string { return string(rune('a' + i)) }

func diskNumber(machine int, generation uint64) uint64 {
	return uint64(machine)*diskStride + generation + 1
}

// place is the machine's index, -1 for names that no machine has.
func (w *State) place(name string) int {
	return slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == name })
}

// clone copies the world but not its machines.
func (w *State) clone() *State {
	c := *w
	c.machines = slices.Clone(w.machines)
	c.network = slices.Clone(w.network)
	c.history = w.history.clone()
	return &c
}

// act has one machine take a step and carries out what it left to do. The world
// must be a fresh clone.
func (w *State) act(i int, step func(n *consensus.Node, now time.Duration)) {
	m := w.machines[i].clone()
	w.machines[i] = m
	defer func() {
		if r := recover(); r != nil {
			w.fail(NoPanic, "%s: %v", m.name, r)
		}
	}()
	now := m.clock(w.now)
	step(m.node, now)
	if hook := w.scenario.Faults.AfterStep; hook != nil {
		hook(m.node, now)
	}
	w.carryOut(i, m, now)
	w.check(i)
}

// carryOut takes the node's output until there is none: batches go to the disk,
// messages to the network, agreed entries to the state machine.
func (w *State) carryOut(_ int, m *machine, now time.Duration) {
	for {
		out := m.node.Ready()
		if len(out.Batches)+len(out.Messages)+len(out.CommittedEntries) == 0 && out.Snapshot == nil {
			return
		}
		for _, msg := range out.Messages {
			w.checkPromise(m, msg)
			w.send(msg)
		}
		if out.Snapshot != nil {
			m.applied = decodeProgress(out.Snapshot.Data)
		}
		for _, e := range out.CommittedEntries {
			m.applied = m.applied.then(e)
		}
		m.pending = append(m.pending, out.Batches...)
		if w.scenario.SynchronousDisks {
			w.sync(m, len(m.pending), now)
			continue
		}
		for _, b := range out.Batches {
			if early := w.scenario.Faults.AcknowledgeEarly; early != nil && early(b) {
				m.node.Advance(now, b.Seq)
			}
		}
	}
}

// sync puts the first k batches on disk and tells the node.
func (w *State) sync(m *machine, k int, now time.Duration) {
	if k == 0 {
		return
	}
	for _, b := range m.pending[:k] {
		m.disk.ApplyBatch(b)
	}
	seq := m.pending[k-1].Seq
	m.pending = slices.Clone(m.pending[k:])
	m.node.Advance(now, seq)
}

// send puts a message on the network; over its bound the oldest one is lost.
func (w *State) send(msg *wire.Message) {
	if w.place(msg.To) < 0 {
		return
	}
	p := packet{messageID(msg), msg}
	if slices.ContainsFunc(w.network, func(q packet) bool { return q.id == p.id }) {
		return // the same once more is a duplicate, which is an action of its own
	}
	w.network = append(w.network, p)
	if over := len(w.network) - w.scenario.MaxInFlight; over > 0 {
		w.network = slices.Delete(w.network, 0, over)
	}
}

func messageID(m *wire.Message) uint64 {
	c := consensus.CanonicalEncoder{NodeIndex: func(name string) byte { return (name + "\xff")[0] }, DiskNumber: func(d uint64) uint64 { return d }}
	c.Message(m, 0)
	c.Uint(uint64(m.Timestamp))
	h := fnv.New64a()
	h.Write(c.Bytes)
	return h.Sum64()
}

// restart ends a process and starts it again from its disk, to which the first
// written of the pending batches have got.
func (w *State) restart(i, written int) {
	m := w.machines[i].clone()
	w.machines[i] = m
	for _, b := range m.pending[:written] {
		m.disk.ApplyBatch(b)
	}
	if hook := w.scenario.Faults.Restart; hook != nil {
		hook(&m.disk)
	}
	w.boot(i, m)
}

// wipe has a machine come back with an empty disk, as a member of the epoch that
// has heard of no members, which is how the core has it join.
func (w *State) wipe(i int) {
	m := w.machines[i].clone()
	w.machines[i] = m
	m.disks++
	m.disk = consensus.PersistentState{Epoch: epoch, Disk: diskNumber(i, m.disks)}
	w.boot(i, m)
}

func (w *State) boot(i int, m *machine) {
	defer func() {
		if r := recover(); r != nil {
			w.fail(NoPanic, "%s: %v", m.name, r)
		}
	}()
	m.pending = nil
	m.applied = progress{}
	if m.disk.Snapshot.Index > 0 {
		m.applied = decodeProgress(m.disk.Snapshot.Data)
	}
	m.node = consensus.New(m.clock(w.now), m.name, m.disk)
	w.check(i)
}

// settle lets time pass with every message delivered in order and every sync done.
func (w *State) settle(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += tuning.TickEvery {
		for i := range w.machines {
			w.act(i, func(n *consensus.Node, now time.Duration) { n.Tick(now) })
		}
		w.drain()
	}
}

// drain delivers and syncs until nothing is left to do.
func (w *State) drain() { w.drainExcept("") }

// drainExcept does the same, but what goes to one machine is lost.
func (w *State) drainExcept(name string) {
	for busy := true; busy; {
		busy = false
		for i, m := range w.machines {
			if k := len(m.pending); k > 0 {
				w.act(i, func(_ *consensus.Node, now time.Duration) { w.sync(w.machines[i], k, now) })
				busy = true
			}
		}
		if len(w.network) > 0 {
			p := w.network[0]
			w.network = w.network[1:]
			busy = true
			if p.m.To == name {
				continue
			}
			w.act(w.place(p.m.To), func(n *consensus.Node, now time.Duration) { n.Step(now, p.m) })
		}
	}
}

// leader is the machine that may decide now, -1 if there is none.
func (w *State) leader() int {
	return slices.IndexFunc(w.machines, func(m *machine) bool { return m.node.HasLease(m.clock(w.now)) })
}
