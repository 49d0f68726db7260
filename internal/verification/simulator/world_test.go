package simulator

import (
	"math"
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

func TestCalm(t *testing.T) {
	t.Parallel()
	w := Start(1, Small)
	w.Run(w.now + 20*time.Second)
	if w.Failure != "" || w.Stats.Served < 1000 || w.Stats.Rejected+w.Stats.Unknown > 0 {
		t.Fatalf("%s %+v\n%s", w.Failure, w.Stats, w.Trace(50))
	}
}

// One seed gives the same run twice, step by step.
func TestReplay(t *testing.T) {
	t.Parallel()
	a, b := Day(7, Small, nil, 12, 20*time.Second), Day(7, Small, nil, 12, 20*time.Second)
	if a.Hash() != b.Hash() {
		t.Fatalf("two runs of a seed differ:\n%s\n---\n%s", a.Trace(20), b.Trace(20))
	}
}

// Every core disk is lost at once while the proxies live: the core founds a new
// epoch and takes configuration and emptied domains back from the proxies.
func TestCoreLosesAllDisks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := Start(seed, Small)
		w.PutConfig(w.Leader(), 1, 2)
		w.Run(w.now + 2*time.Second)
		w.SendChange(w.Leader(), "POST", "/v1/domains/d2/empty", "", nil, emptyChange("d2"))
		w.Run(w.now + 3*time.Second)
		for _, p := range w.daemons(wire.ControlDaemon) {
			w.Kill(p)
			w.WipeDisk(p)
		}
		w.Run(w.now + time.Second)
		for _, p := range w.daemons(wire.ControlDaemon) {
			w.Restart(p)
		}
		w.AwaitRecovery(15 * time.Second)
		w.Finish()
		requireNoFailure(t, w)
		if s := w.Leader().controller.Status(0); s.Epoch != 2 || s.Revision != 2 || len(s.Emptied) != 1 {
			t.Fatalf("seed %d: %+v", seed, s)
		}
	}
}

// Two of three disks are lost: the survivor's state is what the new epoch starts from,
// even when no proxy remembers.
func TestCoreLosesMostDisks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := Start(seed, Small)
		w.PutConfig(w.Leader(), 1, 2)
		w.Run(w.now + 2*time.Second)
		keep := w.Leader()
		for _, p := range w.fleet() {
			w.Kill(p)
			if p.kind == wire.ControlDaemon && p != keep {
				w.WipeDisk(p)
			}
		}
		w.Run(w.now + time.Second)
		for _, p := range w.fleet() {
			w.Restart(p)
		}
		w.AwaitRecovery(15 * time.Second)
		w.Finish()
		requireNoFailure(t, w)
		if s := w.Leader().controller.Status(0); s.Epoch != 2 || s.Revision != 2 {
			t.Fatalf("seed %d: %+v", seed, s)
		}
	}
}

// Everything is wiped: an empty core founds itself and takes a configuration anew.
func TestAllWiped(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		p := Small
		p.ControlDaemons = 3 + 2*int(seed%2)
		w := Start(seed, p)
		w.Run(w.now + 2*time.Second)
		for _, p := range w.fleet() {
			w.Kill(p)
			if p.kind == wire.ControlDaemon {
				w.WipeDisk(p)
			}
		}
		w.checks.acknowledged, w.operators.changes = 0, nil
		for _, p := range w.fleet() {
			w.Restart(p)
		}
		w.network.loss, w.network.delay = 0.2, 100*time.Millisecond // founders hear of one another at unlike times
		w.schedule(5*time.Second, func() { w.network.loss, w.network.delay = 0, time.Millisecond })
		end := w.now + 15*time.Second
		for w.Leader() == nil && w.now < end {
			w.Run(w.now + 100*time.Millisecond)
		}
		if w.Leader() == nil {
			t.Fatalf("seed %d: no leader\n%s", seed, w.Trace(40))
		}
		w.PutConfig(w.Leader(), 0, 3)
		w.AwaitRecovery(end - w.now)
		w.Finish()
		requireNoFailure(t, w)
	}
}

// The core's members are swapped one by one until none of the first is left.
func TestSwapAllMembers(t *testing.T) {
	t.Parallel()
	w := Start(3, Small)
	for i := range 3 {
		name := []string{"c7", "c8", "c9"}[i]
		w.addAndStart(wire.ControlDaemon, name, i)
		w.Run(w.now + 2*time.Second)
		old := []string{"c1", "c2", "c3"}[i]
		for _, call := range []string{name + "/add", old + "/remove"} {
			c := &change{}
			for range 3 {
				c = &change{kind: changeKind(call)}
				w.SendChange(w.Leader(), "POST", "/v1/core/"+call, "", nil, c)
				w.Run(w.now + 4*time.Second)
				if c.state != changeRejected {
					break // a leader that is to go yields first and says so
				}
			}
			requireNoFailure(t, w)
			if c.state != changeAccepted {
				t.Fatalf("%s %s\n%s", call, c.state, w.Trace(40))
			}
		}
		w.Kill(w.process(old))
		w.PutConfig(w.Leader(), w.Revision(), i+10)
		w.Run(w.now + 2*time.Second)
	}
	requireNoFailure(t, w)
	ms := w.Leader().controller.Status(0).Members
	if len(ms) != 3 || w.Leader().controller.Revision() != 4 {
		t.Fatalf("%v revision %d\n%s", ms, w.Leader().controller.Revision(), w.Trace(40))
	}
	for _, m := range ms {
		if m.Name[1] < '7' {
			t.Fatalf("%v", ms)
		}
	}
}

// A bounded sweep of random days; mfsim runs more.
func TestDays(t *testing.T) {
	t.Parallel()
	n := uint64(64)
	if testing.Short() {
		n = 8
	}
	for seed := uint64(1); seed <= n; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			requireNoFailure(t, Day(seed, Small, nil, 12, 25*time.Second))
		})
	}
}

// lossless is what a fleet serves at most whose proxies have so many places each for a
// service and never let a caller wait: Erlang's formula for each proxy, with callers of
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

// Asked for twice what its caps let through, a service still does all that proxies can who
// share its caps out and let nobody wait, refuses the rest at once, and is as before when
// the demand falls.
func TestOverload(t *testing.T) {
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
		// The lower bound at the knee is this one alone. A request holds its place for its work and 1 ms on the way.
		best := servedWithoutQueue(c.rate, 0.3, 101*time.Millisecond, Small.Proxies, bears/10/Small.Proxies)
		err := math.Sqrt((squares[i] - served[i]*served[i]) / (seeds - 1))
		t.Logf("asked %v/s: served %.1f/s, error %.1f, %.1f by Erlang's formula", c.rate, served[i], err, best)
		if served[i] < best-2*err {
			t.Errorf("asked %v/s: served %v/s, wanted %v by Erlang's formula, within two errors of %v", c.rate, served[i], best, err)
		}
	}
}
