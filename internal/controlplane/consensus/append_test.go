package consensus

import (
	"testing"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/wire"
)

// A log that differs is overwritten from where it differs, and committed entries never are.
func TestConflictingEntriesAreOverwritten(t *testing.T) {
	n, _ := newTestNode("a")
	sendAppend := func(term, prevIndex, prevTerm, commit uint64, entries ...wire.Entry) *wire.Append {
		n.Step(1, &wire.Message{Kind: wire.KindAppend, From: "b", Disk: 2, Epoch: 1, Term: term,
			Append: &wire.Append{PrevIndex: prevIndex, PrevTerm: prevTerm, Commit: commit, Entries: entries}})
		ready := n.Ready()
		for _, b := range ready.Batches {
			n.Advance(1, b.Seq)
		}
		ready.Messages = append(ready.Messages, n.Ready().Messages...)
		return ready.Messages[len(ready.Messages)-1].Append
	}
	entry := func(index, term uint64) wire.Entry { return wire.Entry{Index: index, Term: term} }
	if r := sendAppend(1, 1, 0, 2, entry(2, 1), entry(3, 1), entry(4, 1)); !r.Success || r.MatchIndex != 4 || n.Commit() != 2 {
		t.Fatalf("%+v", r)
	}
	if r := sendAppend(2, 3, 2, 2); r.Success || r.MatchIndex != 2 {
		t.Fatalf("%+v", r)
	}
	if r := sendAppend(2, 2, 1, 3, entry(3, 2)); !r.Success || n.LastIndex() != 3 || n.Commit() != 3 {
		t.Fatalf("%+v last %d", r, n.LastIndex())
	}
	n.Step(1, &wire.Message{Kind: wire.KindAppend, From: "b", Disk: 2, Epoch: 1, Term: 3,
		Append: &wire.Append{PrevIndex: 2, PrevTerm: 1, Commit: 3, Entries: []wire.Entry{entry(3, 3)}}})
	ready := n.Ready()
	if len(ready.Rejected) != 1 || !errors.Is(ready.Rejected[0].Err, ErrCommitConflict) || len(ready.Messages)+len(ready.Batches) > 0 {
		t.Fatalf("a committed entry would be overwritten and Ready is %+v", ready)
	}
	if at, _ := n.termAt(3); at != 2 || n.Term() != 2 || n.Commit() != 3 {
		t.Fatalf("entry 3 is of term %d, term %d, commit %d", at, n.Term(), n.Commit())
	}
}

// snapshotChunk carries the bytes of a snapshot from one offset up to another.
func snapshotChunk(s wire.Snapshot, from, to int) *wire.Append {
	return &wire.Append{PrevIndex: s.Index, PrevTerm: s.Term, Chunk: &wire.Chunk{Index: s.Index, Term: s.Term, Members: s.Members,
		Size: uint64(len(s.Data)), Checksum: checksum(s.Data), Offset: uint64(from), Data: s.Data[from:to]}}
}

