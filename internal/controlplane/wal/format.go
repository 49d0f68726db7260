// On-disk format of records.

package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// recordKind is the first field of a header. It also serves as a magic number by which headers are found on disk.
type recordKind uint32

// The kinds of records. They share their two low-order bytes, which come first on disk.
const (
	singleRecord recordKind = 0x4d46524e // one record
	singleMirror recordKind = 0x4d45524e // mirror (second copy, see the package comment) of one record
	recordGroup  recordKind = 0x4d47524e // several records written together, which are recovered all or not at all
	groupMirror  recordKind = 0x4d48524e // mirror of a group
)

// mirror returns the kind that marks the mirror of a record or group of kind k.
func (k recordKind) mirror() recordKind {
	if k == recordGroup {
		return groupMirror
	}
	return singleMirror
}

// kindPrefix holds the two bytes with which every kind begins on disk.
var kindPrefix = []byte{byte(singleRecord & 0xff), byte(singleRecord >> 8 & 0xff)}

const (
	// headerSize is the encoded size of a header, in bytes: kind (4), generation (8), number (4), length (4) and
	// checksum (4), all little-endian. The data follows.
	headerSize = 24
	// checksumOffset is the offset of the checksum in a header, in bytes. The checksum covers the fields before it and
	// the data.
	checksumOffset = headerSize - 4
	// lengthSize is the size of the length prefix of each record in a group, in bytes.
	lengthSize = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordHeader precedes the data of a record or a group, and of their mirrors.
type recordHeader struct {
	kind       recordKind
	generation uint64 // generation of the segment: the number of checkpoints written so far, including the segment's own
	number     uint32 // sequence number of the record, or of the group's first record, within the segment; starts at 0
	length     uint32 // length of the data, in bytes
	checksum   uint32 // CRC-32C of the other fields and the data
}

// newHeader returns the header for data, with its checksum.
func newHeader(kind recordKind, generation uint64, number uint32, data []byte) recordHeader {
	header := recordHeader{kind: kind, generation: generation, number: number, length: uint32(len(data))}
	header.checksum = header.expectedChecksum(data)
	return header
}

// decodeHeader decodes the header at the start of b, which must hold at least headerSize bytes.
func decodeHeader(b []byte) recordHeader {
	return recordHeader{
		kind:       recordKind(binary.LittleEndian.Uint32(b)),
		generation: binary.LittleEndian.Uint64(b[4:]),
		number:     binary.LittleEndian.Uint32(b[12:]),
		length:     binary.LittleEndian.Uint32(b[16:]),
		checksum:   binary.LittleEndian.Uint32(b[checksumOffset:]),
	}
}

// appendTo appends the encoded header to b.
func (h recordHeader) appendTo(b []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(h.kind))
	b = binary.LittleEndian.AppendUint64(b, h.generation)
	b = binary.LittleEndian.AppendUint32(b, h.number)
	b = binary.LittleEndian.AppendUint32(b, h.length)
	return binary.LittleEndian.AppendUint32(b, h.checksum)
}

// expectedChecksum computes the checksum of the header's other fields and of data.
func (h recordHeader) expectedChecksum(data []byte) uint32 {
	encoded := h.appendTo(make([]byte, 0, headerSize))
	return crc32.Update(crc32.Checksum(encoded[:checksumOffset], castagnoli), castagnoli, data)
}

// isRecord reports whether this is the header of a record or group rather than of a mirror.
func (h recordHeader) isRecord() bool { return h.kind == singleRecord || h.kind == recordGroup }

func (h recordHeader) isMirror() bool { return h.kind == singleMirror || h.kind == groupMirror }

// isPlausible reports whether bytes at an offset of a segment that decode to h may be a header: the kind is known and the
// data fits into the segment. Only the checksum confirms that they are one.
func (h recordHeader) isPlausible(offset, segmentSize int64) bool {
	return (h.isRecord() || h.isMirror()) && offset+h.size() <= segmentSize
}

// size returns the encoded size of the header and its data, in bytes.
func (h recordHeader) size() int64 { return headerSize + int64(h.length) }

// records returns the records in data, whose checksum must have been verified.
func (h recordHeader) records(data []byte) [][]byte {
	if h.kind == singleRecord || h.kind == singleMirror {
		return [][]byte{data}
	}
	return decodeGroup(data)
}

// encodeGroup returns the data of a group: each record, prefixed by its length.
func encodeGroup(records [][]byte) (data []byte) {
	for _, record := range records {
		data = binary.LittleEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
	}
	return data
}

// decodeGroup returns the records in a group's data.
func decodeGroup(data []byte) (records [][]byte) {
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
