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

	"github.com/cockroachdb/errors"

	"myrtlefold/limit"
)

// Writer puts messages on one connection.
type Writer struct {
	w    *bufio.Writer
	from string
	buf  []byte
}

func NewWriter(w io.Writer) *Writer { return &Writer{w: bufio.NewWriterSize(w, limit.WireBuffer)} }

func (w *Writer) Put(m *Msg) error {
	c := *m
	if c.To = ""; c.From == w.from {
		c.From = ""
	} else {
		w.from = c.From
	}
	b, err := Encode(&c)
	if err != nil {
		return err
	}
	w.buf = Pack(w.buf[:0], b)
	var h [2 * binary.MaxVarintLen32]byte
	n := binary.PutUvarint(h[:], uint64(len(b)/word))
	n += binary.PutUvarint(h[n:], uint64(len(w.buf)))
	if _, err = w.w.Write(h[:n]); err == nil {
		_, err = w.w.Write(w.buf)
	}
	if cap(w.buf) > limit.WireBuffer {
		w.buf = nil
	}
	return err
}

func (w *Writer) Flush() error { return w.w.Flush() }

// Reader takes messages from one connection.
type Reader struct {
	r           *bufio.Reader
	packed, raw []byte
}

func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, limit.WireBuffer)}
}

// Next is the next message's bytes, which stand until the one after it; one over the limit is
// an error, whatever it says of itself.
func (r *Reader) Next() ([]byte, error) {
	words, err := binary.ReadUvarint(r.r)
	if err != nil {
		return nil, err
	}
	n, err := binary.ReadUvarint(r.r)
	if err != nil {
		return nil, err
	}
	if words > limit.WireMax/word || n > limit.WireMax*2 {
		return nil, errors.Newf("message of %d words, packed in %d bytes, is over %d bytes", words, n, limit.WireMax)
	}
	if cap(r.packed) > limit.WireBuffer {
		r.packed, r.raw = nil, nil
	}
	if r.packed, err = grown(r.packed, r.r, int(n)); err != nil {
		return nil, err
	}
	r.raw, err = Unpack(r.raw[:0], r.packed, int(words)*word)
	return r.raw, err
}

// grown reads n bytes; room is made only as they come.
func grown(b []byte, r io.Reader, n int) ([]byte, error) {
	b = b[:0]
	for len(b) < n {
		k := min(n-len(b), max(limit.WireBuffer, len(b)))
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

// Pack appends whole words, packed.
func Pack(to, b []byte) []byte {
	for len(b) >= word {
		at, tag := len(to), byte(0)
		to = append(to, 0)
		for i, x := range b[:word] {
			if x != 0 {
				tag |= 1 << i
				to = append(to, x)
			}
		}
		to[at] = tag
		b = b[word:]
		switch tag {
		case 0: // how many more words of zeros
			n := 0
			for n < 255 && len(b) >= word && binary.LittleEndian.Uint64(b) == 0 {
				n, b = n+1, b[word:]
			}
			to = append(to, byte(n))
		case 0xff: // how many more words as they are: those with hardly a zero
			n := 0
			for n < 255 && len(b) >= (n+1)*word && zeros(b[n*word:]) < 2 {
				n++
			}
			to = append(append(to, byte(n)), b[:n*word]...)
			b = b[n*word:]
		}
	}
	return to
}

func zeros(b []byte) (n int) {
	for _, x := range b[:word] {
		if x == 0 {
			n++
		}
	}
	return n
}

// Unpack appends what was packed, which must come to exactly so many bytes.
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
