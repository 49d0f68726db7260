package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// largeFleet returns the plan of a fleet with many proxies, each of which has a sixth of a processor and a link of
// limited bandwidth.
func largeFleet() Plan {
	p := Small
	p.Proxies, p.Services, p.Rate = 69, map[string]int{"fares": 243, "pay": 51}, 20
	p.Resources = &LimitedResources{ControlShare: 0.48, ProxyShare: 0.16, ProxyLink: 250e3}
	return p
}

// On limited processors and links, a large fleet starts, accepts changes, and recovers from the crash of its leader and
// from the crash of all proxies.
func TestLargeFleetServesOnLimitedResources(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		w := Start(seed, largeFleet())
		w.Run(w.now + 4*time.Second)
		if n := leasedProxies(w); n < 69 {
			t.Fatalf("seed %d: %d of 69 proxies hold a lease at %v, want all\n%s", seed, n, w.now, w.Trace(40))
		}
		for range 2 {
			before := w.checks.acknowledged
			w.PutConfig(w.Leader(), w.Revision(), 3)
			if w.Run(w.now + 2*time.Second); w.checks.acknowledged == before {
				t.Errorf("seed %d: a change was not acknowledged within 2 s", seed)
			}
			w.Kill(w.Leader())
			if w.Run(w.now + 6*time.Second); leasedProxies(w) < 69 {
				t.Errorf("seed %d: %d of 69 proxies hold a lease 6 s after the leader crashed, want all\n%s", seed, leasedProxies(w), w.Trace(40))
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
			t.Errorf("seed %d: %d of 69 proxies hold a lease 4 s after all were restarted, want all", seed, leasedProxies(w))
		}
		requireNoFailure(t, w)
	}
}

// A configuration with 1400 routes is acknowledged within a second over limited links, and so are further ones, while no
// proxy loses its lease.
func TestManyRoutesAreInForceOverLimitedLinks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		w := Start(seed, largeFleet())
		w.Run(w.now + 4*time.Second)
		for i := range 3 {
			leader, before := w.Leader(), w.checks.acknowledged
			if leader == nil {
				t.Fatalf("seed %d: no leader at %v\n%s", seed, w.now, w.Trace(40))
			}
			w.SendChange(leader, "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), w.documentWithRoutes(3+i, 1400), configChange(w.Revision()))
			for range 30 {
				w.Run(w.now + 100*time.Millisecond)
				if n := leasedProxies(w); n < 69 {
					t.Fatalf("seed %d: %d of 69 proxies hold a lease at %v, want all\n%s", seed, n, w.now, w.Trace(40))
				}
			}
			if w.checks.acknowledged == before {
				t.Errorf("seed %d: change %d was not acknowledged within 3 s", seed, i)
			}
			if w.Stats.SlowestChange > time.Second {
				t.Errorf("seed %d: the slowest change took %v, want at most 1s", seed, w.Stats.SlowestChange)
			}
		}
		requireNoFailure(t, w)
	}
}

// largeControlPlane returns the plan of a fleet with more control daemons than members. Each control daemon has a quarter
// of a processor, and only control daemons receive the targets' heartbeats. Each proxy has a sixth of a processor.
func largeControlPlane() Plan {
	p := Small
	p.ControlDaemons, p.SeedNodes, p.Proxies, p.Domains, p.Rate = 11, 3, 64, 4, 20
	p.Services = map[string]int{"fares": 181, "pay": 111, "papers": 15}
	p.ReportToControlOnly, p.HeartbeatEvery, p.Slots = true, 1500*time.Millisecond, 6
	p.Resources = &LimitedResources{ControlShare: 0.24, ProxyShare: 0.16, ProxyLink: 587e3}
	return p
}

// On limited processors and links, changes are acknowledged within 4 s, and no acknowledged change is lost, after each
// of these: standbys replace members that are removed permanently, many proxies crash, members lose their disks, and all
// daemons crash at once.
func TestLargeControlPlaneRecoversOnLimitedResources(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := Start(seed, largeControlPlane())
			number := 1
			requireChange := func(when string) {
				t.Helper()
				number++
				before, began := w.checks.acknowledged, w.now
				for w.now < began+5*time.Second && w.checks.acknowledged == before && w.Failure == "" {
					if l := w.Leader(); l != nil {
						w.PutConfig(w.daemons(wire.ControlDaemon)[w.random.IntN(len(w.daemonNames(wire.ControlDaemon)))], w.Revision(), number)
					}
					w.runUntil(4*time.Second, func() bool { return w.checks.acknowledged > before })
				}
				if w.checks.acknowledged == before || w.now > began+4*time.Second {
					t.Errorf("seed %d, %s: a change took %v, want an acknowledgement within 4s\n%s", seed, when, w.now-began, w.Trace(40))
				}
				t.Logf("seed %d, %s: a change took %v", seed, when, w.now-began)
			}
			if !w.runUntil(10*time.Second, func() bool { return len(w.memberNames()) == 7 && leasedProxies(w) == 64 }) {
				t.Fatalf("seed %d: after 10 s: members %v, want 7; %d of 64 proxies hold a lease, want all\n%s", seed, w.memberNames(), leasedProxies(w), w.Trace(40))
			}
			requireChange("without a fault")
			for i, planned := range []bool{true, false} {
				old := w.Leader()
				name := fmt.Sprintf("n%d", i)
				startStandby := func() {
					w.addAndStart(wire.ControlDaemon, name, domainIndex(old.domain))
				}
				if planned {
					startStandby()
					w.Run(w.now + time.Second)
					w.stopProcess(old)
					w.Run(w.now + 2*time.Second)
				} else {
					w.schedule(1400*time.Millisecond, startStandby)
				}
				w.Kill(old)
				w.forgetMachine(old)
				w.Run(w.now + 3*time.Second)
				requireChange("after a leader was removed permanently")
			}
			crashed := w.daemonNames(wire.ProxyDaemon)[:30]
			for _, g := range crashed {
				w.Kill(w.process(g))
			}
			w.Run(w.now + 2*time.Second)
			for _, g := range crashed {
				w.Restart(w.process(g))
			}
			if w.Run(w.now + 4*time.Second); leasedProxies(w) < 64 {
				t.Errorf("seed %d: %d of 64 proxies hold a lease 4 s after 30 of them were restarted, want all", seed, leasedProxies(w))
			}
			requireChange("after 30 proxies were restarted")
			for _, m := range w.memberNames()[:2] {
				w.Kill(w.process(m))
				w.WipeDisk(w.process(m))
			}
			w.Run(w.now + 1500*time.Millisecond)
			for _, p := range w.daemons(wire.ControlDaemon) {
				w.Restart(p)
			}
			w.Run(w.now + 6*time.Second)
			requireChange("after two disks were lost")
			for _, p := range w.fleet() {
				w.Kill(p)
			}
			w.Run(w.now + 1500*time.Millisecond)
			for _, p := range w.fleet() {
				w.Restart(p)
			}
			restartedAt := w.now
			if !w.AwaitServing(15 * time.Second) {
				t.Errorf("seed %d: not serving 15 s after all daemons were restarted: %s", seed, w.describeDaemons())
			}
			t.Logf("seed %d: serving %v after all daemons were restarted", seed, w.now-restartedAt)
			w.Run(w.now + 3*time.Second)
			requireChange("after all daemons were lost")
			requireNoFailure(t, w)
		})
	}
}
