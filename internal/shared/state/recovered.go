// This file is what disks and proxies remember of an earlier epoch's state.

package state

import (
	"cmp"
	"encoding/json"

	"myrtlefold/internal/shared/wire"
)

// RecoveredState is what someone remembers of an earlier epoch.
type RecoveredState struct {
	Epoch uint64          `json:"epoch"`
	Term  uint64          `json:"term"`
	Index uint64          `json:"seq"`
	State json.RawMessage `json:"state"`
}

// RecoveredFrom is what a table remembers of its epoch.
func RecoveredFrom(t *wire.Table) (RecoveredState, bool) {
	var s State
	doc, err := wire.Decompress(t.Document)
	if err != nil || json.Unmarshal(t.State, &s) != nil {
		return RecoveredState{}, false
	}
	s.Document = doc
	b, _ := json.Marshal(s)
	return RecoveredState{t.Key.Epoch, t.Key.Term, t.StateIndex, b}, true
}

func (l RecoveredState) IsBefore(o RecoveredState) bool {
	return cmp.Or(cmp.Compare(l.Epoch, o.Epoch), cmp.Compare(l.Index, o.Index), cmp.Compare(l.Term, o.Term)) < 0
}