// A snapshot is acknowledged only once it is complete and synced; a damaged one is received again from the beginning; chunks
// that come twice or out of order change nothing.
func TestSnapshotIsAcknowledgedOnlyComplete(t *testing.T) {
	_, state := newTestNode("a")
	snapshot := wire.Snapshot{Index: 50, Term: 1, Members: state.Snapshot.Members, Data: []byte("the whole state")}
	n := newFollower()
	receive := func(request *wire.Append) (Ready, *wire.Append) {
		n.Step(1, appendFromB(1, request))
		ready := n.Ready()
		for _, b := range ready.Batches {
			if b.HasHardState {
				n.Advance(1, b.Seq)
				ready.Messages = append(ready.Messages, n.Ready().Messages...)
			}
		}
		if len(ready.Messages) == 0 {
			return ready, nil
		}
		return ready, ready.Messages[len(ready.Messages)-1].Append
	}
	receive(&wire.Append{}) // begins the term
	if _, r := receive(snapshotChunk(snapshot, 5, 9)); r.Success || r.Chunk != nil {
		t.Fatalf("a chunk without those before it: %+v", r)
	}
	if _, r := receive(snapshotChunk(snapshot, 0, 5)); r.Success || r.Chunk == nil || r.Chunk.Offset != 5 {
		t.Fatalf("%+v", r)
	}
	receive(snapshotChunk(snapshot, 0, 5))
	bad := snapshotChunk(snapshot, 5, 15)
	bad.Chunk.Data = []byte("DAMAGED!!!")
	if _, r := receive(bad); r.Success || r.Chunk != nil || n.Commit() != 1 {
		t.Fatalf("damaged: %+v", r)
	}
	receive(snapshotChunk(snapshot, 0, 5))
	ready, r := receive(snapshotChunk(snapshot, 5, 15))
	if r != nil || ready.Snapshot == nil || string(ready.Snapshot.Data) != string(snapshot.Data) || len(ready.Batches) != 1 {
		t.Fatalf("acknowledged before it was synced: %+v, snapshot %v", r, ready.Snapshot)
	}
	if _, r := receive(&wire.Append{PrevIndex: 50, PrevTerm: 1}); r == nil || !r.Success || r.MatchIndex >= 50 {
		t.Fatalf("a heartbeat before the sync: %+v", r)
	}
	n.Advance(1, ready.Batches[0].Seq)
	if a := n.Ready().Messages[0].Append; !a.Success || a.MatchIndex != 50 {
		t.Fatalf("%+v", a)
	}
}

// A snapshot that comes late, to a member that has acknowledged entries after it meanwhile, removes none of them.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	n := newFollower(wire.Entry{Index: 2, Term: 1}, wire.Entry{Index: 3, Term: 1}, wire.Entry{Index: 4, Term: 1})
	n.Step(1, appendFromB(1, snapshotChunk(wire.Snapshot{Index: 3, Term: 1, Members: n.members, Data: []byte("s")}, 0, 1)))
	if ready := n.Ready(); n.LastIndex() != 4 || ready.Snapshot != nil {
		t.Fatalf("log ends at %d, snapshot %v", n.LastIndex(), ready.Snapshot)
	}
}

// A heartbeat is answered at once however slow the disk is, and what isn't synced yet isn't acknowledged.
func TestHeartbeatOnSlowDisk(t *testing.T) {
	n := newFollower()
	n.Step(1, appendFromB(1, &wire.Append{}))
	for _, b := range n.Ready().Batches {
		n.Advance(1, b.Seq)
	}
	n.Ready()
	n.Step(2, appendFromB(1, &wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 1}}}))
	ready := n.Ready()
	if len(ready.Messages) != 0 {
		t.Fatal("acknowledged before the sync")
	}
	n.Step(3, appendFromB(1, &wire.Append{PrevIndex: 2, PrevTerm: 1}))
	if sent := n.Ready().Messages; len(sent) != 1 || !sent[0].Append.Success || sent[0].Append.MatchIndex != 1 {
		t.Fatalf("%+v", sent)
	}
	n.Advance(4, ready.Batches[0].Seq)
	if sent := n.Ready().Messages; len(sent) != 1 || sent[0].Append.MatchIndex != 2 {
		t.Fatalf("%+v", sent)
	}
}

// An entry that arrived in chunks and was overwritten since is received again.
func TestOverwrittenLargeEntryIsReceivedAgain(t *testing.T) {
	n := newFollower()
	data := []byte("large")
	chunk := &wire.Append{PrevIndex: 1, Chunk: &wire.Chunk{IsEntry: true, Index: 2, Term: 1, Kind: EntryData, Size: 5, Checksum: checksum(data), Data: data}}
	n.Step(1, appendFromB(1, chunk))
	n.Step(2, appendFromB(2, &wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 2}}}))
	n.Step(3, appendFromB(3, chunk))
	if got, _ := n.termAt(2); got != 1 || n.LastIndex() != 2 {
		t.Fatalf("entry 2 has term %d", got)
	}
}
