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
		{Node{}, []string{"self", "epoch", "role", "term", "vote", "snap", "log", "tail", "incoming", "members", "commit", "applied", "stable", "leader",
			"leaderHeardAt", "deadline", "votes", "unanimous", "consents", "outranked", "leaderSpokeAt", "askedAt", "votedAt", "electorate",
			"progress", "beatAt", "since", "seq", "hardSeq", "unsyncedBatches", "heldMessages", "termStart", "ready"}},
		{progress{}, []string{"member", "voter", "next", "match", "acked", "inFlight", "rewoundAt", "chunks"}},
		{sentEntries{}, []string{"last", "bytes"}},
		{chunkSender{}, []string{"whole", "prevTerm", "held", "underWay", "sentAt"}},
		{chunkReceiver{}, []string{"whole", "data", "done"}},
		{unsyncedBatch{}, []string{"seq", "at", "last"}},
		{heldMessage{}, []string{"seq", "m"}},
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

func canonOf(n *Node, now time.Duration) []byte {
	c := CanonicalEncoder{NodeIndex: func(name string) byte { return append([]byte(name), 255)[0] }, DiskNumber: func(d uint64) uint64 { return d }}
	c.Node(n, now)
	return c.Bytes
}

// A copy is equal, and neither sees what the other does.
func TestClone(t *testing.T) {
	w := newTrio()
	w.run(t, 2*time.Second, func() bool { return false })
	for _, n := range w.nodes {
		before := canonOf(n, w.now)
		c := n.Clone()
		if !bytes.Equal(before, canonOf(c, w.now)) {
			t.Fatal("a copy is not equal")
		}
		c.Tick(w.now + tuning.HeartbeatEvery)
		if c.HasLease(w.now) {
			c.Propose(w.now, []byte("x"))
		}
		c.Tick(w.now + 5*tuning.ElectionTimeoutMin)
		if !bytes.Equal(before, canonOf(n, w.now)) {
			t.Fatal("a step of the copy was seen")
		}
		if bytes.Equal(before, canonOf(c, w.now)) {
			t.Fatal("a step was not seen")
		}
	}
}
