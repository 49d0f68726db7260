package modelcheck

import "testing"

// What every run of the tests explores of each scenario. mfsim check goes further.
const (
	statesInTests = 3000
	walksInTests  = 30
	walkLength    = 250
)

// No invariant breaks within the bounds of any scenario.
func TestSearch(t *testing.T) {
	for i := range Scenarios {
		r := Search(&Scenarios[i], Limits{States: statesInTests, Depth: 1000, Workers: 2})
		t.Log(r)
		if r.Violation != "" {
			t.Error(r)
		}
		if r.Transitions < r.States {
			t.Errorf("%d states by %d transitions", r.States, r.Transitions)
		}
	}
}

// Nor on long ways that leave those bounds; and these do get somewhere.
func TestWalks(t *testing.T) {
	for i := range Scenarios {
		r := Walk(&Scenarios[i], 1, walksInTests, walkLength)
		t.Log(r)
		if r.Violation != "" {
			t.Error(r)
		}
		if r.Leaders < 3 || r.Committed < 5 {
			t.Errorf("%s: %d leaders and %d commits at most", r.Scenario, r.Leaders, r.Committed)
		}
	}
}

// A search finds the same whatever the number of workers.
func TestSearchIsDeterministic(t *testing.T) {
	s := ScenarioByName("diverged")
	one := Search(s, Limits{States: 2000, Depth: 6, Workers: 1})
	for range 3 {
		if r := Search(s, Limits{States: 2000, Depth: 6, Workers: 3}); r.String() != one.String() {
			t.Fatalf("%v\n%v", r, one)
		}
	}
}

// States that differ by the names of machines or by the time of day are one.
func TestSymmetry(t *testing.T) {
	s := *ScenarioByName("election")
	k := newKeeper(&s)
	w := newWorld(&s)
	base := k.key(w)
	later := w.clone()
	later.now += timeout
	if k.key(later) != base {
		t.Error("another time of day makes another state")
	}
	var first key
	for i := range w.machines {
		ticked := w.next(Transition{Kind: Tick, Machine: i})
		if key := k.key(ticked); i == 0 {
			first = key
		} else if key != first {
			t.Errorf("that %s is a candidate is another state than that a is", machineName(i))
		}
	}
	if first == base {
		t.Error("a candidate makes no other state")
	}
}
