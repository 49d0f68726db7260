package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// Requirements of the users' deployments while there are no faults.
const (
	maxDomainChangeTime = time.Second            // longest time until emptying or restoring a domain is acknowledged
	minReadyEighths     = 7                      // a proxy must be ready in at least this many eighths of the samples
	sampleInterval      = 100 * time.Millisecond // time between two samples
)

// faultFreePlans returns the plans of fleets that run without faults, by name: the small one, one with many proxies, and one
// with standbys.
func faultFreePlans() map[string]Plan {
	many := Small
	many.Proxies, many.Rate = 69, 20
	standbys := bootstrapPlan(11, 3)
	standbys.Proxies = 24
	return map[string]Plan{"small": Small, "69 proxies": many, "11 control machines": standbys}
}

// Without faults, any control daemon acknowledges within a second that a domain is emptied or restored, also while
// another domain is empty already.
func TestDomainIsEmptiedWithinASecond(t *testing.T) {
	t.Parallel()
	for name, plan := range faultFreePlans() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := Start(5, plan)
			w.Run(w.now + 6*time.Second)
			daemons := w.daemonNames(wire.ControlDaemon)
			slowest := time.Duration(0)
			for i, call := range []string{"d1/empty", "d2/empty", "d1/restore", "d1/empty", "d2/restore", "d1/restore"} {
				from, took := w.now, time.Duration(0)
				w.call(w.process(daemons[i%len(daemons)]), "POST", "/v1/domains/"+call, "", nil, fmt.Sprintf("call-%d", i), func(r statemachine.Reply) {
					if r.Status == 200 {
						took = w.now - from
					}
				})
				w.Run(w.now + 2*time.Second)
				if took == 0 || took > maxDomainChangeTime {
					t.Errorf("%s at %s: acknowledged after %v (0s: never), want at most %v", call, daemons[i%len(daemons)], took, maxDomainChangeTime)
				}
				slowest = max(slowest, took)
			}
			t.Logf("the slowest domain change was acknowledged after %v", slowest)
			requireNoFailure(t, w)
		})
	}
}

// Without faults, proxies report that they are ready while configurations change.
func TestProxiesAreReadyDuringChanges(t *testing.T) {
	t.Parallel()
	for name, plan := range faultFreePlans() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := Start(6, plan)
			w.Run(w.now + 6*time.Second)
			ready, samples := map[string]int{}, 0
			for ; samples < 200; samples++ {
				if samples%40 == 0 {
					w.PutConfig(w.Leader(), w.Revision(), 3+samples/40)
				}
				w.Run(w.now + sampleInterval)
				for _, name := range w.daemonNames(wire.ProxyDaemon) {
					if w.process(name).proxy.Ready() {
						ready[name]++
					}
				}
			}
			for _, name := range w.daemonNames(wire.ProxyDaemon) {
				if 8*ready[name] < minReadyEighths*samples {
					t.Errorf("proxy %s was ready in %d of %d samples, want at least %d eighths of them", name, ready[name], samples, minReadyEighths)
				}
			}
			requireNoFailure(t, w)
		})
	}
}

// A service that a later configuration adds back is served as well as one that was configured all the time.
func TestServiceAddedLaterIsServed(t *testing.T) {
	t.Parallel()
	w := Start(8, Small)
	w.Run(w.now + 5*time.Second)
	services := []string{"fares", "pay"}
	r, _ := w.callAndWait(t, w.Leader(), "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), string(w.DocumentFor(3, 40, services[:1])), "")
	if r.Status != 200 {
		t.Fatalf("the configuration was rejected: %d %s, want 200", r.Status, r.Body)
	}
	w.Run(w.now + 3*time.Second)
	if r, _ = w.callAndWait(t, w.Leader(), "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), string(w.DocumentFor(4, 40, services)), ""); r.Status != 200 {
		t.Fatalf("the configuration was rejected: %d %s, want 200", r.Status, r.Body)
	}
	w.Run(w.now + 2*time.Second)
	available, samples := map[string]int{}, map[string]int{}
	for range 20 {
		w.Run(w.now + 500*time.Millisecond)
		for _, p := range w.daemons(wire.ProxyDaemon) {
			table := p.proxy.Table()
			if table == nil {
				continue
			}
			for _, svc := range services {
				samples[svc]++
				if slices.ContainsFunc(table.Targets, func(x wire.Target) bool { return x.Service == svc && !x.Draining && x.EjectedBy == "" && !x.Pending }) {
					available[svc]++
				}
			}
		}
	}
	for _, svc := range services {
		if samples[svc] == 0 || available[svc]*10 < samples[svc]*9 {
			t.Errorf("service %s had an available target in %d of %d samples of proxies' tables, want at least 90 %%", svc, available[svc], samples[svc])
		}
	}
	requireNoFailure(t, w)
}
