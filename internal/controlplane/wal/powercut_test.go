package wal

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

const (
	sector    = 64 // bytes that a power cut leaves old or new as one, in these tests
	itemsKept = 8  // items in a checkpoint
)

// contents are what the segments' files hold, by name; a missing file has none.
type contents map[string][]byte

func readFiles(t *testing.T, dir string) contents {
	t.Helper()
	found := contents{}
	for i := range 3 {
		name := fmt.Sprintf(segmentFile, i)
		b, err := os.ReadFile(filepath.Join(dir, name))
		if err == nil {
			found[name] = b
		} else if !os.IsNotExist(err) {
			t.Fatal(err)
		}
	}
	return found
}

func (c contents) write(t *testing.T, dir string) {
	t.Helper()
	for name, b := range c {
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// cutPower is what a power cut leaves of a change that was not synced yet: each sector of
// what was written is old or new by itself, or only the first ones are new.
func cutPower(rnd *rand.Rand, before, after contents) contents {
	result := contents{}
	for name, written := range after {
		old := before[name]
		left := slices.Clone(written)
		firstOnly, newUpTo := rnd.IntN(2) == 0, rnd.IntN(len(written)/sector+1)
		for i := 0; i < len(written); i += sector {
			end := min(i+sector, len(written))
			if end <= len(old) && bytes.Equal(old[i:end], written[i:end]) {
				continue
			}
			if firstOnly && i/sector < newUpTo || !firstOnly && rnd.IntN(2) == 0 {
				continue
			}
			clear(left[i:end])
			copy(left[i:end], old[min(i, len(old)):min(end, len(old))])
		}
		result[name] = left
	}
	return result
}

// model is what was written: items, of which a checkpoint holds the last itemsKept.
type model struct{ items []string }

func (m *model) checkpoint() []byte { return []byte(strings.Join(m.items, "|")) }

func (m *model) add(items ...string) {
	m.items = append(slices.Clone(m.items), items...)
	m.items = m.items[max(0, len(m.items)-itemsKept):]
}

// stateOf returns the checkpoint of the state that records lead to.
func stateOf(records [][]byte) string {
	m := model{}
	for i, record := range records {
		if i == 0 {
			m.items = strings.Split(string(record), "|")
		} else {
			m.add(string(record))
		}
	}
	return string(m.checkpoint())
}

// write appends items to the model and the log, as a member's disk does: if there is no room, the log goes on with a
// checkpoint.
func (m *model) write(log *Log, items ...string) error {
	var records [][]byte
	for _, item := range items {
		records = append(records, []byte(item))
	}
	m.add(items...)
	room, err := log.Append(records...)
	if err == nil && !room {
		err = log.Rotate(m.checkpoint())
	}
	return err
}

// someItems are one to four items of different lengths.
func someItems(rnd *rand.Rand, at int) (items []string) {
	for k := range 1 + rnd.IntN(4) {
		items = append(items, fmt.Sprintf("%d.%d-%s", at, k, strings.Repeat("x", rnd.IntN(150))))
	}
	return items
}

// startModel returns a new log in a directory of its own, with a checkpoint of a model's first item.
func startModel(t *testing.T) (dir string, log *Log, m *model) {
	t.Helper()
	dir = t.TempDir()
	log, _, err := Open(dir, 3, segmentSize)
	if err != nil {
		t.Fatal(err)
	}
	m = &model{items: []string{"start"}}
	if err := log.Rotate(m.checkpoint()); err != nil {
		t.Fatal(err)
	}
	return dir, log, m
}

// A power cut in the middle of any write leaves what was synced before it, and of the write all or nothing; never an error, and
// never anything older.
func TestPowerCutKeepsSyncedWrites(t *testing.T) {
	for seed := range uint64(60) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		dir, log, m := startModel(t)
		for step := range 12 {
			for range rnd.IntN(6) {
				if err := m.write(log, someItems(rnd, step)...); err != nil {
					t.Fatal(err)
				}
			}
			synced, before := string(m.checkpoint()), readFiles(t, dir)
			if err := m.write(log, someItems(rnd, step)...); err != nil {
				t.Fatal(err)
			}
			attempted, left := string(m.checkpoint()), cutPower(rnd, before, readFiles(t, dir))
			log.Close()
			left.write(t, dir)
			var records [][]byte
			var err error
			if log, records, err = Open(dir, 3, segmentSize); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
			got := stateOf(records)
			if got != synced && got != attempted {
				t.Fatalf("seed %d, step %d: %q is neither %q nor %q", seed, step, got, synced, attempted)
			}
			m.items = strings.Split(got, "|")
		}
		log.Close()
	}
}

// A write that failed in part, by a full disk or an error, is retried at the same offset, also with more behind it, and then
// counts.
func TestFailedWriteIsRetried(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		dir, log, m := startModel(t)
		for step := range 10 {
			synced, state := readFiles(t, dir), *log
			kept := slices.Clone(m.items)
			first := someItems(rnd, step)
			if err := m.write(log, first...); err != nil {
				t.Fatal(err)
			}
			cutPower(rnd, synced, readFiles(t, dir)).write(t, dir) // what the failed write left
			log.current, log.generation, log.nextNumber, log.offset = state.current, state.generation, state.nextNumber, state.offset
			m.items = kept
			if err := m.write(log, append(first, someItems(rnd, step+100)...)...); err != nil {
				t.Fatal(err)
			}
			other, records, err := Open(dir, 3, segmentSize)
			if err != nil || stateOf(records) != string(m.checkpoint()) {
				t.Fatalf("seed %d, step %d: %v, %q instead of %q", seed, step, err, stateOf(records), m.checkpoint())
			}
			other.Close()
		}
		log.Close()
	}
}

