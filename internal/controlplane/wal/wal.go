// Package wal is a member's write-ahead log: records that are on disk once Append or Rotate returns, and that Open reads
// again after a crash. It doesn't know what records mean, and keeps no more than one state: package daemon encodes and
// decodes them, package consensus applies them.
//
// The log is a ring of preallocated files, the segments, under one directory. A segment begins with a checkpoint, a record
// that holds the whole state, and then takes records until it is full. Then the next segment takes over with a new
// checkpoint, so the log never needs more room than it had at first. The newest segment alone holds all that
// counts.
//
// What is written at once, one record or a group of several, has one header with the segment's generation, the first
// record's number and a checksum, so that a power cut leaves all of it or nothing. It is written twice: its mirror follows
// right behind it until the next write overwrites that. By the mirror a write that a crash cut short, and that was
// never acknowledged, is distinguished from damage to the write that was synced last: the one has no mirror and is dropped, the
// other is read from it. Damage that sound records follow is an error: acknowledged records are lost then.
//
// Begin reading at Open in this file and Log.Append in write.go; format.go is the form on disk, recovery.go reads it.
package wal

import (
	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// ErrDamaged marks the error for a log whose acknowledged records can't all be read. Recreate begins it anew. A member's
// status shows the text of such an error, so its wording stays.
var ErrDamaged = errors.New("ring damaged")

// ErrTooLarge marks the error for a checkpoint that doesn't fit into a segment. The state has to shrink first.
var ErrTooLarge = errors.New("state larger than a segment of the write-ahead log")

// noSegment is Log.current before the first checkpoint.
const noSegment = -1

// Log is an open write-ahead log. Its methods are for one goroutine.
type Log struct {
	dir         string
	segments    []*segment
	segmentSize int64 // in bytes
	current     int   // index of the segment that is written to, noSegment before the first checkpoint
	generation  uint64
	nextNumber  uint32 // of the next record in the current segment
	offset      int64  // where the next record goes in the current segment, in bytes
	buffer      []byte // what is written at once, kept from one write to the next
}

// Open opens the log of so many segments of segmentSize bytes in the directory dir, and allocates it if it doesn't exist.
// It returns the records of the newest segment; the first of them, if any, is the checkpoint. Besides errors of the file
// system it returns one marked ErrDamaged. In memory there is at most tuning.WALReadBuffer of a segment at a time,
// and one record.
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

// Recreate begins a log in dir anew with a checkpoint, whatever its segments hold. Until the checkpoint is synced the log
// is as damaged as it was; segments that are not written to yet stay as they are until their turn comes.
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

// Close closes the files. What was appended is synced already.
func (l *Log) Close() {
	for _, s := range l.segments {
		s.file.Close()
	}
}

// openSegments opens the segments' files and finds the newest generation.
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

// recover reads the records of the newest generation. Segments get their size and their entries in the directory synced
// before the first record is written. So one that is missing or short beside records held the newest of them, or may
// have.
func (l *Log) recover() (records [][]byte, err error) {
	if l.current == noSegment {
		return nil, nil
	}
	for i := len(l.segments) - 1; i >= 0; i-- {
		if s := l.segments[i]; s.isShort() {
			return nil, errors.Wrapf(ErrDamaged, "%s is missing or short beside generation %d", s.file.Name(), l.generation)
		}
	}
	current := l.segments[l.current]
	if records, l.offset, err = current.recover(l.generation, l.readBuffer()); err != nil {
		return nil, errors.Wrapf(err, "%s", current.file.Name())
	}
	l.nextNumber = uint32(len(records))
	return records, nil
}

// allocate gives all segments their size and makes their entries in the directory durable.
func (l *Log) allocate() error {
	zeros := l.readBuffer()
	for _, s := range l.segments {
		if err := s.allocate(zeros); err != nil {
			return err
		}
	}
	return syncDirectory(l.dir)
}

// readBuffer returns zeroed bytes to read or fill a segment with.
func (l *Log) readBuffer() []byte { return make([]byte, min(l.segmentSize, tuning.WALReadBuffer)) }
