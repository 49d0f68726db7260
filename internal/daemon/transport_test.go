package daemon

import (
	"testing"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A table that goes to many is packed once, and what is kept of past ones is bounded.
func TestTablesArePackedOnce(t *testing.T) {
	var p packedTables
	first := &wire.Table{StateIndex: 1}
	a := p.of(first)
	if a == nil || p.of(first) != a {
		t.Error("the same table was packed twice")
	}
	for i := range tuning.PackedTables {
		p.of(&wire.Table{StateIndex: uint64(i)})
	}
	if p.of(first) == a {
		t.Error("a table from before is still kept")
	}
	if p.of(nil) != nil {
		t.Error("no table is packed")
	}
}
