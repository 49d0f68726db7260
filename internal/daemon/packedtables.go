package daemon

import (
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// packedTables keeps the packed forms of the tables last sent, since one table goes to many proxies. A state machine
// never changes a table that it has handed out, so the pointer identifies it.
type packedTables struct {
	tables [tuning.PackedTables]*wire.Table
	packed [tuning.PackedTables]*wire.PackedTable
	next   int // which is replaced next
}

// pack returns a table in its packed form. It returns nil for no table and for one that can't be packed: the error is
// met again, and logged, when the message is written.
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
