package consensus

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// choices derives messages and other test input from a fuzzer's bytes. Once they are used up, every choice is zero.
type choices struct{ bytes []byte }

// next consumes and returns the next byte.
func (s *choices) next() byte {
	if len(s.bytes) == 0 {
		return 0
	}
	c := s.bytes[0]
	s.bytes = s.bytes[1:]
	return c
}

func (s *choices) bit() bool { return s.next()&1 == 1 }

// number returns a term, index or size: usually a small one, as in a node's own state, sometimes one near a limit.
func (s *choices) number() uint64 {
	switch c := s.next(); {
	case c < 240:
		return uint64(c % 8)
	case c < 250:
		return 1<<64 - 1 - uint64(c%3)
	default:
		return 1<<62 + uint64(c%3) - 1
	}
}

func (s *choices) name() string {
	return []string{"a", "b", "c", "d", "", "\x00"}[s.next()%6]
}

func (s *choices) members() []wire.Member {
	var members []wire.Member
	for range s.next() % 4 {
		members = append(members, wire.Member{Name: s.name(), Disk: s.number()})
	}
	return members
}

func (s *choices) entries(after uint64) []wire.Entry {
	var entries []wire.Entry
	for i := range uint64(s.next() % 4) {
		e := wire.Entry{Index: after + 1 + i, Term: s.number(), Kind: uint16(s.next() % 4), Data: []byte{s.next()}}
		if s.next() == 0 {
			e.Index = s.number()
		}
		if e.Kind == EntryMembers && s.bit() {
			e.Data, _ = json.Marshal(s.members())
		}
		entries = append(entries, e)
	}
	return entries
}

func (s *choices) chunk() *wire.Chunk {
	p := &wire.Chunk{IsEntry: s.bit(), Index: s.number(), Term: s.number(), Kind: uint16(s.next() % 4), Members: s.members(), Offset: s.number(), Data: []byte{s.next()}}
	p.Size, p.Checksum = uint64(len(p.Data)), checksum(p.Data)
	if s.next() == 0 {
		p.Size = s.number()
	}
	return p
}

func (s *choices) message(now time.Duration) *wire.Message {
	m := &wire.Message{From: s.name(), Disk: s.number(), Epoch: 1, Term: s.number(), Timestamp: int64(now)}
	if s.next() == 0 {
		m.Timestamp = int64(s.number())
	}
	if s.bit() {
		m.Vote = &wire.Vote{PreVote: s.bit(), Reply: s.bit(), Granted: s.bit(), Transfer: s.bit(), Unanimous: s.bit(), NoLeader: s.bit(), LastIndex: s.number(), LastTerm: s.number()}
		return m
	}
	a := &wire.Append{Reply: s.bit(), Success: s.bit(), PrevIndex: s.number(), PrevTerm: s.number(), Commit: s.number(), MatchIndex: s.number()}
	a.Entries = s.entries(a.PrevIndex)
	if s.next()%4 == 0 {
		a.Chunk = s.chunk()
	}
	m.Append = a
	return m
}

// committedEntries returns a copy of the committed entries in a node's log.
func committedEntries(n *Node) []wire.Entry {
	return slices.DeleteFunc(slices.Clone(n.log), func(e wire.Entry) bool { return e.Index > n.commit })
}

// No sequence of received messages makes a node panic, change a committed entry, or decrease its commit index or term.
func FuzzStep(f *testing.F) {
	f.Add([]byte{}, false)
	f.Add([]byte{1, 1, 2, 3, 0, 1, 0, 0, 1, 0, 1, 2, 3, 1, 2, 2, 1, 1, 1, 1}, false)
	f.Add([]byte{0, 1, 2, 1, 0, 0, 0, 0, 1, 0, 5, 0, 2, 1, 0, 9, 1, 1, 1, 0, 3, 1}, true)
	f.Add([]byte{0, 1, 2, 245, 0, 1, 1, 245, 245, 245, 245, 0, 0, 0, 0, 245, 245}, true)
	f.Fuzz(func(t *testing.T, data []byte, leads bool) {
		n, _ := newTestNode("a")
		now := time.Second
		if leads {
			now = electLeader(n)
		}
		s := &choices{data}
		for len(s.bytes) > 0 {
			commit, term, entriesBefore := n.commit, n.term, committedEntries(n)
			switch s.next() % 4 {
			case 0, 1:
				n.Step(now, s.message(now))
			case 2:
				now += time.Duration(s.next()) * 10 * time.Millisecond
				n.Tick(now)
			case 3:
				n.Advance(now, n.batchSeq)
			}
			n.Ready()
			if n.commit < commit || n.term < term {
				t.Fatalf("commit index or term decreased: commit %d -> %d, term %d -> %d", commit, n.commit, term, n.term)
			}
			for _, e := range entriesBefore {
				if got, ok := n.termAt(e.Index); ok && got != e.Term {
					t.Fatalf("term of committed entry %d changed from %d to %d", e.Index, e.Term, got)
				}
			}
		}
	})
}

// Validate rejects a state read from disk, or a node can start from that state and run without a panic.
func FuzzPersistentState(f *testing.F) {
	f.Add([]byte{}, uint8(0))
	f.Add([]byte{1, 1, 2, 2, 3, 0, 1, 1}, uint8(2))
	f.Fuzz(func(_ *testing.T, data []byte, batches uint8) {
		s := &choices{data}
		state := PersistentState{Epoch: 1, Disk: 1}
		for range batches % 8 {
			batch := &wire.Batch{HasHardState: s.bit(), Term: s.number(), Vote: s.name(), TruncateFrom: s.number(), Entries: s.entries(s.number())}
			if s.bit() {
				batch.Snapshot = &wire.Snapshot{Index: s.number(), Term: s.number(), Members: s.members()}
			}
			state.ApplyBatch(batch)
		}
		if state.Validate() != nil {
			return
		}
		n := New(0, "a", state)
		for now := time.Duration(0); now < 3*time.Second; now += 100 * time.Millisecond {
			n.Tick(now)
			n.Step(now, s.message(now))
			n.Advance(now, n.batchSeq)
			n.Ready()
		}
	})
}
