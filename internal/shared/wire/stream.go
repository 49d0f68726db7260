package wire

// A message on a connection is packed as Cap'n Proto's packed encoding has it (a byte per word says which
// of its bytes are not zero), since most of a small message is zeros. Before it come its size in words
// and its packed size in bytes, as variable-length numbers. The sender's name is sent with the first
// message and when it changes; the receiver is who has the connection.

import (
	"bufio"
	"encoding/binary"
	"io"
	"math/bits"

	"capnproto.org/go/capnp/v3/packed"
	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// Writer writes messages to one connection. It is for one goroutine.
type Writer struct {
	buffered *bufio.Writer
	lastFrom string // sender of the last message
	packed   []byte // reused for each message
}

// NewWriter returns a Writer to a connection. Nothing reaches the connection before Flush or a full buffer.
func NewWriter(w io.Writer) *Writer {
	return &Writer{buffered: bufio.NewWriterSize(w, tuning.WireBuffer)}
}

// Put writes a message to the buffer and returns its size on the connection in bytes. Its errors are
// those of the encoding and of the connection.
func (w *Writer) Put(m *Message) (size int, err error) {
	c := w.forConnection(m)
	b, err := Encode(&c)
	if err != nil {
		return 0, err
	}
	w.packed = Pack(w.packed[:0], b)
	return w.writeFrame(len(b)/wordSize, w.packed)
}

// forConnection returns a message as it is sent on this connection: without the receiver, and without a
// sender that is the same as before.
func (w *Writer) forConnection(m *Message) Message {
	c := *m
	if c.To = ""; c.From == w.lastFrom {
		c.From = ""
	} else {
		w.lastFrom = c.From
	}
	return c
}

// writeFrame writes a message of so many words, whose packed bytes are the parts in order.
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

// Flush sends what Put has written to the buffer.
func (w *Writer) Flush() error { return w.buffered.Flush() }

// Reader reads messages from one connection. It is for one goroutine.
type Reader struct {
	buffered         *bufio.Reader
	packed, unpacked []byte // reused for each message
	// Size is the packed size in bytes of the message last read, without its two lengths.
	Size int
}

// NewReader returns a Reader of a connection.
func NewReader(r io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(r, tuning.WireBuffer)}
}

// Next returns the next message's bytes for Decode; they are valid until the next call. It fails with
// the connection's error, and for a message that is malformed or over tuning.WireMax bytes. The
// connection can't be read any further after an error.
func (r *Reader) Next() ([]byte, error) {
	words, err := binary.ReadUvarint(r.buffered)
	if err != nil {
		return nil, err
	}
	packedSize, err := binary.ReadUvarint(r.buffered)
	if err != nil {
		return nil, err
	}
	if words > tuning.WireMax/wordSize || packedSize > tuning.WireMax*2 {
		return nil, errors.Newf("message of %d words, packed in %d bytes, is over %d bytes", words, packedSize, tuning.WireMax)
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

// readFull reads n bytes into b, which grows only as they come: a claimed length alone allocates nothing.
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

// Pack appends b, a multiple of 8 bytes, to dst in Cap'n Proto's packed encoding.
func Pack(dst, b []byte) []byte { return packed.Pack(dst, b) }

// Unpack appends what packedBytes holds in packed encoding to dst. It fails unless that is exactly size
// bytes: the library's own function would let a few bytes grow without a bound.
func Unpack(dst, packedBytes []byte, size int) ([]byte, error) {
	end := len(dst) + size
	for len(packedBytes) > 0 {
		tag := packedBytes[0]
		packedBytes = packedBytes[1:]
		if len(packedBytes) < bits.OnesCount8(tag) || len(dst)+wordSize > end {
			return dst, errors.New("packed message does not fit")
		}
		dst, packedBytes = unpackWord(dst, packedBytes, tag)
		if tag != allZero && tag != noZero {
			continue
		}
		if len(packedBytes) == 0 {
			return dst, errors.New("packed message breaks off")
		}
		run := int(packedBytes[0]) * wordSize
		packedBytes = packedBytes[1:]
		if len(dst)+run > end || tag == noZero && len(packedBytes) < run {
			return dst, errors.New("packed message does not fit")
		}
		if tag == allZero {
			dst = append(dst, make([]byte, run)...)
		} else {
			dst, packedBytes = append(dst, packedBytes[:run]...), packedBytes[run:]
		}
	}
	if len(dst) != end {
		return dst, errors.New("packed message is too short")
	}
	return dst, nil
}

// Tags that a count follows: of further words that are zero, or of words that follow unpacked.
const (
	allZero = 0x00
	noZero  = 0xff
)

// unpackWord appends one word to dst: a byte of b for each bit of the tag that is set, else zero.
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
