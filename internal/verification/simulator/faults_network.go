package simulator

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/shared/wire"
)

// networkFaults are the faults of domains, links and delayed messages, and targets that move to another address.
var networkFaults = []Fault{
	{"domain isolated", func(w *World) {
		domain := w.randomDomain()
		w.logf("isolate domain %s", domain)
		w.isolateDomain(domain, w.randomMilliseconds(3000, 30000))
	}},
	{"stale target reports", (*World).sendStaleReports},
	{"target moves to another address", func(w *World) {
		if t := w.pickTarget(); t != nil && w.usableTargets(t.service) > 1 {
			w.CrashTarget(t)
			w.schedule(w.randomMilliseconds(0, 1500), func() {
				w.logf("start %s at another address", t.fullName())
				w.AddTarget(t.service, t.name, t.domain, fmt.Sprintf("10.3.0.%d:80", len(w.targets.all)), w.randomMilliseconds(0, 1000))
			})
		}
	}},
	{"power failure of a domain", (*World).cutPowerOfDomain},
	{"network loses and delays messages", func(w *World) {
		w.logf("network loses and delays messages")
		w.degradeNetwork(0.05, 30*time.Millisecond, 0.03)
		w.schedule(w.randomMilliseconds(1000, 5000), w.restoreNetwork)
	}},
}

// sendStaleReports sends daemons late reports of targets that have ended.
func (w *World) sendStaleReports() {
	kinds := []wire.DaemonKind{wire.ControlDaemon, wire.ProxyDaemon}
	states := []wire.TargetState{wire.TargetReady, wire.TargetWarming}
	for range 6 {
		t := w.targets.all[w.random.IntN(len(w.targets.all))]
		if p := w.pickProcess(kinds[w.random.IntN(2)], true); p != nil && !t.alive {
			state := states[w.random.IntN(2)]
			w.schedule(w.randomMilliseconds(0, 3000), func() { w.reportTarget(p, t, state) })
		}
	}
}

// cutPowerOfDomain kills all processes and targets of a domain and restarts them later.
func (w *World) cutPowerOfDomain() {
	if w.expendableControlDaemon() == nil {
		return
	}
	domain := w.randomDomain()
	w.logf("power failure in domain %s", domain)
	span := w.randomMilliseconds(500, 6000)
	for _, p := range w.fleet() {
		if p.domain == domain && p.alive {
			w.Kill(p)
			w.restartLater(p, span)
		}
	}
	for _, t := range slices.Clone(w.targets.all) {
		if t.alive && t.domain == domain {
			w.CrashTarget(t)
			w.restartTarget(t, span+w.randomMilliseconds(0, 500), w.randomMilliseconds(0, 1000))
		}
	}
}
