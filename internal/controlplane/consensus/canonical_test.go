package consensus

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A new field of one of these types must be handled in Clone and in CanonicalEncoder. Otherwise different states could have
// equal encodings, or a change to a copy could alter the original.
func TestCanonicalEncoderCoversAllFields(t *testing.T) {
	for _, known := range []struct {
		value  any
		fields []string
	}{
		{Node{}, []string{"self", "epoch", "term", "vote", "snapshot", "log", "compactedTail", "receiver", "commit", "applied", "stable",
			"members", "electorate", "role", "roleSince", "leader", "leaderContactAt", "leaderMessageAt", "electionDeadline",
			"votes", "consents", "unanimous", "outranked", "campaignedAt", "lastVoteAt", "progress", "heartbeatAt", "termStartIndex",
			"batchSeq", "hardStateSeq", "unsyncedBatches", "pendingMessages", "ready"}},
		{progress{}, []string{"member", "voter", "next", "match", "answeredMessageSentAt", "inflight", "rewoundAt", "chunks"}},
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
			t.Errorf("%T has the fields %v, but Clone and CanonicalEncoder handle %v: handle new fields there, then list them here", known.value, fields, known.fields)
		}
	}
}

// canonicalForm returns a node's canonical encoding without renumbering nodes and disks.
func canonicalForm(n *Node, now time.Duration) []byte {
	encoder := CanonicalEncoder{
		NodeIndex:  func(name string) byte { return append([]byte(name), 255)[0] },
		DiskNumber: func(disk uint64) uint64 { return disk },
	}
	encoder.Node(n, now)
	return encoder.Bytes
}

// A clone has the same state as the original, and steps of the clone don't change the original.
func TestCloneIsIndependent(t *testing.T) {
	cluster := newSimpleCluster()
	cluster.run(t, 2*time.Second, noCondition)
	for _, n := range cluster.nodes {
		before := canonicalForm(n, cluster.now)
		copied := n.Clone()
		if !bytes.Equal(before, canonicalForm(copied, cluster.now)) {
			t.Fatal("the clone differs from the original")
		}
		copied.Tick(cluster.now + tuning.HeartbeatEvery)
		if copied.HasLease(cluster.now) {
			copied.Propose(cluster.now, []byte("x"))
		}
		copied.Tick(cluster.now + 5*tuning.ElectionTimeoutMin)
		if !bytes.Equal(before, canonicalForm(n, cluster.now)) {
			t.Fatal("a step of the clone changed the original")
		}
		if bytes.Equal(before, canonicalForm(copied, cluster.now)) {
			t.Fatal("steps of the clone didn't change it")
		}
	}
}
