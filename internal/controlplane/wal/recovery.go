// Recovery of a segment when the log is opened: reading its records, and repairing the last write from its mirror.

package wal

import "github.com/cockroachdb/errors"

// newestGeneration returns the latest generation of which the segment holds a record or mirror with a valid checksum, 0 if
// there is none. If a rotation was interrupted while it wrote the checkpoint, the segment holds nothing valid of the new
// generation, so the previous segment, which is still complete, remains the newest.
func (s *segment) newestGeneration(buffer []byte) (newest uint64, err error) {
	err = s.eachHeader(0, buffer, func(offset int64, header recordHeader) error {
		if header.generation <= newest {
			return nil
		}
		_, valid, err := s.readData(header, offset)
		if valid {
			newest = header.generation
		}
		return err
	})
	return newest, err
}

// recover reads the records of a generation; if the last write is damaged, it reads that write from its mirror. It also
// returns the offset at which to write the next record.
func (s *segment) recover(generation uint64, buffer []byte) (records [][]byte, next int64, err error) {
	records, end, err := s.readRecords(generation)
	if err != nil {
		return nil, 0, err
	}
	next = end
	lastValid := int64(-1) // highest number of a valid record after end, -1 if there is none
	err = s.eachHeader(end, buffer, func(offset int64, header recordHeader) error {
		mirrorsReadRecord := header.isMirror() && header.number < uint32(len(records))
		if header.generation != generation || mirrorsReadRecord {
			return nil
		}
		data, valid, err := s.readData(header, offset)
		if err != nil || !valid {
			return err
		}
		if header.isRecord() {
			lastValid = max(lastValid, int64(header.number))
			return nil
		}
		// This is the mirror of a write that is itself unreadable. Make the next write go to another segment, even if
		// this write was interrupted and never acknowledged: otherwise a later recovery could find this mirror after
		// newer records and add its content to them.
		next = s.size
		if header.number == uint32(len(records)) {
			records = append(records, header.records(data)...)
		}
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	if lastValid >= int64(len(records)) {
		// Each write is synced before the next one begins, so the damaged records before a valid one were acknowledged.
		return nil, 0, errors.Wrapf(ErrDamaged, "no valid record at byte %d, but record %d of generation %d after it is valid", end, lastValid, generation)
	}
	return records, next, nil
}

// readRecords reads the records of a generation from the start of the segment up to the first offset at which the next
// record is missing or its checksum is invalid. It also returns that offset.
func (s *segment) readRecords(generation uint64) (records [][]byte, end int64, err error) {
	for {
		header, ok, err := s.readHeader(end)
		if err != nil {
			return nil, 0, err
		}
		if !ok || !header.isRecord() || header.generation != generation || header.number != uint32(len(records)) {
			return records, end, nil
		}
		data, valid, err := s.readData(header, end)
		if err != nil {
			return nil, 0, err
		}
		if !valid {
			return records, end, nil
		}
		records = append(records, header.records(data)...)
		end += header.size()
	}
}
