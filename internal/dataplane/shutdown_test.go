package dataplane

import (
	"math/rand/v2"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// shutdownRun is a proxy that was asked to stop, and the requests that it has taken.
type shutdownRun struct {
	*testProxy
	grace   time.Duration
	stopAt  time.Duration
	endsAt  map[uint64]time.Duration // when the requests in flight are over
	exitAt  time.Duration            // when the process ended, 0: it runs
	takenAt time.Duration            // when the last request was taken
}

// passTick moves time on by a tick: requests whose target is done end.
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

// Clients may use a connection that they hold until the process is gone. Whenever they do, a stopping proxy takes
// nothing that it may not be able to finish: after the linger a request whose deadline comes later than the process
// has to end is rejected, unless its target has the time that the route expects; it then ends before the process,
// whether its target keeps to its time or not. What was taken is over at the end.
func TestShutdownTakesOnlyWhatItCanFinish(t *testing.T) {
	rejected := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 24))
		r := &shutdownRun{testProxy: newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(20)), readyTarget("b", withSlots(20))), endsAt: map[uint64]time.Duration{}}
		r.grace = time.Duration(1000+random.IntN(9000)) * time.Millisecond
		r.machine.settings.GracePeriod = r.grace
		r.step(statemachine.Stop{})
		r.stopAt = r.now
		longest := r.grace / time.Duration(3+random.IntN(9))
		for id := uint64(1); r.exitAt == 0 && r.now-r.stopAt < r.grace; id++ {
			switch a := r.admitOnRoute(id, "/a/", longest).(type) {
			case statemachine.Forward:
				r.takenAt = r.now
				if waited := r.now - r.stopAt; waited > min(r.grace/2, tuning.ShutdownLingerMax) && waited+min(longest, a.WorkTime, a.TimeLeft) > r.grace {
					t.Fatalf("seed %d: grace %v, took a request of up to %v at %v after it was asked to stop", seed, r.grace, longest, waited)
				}
				works := time.Duration(random.Int64N(int64(longest)))
				if a.WorkTime > 0 && id%2 == 0 {
					works = min(works, a.WorkTime) // a target stops its work by then, and says so; others don't
				}
				r.endsAt[id] = r.now + min(works, a.TimeLeft) // then the forwarder answers
			case statemachine.Reject:
				if a.Status != 503 || a.RetryAfter <= 0 {
					t.Fatalf("seed %d: rejected with %d, to come back in %v", seed, a.Status, a.RetryAfter)
				}
				rejected++
			}
			for range 1 + random.IntN(3) {
				r.passTick()
			}
		}
		switch {
		case r.exitAt == 0 || len(r.endsAt) > 0:
			t.Fatalf("seed %d: grace %v, ended with %d requests in flight", seed, r.grace, len(r.endsAt))
		case r.takenAt == 0:
			t.Fatalf("seed %d: grace %v, took nothing after it was asked to stop", seed, r.grace)
		}
	}
	if rejected == 0 {
		t.Fatal("no request came too late in any run")
	}
}

// A shutdown shows in readiness at once, lasts while requests are in flight, and no longer than the grace period.
func TestShutdownWithinGracePeriod(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)))
	proxy.machine.settings.GracePeriod = 6 * time.Second
	proxy.admitOnRoute(1, "/a/", 0)
	proxy.step(statemachine.Stop{})
	if proxy.machine.Ready() || !proxy.machine.Serving() {
		t.Fatal("must serve on, unready")
	}
	exits := func(commands []statemachine.Command) bool {
		for _, c := range commands {
			if _, ok := c.(statemachine.Exit); ok {
				return true
			}
		}
		return false
	}
	if exits(proxy.advance(tuning.ShutdownLinger + time.Millisecond)) {
		t.Fatal("left one in flight")
	}
	if exits(proxy.advance(6*time.Second - tuning.ShutdownMargin - tuning.ShutdownLinger - 10*time.Millisecond)) {
		t.Fatal("left one in flight")
	}
	if !exits(proxy.advance(20 * time.Millisecond)) {
		t.Fatal("beyond its grace period")
	}
	proxy.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.Served, Last: true})
}
