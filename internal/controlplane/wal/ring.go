// Package wal keeps a member's state in a ring of preallocated files under one
// folder. A file starts with a record that holds the whole state, then takes
// records until it is full; then the next file takes over with a new whole
// record, so the disk in use never grows. Every record carries its file's
// generation, its number and a checksum. What is synced in one piece has one
// checksum, so that a cut of power leaves all of it or nothing, and is written
// twice: its echo stands behind it until the next piece is written there. So what
// was cut short at the end of the newest file by a crash, and never promised, can
// be told from damage to what was synced last: the one has no echo and is dropped,
// the other is read from it. Damage followed by sound records is refused aloud.
package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

const (
	magic      = 0x4d46524e        // one record
	again      = 0x4d45524e        // its echo; the low two bytes of all four are the same
	group      = 0x4d47524e        // several records synced as one: they are read all or not at all
	groupAgain = 0x4d48524e        // their echo
	head       = 4 + 8 + 4 + 4 + 4 // magic, generation, number of the first record, length, checksum
	lengthSize = 4                 // before each record of a group
	// Offsets of the head's fields, in bytes; all are little-endian.
	generationAt = 4
	numberAt     = 12
	lengthAt     = 16
	checksumAt   = 20
)

// common is what a record's and an echo's magic begin with on disk.
var common = []byte{magic & 0xff, magic >> 8 & 0xff}

var table = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged is returned for a ring in which unsound bytes stand before sound records.
var ErrDamaged = errors.New("ring damaged")

// ErrTooLarge is returned for a state that no file can hold.
var ErrTooLarge = errors.New("state larger than a ring file")

// Log is an open ring of files. Its methods are for one goroutine.
type Log struct {
	dir        string
	files      []*os.File
	size       int64 // of each file, in bytes
	current    int   // index of the file that is written to, -1 before the first
	generation uint64
	records    uint32 // in the current file, which is the next record's number
	offset     int64  // where the next record goes, in bytes
	buffer     []byte
}

// Open opens the ring of so many files of size bytes in the folder dir, and allocates it if it
// does not exist. It returns the records of the newest file; the first of them, if any, holds the
// whole state. Besides errors of the file system it returns ErrDamaged. No more of a file is in
// memory at a time than a piece of it and one record.
func Open(dir string, files int, size int64) (*Log, [][]byte, error) {
	r, short, err := openFiles(dir, files, size)
	if err != nil {
		return nil, nil, err
	}
	recs, err := r.read(short)
	if err == nil {
		err = r.allocate()
	}
	if err != nil {
		r.Close()
		return nil, nil, err
	}
	return r, recs, nil
}

// Recreate begins a ring in dir anew with a whole record, whatever its files hold. Until
// that record is synced the ring is as damaged as it was; the files that are not taken over
// stay as they are until their turn comes.
func Recreate(dir string, files int, size int64, whole []byte) (*Log, error) {
	r, _, err := openFiles(dir, files, size)
	if err != nil {
		return nil, err
	}
	if err = r.Rotate(whole); err == nil {
		err = r.allocate()
	}
	if err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// openFiles opens the ring's files and finds the newest generation; short is a file that
// does not have its size, "" if all have.
func openFiles(dir string, files int, size int64) (r *Log, short string, err error) {
	if err := makeFolder(dir); err != nil {
		return nil, "", err
	}
	opened := &Log{dir: dir, size: size, current: -1}
	defer func() {
		if err != nil {
			opened.Close()
		}
	}()
	piece := make([]byte, min(size, tuning.WALReadBuffer))
	for i := range files {
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("ring-%d", i)), os.O_RDWR|os.O_CREATE, 0o600)
		if err != nil {
			return nil, "", errors.Wrap(err, "ring file")
		}
		opened.files = append(opened.files, f)
		st, err := f.Stat()
		if err != nil {
			return nil, "", errors.Wrap(err, "stat ring file")
		}
		if st.Size() < size {
			short = f.Name()
		}
		g, err := newest(f, min(size, st.Size()), piece)
		if err != nil {
			return nil, "", err
		}
		if g > opened.generation {
			opened.generation, opened.current = g, i
		}
	}
	return opened, short, nil
}

// read takes the records of the newest generation. Files get their size and their places in
// the folder synced before the first record is written, so one that is missing or short
// beside records held the newest of them, or may have.
func (r *Log) read(short string) (recs [][]byte, err error) {
	if r.current < 0 {
		return nil, nil
	}
	if short != "" {
		return nil, errors.Wrapf(ErrDamaged, "%s is missing or short beside generation %d", short, r.generation)
	}
	piece := make([]byte, min(r.size, tuning.WALReadBuffer))
	if recs, r.offset, err = scan(r.files[r.current], r.size, r.generation, piece); err != nil {
		return nil, errors.Wrapf(err, "%s", r.files[r.current].Name())
	}
	r.records = uint32(len(recs))
	return recs, nil
}

