// This file makes the key of a state: states with the same key go on alike but for
// the length of timeouts drawn later, and one of them is enough.

package modelcheck

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

// key is a sum over the canonical form of a state.
type key [16]byte

// noMachine stands for a name that no machine has.
const noMachine = 255

// keeper makes keys; it keeps its buffers, so each worker has one.
type keeper struct {
	canon  consensus.CanonicalEncoder
	place  [32]byte // the new place of each machine
	best   []byte
	chunks [][]byte
	signs  []signature
	order  []int
	fixed  bool // machines differ by their clocks or names, and are not renamed
}

// signature is what can be told of a machine without names; machines with unlike
// signatures need not be tried in each other's place.
type signature [12]uint64

func newKeeper(s *Scenario) *keeper {
	k := &keeper{fixed: len(s.ClockRates) > 1 || s.VacantMembers > 0}
	if len(s.TimeSteps) == 1 && s.TimeSteps[0] == timeout && len(s.ClockRates) == 0 {
		k.canon.DeadlineStep = timeout // whenever a deadline is within the next step, it has passed after it
	}
	k.canon.NodeIndex = func(name string) byte {
		if name == "" {
			return noMachine
		}
		p := k.place[(name[0]-'a')%32]
		if len(name) > 1 {
			p += 32 // a place that is kept and nobody has
		}
		return p
	}
	k.canon.DiskNumber = func(disk uint64) uint64 {
		if disk == 0 {
			return 0
		}
		return uint64(k.place[(disk-1)/diskStride%32])*diskStride + (disk-1)%diskStride + 1
	}
	return k
}

// key is the least of the state's forms over all orders of the machines that their
// signatures leave open.
func (k *keeper) key(w *State) key {
	k.best = k.best[:0]
	k.sign(w)
	k.eachOrder(0, func() {
		k.write(w, k.order)
		if len(k.best) == 0 || bytes.Compare(k.canon.Bytes, k.best) < 0 {
			k.best = append(k.best[:0], k.canon.Bytes...)
		}
	})
	sum := sha256.Sum256(k.best)
	return key(sum[:16])
}

// sign fills in the machines' signatures and orders the machines by them.
func (k *keeper) sign(w *State) {
	k.signs, k.order = k.signs[:0], k.order[:0]
	for i, m := range w.machines {
		n := m.node
		s := signature{uint64(n.Role()), n.Term(), n.Commit(), n.LastIndex(), n.Snapshot().Index, m.disks, uint64(len(m.pending)),
			m.disk.Term, m.applied.index, uint64(len(n.Members()))}
		if k.fixed {
			s = signature{uint64(i)}
		}
		for _, p := range w.network {
			if p.m.To == m.name {
				s[10]++
			}
			if p.m.From == m.name {
				s[11]++
			}
		}
		k.signs, k.order = append(k.signs, s), append(k.order, i)
	}
	slices.SortStableFunc(k.order, func(a, b int) int { return slices.Compare(k.signs[a][:], k.signs[b][:]) })
}

// eachOrder calls visit with every order that permutes machines of equal signature,
// from the given place on.
func (k *keeper) eachOrder(from int, visit func()) {
	if from == len(k.order) {
		visit()
		return
	}
	for i := from; i < len(k.order) && (i == from || k.signs[k.order[i]] == k.signs[k.order[from]]); i++ {
		k.order[from], k.order[i] = k.order[i], k.order[from]
		k.eachOrder(from+1, visit)
		k.order[from], k.order[i] = k.order[i], k.order[from]
	}
}

// machineForm is the form of one machine alone.
func (k *keeper) machineForm(w *State, i int) []byte {
	for j := range w.machines {
		k.place[j] = byte(j)
	}
	k.canon.Bytes = k.canon.Bytes[:0]
	k.writeMachine(w, i)
	return bytes.Clone(k.canon.Bytes)
}

// write writes the state down with the machine order[i] at place i.
func (k *keeper) write(w *State, order []int) {
	c := &k.canon
	c.Bytes = c.Bytes[:0]
	for place, i := range order {
		k.place[i] = byte(place)
	}
	for _, i := range order {
		k.writeMachine(w, i)
	}
	c.Bytes = append(c.Bytes, w.used[:]...)
	k.writeNetwork(w)
	k.writeHistory(w)
}

func (k *keeper) writeMachine(w *State, i int) {
	c, m := &k.canon, w.machines[i]
	c.Node(m.node, m.clock(w.now))
	c.PersistentState(&m.disk)
	c.Uint(m.applied.index)
	c.Uint(m.disks)
	c.Uint(uint64(len(m.pending)))
	for _, b := range m.pending {
		c.Batch(b)
	}
}

// writeNetwork appends the messages under way as a set.
func (k *keeper) writeNetwork(w *State) {
	c := &k.canon
	start := len(c.Bytes)
	k.chunks = k.chunks[:0]
	ends := make([]int, 0, len(w.network))
	for _, p := range w.network {
		c.Message(p.m, w.stampClock(p.m))
		ends = append(ends, len(c.Bytes))
	}
	at := start
	for _, end := range ends {
		k.chunks = append(k.chunks, bytes.Clone(c.Bytes[at:end]))
		at = end
	}
	slices.SortFunc(k.chunks, bytes.Compare)
	c.Bytes = c.Bytes[:start]
	c.Uint(uint64(len(k.chunks)))
	for _, b := range k.chunks {
		c.Bytes = append(c.Bytes, b...)
	}
}

// stampClock is the present by the clock that a message's stamp is of: the
// leader's, who sends appends and gets their replies.
func (w *State) stampClock(m *wire.Message) time.Duration {
	if m.Append == nil {
		return 0
	}
	name := m.From
	if m.Append.Reply {
		name = m.To
	}
	return w.machines[w.place(name)].clock(w.now)
}

// writeHistory appends what the invariants remember, in an order of its own.
func (k *keeper) writeHistory(w *State) {
	c := &k.canon
	for _, l := range w.history.leaders {
		c.Uint(l.term)
		c.NodeName(l.machine)
	}
	votes := slices.SortedFunc(slices.Values(w.history.votes), func(a, b voteRecord) int {
		return int(a.term)*1024 + int(c.DiskNumber(a.voter.Disk)) - int(b.term)*1024 - int(c.DiskNumber(b.voter.Disk))
	})
	for _, v := range votes {
		c.Uint(v.term)
		c.Member(v.voter)
		c.NodeName(v.candidate)
	}
	for _, e := range w.history.committed {
		c.Uint(e.entryTerm)
		c.Uint(e.byTerm)
	}
}
