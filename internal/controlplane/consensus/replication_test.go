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

// A learner on a link of 128 KiB/s catches up while ten changes of 30 KB a second are proposed. It receives a single snapshot,
// whose transfer isn't restarted even when a newer snapshot is taken, and heartbeats keep it recently active throughout.
func TestLearnerCatchesUpOverSlowLink(t *testing.T) {
	cluster := newLinkedCluster("a", "b", "c")
	rnd := rand.New(rand.NewPCG(1, 2))
	cluster.run(2*time.Second, noCondition)
	tick := cluster.proposeContinuously(t, func() []byte { return wire.Compress(randomConfiguration(rnd, 30<<10)) })
	cluster.run(10*time.Second, func() bool { tick(); return false })

	learner := wire.Member{Name: "d", Disk: 9}
	cluster.linkRate["d"] = tuning.SlowLink
	transfers, sent, total := 0, 0, 0
	cluster.onSend = func(m *wire.Message, _ int) {
		if m.Append == nil || m.Append.Reply || m.Append.Chunk == nil || m.Append.Chunk.IsEntry {
			return
		}
		if m.Append.Chunk.Offset == 0 {
			transfers++
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
		if p := n.progress["d"]; p.answeredMessageSentAt > from {
			longestSilence = max(longestSilence, cluster.now-p.answeredMessageSentAt)
		}
		match, ok := n.Match(learner)
		return ok && match > 0 && match >= n.Commit() // completely, not within tuning.LearnerLag as for CaughtUp
	})
	t.Logf("caught up after %v: %d snapshot transfer(s), %d of %d bytes sent, longest time without contact %v, largest message %d bytes", cluster.now-from, transfers, sent, total, longestSilence, cluster.largestMessage)
	if !caught || cluster.now-from > 5*time.Second {
		t.Fatalf("after %v, learner has caught up: %v; want this within 5s", cluster.now-from, caught)
	}
	if !compacted {
		t.Error("no newer snapshot was taken during the transfer, so the test doesn't cover that case")
	}
	if transfers != 1 || sent != total {
		t.Errorf("%d snapshot transfers started and %d bytes sent, want 1 and %d", transfers, sent, total)
	}
	if longestSilence >= tuning.LeaderLease {
		t.Errorf("learner was without contact for %v, want less than %v", longestSilence, tuning.LeaderLease)
	}
	if cluster.largestMessage > tuning.AppendMax+4<<10 {
		t.Errorf("largest message has %d bytes, limit is %d", cluster.largestMessage, tuning.AppendMax+4<<10)
	}
	cluster.run(10*time.Second, func() bool { // the learner keeps up afterwards
		tick()
		_, n := cluster.leader(t)
		if lag := n.LastIndex() - n.progress["d"].match; lag > 10 {
			t.Fatalf("learner fell %d entries behind again at %v, want at most 10", lag, cluster.now)
		}
		return false
	})
}

// When changes exceed the bandwidth of the link to a member, the member can't keep up. The bytes in flight to it must stay
// bounded, the leader must stay in contact with it, and it must catch up soon after the changes end.
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
		longestSilence = max(longestSilence, cluster.now-n.progress[slow].answeredMessageSentAt)
		if b := n.progress[slow].inflightBytes(); b > tuning.AppendMax {
			t.Fatalf("%d bytes in flight to %s, limit is %d", b, slow, tuning.AppendMax)
		}
		return false
	})
	if longestSilence >= tuning.LeaderLease {
		t.Errorf("%s was without contact for %v, want less than %v", slow, longestSilence, tuning.LeaderLease)
	}
	from := cluster.now
	_, n := cluster.leader(t)
	if !cluster.run(15*time.Second, func() bool { return n.progress[slow].match >= n.Commit() }) {
		t.Fatalf("%s hasn't caught up within 15s after the changes ended: match %d, commit %d", slow, n.progress[slow].match, n.Commit())
	}
	t.Logf("longest time without contact %v; caught up %v after the changes ended", longestSilence, cluster.now-from)
}

