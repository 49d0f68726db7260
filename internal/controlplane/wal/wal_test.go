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

// segmentSize is small so that the tests rotate often.
const segmentSize = 4096

// appendRecords opens the log, writes a first checkpoint if there is none, and appends records one at a time.
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
		if fits, err := log.Append([]byte(record)); err != nil || !fits {
			t.Fatalf("append %q: fits %v, error %v", record, fits, err)
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

// What a crash left of an interrupted last write is dropped; the records before it are kept.
func TestTornWriteIsDropped(t *testing.T) {
	for keep := range 30 { // number of bytes of the write that reached the disk, modulo its size
		dir := t.TempDir()
		appendRecords(t, dir, "one", "two", "three")
		file := filepath.Join(dir, "ring-0")
		content, _ := os.ReadFile(file)
		at := bytes.Index(content, []byte("three")) - headerSize + keep%(headerSize+5)
		clear(content[at:]) // including the mirror, which follows the record
		os.WriteFile(file, content, 0o600)
		got, err := readRecords(t, dir)
		if err != nil || fmt.Sprint(got) != "[checkpoint one two]" {
			t.Fatalf("keep %d: records %v after a torn write, error %v; want [checkpoint one two]", keep, got, err)
		}
		appendRecords(t, dir, "four")
		if got, err = readRecords(t, dir); err != nil || fmt.Sprint(got) != "[checkpoint one two four]" {
			t.Fatalf("keep %d: records %v after the next write, error %v; want [checkpoint one two four]", keep, got, err)
		}
	}
}

// Damage to the last synced write is repaired from its mirror, so no acknowledged write is lost: neither a single record nor
// a group nor the checkpoint at the start of a segment. A damaged mirror does no harm either.
func TestDamagedLastWriteIsReadFromMirror(t *testing.T) {
	for _, test := range []struct {
		name string
		last func(log *Log) error // makes the last write
		want string               // the records expected after the damage
	}{
		{"record", func(log *Log) error { _, err := log.Append([]byte("three")); return err }, "[checkpoint one two three]"},
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
			if err := test.last(log); err != nil {
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
					t.Fatalf("%s, mirror damaged %v, byte %d: records %v, error %v; want %s", test.name, damageMirror, i, got, err, test.want)
				}
			}
			log, _, _ = Open(dir, 3, segmentSize)
			fits, err := log.Append([]byte("five"))
			if err == nil && !fits {
				err = log.Rotate([]byte("all and five"))
			}
			log.Close()
			if got, rerr := readRecords(t, dir); err != nil || rerr != nil || !strings.Contains(got[len(got)-1], "five") {
				t.Fatalf("%s: records %v after the next write, write error %v, read error %v; want a last record with \"five\"", test.name, got, err, rerr)
			}
		}
	}
}

// The write of a group is interrupted when only a part of the group's mirror has reached the disk. A recovery after newer
// records were written must not restore the group from that mirror.
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
	fits, err := log.Append([]byte("x"))
	if err == nil && !fits {
		err = log.Rotate([]byte("checkpoint one x"))
	}
	log.Close()
	if got, rerr := readRecords(t, dir); err != nil || rerr != nil || strings.Contains(fmt.Sprint(got), "torn") || !strings.HasSuffix(got[len(got)-1], "x") {
		t.Fatalf("records %v, write error %v, read error %v; want x last and nothing of the torn write", got, err, rerr)
	}
}

// A single flipped bit anywhere before a later valid record is reported as damage.
func TestDamageBeforeValidRecordIsAnError(t *testing.T) {
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
			rt.Fatalf("bit flipped in byte %d: records %v, error %v; want ErrDamaged", i, got, err)
		}
	})
}

// Rotation keeps the files at their size and the last write readable, and Rotate rejects a checkpoint that is too large.
func TestRotationKeepsSize(t *testing.T) {
	dir := t.TempDir()
	log, _, err := Open(dir, 3, segmentSize)
	if err != nil {
		t.Fatal(err)
	}
	last := ""
	for i := range 2000 {
		text := fmt.Sprintf("record %d %s", i, bytes.Repeat([]byte("x"), i%100))
		fits, err := log.Append([]byte(text))
		if err == nil && !fits {
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
		t.Fatalf("error %v, or the last of %d records is not the last one written, %q", err, len(got), last)
	}
	for i := range 3 {
		if st, _ := os.Stat(filepath.Join(dir, fmt.Sprintf(segmentFile, i))); st.Size() != segmentSize {
			t.Fatalf("segment %d has %d bytes, want %d", i, st.Size(), segmentSize)
		}
	}
	if err := (&Log{segmentSize: segmentSize, segments: []*segment{nil}}).Rotate(make([]byte, segmentSize)); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("rotate with a checkpoint as large as a segment: error %v, want ErrTooLarge", err)
	}
}
