package simulator

import (
	"math"
	"testing"
	"time"
)

// servedWithoutQueue returns the most requests a second that a fleet can serve if each proxy admits up to slots
// requests at once and queues none. It applies the Erlang B formula to each proxy. rate is the offered load in requests
// a second, and resubmitted the fraction of rejected requests that callers send again at once to a random proxy, up to
// three times. A request sent again to the proxy that rejected it finds that proxy still full.
func servedWithoutQueue(rate, resubmitted float64, serviceTime time.Duration, proxies, slots int) float64 {
	blocked, offered := 0.0, rate // blocking probability, and offered load including retries
	for range 100 {               // a fixed-point iteration, which converges far sooner
		retries, same := 0.0, 1/float64(proxies) // retries that reach another proxy, for each rejection
		for range 3 {
			retries = resubmitted * (same*retries + (1-same)*(1+blocked*retries))
		}
		offered = rate * (1 + blocked*retries)
		load := offered * serviceTime.Seconds() / float64(proxies)
		blocked = 1
		for n := 1; n <= slots; n++ {
			blocked = load * blocked / (float64(n) + load*blocked)
		}
	}
	return offered * (1 - blocked)
}

// At twice the load that its concurrency caps admit, a service still serves as much as proxies that divide the caps and
// never queue can serve. The rest is rejected at once, and throughput is normal again when the demand falls.
func TestOverloadedServiceKeepsItsThroughput(t *testing.T) {
	t.Parallel()
	const capacity = 5 * 10 * 10 // requests a second: 5 targets, 10 requests at once on each, 100 ms for a request
	steps := []struct {
		rate     float64 // offered requests a second
		lo, hi   float64 // bounds of the served requests a second
		rejected bool    // more than half a second's worth of requests is rejected in 8 s
	}{{capacity / 2, capacity * 0.45, capacity, false}, {capacity, 0, capacity, true}, {2 * capacity, capacity * 0.93, capacity * 1.01, true}, {capacity / 2, capacity * 0.45, capacity, false}}
	const seeds = 16
	served, squares := make([]float64, len(steps)), make([]float64, len(steps)) // means over the seeds of the throughput and its square
	for seed := range uint64(seeds) {
		p := Small
		p.Services = map[string]int{"fares": 5}
		p.Rate, p.NonIdempotent, p.Resubmitted = 100, 0.3, 0.3
		w := Start(seed+1, p)
		for _, tg := range w.targets.all {
			tg.serviceTime, tg.usualServiceTime = 100*time.Millisecond, 100*time.Millisecond
		}
		l := w.Leader()
		w.SendChange(l, "PUT", "/v1/config", "base=1", w.DocumentFor(9, 10, []string{"fares"}), configChange(1))
		w.Run(w.now + 2*time.Second)
		for i, c := range steps {
			w.Plan.Rate = c.rate
			w.Run(w.now + 2*time.Second)
			rejectedBefore, from := w.Stats.Rejected, w.now
			w.Run(w.now + 8*time.Second)
			rejected := w.Stats.Rejected - rejectedBefore
			got := float64(w.ServedBetween(from, w.now)) / 8
			served[i] += got / seeds
			squares[i] += got * got / seeds
			t.Logf("seed %d, offered %4.0f/s: served %.0f/s, rejected %.0f/s", w.Seed, c.rate, got, float64(rejected)/8)
			if (rejected > int(c.rate/2)) != c.rejected {
				t.Errorf("seed %d, offered %v/s: served %v/s, rejected %d in 8 s, want more than %d rejections: %v", w.Seed, c.rate, got, rejected, int(c.rate/2), c.rejected)
			}
		}
		w.CheckRetryBudget()
		requireNoFailure(t, w)
		if w.Stats.Unknown > 0 || w.Stats.Retries > 0 {
			t.Errorf("seed %d: %d unknown outcomes and %d retries, want none of either: %+v", w.Seed, w.Stats.Unknown, w.Stats.Retries, w.Stats)
		}
	}
	for i, c := range steps {
		if served[i] < c.lo || served[i] > c.hi {
			t.Errorf("offered %v/s: served %v/s, want %v to %v", c.rate, served[i], c.lo, c.hi)
		}
		// For the step whose offered load equals the capacity, the formula gives the only lower bound of the throughput. A
		// request is in flight for its service time and 1 ms of network delay.
		expected := servedWithoutQueue(c.rate, 0.3, 101*time.Millisecond, Small.Proxies, capacity/10/Small.Proxies)
		stdErr := math.Sqrt((squares[i] - served[i]*served[i]) / (seeds - 1))
		t.Logf("offered %v/s: served %.1f/s, standard error %.1f, %.1f by the Erlang B formula", c.rate, served[i], stdErr, expected)
		if served[i] < expected-2*stdErr {
			t.Errorf("offered %v/s: served %v/s, more than two standard errors of %v below the %v of the Erlang B formula", c.rate, served[i], stdErr, expected)
		}
	}
}