// After lost chunks or responses a transfer resumes promptly from the bytes already received instead of starting over.
func TestTransferResumesAfterLostChunk(t *testing.T) {
	for _, kind := range []string{"snapshot", "entry"} {
		t.Run(kind, func(t *testing.T) {
			cluster := newLinkedCluster("a", "b", "c")
			rnd := rand.New(rand.NewPCG(5, 6))
			cluster.run(2*time.Second, noCondition)
			name, n := cluster.leader(t)
			const size = 400 << 10
			cluster.compactedState = func(string) []byte { return randomBytes(rnd, size) }
			data := randomBytes(rnd, size)
			if kind == "snapshot" { // exceed tuning.LogBytes, so that the log is compacted
				data = randomBytes(rnd, size/3)
				for range 3 {
					n.Propose(cluster.now, data)
					cluster.processReady(name)
					cluster.run(time.Second, noCondition)
				}
			}
			sent, lost := 0, 0
			chunkBytes := map[string]int{} // size of each distinct chunk to each member
			cluster.drop = func(m *wire.Message) bool {
				if m.Append == nil || m.Append.Chunk == nil {
					return false
				}
				sent += len(m.Append.Chunk.Data)
				if chunk := m.Append.Chunk; !m.Append.Reply {
					chunkBytes[fmt.Sprint(m.To, chunk.Index, chunk.Offset)] = len(chunk.Data)
				}
				isLost := rnd.IntN(3) == 0 // responses are lost too
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
				cluster.processReady(name)
			}
			if !cluster.run(20*time.Second, func() bool {
				n.AddLearner(wire.Member{Name: "d", Disk: 9})
				return n.progress["d"].match >= n.LastIndex() && n.Commit() == n.LastIndex()
			}) {
				t.Fatalf("transfer not complete within 20s: match %d, last index %d", n.progress["d"].match, n.LastIndex())
			}
			needed := 0
			for _, bytes := range chunkBytes {
				needed += bytes
			}
			t.Logf("took %v, %d bytes sent of which %d were needed, %d messages lost", cluster.now-from, sent, needed, lost)
			if lost == 0 || needed < size || sent > 2*needed || cluster.now-from > 5*time.Second {
				t.Errorf("%d bytes sent of which %d were needed (content has %d), %d messages lost, took %v; want lost messages, all of the content, at most twice the needed bytes, and at most 5s", sent, needed, size, lost, cluster.now-from)
			}
		})
	}
}

// A member that was unreachable needs no snapshot if the compacted entries that it missed are still in the leader's memory.
func TestCompactedTailAvoidsSnapshot(t *testing.T) {
	cluster := newLinkedCluster("a", "b", "c")
	rnd := rand.New(rand.NewPCG(7, 8))
	cluster.run(2*time.Second, noCondition)
	name, n := cluster.leader(t)
	unreachable := cluster.names[(slices.Index(cluster.names, name)+1)%3]
	tick := cluster.proposeContinuously(t, func() []byte { return randomBytes(rnd, 4<<10) })
	cluster.run(time.Second, func() bool { tick(); return false })
	cluster.drop = func(m *wire.Message) bool { return m.To == unreachable || m.From == unreachable }
	before := n.snapshot.Index
	cluster.run(8*time.Second, func() bool { tick(); return false })
	if n.snapshot.Index == before {
		t.Fatal("the log wasn't compacted while the member was unreachable")
	}
	cluster.restart(unreachable)
	cluster.drop = func(*wire.Message) bool { return false }
	from := cluster.now
	if !cluster.run(5*time.Second, func() bool {
		tick()
		_, n = cluster.leader(t)
		return n.progress[unreachable] != nil && n.progress[unreachable].match >= n.Commit()
	}) {
		t.Fatalf("%s hasn't caught up within 5s after it became reachable", unreachable)
	}
	t.Logf("caught up after %v", cluster.now-from)
	if cluster.snapshotsInstalled[unreachable] != 0 {
		t.Errorf("%s installed %d snapshots, want none", unreachable, cluster.snapshotsInstalled[unreachable])
	}
}

