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
	sector   = 64 // bytes that a cut of power leaves old or new, in this stand-in
	itemKept = 8  // items in a whole record
)

// folder is what the ring's files hold; a file that is not there has none.
type folder map[string][]byte

func readFolder(t *testing.T, dir string) folder {
	t.Helper()
	out := folder{}
	for i := range 3 {
		name := fmt.Sprintf("ring-%d", i)
		b, err := os.ReadFile(filepath.Join(dir, name))
		if err == nil {
			out[name] = b
		} else if !os.IsNotExist(err) {
			t.Fatal(err)
		}
	}
	return out
}

func (f folder) write(t *testing.T, dir string) {
	t.Helper()
	for name, b := range f {
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// cutPower is what a power cut leaves of a change that was not synced yet: each sector of
// what was written is old or new by itself, or only the first ones are new.
func cutPower(rnd *rand.Rand, before, after folder) folder {
	out := folder{}
	for name, b := range after {
		old := before[name]
		left := slices.Clone(b)
		firstOnly, newUpTo := rnd.IntN(2) == 0, rnd.IntN(len(b)/sector+1)
		for i := 0; i < len(b); i += sector {
			end := min(i+sector, len(b))
			if end <= len(old) && bytes.Equal(old[i:end], b[i:end]) {
				continue
			}
			if firstOnly && i/sector < newUpTo || !firstOnly && rnd.IntN(2) == 0 {
				continue
			}
			clear(left[i:end])
			copy(left[i:end], old[min(i, len(old)):min(end, len(old))])
		}
		out[name] = left
	}
	return out
}

// ledger is what was written: items, of which a whole record holds the last.
type ledger struct{ items []string }

func (l *ledger) whole() []byte { return []byte(strings.Join(l.items, "|")) }

func (l *ledger) add(items ...string) {
	l.items = append(slices.Clone(l.items), items...)
	l.items = l.items[max(0, len(l.items)-itemKept):]
}

func fold(recs [][]byte) string {
	l := ledger{}
	for i, rec := range recs {
		if i == 0 {
			l.items = strings.Split(string(rec), "|")
		} else {
			l.add(string(rec))
		}
	}
	return string(l.whole())
}

// write does as a member's disk does: what has no room begins the next file with all.
func (l *ledger) write(r *Log, items ...string) error {
	var recs [][]byte
	for _, item := range items {
		recs = append(recs, []byte(item))
	}
	l.add(items...)
	room, err := r.Append(recs...)
	if err == nil && !room {
		err = r.Rotate(l.whole())
	}
	return err
}

func someItems(rnd *rand.Rand, at int) (items []string) {
	for k := range 1 + rnd.IntN(4) {
		items = append(items, fmt.Sprintf("%d.%d-%s", at, k, strings.Repeat("x", rnd.IntN(150))))
	}
	return items
}

// startLedger is a new ring in a folder of its own that holds a ledger's first item.
func startLedger(t *testing.T) (dir string, r *Log, l *ledger) {
	t.Helper()
	dir = t.TempDir()
	r, _, err := Open(dir, 3, size)
	if err != nil {
		t.Fatal(err)
	}
	l = &ledger{items: []string{"start"}}
	if err := r.Rotate(l.whole()); err != nil {
		t.Fatal(err)
	}
	return dir, r, l
}

// A cut of power in the middle of any write leaves what was synced before it, and of what
// was being written all or nothing; never an error, and never anything older.
func TestPowerCut(t *testing.T) {
	for seed := range uint64(60) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		dir, r, l := startLedger(t)
		for step := range 12 {
			for range rnd.IntN(6) {
				if err := l.write(r, someItems(rnd, step)...); err != nil {
					t.Fatal(err)
				}
			}
			synced, before := string(l.whole()), readFolder(t, dir)
			if err := l.write(r, someItems(rnd, step)...); err != nil {
				t.Fatal(err)
			}
			attempted, left := string(l.whole()), cutPower(rnd, before, readFolder(t, dir))
			r.Close()
			left.write(t, dir)
			var recs [][]byte
			var err error
			if r, recs, err = Open(dir, 3, size); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
			got := fold(recs)
			if got != synced && got != attempted {
				t.Fatalf("seed %d, step %d: %q is neither %q nor %q", seed, step, got, synced, attempted)
			}
			l.items = strings.Split(got, "|")
		}
		r.Close()
	}
}

// A write that failed in part, by a full disk or an error, is done again at the same place,
// also with more behind it, and then counts; a restart in between finds what was synced.
func TestFailedWriteIsRepeated(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		dir, r, l := startLedger(t)
		for step := range 10 {
			synced, state := readFolder(t, dir), *r
			kept := slices.Clone(l.items)
			first := someItems(rnd, step)
			if err := l.write(r, first...); err != nil {
				t.Fatal(err)
			}
			cutPower(rnd, synced, readFolder(t, dir)).write(t, dir) // what the failed write left
			r.current, r.generation, r.records, r.offset = state.current, state.generation, state.records, state.offset
			l.items = kept
			if err := l.write(r, append(first, someItems(rnd, step+100)...)...); err != nil {
				t.Fatal(err)
			}
			other, recs, err := Open(dir, 3, size)
			if err != nil || fold(recs) != string(l.whole()) {
				t.Fatalf("seed %d, step %d: %v, %q instead of %q", seed, step, err, fold(recs), l.whole())
			}
			other.Close()
		}
		r.Close()
	}
}

