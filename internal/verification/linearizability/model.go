package linearizability

import (
	"cmp"
	"fmt"
	"hash/fnv"

	"github.com/anishathalye/porcupine"
)

// version is a state of the register, with those before it.
type version struct {
	before   *version
	change   Change
	revision uint64
	hash     uint64 // of this state and all before it
	closed   bool   // the history is over
}

// close is the state at the end of the history.
func (v *version) close() *version {
	end := *v
	end.closed = true
	end.hash = ^end.hash
	return &end
}

// next is the state that a change leads to.
func (v *version) next(c Change) *version {
	n := &version{before: v, change: c, revision: cmp.Or(c.Revision, v.revision+1)}
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %s %s", v.hash, n.revision, c.Key, c.Token)
	n.hash = h.Sum64()
	return n
}

// accepted is the state that a change led to, nil if it has not been accepted.
func (v *version) accepted(c Change) *version {
	for ; v.before != nil; v = v.before {
		if v.before.revision == c.Base && v.change.Key == c.Key || c.Token != "" && v.change.Token == c.Token {
			return v
		}
	}
	return nil
}

// fits says whether a change would be accepted in a state in which it has not been.
func (v *version) fits(c Change) bool {
	return v.revision == c.Base && (c.Revision == 0 || c.Revision > v.revision)
}

// register is the model: what a single machine would answer.
var register = porcupine.Model{
	Init:  func() any { return &version{} },
	Equal: func(a, b any) bool { return a.(*version).hash == b.(*version).hash },
	Step: func(state, input, _ any) (bool, any) {
		possible, next := state.(*version).step(input.(*Operation))
		return possible, next
	},
}

// step says whether a call may have its outcome in a state, and which state it leads to.
func (v *version) step(call *Operation) (possible bool, next *version) {
	switch {
	case call.outcome == closing:
		return !v.closed, v.close()
	case v.closed:
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
	possible = accepted == nil && v.fits(call.change)
	if call.outcome == acknowledged {
		possible = possible && next.revision == call.revision
	}
	return possible, next
}
