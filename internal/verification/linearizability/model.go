package linearizability

import (
	"cmp"
	"fmt"
	"hash/fnv"

	"github.com/anishathalye/porcupine"
)

// registerState is a state of the register, linked to the states before it.
type registerState struct {
	previous *registerState // nil for the initial state
	change   Change         // change that led to this state
	revision uint64
	hash     uint64 // hash of this state and all previous ones
	atEnd    bool   // the end of the history has been reached
}

// end returns the state after the end of the history.
func (v *registerState) end() *registerState {
	last := *v
	last.atEnd = true
	last.hash = ^last.hash
	return &last
}

// next returns the state that results from a change.
func (v *registerState) next(c Change) *registerState {
	n := &registerState{previous: v, change: c, revision: cmp.Or(c.Revision, v.revision+1)}
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %s %s", v.hash, n.revision, c.Key, c.Token)
	n.hash = h.Sum64()
	return n
}

// accepted returns the state that a change led to when it was accepted, or nil if it has not been accepted.
func (v *registerState) accepted(c Change) *registerState {
	for ; v.previous != nil; v = v.previous {
		if v.previous.revision == c.Base && v.change.Key == c.Key || c.Token != "" && v.change.Token == c.Token {
			return v
		}
	}
	return nil
}

// accepts reports whether a change that has not been accepted before would be accepted in this state.
func (v *registerState) accepts(c Change) bool {
	return v.revision == c.Base && (c.Revision == 0 || c.Revision > v.revision)
}

// register is the sequential model that the calls are checked against.
var register = porcupine.Model{
	Init:  func() any { return &registerState{} },
	Equal: func(a, b any) bool { return a.(*registerState).hash == b.(*registerState).hash },
	Step: func(state, input, _ any) (bool, any) {
		possible, next := state.(*registerState).step(input.(*Operation))
		return possible, next
	},
}

// step reports whether a call can have its recorded outcome when executed in this state, and returns the next state.
func (v *registerState) step(call *Operation) (possible bool, next *registerState) {
	switch {
	case call.outcome == historyEnd:
		return !v.atEnd, v.end()
	case v.atEnd:
		return call.outcome == open, v
	case call.read:
		return v.revision == call.revision && (call.value == "" || v.change.Value == "" || v.change.Value == call.value), v
	}
	accepted := v.accepted(call.change)
	switch {
	case call.outcome == stale:
		return accepted == nil && v.revision != call.change.Base && (call.revision == 0 || call.revision == v.revision), v
	case call.outcome == acknowledged && accepted != nil:
		return accepted.revision == call.revision, v
	}
	next = v.next(call.change)
	possible = accepted == nil && v.accepts(call.change)
	if call.outcome == acknowledged {
		possible = possible && next.revision == call.revision
	}
	return possible, next
}
