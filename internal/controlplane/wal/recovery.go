// This file reads a segment at a start: its records, and after a crash or damage what can be repaired from a mirror.

package wal

import "github.com/cockroachdb/errors"

// newestGeneration returns the latest generation of which a segment holds anything sound, 0 if it holds nothing. A segment
// whose checkpoint was cut short while it was taken over holds nothing of the new generation, so the segment before it,
// which is still complete, stays the newest.
func (s *segment) newestGeneration(buffer []byte) (newest uint64, err error) {
	err = s.eachHeader(0, buffer, func(offset int64, header recordHeader) error {
		if header.generation <= newest {
			return nil
		}
		_, sound, err := s.readData(header, offset)
		if sound {
			newest = header.generation
		}
		return err
	})
	return newest, err
}

// recover reads the records of a generation, and the last write from its mirror if it is damaged itself. It returns the
// offset where the next record goes too.
func (s *segment) recover(generation uint64, buffer []byte) (records [][]byte, next int64, err error) {
	records, end, err := s.readRecords(generation)
	if err != nil {
		return nil, 0, err
	}
	next = end
	lastSound := int64(-1) // number of the last sound record behind end
	err = s.eachHeader(end, buffer, func(offset int64, header recordHeader) error {
		ofReadRecord := header.isMirror() && header.number < uint32(len(records))
		if header.generation != generation || ofReadRecord {
			return nil
		}
		data, sound, err := s.readData(header, offset)
		if err != nil || !sound {
			return err
		}
		if header.isRecord() {
			lastSound = max(lastSound, int64(header.number))
			return nil
		}
		// The mirror of a write that can't be read itself. The next write goes to another segment, so that this mirror
		// doesn't count again behind later records, also if the write was cut short and never acknowledged.
		next = s.size
		if header.number == uint32(len(records)) {
			records = append(records, header.records(data)...)
		}
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	if lastSound >= int64(len(records)) {
		// Writes are synced one after another, so what lies before a sound one was acknowledged, and is lost.
		return nil, 0, errors.Wrapf(ErrDamaged, "unsound at byte %d, but record %d of generation %d behind it is sound", end, lastSound, generation)
	}
	return records, next, nil
}

// readRecords reads the records of a generation from the segment's beginning up to the first offset at which the next
// one is missing, or isn't sound. It returns that offset too.
func (s *segment) readRecords(generation uint64) (records [][]byte, end int64, err error) {
	for {
		header, ok, err := s.readHeader(end)
		if err != nil {
			return nil, 0, err
		}
		if !ok || !header.isRecord() || header.generation != generation || header.number != uint32(len(records)) {
			return records, end, nil
		}
		data, sound, err := s.readData(header, end)
		if err != nil {
			return nil, 0, err
		}
		if !sound {
			return records, end, nil
		}
		records = append(records, header.records(data)...)
		end += header.size()
	}
}
