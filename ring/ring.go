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
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"iter"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const (
	magic = 0x4d46524e
	again = 0x4d45524e        // an echo's magic; its last byte is the same
	head  = 4 + 8 + 4 + 4 + 4 // magic, generation, number, length, checksum
)

var table = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged marks a ring whose middle cannot be trusted.
var ErrDamaged = errors.New("ring damaged")

// ErrFull marks a whole record that no file can hold.
var ErrFull = errors.New("state larger than a ring file")

type Ring struct {
	dir   string
	files []*os.File
	size  int64
	cur   int
	gen   uint64
	num   uint32
	off   int64
	buf   []byte
}

// Open preallocates or reads the ring in dir and returns the records of its
// newest file; the first of them, if any, is a whole record.
func Open(dir string, files int, size int64) (*Ring, [][]byte, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, errors.Wrap(err, "ring folder")
	}
	r := &Ring{dir: dir, size: size, cur: -1}
	var all [][]byte
	for i := range files {
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("ring-%d", i)), os.O_RDWR|os.O_CREATE, 0o600)
		if err != nil {
			return nil, nil, errors.Wrap(err, "ring file")
		}
		r.files = append(r.files, f)
		if err := allocate(f, size); err != nil {
			return nil, nil, err
		}
		b := make([]byte, size)
		if _, err := f.ReadAt(b, 0); err != nil {
			return nil, nil, errors.Wrap(err, "read ring file")
		}
		all = append(all, b)
		if g := newest(b); g > r.gen {
			r.gen, r.cur = g, i
		}
	}
	var recs [][]byte
	if r.cur >= 0 {
		var err error
		if recs, r.off, err = scan(all[r.cur], r.gen); err != nil {
			return nil, nil, errors.Wrapf(err, "%s", r.files[r.cur].Name())
		}
		r.num = uint32(len(recs))
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

func allocate(f *os.File, size int64) error {
	st, err := f.Stat()
	if err != nil {
		return errors.Wrap(err, "stat ring file")
	}
	if st.Size() >= size {
		return nil
	}
	if _, err := f.WriteAt(make([]byte, size-st.Size()), st.Size()); err != nil {
		return errors.Wrap(err, "preallocate ring file")
	}
	return errors.Wrap(f.Sync(), "sync ring file")
}

func parse(b []byte, off int64, kind uint32) (gen uint64, num uint32, data []byte, ok bool) {
	if off+head > int64(len(b)) || binary.LittleEndian.Uint32(b[off:]) != kind {
		return
	}
	gen = binary.LittleEndian.Uint64(b[off+4:])
	num = binary.LittleEndian.Uint32(b[off+12:])
	n := int64(binary.LittleEndian.Uint32(b[off+16:]))
	if off+head+n > int64(len(b)) {
		return
	}
	data = b[off+head : off+head+n]
	sum := crc32.Update(crc32.Checksum(b[off:off+20], table), table, data)
	return gen, num, data, sum == binary.LittleEndian.Uint32(b[off+20:])
}

type frame struct {
	gen  uint64
	num  uint32
	data []byte
}

// sound yields every sound record or echo in a file, whatever lies between.
func sound(b []byte, from int64, kind uint32) iter.Seq[frame] {
	return func(yield func(frame) bool) {
		for o := from; o+head <= int64(len(b)); o++ {
			if b[o] != magic&0xff {
				continue
			}
			if g, num, data, ok := parse(b, o, kind); ok && !yield(frame{g, num, data}) {
				return
			}
		}
	}
}

// newest is the latest generation of which a file holds anything sound. A file
// whose whole record was torn while it was taken over holds nothing of the new
// generation, so the file before it, still complete, stays the newest.
func newest(b []byte) (max uint64) {
	for _, kind := range []uint32{magic, again} {
		for f := range sound(b, 0, kind) {
			if f.gen > max {
				max = f.gen
			}
		}
	}
	return max
}

// scan reads the records of a generation from a file's start, the last of them from
// their echoes if they are damaged; off is then the file's end, so that the next
// write starts another file. A sound record behind an unsound place means damage.
func scan(b []byte, gen uint64) (recs [][]byte, off int64, err error) {
	for {
		g, num, data, ok := parse(b, off, magic)
		if !ok || g != gen || num != uint32(len(recs)) {
			break
		}
		recs = append(recs, append([]byte(nil), data...))
		off += head + int64(len(data))
	}
	behind := off
	for f := range sound(b, behind, again) {
		if f.gen != gen || f.num < uint32(len(recs)) {
			continue
		}
		off = int64(len(b)) // also after an echo of what was never whole: it must not come back
		if f.num == uint32(len(recs)) {
			recs = append(recs, append([]byte(nil), f.data...))
		}
	}
	for f := range sound(b, behind, magic) {
		if f.gen == gen && f.num >= uint32(len(recs)) {
			return nil, 0, errors.Wrapf(ErrDamaged, "unsound at byte %d, but record %d of generation %d behind it is sound", behind, f.num, gen)
		}
	}
	return recs, off, nil
}

// Append writes and syncs records as one; room false means that nothing was
// written and Rotate is due.
func (r *Ring) Append(recs ...[]byte) (room bool, err error) {
	n := int64(0)
	for _, d := range recs {
		n += head + int64(len(d))
	}
	if r.cur < 0 || r.off+2*n > r.size {
		return false, nil
	}
	r.buf = r.buf[:0]
	for _, kind := range []uint32{magic, again} {
		for i, d := range recs {
			r.frame(kind, r.gen, r.num+uint32(i), d)
		}
	}
	if err := r.put(r.files[r.cur], r.off); err != nil {
		return true, err
	}
	r.off += n
	r.num += uint32(len(recs))
	return true, nil
}

// Rotate starts the next file with a whole record.
func (r *Ring) Rotate(whole []byte) error {
	if int64(len(whole)+head) > r.size/2 {
		return errors.Wrapf(ErrFull, "%d bytes, half a file is %d", len(whole), r.size/2)
	}
	next := (r.cur + 1) % len(r.files)
	r.buf = r.buf[:0]
	r.frame(magic, r.gen+1, 0, whole)
	r.frame(again, r.gen+1, 0, whole)
	if err := r.put(r.files[next], 0); err != nil {
		return err
	}
	r.cur, r.gen, r.num, r.off = next, r.gen+1, 1, int64(len(whole)+head)
	return nil
}

func (r *Ring) frame(kind uint32, gen uint64, num uint32, d []byte) {
	var h [head]byte
	binary.LittleEndian.PutUint32(h[0:], kind)
	binary.LittleEndian.PutUint64(h[4:], gen)
	binary.LittleEndian.PutUint32(h[12:], num)
	binary.LittleEndian.PutUint32(h[16:], uint32(len(d)))
	sum := crc32.Update(crc32.Checksum(h[:20], table), table, d)
	binary.LittleEndian.PutUint32(h[20:], sum)
	r.buf = append(append(r.buf, h[:]...), d...)
}

func (r *Ring) put(f *os.File, off int64) error {
	if _, err := f.WriteAt(r.buf, off); err != nil {
		return errors.Wrap(err, "write ring file")
	}
	return errors.Wrap(f.Sync(), "sync ring file")
}

// Close lets the files go.
func (r *Ring) Close() {
	for _, f := range r.files {
		f.Close()
	}
}
