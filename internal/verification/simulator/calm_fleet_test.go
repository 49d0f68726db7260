package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// Bounds of the users' platform on operators' work in calm times.
const (
	calmEvacuation = time.Second            // an emptying or restoring is acknowledged within it
	readyEighths   = 7                      // of eight samples, at which a connected proxy reports that it is ready
	sampleInterval = 100 * time.Millisecond // between two samples
)

// calmSizes are fleets without faults, the small one and one of many proxies.
func calmSizes() map[string]Plan {
	many := Small
	many.Proxies, many.Rate = 69, 20
	spares := bootstrapPlan(11, 3)
	spares.Proxies = 24
	return map[string]Plan{"small": Small, "69 proxies": many, "11 core machines": spares}
}

// In a calm fleet an emptied domain is acknowledged within a second by any control daemon,
// and so is one that is restored, also while another is already empty.
func TestDomainIsEmptiedWithinASecond(t *testing.T) {
	t.Parallel()
	for name, plan := range calmSizes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := Start(5, plan)
			w.Run(w.now + 6*time.Second)
			cores := w.daemonNames(wire.ControlDaemon)
			slowest := time.Duration(0)
			for i, call := range []string{"d1/empty", "d2/empty", "d1/restore", "d1/empty", "d2/restore", "d1/restore"} {
				from, took := w.now, time.Duration(0)
				w.call(w.process(cores[i%len(cores)]), "POST", "/v1/domains/"+call, "", nil, fmt.Sprintf("calm-%d", i), func(r statemachine.Reply) {
					if r.Status == 200 {
						took = w.now - from
					}
				})
				w.Run(w.now + 2*time.Second)
				if took == 0 || took > calmEvacuation {
					t.Errorf("%s at %s: acknowledged after %v", call, cores[i%len(cores)], took)
				}
				slowest = max(slowest, took)
			}
			t.Logf("the slowest took %v", slowest)
			requireNoFailure(t, w)
		})
	}
}

// In calm times proxies report that they are ready, whatever is configured meanwhile.
func TestProxiesAreReadyDuringChanges(t *testing.T) {
	t.Parallel()
	for name, plan := range calmSizes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := Start(6, plan)
			w.Run(w.now + 6*time.Second)
			ready, looks := map[string]int{}, 0
			for ; looks < 200; looks++ {
				if looks%40 == 0 {
					w.PutConfig(w.Leader(), w.Revision(), 3+looks/40)
				}
				w.Run(w.now + sampleInterval)
				for _, g := range w.daemonNames(wire.ProxyDaemon) {
					if w.process(g).proxy.Ready() {
						ready[g]++
					}
				}
			}
			for _, g := range w.daemonNames(wire.ProxyDaemon) {
				if 8*ready[g] < readyEighths*looks {
					t.Errorf("%s was ready at %d of %d looks", g, ready[g], looks)
				}
			}
			requireNoFailure(t, w)
		})
	}
}

// A service that a later configuration adds is served as one that was there from the beginning.
func TestLaterServicesAreServedAlike(t *testing.T) {
	t.Parallel()
	w := Start(8, Small)
	w.Run(w.now + 5*time.Second)
	first := []string{"fares", "pay"}
	without := first[:1]
	r, _ := w.callAndWait(t, w.Leader(), "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), string(w.DocumentFor(3, 40, without)), "")
	if r.Status != 200 {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
	w.Run(w.now + 3*time.Second)
	if r, _ = w.callAndWait(t, w.Leader(), "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), string(w.DocumentFor(4, 40, first)), ""); r.Status != 200 {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
	w.Run(w.now + 2*time.Second)
	served, asked := map[string]int{}, map[string]int{}
	for range 20 {
		w.Run(w.now + 500*time.Millisecond)
		for _, table := range w.daemons(wire.ProxyDaemon) {
			table := table.proxy.Table()
			if table == nil {
				continue
			}
			for _, svc := range first {
				asked[svc]++
				if slices.ContainsFunc(table.Targets, func(x wire.Target) bool { return x.Service == svc && !x.Draining && x.EjectedBy == "" && !x.Pending }) {
					served[svc]++
				}
			}
		}
	}
	for _, svc := range first {
		if asked[svc] == 0 || served[svc]*10 < asked[svc]*9 {
			t.Errorf("%s could be served at %d of %d looks", svc, served[svc], asked[svc])
		}
	}
	requireNoFailure(t, w)
}
