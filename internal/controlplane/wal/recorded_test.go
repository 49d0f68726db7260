package wal

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "record the rings in testdata anew, which only an intended change of the form may need")

const recordedFiles = 3

// recordedRings are the rings in testdata, by the steps that wrote them.
var recordedRings = []struct {
	name  string
	write func(t *testing.T, r *Log)
	read  []string
}{
	{"fresh", func(t *testing.T, r *Log) { rotate(t, r, "whole state 1") }, []string{"whole state 1"}},
	{"records", func(t *testing.T, r *Log) {
		rotate(t, r, "whole state 1")
		add(t, r, "one")
		add(t, r, "two", "three", "four") // synced as one piece
		add(t, r, "five")
	}, []string{"whole state 1", "one", "two", "three", "four", "five"}},
	{"rotated", func(t *testing.T, r *Log) {
		for generation := range 5 { // past the last file and on from the first
			rotate(t, r, fmt.Sprint("whole state ", generation))
			add(t, r, fmt.Sprint("record of ", generation))
		}
	}, []string{"whole state 4", "record of 4"}},
}

func rotate(t *testing.T, r *Log, whole string) {
	t.Helper()
	if err := r.Rotate([]byte(whole)); err != nil {
		t.Fatal(err)
	}
}

func add(t *testing.T, r *Log, records ...string) {
	t.Helper()
	var all [][]byte
	for _, s := range records {
		all = append(all, []byte(s))
	}
	if room, err := r.Append(all...); err != nil || !room {
		t.Fatal(room, err)
	}
}

// Rings that earlier code wrote are read, and the same steps write them again byte for byte.
func TestRecordedRings(t *testing.T) {
	for _, c := range recordedRings {
		t.Run(c.name, func(t *testing.T) {
			written := t.TempDir()
			r, _, err := Open(written, recordedFiles, size)
			if err != nil {
				t.Fatal(err)
			}
			c.write(t, r)
			r.Close()
			copied := t.TempDir()
			for i := range recordedFiles {
				file := fmt.Sprintf("ring-%d", i)
				got, err := os.ReadFile(filepath.Join(written, file))
				if err != nil {
					t.Fatal(err)
				}
				kept := filepath.Join("testdata", c.name, file)
				if *update {
					must(t, os.MkdirAll(filepath.Dir(kept), 0o700))
					must(t, os.WriteFile(kept, got, 0o600))
				}
				want, err := os.ReadFile(kept)
				if err != nil {
					t.Fatal(err)
				}
				if !bytes.Equal(got, want) {
					t.Errorf("%s is written otherwise than recorded", file)
				}
				must(t, os.WriteFile(filepath.Join(copied, file), want, 0o600))
			}
			if got, err := read(t, copied); err != nil || fmt.Sprint(got) != fmt.Sprint(c.read) {
				t.Fatalf("%v: %q", err, got)
			}
		})
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
