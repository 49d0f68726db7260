package wire

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// PackedTable is an encoded and packed table, ready for any push. A leader sends the same table to
// all proxies; encoding it for each would be the largest part of its work.
type PackedTable struct {
	words  int // size of the encoded table before packing, in words
	packed []byte
}

// emptyTableSize is the size of a table that has nothing in it: itself and its two keys.
var emptyTableSize = tableSize + 2*tableKeySize

// PackTable encodes a table once. The encoder writes a push's table last and in one run of bytes, and
// Cap'n Proto's pointers are relative, so these bytes are the same in each message. Its errors are
// the library's.
func PackTable(t *Table) (*PackedTable, error) {
	push, err := Encode(&Message{Push: &Push{Table: t}})
	if err != nil {
		return nil, err
	}
	head, err := pushHead(&Message{Push: &Push{}})
	if err != nil {
		return nil, err
	}
	tail := push[len(head):]
	return &PackedTable{words: len(tail) / wordSize, packed: Pack(nil, tail)}, nil
}

// pushHead returns the bytes of a push that come before its table.
func pushHead(m *Message) ([]byte, error) {
	c, p := *m, *m.Push
	p.Table, c.Push = &Table{}, &p
	b, err := Encode(&c)
	if err != nil {
		return nil, err
	}
	return b[:len(b)-emptyTableSize], nil
}

// canCarryPacked reports whether a message can be written with a packed table in place of its own: the
// targets to probe would come after the table.
func canCarryPacked(m *Message) bool {
	return m.Push != nil && m.Push.Table != nil && len(m.Push.ProbeTargets) == 0
}

// PutPacked is Put for a push whose table is already packed as t; other messages, and those with a nil t,
// are encoded as Put does.
func (w *Writer) PutPacked(m *Message, t *PackedTable) (size int, err error) {
	if t == nil || !canCarryPacked(m) {
		return w.Put(m)
	}
	c := w.forConnection(m)
	head, err := pushHead(&c)
	if err != nil {
		return 0, errors.Wrap(err, "push")
	}
	words := len(head)/wordSize + t.words
	binary.LittleEndian.PutUint32(head[4:], uint32(words-headerSize/wordSize))
	w.packed = Pack(w.packed[:0], head)
	return w.writeFrame(words, w.packed, t.packed)
}
