package modelcheck

import "testing"

// Bounds of the exploration of each scenario in tests. The command mfsim check explores further.
const (
	statesInTests = 3000
	walksInTests  = 30
	walkLength    = 250
)

// The bounded search of every scenario finds no violated invariant.
func TestSearchFindsNoViolation(t *testing.T) {
	for i := range Scenarios {
		report := Search(&Scenarios[i], Limits{States: statesInTests, Depth: 1000, Workers: 2})
		t.Log(report)
		if report.Violation != "" {
			t.Error(report)
		}
		if report.Transitions < report.States {
			t.Errorf("%s: %d states reached by %d transitions, want at least one transition for each state", report.Scenario, report.States, report.Transitions)
		}
	}
}

// Random walks beyond the scenarios' bounds find no violated invariant. They must elect leaders and commit entries, since
// otherwise the invariants could not be violated.
func TestWalksFindNoViolation(t *testing.T) {
	for i := range Scenarios {
		report := Walk(&Scenarios[i], 1, walksInTests, walkLength)
		t.Log(report)
		if report.Violation != "" {
			t.Error(report)
		}
		if report.Leaders < 3 || report.Committed < 5 {
			t.Errorf("%s: no walk had more than %d leaders and %d commits, want at least 3 and 5", report.Scenario, report.Leaders, report.Committed)
		}
	}
}

// The report of a search is independent of the number of workers.
func TestSearchIsDeterministic(t *testing.T) {
	scenario := ScenarioByName("diverged")
	one := Search(scenario, Limits{States: 2000, Depth: 6, Workers: 1})
	for range 3 {
		if report := Search(scenario, Limits{States: 2000, Depth: 6, Workers: 3}); report.String() != one.String() {
			t.Fatalf("report with 3 workers:\n%v\nwith 1 worker:\n%v", report, one)
		}
	}
}

// States that differ only in the servers' names or in absolute time have the same key.
func TestSymmetricStatesHaveOneKey(t *testing.T) {
	scenario := ScenarioByName("election")
	c := newCanonicalizer(scenario)
	state := newState(scenario)
	base := c.key(state)
	later := state.clone()
	later.now += longestTimeout
	if c.key(later) != base {
		t.Error("the same state at a later time has a different key")
	}
	var first key
	for i := range state.servers {
		ticked := state.after(Transition{Kind: Tick, Server: i})
		if key := c.key(ticked); i == 0 {
			first = key
		} else if key != first {
			t.Errorf("the state with %s as candidate has a different key than the one with server a as candidate", serverName(i))
		}
	}
	if first == base {
		t.Error("the state with a candidate has the same key as the one without")
	}
}
