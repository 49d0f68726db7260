// This file holds what operators do during a day: changes, races, members swapped,
// machines restarted in turn, domains emptied and restored.

package simulator

import (
	"fmt"
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
	"slices"
	"time"
)

// operatorFaults are operators' changes, planned work, and the faults that meet them.
var operatorFaults = []Fault{
	{"config", func(w *World) {
		if p := w.pick(wire.ControlDaemon, true); p != nil {
			w.PutConfig(p, w.Revision(), w.docNumber())
		}
	}},
	{"config patch", func(w *World) {
		if p := w.pick(wire.ControlDaemon, true); p != nil {
			b := w.Revision()
			doc := fmt.Sprintf(`{"services":{"%s":{"timeout_ms":%d}}}`, slices.Sorted(maps.Keys(w.Plan.Services))[0], 1000+w.rnd.IntN(1000))
			w.SendChange(p, "PATCH", "/v1/config", fmt.Sprintf("base=%d", b), []byte(doc), &change{what: "config", base: b})
		}
	}},
	{"config rolled back", func(w *World) {
		if p := w.pick(wire.ControlDaemon, true); p != nil {
			b := w.Revision()
			w.SendChange(p, "POST", "/v1/config/rollback", fmt.Sprintf("base=%d&to=%d", b, max(1, b-1)), nil, &change{what: "config", base: b})
		}
	}},
	{"policy replaced", func(w *World) {
		b, p := w.Revision(), w.pick(wire.ControlDaemon, true)
		if p == nil {
			return
		}
		doc := []string{`{"slice":"probe","when":"misses_in_row >= 2","clear":"ok_in_row >= 1","decide":"bar","ttl_ms":30000,"note":"anew"}`,
			`{"slice":"probe","when":"misses_in_row >= 2 && missed >= 2","clear":"ok_in_row >= 1","decide":"bar","ttl_ms":20000}`}[w.rnd.IntN(2)]
		w.SendChange(p, "PUT", "/v1/policies/default", fmt.Sprintf("base=%d", b), []byte(doc), &change{what: "config", base: b})
		w.at(200*time.Millisecond, func() {
			if p := w.pick(wire.ControlDaemon, true); p != nil {
				b := w.Revision()
				w.SendChange(p, "PUT", "/v1/policies/flap", fmt.Sprintf("base=%d", b), []byte(`{"slice":"probe","when":"flaps > 8","decide":"bar","ttl_ms":5000,"mode":"shadow"}`), &change{what: "config", base: b})
			}
		})
	}},
	{"member swapped", func(w *World) {
		old := w.mayHurtCore()
		if old == nil || w.swapping || w.Leader() == nil {
			return
		}
		w.swapping = true
		name := fmt.Sprintf("c%d", 20+len(w.names))
		w.addProc(wire.ControlDaemon, name, w.rnd.IntN(w.Plan.Domains))
		w.start(w.procs[name])
		w.log("%s is swapped for %s", old.name, name)
		var ask func(what, name string, left int, then func())
		ask = func(what, name string, left int, then func()) {
			l := w.Leader()
			if l == nil || left == 0 {
				if left > 0 {
					w.at(500*time.Millisecond, func() { ask(what, name, left-1, then) })
				}
				return
			}
			w.call(l, "POST", "/v1/core/"+name+"/"+what, "", nil, "", func(r statemachine.Reply) {
				if r.Status == 200 || r.Status == 409 && what == "add" {
					then()
				} else {
					w.at(500*time.Millisecond, func() { ask(what, name, left-1, then) })
				}
			})
		}
		w.at(time.Second, func() {
			ask("add", name, 30, func() {
				ask("remove", old.name, 30, func() {
					w.log("%s is out", old.name)
					w.Kill(old)
					w.names = slices.DeleteFunc(w.names, func(n string) bool { return n == old.name })
				})
			})
		})
	}},
	{"machines restarted in turn", func(w *World) {
		if w.mayHurtCore() == nil {
			return
		}
		w.log("core machines restart in turn")
		for i, n := range w.all(wire.ControlDaemon) {
			p := w.procs[n]
			w.at(time.Duration(i)*8500*time.Millisecond, func() {
				if w.mayHurtCore() == nil {
					return
				}
				w.bounce(p, 1500*time.Millisecond)
			})
		}
	}},
	{"all proxies forget", func(w *World) {
		w.log("all proxies are killed at once")
		for _, n := range w.all(wire.ProxyDaemon) {
			p := w.procs[n]
			w.Kill(p)
			w.at(w.ms(100, 1000), func() { w.Restart(p) })
		}
	}},
	{"config burst", func(w *World) {
		for i := range 4 {
			w.at(time.Duration(i)*40*time.Millisecond, func() {
				if p := w.pick(wire.ControlDaemon, true); p != nil {
					w.PutConfig(p, w.Revision(), w.docNumber())
				}
			})
		}
	}},
	{"config pair", func(w *World) {
		b := w.Revision()
		for range 2 {
			if p := w.pick(wire.ControlDaemon, true); p != nil {
				w.PutConfig(p, b, w.docNumber())
			}
		}
	}},
	{"config invalid", func(w *World) {
		if p := w.pick(wire.ControlDaemon, true); p != nil {
			w.SendChange(p, "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), []byte(`{"services":{"fares":{"cap":0}},"junk":1}`), &change{what: "invalid"})
		}
	}},
	{"config and leader killed", func(w *World) {
		p := w.Leader()
		if p == nil || w.mayHurtCore() == nil {
			return
		}
		w.PutConfig(p, w.Revision(), w.docNumber())
		w.at(w.ms(0, 30), func() {
			if w.mayHurtCore() != nil {
				w.Kill(p)
				w.at(w.ms(200, 4000), func() { w.Restart(p) })
			}
		})
	}},
	{"domain emptied and restored", func(w *World) {
		p := w.pick(wire.ControlDaemon, true)
		if p == nil {
			return
		}
		dom := w.domain()
		if slices.ContainsFunc(w.changes, func(c *change) bool { return c.empty != "" && w.now-c.at < 12*time.Second }) {
			return
		}
		w.SendChange(p, "POST", "/v1/domains/"+dom+"/empty", "", nil, &change{what: "empty " + dom, empty: dom})
		w.at(w.ms(3000, 8000), func() { w.restore(dom) })
	}},
	{"storm of changes", func(w *World) { w.ordersInARow(stormEvery, w.ms(2000, 6000)) }},
	{"answers to changes lost", func(w *World) { w.loseAnswers(w.ms(2000, 6000)) }},
	{"eight orders at once", func(w *World) { w.ordersTogether() }},
}

// restore is asked for until it is granted.
func (w *World) restore(dom string) {
	p := w.pick(wire.ControlDaemon, true)
	if p == nil {
		w.at(time.Second, func() { w.restore(dom) })
		return
	}
	c := &change{what: "restore " + dom, empty: dom}
	w.SendChange(p, "POST", "/v1/domains/"+dom+"/restore", "", nil, c)
	for _, t := range w.targets { // nothing came there meanwhile
		if t.alive && t.domain == dom && w.Plan.WarmupRate > 0 && t.coldTill <= w.now {
			t.coldTill = w.now + 2*coldSpan
			t.number++
			w.beat(t, 0)
		}
	}
	w.at(7*time.Second, func() {
		if c.state != "accepted" {
			w.restore(dom)
		}
	})
}
