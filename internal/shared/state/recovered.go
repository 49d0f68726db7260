// This file is what disks and proxies still have of an earlier epoch's state.

package state

import (
	"cmp"
	"encoding/json"

	"myrtlefold/internal/shared/wire"
)

// RecoveredState is a state of an earlier epoch as a disk or a proxy has it.
type RecoveredState struct {
	Epoch uint64          `json:"epoch"` // the epoch that it is of
	Term  uint64          `json:"term"`  // term of its last entry
	Index uint64          `json:"seq"`   // log index of its last entry
	State json.RawMessage `json:"state"` // encoded: see Decode
}

// RecoveredFrom is the state that a proxy's table has of its epoch; false if it does not decode.
func RecoveredFrom(table *wire.Table) (RecoveredState, bool) {
	var stored State
	document, err := wire.Decompress(table.Document)
	if err != nil || json.Unmarshal(table.State, &stored) != nil {
		return RecoveredState{}, false
	}
	stored.Document = document
	text, _ := json.Marshal(stored)
	return RecoveredState{Epoch: table.Key.Epoch, Term: table.Key.Term, Index: table.StateIndex, State: text}, true
}

// IsBefore says that other is later: of a later epoch, else of a later entry, else of a later term.
func (r RecoveredState) IsBefore(other RecoveredState) bool {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Index, other.Index), cmp.Compare(r.Term, other.Term)) < 0
}
