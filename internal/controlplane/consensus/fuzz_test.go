package consensus

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// script turns a fuzzer's bytes into choices; without bytes left it chooses zero.
type choices struct{ bytes []byte }

func (s *choices) next() byte {
	if len(s.bytes) == 0 {
		return 0
	}
	c := s.bytes[0]
	s.bytes = s.bytes[1:]
	return c
}

func (s *choices) bit() bool { return s.next()&1 == 1 }

// number is mostly small, where a node's own numbers are, and sometimes at an edge.
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
	var ms []wire.Member
	for range s.next() % 4 {
		ms = append(ms, wire.Member{Name: s.name(), Disk: s.number()})
	}
	return ms
}

func (s *choices) entries(after uint64) []wire.Entry {
	var es []wire.Entry
	for i := range uint64(s.next() % 4) {
		e := wire.Entry{Index: after + 1 + i, Term: s.number(), Kind: uint16(s.next() % 4), Data: []byte{s.next()}}
		if s.next() == 0 {
			e.Index = s.number()
		}
		if e.Kind == EntryMembers && s.bit() {
			e.Data, _ = json.Marshal(s.members())
		}
		es = append(es, e)
	}
	return es
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

// committedEntries is what a node holds for committedEntries, to be compared with what it holds later.
func committedEntries(n *Node) []wire.Entry {
	return slices.DeleteFunc(slices.Clone(n.log), func(e wire.Entry) bool { return e.Index > n.commit })
}

// Whatever comes from other daemons a node never panics, and never goes back on what
// is agreed, nor on its term.
func FuzzRecv(f *testing.F) {
	f.Add([]byte{}, false)
	f.Add([]byte{1, 1, 2, 3, 0, 1, 0, 0, 1, 0, 1, 2, 3, 1, 2, 2, 1, 1, 1, 1}, false)
	f.Add([]byte{0, 1, 2, 1, 0, 0, 0, 0, 1, 0, 5, 0, 2, 1, 0, 9, 1, 1, 1, 0, 3, 1}, true)
	f.Add([]byte{0, 1, 2, 245, 0, 1, 1, 245, 245, 245, 245, 0, 0, 0, 0, 245, 245}, true)
	f.Fuzz(func(t *testing.T, b []byte, leads bool) {
		n, _ := newTestNode("a")
		now := time.Second
		if leads {
			now = electLeader(n)
		}
		s := &choices{b}
		for len(s.bytes) > 0 {
			commit, term, before := n.commit, n.term, committedEntries(n)
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
				t.Fatalf("commit %d after %d, term %d after %d", n.commit, commit, n.term, term)
			}
			for _, e := range before {
				if at, ok := n.termAt(e.Index); ok && at != e.Term {
					t.Fatalf("agreed entry %d of term %d is now of term %d", e.Index, e.Term, at)
				}
			}
		}
	})
}

// electLeader has a node win an election by b's vote and returns the time.
func electLeader(n *Node) time.Duration {
	now := tuning.ElectionTimeoutMin + tuning.ElectionTimeoutSpread
	n.Tick(now)
	for n.Role() != Leader {
		n.Advance(now, n.batchSeq)
		pre, term := n.Role() == PreCandidate, n.Term()
		if pre {
			term++
		}
		n.Step(now, &wire.Message{From: "b", Disk: 2, Epoch: 1, Term: term, Vote: &wire.Vote{PreVote: pre, Reply: true, Granted: true}})
	}
	return now
}

// What a node holds on disk, however odd, is refused with an error or can be started from.
func FuzzImage(f *testing.F) {
	f.Add([]byte{}, uint8(0))
	f.Add([]byte{1, 1, 2, 2, 3, 0, 1, 1}, uint8(2))
	f.Fuzz(func(_ *testing.T, b []byte, batches uint8) {
		s := &choices{b}
		im := PersistentState{Epoch: 1, Disk: 1}
		for range batches % 8 {
			batch := &wire.Batch{HasHardState: s.bit(), Term: s.number(), Vote: s.name(), TruncateFrom: s.number(), Entries: s.entries(s.number())}
			if s.bit() {
				batch.Snapshot = &wire.Snapshot{Index: s.number(), Term: s.number(), Members: s.members()}
			}
			im.ApplyBatch(batch)
		}
		if im.Validate() != nil {
			return
		}
		n := New(0, "a", im)
		for now := time.Duration(0); now < 3*time.Second; now += 100 * time.Millisecond {
			n.Tick(now)
			n.Step(now, s.message(now))
			n.Advance(now, n.batchSeq)
			n.Ready()
		}
	})
}

// Each kind of senseless message is refused, told of, and changes nothing.
func TestRefusals(t *testing.T) {
	entry := wire.Entry{Index: 2, Term: 1}
	for name, c := range map[string]struct {
		term   uint64
		append wire.Append
		want   error
	}{
		"a term beyond all":              {1 << 62, wire.Append{PrevIndex: 1}, ErrMalformed},
		"a position beyond all":          {2, wire.Append{PrevIndex: 1<<64 - 1}, ErrMalformed},
		"entries with a gap":             {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{entry, {Index: 4, Term: 1}}}, ErrMalformed},
		"entries of a later term":        {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 3}}}, ErrMalformed},
		"entries whose terms go back":    {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 1}}}, ErrMalformed},
		"members that can't be read":     {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 1, Kind: EntryMembers, Data: []byte("{")}}}, ErrMalformed},
		"no members":                     {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 1, Kind: EntryMembers, Data: []byte("[]")}}}, ErrMalformed},
		"a snapshot without members":     {2, wire.Append{PrevIndex: 9, Chunk: &wire.Chunk{Index: 9, Term: 1}}, ErrMalformed},
		"a piece of a later term":        {2, wire.Append{PrevIndex: 1, Chunk: &wire.Chunk{IsEntry: true, Index: 2, Term: 3}}, ErrMalformed},
		"an entry in pieces with a gap":  {2, wire.Append{PrevIndex: 1, Chunk: &wire.Chunk{IsEntry: true, Index: 9, Term: 1}}, ErrMalformed},
		"another entry in pieces":        {2, wire.Append{PrevIndex: 1, Chunk: &wire.Chunk{IsEntry: true, Index: 2, Term: 2}}, ErrCommitConflict},
		"another entry than that agreed": {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 2}}}, ErrCommitConflict},
	} {
		t.Run(name, func(t *testing.T) {
			n, _ := newTestNode("a")
			n.Step(1, &wire.Message{From: "b", Disk: 2, Epoch: 1, Term: 1, Append: &wire.Append{PrevIndex: 1, Commit: 2, Entries: []wire.Entry{entry}}})
			n.Advance(1, n.batchSeq)
			n.Ready()
			before := canonicalForm(n, 1)
			n.Step(1, &wire.Message{From: "c", Disk: 3, Epoch: 1, Term: c.term, Append: &c.append})
			o := n.Ready()
			if len(o.Rejected) != 1 || !errors.Is(o.Rejected[0].Err, c.want) || o.Rejected[0].From != "c" {
				t.Errorf("refused %v", o.Rejected)
			}
			if len(o.Messages)+len(o.Batches) > 0 || !slices.Equal(before, canonicalForm(n, 1)) {
				t.Error("it was acted on")
			}
		})
	}
}
