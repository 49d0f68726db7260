package simulator

import (
	"testing"
	"time"
)

// Without faults every request is served.
func TestCalmFleetServesAllRequests(t *testing.T) {
	t.Parallel()
	w := Start(1, Small)
	w.Run(w.now + 20*time.Second)
	if w.Failure != "" || w.Stats.Served < 1000 || w.Stats.Rejected+w.Stats.Unknown > 0 {
		t.Fatalf("%s %+v\n%s", w.Failure, w.Stats, w.Trace(50))
	}
}

// One seed gives the same run twice, step by step.
func TestSeedGivesTheSameRun(t *testing.T) {
	t.Parallel()
	a, b := Day(7, Small, nil, 12, 20*time.Second), Day(7, Small, nil, 12, 20*time.Second)
	if a.Hash() != b.Hash() {
		t.Fatalf("two runs of a seed differ:\n%s\n---\n%s", a.Trace(20), b.Trace(20))
	}
}
