package wire

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// PackedTable is a table as it stands in any push that carries it. A leader sends the same table to
// all proxies, and writing it anew for each would cost it more than all else that it does.
type PackedTable struct {
	words  int // before it was packed
	packed []byte
}

// emptyTableBytes is what a table takes in a message that has nothing in it: itself and its two keys.
var emptyTableBytes = tableSize + 2*keySize

// PackTable encodes a table once. The encoder writes a push's table last and as one piece, and
// Cap'n Proto's pointers count from where they stand, so the piece is the same in each message.
func PackTable(t *Table) (*PackedTable, error) {
	whole, err := Encode(&Message{Push: &Push{Table: t}})
	if err != nil {
		return nil, err
	}
	head, err := pushHead(&Message{Push: &Push{}})
	if err != nil {
		return nil, err
	}
	tail := whole[len(head):]
	return &PackedTable{len(tail) / word, Pack(nil, tail)}, nil
}

// pushHead is a push up to where its table begins.
func pushHead(m *Message) ([]byte, error) {
	c, p := *m, *m.Push
	p.Table, c.Push = &Table{}, &p
	b, err := Encode(&c)
	if err != nil {
		return nil, err
	}
	return b[:len(b)-emptyTableBytes], nil
}

// carriesPacked says whether a message can be written with a packed table in the place of its own:
// one that asks for probes has those after the table.
func carriesPacked(m *Message) bool {
	return m.Push != nil && m.Push.Table != nil && len(m.Push.ProbeTargets) == 0
}

// PutPacked writes a push whose table is already packed, and says how many bytes it took.
func (w *Writer) PutPacked(m *Message, t *PackedTable) (size int, err error) {
	if t == nil || !carriesPacked(m) {
		return w.Put(m)
	}
	c := w.addressed(m)
	head, err := pushHead(&c)
	if err != nil {
		return 0, errors.Wrap(err, "push")
	}
	words := len(head)/word + t.words
	binary.LittleEndian.PutUint32(head[4:], uint32(words-header/word))
	w.buf = Pack(w.buf[:0], head)
	return w.frame(words, w.buf, t.packed)
}
