package consensus

import (
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/wire"
)

// Messages that no correct member can have sent are rejected and reported, and don't change the node's state.
func TestMalformedMessagesAreRejected(t *testing.T) {
	entry := wire.Entry{Index: 2, Term: 1}
	for name, test := range map[string]struct {
		term   uint64
		append wire.Append
		want   error
	}{
		"a term beyond the bound":                             {1 << 62, wire.Append{PrevIndex: 1}, ErrMalformed},
		"an index beyond the bound":                           {2, wire.Append{PrevIndex: 1<<64 - 1}, ErrMalformed},
		"entries with a gap":                                  {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{entry, {Index: 4, Term: 1}}}, ErrMalformed},
		"entries of a later term":                             {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 3}}}, ErrMalformed},
		"entries whose terms decrease":                        {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 1}}}, ErrMalformed},
		"an undecodable member list":                          {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 1, Kind: EntryMembers, Data: []byte("{")}}}, ErrMalformed},
		"an empty member list":                                {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 1, Kind: EntryMembers, Data: []byte("[]")}}}, ErrMalformed},
		"a snapshot without members":                          {2, wire.Append{PrevIndex: 9, Chunk: &wire.Chunk{Index: 9, Term: 1}}, ErrMalformed},
		"a chunk of a later term":                             {2, wire.Append{PrevIndex: 1, Chunk: &wire.Chunk{IsEntry: true, Index: 2, Term: 3}}, ErrMalformed},
		"a chunked entry with a gap":                          {2, wire.Append{PrevIndex: 1, Chunk: &wire.Chunk{IsEntry: true, Index: 9, Term: 1}}, ErrMalformed},
		"a chunked entry that conflicts with a committed one": {2, wire.Append{PrevIndex: 1, Chunk: &wire.Chunk{IsEntry: true, Index: 2, Term: 2}}, ErrCommitConflict},
		"an entry that conflicts with a committed one":        {2, wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 2}}}, ErrCommitConflict},
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
				t.Errorf("rejected messages are %v, want one from c with error %v", ready.Rejected, test.want)
			}
			if len(ready.Messages)+len(ready.Batches) > 0 || !slices.Equal(before, canonicalForm(n, 1)) {
				t.Errorf("the rejected message had an effect: %d messages, %d batches, or a change of the node's state", len(ready.Messages), len(ready.Batches))
			}
		})
	}
}
