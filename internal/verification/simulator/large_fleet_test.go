package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// largeFleet is a fleet of many proxies on limited resources: a sixth of a processor and a limited link each.
func largeFleet() Plan {
	p := Small
	p.Proxies, p.Services, p.Rate = 69, map[string]int{"fares": 243, "pay": 51}, 20
	p.Resources = &LimitedResources{ControlShare: 0.48, ProxyShare: 0.16, ProxyLink: 250e3}
	return p
}

// Where processors and links are limited a large fleet still starts, accepts changes,
// and recovers after its leader has ended and after all of its proxies have.
func TestLargeFleetServesOnLimitedResources(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		w := Start(seed, largeFleet())
		w.Run(w.now + 4*time.Second)
		if n := leasedProxies(w); n < 69 {
			t.Fatalf("seed %d: %d of 69 proxies are granted at %v\n%s", seed, n, w.now, w.Trace(40))
		}
		for range 2 {
			from := w.checks.acknowledged
			w.PutConfig(w.Leader(), w.Revision(), 3)
			if w.Run(w.now + 2*time.Second); w.checks.acknowledged == from {
				t.Errorf("seed %d: a change was not in force after 2 s", seed)
			}
			w.Kill(w.Leader())
			if w.Run(w.now + 6*time.Second); leasedProxies(w) < 69 {
				t.Errorf("seed %d: %d of 69 proxies are granted 6 s after the leader died\n%s", seed, leasedProxies(w), w.Trace(40))
			}
			for _, p := range w.daemons(wire.ControlDaemon) {
				w.Restart(p)
			}
			w.Run(w.now + 3*time.Second)
		}
		for _, p := range w.daemons(wire.ProxyDaemon) {
			w.Kill(p)
		}
		w.Run(w.now + time.Second)
		for _, p := range w.daemons(wire.ProxyDaemon) {
			w.Restart(p)
		}
		if w.Run(w.now + 4*time.Second); leasedProxies(w) < 69 {
			t.Errorf("seed %d: %d of 69 proxies are granted 4 s after all were restarted", seed, leasedProxies(w))
		}
		requireNoFailure(t, w)
	}
}

// A configuration with very many routes is in force in good time over limited links, and what
// follows it too, while no proxy loses its lease.
func TestManyRoutesAreInForceOverLimitedLinks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		w := Start(seed, largeFleet())
		w.Run(w.now + 4*time.Second)
		for i := range 3 {
			l, from := w.Leader(), w.checks.acknowledged
			if l == nil {
				t.Fatalf("seed %d: nobody leads at %v\n%s", seed, w.now, w.Trace(40))
			}
			w.SendChange(l, "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), w.documentWithRoutes(3+i, 1400), configChange(w.Revision()))
			for range 30 {
				w.Run(w.now + 100*time.Millisecond)
				if n := leasedProxies(w); n < 69 {
					t.Fatalf("seed %d: %d of 69 proxies are granted at %v\n%s", seed, n, w.now, w.Trace(40))
				}
			}
			if w.checks.acknowledged == from {
				t.Errorf("seed %d: change %d was not in force after 3 s", seed, i)
			}
			if w.Stats.SlowestChange > time.Second {
				t.Errorf("seed %d: a change took %v", seed, w.Stats.SlowestChange)
			}
		}
		requireNoFailure(t, w)
	}
}

// largeControlPlane is a fleet with more control machines than members, each on a quarter of a processor, which
// receive all targets' reports; proxies have a sixth.
func largeControlPlane() Plan {
	p := Small
	p.ControlDaemons, p.Seeds, p.Proxies, p.Domains, p.Rate = 11, 3, 64, 4, 20
	p.Services = map[string]int{"fares": 181, "pay": 111, "papers": 15}
	p.ReportToControlOnly, p.HeartbeatEvery, p.Slots = true, 1500*time.Millisecond, 6
	p.Resources = &LimitedResources{ControlShare: 0.24, ProxyShare: 0.16, ProxyLink: 587e3}
	return p
}

// Standbys become members, members leave for good or lose their disks, many proxies crash, and everything
// is lost at once: changes are acknowledged within 4 s, and nothing acknowledged is lost.
func TestLargeControlPlaneRecoversOnLimitedResources(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := Start(seed, largeControlPlane())
			n := 1
			change := func(when string) {
				t.Helper()
				n++
				from, at := w.checks.acknowledged, w.now
				for w.now < at+5*time.Second && w.checks.acknowledged == from && w.Failure == "" {
					if l := w.Leader(); l != nil {
						w.PutConfig(w.daemons(wire.ControlDaemon)[w.random.IntN(len(w.daemonNames(wire.ControlDaemon)))], w.Revision(), n)
					}
					w.runUntil(4*time.Second, func() bool { return w.checks.acknowledged > from })
				}
				if w.checks.acknowledged == from || w.now > at+4*time.Second {
					t.Errorf("seed %d, %s: no change in force after %v\n%s", seed, when, w.now-at, w.Trace(40))
				}
				t.Logf("seed %d, %s: change in %v", seed, when, w.now-at)
			}
			if !w.runUntil(10*time.Second, func() bool { return len(w.memberNames()) == 7 && leasedProxies(w) == 64 }) {
				t.Fatalf("seed %d: members %v, %d proxies granted\n%s", seed, w.memberNames(), leasedProxies(w), w.Trace(40))
			}
			change("at rest")
			for i, planned := range []bool{true, false} {
				old := w.Leader()
				name := fmt.Sprintf("n%d", i)
				arrive := func() {
					w.addAndStart(wire.ControlDaemon, name, domainIndex(old.domain))
				}
				if planned {
					arrive()
					w.Run(w.now + time.Second)
					w.stopProcess(old)
					w.Run(w.now + 2*time.Second)
				} else {
					w.schedule(1400*time.Millisecond, arrive)
				}
				w.Kill(old)
				w.forgetMachine(old)
				w.Run(w.now + 3*time.Second)
				change("a leader went for good")
			}
			herd := w.daemonNames(wire.ProxyDaemon)[:30]
			for _, g := range herd {
				w.Kill(w.process(g))
			}
			w.Run(w.now + 2*time.Second)
			for _, g := range herd {
				w.Restart(w.process(g))
			}
			if w.Run(w.now + 4*time.Second); leasedProxies(w) < 64 {
				t.Errorf("seed %d: %d of 64 proxies are granted 4 s after a herd came back", seed, leasedProxies(w))
			}
			change("a herd came back")
			for _, m := range w.memberNames()[:2] {
				w.Kill(w.process(m))
				w.WipeDisk(w.process(m))
			}
			w.Run(w.now + 1500*time.Millisecond)
			for _, p := range w.daemons(wire.ControlDaemon) {
				w.Restart(p)
			}
			w.Run(w.now + 6*time.Second)
			change("two disks were lost")
			for _, p := range w.fleet() {
				w.Kill(p)
			}
			w.Run(w.now + 1500*time.Millisecond)
			for _, p := range w.fleet() {
				w.Restart(p)
			}
			from := w.now
			if !w.AwaitServing(15 * time.Second) {
				t.Errorf("seed %d: not serving 15 s after all were lost: %s", seed, w.describeDaemons())
			}
			t.Logf("seed %d: serving %v after all were lost", seed, w.now-from)
			w.Run(w.now + 3*time.Second)
			change("all were lost")
			requireNoFailure(t, w)
		})
	}
}
