// Package linearizability records operators' calls and their answers and checks them for
// linearizability: whether each call can be given one moment between its sending and
// its answer so that all of them, in the order of these moments, are what a single
// register would have said whose value is replaced by compare-and-set on its revision.
//
// A call without a clear answer stays open: it may have taken effect at any moment after
// its sending, or never. The same order sent again is acknowledged with the revision that
// it led to the first time.
package linearizability

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
)

// Change is a change of the configuration as an operator sends it.
type Change struct {
	Base     uint64 // revision that it is built on
	Revision uint64 // the operator's own number for the result, 0: the next one
	Key      string // stands for the whole order: the same order has the same key
	Token    string // the operator's id for it, "" if it gave none
	Value    string // what a read returns once it is in force, "" if that is not known
}

// outcome is how a call ended.
type outcome int

const (
	open         outcome = iota // no clear answer
	acknowledged                // the order is in force as a revision
	stale                       // refused: another revision is the present one
	returned                    // a read's answer
	void                        // refused and nothing was changed, or a read without an answer
	closing                     // the end of the history: open calls after it take no effect any more
)

// Operation is one call.
type Operation struct {
	read     bool
	order    Change
	sent     time.Duration
	ended    time.Duration
	outcome  outcome
	revision uint64 // that the answer names
	value    string // that a read returned, "" if it is not looked at
}

// Acknowledge records that an order was acknowledged as a revision.
func (o *Operation) Acknowledge(at time.Duration, revision uint64) {
	o.end(at, acknowledged, revision, "")
}

// Reject records that an order was refused because another revision is the present one.
func (o *Operation) Reject(at time.Duration, present uint64) { o.end(at, stale, present, "") }

// Return records a read's answer.
func (o *Operation) Return(at time.Duration, revision uint64, value string) {
	o.end(at, returned, revision, value)
}

// Void records an answer that promises that nothing was changed.
func (o *Operation) Void(at time.Duration) { o.end(at, void, 0, "") }

func (o *Operation) end(at time.Duration, how outcome, revision uint64, value string) {
	o.ended, o.outcome, o.revision, o.value = at, how, revision, value
}

func (o *Operation) String() string {
	what := fmt.Sprintf("order %s on %d", cmp.Or(o.order.Token, o.order.Key), o.order.Base)
	if o.read {
		what = "read"
	}
	how := [...]string{"no clear answer", "acknowledged as", "refused at", "returned", "nothing changed", "the end"}[o.outcome]
	return fmt.Sprintf("%.3f to %.3f: %s: %s %d", o.sent.Seconds(), o.ended.Seconds(), what, how, o.revision)
}

// Log is the calls of one run, by the time of one clock.
type Log struct{ operations []*Operation }

// Write records that an order is sent.
func (l *Log) Write(at time.Duration, o Change) *Operation {
	return l.add(&Operation{order: o, sent: at})
}

// Read records that the configuration is asked for.
func (l *Log) Read(at time.Duration) *Operation { return l.add(&Operation{read: true, sent: at}) }

func (l *Log) add(o *Operation) *Operation {
	l.operations = append(l.operations, o)
	return o
}

// Reset forgets all calls so far, when all state is lost by intention.
func (l *Log) Reset() { l.operations = nil }

// ForgetUnacknowledged drops answers that told of more than had been acknowledged, when a majority of
// the core's disks is lost: what was agreed and not acknowledged yet may go with them.
func (l *Log) ForgetUnacknowledged(acked uint64) {
	l.operations = slices.DeleteFunc(l.operations, func(o *Operation) bool {
		return (o.outcome == returned || o.outcome == stale) && o.revision > acked
	})
}

// Len is how many calls were recorded.
func (l *Log) Len() int { return len(l.operations) }

// endOfHistory comes after all calls that were answered. Open calls that take no effect
// come after it only, so that they need not be tried at every moment.
var endOfHistory = &Operation{outcome: closing}

// Check returns an error if the calls are not linearizable, with the calls that end nearest
// to where no order can be found any more.
func (l *Log) Check() error {
	var ops []porcupine.Operation
	calls := l.relevant()
	for _, o := range calls {
		ended := int64(o.ended)
		if o.outcome == open {
			ended = math.MaxInt64
		}
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: o, Output: o, Call: int64(o.sent), Return: ended})
	}
	ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: endOfHistory, Output: endOfHistory, Call: math.MaxInt64 - 1, Return: math.MaxInt64})
	result, info := porcupine.CheckOperationsVerbose(register, ops, 0)
	if result == porcupine.Ok {
		return nil
	}
	return errors.Newf("%d calls are not linearizable:\n%s", len(ops), explain(calls, info))
}

// identity is what makes two calls the same order.
type identity struct {
	base  uint64
	key   string
	token string
}

func (o *Operation) identity() identity {
	return identity{o.order.Base, o.order.Key, o.order.Token}
}

// built says whether an acknowledgement tells that the order itself, and not an earlier one
// under its id, was taken on its base.
func (o *Operation) built() bool {
	return o.outcome == acknowledged && o.revision == cmp.Or(o.order.Revision, o.order.Base+1)
}

