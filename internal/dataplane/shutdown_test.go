package dataplane

import (
	"math/rand/v2"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// shutdownRun holds a proxy that was asked to stop, and the requests that it has accepted.
type shutdownRun struct {
	*testProxy
	grace      time.Duration            // grace period of the shutdown
	stopAt     time.Duration            // when the proxy was asked to stop
	endsAt     map[uint64]time.Duration // when the requests in flight end
	exitAt     time.Duration            // when the process ended, 0 if it is still running
	acceptedAt time.Duration            // when the last request was accepted
}

// passTick ends the requests whose targets are done, and advances the time by one tick.
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

// Clients may send requests on open connections until the process ends. After the linger time, a stopping proxy
// rejects any request whose deadline is later than the end of the process, unless its target still has the time
// that the route is expected to need. All accepted requests end before the process does, whether or not targets
// respect their work time.
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
			switch response := r.admitOnRoute(id, "/a/", longest).(type) {
			case statemachine.Forward:
				r.acceptedAt = r.now
				if waited := r.now - r.stopAt; waited > min(r.grace/2, tuning.ShutdownLingerMax) && waited+min(longest, response.WorkTime, response.TimeLeft) > r.grace {
					t.Fatalf("seed %d: grace period %v, accepted a request of up to %v at %v after the request to stop, want it rejected since it may not end in time", seed, r.grace, longest, waited)
				}
				workTime := time.Duration(random.Int64N(int64(longest)))
				if response.WorkTime > 0 && id%2 == 0 {
					workTime = min(workTime, response.WorkTime) // for every other request the target respects its work time
				}
				r.endsAt[id] = r.now + min(workTime, response.TimeLeft) // the proxy responds itself at the deadline
			case statemachine.Reject:
				if response.Status != 503 || response.RetryAfter <= 0 {
					t.Fatalf("seed %d: rejected with status %d and retry time %v, want 503 and a retry time", seed, response.Status, response.RetryAfter)
				}
				rejected++
			}
			for range 1 + random.IntN(3) {
				r.passTick()
			}
		}
		switch {
		case r.exitAt == 0 || len(r.endsAt) > 0:
			t.Fatalf("seed %d: grace period %v, not stopped or stopped with %d requests in flight, want stopped with none", seed, r.grace, len(r.endsAt))
		case r.acceptedAt == 0:
			t.Fatalf("seed %d: grace period %v, accepted no request after the request to stop", seed, r.grace)
		}
	}
	if rejected == 0 {
		t.Fatal("no request was rejected in any run, so rejections were not tested")
	}
}

// A stopping proxy becomes unready at once and keeps running while a request is in flight, but not beyond the
// grace period.
func TestShutdownWithinGracePeriod(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)))
	proxy.machine.settings.GracePeriod = 6 * time.Second
	proxy.admitOnRoute(1, "/a/", 0)
	proxy.step(statemachine.Stop{})
	if proxy.machine.Ready() || !proxy.machine.Serving() {
		t.Fatal("want the stopping proxy to be unready and still serving")
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
		t.Fatal("exited after the linger time with a request in flight")
	}
	if exits(proxy.advance(6*time.Second - tuning.ShutdownMargin - tuning.ShutdownLinger - 10*time.Millisecond)) {
		t.Fatal("exited before the end of the grace period with a request in flight")
	}
	if !exits(proxy.advance(20 * time.Millisecond)) {
		t.Fatal("not exited at the end of the grace period")
	}
	proxy.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.Served, Last: true})
}
