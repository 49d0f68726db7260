// Writing of records and checkpoints.

package wal

import (
	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// Append writes records after the last one and syncs them. After a crash either all of them are recovered or none. If the
// records don't fit into the segment, Append writes nothing and returns fits false; the caller must then call Rotate. After
// a file system error the caller must append the same records again, optionally followed by more, before any other call.
func (l *Log) Append(records ...[]byte) (fits bool, err error) {
	kind, data := singleRecord, records[0]
	if len(records) > 1 {
		kind, data = recordGroup, encodeGroup(records)
	}
	size := headerSize + int64(len(data))
	if l.current == noSegment || l.offset+2*size > l.segmentSize {
		return false, nil
	}
	header := newHeader(kind, l.generation, l.nextNumber, data)
	if err := l.write(l.segments[l.current], l.offset, header, data); err != nil {
		return true, err
	}
	l.offset += size
	l.nextNumber += uint32(len(records))
	return true, nil
}

// Rotate begins the next segment with a checkpoint, a record that holds the whole state. It returns an error marked
// ErrTooLarge if the checkpoint and its mirror don't fit into a segment. After a file system error the caller must call it
// again before any other method.
func (l *Log) Rotate(checkpoint []byte) error {
	size := headerSize + int64(len(checkpoint))
	if size > l.segmentSize/2 {
		return errors.Wrapf(ErrTooLarge, "checkpoint of %d bytes and its header exceed half a segment, %d bytes", len(checkpoint), l.segmentSize/2)
	}
	next := (l.current + 1) % len(l.segments)
	header := newHeader(singleRecord, l.generation+1, 0, checkpoint)
	if err := l.write(l.segments[next], 0, header, checkpoint); err != nil {
		return err
	}
	l.current, l.generation, l.nextNumber, l.offset = next, l.generation+1, 1, size
	return nil
}

// write writes data and its mirror in one operation and syncs them. The next write overwrites the mirror: only the last
// write can have been interrupted, so only the last write needs one.
func (l *Log) write(s *segment, offset int64, header recordHeader, data []byte) error {
	mirror := newHeader(header.kind.mirror(), header.generation, header.number, data)
	l.buffer = append(header.appendTo(l.buffer[:0]), data...)
	l.buffer = append(mirror.appendTo(l.buffer), data...)
	err := s.write(l.buffer, offset)
	if cap(l.buffer) > tuning.WALReadBuffer {
		l.buffer = nil
	}
	return err
}