// Whatever of the files' first making a cut of power keeps, the ring begins from nothing.
func TestPowerCutInTheFirstMaking(t *testing.T) {
	for seed := range uint64(25) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		dir := t.TempDir()
		for i := range 3 {
			if rnd.IntN(3) > 0 {
				folder{fmt.Sprintf("ring-%d", i): make([]byte, rnd.IntN(size+1))}.write(t, dir)
			}
		}
		r, recs, err := Open(dir, 3, size)
		if err != nil || len(recs) != 0 {
			t.Fatalf("seed %d: %v, %d records", seed, err, len(recs))
		}
		if err := r.Rotate([]byte("whole")); err != nil {
			t.Fatal(err)
		}
		r.Close()
		if got, err := read(t, dir); err != nil || fmt.Sprint(got) != "[whole]" {
			t.Fatalf("seed %d: %v %v", seed, got, err)
		}
	}
}

// A file that is gone or short beside records may have held the newest of them: older ones
// never pass for all there was. A new beginning is made in their place, also if the power
// is cut meanwhile.
func TestMissingFile(t *testing.T) {
	for seed := range uint64(25) {
		rnd := rand.New(rand.NewPCG(seed, 4))
		dir := t.TempDir()
		r, _, err := Open(dir, 3, size)
		if err != nil {
			t.Fatal(err)
		}
		l := &ledger{items: []string{"start"}}
		for step := range 20 {
			if err := l.write(r, someItems(rnd, step)...); err != nil {
				t.Fatal(err)
			}
		}
		gone := r.files[(r.current+rnd.IntN(3))%3].Name()
		r.Close()
		if rnd.IntN(2) == 0 {
			err = os.Remove(gone)
		} else {
			err = os.Truncate(gone, int64(rnd.IntN(size)))
		}
		if err != nil {
			t.Fatal(err)
		}
		for range 2 { // looking at it does not make it sound
			if _, err := read(t, dir); !errors.Is(err, ErrDamaged) {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		before := readFolder(t, dir)
		if r, err = Recreate(dir, 3, size, []byte("new")); err != nil {
			t.Fatal(err)
		}
		r.Close()
		if got, err := read(t, dir); err != nil || fmt.Sprint(got) != "[new]" {
			t.Fatalf("seed %d: %v %v", seed, got, err)
		}
		rotated, after := folder{}, readFolder(t, dir)
		for name, b := range after { // the whole record is synced before files get their size
			rotated[name] = before[name]
			if bytes.Contains(b[:head+3], []byte("new")) {
				rotated[name] = b[:max(len(before[name]), 2*(head+3))]
			}
		}
		again := t.TempDir()
		if rnd.IntN(2) == 0 {
			cutPower(rnd, before, rotated).write(t, again)
		} else {
			cutPower(rnd, rotated, after).write(t, again)
		}
		if got, err := read(t, again); !errors.Is(err, ErrDamaged) && (err != nil || fmt.Sprint(got) != "[new]") {
			t.Fatalf("seed %d: after a cut of power %v %v", seed, got, err)
		}
	}
}