// The sizes of the log, the compacted tail, the checkpoint on disk and messages stay bounded over ten thousand entries.
func TestMemoryIsBoundedAfterTenThousandEntries(t *testing.T) {
	cluster := newLinkedCluster("a", "b", "c")
	rnd := rand.New(rand.NewPCG(9, 10))
	cluster.run(2*time.Second, noCondition)
	cluster.proposeContinuously(t, nil) // only for its snapshots of the last changes; the loop below proposes
	doc := func() []byte { return randomBytes(rnd, 200+rnd.IntN(8<<10)) }
	for i := range 10000 {
		name, n := cluster.leader(t)
		n.Propose(cluster.now, doc())
		cluster.processReady(name)
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
			t.Errorf("%s exceeds a limit: commit %d, log %d entries of %d and %d bytes of %d, tail %d bytes of %d, checkpoint %d bytes of %d", name, n.Commit(),
				len(n.log), tuning.LogMax+2, logBytes, tuning.LogBytes+tuning.AppendMax, tailBytes, tuning.LogTailBytes, len(checkpoint), tuning.WALFileSize/2)
		}
		if len(n.unsyncedBatches)+len(n.pendingMessages) > 0 {
			t.Errorf("%s still has %d unsynced batches and %d pending messages", name, len(n.unsyncedBatches), len(n.pendingMessages))
		}
	}
	if cluster.largestMessage > tuning.AppendMax+4<<10 {
		t.Errorf("largest message has %d bytes, limit is %d", cluster.largestMessage, tuning.AppendMax+4<<10)
	}
}

// A follower whose syncs take 60 ms, while those of the other members take no time, stays in contact and keeps up. A
// leader whose disk stalls loses its lease, doesn't count unsynced entries as its own acknowledgement, and is replaced.
func TestSlowAndStalledDisks(t *testing.T) {
	cluster := newLinkedCluster("a", "b", "c")
	rnd := rand.New(rand.NewPCG(11, 12))
	cluster.run(2*time.Second, noCondition)
	name, n := cluster.leader(t)
	slow := cluster.names[(slices.Index(cluster.names, name)+1)%3]
	cluster.syncTime[slow] = 60 * time.Millisecond
	tick := cluster.proposeContinuously(t, func() []byte { return randomBytes(rnd, 4<<10) })
	var longestSilence time.Duration
	cluster.run(10*time.Second, func() bool {
		tick()
		if _, leader := cluster.leader(t); leader != n {
			t.Fatal("another leader was elected because of a slow follower")
		}
		longestSilence = max(longestSilence, cluster.now-n.progress[slow].answeredMessageSentAt)
		return false
	})
	if lag := n.LastIndex() - n.progress[slow].match; lag > 3 || longestSilence > 2*tuning.HeartbeatEvery {
		t.Errorf("%s, whose disk is slow, is %d entries behind and was without contact for %v, want at most 3 and %v", slow, lag, longestSilence, 2*tuning.HeartbeatEvery)
	}

	cluster.syncTime[name] = 10 * time.Second
	index := n.Propose(cluster.now, []byte("not on the leader's disk"))
	cluster.processReady(name)
	from := cluster.now
	if !cluster.run(tuning.ElectionTimeoutMin, func() bool { return !n.HasLease(cluster.now) }) {
		t.Fatal("the leader still holds its lease with a stalled disk")
	}
	t.Logf("the leader with a stalled disk lost its lease after %v", cluster.now-from)
	if !cluster.run(5*time.Second, func() bool {
		for _, other := range cluster.names {
			if other != name && cluster.nodes[other].HasLease(cluster.now) {
				return true
			}
		}
		return false
	}) {
		t.Fatal("no other leader was elected within 5s after the leader with a stalled disk lost its lease")
	}
	if n.stable >= index {
		t.Errorf("stable index is %d, want less than %d, since that entry isn't synced", n.stable, index)
	}
	cluster.run(10*time.Second, noCondition)
	if pending := len(n.pendingMessages); pending > tuning.SendQueue {
		t.Errorf("%d messages are pending, limit is %d", pending, tuning.SendQueue)
	}
}
