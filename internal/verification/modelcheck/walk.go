// This file is the seeded random walk, for what lies deeper than a search gets.

package modelcheck

import (
	"math/rand/v2"
	"slices"
)

// walkWeights say how often a walk picks each kind of action that is possible.
var walkWeights = [kinds]int{
	Deliver: 60, Duplicate: 3, Tick: 25, Sync: 25, Advance: 10, Restart: 2, Wipe: 1, Propose: 10,
	AddLearner: 4, AddMember: 6, DropMember: 2, Compact: 2, TransferLeadership: 1,
}

// Walk takes walks of so many actions each from the start of a scenario, without a
// budget, and shortens the first that breaks an invariant.
func Walk(s *Scenario, seed uint64, walks, length int) *Report {
	unbounded := *s
	for k := range unbounded.Budget {
		unbounded.Budget[k] = 255
	}
	r := &Report{Scenario: s.Name + ", walks"}
	for i := range walks {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)))
		first := newWorld(&unbounded)
		w, weights := first, swarm(rnd)
		var way []Transition
		for len(way) < length && w.broken == "" {
			a := pick(rnd, weights, w.actions())
			w = w.next(a)
			w.used = Budget{}
			way = append(way, a)
		}
		r.Transitions += len(way)
		r.Depth = max(r.Depth, len(way))
		r.see(w)
		if w.broken != "" {
			r.Counterexample, r.Violation = shorten(first, way, w.broken)
			return r
		}
	}
	return r
}

// swarm leaves about half of the kinds that need not happen out of a walk: what
// hides a fault in some walks is missing in others.
func swarm(rnd *rand.Rand) [kinds]int {
	weights := walkWeights
	for k := range weights {
		if TransitionKind(k) != Deliver && TransitionKind(k) != Tick && TransitionKind(k) != Sync && TransitionKind(k) != Advance && rnd.IntN(2) == 0 {
			weights[k] = 0
		}
	}
	return weights
}

// pick draws a kind by weight and then one action of it.
func pick(rnd *rand.Rand, weights [kinds]int, as []Transition) Transition {
	var of [kinds][]Transition
	for _, a := range as {
		of[a.Kind] = append(of[a.Kind], a)
	}
	total := 0
	for k, l := range of {
		if len(l) > 0 {
			total += weights[k]
		}
	}
	at := rnd.IntN(total)
	for k, l := range of {
		if len(l) == 0 {
			continue
		}
		if at < weights[k] {
			return l[rnd.IntN(len(l))]
		}
		at -= weights[k]
	}
	panic("no action drawn")
}

// shorten leaves actions out as long as what is left breaks an invariant.
func shorten(first *State, way []Transition, broken string) ([]Transition, string) {
	for size := len(way) / 2; size > 0; {
		shorter := false
		for at := 0; at+size <= len(way); {
			tried := slices.Delete(slices.Clone(way), at, at+size)
			if kept, b := replay(first, tried); b != "" {
				way, broken, shorter = kept, b, true
			} else {
				at += size
			}
		}
		if !shorter || size > 1 {
			size /= 2
		}
	}
	return way, broken
}

// replay carries out those actions that are possible, up to a violation.
func replay(first *State, way []Transition) (done []Transition, broken string) {
	w := first
	for _, a := range way {
		next := w.next(a)
		if next == nil {
			continue
		}
		w = next
		w.used = Budget{}
		done = append(done, a)
		if w.broken != "" {
			return done, w.broken
		}
	}
	return done, ""
}
