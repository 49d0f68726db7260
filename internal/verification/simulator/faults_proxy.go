// This file holds the faults of proxies.

package simulator

import (
	"fmt"
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
	"slices"
	"time"
)

// proxyFaults are the faults of proxies: kills, freezes, cuts and planned stops.
var proxyFaults = []Fault{
	{"gate killed", func(w *World) {
		if p := w.pick(wire.ProxyDaemon, true); p != nil {
			w.Kill(p)
			w.at(w.ms(200, 6000), func() { w.Restart(p) })
		}
	}},
	{"gate herd killed", func(w *World) {
		d := w.ms(200, 3000)
		for _, n := range w.all(wire.ProxyDaemon) {
			if p := w.procs[n]; p.alive && w.rnd.IntN(3) > 0 {
				w.Kill(p)
				w.at(d, func() { w.Restart(p) })
			}
		}
	}},
	{"gate added, another gone for good", func(w *World) {
		if len(w.all(wire.ProxyDaemon)) > w.Plan.Proxies+2 {
			return
		}
		w.log("a proxy is added")
		w.addProc(wire.ProxyDaemon, fmt.Sprintf("g%d", 10+len(w.names)), w.rnd.IntN(w.Plan.Domains))
		w.start(w.procs[w.names[len(w.names)-1]])
		p := w.pick(wire.ProxyDaemon, false)
		if p == nil {
			p = w.pick(wire.ProxyDaemon, true)
		}
		w.Kill(p)
		forget := func() {
			if l := w.Leader(); l != nil && !p.alive {
				w.call(l, "POST", "/v1/gates/"+p.name+"/forget", "", nil, "", func(statemachine.Reply) {})
			}
		}
		w.at(3*time.Second, forget)
	}},
	{"gate frozen", func(w *World) {
		if p := w.pick(wire.ProxyDaemon, true); p != nil {
			w.Freeze(p, w.ms(300, 5000))
		}
	}},
	{"gate frozen with work in hand", func(w *World) {
		p := w.pick(wire.ProxyDaemon, true)
		if p == nil || p.frozen {
			return
		}
		for i := range 4 * len(w.Plan.Services) { // chosen, and not yet written
			w.requestAt(p, slices.Sorted(maps.Keys(w.Plan.Services))[i%len(w.Plan.Services)], i%2 == 0, 9)
		}
		w.Freeze(p, w.ms(300, 8000))
		if t := w.pickTarget(); t != nil && w.spare(t.service) > 2 {
			w.DrainTarget(t, func() { w.replace(t, w.ms(100, 3000), 0) })
		}
	}},
	{"gate isolated", func(w *World) {
		if p := w.pick(wire.ProxyDaemon, true); p != nil {
			w.isolate([]string{p.name}, w.ms(500, 6000), true, true)
		}
	}},
	{"gate cut one way", func(w *World) {
		if p := w.pick(wire.ProxyDaemon, true); p != nil {
			out := w.rnd.IntN(2) == 0
			w.isolate([]string{p.name}, w.ms(500, 6000), out, !out)
		}
	}},
	{"gate restarted", func(w *World) {
		if p := w.pick(wire.ProxyDaemon, true); p != nil {
			w.log("stop %s", p.name)
			w.bounce(p, 7*time.Second)
		}
	}},
	{"connections reset", func(w *World) {
		for range 1 + w.rnd.IntN(3) {
			w.at(w.ms(0, 3000), func() {
				for _, n := range w.all(wire.ProxyDaemon) {
					if p := w.procs[n]; p.alive && !p.frozen {
						w.resetConnections(p, []float64{0.5, 1}[w.rnd.IntN(2)])
					}
				}
			})
		}
	}},
	{"callers leave", func(w *World) {
		for i := range 10 {
			w.at(time.Duration(i)*200*time.Millisecond, func() {
				for _, n := range w.all(wire.ProxyDaemon) {
					w.callersLeave(w.procs[n], 0.3, &w.Stats.Canceled)
				}
			})
		}
	}},
	{"gate slow", func(w *World) {
		if p := w.pick(wire.ProxyDaemon, true); p != nil {
			w.slowDown(p, 5, w.ms(2000, 10000))
		}
	}},
}