// makeFolder makes a folder, and its place in the one above lasting.
func makeFolder(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "ring folder")
	}
	return syncFolder(filepath.Dir(dir))
}

func syncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "ring folder")
	}
	defer d.Close()
	return errors.Wrap(d.Sync(), "sync ring folder")
}

// allocate fills the files with zeros up to their size and makes their places in the
// folder lasting.
func (r *Log) allocate() error {
	zeros := make([]byte, min(r.size, tuning.WALReadBuffer))
	for _, f := range r.files {
		if err := extend(f, r.size, zeros); err != nil {
			return err
		}
	}
	return syncFolder(r.dir)
}

func extend(f *os.File, size int64, zeros []byte) error {
	st, err := f.Stat()
	if err != nil {
		return errors.Wrap(err, "stat ring file")
	}
	if st.Size() >= size {
		return nil
	}
	for at := st.Size(); at < size; at += int64(len(zeros)) {
		if _, err := f.WriteAt(zeros[:min(int64(len(zeros)), size-at)], at); err != nil {
			return errors.Wrap(err, "preallocate ring file")
		}
	}
	return errors.Wrap(f.Sync(), "sync ring file")
}

// frame is a record or echo; its data is read only where it is wanted.
type frame struct {
	kind uint32
	gen  uint64
	num  uint32
	n    int64
	head [head]byte
}

// look reads a frame's head, if one of a kind that fits into the file stands there.
func look(f *os.File, size, off int64) (fr frame, ok bool, err error) {
	if off+head > size {
		return fr, false, nil
	}
	if _, err := f.ReadAt(fr.head[:], off); err != nil {
		return fr, false, errors.Wrap(err, "read ring file")
	}
	ok = fr.parse(size, off)
	return fr, ok, nil
}

func (fr *frame) parse(size, off int64) bool {
	fr.kind = binary.LittleEndian.Uint32(fr.head[0:])
	fr.gen = binary.LittleEndian.Uint64(fr.head[generationAt:])
	fr.num = binary.LittleEndian.Uint32(fr.head[numberAt:])
	fr.n = int64(binary.LittleEndian.Uint32(fr.head[lengthAt:]))
	return (fr.isRecord() || fr.isEcho()) && off+head+fr.n <= size
}

func (fr *frame) isRecord() bool { return fr.kind == magic || fr.kind == group }

func (fr *frame) isEcho() bool { return fr.kind == again || fr.kind == groupAgain }

// records are those that a sound frame's data holds.
func (fr *frame) records(data []byte) (recs [][]byte) {
	if fr.kind == magic || fr.kind == again {
		return [][]byte{data}
	}
	for len(data) >= lengthSize {
		n := int64(binary.LittleEndian.Uint32(data))
		if data = data[lengthSize:]; n > int64(len(data)) {
			break
		}
		recs = append(recs, data[:n:n])
		data = data[n:]
	}
	return recs
}

// data reads what a frame at off holds; sound says that its checksum is right.
func (fr *frame) data(f *os.File, off int64) (b []byte, sound bool, err error) {
	b = make([]byte, fr.n)
	if _, err := f.ReadAt(b, off+head); err != nil {
		return nil, false, errors.Wrap(err, "read ring file")
	}
	sum := crc32.Update(crc32.Checksum(fr.head[:checksumAt], table), table, b)
	return b, sum == binary.LittleEndian.Uint32(fr.head[checksumAt:]), nil
}

// seek goes through every place from an offset on that may be a frame's, whatever lies between.
func seek(f *os.File, size, from int64, piece []byte, visit func(off int64, fr frame) error) error {
	for at := from; at+head <= size; {
		b := piece[:min(int64(len(piece)), size-at)]
		if _, err := f.ReadAt(b, at); err != nil {
			return errors.Wrap(err, "read ring file")
		}
		var ok bool
		var err error
		for i := 0; ; {
			j := bytes.Index(b[i:], common)
			if j < 0 {
				break
			}
			var fr frame
			if off := at + int64(i+j); i+j+head <= len(b) {
				copy(fr.head[:], b[i+j:])
				ok = fr.parse(size, off)
			} else if fr, ok, err = look(f, size, off); err != nil {
				return err
			}
			if ok {
				if err := visit(at+int64(i+j), fr); err != nil {
					return err
				}
			}
			i += j + 1
		}
		at += int64(len(b) - len(common) + 1)
	}
	return nil
}

// newest is the latest generation of which a file holds anything sound. A file
// whose whole record was torn while it was taken over holds nothing of the new
// generation, so the file before it, still complete, stays the newest.
func newest(f *os.File, size int64, piece []byte) (gen uint64, err error) {
	err = seek(f, size, 0, piece, func(off int64, fr frame) error {
		if fr.gen <= gen {
			return nil
		}
		_, sound, err := fr.data(f, off)
		if sound {
			gen = fr.gen
		}
		return err
	})
	return gen, err
}

