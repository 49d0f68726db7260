package wire

// Messages on a connection use Cap'n Proto's packed encoding, in which a tag byte per word marks the
// non-zero bytes, since small messages are mostly zeros. Each frame is the unpacked size in words and the
// packed size in bytes, both as varints, followed by the packed message. The sender's name is sent with the
// first message and whenever it changes. The receiver's name is omitted, since the connection determines it.

import (
	"bufio"
	"encoding/binary"
	"io"
	"math/bits"

	"capnproto.org/go/capnp/v3/packed"
	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// Writer writes messages to a connection. It is not safe for concurrent use.
type Writer struct {
	buffered *bufio.Writer
	lastFrom string // Message.From of the last message written
	packed   []byte // buffer reused for each message
}

// NewWriter returns a buffered Writer to a connection. Data is sent when the buffer is full or Flush is called.
func NewWriter(w io.Writer) *Writer {
	return &Writer{buffered: bufio.NewWriterSize(w, tuning.WireBuffer)}
}

// Put writes a message to the buffer and returns the size of its frame in bytes. Errors come from the
// encoding or the connection.
func (w *Writer) Put(m *Message) (size int, err error) {
	c := w.omitRedundant(m)
	b, err := Encode(&c)
	if err != nil {
		return 0, err
	}
	w.packed = Pack(w.packed[:0], b)
	return w.writeFrame(len(b)/wordSize, w.packed)
}

// omitRedundant returns a copy of m without the receiver, and without the sender if it is the same as in
// the previous message.
func (w *Writer) omitRedundant(m *Message) Message {
	c := *m
	if c.To = ""; c.From == w.lastFrom {
		c.From = ""
	} else {
		w.lastFrom = c.From
	}
	return c
}

// writeFrame writes a frame whose packed message is the concatenation of parts. words is the size of the unpacked
// message in words. It returns the size of the frame in bytes.
func (w *Writer) writeFrame(words int, parts ...[]byte) (size int, err error) {
	for _, p := range parts {
		size += len(p)
	}
	var h [2 * binary.MaxVarintLen32]byte
	n := binary.PutUvarint(h[:], uint64(words))
	n += binary.PutUvarint(h[n:], uint64(size))
	_, err = w.buffered.Write(h[:n])
	for _, p := range parts {
		if err == nil {
			_, err = w.buffered.Write(p)
		}
	}
	if cap(w.packed) > tuning.WireBuffer {
		w.packed = nil
	}
	return n + size, err
}

// Flush sends the buffered data.
func (w *Writer) Flush() error { return w.buffered.Flush() }

// Reader reads messages from a connection. It is not safe for concurrent use.
type Reader struct {
	buffered         *bufio.Reader
	packed, unpacked []byte // buffers reused for each message
	// Size is the packed size of the last message read, in bytes, without the two lengths of its frame.
	Size int
}

// NewReader returns a Reader of a connection.
func NewReader(r io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(r, tuning.WireBuffer)}
}

// Next returns the unpacked bytes of the next message, for Decode. They are valid until the next call. It
// returns an error if reading from the connection fails, or if the message is malformed or larger than
// tuning.MessageMax bytes. After an error the connection cannot be read any further.
func (r *Reader) Next() ([]byte, error) {
	words, err := binary.ReadUvarint(r.buffered)
	if err != nil {
		return nil, err
	}
	packedSize, err := binary.ReadUvarint(r.buffered)
	if err != nil {
		return nil, err
	}
	if words > tuning.MessageMax/wordSize || packedSize > tuning.MessageMax*2 {
		return nil, errors.Newf("message of %d words, packed into %d bytes, exceeds the limit of %d bytes", words, packedSize, tuning.MessageMax)
	}
	if cap(r.packed) > tuning.WireBuffer {
		r.packed, r.unpacked = nil, nil
	}
	if r.packed, err = readFull(r.packed, r.buffered, int(packedSize)); err != nil {
		return nil, err
	}
	r.Size = len(r.packed)
	r.unpacked, err = Unpack(r.unpacked[:0], r.packed, int(words)*wordSize)
	return r.unpacked, err
}

// readFull reads n bytes into b. The buffer grows only as data arrives, so a large claimed length does not cause
// a large allocation.
func readFull(b []byte, r io.Reader, n int) ([]byte, error) {
	b = b[:0]
	for len(b) < n {
		k := min(n-len(b), max(tuning.WireBuffer, len(b)))
		if cap(b)-len(b) < k {
			b = append(make([]byte, 0, len(b)+k), b...)
		}
		got, err := io.ReadFull(r, b[len(b):len(b)+k])
		if b = b[:len(b)+got]; err != nil {
			return b, err
		}
	}
	return b, nil
}

// Pack appends b in Cap'n Proto's packed encoding to dst. The length of b must be a multiple of 8.
func Pack(dst, b []byte) []byte { return packed.Pack(dst, b) }

// Unpack decodes packedBytes and appends the result to dst. It returns an error unless the result has
// exactly size bytes: the library's own function does not limit how much a few input bytes can expand.
func Unpack(dst, packedBytes []byte, size int) ([]byte, error) {
	end := len(dst) + size
	for len(packedBytes) > 0 {
		tag := packedBytes[0]
		packedBytes = packedBytes[1:]
		if len(packedBytes) < bits.OnesCount8(tag) || len(dst)+wordSize > end {
			return dst, errors.Newf("packed message does not unpack to %d bytes", size)
		}
		dst, packedBytes = unpackWord(dst, packedBytes, tag)
		if tag != allZero && tag != noZero {
			continue
		}
		if len(packedBytes) == 0 {
			return dst, errors.New("packed message is truncated")
		}
		run := int(packedBytes[0]) * wordSize
		packedBytes = packedBytes[1:]
		if len(dst)+run > end || tag == noZero && len(packedBytes) < run {
			return dst, errors.Newf("packed message does not unpack to %d bytes", size)
		}
		if tag == allZero {
			dst = append(dst, make([]byte, run)...)
		} else {
			dst, packedBytes = append(dst, packedBytes[:run]...), packedBytes[run:]
		}
	}
	if len(dst) != end {
		return dst, errors.Newf("packed message unpacks to fewer than %d bytes", size)
	}
	return dst, nil
}

// Tag bytes that are followed by a count byte. After allZero it is the number of further zero words; after noZero it is
// the number of words that follow without packing.
const (
	allZero = 0x00
	noZero  = 0xff
)

// unpackWord appends one word to dst: the next byte of b for each set bit of tag, zero for each clear bit. It
// returns the extended dst and the rest of b.
func unpackWord(dst, b []byte, tag byte) (grown, rest []byte) {
	for i := range wordSize {
		if tag&(1<<i) != 0 {
			dst, b = append(dst, b[0]), b[1:]
		} else {
			dst = append(dst, 0)
		}
	}
	return dst, b
}
