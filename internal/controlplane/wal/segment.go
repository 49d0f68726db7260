// This file is the segments' files and their directory: opening, allocating and reading.

package wal

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// segmentFile is the name of a segment's file, by its index.
const segmentFile = "ring-%d"

// segment is one file of the log.
type segment struct {
	file     *os.File
	size     int64 // that it has once it is allocated, in bytes
	readable int64 // how much of that it had when it was opened, in bytes
}

// isShort says whether the file was missing, or smaller than it should be, when it was opened.
func (s *segment) isShort() bool { return s.readable < s.size }

// openSegment opens a segment's file, and makes an empty one if there is none.
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

// allocate fills a short file with zeros up to its size, and syncs it.
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

// write writes and syncs bytes. After an error they may be there in part.
func (s *segment) write(b []byte, offset int64) error {
	if _, err := s.file.WriteAt(b, offset); err != nil {
		return errors.Wrap(err, "write segment")
	}
	return errors.Wrap(s.file.Sync(), "sync segment")
}

// readHeader reads a header; ok is false if there can't be one at the offset.
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

// readData reads the data of a header at an offset; sound says whether its checksum is right.
func (s *segment) readData(header recordHeader, offset int64) (data []byte, sound bool, err error) {
	data = make([]byte, header.length)
	if _, err := s.file.ReadAt(data, offset+headerSize); err != nil {
		return nil, false, errors.Wrap(err, "read segment")
	}
	return data, header.checksum == header.expectedChecksum(data), nil
}

// eachHeader visits every plausible header from an offset on, whatever lies between. The file is read through buffer.
func (s *segment) eachHeader(from int64, buffer []byte, visit func(offset int64, header recordHeader) error) error {
	for at := from; at+headerSize <= s.readable; {
		b := buffer[:min(int64(len(buffer)), s.readable-at)]
		if _, err := s.file.ReadAt(b, at); err != nil {
			return errors.Wrap(err, "read segment")
		}
		if err := s.eachHeaderIn(b, at, visit); err != nil {
			return err
		}
		// A prefix may lie across the end of what was read.
		at += int64(len(b) - len(kindPrefix) + 1)
	}
	return nil
}

// eachHeaderIn visits the plausible headers that begin in content, which was read from the offset start on.
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

// headerIn decodes the header that b begins with, and reads it from the file if b ends within it.
func (s *segment) headerIn(b []byte, offset int64) (header recordHeader, ok bool, err error) {
	if len(b) < headerSize {
		return s.readHeader(offset)
	}
	header = decodeHeader(b)
	return header, header.isPlausible(offset, s.readable), nil
}

// makeDirectory makes a directory if there is none, and its entry in the one above durable.
func makeDirectory(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "make directory of the write-ahead log")
	}
	return syncDirectory(filepath.Dir(dir))
}

// syncDirectory makes a directory's entries durable.
func syncDirectory(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open directory")
	}
	defer directory.Close()
	return errors.Wrap(directory.Sync(), "sync directory")
}
