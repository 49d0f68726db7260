package consensus

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A field that is added to one of these types has to be thought of in Clone and Canon: one
// that is left out would merge states that are not alike, or be changed through a copy.
func TestCanonKnowsAllFields(t *testing.T) {
	for _, known := range []struct {
		value  any
		fields []string
	}{
		{Node{}, []string{"self", "epoch", "role", "term", "vote", "snapshot", "log", "compactedTail", "receiver", "members", "commit", "applied", "stable", "leader",
			"leaderContactAt", "electionDeadline", "votes", "unanimous", "consents", "outranked", "leaderMessageAt", "campaignedAt", "lastVoteAt", "electorate",
			"progress", "heartbeatAt", "roleSince", "batchSeq", "hardStateSeq", "unsyncedBatches", "pendingMessages", "termStartIndex", "ready"}},
		{progress{}, []string{"member", "voter", "next", "match", "ackedAt", "inflight", "rewoundAt", "chunks"}},
		{sentEntries{}, []string{"lastIndex", "bytes"}},
		{chunkSender{}, []string{"content", "prevTerm", "acknowledged", "inFlight", "sentAt"}},
		{chunkReceiver{}, []string{"content", "data", "complete"}},
		{unsyncedBatch{}, []string{"seq", "queuedAt", "lastIndex"}},
		{pendingMessage{}, []string{"seq", "message"}},
		{Ready{}, []string{"Batches", "Messages", "CommittedEntries", "Snapshot", "Rejected"}},
		{wire.Vote{}, []string{"PreVote", "Reply", "Granted", "LastIndex", "LastTerm", "Transfer", "Unanimous", "NoLeader"}},
		{wire.Append{}, []string{"Reply", "Success", "PrevIndex", "PrevTerm", "Commit", "MatchIndex", "Entries", "Chunk"}},
		{wire.Chunk{}, []string{"IsEntry", "Index", "Term", "Kind", "Members", "Size", "Checksum", "Offset", "Data"}},
		{wire.Snapshot{}, []string{"Index", "Term", "Members", "Data"}},
		{wire.Entry{}, []string{"Index", "Term", "Kind", "Data"}},
	} {
		var fields []string
		for f := range reflect.TypeOf(known.value).Fields() {
			fields = append(fields, f.Name)
		}
		if !reflect.DeepEqual(fields, known.fields) {
			t.Errorf("%T has the fields %v, Clone and Canon know %v: add what is new there, then here", known.value, fields, known.fields)
		}
	}
}

func canonicalForm(n *Node, now time.Duration) []byte {
	c := CanonicalEncoder{NodeIndex: func(name string) byte { return append([]byte(name), 255)[0] }, DiskNumber: func(d uint64) uint64 { return d }}
	c.Node(n, now)
	return c.Bytes
}

// A copy is equal, and neither sees what the other does.
func TestClone(t *testing.T) {
	w := newSimpleCluster()
	w.run(t, 2*time.Second, func() bool { return false })
	for _, n := range w.nodes {
		before := canonicalForm(n, w.now)
		c := n.Clone()
		if !bytes.Equal(before, canonicalForm(c, w.now)) {
			t.Fatal("a copy is not equal")
		}
		c.Tick(w.now + tuning.HeartbeatEvery)
		if c.HasLease(w.now) {
			c.Propose(w.now, []byte("x"))
		}
		c.Tick(w.now + 5*tuning.ElectionTimeoutMin)
		if !bytes.Equal(before, canonicalForm(n, w.now)) {
			t.Fatal("a step of the copy was seen")
		}
		if bytes.Equal(before, canonicalForm(c, w.now)) {
			t.Fatal("a step was not seen")
		}
	}
}
