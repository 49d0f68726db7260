package consensus

import (
	"testing"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/wire"
)

// A follower overwrites its log from the first entry that conflicts with the leader's. A message that would overwrite a
// committed entry is rejected.
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
		t.Fatalf("append of new entries: response %+v, commit %d; want success with MatchIndex 4, and commit 2", r, n.Commit())
	}
	if r := sendAppend(2, 3, 2, 2); r.Success || r.MatchIndex != 2 {
		t.Fatalf("append after an entry of another term: response %+v, want a rejection with MatchIndex 2", r)
	}
	if r := sendAppend(2, 2, 1, 3, entry(3, 2)); !r.Success || n.LastIndex() != 3 || n.Commit() != 3 {
		t.Fatalf("append of a conflicting entry: response %+v, last index %d, commit %d; want success, and 3 for both", r, n.LastIndex(), n.Commit())
	}
	n.Step(1, &wire.Message{Kind: wire.KindAppend, From: "b", Disk: 2, Epoch: 1, Term: 3,
		Append: &wire.Append{PrevIndex: 2, PrevTerm: 1, Commit: 3, Entries: []wire.Entry{entry(3, 3)}}})
	ready := n.Ready()
	if len(ready.Rejected) != 1 || !errors.Is(ready.Rejected[0].Err, ErrCommitConflict) || len(ready.Messages)+len(ready.Batches) > 0 {
		t.Fatalf("an append that conflicts with a committed entry wasn't only rejected: Ready is %+v", ready)
	}
	if at, _ := n.termAt(3); at != 2 || n.Term() != 2 || n.Commit() != 3 {
		t.Fatalf("a rejected append changed the node: entry 3 has term %d, node has term %d and commit %d; want 2, 2 and 3", at, n.Term(), n.Commit())
	}
}

// snapshotChunk returns an append message with the bytes [from, to) of a snapshot.
func snapshotChunk(s wire.Snapshot, from, to int) *wire.Append {
	return &wire.Append{PrevIndex: s.Index, PrevTerm: s.Term, Chunk: &wire.Chunk{Index: s.Index, Term: s.Term, Members: s.Members,
		Size: uint64(len(s.Data)), Checksum: checksum(s.Data), Offset: uint64(from), Data: s.Data[from:to]}}
}

// A snapshot is acknowledged only once it is complete and synced. A corrupted one is received again from the beginning, and
// duplicate or out-of-order chunks are ignored.
func TestSnapshotIsAcknowledgedOnlyWhenComplete(t *testing.T) {
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
	receive(&wire.Append{}) // starts the term
	if _, r := receive(snapshotChunk(snapshot, 5, 9)); r.Success || r.Chunk != nil {
		t.Fatalf("response to a chunk before the first one: %+v, want a rejection without a chunk", r)
	}
	if _, r := receive(snapshotChunk(snapshot, 0, 5)); r.Success || r.Chunk == nil || r.Chunk.Offset != 5 {
		t.Fatalf("response to the first 5 bytes: %+v, want a rejection with a chunk at offset 5", r)
	}
	receive(snapshotChunk(snapshot, 0, 5))
	bad := snapshotChunk(snapshot, 5, 15)
	bad.Chunk.Data = []byte("DAMAGED!!!")
	if _, r := receive(bad); r.Success || r.Chunk != nil || n.Commit() != 1 {
		t.Fatalf("response to a corrupted snapshot: %+v, commit %d; want a rejection without a chunk, and commit 1", r, n.Commit())
	}
	receive(snapshotChunk(snapshot, 0, 5))
	ready, r := receive(snapshotChunk(snapshot, 5, 15))
	if r != nil || ready.Snapshot == nil || string(ready.Snapshot.Data) != string(snapshot.Data) || len(ready.Batches) != 1 {
		t.Fatalf("complete snapshot before its sync: response %+v, snapshot in Ready %v, %d batches; want no response, the snapshot and one batch", r, ready.Snapshot, len(ready.Batches))
	}
	if _, r := receive(&wire.Append{PrevIndex: 50, PrevTerm: 1}); r == nil || !r.Success || r.MatchIndex >= 50 {
		t.Fatalf("response to a heartbeat before the sync: %+v, want success with a MatchIndex below 50", r)
	}
	n.Advance(1, ready.Batches[0].Seq)
	if a := n.Ready().Messages[0].Append; !a.Success || a.MatchIndex != 50 {
		t.Fatalf("response after the sync: %+v, want MatchIndex 50", a)
	}
}

// A snapshot that arrives late, after the member has acknowledged later entries, must not remove those entries.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	n := newFollower(wire.Entry{Index: 2, Term: 1}, wire.Entry{Index: 3, Term: 1}, wire.Entry{Index: 4, Term: 1})
	n.Step(1, appendFromB(1, snapshotChunk(wire.Snapshot{Index: 3, Term: 1, Members: n.members, Data: []byte("s")}, 0, 1)))
	if ready := n.Ready(); n.LastIndex() != 4 || ready.Snapshot != nil {
		t.Fatalf("last index is %d, want 4; snapshot in Ready is %v, want none", n.LastIndex(), ready.Snapshot)
	}
}

// A heartbeat is answered immediately even if the disk is slow, and its response acknowledges only synced entries.
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
		t.Fatal("an entry was acknowledged before its sync")
	}
	n.Step(3, appendFromB(1, &wire.Append{PrevIndex: 2, PrevTerm: 1}))
	if sent := n.Ready().Messages; len(sent) != 1 || !sent[0].Append.Success || sent[0].Append.MatchIndex != 1 {
		t.Fatalf("responses to a heartbeat before the sync: %+v, want one with MatchIndex 1", sent)
	}
	n.Advance(4, ready.Batches[0].Seq)
	if sent := n.Ready().Messages; len(sent) != 1 || sent[0].Append.MatchIndex != 2 {
		t.Fatalf("responses after the sync: %+v, want one with MatchIndex 2", sent)
	}
}

// An entry that was received in chunks and then overwritten by another leader can be received again. The receiver must not
// treat it as already complete.
func TestOverwrittenLargeEntryIsReceivedAgain(t *testing.T) {
	n := newFollower()
	data := []byte("large")
	chunk := &wire.Append{PrevIndex: 1, Chunk: &wire.Chunk{IsEntry: true, Index: 2, Term: 1, Kind: EntryData, Size: 5, Checksum: checksum(data), Data: data}}
	n.Step(1, appendFromB(1, chunk))
	n.Step(2, appendFromB(2, &wire.Append{PrevIndex: 1, Entries: []wire.Entry{{Index: 2, Term: 2}}}))
	n.Step(3, appendFromB(3, chunk))
	if got, _ := n.termAt(2); got != 1 || n.LastIndex() != 2 {
		t.Fatalf("entry 2 has term %d, want 1; last index %d, want 2", got, n.LastIndex())
	}
}
