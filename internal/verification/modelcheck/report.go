// This file defines the report of a search or of random walks.

package modelcheck

import (
	"fmt"
	"strings"
)

// Report is the result of a search or of a number of random walks.
type Report struct {
	Scenario    string
	States      int  // number of distinct states; 0 for walks
	Transitions int  // number of transitions taken
	Depth       int  // largest number of transitions from the first state
	Complete    bool // whether all states within the scenario's bounds were reached
	Leaders     int  // largest number of terms with a leader in one history
	Committed   int  // largest number of entries committed in one history, not counting the initial snapshot
	// Violation names the violated invariant and describes the violation; "" if there was none. Counterexample is the
	// sequence of transitions that leads to it.
	Violation      string
	Counterexample []Transition
}

// String returns the report as mfsim prints it, with one line for each transition of the counterexample.
func (r *Report) String() string {
	text := fmt.Sprintf("%s: %d states, %d transitions, depth %d", r.Scenario, r.States, r.Transitions, r.Depth)
	if r.Complete {
		text += " (complete)"
	}
	text += fmt.Sprintf(", at most %d leaders and %d commits on one path", r.Leaders, r.Committed)
	if r.Violation == "" {
		return text
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s\nINVARIANT VIOLATED: %s\n", text, r.Violation)
	for i, transition := range r.Counterexample {
		fmt.Fprintf(&b, "%3d %v\n", i+1, transition)
	}
	return b.String()
}

// observe updates the report's maximums from a state's history.
func (r *Report) observe(state *State) {
	r.Leaders = max(r.Leaders, len(state.history.leaders))
	r.Committed = max(r.Committed, len(state.history.committed)-1)
}
