package wal

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

const size = 4096

func fill(t *testing.T, dir string, recs ...string) {
	t.Helper()
	r, _, err := Open(dir, 3, size)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if r.current < 0 {
		if err := r.Rotate([]byte("whole")); err != nil {
			t.Fatal(err)
		}
	}
	for _, s := range recs {
		if room, err := r.Append([]byte(s)); err != nil || !room {
			t.Fatal(room, err)
		}
	}
}

func read(t *testing.T, dir string) ([]string, error) {
	t.Helper()
	r, recs, err := Open(dir, 3, size)
	if err != nil {
		return nil, err
	}
	r.Close()
	var out []string
	for _, b := range recs {
		out = append(out, string(b))
	}
	return out, nil
}

// What a crash left of the last record is cut; all before it stays.
func TestTornTail(t *testing.T) {
	for keep := range 30 {
		dir := t.TempDir()
		fill(t, dir, "one", "two", "three")
		f := filepath.Join(dir, "ring-0")
		b, _ := os.ReadFile(f)
		at := bytes.Index(b, []byte("three")) - head + keep%(head+5)
		clear(b[at:]) // and with it the echo, which is written behind it
		os.WriteFile(f, b, 0o600)
		got, err := read(t, dir)
		if err != nil || fmt.Sprint(got) != "[whole one two]" {
			t.Fatalf("kept %d: %v %v", keep, got, err)
		}
		fill(t, dir, "four")
		if got, err = read(t, dir); err != nil || fmt.Sprint(got) != "[whole one two four]" {
			t.Fatalf("kept %d: %v %v", keep, got, err)
		}
	}
}

// Damage to what was synced last is told from a torn tail by its echo: nothing that
// may have been promised is lost, be it one record, several synced as one, or the
// whole record at a file's start.
func TestDamagedLast(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(r *Log) error
		want string
	}{
		{"one", func(r *Log) error { _, err := r.Append([]byte("three")); return err }, "[whole one two three]"},
		{"several", func(r *Log) error { _, err := r.Append([]byte("three"), []byte("four")); return err }, "[whole one two three four]"},
		{"whole", func(r *Log) error { return r.Rotate([]byte("three")) }, "[three]"},
	} {
		for _, echo := range []bool{false, true} {
			dir := t.TempDir()
			fill(t, dir, "one", "two")
			r, _, err := Open(dir, 3, size)
			if err != nil {
				t.Fatal(err)
			}
			if err := c.do(r); err != nil {
				t.Fatal(err)
			}
			f := r.files[r.current].Name()
			r.Close()
			b, _ := os.ReadFile(f)
			find := bytes.Index
			if echo {
				find = bytes.LastIndex
			}
			for i := find(b, []byte("three")) - head; b[i] != 0 && i < len(b); i++ {
				d := bytes.Clone(b)
				d[i] ^= 0x10
				os.WriteFile(f, d, 0o600)
				if got, err := read(t, dir); err != nil || fmt.Sprint(got) != c.want {
					t.Fatalf("%s, echo %v, byte %d: %v %v", c.name, echo, i, got, err)
				}
			}
			r, _, _ = Open(dir, 3, size)
			room, err := r.Append([]byte("five"))
			if err == nil && !room {
				err = r.Rotate([]byte("all and five"))
			}
			r.Close()
			if got, rerr := read(t, dir); err != nil || rerr != nil || !strings.Contains(got[len(got)-1], "five") {
				t.Fatalf("%s: %v %v after going on", c.name, got, err)
			}
		}
	}
}

// What is left of a piece that was cut short never comes back behind later records.
func TestNoEchoOfTheTorn(t *testing.T) {
	dir := t.TempDir()
	fill(t, dir, "one")
	r, _, _ := Open(dir, 3, size)
	r.Append([]byte("torn-a"), []byte("torn-b"))
	f := r.files[r.current].Name()
	r.Close()
	b, _ := os.ReadFile(f)
	at := bytes.Index(b, []byte("torn-a")) - head
	echo := bytes.LastIndex(b, []byte("torn-b")) - head
	clear(b[at:echo]) // only the echo of the second reached the disk
	os.WriteFile(f, b, 0o600)
	r, _, err := Open(dir, 3, size)
	if err != nil {
		t.Fatal(err)
	}
	room, err := r.Append([]byte("x"))
	if err == nil && !room {
		err = r.Rotate([]byte("whole one x"))
	}
	r.Close()
	if got, rerr := read(t, dir); err != nil || rerr != nil || strings.Contains(fmt.Sprint(got), "torn") || !strings.HasSuffix(got[len(got)-1], "x") {
		t.Fatalf("%v %v %v", got, err, rerr)
	}
}

// One flipped bit before a later sound record is refused aloud, wherever it is.
func TestDamagedMiddle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp("", "ring")
		if err != nil {
			rt.Fatal(err)
		}
		defer os.RemoveAll(dir)
		fill(t, dir, "one", "two", "three")
		f := filepath.Join(dir, "ring-0")
		b, _ := os.ReadFile(f)
		end := bytes.Index(b, []byte("three")) - head
		i := rapid.IntRange(0, end-1).Draw(rt, "byte")
		b[i] ^= 1 << rapid.IntRange(0, 7).Draw(rt, "bit")
		os.WriteFile(f, b, 0o600)
		if got, err := read(t, dir); !errors.Is(err, ErrDamaged) {
			rt.Fatalf("byte %d: %v %v", i, got, err)
		}
	})
}

// The ring never grows, and the newest file has all that counts.
func TestRotation(t *testing.T) {
	dir := t.TempDir()
	r, _, err := Open(dir, 3, size)
	if err != nil {
		t.Fatal(err)
	}
	last := ""
	for i := range 2000 {
		s := fmt.Sprintf("record %d %s", i, bytes.Repeat([]byte("x"), i%100))
		room, err := r.Append([]byte(s))
		if err == nil && !room {
			err = r.Rotate([]byte("state after " + s))
			last = "state after " + s
		} else {
			last = s
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	r.Close()
	got, err := read(t, dir)
	if err != nil || got[len(got)-1] != last {
		t.Fatalf("%v, want %q last", err, last)
	}
	for i := range 3 {
		if st, _ := os.Stat(filepath.Join(dir, fmt.Sprintf("ring-%d", i))); st.Size() != size {
			t.Fatalf("file %d has %d bytes", i, st.Size())
		}
	}
	if err := (&Log{size: size, files: []*os.File{nil}}).Rotate(make([]byte, size)); !errors.Is(err, ErrTooLarge) {
		t.Fatal(err)
	}
}
