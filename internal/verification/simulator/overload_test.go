package simulator

import (
	"math"
	"testing"
	"time"
)

// servedWithoutQueue is what a fleet serves at most whose proxies may have so many requests at once each for a
// service and never queue one: Erlang's formula for each proxy, with callers of
// whom a part comes again at once, to any proxy, up to three times. One that comes to the
// proxy that it comes from finds that still full.
func servedWithoutQueue(rate, again float64, took time.Duration, proxies, places int) float64 {
	loss, all := 0.0, rate
	for range 100 { // it settles far sooner
		more, same := 0.0, 1/float64(proxies) // what each refusal brings elsewhere
		for range 3 {
			more = again * (same*more + (1-same)*(1+loss*more))
		}
		all = rate * (1 + loss*more)
		load := all * took.Seconds() / float64(proxies)
		loss = 1
		for n := 1; n <= places; n++ {
			loss = load * loss / (float64(n) + load*loss)
		}
	}
	return all * (1 - loss)
}

// At twice the load that its caps let through, a service still serves all that proxies can that
// divide its caps and never queue, rejects the rest at once, and is as before when
// the demand falls.
func TestOverloadedServiceKeepsItsThroughput(t *testing.T) {
	t.Parallel()
	const bears = 5 * 10 * 10 // targets, cap, requests a second each
	steps := []struct {
		rate     float64
		lo, hi   float64
		refusing bool
	}{{bears / 2, bears * 0.45, bears, false}, {bears, 0, bears, true}, {2 * bears, bears * 0.93, bears * 1.01, true}, {bears / 2, bears * 0.45, bears, false}}
	const seeds = 16
	served, squares := make([]float64, len(steps)), make([]float64, len(steps)) // means of what the seeds draw
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
			no, from := w.Stats.Rejected, w.now
			w.Run(w.now + 8*time.Second)
			got := float64(w.ServedBetween(from, w.now)) / 8
			served[i] += got / seeds
			squares[i] += got * got / seeds
			t.Logf("seed %d asked %4.0f/s, served %.0f/s, refused %.0f/s", w.Seed, c.rate, got, float64(w.Stats.Rejected-no)/8)
			if (w.Stats.Rejected-no > int(c.rate/2)) != c.refusing {
				t.Errorf("seed %d asked %v/s: served %v/s, refused %d", w.Seed, c.rate, got, w.Stats.Rejected-no)
			}
		}
		w.CheckRetryBudget()
		requireNoFailure(t, w)
		if w.Stats.Unknown > 0 || w.Stats.Retries > 0 {
			t.Errorf("%+v", w.Stats)
		}
	}
	for i, c := range steps {
		if served[i] < c.lo || served[i] > c.hi {
			t.Errorf("asked %v/s: served %v/s, wanted %v to %v", c.rate, served[i], c.lo, c.hi)
		}
		// The lower bound at the knee is this one alone. A request is in flight for its service time and 1 ms on the way.
		best := servedWithoutQueue(c.rate, 0.3, 101*time.Millisecond, Small.Proxies, bears/10/Small.Proxies)
		err := math.Sqrt((squares[i] - served[i]*served[i]) / (seeds - 1))
		t.Logf("asked %v/s: served %.1f/s, error %.1f, %.1f by Erlang's formula", c.rate, served[i], err, best)
		if served[i] < best-2*err {
			t.Errorf("asked %v/s: served %v/s, wanted %v by Erlang's formula, within two errors of %v", c.rate, served[i], best, err)
		}
	}
}
