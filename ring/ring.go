// Package ring keeps a member's state in a ring of preallocated files under one
// folder. A file starts with a record that holds the whole state, then takes
// records until it is full; then the next file takes over with a new whole
// record, so the disk in use never grows. Every record carries its file's
// generation, its number and a checksum. What is synced in one piece is written
// twice: its echo stands behind it until the next piece is written there. So what
// was cut short at the end of the newest file by a crash, and never promised, can
// be told from damage to what was synced last: the one has no echo and is dropped,
// the other is read from it. Damage followed by sound records is refused aloud.
package ring

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"myrtlefold/limit"
)

const (
	magic = 0x4d46524e        // a record's first four bytes
	again = 0x4d45524e        // an echo's magic; its last byte is the same
	head  = 4 + 8 + 4 + 4 + 4 // magic, generation, number, length, checksum
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

// ErrFull is returned for a state that no file can hold.
var ErrFull = errors.New("state larger than a ring file")

// Ring is an open ring of files. Its methods are for one goroutine.
type Ring struct {
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
func Open(dir string, files int, size int64) (*Ring, [][]byte, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, errors.Wrap(err, "ring folder")
	}
	r := &Ring{size: size, current: -1}
	piece := make([]byte, min(size, limit.RingPiece))
	for i := range files {
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("ring-%d", i)), os.O_RDWR|os.O_CREATE, 0o600)
		if err != nil {
			return nil, nil, errors.Wrap(err, "ring file")
		}
		r.files = append(r.files, f)
		fresh, err := allocate(f, size, piece)
		if err != nil {
			return nil, nil, err
		}
		if fresh {
			continue
		}
		g, err := newest(f, size, piece)
		if err != nil {
			return nil, nil, err
		}
		if g > r.generation {
			r.generation, r.current = g, i
		}
	}
	var recs [][]byte
	if r.current >= 0 {
		var err error
		if recs, r.offset, err = scan(r.files[r.current], size, r.generation, piece); err != nil {
			return nil, nil, errors.Wrapf(err, "%s", r.files[r.current].Name())
		}
		r.records = uint32(len(recs))
	}
	d, err := os.Open(dir)
	if err != nil {
		return nil, nil, errors.Wrap(err, "ring folder")
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return nil, nil, errors.Wrap(err, "sync ring folder")
	}
	return r, recs, nil
}

// allocate fills a file with zeros up to its size; fresh says that it was empty.
func allocate(f *os.File, size int64, piece []byte) (fresh bool, err error) {
	st, err := f.Stat()
	if err != nil {
		return false, errors.Wrap(err, "stat ring file")
	}
	if st.Size() >= size {
		return false, nil
	}
	clear(piece)
	for at := st.Size(); at < size; at += int64(len(piece)) {
		if _, err := f.WriteAt(piece[:min(int64(len(piece)), size-at)], at); err != nil {
			return false, errors.Wrap(err, "preallocate ring file")
		}
	}
	return st.Size() == 0, errors.Wrap(f.Sync(), "sync ring file")
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
	return (fr.kind == magic || fr.kind == again) && off+head+fr.n <= size
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
		if !ok || fr.kind != magic || fr.gen != gen || fr.num != uint32(len(recs)) {
			break
		}
		b, sound, err := fr.data(f, off)
		if err != nil {
			return nil, 0, err
		}
		if !sound {
			break
		}
		recs = append(recs, b)
		off += head + fr.n
	}
	behind, last := off, int64(-1)
	err = seek(f, size, behind, piece, func(at int64, fr frame) error {
		if fr.gen != gen || fr.num < uint32(len(recs)) && fr.kind == again {
			return nil
		}
		b, sound, err := fr.data(f, at)
		switch {
		case err != nil || !sound:
			return err
		case fr.kind == magic:
			last = max(last, int64(fr.num))
		default:
			off = size // also after an echo of what was never whole: it must not come back
			if fr.num == uint32(len(recs)) {
				recs = append(recs, b)
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
// file system the ring must be opened again.
func (r *Ring) Append(recs ...[]byte) (room bool, err error) {
	n := int64(0)
	for _, d := range recs {
		n += head + int64(len(d))
	}
	if r.current < 0 || r.offset+2*n > r.size {
		return false, nil
	}
	r.buffer = r.buffer[:0]
	for _, kind := range []uint32{magic, again} {
		for i, d := range recs {
			r.frame(kind, r.generation, r.records+uint32(i), d)
		}
	}
	if err := r.put(r.files[r.current], r.offset); err != nil {
		return true, err
	}
	r.offset += n
	r.records += uint32(len(recs))
	return true, nil
}

// Rotate starts the next file with a record that holds the whole state. It returns ErrFull if
// that does not fit, with its echo, into a file.
func (r *Ring) Rotate(whole []byte) error {
	if int64(len(whole)+head) > r.size/2 {
		return errors.Wrapf(ErrFull, "%d bytes, half a file is %d", len(whole), r.size/2)
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

func (r *Ring) frame(kind uint32, gen uint64, num uint32, d []byte) {
	var h [head]byte
	binary.LittleEndian.PutUint32(h[0:], kind)
	binary.LittleEndian.PutUint64(h[generationAt:], gen)
	binary.LittleEndian.PutUint32(h[numberAt:], num)
	binary.LittleEndian.PutUint32(h[lengthAt:], uint32(len(d)))
	sum := crc32.Update(crc32.Checksum(h[:checksumAt], table), table, d)
	binary.LittleEndian.PutUint32(h[checksumAt:], sum)
	r.buffer = append(append(r.buffer, h[:]...), d...)
}

func (r *Ring) put(f *os.File, off int64) error {
	if _, err := f.WriteAt(r.buffer, off); err != nil {
		return errors.Wrap(err, "write ring file")
	}
	return errors.Wrap(f.Sync(), "sync ring file")
}

// Close closes the files. What was appended is synced already.
func (r *Ring) Close() {
	for _, f := range r.files {
		f.Close()
	}
}
