// This file implements the bounded breadth-first search. As it proceeds by depth, the first violation that it finds has a
// counterexample of minimal length.

package modelcheck

import "bytes"

// Limits are the bounds of a search.
type Limits struct {
	States  int // number of distinct states after which the search stops
	Depth   int // maximum number of transitions from the first state
	Workers int // number of goroutines that expand states
}

// origin records how a state was first reached.
type origin struct {
	parent     int32  // id of the preceding state, -1 for the first state
	transition uint16 // index of the transition among those enabled in the parent
}

// frontierState is a state that is to be expanded. Its id is its index in search.origins.
type frontierState struct {
	id    int32
	state *State
}

// successor is a state reached by one transition, with its key.
type successor struct {
	origin
	key   key
	state *State
}

// search is the state of a running search.
type search struct {
	scenario *Scenario
	limits   Limits
	report   *Report
	first    *State
	origins  []origin     // origins of all states found, by state id
	seen     map[key]bool // keys of all states found
}

// Search explores a scenario breadth first until a state violates an invariant, all states have been reached or a limit is
// reached. The report is independent of the number of workers.
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
		if running.stopped() {
			break
		}
	}
	report.States = len(running.origins)
	report.Complete = !running.stopped() && len(frontier) == 0
	return report
}

// stopped reports whether a violation was found or the limit of states is reached.
func (s *search) stopped() bool {
	return s.report.Violation != "" || len(s.origins) >= s.limits.States
}

// nextFrontier returns the new states that one transition from the frontier reaches.
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
		if s.stopped() {
			break
		}
	}
	return next
}

// counterexample returns the transitions that lead to a state. It replays them, since origins hold only their indexes.
func (s *search) counterexample(id int32) (transitions []Transition) {
	var path []uint16 // transition indexes from the state back to the first state
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

// successorsOf returns the successors of states, omitting transitions without effect.
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

// isNoOp reports whether a delivery had no effect except that the message is no longer in flight. The state after it allows
// nothing that the state before didn't, so it need not be explored.
func (c *canonicalizer) isNoOp(before, after *State, delivery Transition) bool {
	receiver := before.serverIndex(delivery.message.message.To)
	return after.violation == "" && len(after.network) == len(before.network)-1 &&
		bytes.Equal(c.serverForm(before, receiver), c.serverForm(after, receiver))
}