// scan reads the records of a generation from a file's start, the last of them from
// their echoes if they are damaged; off is then the file's end, so that the next
// write starts another file. A sound record behind an unsound place means damage.
func scan(f *os.File, size int64, gen uint64, piece []byte) (recs [][]byte, off int64, err error) {
	for {
		fr, ok, err := look(f, size, off)
		if err != nil {
			return nil, 0, err
		}
		if !ok || !fr.isRecord() || fr.gen != gen || fr.num != uint32(len(recs)) {
			break
		}
		b, sound, err := fr.data(f, off)
		if err != nil {
			return nil, 0, err
		}
		if !sound {
			break
		}
		recs = append(recs, fr.records(b)...)
		off += head + fr.n
	}
	behind, last := off, int64(-1)
	err = seek(f, size, behind, piece, func(at int64, fr frame) error {
		if fr.gen != gen || fr.num < uint32(len(recs)) && fr.isEcho() {
			return nil
		}
		b, sound, err := fr.data(f, at)
		switch {
		case err != nil || !sound:
			return err
		case fr.isRecord():
			last = max(last, int64(fr.num))
		default:
			off = size // also after an echo of what was never whole: it must not come back
			if fr.num == uint32(len(recs)) {
				recs = append(recs, fr.records(b)...)
			}
		}
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	if last >= int64(len(recs)) {
		return nil, 0, errors.Wrapf(ErrDamaged, "unsound at byte %d, but record %d of generation %d behind it is sound", behind, last, gen)
	}
	return recs, off, nil
}

// Append writes records behind the last one and syncs them as one. It reports room false, with
// nothing written, if they do not fit into the file: Rotate is due then. After an error of the
// file system the same records, also with others behind them, are to be appended again.
func (r *Log) Append(recs ...[]byte) (room bool, err error) {
	kind, echo, data := uint32(magic), uint32(again), recs[0]
	if len(recs) > 1 {
		kind, echo, data = group, groupAgain, join(recs)
	}
	n := head + int64(len(data))
	if r.current < 0 || r.offset+2*n > r.size {
		return false, nil
	}
	r.buffer = r.buffer[:0]
	r.frame(kind, r.generation, r.records, data)
	r.frame(echo, r.generation, r.records, data)
	if err := r.put(r.files[r.current], r.offset); err != nil {
		return true, err
	}
	r.offset += n
	r.records += uint32(len(recs))
	return true, nil
}

// join is a group's data.
func join(recs [][]byte) (data []byte) {
	for _, rec := range recs {
		data = binary.LittleEndian.AppendUint32(data, uint32(len(rec)))
		data = append(data, rec...)
	}
	return data
}

// Rotate starts the next file with a record that holds the whole state. It returns ErrFull if
// that does not fit, with its echo, into a file.
func (r *Log) Rotate(whole []byte) error {
	if int64(len(whole)+head) > r.size/2 {
		return errors.Wrapf(ErrTooLarge, "%d bytes, half a file is %d", len(whole), r.size/2)
	}
	next := (r.current + 1) % len(r.files)
	r.buffer = r.buffer[:0]
	r.frame(magic, r.generation+1, 0, whole)
	r.frame(again, r.generation+1, 0, whole)
	if err := r.put(r.files[next], 0); err != nil {
		return err
	}
	r.current, r.generation, r.records, r.offset = next, r.generation+1, 1, int64(len(whole)+head)
	return nil
}

func (r *Log) frame(kind uint32, gen uint64, num uint32, d []byte) {
	var h [head]byte
	binary.LittleEndian.PutUint32(h[0:], kind)
	binary.LittleEndian.PutUint64(h[generationAt:], gen)
	binary.LittleEndian.PutUint32(h[numberAt:], num)
	binary.LittleEndian.PutUint32(h[lengthAt:], uint32(len(d)))
	sum := crc32.Update(crc32.Checksum(h[:checksumAt], table), table, d)
	binary.LittleEndian.PutUint32(h[checksumAt:], sum)
	r.buffer = append(append(r.buffer, h[:]...), d...)
}

// put writes and syncs what has been framed. After an error it may be there in part, and
// is to be written again at the same place before anything else.
func (r *Log) put(f *os.File, off int64) error {
	defer func() {
		if cap(r.buffer) > tuning.WALReadBuffer {
			r.buffer = nil
		}
	}()
	if _, err := f.WriteAt(r.buffer, off); err != nil {
		return errors.Wrap(err, "write ring file")
	}
	return errors.Wrap(f.Sync(), "sync ring file")
}

// Close closes the files. What was appended is synced already.
func (r *Log) Close() {
	for _, f := range r.files {
		f.Close()
	}
}
