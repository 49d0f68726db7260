package daemon

import (
	"bytes"
	"io"
	"myrtlefold/internal/shared/statemachine"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

func diskHost(t testing.TB) *Process {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &Process{Settings: Settings{Data: t.TempDir()}, Log: log}
	h.Loop = &Loop{queue: make(chan item, tuning.EventQueue), host: h}
	return h
}

// faultyStore refuses writes with the errors that are due, one each.
type faultyStore struct {
	due    []error
	noRoom int // appends that find no room
	taken  [][]byte
	wholes int
}

func (s *faultyStore) refuse() error {
	if len(s.due) == 0 {
		return nil
	}
	err := s.due[0]
	s.due = s.due[1:]
	return err
}

func (s *faultyStore) Append(recs ...[]byte) (bool, error) {
	if err := s.refuse(); err != nil {
		return true, err
	}
	if s.noRoom > 0 {
		s.noRoom--
		return false, nil
	}
	s.taken = append(s.taken, recs...)
	return true, nil
}

func (s *faultyStore) Rotate(_ []byte) error {
	if err := s.refuse(); err != nil {
		return err
	}
	s.wholes++
	return nil
}

// A disk that is full or fails is tried again: nothing is acknowledged before it has taken
// all, in order, and each reason is told once.
func TestDiskThatRefusesWrites(t *testing.T) {
	full, broken := syscall.ENOSPC, syscall.EIO
	for name, s := range map[string]*faultyStore{
		"append":   {due: []error{full, full, broken, full}},
		"rotation": {due: []error{full, nil, broken, nil, broken}, noRoom: 9},
	} {
		h := diskHost(t)
		d := h.newDisk(s)
		d.retry = 0
		var batches []*wire.Batch
		for i := range uint64(3) {
			batches = append(batches, &wire.Batch{Seq: i + 1, Entries: []wire.Entry{{Index: i + 1, Term: 1}}})
		}
		d.sync(batches)
		var told []statemachine.Event
		for len(h.Loop.queue) > 0 {
			told = append(told, (<-h.Loop.queue).ev)
		}
		if last, ok := told[len(told)-1].(statemachine.Synced); !ok || last.Seq != 3 {
			t.Fatalf("%s: %v", name, told)
		}
		before := told[:len(told)-1]
		for i, ev := range before {
			r, ok := ev.(statemachine.DiskHealth)
			if !ok || (r.Err == nil) != (i == len(before)-1) || i > 0 && r.Err != nil && errors.Is(r.Err, before[i-1].(statemachine.DiskHealth).Err) {
				t.Errorf("%s: told %v", name, told)
			}
		}
		if len(s.due) > 0 || len(s.taken)+3*s.wholes != 3 || len(d.img.Log) != 3 {
			t.Errorf("%s: %d records and %d whole ones taken, %d entries", name, len(s.taken), s.wholes, len(d.img.Log))
		}
	}
}

// A disk that can't be read whole counts as lost: it is begun anew under another number,
// once, and says why. Damage is of a record, of a file, or of what a sound record says.
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
		h := diskHost(t)
		d, before, err := h.OpenDisk()
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
			d.sync([]*wire.Batch{{Seq: uint64(i) + 1, HasHardState: true, Term: 1, Vote: "b", Entries: []wire.Entry{e}}})
		}
		damage(t, h.Settings.Data)
		_, im, found := h.openDiskInTime()
		if found == nil || im.Disk == before.Disk || im.Disk == 0 || im.Term != 0 || len(im.Log) != 0 {
			t.Errorf("%s: damage %v, disk %d after %d, term %d, %d entries", name, found, im.Disk, before.Disk, im.Term, len(im.Log))
		}
		if _, again, found := h.openDiskInTime(); found != nil || again.Disk != im.Disk {
			t.Errorf("%s: at the next start %v, disk %d after %d", name, found, again.Disk, im.Disk)
		}
	}
}

// A disk that can't be opened is tried again and ends no process.
func TestDiskThatCantBeOpened(t *testing.T) {
	h := diskHost(t)
	parent := filepath.Join(h.Settings.Data, "disk")
	if err := os.WriteFile(parent, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	h.Settings.Data = filepath.Join(parent, "ring")
	if _, _, err := h.OpenDisk(); err == nil {
		t.Fatal("opened")
	}
	opened := make(chan consensus.PersistentState)
	go func() {
		_, im, _ := h.openDiskInTime()
		opened <- im
	}()
	if err := os.Remove(parent); err != nil {
		t.Fatal(err)
	}
	if im := <-opened; im.Disk == 0 {
		t.Fatal("no number")
	}
}
