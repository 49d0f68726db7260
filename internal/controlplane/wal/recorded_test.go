package wal

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the logs in testdata; needed only for an intended change of the on-disk format")

const recordedSegments = 3

// recordedLogs describes the logs in testdata: the steps that write each one and the records that it holds.
var recordedLogs = []struct {
	name  string
	write func(t *testing.T, log *Log)
	want  []string
}{
	{"fresh", func(t *testing.T, log *Log) { rotate(t, log, "whole state 1") }, []string{"whole state 1"}},
	{"records", func(t *testing.T, log *Log) {
		rotate(t, log, "whole state 1")
		appendAtOnce(t, log, "one")
		appendAtOnce(t, log, "two", "three", "four") // as a group
		appendAtOnce(t, log, "five")
	}, []string{"whole state 1", "one", "two", "three", "four", "five"}},
	{"rotated", func(t *testing.T, log *Log) {
		for rotation := range 5 { // wraps around to the first segment
			rotate(t, log, fmt.Sprint("whole state ", rotation))
			appendAtOnce(t, log, fmt.Sprint("record of ", rotation))
		}
	}, []string{"whole state 4", "record of 4"}},
}

// rotate begins the next segment with a checkpoint.
func rotate(t *testing.T, log *Log, checkpoint string) {
	t.Helper()
	if err := log.Rotate([]byte(checkpoint)); err != nil {
		t.Fatal(err)
	}
}

// appendAtOnce appends records in one write.
func appendAtOnce(t *testing.T, log *Log, records ...string) {
	t.Helper()
	var all [][]byte
	for _, record := range records {
		all = append(all, []byte(record))
	}
	if fits, err := log.Append(all...); err != nil || !fits {
		t.Fatalf("append %q: fits %v, error %v", records, fits, err)
	}
}

// The on-disk format must not change: logs written by earlier versions can still be read, and the same steps write
// byte-identical files.
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
				recorded := filepath.Join("testdata", test.name, file)
				if *update {
					must(t, os.MkdirAll(filepath.Dir(recorded), 0o700))
					must(t, os.WriteFile(recorded, got, 0o600))
				}
				want, err := os.ReadFile(recorded)
				if err != nil {
					t.Fatal(err)
				}
				if !bytes.Equal(got, want) {
					t.Errorf("%s differs from the recorded file in testdata", file)
				}
				must(t, os.WriteFile(filepath.Join(copied, file), want, 0o600))
			}
			if got, err := readRecords(t, copied); err != nil || fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Fatalf("records %q, error %v; want %q", got, err, test.want)
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