// Whatever a power cut leaves of the first allocation, the log begins empty.
func TestPowerCutWhileAllocating(t *testing.T) {
	for seed := range uint64(25) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		dir := t.TempDir()
		for i := range 3 {
			if rnd.IntN(3) > 0 {
				contents{fmt.Sprintf(segmentFile, i): make([]byte, rnd.IntN(segmentSize+1))}.write(t, dir)
			}
		}
		log, records, err := Open(dir, 3, segmentSize)
		if err != nil || len(records) != 0 {
			t.Fatalf("seed %d: %v, %d records", seed, err, len(records))
		}
		if err := log.Rotate([]byte("checkpoint")); err != nil {
			t.Fatal(err)
		}
		log.Close()
		if got, err := readRecords(t, dir); err != nil || fmt.Sprint(got) != "[checkpoint]" {
			t.Fatalf("seed %d: %v %v", seed, got, err)
		}
	}
}

// A segment that is missing or short beside records may have held the newest of them: older ones never pass for all there was.
// The log is recreated in their place, also if the power is cut meanwhile.
func TestMissingSegmentIsDamage(t *testing.T) {
	for seed := range uint64(25) {
		rnd := rand.New(rand.NewPCG(seed, 4))
		dir := t.TempDir()
		log, _, err := Open(dir, 3, segmentSize)
		if err != nil {
			t.Fatal(err)
		}
		m := &model{items: []string{"start"}}
		for step := range 20 {
			if err := m.write(log, someItems(rnd, step)...); err != nil {
				t.Fatal(err)
			}
		}
		missing := log.segments[(log.current+rnd.IntN(3))%3].file.Name()
		log.Close()
		if rnd.IntN(2) == 0 {
			err = os.Remove(missing)
		} else {
			err = os.Truncate(missing, int64(rnd.IntN(segmentSize)))
		}
		if err != nil {
			t.Fatal(err)
		}
		for range 2 { // reading it doesn't make it sound
			if _, err := readRecords(t, dir); !errors.Is(err, ErrDamaged) {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		before := readFiles(t, dir)
		if log, err = Recreate(dir, 3, segmentSize, []byte("new")); err != nil {
			t.Fatal(err)
		}
		log.Close()
		if got, err := readRecords(t, dir); err != nil || fmt.Sprint(got) != "[new]" {
			t.Fatalf("seed %d: %v %v", seed, got, err)
		}
		rotated, after := contents{}, readFiles(t, dir)
		for name, b := range after { // the checkpoint is synced before files get their size
			rotated[name] = before[name]
			if bytes.Contains(b[:headerSize+3], []byte("new")) {
				rotated[name] = b[:max(len(before[name]), 2*(headerSize+3))]
			}
		}
		again := t.TempDir()
		if rnd.IntN(2) == 0 {
			cutPower(rnd, before, rotated).write(t, again)
		} else {
			cutPower(rnd, rotated, after).write(t, again)
		}
		if got, err := readRecords(t, again); !errors.Is(err, ErrDamaged) && (err != nil || fmt.Sprint(got) != "[new]") {
			t.Fatalf("seed %d: after a power cut %v %v", seed, got, err)
		}
	}
}
