package consensus

import (
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/wire"
)

// Each kind of message that no correct member can have sent is rejected, reported, and changes nothing.
func TestMalformedMessagesAreRejected(t *testing.T) {
	entry := wire.Entry{Index: 2, Term: 1}
	for name, test := range map[string]struct {
		term   uint64
		append wire.Append
		want   error
	}{
		"a term beyond the bound":       {1 << 62, wire.Append{PrevIndex: 1}, ErrMalformed},
		"an index beyond the bound":     {2, wire.Append{PrevIndex: 1<<64 - 1}, ErrMalformed},
		"entries with a gap":            {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{entry, {Index: 4, Term: 1}}}, ErrMalformed},
		"entries of a later term":       {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 3}}}, ErrMalformed},
		"entries whose terms decrease":  {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 1}}}, ErrMalformed},
		"members that can't be read":    {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 1, Kind: EntryMembers, Data: []byte("{")}}}, ErrMalformed},
		"no members":                    {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 1, Kind: EntryMembers, Data: []byte("[]")}}}, ErrMalformed},
		"a snapshot without members":    {2, wire.Append{PrevIndex: 9, Chunk: &wire.Chunk{Index: 9, Term: 1}}, ErrMalformed},
		"a chunk of a later term":       {2, wire.Append{PrevIndex: 1, Chunk: &wire.Chunk{IsEntry: true, Index: 2, Term: 3}}, ErrMalformed},
		"an entry in chunks with a gap": {2, wire.Append{PrevIndex: 1, Chunk: &wire.Chunk{IsEntry: true, Index: 9, Term: 1}}, ErrMalformed},
		"another entry in chunks":       {2, wire.Append{PrevIndex: 1, Chunk: &wire.Chunk{IsEntry: true, Index: 2, Term: 2}}, ErrCommitConflict},
		"another entry than committed":  {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 2}}}, ErrCommitConflict},
	} {
		t.Run(name, func(t *testing.T) {
			n, _ := newTestNode("a")
			n.Step(1, &wire.Message{From: "b", Disk: 2, Epoch: 1, Term: 1, Append: &wire.Append{PrevIndex: 1, Commit: 2, Entries: []wire.Entry{entry}}})
			n.Advance(1, n.batchSeq)
			n.Ready()
			before := canonicalForm(n, 1)
			n.Step(1, &wire.Message{From: "c", Disk: 3, Epoch: 1, Term: test.term, Append: &test.append})
			ready := n.Ready()
			if len(ready.Rejected) != 1 || !errors.Is(ready.Rejected[0].Err, test.want) || ready.Rejected[0].From != "c" {
				t.Errorf("rejected %v", ready.Rejected)
			}
			if len(ready.Messages)+len(ready.Batches) > 0 || !slices.Equal(before, canonicalForm(n, 1)) {
				t.Error("it changed something")
			}
		})
	}
}
