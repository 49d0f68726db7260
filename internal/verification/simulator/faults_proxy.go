package simulator

import (
	"fmt"
	"time"

	"myrtlefold/internal/shared/wire"
)

// proxyFaults are the faults of proxies: kills, replacements, freezes, partitions, graceful restarts, resets and slowness.
var proxyFaults = []Fault{
	{"proxy killed", func(w *World) {
		if p := w.pickProcess(wire.ProxyDaemon, true); p != nil {
			w.killAndRestart(p, 200, 6000)
		}
	}},
	{"most proxies killed", func(w *World) {
		span := w.randomMilliseconds(200, 3000)
		for _, p := range w.daemons(wire.ProxyDaemon) {
			if p.alive && w.random.IntN(3) > 0 {
				w.Kill(p)
				w.restartLater(p, span)
			}
		}
	}},
	{"proxy added, another lost permanently", (*World).replaceProxy},
	{"proxy frozen", func(w *World) {
		if p := w.pickProcess(wire.ProxyDaemon, true); p != nil {
			w.Freeze(p, w.randomMilliseconds(300, 5000))
		}
	}},
	{"proxy frozen before writing requests", (*World).freezeBusyProxy},
	{"proxy isolated", func(w *World) {
		if p := w.pickProcess(wire.ProxyDaemon, true); p != nil {
			w.isolate([]string{p.name}, w.randomMilliseconds(500, 6000), true, true)
		}
	}},
	{"proxy isolated in one direction", func(w *World) {
		if p := w.pickProcess(wire.ProxyDaemon, true); p != nil {
			outbound := w.random.IntN(2) == 0
			w.isolate([]string{p.name}, w.randomMilliseconds(500, 6000), outbound, !outbound)
		}
	}},
	{"proxy restarted gracefully", func(w *World) {
		if p := w.pickProcess(wire.ProxyDaemon, true); p != nil {
			w.logf("stop %s", p.name)
			w.restartGracefully(p, 7*time.Second)
		}
	}},
	{"connections reset", func(w *World) {
		for range 1 + w.random.IntN(3) {
			w.schedule(w.randomMilliseconds(0, 3000), func() {
				for _, p := range w.daemons(wire.ProxyDaemon) {
					if p.alive && !p.frozen {
						w.resetConnections(p, []float64{0.5, 1}[w.random.IntN(2)])
					}
				}
			})
		}
	}},
	{"callers cancel requests", func(w *World) {
		for i := range 10 {
			w.schedule(time.Duration(i)*200*time.Millisecond, func() {
				for _, p := range w.daemons(wire.ProxyDaemon) {
					w.cancelRequests(p, 0.3, &w.Stats.Canceled)
				}
			})
		}
	}},
	{"proxy slow", func(w *World) {
		if p := w.pickProcess(wire.ProxyDaemon, true); p != nil {
			w.slowProcess(p, slowMachineFactor, w.randomMilliseconds(2000, 10000))
		}
	}},
}

// proxiesLeave is the fault that any number of proxies but one leave as planned, in turn or together, and return much later.
var proxiesLeave = Fault{"proxies leave", func(w *World) {
	w.loseProxies(func(p *Process) {
		w.logf("stop %s", p.name)
		w.stopProcess(p)
	})
}}

// proxiesCrash is the same for proxies that crash.
var proxiesCrash = Fault{"proxies crash and stay away", func(w *World) { w.loseProxies(w.Kill) }}

// loseProxies ends any number of proxies but one, in turn or together, and restarts each after a while.
func (w *World) loseProxies(end func(p *Process)) {
	proxies := w.daemons(wire.ProxyDaemon)
	w.random.Shuffle(len(proxies), func(i, j int) { proxies[i], proxies[j] = proxies[j], proxies[i] })
	gap := w.randomMilliseconds(0, 2000)
	for i, p := range proxies[:1+w.random.IntN(len(proxies)-1)] {
		w.schedule(time.Duration(i)*gap, func() {
			if p.alive && !p.stopping {
				end(p)
				w.restartLater(p, w.randomMilliseconds(2000, 15000))
			}
		})
	}
}

// replaceProxy adds a proxy and kills another one, which never restarts. An operator then asks the leader to forget it.
func (w *World) replaceProxy() {
	if len(w.daemonNames(wire.ProxyDaemon)) > w.Plan.Proxies+2 {
		return
	}
	w.logf("add a proxy and remove another")
	w.addAndStart(wire.ProxyDaemon, fmt.Sprintf("g%d", 10+len(w.processes.names)), w.random.IntN(w.Plan.Domains))
	old := w.pickProcess(wire.ProxyDaemon, false)
	if old == nil {
		old = w.pickProcess(wire.ProxyDaemon, true)
	}
	w.Kill(old)
	w.schedule(3*time.Second, func() {
		if leader := w.Leader(); leader != nil && !old.alive {
			w.call(leader, "POST", "/v1/gates/"+old.name+"/forget", "", nil, "", w.ignoreReply)
		}
	})
}

// freezeBusyProxy freezes a proxy that has chosen targets for requests but hasn't written them yet, and drains a target
// meanwhile.
func (w *World) freezeBusyProxy() {
	p := w.pickProcess(wire.ProxyDaemon, true)
	if p == nil || p.frozen {
		return
	}
	services := w.services()
	for i := range 4 * len(services) {
		w.sendRequestTo(p, services[i%len(services)], i%2 == 0, maxResubmissions)
	}
	w.Freeze(p, w.randomMilliseconds(300, 8000))
	if t := w.pickTarget(); t != nil && w.usableTargets(t.service) > 2 {
		w.DrainTarget(t, func() { w.restartTarget(t, w.randomMilliseconds(100, 3000), 0) })
	}
}
