package simulator

import (
	"testing"
	"time"
)

// In a run without faults every request is served.
func TestFleetWithoutFaultsServesAllRequests(t *testing.T) {
	t.Parallel()
	w := Start(1, Small)
	w.Run(w.now + 20*time.Second)
	if w.Failure != "" || w.Stats.Served < 1000 || w.Stats.Rejected+w.Stats.Unknown > 0 {
		t.Fatalf("failure %q, want none, at least 1000 requests served and none rejected or unknown: %+v\n%s", w.Failure, w.Stats, w.Trace(50))
	}
}

// Two runs with the same seed have the same trace and number of events.
func TestSameSeedGivesSameRun(t *testing.T) {
	t.Parallel()
	a, b := RunRandomFaults(7, Small, nil, 12, 20*time.Second), RunRandomFaults(7, Small, nil, 12, 20*time.Second)
	if a.Hash() != b.Hash() {
		t.Fatalf("two runs with the same seed differ:\n%s\n---\n%s", a.Trace(20), b.Trace(20))
	}
}
