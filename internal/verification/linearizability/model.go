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
func (v *version) step(o *Operation) (possible bool, next *version) {
	switch {
	case o.outcome == closing:
		return !v.closed, v.close()
	case v.closed:
		return o.outcome == open, v
	case o.read:
		return v.revision == o.revision && (o.value == "" || v.change.Value == "" || v.change.Value == o.value), v
	}
	accepted := v.accepted(o.change)
	switch {
	case o.outcome == stale:
		return accepted == nil && v.revision != o.change.Base && (o.revision == 0 || o.revision == v.revision), v
	case o.outcome == acknowledged && accepted != nil:
		return accepted.revision == o.revision, v
	}
	next = v.next(o.change)
	possible = accepted == nil && v.fits(o.change)
	if o.outcome == acknowledged {
		possible = possible && next.revision == o.revision
	}
	return possible, next
}
