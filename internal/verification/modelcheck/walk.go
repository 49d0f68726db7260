// This file implements seeded random walks, which reach states beyond the depth of a search.

package modelcheck

import (
	"math/rand/v2"
	"slices"
)

// walkWeights are the relative frequencies with which a walk picks each kind of enabled transition.
var walkWeights = weights{
	Deliver: 60, Duplicate: 3, Tick: 25, Sync: 25, Advance: 10, Restart: 2, Wipe: 1, Propose: 10,
	AddLearner: 4, AddMember: 6, DropMember: 2, Compact: 2, TransferLeadership: 1,
	OpenLateCall: 2, ChangeSubject: 10, ExecuteLateCall: 20,
}

// weights holds the relative frequency of each kind of transition.
type weights [kindCount]int

// Walk takes random walks of the given length from a scenario's first state, ignoring its budget. It stops at the first
// violation of an invariant and minimizes the counterexample.
func Walk(scenario *Scenario, seed uint64, walks, length int) *Report {
	unbounded := *scenario
	for kind := range unbounded.Budget {
		unbounded.Budget[kind] = 255
	}
	report := &Report{Scenario: scenario.Name + ", walks"}
	for i := range walks {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)))
		first := newState(&unbounded)
		last, path := randomPath(first, rnd, length)
		report.Transitions += len(path)
		report.Depth = max(report.Depth, len(path))
		report.observe(last)
		if last.violation != "" {
			report.Counterexample, report.Violation = minimize(first, path, last.violation)
			return report
		}
	}
	return report
}

// randomPath takes up to length random transitions from a state and stops at a violation.
func randomPath(first *State, rnd *rand.Rand, length int) (last *State, path []Transition) {
	last = first
	kindWeights := randomWeights(rnd)
	for len(path) < length && last.violation == "" {
		transition := pick(rnd, kindWeights, last.enabled())
		last = last.after(transition)
		last.spent = Budget{}
		path = append(path, transition)
	}
	return last, path
}

// randomWeights returns walkWeights with each optional kind of transition disabled with probability 1/2 (swarm testing): a
// kind that masks a fault is then missing from some of the walks.
func randomWeights(rnd *rand.Rand) weights {
	chosen := walkWeights
	for kind := range chosen {
		switch TransitionKind(kind) {
		case Deliver, Tick, Sync, Advance, OpenLateCall, ChangeSubject, ExecuteLateCall:
			continue
		}
		if rnd.IntN(2) == 0 {
			chosen[kind] = 0
		}
	}
	return chosen
}

// pick draws a kind by weight, and then one of its transitions with equal probability.
func pick(rnd *rand.Rand, kindWeights weights, transitions []Transition) Transition {
	var byKind [kindCount][]Transition
	for _, transition := range transitions {
		byKind[transition.Kind] = append(byKind[transition.Kind], transition)
	}
	total := 0
	for kind, candidates := range byKind {
		if len(candidates) > 0 {
			total += kindWeights[kind]
		}
	}
	drawn := rnd.IntN(total)
	for kind, candidates := range byKind {
		if len(candidates) == 0 {
			continue
		}
		if drawn < kindWeights[kind] {
			return candidates[rnd.IntN(len(candidates))]
		}
		drawn -= kindWeights[kind]
	}
	panic("pick: draw exceeds the total weight of the enabled transitions")
}

// minimize removes transitions from a path as long as the rest still violates an invariant. It returns the shortened path and
// its violation.
func minimize(first *State, path []Transition, violation string) ([]Transition, string) {
	for size := len(path) / 2; size > 0; {
		shortened := false
		for at := 0; at+size <= len(path); {
			attempt := slices.Delete(slices.Clone(path), at, at+size)
			if taken, found := replay(first, attempt); found != "" {
				path, violation, shortened = taken, found, true
			} else {
				at += size
			}
		}
		if !shortened || size > 1 {
			size /= 2
		}
	}
	return path, violation
}

// replay takes the transitions of a path, skipping those that aren't enabled, and stops at a violation. It returns the
// transitions taken.
func replay(first *State, path []Transition) (taken []Transition, violation string) {
	state := first
	for _, transition := range path {
		next := state.after(transition)
		if next == nil {
			continue
		}
		state = next
		state.spent = Budget{}
		taken = append(taken, transition)
		if state.violation != "" {
			return taken, state.violation
		}
	}
	return taken, ""
}
