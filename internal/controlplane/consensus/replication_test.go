package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A learner on a link of 128 KiB a second catches up while ten changes a second of 30 KB go on, with one snapshot that nothing
// restarts, not even a newer one; heartbeats keep it in contact all the while.
func TestLearnerCatchesUpOverSlowLink(t *testing.T) {
	cluster := newLinkedCluster("a", "b", "c")
	rnd := rand.New(rand.NewPCG(1, 2))
	cluster.run(2*time.Second, noCondition)
	tick := cluster.proposeContinuously(t, func() []byte { return wire.Compress(configuration(rnd, 30<<10)) })
	cluster.run(10*time.Second, func() bool { tick(); return false })

	learner := wire.Member{Name: "d", Disk: 9}
	cluster.linkRate["d"] = tuning.SlowLink
	begun, sent, total := 0, 0, 0
	cluster.onSend = func(m *wire.Message, _ int) {
		if m.Append == nil || m.Append.Reply || m.Append.Chunk == nil || m.Append.Chunk.IsEntry {
			return
		}
		if m.Append.Chunk.Offset == 0 {
			begun++
			total += int(m.Append.Chunk.Size)
		}
		sent += len(m.Append.Chunk.Data)
	}
	cluster.add(learner, PersistentState{Epoch: 1, Disk: 9})
	from := cluster.now
	var firstSnapshot uint64
	var longestSilence time.Duration
	compacted := false
	caught := cluster.run(20*time.Second, func() bool {
		tick()
		_, n := cluster.leader(t)
		n.AddLearner(learner)
		if firstSnapshot == 0 {
			firstSnapshot = n.snapshot.Index
		}
		compacted = compacted || n.snapshot.Index > firstSnapshot
		if p := n.progress["d"]; p.ackedAt > from {
			longestSilence = max(longestSilence, cluster.now-p.ackedAt)
		}
		match, ok := n.Match(learner)
		return ok && match > 0 && match >= n.Commit() // all of it, not only nearly
	})
	t.Logf("caught up after %v: %d snapshot(s), %d of %d bytes sent, longest without contact %v, largest message %d bytes", cluster.now-from, begun, sent, total, longestSilence, cluster.largestMessage)
	if !caught || cluster.now-from > 5*time.Second {
		t.Fatalf("not caught up after %v", cluster.now-from)
	}
	if !compacted {
		t.Error("no newer snapshot was taken meanwhile")
	}
	if begun != 1 || sent != total {
		t.Errorf("%d snapshots begun, %d bytes sent for %d", begun, sent, total)
	}
	if longestSilence >= tuning.LeaderLease {
		t.Errorf("%v without contact", longestSilence)
	}
	if cluster.largestMessage > tuning.AppendMax+4<<10 {
		t.Errorf("a message of %d bytes", cluster.largestMessage)
	}
	cluster.run(10*time.Second, func() bool { // and stays so
		tick()
		_, n := cluster.leader(t)
		if lag := n.LastIndex() - n.progress["d"].match; lag > 10 {
			t.Fatalf("%d entries behind again at %v", lag, cluster.now)
		}
		return false
	})
}

// Changes that are more than a link carries can't be followed; but what is in flight to that
// member stays bounded, it stays in longestSilence, and it has caught up soon after they end.
func TestOverloadedLinkStaysBounded(t *testing.T) {
	cluster := newLinkedCluster("a", "b", "c")
	rnd := rand.New(rand.NewPCG(3, 4))
	cluster.run(2*time.Second, noCondition)
	name, _ := cluster.leader(t)
	slow := cluster.names[(slices.Index(cluster.names, name)+1)%3]
	cluster.linkRate[slow] = tuning.SlowLink
	tick := cluster.proposeContinuously(t, func() []byte { return randomBytes(rnd, 30<<10) })
	var longestSilence time.Duration
	cluster.run(20*time.Second, func() bool {
		tick()
		_, n := cluster.leader(t)
		longestSilence = max(longestSilence, cluster.now-n.progress[slow].ackedAt)
		if b := n.progress[slow].inflightBytes(); b > tuning.AppendMax {
			t.Fatalf("%d bytes in flight", b)
		}
		return false
	})
	if longestSilence >= tuning.LeaderLease {
		t.Errorf("%v without contact", longestSilence)
	}
	from := cluster.now
	_, n := cluster.leader(t)
	if !cluster.run(15*time.Second, func() bool { return n.progress[slow].match >= n.Commit() }) {
		t.Fatalf("at %d of %d after the changes ended", n.progress[slow].match, n.Commit())
	}
	t.Logf("longest without contact %v; caught up %v after the changes ended", longestSilence, cluster.now-from)
}

