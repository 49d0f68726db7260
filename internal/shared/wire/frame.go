package wire

// Between messages and a connection. Each is packed as Cap'n Proto's packed encoding has it (a
// byte per word tells which of its bytes are not zero), since most of a small message is zeros.
// Before it stand its words and its packed bytes as variable-length numbers. Who it is from is
// said with the first message and when that changes; whom it is for, the connection tells.

import (
	"bufio"
	"encoding/binary"
	"io"
	"math/bits"

	"capnproto.org/go/capnp/v3/packed"
	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// Writer puts messages on one connection.
type Writer struct {
	w    *bufio.Writer
	from string
	buf  []byte
}

// NewWriter returns a Writer to a connection. Nothing reaches it before Flush, or a full buffer.
func NewWriter(w io.Writer) *Writer { return &Writer{w: bufio.NewWriterSize(w, tuning.WireBuffer)} }

// Put writes a message to the buffer and returns how many bytes it takes on the connection.
func (w *Writer) Put(m *Message) (size int, err error) {
	c := w.addressed(m)
	b, err := Encode(&c)
	if err != nil {
		return 0, err
	}
	w.buf = Pack(w.buf[:0], b)
	return w.frame(len(b)/word, w.buf)
}

// addressed is a message as it goes on this connection: who speaks is said once, and whom it is
// for not at all.
func (w *Writer) addressed(m *Message) Message {
	c := *m
	if c.To = ""; c.From == w.from {
		c.From = ""
	} else {
		w.from = c.From
	}
	return c
}

// frame writes a message of so many words, which is packed in pieces.
func (w *Writer) frame(words int, pieces ...[]byte) (size int, err error) {
	for _, p := range pieces {
		size += len(p)
	}
	var h [2 * binary.MaxVarintLen32]byte
	n := binary.PutUvarint(h[:], uint64(words))
	n += binary.PutUvarint(h[n:], uint64(size))
	_, err = w.w.Write(h[:n])
	for _, p := range pieces {
		if err == nil {
			_, err = w.w.Write(p)
		}
	}
	if cap(w.buf) > tuning.WireBuffer {
		w.buf = nil
	}
	return n + size, err
}

// Flush sends what Put has written to the buffer.
func (w *Writer) Flush() error { return w.w.Flush() }

// Reader takes messages from one connection.
type Reader struct {
	r           *bufio.Reader
	packed, raw []byte
	// Size is what the message last read took on the connection, about: without its two lengths.
	Size int
}

// NewReader returns a Reader of a connection.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, tuning.WireBuffer)}
}

// Next returns the next message's bytes for Decode; they are valid until the next call. A message
// over tuning.WireMax is an error, whatever lengths it claims, and ends the connection's use.
func (r *Reader) Next() ([]byte, error) {
	words, err := binary.ReadUvarint(r.r)
	if err != nil {
		return nil, err
	}
	n, err := binary.ReadUvarint(r.r)
	if err != nil {
		return nil, err
	}
	if words > tuning.WireMax/word || n > tuning.WireMax*2 {
		return nil, errors.Newf("message of %d words, packed in %d bytes, is over %d bytes", words, n, tuning.WireMax)
	}
	if cap(r.packed) > tuning.WireBuffer {
		r.packed, r.raw = nil, nil
	}
	if r.packed, err = grown(r.packed, r.r, int(n)); err != nil {
		return nil, err
	}
	r.Size = len(r.packed)
	r.raw, err = Unpack(r.raw[:0], r.packed, int(words)*word)
	return r.raw, err
}

// grown reads n bytes; room is made only as they come.
func grown(b []byte, r io.Reader, n int) ([]byte, error) {
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

// Pack appends b, which is whole words of 8 bytes, to the slice to in Cap'n Proto's packed encoding.
func Pack(to, b []byte) []byte { return packed.Pack(to, b) }

// Unpack appends what b holds in packed encoding to the slice to. It must come to exactly size
// bytes: the library's own function would let a few bytes grow without a bound.
func Unpack(to, b []byte, size int) ([]byte, error) {
	end := len(to) + size
	for len(b) > 0 {
		tag := b[0]
		if b = b[1:]; len(b) < bits.OnesCount8(tag) || len(to)+word > end {
			return to, errors.New("packed message does not fit")
		}
		for i := range word {
			if tag&(1<<i) != 0 {
				to, b = append(to, b[0]), b[1:]
			} else {
				to = append(to, 0)
			}
		}
		if tag != 0 && tag != 0xff {
			continue
		}
		if len(b) == 0 {
			return to, errors.New("packed message breaks off")
		}
		n := int(b[0]) * word
		if b = b[1:]; len(to)+n > end || tag == 0xff && len(b) < n {
			return to, errors.New("packed message does not fit")
		}
		if tag == 0 {
			to = append(to, make([]byte, n)...)
		} else {
			to, b = append(to, b[:n]...), b[n:]
		}
	}
	if len(to) != end {
		return to, errors.New("packed message is too short")
	}
	return to, nil
}
