// This file is what a search or a walk reports.

package modelcheck

import (
	"fmt"
	"strings"
)

// Report is what a search, or a number of walks, has found.
type Report struct {
	Scenario    string
	States      int  // distinct states; 0 for walks
	Transitions int  // that were taken
	Depth       int  // the most transitions from the first state
	Complete    bool // all states within the scenario's bounds were reached
	Leaders     int  // the most terms that had a leader in one history
	Committed   int  // the most entries committed in one history, beyond the start
	// Violation is the invariant that was broken, and how; "" if none was. Counterexample leads there.
	Violation      string
	Counterexample []Transition
}

// String returns the report as mfsim prints it, with the counterexample one transition a line.
func (r *Report) String() string {
	text := fmt.Sprintf("%s: %d states, %d transitions, depth %d", r.Scenario, r.States, r.Transitions, r.Depth)
	if r.Complete {
		text += " (all there are)"
	}
	text += fmt.Sprintf(", up to %d leaders and %d commits on a way", r.Leaders, r.Committed)
	if r.Violation == "" {
		return text
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s\nBROKEN: %s\n", text, r.Violation)
	for i, transition := range r.Counterexample {
		fmt.Fprintf(&b, "%3d %v\n", i+1, transition)
	}
	return b.String()
}

// observe takes a state's history in.
func (r *Report) observe(state *State) {
	r.Leaders = max(r.Leaders, len(state.history.leaders))
	r.Committed = max(r.Committed, len(state.history.committed)-1)
}