// Lost chunks are sent again from what has arrived, not from the beginning, and soon.
func TestLostChunkIsResumed(t *testing.T) {
	for _, kind := range []string{"snapshot", "entry"} {
		t.Run(kind, func(t *testing.T) {
			cluster := newLinkedCluster("a", "b", "c")
			rnd := rand.New(rand.NewPCG(5, 6))
			cluster.run(2*time.Second, noCondition)
			name, n := cluster.leader(t)
			const size = 400 << 10
			cluster.compactedState = func(string) []byte { return randomBytes(rnd, size) }
			data := randomBytes(rnd, size)
			if kind == "snapshot" { // larger than tuning.LogBytes, so it is compacted at once
				data = randomBytes(rnd, size/3)
				for range 3 {
					n.Propose(cluster.now, data)
					cluster.carryOut(name)
					cluster.run(time.Second, noCondition)
				}
			}
			sent, lost := 0, 0
			chunkBytes := map[string]int{} // of each chunk to each member
			cluster.drop = func(m *wire.Message) bool {
				if m.Append == nil || m.Append.Chunk == nil {
					return false
				}
				sent += len(m.Append.Chunk.Data)
				if chunk := m.Append.Chunk; !m.Append.Reply {
					chunkBytes[fmt.Sprint(m.To, chunk.Index, chunk.Offset)] = len(chunk.Data)
				}
				isLost := rnd.IntN(3) == 0 // responses too
				if isLost {
					lost++
				}
				return isLost
			}
			cluster.add(wire.Member{Name: "d", Disk: 9}, PersistentState{Epoch: 1, Disk: 9})
			from := cluster.now
			if kind == "entry" {
				cluster.run(time.Second, func() bool { n.AddLearner(wire.Member{Name: "d", Disk: 9}); return false })
				from, sent = cluster.now, 0
				clear(chunkBytes)
				n.Propose(cluster.now, data)
				cluster.carryOut(name)
			}
			if !cluster.run(20*time.Second, func() bool {
				n.AddLearner(wire.Member{Name: "d", Disk: 9})
				return n.progress["d"].match >= n.LastIndex() && n.Commit() == n.LastIndex()
			}) {
				t.Fatalf("at %d of %d", n.progress["d"].match, n.LastIndex())
			}
			needed := 0
			for _, bytes := range chunkBytes {
				needed += bytes
			}
			t.Logf("%v, %d bytes sent for %d, %d messages lost", cluster.now-from, sent, needed, lost)
			if lost == 0 || needed < size || sent > 2*needed || cluster.now-from > 5*time.Second {
				t.Errorf("%d bytes sent for %d, %d lost, in %v", sent, needed, lost, cluster.now-from)
			}
		})
	}
}

// A member that was unreachable while no more was compacted than is kept in memory needs no snapshot.
func TestCompactedTailAvoidsSnapshot(t *testing.T) {
	cluster := newLinkedCluster("a", "b", "c")
	rnd := rand.New(rand.NewPCG(7, 8))
	cluster.run(2*time.Second, noCondition)
	name, n := cluster.leader(t)
	away := cluster.names[(slices.Index(cluster.names, name)+1)%3]
	tick := cluster.proposeContinuously(t, func() []byte { return randomBytes(rnd, 4<<10) })
	cluster.run(time.Second, func() bool { tick(); return false })
	cluster.drop = func(m *wire.Message) bool { return m.To == away || m.From == away }
	before := n.snapshot.Index
	cluster.run(8*time.Second, func() bool { tick(); return false })
	if n.snapshot.Index == before {
		t.Fatal("nothing was compacted meanwhile")
	}
	cluster.restart(away)
	cluster.drop = func(*wire.Message) bool { return false }
	from := cluster.now
	if !cluster.run(5*time.Second, func() bool {
		tick()
		_, n = cluster.leader(t)
		return n.progress[away] != nil && n.progress[away].match >= n.Commit()
	}) {
		t.Fatal("it never caught up")
	}
	t.Logf("caught up after %v", cluster.now-from)
	if cluster.snapshotsInstalled[away] != 0 {
		t.Error("a snapshot was needed")
	}
}

