// This file is the bounded search, breadth first, so that the first violation found
// is one with the fewest actions.

package modelcheck

import (
	"bytes"
	"fmt"
	"strings"
)

// Report is what a search or a walk has seen.
type Report struct {
	Scenario       string
	States         int // distinct ones
	Transitions    int // actions carried out
	Depth          int // the most actions from the start
	Complete       bool
	Leaders        int // the most terms that had a leader on one way
	Committed      int // the most entries committed on one way, beyond the start
	Violation      string
	Counterexample []Transition
}

func (r *Report) String() string {
	s := fmt.Sprintf("%s: %d states, %d transitions, depth %d", r.Scenario, r.States, r.Transitions, r.Depth)
	if r.Complete {
		s += " (all there are)"
	}
	s += fmt.Sprintf(", up to %d leaders and %d commits on a way", r.Leaders, r.Committed)
	if r.Violation != "" {
		var b strings.Builder
		fmt.Fprintf(&b, "%s\nBROKEN: %s\n", s, r.Violation)
		for i, a := range r.Counterexample {
			fmt.Fprintf(&b, "%3d %v\n", i+1, a)
		}
		return b.String()
	}
	return s
}

func (r *Report) see(w *State) {
	r.Leaders = max(r.Leaders, len(w.history.leaders))
	r.Committed = max(r.Committed, len(w.history.committed)-1)
}

// Limits bound a search.
type Limits struct {
	States  int
	Depth   int
	Workers int
}

// step is how a state was first reached.
type step struct {
	parent int32
	action uint16 // its place among the parent's actions
}

// reached is a state that is to be expanded.
type reached struct {
	id int32
	w  *State
}

// successor is what a worker made of a state.
type successor struct {
	parent int32
	action uint16
	key    key
	w      *State
}

// batchSize is how many states a worker expands at a time.
const batchSize = 64

// Search explores a scenario breadth first until a state breaks an invariant, all
// states are seen or a limit is met. The result does not depend on the workers.
func Search(s *Scenario, limits Limits) *Report {
	r := &Report{Scenario: s.Name}
	first := newWorld(s)
	if first.broken != "" {
		r.Violation = first.broken
		return r
	}
	steps := []step{{parent: -1}}
	seen := map[key]bool{newKeeper(s).key(first): true}
	layer := []reached{{0, first}}
	r.see(first)
	for len(layer) > 0 && r.Depth < limits.Depth {
		r.Depth++
		var next []reached
		for successors := range expand(s, layer, limits.Workers) {
			for _, c := range successors {
				r.Transitions++
				if seen[c.key] {
					continue
				}
				seen[c.key] = true
				steps = append(steps, step{c.parent, c.action})
				id := int32(len(steps) - 1)
				r.see(c.w)
				if c.w.broken != "" && r.Violation == "" {
					r.Violation, r.Counterexample = c.w.broken, trace(first, steps, id)
				}
				next = append(next, reached{id, c.w})
			}
			if r.Violation != "" || len(steps) >= limits.States {
				break
			}
		}
		layer = next
		if r.Violation != "" || len(steps) >= limits.States {
			r.States = len(steps)
			return r
		}
	}
	r.States, r.Complete = len(steps), len(layer) == 0
	return r
}

// expand yields the successors of a layer's states in order, a batch at a time.
func expand(s *Scenario, layer []reached, workers int) func(func([]successor) bool) {
	return func(yield func([]successor) bool) {
		type job struct {
			states []reached
			done   chan []successor
		}
		jobs := make(chan job)
		order := make(chan job, 4*workers)
		stop := make(chan struct{})
		defer close(stop)
		for range workers {
			go func() {
				k := newKeeper(s)
				for j := range jobs {
					j.done <- successorsOf(j.states, k)
				}
			}()
		}
		go func() {
			defer close(jobs)
			defer close(order)
			for at := 0; at < len(layer); at += batchSize {
				j := job{layer[at:min(at+batchSize, len(layer))], make(chan []successor, 1)}
				select {
				case order <- j:
				case <-stop:
					return
				}
				select {
				case jobs <- j:
				case <-stop:
					return
				}
			}
		}()
		for j := range order {
			if !yield(<-j.done) {
				return
			}
		}
	}
}

func successorsOf(states []reached, k *keeper) []successor {
	var out []successor
	for _, st := range states {
		own := k.key(st.w)
		for i, a := range st.w.actions() {
			w := st.w.next(a)
			if w == nil || a.Kind == Deliver && k.unmoved(st.w, w, st.w.place(a.packet.m.To)) {
				continue
			}
			key := k.key(w)
			if key == own && w.broken == "" {
				continue
			}
			out = append(out, successor{st.id, uint16(i), key, w})
		}
	}
	return out
}

// unmoved says that a delivery changed nothing but that the message is gone, after
// which nothing can happen that could not happen before.
func (k *keeper) unmoved(before, after *State, i int) bool {
	return after.broken == "" && len(after.network) == len(before.network)-1 &&
		bytes.Equal(k.machineForm(before, i), k.machineForm(after, i))
}

// trace plays the way to a state again and names its actions.
func trace(first *State, steps []step, id int32) []Transition {
	var way []uint16
	for ; steps[id].parent >= 0; id = steps[id].parent {
		way = append(way, steps[id].action)
	}
	var as []Transition
	w := first
	for i := len(way) - 1; i >= 0; i-- {
		a := w.actions()[way[i]]
		as = append(as, a)
		w = w.next(a)
	}
	return as
}
