// Segment files and their directory: opening, allocation, reading and writing.

package wal

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// segmentFile is the format of a segment's file name, with the index of the segment.
const segmentFile = "ring-%d"

// segment is one file of the log.
type segment struct {
	file     *os.File
	size     int64 // size of the allocated file, in bytes
	readable int64 // size of the file when it was opened, at most size, in bytes; 0 if it was missing
}

// isShort reports whether the file was missing or smaller than its allocated size when it was opened.
func (s *segment) isShort() bool { return s.readable < s.size }

// openSegment opens the file of a segment and creates an empty one if it doesn't exist.
func openSegment(dir string, index int, size int64) (*segment, error) {
	file, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf(segmentFile, index)), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open segment")
	}
	info, err := file.Stat()
	if err != nil {
		file.Close()
		return nil, errors.Wrap(err, "stat segment")
	}
	return &segment{file: file, size: size, readable: min(size, info.Size())}, nil
}

// allocate extends a short file with zeros to its full size and syncs it.
func (s *segment) allocate(zeros []byte) error {
	info, err := s.file.Stat()
	if err != nil {
		return errors.Wrap(err, "stat segment")
	}
	if info.Size() >= s.size {
		return nil
	}
	for offset := info.Size(); offset < s.size; offset += int64(len(zeros)) {
		if _, err := s.file.WriteAt(zeros[:min(int64(len(zeros)), s.size-offset)], offset); err != nil {
			return errors.Wrap(err, "allocate segment")
		}
	}
	return errors.Wrap(s.file.Sync(), "sync segment")
}

// write writes b at offset and syncs the file. After an error any part of b may have been written.
func (s *segment) write(b []byte, offset int64) error {
	if _, err := s.file.WriteAt(b, offset); err != nil {
		return errors.Wrap(err, "write segment")
	}
	return errors.Wrap(s.file.Sync(), "sync segment")
}

// readHeader reads the header at offset; ok is false if there is no plausible header.
func (s *segment) readHeader(offset int64) (header recordHeader, ok bool, err error) {
	if offset+headerSize > s.readable {
		return recordHeader{}, false, nil
	}
	var encoded [headerSize]byte
	if _, err := s.file.ReadAt(encoded[:], offset); err != nil {
		return recordHeader{}, false, errors.Wrap(err, "read segment")
	}
	header = decodeHeader(encoded[:])
	return header, header.isPlausible(offset, s.readable), nil
}

// readData reads the data that follows the header at offset; valid reports whether its checksum is valid.
func (s *segment) readData(header recordHeader, offset int64) (data []byte, valid bool, err error) {
	data = make([]byte, header.length)
	if _, err := s.file.ReadAt(data, offset+headerSize); err != nil {
		return nil, false, errors.Wrap(err, "read segment")
	}
	return data, header.checksum == header.expectedChecksum(data), nil
}

// eachHeader calls visit for every plausible header, starting at offset from, and skips any other bytes between
// headers. It reads the file through buffer.
func (s *segment) eachHeader(from int64, buffer []byte, visit func(offset int64, header recordHeader) error) error {
	for at := from; at+headerSize <= s.readable; {
		b := buffer[:min(int64(len(buffer)), s.readable-at)]
		if _, err := s.file.ReadAt(b, at); err != nil {
			return errors.Wrap(err, "read segment")
		}
		if err := s.eachHeaderIn(b, at, visit); err != nil {
			return err
		}
		// Overlap reads, since the bytes of kindPrefix may lie across the end of the buffer.
		at += int64(len(b) - len(kindPrefix) + 1)
	}
	return nil
}

// eachHeaderIn calls visit for the plausible headers that begin in content, which was read from offset start.
func (s *segment) eachHeaderIn(content []byte, start int64, visit func(offset int64, header recordHeader) error) error {
	for i := 0; ; i++ {
		next := bytes.Index(content[i:], kindPrefix)
		if next < 0 {
			return nil
		}
		i += next
		offset := start + int64(i)
		header, ok, err := s.headerIn(content[i:], offset)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		if err := visit(offset, header); err != nil {
			return err
		}
	}
}

// headerIn decodes the header at the start of b, which was read from offset; if b holds only part of the header, it reads
// the header from the file.
func (s *segment) headerIn(b []byte, offset int64) (header recordHeader, ok bool, err error) {
	if len(b) < headerSize {
		return s.readHeader(offset)
	}
	header = decodeHeader(b)
	return header, header.isPlausible(offset, s.readable), nil
}

// makeDirectory creates a directory if it doesn't exist and syncs its parent, so that the new entry is durable.
func makeDirectory(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "make directory of the write-ahead log")
	}
	return syncDirectory(filepath.Dir(dir))
}

// syncDirectory syncs a directory, so that its entries are durable.
func syncDirectory(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open directory")
	}
	defer directory.Close()
	return errors.Wrap(directory.Sync(), "sync directory")
}
