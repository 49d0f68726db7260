package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// A leader with a pending change loses its lease briefly and then leads again, in the same term or in a later one after it
// wins an election. The caller must get the outcome of the change, not a reply that the outcome is unknown.
func TestPendingChangeSurvivesBriefLeaseLoss(t *testing.T) {
	t.Parallel()
	regained, reelected := 0, 0 // leaders that led again, and those of them that did so in a later term
	for seed := range uint64(16) {
		w := Start(seed, Small)
		w.Run(w.now + 3*time.Second)
		l, before := w.Leader(), w.lostLeases()
		if l == nil {
			t.Fatalf("seed %d: no leader 3 s after the start", seed)
		}
		term, status := l.controller.Status(w.now).Term, -1
		w.isolateFromControlDaemons(l, tuning.LeaderLease+time.Duration(seed%2)*tuning.HeartbeatEvery)
		w.Run(w.now + tuning.LeaderLease/2)
		w.call(l, "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), w.Document(5), "", func(r statemachine.Reply) { status = r.Status })
		w.runUntil(4*time.Second, func() bool { return status >= 0 })
		if w.runUntil(2*time.Second, w.hasLeader); w.Leader() != l || w.lostLeases() == before {
			continue // another daemon leads, or the lease was not lost
		}
		regained++
		if l.controller.Status(w.now).Term > term {
			reelected++
		}
		if status != 200 {
			t.Errorf("seed %d: the pending change got status %d, want 200\n%s", seed, status, w.Trace(20))
		}
		w.Run(w.now + 2*time.Second)
		requireNoFailure(t, w)
	}
	if regained == 0 || reelected == 0 {
		t.Errorf("%d leaders regained a lost lease, %d of them in a later term, want some of both", regained, reelected)
	}
	t.Logf("%d leaders regained a lost lease, %d of them in a later term", regained, reelected)
}

// A change whose leader stays isolated gets 504 (outcome unknown) within a lease and tuning.PendingCallsKept.
func TestPendingChangeOfIsolatedLeaderIsUnknown(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		w.Run(w.now + 3*time.Second)
		l, status, sent := w.Leader(), -1, w.now
		w.isolateFromControlDaemons(l, 10*time.Second)
		w.call(l, "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), w.Document(5), "", func(r statemachine.Reply) { status = r.Status })
		w.runUntil(10*time.Second, func() bool { return status >= 0 })
		if status != 504 || w.now-sent > tuning.LeaderLease+tuning.PendingCallsKept+100*time.Millisecond {
			t.Errorf("seed %d: status %d after %v, want 504 within %v", seed, status, w.now-sent, tuning.LeaderLease+tuning.PendingCallsKept+100*time.Millisecond)
		}
		w.Run(w.now + 12*time.Second)
		requireNoFailure(t, w)
	}
}
