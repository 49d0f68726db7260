package daemon

import (
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// packedTables caches the packed encodings of the most recently sent tables, since one table goes to many proxies. A
// state machine never changes a table after returning it, so the pointer identifies the table.
type packedTables struct {
	tables [tuning.PackedTables]*wire.Table
	packed [tuning.PackedTables]*wire.PackedTable
	next   int // index of the entry to replace next
}

// pack returns the packed encoding of a table. It returns nil for a nil table and for one that can't be encoded:
// writing the message then fails with the same error, and the sender logs it.
func (p *packedTables) pack(table *wire.Table) *wire.PackedTable {
	if table == nil {
		return nil
	}
	for i := range p.tables {
		if p.tables[i] == table {
			return p.packed[i]
		}
	}
	packed, err := wire.PackTable(table)
	if err != nil {
		return nil
	}
	p.tables[p.next], p.packed[p.next] = table, packed
	p.next = (p.next + 1) % len(p.tables)
	return packed
}
