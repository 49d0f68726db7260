package daemon

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// newDiskProcess returns a process with an empty data directory. Its loop doesn't run: tests read the queue.
func newDiskProcess(tb testing.TB) *Process {
	tb.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Process{Settings: Settings{Data: tb.TempDir()}, Log: log, Loop: newLoop(&Clock{})}
}

// postedEvents removes and returns the events that are in the loop's queue.
func postedEvents(loop *Loop) (events []statemachine.Event) {
	for len(loop.queue) > 0 {
		events = append(events, (<-loop.queue).event)
	}
	return events
}

// faultyLog is a recordLog whose calls return the queued errors, one per call, nil for success.
type faultyLog struct {
	errs        []error
	fullAppends int // number of appends that report that the file is full
	appended    [][]byte
	rotations   int
}

func (l *faultyLog) nextError() error {
	if len(l.errs) == 0 {
		return nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return err
}

func (l *faultyLog) Append(records ...[]byte) (bool, error) {
	if err := l.nextError(); err != nil {
		return true, err
	}
	if l.fullAppends > 0 {
		l.fullAppends--
		return false, nil
	}
	l.appended = append(l.appended, records...)
	return true, nil
}

func (l *faultyLog) Rotate(_ []byte) error {
	if err := l.nextError(); err != nil {
		return err
	}
	l.rotations++
	return nil
}

// After a restart a member reads back all that was synced, across many rotations of the write-ahead log.
func TestDiskPersistsSyncedBatches(t *testing.T) {
	p := newDiskProcess(t)
	d, persisted, err := p.OpenDisk()
	if err != nil || persisted.Disk == 0 {
		t.Fatalf("open empty disk: error %v, disk number %d, want a number other than 0", err, persisted.Disk)
	}
	go d.Run(t.Context())
	want := consensus.PersistentState{Disk: persisted.Disk}
	big := []byte(`{"op":"restore","name":"` + strings.Repeat("x", 100<<10) + `"}`) // valid as an entry and as a snapshot
	for i := range uint64(200) {
		batch := &wire.Batch{Seq: i + 1, Entries: []wire.Entry{{Index: i + 1, Term: 1, Kind: consensus.EntryData, Data: big}}}
		if i%8 == 7 {
			batch.Snapshot = &wire.Snapshot{Index: i, Term: 1, Data: big}
		}
		d.Write(t.Context(), batch)
		want.ApplyBatch(batch)
	}
	for seq := uint64(0); seq < 200; {
		item := <-p.Loop.queue
		seq = item.event.(statemachine.Synced).Seq
	}
	_, got, err := p.OpenDisk()
	if err != nil || got.Disk != want.Disk || got.Snapshot.Index != want.Snapshot.Index || len(got.Log) != len(want.Log) || got.Log[0].Index != want.Log[0].Index {
		t.Fatalf("reopened disk: error %v, snapshot index %d, %d log entries; want %d and %d", err, got.Snapshot.Index, len(got.Log), want.Snapshot.Index, len(want.Log))
	}
}

// A write that fails because the disk is full or broken is retried. No batch is acknowledged before all are written in
// order, and consecutive failures with the same error are reported once.
func TestFailedWriteIsRetried(t *testing.T) {
	full, broken := syscall.ENOSPC, syscall.EIO
	for name, records := range map[string]*faultyLog{
		"append":   {errs: []error{full, full, broken, full}},
		"rotation": {errs: []error{full, nil, broken, nil, broken}, fullAppends: 9},
	} {
		t.Run(name, func(t *testing.T) {
			p := newDiskProcess(t)
			d := newDisk(p.Log, p.Loop, records)
			d.retryInterval = 0
			var batches []*wire.Batch
			for i := range uint64(3) {
				batches = append(batches, &wire.Batch{Seq: i + 1, Entries: []wire.Entry{{Index: i + 1, Term: 1}}})
			}
			d.sync(t.Context(), batches)
			posted := postedEvents(p.Loop)
			if last, ok := posted[len(posted)-1].(statemachine.Synced); !ok || last.Seq != 3 {
				t.Fatalf("posted %v, want Synced up to batch 3 last", posted)
			}
			before := posted[:len(posted)-1]
			for i, event := range before {
				health, ok := event.(statemachine.DiskHealth)
				if !ok || (health.Err == nil) != (i == len(before)-1) || i > 0 && health.Err != nil && errors.Is(health.Err, before[i-1].(statemachine.DiskHealth).Err) {
					t.Errorf("posted %v, want one DiskHealth for each change of the error", posted)
				}
			}
			if len(records.errs) > 0 || len(records.appended)+3*records.rotations != 3 || len(d.persisted.Log) != 3 {
				t.Errorf("%d errors left, %d records appended, %d rotations, %d entries; want no errors left, 3 records in all and 3 entries", len(records.errs), len(records.appended), records.rotations, len(d.persisted.Log))
			}
		})
	}
}

// A disk that can't be read completely counts as lost: it is recreated once, with a new disk number, and the damage is
// returned. The cases damage a record, remove a file, and store a valid record whose entry does not decode.
func TestDamagedDiskCountsAsLost(t *testing.T) {
	for name, damage := range map[string]func(t *testing.T, dir string){
		"a flipped bit": func(t *testing.T, dir string) {
			file := filepath.Join(dir, "ring-0")
			b, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			b[bytes.Index(b, []byte("first"))] ^= 1
			if err := os.WriteFile(file, b, 0o600); err != nil {
				t.Fatal(err)
			}
		},
		"a missing file": func(t *testing.T, dir string) {
			if err := os.Remove(filepath.Join(dir, "ring-2")); err != nil {
				t.Fatal(err)
			}
		},
		"an entry that does not decode": func(_ *testing.T, _ string) {},
	} {
		p := newDiskProcess(t)
		d, before, err := p.OpenDisk()
		if err != nil {
			t.Fatal(err)
		}
		data := func(text string) []byte {
			if name != "an entry that does not decode" {
				text = `{"op":"empty","name":"` + text + `"}`
			}
			return []byte(text)
		}
		for i, text := range []string{"first", "second", "third"} {
			e := wire.Entry{Index: uint64(i) + 1, Term: 1, Kind: consensus.EntryData, Data: data(text)}
			d.sync(t.Context(), []*wire.Batch{{Seq: uint64(i) + 1, HasHardState: true, Term: 1, Vote: "b", Entries: []wire.Entry{e}}})
		}
		damage(t, p.Settings.Data)
		_, persisted, found, err := p.openDiskWithRetry(nil)
		if err != nil || found == nil || persisted.Disk == before.Disk || persisted.Disk == 0 || persisted.Term != 0 || len(persisted.Log) != 0 {
			t.Errorf("%s: error %v, damage %v, disk number %d after %d, term %d, %d entries; want damage, a new disk number, term 0 and no entries", name, err, found, persisted.Disk, before.Disk, persisted.Term, len(persisted.Log))
		}
		if _, again, found, err := p.openDiskWithRetry(nil); err != nil || found != nil || again.Disk != persisted.Disk {
			t.Errorf("%s: at the next start: error %v, damage %v, disk number %d after %d; want no damage and the same number", name, err, found, again.Disk, persisted.Disk)
		}
	}
}

// Opening the disk is retried until it succeeds; a failure doesn't end the process.
func TestOpenDiskIsRetried(t *testing.T) {
	p := newDiskProcess(t)
	parent := filepath.Join(p.Settings.Data, "disk")
	if err := os.WriteFile(parent, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	p.Settings.Data = filepath.Join(parent, "ring")
	if _, _, err := p.OpenDisk(); err == nil {
		t.Fatal("OpenDisk succeeded below a regular file")
	}
	opened := make(chan consensus.PersistentState)
	go func() {
		_, persisted, _, _ := p.openDiskWithRetry(nil)
		opened <- persisted
	}()
	if err := os.Remove(parent); err != nil {
		t.Fatal(err)
	}
	if persisted := <-opened; persisted.Disk == 0 {
		t.Fatal("the opened disk has no number")
	}
}

// A stop signal ends the retries of a process whose disk can't be opened.
func TestStopInterruptsOpeningDisk(t *testing.T) {
	p := newDiskProcess(t)
	file := filepath.Join(p.Settings.Data, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	p.Settings.Data = filepath.Join(file, "ring")
	stop := make(chan os.Signal, 1)
	stop <- syscall.SIGTERM
	if _, _, _, err := p.openDiskWithRetry(stop); !errors.Is(err, errStopped) {
		t.Fatalf("error %v, want errStopped", err)
	}
}
