// Package wal implements a member's write-ahead log. Records are durable once Append or Rotate returns, and Open reads them
// back after a crash. The package doesn't interpret records: package daemon encodes and decodes them, package consensus
// applies them.
//
// The log is a ring of preallocated files, the segments, in one directory. A segment begins with a checkpoint, a record that
// holds the whole state, followed by records until it is full. Then the next segment begins with a new checkpoint, so the
// log never takes more space than was allocated at first. The newest segment alone suffices to restore the state.
//
// Each write, of one record or of a group, has one header with the segment's generation, the first record's number and a
// checksum, so that after a power cut the write is recovered completely or not at all. The write is followed immediately by
// its mirror, a second copy of the same header and data, which the next write overwrites. If the last write is invalid but
// its mirror is valid, the write may have been acknowledged and damaged later, so it is read from the mirror. If neither is
// valid, the write is taken for an interrupted one, which was never acknowledged, and is dropped. Damage before a valid
// record is an error, since acknowledged records are lost then.
//
// Start reading at Open in this file and Log.Append in write.go. The on-disk format is in format.go, recovery in
// recovery.go.
package wal

import (
	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// ErrDamaged marks the error for a log whose acknowledged records can't all be read. Recreate starts such a log over. The
// API's status of a member shows the text of this error, so the text must not change.
var ErrDamaged = errors.New("ring damaged")

// ErrTooLarge marks the error for a checkpoint that doesn't fit into a segment. Rotate fails until the state is smaller.
var ErrTooLarge = errors.New("checkpoint does not fit into a segment of the write-ahead log")

// noSegment is the value of Log.current before the first checkpoint.
const noSegment = -1

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	dir         string
	segments    []*segment
	segmentSize int64  // in bytes
	current     int    // index of the segment being written, noSegment before the first checkpoint
	generation  uint64 // generation of the current segment, 0 before the first checkpoint
	nextNumber  uint32 // number of the next record in the current segment
	offset      int64  // offset of the next record in the current segment, in bytes
	buffer      []byte // encoding buffer, reused between writes
}

// Open opens the log in directory dir, which has the given number of segments of segmentSize bytes each, and allocates it
// if it doesn't exist. It returns the records of the newest segment; the first of them, if any, is the checkpoint. It
// returns an error marked ErrDamaged if acknowledged records can't be read, or an error of the file system. It buffers at
// most tuning.WALReadBuffer bytes of a segment at a time, besides the records themselves.
func Open(dir string, segments int, segmentSize int64) (*Log, [][]byte, error) {
	log, err := openSegments(dir, segments, segmentSize)
	if err != nil {
		return nil, nil, err
	}
	records, err := log.recover()
	if err == nil {
		err = log.allocate()
	}
	if err != nil {
		log.Close()
		return nil, nil, err
	}
	return log, records, nil
}

// Recreate starts the log in dir over with a checkpoint, whatever its segments hold. If it is interrupted before the
// checkpoint is synced, the log is as damaged as before. Segments keep their old content until they are next written.
func Recreate(dir string, segments int, segmentSize int64, checkpoint []byte) (*Log, error) {
	log, err := openSegments(dir, segments, segmentSize)
	if err != nil {
		return nil, err
	}
	if err = log.Rotate(checkpoint); err == nil {
		err = log.allocate()
	}
	if err != nil {
		log.Close()
		return nil, err
	}
	return log, nil
}

// Close closes the segment files. Appended records are already synced.
func (l *Log) Close() {
	for _, s := range l.segments {
		s.file.Close()
	}
}

// openSegments opens the segment files and finds the newest generation.
func openSegments(dir string, segments int, segmentSize int64) (_ *Log, err error) {
	if err := makeDirectory(dir); err != nil {
		return nil, err
	}
	log := &Log{dir: dir, segmentSize: segmentSize, current: noSegment}
	defer func() {
		if err != nil {
			log.Close()
		}
	}()
	buffer := log.readBuffer()
	for i := range segments {
		s, err := openSegment(dir, i, segmentSize)
		if err != nil {
			return nil, err
		}
		log.segments = append(log.segments, s)
		generation, err := s.newestGeneration(buffer)
		if err != nil {
			return nil, err
		}
		if generation > log.generation {
			log.generation, log.current = generation, i
		}
	}
	return log, nil
}

// recover reads the records of the newest generation. In a log with records, all segments must be present with their full
// size, since files and directory entries are allocated and synced before the first record is written. A segment that is
// missing or short may have held newer records, so it is reported as damage.
func (l *Log) recover() (records [][]byte, err error) {
	if l.current == noSegment {
		return nil, nil
	}
	for i := len(l.segments) - 1; i >= 0; i-- {
		if s := l.segments[i]; s.isShort() {
			return nil, errors.Wrapf(ErrDamaged, "%s is missing or shorter than allocated, but the log has records of generation %d", s.file.Name(), l.generation)
		}
	}
	current := l.segments[l.current]
	if records, l.offset, err = current.recover(l.generation, l.readBuffer()); err != nil {
		return nil, errors.Wrapf(err, "%s", current.file.Name())
	}
	l.nextNumber = uint32(len(records))
	return records, nil
}

// allocate extends all segments to their full size and makes their directory entries durable.
func (l *Log) allocate() error {
	zeros := l.readBuffer()
	for _, s := range l.segments {
		if err := s.allocate(zeros); err != nil {
			return err
		}
	}
	return syncDirectory(l.dir)
}

// readBuffer returns a zeroed buffer for reading a segment or filling it with zeros.
func (l *Log) readBuffer() []byte { return make([]byte, min(l.segmentSize, tuning.WALReadBuffer)) }
