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

// newDiskProcess returns a process with an empty data folder, whose loop the test reads.
func newDiskProcess(tb testing.TB) *Process {
	tb.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Process{Settings: Settings{Data: tb.TempDir()}, Log: log, Loop: newLoop(&Clock{})}
}

// postedEvents takes the events that have been posted so far.
func postedEvents(loop *Loop) (events []statemachine.Event) {
	for len(loop.queue) > 0 {
		events = append(events, (<-loop.queue).event)
	}
	return events
}

// faultyLog rejects writes with the errors that are due, one each.
type faultyLog struct {
	due       []error
	noRoom    int // appends that find no room
	appended  [][]byte
	rotations int
}

func (l *faultyLog) reject() error {
	if len(l.due) == 0 {
		return nil
	}
	err := l.due[0]
	l.due = l.due[1:]
	return err
}

func (l *faultyLog) Append(records ...[]byte) (bool, error) {
	if err := l.reject(); err != nil {
		return true, err
	}
	if l.noRoom > 0 {
		l.noRoom--
		return false, nil
	}
	l.appended = append(l.appended, records...)
	return true, nil
}

func (l *faultyLog) Rotate(_ []byte) error {
	if err := l.reject(); err != nil {
		return err
	}
	l.rotations++
	return nil
}

// A member finds on its disk again what was synced, over many rotations of the write-ahead log.
func TestDiskKeepsWhatWasSynced(t *testing.T) {
	p := newDiskProcess(t)
	d, persisted, err := p.OpenDisk()
	if err != nil || persisted.Disk == 0 {
		t.Fatal(err, persisted)
	}
	go d.Run(t.Context())
	want := consensus.PersistentState{Disk: persisted.Disk}
	big := []byte(`{"op":"restore","name":"` + strings.Repeat("x", 100<<10) + `"}`) // an entry that decodes, and a state
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
		t.Fatalf("%v: %d %d", err, got.Snapshot.Index, len(got.Log))
	}
}

// A write to a disk that is full or fails is retried: nothing is acknowledged before the disk has taken all, in order,
// and each reason is reported once.
func TestRejectedWriteIsRetried(t *testing.T) {
	full, broken := syscall.ENOSPC, syscall.EIO
	for name, records := range map[string]*faultyLog{
		"append":   {due: []error{full, full, broken, full}},
		"rotation": {due: []error{full, nil, broken, nil, broken}, noRoom: 9},
	} {
		t.Run(name, func(t *testing.T) {
			p := newDiskProcess(t)
			d := newDisk(p.Log, p.Loop, records)
			d.retryGap = 0
			var batches []*wire.Batch
			for i := range uint64(3) {
				batches = append(batches, &wire.Batch{Seq: i + 1, Entries: []wire.Entry{{Index: i + 1, Term: 1}}})
			}
			d.sync(t.Context(), batches)
			posted := postedEvents(p.Loop)
			if last, ok := posted[len(posted)-1].(statemachine.Synced); !ok || last.Seq != 3 {
				t.Fatal(posted)
			}
			before := posted[:len(posted)-1]
			for i, event := range before {
				health, ok := event.(statemachine.DiskHealth)
				if !ok || (health.Err == nil) != (i == len(before)-1) || i > 0 && health.Err != nil && errors.Is(health.Err, before[i-1].(statemachine.DiskHealth).Err) {
					t.Errorf("posted %v", posted)
				}
			}
			if len(records.due) > 0 || len(records.appended)+3*records.rotations != 3 || len(d.persisted.Log) != 3 {
				t.Errorf("%d records and %d complete ones taken, %d entries", len(records.appended), records.rotations, len(d.persisted.Log))
			}
		})
	}
}

// A disk that can't be read completely counts as lost: it is recreated under another number, once, and says why.
// Damage is of a record, of a file, or of what a valid record says.
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
		"a file gone": func(t *testing.T, dir string) {
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
			t.Errorf("%s: error %v, damage %v, disk %d after %d, term %d, %d entries", name, err, found, persisted.Disk, before.Disk, persisted.Term, len(persisted.Log))
		}
		if _, again, found, err := p.openDiskWithRetry(nil); err != nil || found != nil || again.Disk != persisted.Disk {
			t.Errorf("%s: at the next start %v, damage %v, disk %d after %d", name, err, found, again.Disk, persisted.Disk)
		}
	}
}

// Opening a disk that can't be opened is retried and ends no process.
func TestOpeningTheDiskIsRetried(t *testing.T) {
	p := newDiskProcess(t)
	parent := filepath.Join(p.Settings.Data, "disk")
	if err := os.WriteFile(parent, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	p.Settings.Data = filepath.Join(parent, "ring")
	if _, _, err := p.OpenDisk(); err == nil {
		t.Fatal("opened")
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
		t.Fatal("no number")
	}
}

// A process that is asked to stop while its disk can't be opened gives up.
func TestStopEndsOpeningTheDisk(t *testing.T) {
	p := newDiskProcess(t)
	file := filepath.Join(p.Settings.Data, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	p.Settings.Data = filepath.Join(file, "ring")
	stop := make(chan os.Signal, 1)
	stop <- syscall.SIGTERM
	if _, _, _, err := p.openDiskWithRetry(stop); !errors.Is(err, errStopped) {
		t.Fatal(err)
	}
}
