package dataplane

import (
	"math/rand/v2"
	"myrtlefold/internal/shared/statemachine"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// shutdownRun is a proxy that was asked to stop, and the requests that it has taken.
type shutdownRun struct {
	*testProxy
	grace   time.Duration
	stopAt  time.Duration
	endsAt  map[uint64]time.Duration // when the requests under way are over
	exitAt  time.Duration            // when the process ended, 0: it runs
	takenAt time.Duration            // when the last request was taken
}

// pass moves time on by a tick: requests whose target is done end.
func (r *shutdownRun) passTick() {
	for id, end := range r.endsAt {
		if end <= r.now {
			delete(r.endsAt, id)
			r.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Last: true})
		}
	}
	for _, cmd := range r.advance(tuning.TickEvery) {
		if _, ok := cmd.(statemachine.Exit); ok && r.exitAt == 0 {
			r.exitAt = r.now
		}
	}
}

// Clients may use a connection that they hold until the process is gone. Whenever they do, a stopping
// proxy takes nothing that it may not be able to finish: after the linger a request whose deadline comes
// later than the process has to end is refused with a promise, unless its target has the time that the route aims
// at; it then ends before the process, whether its target obeys or not. What was taken is over at the end.
func TestShutdownTakesOnlyWhatItCanFinish(t *testing.T) {
	refused := 0
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 24))
		r := &shutdownRun{testProxy: newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(20)), readyTarget("b", withSlots(20))), endsAt: map[uint64]time.Duration{}}
		r.grace = time.Duration(1000+rnd.IntN(9000)) * time.Millisecond
		r.machine.settings.GracePeriod = r.grace
		r.step(statemachine.Stop{})
		r.stopAt = r.now
		longest := r.grace / time.Duration(3+rnd.IntN(9))
		for id := uint64(1); r.exitAt == 0 && r.now-r.stopAt < r.grace; id++ {
			switch a := r.admitOnRoute(id, "/a/", longest).(type) {
			case statemachine.Forward:
				r.takenAt = r.now
				if waited := r.now - r.stopAt; waited > min(r.grace/2, tuning.ShutdownLingerMax) && waited+min(longest, a.WorkTime, a.TimeLeft) > r.grace {
					t.Fatalf("seed %d: grace %v, took a request of up to %v at %v after it was asked to stop", seed, r.grace, longest, waited)
				}
				works := time.Duration(rnd.Int64N(int64(longest)))
				if a.WorkTime > 0 && id%2 == 0 {
					works = min(works, a.WorkTime) // a target stops its work by then, and says so; others don't
				}
				r.endsAt[id] = r.now + min(works, a.TimeLeft) // then the forwarder answers
			case statemachine.Reject:
				if a.Status != 503 || a.RetryAfter <= 0 {
					t.Fatalf("seed %d: refused with %d, to come back in %v", seed, a.Status, a.RetryAfter)
				}
				refused++
			}
			for range 1 + rnd.IntN(3) {
				r.passTick()
			}
		}
		switch {
		case r.exitAt == 0 || len(r.endsAt) > 0:
			t.Fatalf("seed %d: grace %v, ended with %d requests under way", seed, r.grace, len(r.endsAt))
		case r.takenAt == 0:
			t.Fatalf("seed %d: grace %v, took nothing after it was asked to stop", seed, r.grace)
		}
	}
	if refused == 0 {
		t.Fatal("no request came too late in any run")
	}
}