// relevant are the calls that the check needs. Each open call doubles the number of orders
// that a check may have to try, so those are left out of which the answers tell that they
// took no effect, or none that an earlier copy of the same order may not have had:
//   - copies of an order that is open since an earlier time;
//   - an order that was refused, since its base never is the present revision again;
//   - an order on whose base another one was taken.
//
// So are reads during which another read began and ended with the same result: whatever
// moment suits that one suits both. And so are refusals during which another order on the same base was
// refused at the same revision, if no call tells that the order itself was ever taken: where forty
// wait for a leader that refuses them all at once, there would be an order to try for each set of them.
func (l *Log) relevant() (calls []*Operation) {
	type refusedOrder struct {
		base uint64
		key  string
	}
	refused, taken := map[refusedOrder]bool{}, map[uint64]string{}
	for _, o := range l.operations {
		switch {
		case o.outcome == stale:
			refused[refusedOrder{o.order.Base, o.order.Key}] = true
		case o.built():
			taken[o.order.Base] = o.order.Key
		}
	}
	seen, reads, refusals := map[identity]bool{}, l.readsByResult(), l.refusalsByResult()
	for _, o := range l.operations {
		if o.outcome == stale && refusals.spans(o) {
			continue
		}
		if o.outcome == void || o.read && o.outcome == open || o.outcome == returned && reads.spans(o) {
			continue
		}
		if o.outcome == open {
			winner, decided := taken[o.order.Base]
			if seen[o.identity()] || refused[refusedOrder{o.order.Base, o.order.Key}] || decided && winner != o.order.Key {
				continue
			}
			seen[o.identity()] = true
		}
		calls = append(calls, o)
	}
	return calls
}

// result is what a read returned.
type result struct {
	revision uint64
	value    string
}

// readsByResult are the reads that were answered.
type readsByResult map[result][]*Operation

func (l *Log) readsByResult() readsByResult {
	reads := readsByResult{}
	for _, o := range l.operations {
		if o.outcome == returned {
			k := result{o.revision, o.value}
			reads[k] = append(reads[k], o)
		}
	}
	return reads
}

// spans says whether another read of the same result began and ended during a read, and is
// shorter.
func (r readsByResult) spans(o *Operation) bool {
	return slices.ContainsFunc(r[result{o.revision, o.value}], func(x *Operation) bool { return spans(o, x) })
}

// spans says whether x began and ended during o, and is shorter.
func spans(o, x *Operation) bool {
	return x.sent >= o.sent && x.ended <= o.ended && x.ended-x.sent < o.ended-o.sent
}

// refusal is on which base orders were refused, and the revision that they were refused at.
type refusal struct{ base, revision uint64 }

// refusalsByResult are the refused orders of which no call tells that they were taken, under their id or another.
type refusalsByResult map[refusal][]*Operation

func (l *Log) refusalsByResult() refusalsByResult {
	type order struct {
		base uint64
		key  string
	}
	taken, takenTokens := map[order]bool{}, map[string]bool{}
	for _, o := range l.operations {
		if o.outcome == acknowledged {
			taken[order{o.order.Base, o.order.Key}] = true
			takenTokens[o.order.Token] = o.order.Token != ""
		}
	}
	refusals := refusalsByResult{}
	for _, o := range l.operations {
		if o.outcome == stale && o.revision != 0 && !taken[order{o.order.Base, o.order.Key}] && !takenTokens[o.order.Token] {
			k := refusal{o.order.Base, o.revision}
			refusals[k] = append(refusals[k], o)
		}
	}
	return refusals
}

// spans says whether an order is among those, and another that was refused alike began and ended during it.
func (r refusalsByResult) spans(o *Operation) bool {
	alike := r[refusal{o.order.Base, o.revision}]
	return slices.Contains(alike, o) && slices.ContainsFunc(alike, func(x *Operation) bool { return spans(o, x) })
}

// explain shows the calls around the first one that fits in no longest order.
func explain(calls []*Operation, info porcupine.LinearizationInfo) string {
	fits := map[int]bool{}
	for _, partial := range info.PartialLinearizations() {
		for _, order := range partial {
			if len(order) > len(fits) {
				fits = map[int]bool{}
				for _, i := range order {
					fits[i] = true
				}
			}
		}
	}
	var lines []string
	first := -1
	for i, o := range calls {
		if !fits[i] && o.outcome != open && first < 0 {
			first = i
		}
	}
	const around = 12
	for i, o := range calls {
		if first >= 0 && i >= first-around && i <= first+around {
			mark := "  "
			if i == first {
				mark = "> "
			}
			lines = append(lines, mark+o.String())
		}
	}
	return strings.Join(lines, "\n")
}

// version is a state of the register, with those before it.
type version struct {
	before   *version
	order    Change
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

func (v *version) next(o Change) *version {
	n := &version{before: v, order: o, revision: cmp.Or(o.Revision, v.revision+1)}
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %s %s", v.hash, n.revision, o.Key, o.Token)
	n.hash = h.Sum64()
	return n
}

// taken is the state that an order led to, nil if it has not been taken.
func (v *version) taken(o Change) *version {
	for ; v.before != nil; v = v.before {
		if v.before.revision == o.Base && v.order.Key == o.Key || o.Token != "" && v.order.Token == o.Token {
			return v
		}
	}
	return nil
}

// register is the model: what a single machine would answer.
var register = porcupine.Model{
	Init:  func() any { return &version{} },
	Equal: func(a, b any) bool { return a.(*version).hash == b.(*version).hash },
	Step: func(state, input, _ any) (bool, any) {
		v, o := state.(*version), input.(*Operation)
		if o.outcome == closing {
			return !v.closed, v.close()
		}
		if v.closed {
			return o.outcome == open, v
		}
		if o.read {
			return v.revision == o.revision && (o.value == "" || v.order.Value == "" || v.order.Value == o.value), v
		}
		taken := v.taken(o.order)
		fits := taken == nil && v.revision == o.order.Base && (o.order.Revision == 0 || o.order.Revision > v.revision)
		switch o.outcome {
		case acknowledged:
			if taken != nil {
				return taken.revision == o.revision, v
			}
			n := v.next(o.order)
			return fits && n.revision == o.revision, n
		case stale:
			return taken == nil && v.revision != o.order.Base && (o.revision == 0 || o.revision == v.revision), v
		}
		return fits, v.next(o.order)
	},
}
