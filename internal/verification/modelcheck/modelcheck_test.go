package modelcheck

import "testing"

// What the tests explore of each scenario. mfsim check goes further.
const (
	statesInTests = 3000
	walksInTests  = 30
	walkLength    = 250
)

// No invariant is violated within the bounds of any scenario.
func TestSearchFindsNoViolation(t *testing.T) {
	for i := range Scenarios {
		report := Search(&Scenarios[i], Limits{States: statesInTests, Depth: 1000, Workers: 2})
		t.Log(report)
		if report.Violation != "" {
			t.Error(report)
		}
		if report.Transitions < report.States {
			t.Errorf("%d states by %d transitions", report.States, report.Transitions)
		}
	}
}

// Nor in long walks beyond those bounds; and these do elect leaders and commit.
func TestWalksFindNoViolation(t *testing.T) {
	for i := range Scenarios {
		report := Walk(&Scenarios[i], 1, walksInTests, walkLength)
		t.Log(report)
		if report.Violation != "" {
			t.Error(report)
		}
		if report.Leaders < 3 || report.Committed < 5 {
			t.Errorf("%s: %d leaders and %d commits at most", report.Scenario, report.Leaders, report.Committed)
		}
	}
}

// A search reports the same whatever the number of workers.
func TestSearchIsDeterministic(t *testing.T) {
	scenario := ScenarioByName("diverged")
	one := Search(scenario, Limits{States: 2000, Depth: 6, Workers: 1})
	for range 3 {
		if report := Search(scenario, Limits{States: 2000, Depth: 6, Workers: 3}); report.String() != one.String() {
			t.Fatalf("%v\n%v", report, one)
		}
	}
}

// States that differ by the names of servers or by the time of day are one.
func TestSymmetricStatesHaveOneKey(t *testing.T) {
	scenario := ScenarioByName("election")
	c := newCanonicalizer(scenario)
	state := newState(scenario)
	base := c.key(state)
	later := state.clone()
	later.now += longestTimeout
	if c.key(later) != base {
		t.Error("another time of day makes another state")
	}
	var first key
	for i := range state.servers {
		ticked := state.after(Transition{Kind: Tick, Server: i})
		if key := c.key(ticked); i == 0 {
			first = key
		} else if key != first {
			t.Errorf("%s as a candidate makes another state than a does", serverName(i))
		}
	}
	if first == base {
		t.Error("a candidate makes no other state")
	}
}
