package wire

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// PackedTable is a table that is encoded and packed once and can be inserted into any push. A leader sends
// the same table to all proxies; encoding it for each of them would dominate its CPU time.
type PackedTable struct {
	words  int    // size of the encoded table before packing, in words
	packed []byte // packed encoding of the table
}

// emptyTableSize is the encoded size of an empty table, in bytes: the struct itself and its two keys.
var emptyTableSize = tableSize + 2*tableKeySize

// PackTable encodes and packs a table. The encoder writes the table of a push last and contiguously, and
// Cap'n Proto pointers are relative, so the encoded table is the same in every message. Errors come from
// the Cap'n Proto library.
func PackTable(t *Table) (*PackedTable, error) {
	push, err := Encode(&Message{Push: &Push{Table: t}})
	if err != nil {
		return nil, err
	}
	head, err := encodePushPrefix(&Message{Push: &Push{}})
	if err != nil {
		return nil, err
	}
	tail := push[len(head):]
	return &PackedTable{words: len(tail) / wordSize, packed: Pack(nil, tail)}, nil
}

// encodePushPrefix returns the encoded bytes of a push that precede its table.
func encodePushPrefix(m *Message) ([]byte, error) {
	c, p := *m, *m.Push
	p.Table, c.Push = &Table{}, &p
	b, err := Encode(&c)
	if err != nil {
		return nil, err
	}
	return b[:len(b)-emptyTableSize], nil
}

// canUsePackedTable reports whether m can be written with a packed table in place of its own. A push with
// ProbeTargets cannot, since they are encoded after the table.
func canUsePackedTable(m *Message) bool {
	return m.Push != nil && m.Push.Table != nil && len(m.Push.ProbeTargets) == 0
}

// PutPacked is like Put for a push whose table has been packed as t. If t is nil or m cannot use a packed
// table, it behaves like Put.
func (w *Writer) PutPacked(m *Message, t *PackedTable) (size int, err error) {
	if t == nil || !canUsePackedTable(m) {
		return w.Put(m)
	}
	c := w.omitRedundant(m)
	head, err := encodePushPrefix(&c)
	if err != nil {
		return 0, errors.Wrap(err, "encode push prefix")
	}
	words := len(head)/wordSize + t.words
	binary.LittleEndian.PutUint32(head[4:], uint32(words-headerSize/wordSize))
	w.packed = Pack(w.packed[:0], head)
	return w.writeFrame(words, w.packed, t.packed)
}
