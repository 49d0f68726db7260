package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// A change that is pending when its leader loses the lease for a moment is answered with what became of
// it, in the same term or after an election that the same member wins, and not that it is unknown.
func TestPendingChangeOutlivesALeaseLostForAMoment(t *testing.T) {
	t.Parallel()
	kept, resumed := 0, 0
	for seed := range uint64(16) {
		w := Start(seed, Small)
		w.Run(w.now + 3*time.Second)
		l, before := w.Leader(), w.lostLeases()
		if l == nil {
			t.Fatalf("seed %d: nobody leads", seed)
		}
		term, status := l.controller.Status(w.now).Term, -1
		w.isolateFromControlDaemons(l, tuning.LeaderLease+time.Duration(seed%2)*tuning.HeartbeatEvery)
		w.Run(w.now + tuning.LeaderLease/2)
		w.call(l, "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), w.Document(5), "", func(r statemachine.Reply) { status = r.Status })
		w.runUntil(4*time.Second, func() bool { return status >= 0 })
		if w.runUntil(2*time.Second, w.hasLeader); w.Leader() != l || w.lostLeases() == before {
			continue // another leads, or the lease was not lost
		}
		kept++
		if l.controller.Status(w.now).Term > term {
			resumed++
		}
		if status != 200 {
			t.Errorf("seed %d: answered %d\n%s", seed, status, w.Trace(20))
		}
		w.Run(w.now + 2*time.Second)
		requireNoFailure(t, w)
	}
	if kept == 0 || resumed == 0 {
		t.Errorf("%d leads were lost for a moment, %d of them went on in a later term", kept, resumed)
	}
	t.Logf("%d leads were lost for a moment, %d of them went on in a later term", kept, resumed)
}

// A change whose leader is isolated for good is answered in time that its fate is unknown.
func TestPendingChangeEndsUnknownWithoutLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		w.Run(w.now + 3*time.Second)
		l, status, asked := w.Leader(), -1, w.now
		w.isolateFromControlDaemons(l, 10*time.Second)
		w.call(l, "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), w.Document(5), "", func(r statemachine.Reply) { status = r.Status })
		w.runUntil(10*time.Second, func() bool { return status >= 0 })
		if status != 504 || w.now-asked > tuning.LeaderLease+tuning.PendingCallsKept+100*time.Millisecond {
			t.Errorf("seed %d: answered %d after %v", seed, status, w.now-asked)
		}
		w.Run(w.now + 12*time.Second)
		requireNoFailure(t, w)
	}
}
