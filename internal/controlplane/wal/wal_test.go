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

// segmentSize is small, so that the tests rotate often.
const segmentSize = 4096

// appendRecords opens the log, with a checkpoint if there is none, and appends records one by one.
func appendRecords(t *testing.T, dir string, records ...string) {
	t.Helper()
	log, _, err := Open(dir, 3, segmentSize)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if log.current == noSegment {
		if err := log.Rotate([]byte("checkpoint")); err != nil {
			t.Fatal(err)
		}
	}
	for _, record := range records {
		if room, err := log.Append([]byte(record)); err != nil || !room {
			t.Fatal(room, err)
		}
	}
}

// readRecords opens the log and returns its records.
func readRecords(t *testing.T, dir string) ([]string, error) {
	t.Helper()
	log, records, err := Open(dir, 3, segmentSize)
	if err != nil {
		return nil, err
	}
	log.Close()
	var texts []string
	for _, record := range records {
		texts = append(texts, string(record))
	}
	return texts, nil
}

// What a crash left of the last write is dropped; all before it stays.
func TestTornWriteIsDropped(t *testing.T) {
	for keep := range 30 {
		dir := t.TempDir()
		appendRecords(t, dir, "one", "two", "three")
		file := filepath.Join(dir, "ring-0")
		content, _ := os.ReadFile(file)
		at := bytes.Index(content, []byte("three")) - headerSize + keep%(headerSize+5)
		clear(content[at:]) // and with it the mirror, which stands behind it
		os.WriteFile(file, content, 0o600)
		got, err := readRecords(t, dir)
		if err != nil || fmt.Sprint(got) != "[checkpoint one two]" {
			t.Fatalf("kept %d: %v %v", keep, got, err)
		}
		appendRecords(t, dir, "four")
		if got, err = readRecords(t, dir); err != nil || fmt.Sprint(got) != "[checkpoint one two four]" {
			t.Fatalf("kept %d: %v %v", keep, got, err)
		}
	}
}

// Damage to the write that was synced last is told from a torn write by its mirror: nothing that may have been acknowledged is
// lost, be it one record, a group, or the checkpoint at a segment's beginning.
func TestDamagedLastWriteIsReadFromMirror(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(log *Log) error // the last write
		want string
	}{
		{"one", func(log *Log) error { _, err := log.Append([]byte("three")); return err }, "[checkpoint one two three]"},
		{"group", func(log *Log) error { _, err := log.Append([]byte("three"), []byte("four")); return err }, "[checkpoint one two three four]"},
		{"checkpoint", func(log *Log) error { return log.Rotate([]byte("three")) }, "[three]"},
	} {
		for _, damageMirror := range []bool{false, true} {
			dir := t.TempDir()
			appendRecords(t, dir, "one", "two")
			log, _, err := Open(dir, 3, segmentSize)
			if err != nil {
				t.Fatal(err)
			}
			if err := test.do(log); err != nil {
				t.Fatal(err)
			}
			file := log.segments[log.current].file.Name()
			log.Close()
			content, _ := os.ReadFile(file)
			find := bytes.Index
			if damageMirror {
				find = bytes.LastIndex
			}
			for i := find(content, []byte("three")) - headerSize; content[i] != 0 && i < len(content); i++ {
				damaged := bytes.Clone(content)
				damaged[i] ^= 0x10
				os.WriteFile(file, damaged, 0o600)
				if got, err := readRecords(t, dir); err != nil || fmt.Sprint(got) != test.want {
					t.Fatalf("%s, mirror %v, byte %d: %v %v", test.name, damageMirror, i, got, err)
				}
			}
			log, _, _ = Open(dir, 3, segmentSize)
			room, err := log.Append([]byte("five"))
			if err == nil && !room {
				err = log.Rotate([]byte("all and five"))
			}
			log.Close()
			if got, rerr := readRecords(t, dir); err != nil || rerr != nil || !strings.Contains(got[len(got)-1], "five") {
				t.Fatalf("%s: %v %v after the next write", test.name, got, err)
			}
		}
	}
}

// What is left of a group that was cut short never comes back behind later records.
func TestMirrorOfTornWriteIsDropped(t *testing.T) {
	dir := t.TempDir()
	appendRecords(t, dir, "one")
	log, _, _ := Open(dir, 3, segmentSize)
	log.Append([]byte("torn-a"), []byte("torn-b"))
	file := log.segments[log.current].file.Name()
	log.Close()
	content, _ := os.ReadFile(file)
	at := bytes.Index(content, []byte("torn-a")) - headerSize
	end := bytes.LastIndex(content, []byte("torn-b")) - headerSize
	clear(content[at:end]) // only the end of the mirror reached the disk
	os.WriteFile(file, content, 0o600)
	log, _, err := Open(dir, 3, segmentSize)
	if err != nil {
		t.Fatal(err)
	}
	room, err := log.Append([]byte("x"))
	if err == nil && !room {
		err = log.Rotate([]byte("checkpoint one x"))
	}
	log.Close()
	if got, rerr := readRecords(t, dir); err != nil || rerr != nil || strings.Contains(fmt.Sprint(got), "torn") || !strings.HasSuffix(got[len(got)-1], "x") {
		t.Fatalf("%v %v %v", got, err, rerr)
	}
}

// One flipped bit before a later sound record is an error, wherever it is.
func TestDamageBeforeSoundRecordIsAnError(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp("", "wal")
		if err != nil {
			rt.Fatal(err)
		}
		defer os.RemoveAll(dir)
		appendRecords(t, dir, "one", "two", "three")
		file := filepath.Join(dir, "ring-0")
		content, _ := os.ReadFile(file)
		end := bytes.Index(content, []byte("three")) - headerSize
		i := rapid.IntRange(0, end-1).Draw(rt, "byte")
		content[i] ^= 1 << rapid.IntRange(0, 7).Draw(rt, "bit")
		os.WriteFile(file, content, 0o600)
		if got, err := readRecords(t, dir); !errors.Is(err, ErrDamaged) {
			rt.Fatalf("byte %d: %v %v", i, got, err)
		}
	})
}

// The log never grows, and the newest segment has all that counts.
func TestRotationKeepsSize(t *testing.T) {
	dir := t.TempDir()
	log, _, err := Open(dir, 3, segmentSize)
	if err != nil {
		t.Fatal(err)
	}
	last := ""
	for i := range 2000 {
		text := fmt.Sprintf("record %d %s", i, bytes.Repeat([]byte("x"), i%100))
		room, err := log.Append([]byte(text))
		if err == nil && !room {
			err = log.Rotate([]byte("state after " + text))
			last = "state after " + text
		} else {
			last = text
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	log.Close()
	got, err := readRecords(t, dir)
	if err != nil || got[len(got)-1] != last {
		t.Fatalf("%v, want %q last", err, last)
	}
	for i := range 3 {
		if st, _ := os.Stat(filepath.Join(dir, fmt.Sprintf(segmentFile, i))); st.Size() != segmentSize {
			t.Fatalf("segment %d has %d bytes", i, st.Size())
		}
	}
	if err := (&Log{segmentSize: segmentSize, segments: []*segment{nil}}).Rotate(make([]byte, segmentSize)); !errors.Is(err, ErrTooLarge) {
		t.Fatal(err)
	}
}
