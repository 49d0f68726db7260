package state

import (
	"cmp"
	"encoding/json"

	"myrtlefold/internal/shared/wire"
)

// RecoveredState is a state of an earlier epoch as a disk or a proxy stores it.
type RecoveredState struct {
	Epoch uint64          `json:"epoch"` // epoch of the state
	Term  uint64          `json:"term"`  // term of the last applied entry
	Index uint64          `json:"seq"`   // log index of the last applied entry
	State json.RawMessage `json:"state"` // the encoded state: see Decode
}

// RecoveredFrom returns the state stored in a proxy's table, false if it does not decode.
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

// IsBefore reports whether r is older than other: by epoch, then by log index, then by term.
func (r RecoveredState) IsBefore(other RecoveredState) bool {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Index, other.Index), cmp.Compare(r.Term, other.Term)) < 0
}
