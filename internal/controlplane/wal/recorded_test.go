package wal

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "record the logs in testdata anew, which only an intended change of the form may need")

const recordedSegments = 3

// recordedLogs are the logs in testdata, by the steps that wrote them.
var recordedLogs = []struct {
	name  string
	write func(t *testing.T, log *Log)
	read  []string
}{
	{"fresh", func(t *testing.T, log *Log) { rotate(t, log, "whole state 1") }, []string{"whole state 1"}},
	{"records", func(t *testing.T, log *Log) {
		rotate(t, log, "whole state 1")
		add(t, log, "one")
		add(t, log, "two", "three", "four") // as a group
		add(t, log, "five")
	}, []string{"whole state 1", "one", "two", "three", "four", "five"}},
	{"rotated", func(t *testing.T, log *Log) {
		for rotation := range 5 { // past the last segment and on from the first
			rotate(t, log, fmt.Sprint("whole state ", rotation))
			add(t, log, fmt.Sprint("record of ", rotation))
		}
	}, []string{"whole state 4", "record of 4"}},
}

// rotate begins a segment.
func rotate(t *testing.T, log *Log, checkpoint string) {
	t.Helper()
	if err := log.Rotate([]byte(checkpoint)); err != nil {
		t.Fatal(err)
	}
}

// add appends records at once.
func add(t *testing.T, log *Log, records ...string) {
	t.Helper()
	var all [][]byte
	for _, record := range records {
		all = append(all, []byte(record))
	}
	if room, err := log.Append(all...); err != nil || !room {
		t.Fatal(room, err)
	}
}

// Logs that earlier code wrote are read, and the same steps write them again byte for byte.
func TestRecordedLogs(t *testing.T) {
	for _, test := range recordedLogs {
		t.Run(test.name, func(t *testing.T) {
			written := t.TempDir()
			log, _, err := Open(written, recordedSegments, segmentSize)
			if err != nil {
				t.Fatal(err)
			}
			test.write(t, log)
			log.Close()
			copied := t.TempDir()
			for i := range recordedSegments {
				file := fmt.Sprintf(segmentFile, i)
				got, err := os.ReadFile(filepath.Join(written, file))
				if err != nil {
					t.Fatal(err)
				}
				kept := filepath.Join("testdata", test.name, file)
				if *update {
					must(t, os.MkdirAll(filepath.Dir(kept), 0o700))
					must(t, os.WriteFile(kept, got, 0o600))
				}
				want, err := os.ReadFile(kept)
				if err != nil {
					t.Fatal(err)
				}
				if !bytes.Equal(got, want) {
					t.Errorf("%s differs from the recorded one", file)
				}
				must(t, os.WriteFile(filepath.Join(copied, file), want, 0o600))
			}
			if got, err := readRecords(t, copied); err != nil || fmt.Sprint(got) != fmt.Sprint(test.read) {
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