// After ten thousand entries the log, its tail, the state on disk and messages are as large as after a few hundred.
func TestMemoryIsBoundedAfterTenThousandEntries(t *testing.T) {
	cluster := newLinkedCluster("a", "b", "c")
	rnd := rand.New(rand.NewPCG(9, 10))
	cluster.run(2*time.Second, noCondition)
	cluster.proposeContinuously(t, nil)
	doc := func() []byte { return randomBytes(rnd, 200+rnd.IntN(8<<10)) }
	for i := range 10000 {
		name, n := cluster.leader(t)
		n.Propose(cluster.now, doc())
		cluster.carryOut(name)
		cluster.step()
		if i%10 == 0 {
			cluster.run(20*time.Millisecond, func() bool { return n.Commit() == n.LastIndex() })
		}
	}
	cluster.run(time.Second, noCondition)
	for _, name := range cluster.names {
		n, state := cluster.nodes[name], cluster.states[name]
		logBytes, tailBytes := n.entryBytes(0, n.lastIndex()), 0
		for _, e := range n.compactedTail {
			tailBytes += len(e.Data)
		}
		checkpoint, err := wire.EncodeBatch(state.Checkpoint())
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: commit %d, log %d entries, %d bytes; tail %d bytes; checkpoint %d bytes", name, n.Commit(), len(n.log), logBytes, tailBytes, len(checkpoint))
		if n.Commit() < 10000 || len(n.log) > tuning.LogMax+2 || logBytes > tuning.LogBytes+tuning.AppendMax || tailBytes > tuning.LogTailBytes || len(checkpoint) > tuning.WALFileSize/2 {
			t.Errorf("%s holds too much", name)
		}
		if len(n.unsyncedBatches)+len(n.pendingMessages) > 0 {
			t.Errorf("%s: %d batches and %d messages left over", name, len(n.unsyncedBatches), len(n.pendingMessages))
		}
	}
	if cluster.largestMessage > tuning.AppendMax+4<<10 {
		t.Errorf("a message of %d bytes", cluster.largestMessage)
	}
}

// A follower whose disk takes 30 times as long stays in contact and keeps up; a leader whose
// disk doesn't answer loses its lease, acknowledges nothing, and another is elected.
func TestSlowAndStalledDisks(t *testing.T) {
	cluster := newLinkedCluster("a", "b", "c")
	rnd := rand.New(rand.NewPCG(11, 12))
	cluster.run(2*time.Second, noCondition)
	name, n := cluster.leader(t)
	slow := cluster.names[(slices.Index(cluster.names, name)+1)%3]
	cluster.syncTime[slow] = 30 * 2 * time.Millisecond
	tick := cluster.proposeContinuously(t, func() []byte { return randomBytes(rnd, 4<<10) })
	var longestSilence time.Duration
	cluster.run(10*time.Second, func() bool {
		tick()
		if _, leads := cluster.leader(t); leads != n {
			t.Fatal("another was elected")
		}
		longestSilence = max(longestSilence, cluster.now-n.progress[slow].ackedAt)
		return false
	})
	if lag := n.LastIndex() - n.progress[slow].match; lag > 3 || longestSilence > 2*tuning.HeartbeatEvery {
		t.Errorf("the slow one is %d entries behind, %v without contact", lag, longestSilence)
	}

	cluster.syncTime[name] = 10 * time.Second
	index := n.Propose(cluster.now, []byte("not on the leader's disk"))
	cluster.carryOut(name)
	from := cluster.now
	if !cluster.run(tuning.ElectionTimeoutMin, func() bool { return !n.HasLease(cluster.now) }) {
		t.Fatal("it holds its lease with a disk that doesn't answer")
	}
	t.Logf("it lost its lease after %v", cluster.now-from)
	if !cluster.run(5*time.Second, func() bool {
		for _, other := range cluster.names {
			if other != name && cluster.nodes[other].HasLease(cluster.now) {
				return true
			}
		}
		return false
	}) {
		t.Fatal("nobody else was elected")
	}
	if n.stable >= index {
		t.Error("it counts an entry that its disk has not synced")
	}
	cluster.run(10*time.Second, noCondition)
	if pending := len(n.pendingMessages); pending > tuning.SendQueue {
		t.Errorf("%d messages are pending", pending)
	}
}
