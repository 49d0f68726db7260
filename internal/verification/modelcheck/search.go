// This file is the bounded search, breadth first, so that the first violation that it finds has the shortest counterexample.

package modelcheck

import "bytes"

// Limits bound a search.
type Limits struct {
	States  int // distinct states
	Depth   int // transitions from the first state
	Workers int // goroutines
}

// origin is how a state was first reached.
type origin struct {
	parent     int32  // the state's id, -1 for the first state
	transition uint16 // its index among those enabled in the parent
}

// frontierState is a state whose successors are to be found. Its id is its index among the origins.
type frontierState struct {
	id    int32
	state *State
}

// successor is a state after a transition.
type successor struct {
	origin
	key   key
	state *State
}

// search is a search in progress.
type search struct {
	scenario *Scenario
	limits   Limits
	report   *Report
	first    *State
	origins  []origin // of all states, by id
	seen     map[key]bool
}

// Search explores a scenario breadth first until a state violates an invariant, all states have been reached or a limit is
// met. The report doesn't depend on the number of workers.
func Search(scenario *Scenario, limits Limits) *Report {
	first := newState(scenario)
	report := &Report{Scenario: scenario.Name}
	if first.violation != "" {
		report.Violation = first.violation
		return report
	}
	report.observe(first)
	running := &search{
		scenario: scenario,
		limits:   limits,
		report:   report,
		first:    first,
		origins:  []origin{{parent: -1}},
		seen:     map[key]bool{newCanonicalizer(scenario).key(first): true},
	}
	frontier := []frontierState{{0, first}}
	for len(frontier) > 0 && report.Depth < limits.Depth {
		report.Depth++
		frontier = running.nextFrontier(frontier)
		if running.isOver() {
			break
		}
	}
	report.States = len(running.origins)
	report.Complete = !running.isOver() && len(frontier) == 0
	return report
}

// isOver says whether there is a violation, or enough states.
func (s *search) isOver() bool {
	return s.report.Violation != "" || len(s.origins) >= s.limits.States
}

// nextFrontier returns the states that are reached first by one more transition.
func (s *search) nextFrontier(frontier []frontierState) (next []frontierState) {
	for successors := range expand(s.scenario, frontier, s.limits.Workers) {
		for _, found := range successors {
			s.report.Transitions++
			if s.seen[found.key] {
				continue
			}
			s.seen[found.key] = true
			s.origins = append(s.origins, found.origin)
			id := int32(len(s.origins) - 1)
			s.report.observe(found.state)
			if found.state.violation != "" && s.report.Violation == "" {
				s.report.Violation, s.report.Counterexample = found.state.violation, s.counterexample(id)
			}
			next = append(next, frontierState{id, found.state})
		}
		if s.isOver() {
			break
		}
	}
	return next
}

// counterexample returns the transitions to a state, by taking them again.
func (s *search) counterexample(id int32) (transitions []Transition) {
	var path []uint16 // from the state back to the first
	for ; s.origins[id].parent >= 0; id = s.origins[id].parent {
		path = append(path, s.origins[id].transition)
	}
	state := s.first
	for i := len(path) - 1; i >= 0; i-- {
		transition := state.enabled()[path[i]]
		transitions = append(transitions, transition)
		state = state.after(transition)
	}
	return transitions
}

// successorsOf returns the states after each transition, without those that change nothing.
func successorsOf(states []frontierState, encoder *canonicalizer) (successors []successor) {
	for _, from := range states {
		ownKey := encoder.key(from.state)
		for i, transition := range from.state.enabled() {
			state := from.state.after(transition)
			if state == nil || transition.Kind == Deliver && encoder.isNoOp(from.state, state, transition) {
				continue
			}
			key := encoder.key(state)
			if key == ownKey && state.violation == "" {
				continue
			}
			successors = append(successors, successor{origin{from.id, uint16(i)}, key, state})
		}
	}
	return successors
}

// isNoOp says whether a delivery changed nothing but that the message is gone, after which nothing can happen that couldn't
// happen before.
func (c *canonicalizer) isNoOp(before, after *State, delivery Transition) bool {
	receiver := before.serverIndex(delivery.message.message.To)
	return after.violation == "" && len(after.network) == len(before.network)-1 &&
		bytes.Equal(c.serverForm(before, receiver), c.serverForm(after, receiver))
}
