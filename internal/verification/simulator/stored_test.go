package simulator

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/controlplane/wal"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

var update = flag.Bool("update", false, "rewrite the stored data in testdata; only for an intended change of the stored format")

// recordedFile returns the content of a file in testdata/stored. With -update it first replaces the content by got.
func recordedFile(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	file := filepath.Join("testdata", "stored", name)
	if *update {
		if err := os.WriteFile(file, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// storedImages returns the state on members' disks at four points of simulated runs: empty, with a bootstrap lock, with
// a log from the beginning, and with a snapshot and a log.
func storedImages(t *testing.T) map[string]consensus.PersistentState {
	t.Helper()
	images := map[string]consensus.PersistentState{"fresh": New(11, Small).process("c1").disk.image}
	locked := New(11, Small)
	for locked.process("c1").disk.image.BootstrapLock == 0 {
		if locked.now > 5*time.Second {
			t.Fatal("c1 has stored no bootstrap lock after 5 s")
		}
		locked.Run(locked.now + time.Millisecond)
	}
	images["locked"] = locked.process("c1").disk.image
	w := Start(11, Small)
	images["log"] = w.process("c2").disk.image
	for n := 2; images["snapshot"].Snapshot.Index <= 1 && w.Failure == "" && n < 2*tuning.LogMax; n++ {
		w.PutConfig(w.Leader(), w.Revision(), n)
		w.Run(w.now + 100*time.Millisecond)
		images["snapshot"] = w.process("c2").disk.image
	}
	if w.Failure != "" || images["snapshot"].Snapshot.Index <= 1 || len(images["snapshot"].Log) == 0 {
		t.Fatal("c2 has no snapshot with a log after it:", w.Failure)
	}
	return images
}

// State that earlier versions wrote to members' disks must decode to the same state and encode to the same bytes.
func TestStoredStateFormatIsUnchanged(t *testing.T) {
	for name, img := range storedImages(t) {
		t.Run(name, func(t *testing.T) {
			got, err := wire.EncodeBatch(img.Checkpoint())
			if err != nil {
				t.Fatal(err)
			}
			want := recordedFile(t, name+".batch", got)
			if !bytes.Equal(got, want) {
				t.Error("the run's stored state differs from the recorded bytes")
			}
			b, err := wire.DecodeBatch(want)
			if err != nil {
				t.Fatal(err)
			}
			var read consensus.PersistentState
			read.ApplyBatch(b)
			if err := controlplane.CheckPersistentState(&read); err != nil {
				t.Fatal(err)
			}
			if again, err := wire.EncodeBatch(read.Checkpoint()); err != nil || !bytes.Equal(again, want) {
				t.Fatalf("decoding and encoding the recorded state gives other bytes: %v", err)
			}
			status, err := json.MarshalIndent(controlplane.New(0, controlplane.Settings{Self: wire.Daemon{Name: "c1", Kind: wire.ControlDaemon}}, read).Status(0), "", " ")
			if err != nil {
				t.Fatal(err)
			}
			if want := recordedFile(t, name+".status.json", status); !bytes.Equal(status, want) {
				t.Errorf("status of a member with this state differs from the recorded one: %s", status)
			}
			rewriteThroughWAL(t, want)
		})
	}
}

// rewriteThroughWAL writes a record to a write-ahead log of the daemons' size and checks that it reads back unchanged.
func rewriteThroughWAL(t *testing.T, record []byte) {
	t.Helper()
	dir := t.TempDir()
	r, err := wal.Recreate(dir, tuning.WALFiles, tuning.WALFileSize, record)
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	r, records, err := wal.Open(dir, tuning.WALFiles, tuning.WALFileSize)
	if err != nil || len(records) != 1 || !bytes.Equal(records[0], record) {
		t.Fatalf("the reopened log has %d records, want the one written: %v", len(records), err)
	}
	r.Close()
}

// The state that a proxy keeps for a control plane that has lost all disks must decode, and encode to the same bytes.
func TestProxyRecoveredStateFormatIsUnchanged(t *testing.T) {
	w := Start(11, Small)
	for _, p := range w.daemons(wire.ControlDaemon) {
		w.Kill(p)
	}
	w.Run(w.now + 3*time.Second)
	g1, member := w.process("g1"), w.process("c1")
	self := wire.Daemon{Name: member.name, Kind: wire.ControlDaemon, Domain: member.domain, Addr: member.address, Incarnation: 1}
	g1.proxy.Step(g1.localTime(), statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: member.name, Hello: &wire.Hello{Self: self, Reply: true}}})
	var sent []byte
	for step := time.Duration(0); sent == nil; step += tuning.TickEvery {
		if step > 5*time.Second {
			t.Fatal("g1 has sent no recovered state after 5 s")
		}
		for _, cmd := range g1.proxy.Step(g1.localTime()+step, statemachine.Tick{}) {
			if send, ok := cmd.(statemachine.Send); ok && send.Message.Hello != nil && len(send.Message.Hello.RecoveredState) > 0 {
				sent = send.Message.Hello.RecoveredState
			}
		}
	}
	want := recordedFile(t, "proxy-memory.bin", sent)
	if !bytes.Equal(sent, want) {
		t.Error("the recovered state that g1 sends differs from the recorded bytes")
	}
	plain, err := wire.Decompress(want)
	if err != nil {
		t.Fatal(err)
	}
	var recovered state.RecoveredState
	if err := json.Unmarshal(plain, &recovered); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(recovered)
	if err != nil || !bytes.Equal(wire.Compress(again), want) {
		t.Fatalf("decoding and encoding the recorded state gives other bytes: %v", err)
	}
	var state state.State
	if err := json.Unmarshal(recovered.State, &state); err != nil || state.Revision != w.checks.acknowledged || w.checks.acknowledged == 0 {
		t.Fatalf("the recovered state has revision %d, want the acknowledged %d: %v", state.Revision, w.checks.acknowledged, err)
	}
}
