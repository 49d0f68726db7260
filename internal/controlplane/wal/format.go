// This file is the form of records on disk.

package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// recordKind begins a header; on disk it also distinguishes a header from other bytes.
type recordKind uint32

// The kinds of records. On disk their low two bytes, which come first, are the same.
const (
	singleRecord recordKind = 0x4d46524e // one record
	singleMirror recordKind = 0x4d45524e // its mirror
	recordGroup  recordKind = 0x4d47524e // several records written at once, which are read all or not at all
	groupMirror  recordKind = 0x4d48524e // their mirror
)

// mirror returns the kind of a record's or group's mirror.
func (k recordKind) mirror() recordKind {
	if k == recordGroup {
		return groupMirror
	}
	return singleMirror
}

// kindPrefix is what every kind begins with on disk.
var kindPrefix = []byte{byte(singleRecord & 0xff), byte(singleRecord >> 8 & 0xff)}

const (
	// headerSize is the length of a header on disk, in bytes: kind (4), generation (8), number (4), length (4) and
	// checksum (4), all little-endian. The data follows.
	headerSize = 24
	// checksumOffset is the checksum's offset in a header, in bytes: it covers what comes before it, and the data.
	checksumOffset = headerSize - 4
	// lengthSize is the size of the length before each record of a group, in bytes.
	lengthSize = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordHeader precedes the data of a record or a group, and of their mirrors.
type recordHeader struct {
	kind       recordKind
	generation uint64 // of the segment: how many checkpoints there were before, and this one
	number     uint32 // of the (first) record in its segment, from 0
	length     uint32 // of the data, in bytes
	checksum   uint32 // CRC-32C
}

// newHeader returns the header of data.
func newHeader(kind recordKind, generation uint64, number uint32, data []byte) recordHeader {
	header := recordHeader{kind: kind, generation: generation, number: number, length: uint32(len(data))}
	header.checksum = header.expectedChecksum(data)
	return header
}

// decodeHeader reads a header from the beginning of b, which must hold headerSize bytes.
func decodeHeader(b []byte) recordHeader {
	return recordHeader{
		kind:       recordKind(binary.LittleEndian.Uint32(b)),
		generation: binary.LittleEndian.Uint64(b[4:]),
		number:     binary.LittleEndian.Uint32(b[12:]),
		length:     binary.LittleEndian.Uint32(b[16:]),
		checksum:   binary.LittleEndian.Uint32(b[checksumOffset:]),
	}
}

// appendTo appends the header's form on disk to b.
func (h recordHeader) appendTo(b []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(h.kind))
	b = binary.LittleEndian.AppendUint64(b, h.generation)
	b = binary.LittleEndian.AppendUint32(b, h.number)
	b = binary.LittleEndian.AppendUint32(b, h.length)
	return binary.LittleEndian.AppendUint32(b, h.checksum)
}

// expectedChecksum is the checksum of the header's other fields and of data.
func (h recordHeader) expectedChecksum(data []byte) uint32 {
	encoded := h.appendTo(make([]byte, 0, headerSize))
	return crc32.Update(crc32.Checksum(encoded[:checksumOffset], castagnoli), castagnoli, data)
}

// isRecord says whether this is the header of a record or a group, not of a mirror.
func (h recordHeader) isRecord() bool { return h.kind == singleRecord || h.kind == recordGroup }

func (h recordHeader) isMirror() bool { return h.kind == singleMirror || h.kind == groupMirror }

// isPlausible says whether there may be such a header at an offset of a segment: its kind is known and its data
// would fit. Only the checksum shows whether it is one.
func (h recordHeader) isPlausible(offset, segmentSize int64) bool {
	return (h.isRecord() || h.isMirror()) && offset+h.size() <= segmentSize
}

// size is what the header and its data take, in bytes.
func (h recordHeader) size() int64 { return headerSize + int64(h.length) }

// records returns the records that the header's data holds, which must be sound.
func (h recordHeader) records(data []byte) [][]byte {
	if h.kind == singleRecord || h.kind == singleMirror {
		return [][]byte{data}
	}
	return splitGroup(data)
}

// joinGroup returns the data of a group: each record after its length.
func joinGroup(records [][]byte) (data []byte) {
	for _, record := range records {
		data = binary.LittleEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
	}
	return data
}

// splitGroup returns the records of a group's data.
func splitGroup(data []byte) (records [][]byte) {
	for len(data) >= lengthSize {
		length := int64(binary.LittleEndian.Uint32(data))
		data = data[lengthSize:]
		if length > int64(len(data)) {
			break
		}
		records = append(records, data[:length:length])
		data = data[length:]
	}
	return records
}
