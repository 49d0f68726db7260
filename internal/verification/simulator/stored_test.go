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

var update = flag.Bool("update", false, "record the stored data in testdata anew, which only an intended change of its form may need")

// recordedFile returns the recorded bytes of that name, after writing got to them if asked to.
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

// storedImages are what members' disks held at moments of simulated runs: nothing yet, a bootstrap
// lock, a log from the beginning, and a snapshot with a log.
func storedImages(t *testing.T) map[string]consensus.PersistentState {
	t.Helper()
	images := map[string]consensus.PersistentState{"fresh": New(11, Small).process("c1").disk.image}
	locked := New(11, Small)
	for locked.process("c1").disk.image.BootstrapLock == 0 {
		if locked.now > 5*time.Second {
			t.Fatal("no bootstrap lock")
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
		t.Fatal("no disk with a snapshot and a log:", w.Failure)
	}
	return images
}

// What earlier code wrote to members' disks is read to the same state, and written again byte for byte.
func TestStoredStateKeepsItsForm(t *testing.T) {
	for name, img := range storedImages(t) {
		t.Run(name, func(t *testing.T) {
			got, err := wire.EncodeBatch(img.Checkpoint())
			if err != nil {
				t.Fatal(err)
			}
			want := recordedFile(t, name+".batch", got)
			if !bytes.Equal(got, want) {
				t.Error("a run writes otherwise than recorded")
			}
			b, err := wire.DecodeBatch(want)
			if err != nil {
				t.Fatal(err)
			}
			var read consensus.PersistentState
			read.ApplyBatch(b)
			if err := controlplane.CheckImage(&read); err != nil {
				t.Fatal(err)
			}
			if again, err := wire.EncodeBatch(read.Checkpoint()); err != nil || !bytes.Equal(again, want) {
				t.Fatalf("%v; read and written again it is another image", err)
			}
			status, err := json.MarshalIndent(controlplane.New(0, controlplane.Settings{Self: wire.Daemon{Name: "c1", Kind: wire.ControlDaemon}}, read).Status(0), "", " ")
			if err != nil {
				t.Fatal(err)
			}
			if want := recordedFile(t, name+".status.json", status); !bytes.Equal(status, want) {
				t.Errorf("its member says %s", status)
			}
			rewriteThroughWAL(t, want)
		})
	}
}

// rewriteThroughWAL takes a record through a write-ahead log of the daemons' size.
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
		t.Fatal(len(records), err)
	}
	r.Close()
}

// What a proxy remembers for a control plane that has lost everything is read, and written again byte for byte.
func TestProxysRecoveredStateKeepsItsForm(t *testing.T) {
	w := Start(11, Small)
	for _, p := range w.daemons(wire.ControlDaemon) {
		w.Kill(p)
	}
	w.Run(w.now + 3*time.Second)
	gate, member := w.process("g1"), w.process("c1")
	self := wire.Daemon{Name: member.name, Kind: wire.ControlDaemon, Domain: member.domain, Addr: member.address, Incarnation: 1}
	gate.proxy.Step(gate.localTime(), statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: member.name, Hello: &wire.Hello{Self: self, Reply: true}}})
	var memory []byte
	for step := time.Duration(0); memory == nil; step += tuning.TickEvery {
		if step > 5*time.Second {
			t.Fatal("the proxy says nothing of what it remembers")
		}
		for _, cmd := range gate.proxy.Step(gate.localTime()+step, statemachine.Tick{}) {
			if send, ok := cmd.(statemachine.Send); ok && send.Message.Hello != nil && len(send.Message.Hello.RecoveredState) > 0 {
				memory = send.Message.Hello.RecoveredState
			}
		}
	}
	want := recordedFile(t, "proxy-memory.bin", memory)
	if !bytes.Equal(memory, want) {
		t.Error("a proxy says otherwise than recorded")
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
		t.Fatalf("%v; read and written again it is another memory", err)
	}
	var state state.State
	if err := json.Unmarshal(recovered.State, &state); err != nil || state.Revision != w.checks.acknowledged || w.checks.acknowledged == 0 {
		t.Fatal(state.Revision, err)
	}
}
