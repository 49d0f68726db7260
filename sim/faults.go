// This file holds the faults of the brief and the days that are made of them: a
// day draws faults by its seed, lets them overlap, heals all, and then wants
// service back and everything acknowledged still in force.
package sim

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"myrtlefold/core"
	"myrtlefold/model"
	"myrtlefold/proxy"
)

// Fault is one kind of trouble; Do starts it and makes sure that it ends.
type Fault struct {
	Name string
	Do   func(w *World)
}

// usualPause is how long after a core machine's return or start the next may be lost,
// where the plan does not say.
const usualPause = 8 * time.Second

// lossPause is how long after a core machine's return or start the next may be lost.
func (w *World) lossPause() time.Duration { return cmp.Or(w.Plan.CatchUp, usualPause) }

// mayHurtCore picks a member whose loss leaves a sound majority, or none.
func (w *World) mayHurtCore() *Proc {
	var up []*Proc
	if w.replacing > 0 || w.replaced > 0 && w.now < w.coreCutUntil+w.lossPause() {
		return nil // machines that are cut off count as lost, and one that is gone can't come back instead
	}
	for _, n := range w.names {
		p := w.procs[n]
		if p.kind != "core" {
			continue
		}
		if !p.alive || p.frozen || p.disk.stalled || w.now-p.since < w.lossPause() {
			return nil // one at a time: the others are the majority
		}
		up = append(up, p)
	}
	return up[w.rnd.IntN(len(up))]
}

func (w *World) isolate(names []string, d time.Duration, out, in bool) {
	w.log("cut off %v for %v (out %v, in %v)", names, d, out, in)
	var ks [][2]string
	others := slices.Clone(w.names)
	for _, t := range w.targets {
		others = append(others, t.name)
	}
	for _, a := range names {
		for _, b := range others {
			if !slices.Contains(names, b) {
				if out {
					ks = append(ks, [2]string{a, b})
				}
				if in {
					ks = append(ks, [2]string{b, a})
				}
			}
		}
	}
	w.cutFor(ks, d)
}

func (w *World) cutFor(ks [][2]string, d time.Duration) {
	for _, k := range ks {
		w.cut[k] = true
		if a, b := w.procs[k[0]], w.procs[k[1]]; a != nil && b != nil && a.core != nil && b.core != nil {
			w.coreCutUntil = max(w.coreCutUntil, w.now+d)
		}
	}
	w.at(d, func() {
		for _, k := range ks {
			delete(w.cut, k)
		}
	})
}

// cutDomain parts a domain's machines from all others; within it they talk on.
func (w *World) cutDomain(dom string, d time.Duration) {
	var in []string
	for _, n := range w.names {
		if w.procs[n].domain == dom {
			in = append(in, n)
		}
	}
	for _, t := range w.targets {
		if t.domain == dom {
			in = append(in, t.name)
		}
	}
	w.isolate(in, d, true, true)
}

func both(a, b string) [][2]string { return [][2]string{{a, b}, {b, a}} }

func (w *World) all(kind string) []string {
	return slices.DeleteFunc(slices.Clone(w.names), func(n string) bool { return w.procs[n].kind != kind })
}

func (w *World) replace(t *Target, after time.Duration, warm time.Duration) {
	w.at(after, func() {
		if w.listen[t.addr] == nil {
			w.log("start %s/%s again", t.service, t.name)
			w.AddTarget(t.service, t.name, t.domain, t.addr, warm)
		}
	})
}

func (w *World) domain() string { return fmt.Sprintf("d%d", 1+w.rnd.IntN(w.Plan.Domains)) }

// spare keeps a fault from taking a service's last targets: what must never
// happen is still checked then, but the day has to leave something to serve.
func (w *World) spare(svc string) int {
	n := 0
	for _, t := range w.targets {
		if t.alive && t.service == svc && t.state != model.Leaving && !t.hang {
			n++
		}
	}
	return n
}

// roll restarts a service, one target at a time.
func (w *World) roll() {
	svcs := slices.Sorted(maps.Keys(w.Plan.Services))
	svc := svcs[w.rnd.IntN(len(svcs))]
	w.log("roll %s", svc)
	var l []*Target
	for _, t := range w.targets {
		if t.alive && t.service == svc && t.state != model.Leaving {
			l = append(l, t)
		}
	}
	var next func(i int)
	next = func(i int) {
		if i >= len(l) || !l[i].alive {
			return
		}
		w.Leave(l[i], func() {
			w.AddTarget(svc, l[i].name, l[i].domain, l[i].addr, 500*time.Millisecond)
			w.at(1200*time.Millisecond, func() { next(i + 1) })
		})
	}
	next(0)
}

// Faults are all kinds, by name.
var Faults = []Fault{
	{"target crash", func(w *World) {
		if t := w.pickTarget(); t != nil && w.spare(t.service) > 1 {
			w.Crash(t)
			w.replace(t, w.ms(500, 8000), w.ms(0, 3000))
		}
	}},
	{"target vanishes", func(w *World) {
		if t := w.pickTarget(); t != nil && w.spare(t.service) > 2 {
			w.Crash(t)
		}
	}},
	{"target hangs", func(w *World) {
		if t := w.pickTarget(); t != nil && w.spare(t.service) > 1 {
			w.log("hang %s/%s", t.service, t.name)
			t.hang = true
			w.at(w.ms(1000, 8000), func() { t.hang = false })
		}
	}},
	{"target loses answers", func(w *World) {
		if t := w.pickTarget(); t != nil {
			w.log("%s/%s loses answers", t.service, t.name)
			t.lose = true
			w.at(w.ms(1000, 5000), func() { t.lose = false })
		}
	}},
	{"service loses answers", func(w *World) {
		svcs := slices.Sorted(maps.Keys(w.Plan.Services))
		svc, d := svcs[w.rnd.IntN(len(svcs))], w.ms(2000, 9000)
		w.log("all of %s loses answers", svc)
		for _, t := range w.targets {
			if t.alive && t.service == svc {
				t.lose = true
				w.at(d, func() { t.lose = false })
			}
		}
	}},
	{"service slow", func(w *World) {
		svcs := slices.Sorted(maps.Keys(w.Plan.Services))
		svc, d := svcs[w.rnd.IntN(len(svcs))], w.ms(2000, 9000)
		w.log("all of %s is slow", svc)
		for _, t := range w.targets {
			if t.alive && t.service == svc {
				t.work = w.ms(300, 900)
				w.at(d, func() { t.work = t.usual })
			}
		}
	}},
	{"service comes back cold", func(w *World) {
		svcs := slices.Sorted(maps.Keys(w.Plan.Services))
		svc := svcs[w.rnd.IntN(len(svcs))]
		w.log("all of %s restarts cold", svc)
		for _, t := range slices.Clone(w.targets) {
			if t.alive && t.service == svc {
				w.Crash(t)
				w.at(w.ms(300, 600), func() {
					if w.listen[t.addr] == nil {
						n := w.AddTarget(t.service, t.name, t.domain, t.addr, w.ms(2000, 4000))
						n.work = w.ms(200, 600)
						w.at(5*time.Second, func() { n.work = n.usual })
					}
				})
			}
		}
	}},
	{"target leaves", func(w *World) {
		if t := w.pickTarget(); t != nil && w.spare(t.service) > 1 {
			w.Leave(t, func() { w.replace(t, w.ms(100, 3000), w.ms(0, 3000)) })
		}
	}},
	{"target turns cold", func(w *World) {
		if t := w.pickTarget(); t != nil && w.Plan.ColdPerS > 0 {
			w.log("%s/%s is cold", t.service, t.name)
			t.coldTill = w.now + 2*coldSpan
			t.number++
			w.beat(t, 0)
		}
	}},
	{"service rolled", (*World).roll},
	{"address handed over", func(w *World) {
		t := w.pickTarget()
		if t == nil || w.spare(t.service) < 3 {
			return
		}
		svcs := slices.Sorted(maps.Keys(w.Plan.Services))
		other := svcs[(slices.Index(svcs, t.service)+1)%len(svcs)]
		if g := w.pick("gate", true); g != nil { // it still reaches the targets, and so who listens there next
			var ks [][2]string
			for _, n := range w.names {
				ks = append(ks, both(g.name, n)...)
			}
			w.log("cut %s off from all daemons", g.name)
			w.cutFor(ks, w.ms(2000, 6000))
		}
		w.Crash(t)
		after := w.ms(20, 1500)
		if w.rnd.IntN(2) == 0 { // before any proxy has met the closed port and leaves it out
			after = w.ms(1, 30)
		}
		w.at(after, func() {
			if w.listen[t.addr] == nil {
				w.log("%s goes from %s/%s to %s", t.addr, t.service, t.name, other)
				w.AddTarget(other, fmt.Sprintf("%s-x%d", other, len(w.targets)), t.domain, t.addr, 0)
			}
		})
	}},
	{"service removed, its addresses handed over", func(w *World) {
		svcs := slices.Sorted(maps.Keys(w.Plan.Services))
		i := w.rnd.IntN(len(svcs))
		gone, other := svcs[i], svcs[(i+1)%len(svcs)]
		if w.removing || w.Leader() == nil {
			return
		}
		w.removing = true
		g := w.pick("gate", true)
		w.log("empty and remove %s, hand its addresses to %s", gone, other)
		var homes []*Target
		for _, t := range slices.Clone(w.targets) {
			if t.alive && t.service == gone && t.state != model.Leaving {
				homes = append(homes, t)
				w.Leave(t, func() {
					w.at(w.ms(0, 300), func() {
						if w.listen[t.addr] == nil {
							w.AddTarget(other, "at-"+t.name, t.domain, t.addr, 0)
						}
					})
				})
			}
		}
		if g != nil {
			w.at(time.Second, func() { w.isolate([]string{g.name}, w.ms(3000, 6000), true, true) })
		}
		put := func(services []string) {
			if l := w.Leader(); l != nil {
				b := w.Revision()
				w.Change(l, "PUT", "/v1/config", fmt.Sprintf("base=%d", b), w.DocOf(w.rnd.IntN(1000), 40, services), &change{what: "config", base: b})
			}
		}
		w.at(2*time.Second, func() { put([]string{other}) })
		w.at(7*time.Second, func() {
			w.log("%s comes back elsewhere", gone)
			for k, t := range homes {
				w.AddTarget(gone, t.name, t.domain, fmt.Sprintf("10.2.%d.%d:80", len(w.targets), k+1), 0)
			}
			w.at(time.Second, func() { put(svcs); w.removing = false })
		})
	}},
	{"gate killed", func(w *World) {
		if p := w.pick("gate", true); p != nil {
			w.Kill(p)
			w.at(w.ms(200, 6000), func() { w.Restart(p) })
		}
	}},
	{"gate herd killed", func(w *World) {
		d := w.ms(200, 3000)
		for _, n := range w.all("gate") {
			if p := w.procs[n]; p.alive && w.rnd.IntN(3) > 0 {
				w.Kill(p)
				w.at(d, func() { w.Restart(p) })
			}
		}
	}},
	{"gate added, another gone for good", func(w *World) {
		if len(w.all("gate")) > w.Plan.Gates+2 {
			return
		}
		w.log("a proxy is added")
		w.addProc("gate", fmt.Sprintf("g%d", 10+len(w.names)), w.rnd.IntN(w.Plan.Domains))
		w.start(w.procs[w.names[len(w.names)-1]])
		p := w.pick("gate", false)
		if p == nil {
			p = w.pick("gate", true)
		}
		w.Kill(p)
		var forget func()
		forget = func() {
			if l := w.Leader(); l != nil && !p.alive {
				w.call(l, "POST", "/v1/gates/"+p.name+"/forget", "", nil, "", func(core.Reply) {})
			}
		}
		w.at(3*time.Second, forget)
	}},
	{"gate frozen", func(w *World) {
		if p := w.pick("gate", true); p != nil {
			w.Freeze(p, w.ms(300, 5000))
		}
	}},
	{"gate frozen with work in hand", func(w *World) {
		p := w.pick("gate", true)
		if p == nil || p.frozen {
			return
		}
		for i := range 4 * len(w.Plan.Services) { // chosen, and not yet written
			w.requestAt(p, slices.Sorted(maps.Keys(w.Plan.Services))[i%len(w.Plan.Services)], i%2 == 0, 9)
		}
		w.Freeze(p, w.ms(300, 8000))
		if t := w.pickTarget(); t != nil && w.spare(t.service) > 2 {
			w.Leave(t, func() { w.replace(t, w.ms(100, 3000), 0) })
		}
	}},
	{"gate isolated", func(w *World) {
		if p := w.pick("gate", true); p != nil {
			w.isolate([]string{p.name}, w.ms(500, 6000), true, true)
		}
	}},
	{"gate cut one way", func(w *World) {
		if p := w.pick("gate", true); p != nil {
			out := w.rnd.IntN(2) == 0
			w.isolate([]string{p.name}, w.ms(500, 6000), out, !out)
		}
	}},
	{"gate restarted", func(w *World) {
		if p := w.pick("gate", true); p != nil {
			w.log("stop %s", p.name)
			w.bounce(p, 7*time.Second)
		}
	}},
	{"core killed", func(w *World) {
		if p := w.mayHurtCore(); p != nil {
			w.Kill(p)
			w.at(w.ms(200, 4000), func() { w.Restart(p) })
		}
	}},
	{"core herd killed", func(w *World) {
		if w.mayHurtCore() == nil {
			return
		}
		if l := w.Leader(); l != nil && w.rnd.IntN(2) == 0 {
			w.PutConfig(l, w.Revision(), w.docNumber())
		}
		w.at(w.ms(0, 20), func() {
			for _, n := range w.all("core") {
				p := w.procs[n]
				w.Kill(p)
				w.at(w.ms(200, 2000), func() { w.Restart(p) })
			}
		})
	}},
	{"core gone for long, service rolled", func(w *World) {
		if w.mayHurtCore() == nil {
			return
		}
		for _, n := range w.all("core") {
			p := w.procs[n]
			w.Kill(p)
			w.at(w.ms(9000, 20000), func() { w.Restart(p) })
		}
		w.at(time.Second, w.roll)
	}},
	{"power fails everywhere", func(w *World) {
		if w.mayHurtCore() == nil {
			return
		}
		if l := w.Leader(); l != nil {
			w.PutConfig(l, w.Revision(), w.docNumber())
		}
		w.at(w.ms(0, 20), func() {
			w.log("power fails everywhere")
			for _, n := range w.names {
				p := w.procs[n]
				w.Kill(p)
				w.at(w.ms(200, 2000), func() { w.Restart(p) })
			}
		})
	}},
	{"leader killed", func(w *World) {
		if p := w.Leader(); p != nil && w.mayHurtCore() != nil {
			w.Kill(p)
			w.at(w.ms(200, 4000), func() { w.Restart(p) })
		}
	}},
	{"core loses disk", func(w *World) {
		if p := w.mayHurtCore(); p != nil {
			w.Kill(p)
			w.WipeDisk(p)
			w.at(w.ms(200, 3000), func() { w.Restart(p) })
		}
	}},
	{"leader stopped", func(w *World) {
		if p := w.Leader(); p != nil && w.mayHurtCore() != nil {
			w.log("stop %s", p.name)
			w.stop(p)
			w.at(3*time.Second, func() { w.Kill(p); w.Restart(p) })
		}
	}},
	{"leader frozen", func(w *World) {
		if p := w.Leader(); p != nil && w.mayHurtCore() != nil {
			w.Freeze(p, w.ms(300, 5000))
		}
	}},
	{"leader's disk stalls", func(w *World) {
		if p := w.Leader(); p != nil && w.mayHurtCore() != nil {
			w.Stall(p, w.ms(300, 5000))
		}
	}},
	{"follower's disk stalls", func(w *World) {
		if p := w.mayHurtCore(); p != nil && p != w.Leader() {
			w.Stall(p, w.ms(300, 5000))
		}
	}},
	{"a majority's disks stall", func(w *World) {
		if w.mayHurtCore() == nil {
			return
		}
		for _, n := range w.all("core")[1:] {
			w.Stall(w.procs[n], w.ms(300, 3000))
		}
	}},
	{"core split", func(w *World) {
		cs := w.all("core")
		w.rnd.Shuffle(len(cs), func(i, j int) { cs[i], cs[j] = cs[j], cs[i] })
		var ks [][2]string
		for _, a := range cs[:len(cs)/2] {
			for _, b := range cs[len(cs)/2:] {
				ks = append(ks, both(a, b)...)
			}
		}
		w.log("split core %v", cs[:len(cs)/2])
		w.cutFor(ks, w.ms(500, 6000))
	}},
	{"leader isolated", func(w *World) {
		if p := w.Leader(); p != nil {
			w.isolate([]string{p.name}, w.ms(500, 5000), true, w.rnd.IntN(2) == 0)
		}
	}},
	{"leader cut off from targets", func(w *World) {
		if p := w.Leader(); p != nil {
			w.log("cut %s off from targets", p.name)
			var ks [][2]string
			for _, t := range w.targets {
				if w.rnd.IntN(2) == 0 {
					ks = append(ks, both(p.name, t.name)...)
				}
			}
			w.cutFor(ks, w.ms(1000, 6000))
		}
	}},
	{"core cut off from proxies", func(w *World) {
		some := w.rnd.IntN(2) == 0
		w.log("cut core off from proxies, some %v", some)
		var ks [][2]string
		for _, g := range w.all("gate") {
			if some && w.rnd.IntN(2) == 0 {
				continue
			}
			for _, c := range w.all("core") {
				ks = append(ks, both(c, g)...)
			}
		}
		w.cutFor(ks, w.ms(1000, 6000))
	}},
	{"domain cut off", func(w *World) {
		dom := w.domain()
		w.log("domain %s cut off", dom)
		w.cutDomain(dom, w.ms(3000, 30000))
	}},
	{"late words", func(w *World) {
		for range 6 {
			t := w.targets[w.rnd.IntN(len(w.targets))]
			if p := w.pick([]string{"core", "gate"}[w.rnd.IntN(2)], true); p != nil && !t.alive {
				state := []string{model.Ready, model.Warming}[w.rnd.IntN(2)]
				w.at(w.ms(0, 3000), func() { w.say(p, t, state) })
			}
		}
	}},
	{"target moves", func(w *World) {
		if t := w.pickTarget(); t != nil && w.spare(t.service) > 1 {
			w.Crash(t)
			w.at(w.ms(0, 1500), func() {
				w.log("%s/%s starts elsewhere", t.service, t.name)
				w.AddTarget(t.service, t.name, t.domain, fmt.Sprintf("10.3.0.%d:80", len(w.targets)), w.ms(0, 1000))
			})
		}
	}},
	{"domain loses power", func(w *World) {
		if w.mayHurtCore() == nil {
			return
		}
		dom := w.domain()
		w.log("domain %s loses power", dom)
		d := w.ms(500, 6000)
		for _, n := range w.names {
			if p := w.procs[n]; p.domain == dom && p.alive {
				w.Kill(p)
				w.at(d, func() { w.Restart(p) })
			}
		}
		for _, t := range slices.Clone(w.targets) {
			if t.alive && t.domain == dom {
				w.Crash(t)
				w.replace(t, d+w.ms(0, 500), w.ms(0, 1000))
			}
		}
	}},
	{"net loses and delays", func(w *World) {
		w.log("loss and delay")
		w.loss, w.delay, w.late = 0.05, 30*time.Millisecond, 0.03
		w.at(w.ms(1000, 5000), func() { w.loss, w.delay, w.late = 0, time.Millisecond, 0 })
	}},
	{"config", func(w *World) {
		if p := w.pick("core", true); p != nil {
			w.PutConfig(p, w.Revision(), w.docNumber())
		}
	}},
	{"config patch", func(w *World) {
		if p := w.pick("core", true); p != nil {
			b := w.Revision()
			doc := fmt.Sprintf(`{"services":{"%s":{"timeout_ms":%d}}}`, slices.Sorted(maps.Keys(w.Plan.Services))[0], 1000+w.rnd.IntN(1000))
			w.Change(p, "PATCH", "/v1/config", fmt.Sprintf("base=%d", b), []byte(doc), &change{what: "config", base: b})
		}
	}},
	{"config rolled back", func(w *World) {
		if p := w.pick("core", true); p != nil {
			b := w.Revision()
			w.Change(p, "POST", "/v1/config/rollback", fmt.Sprintf("base=%d&to=%d", b, max(1, b-1)), nil, &change{what: "config", base: b})
		}
	}},
	{"policy replaced", func(w *World) {
		b, p := w.Revision(), w.pick("core", true)
		if p == nil {
			return
		}
		doc := []string{`{"slice":"probe","when":"misses_in_row >= 2","clear":"ok_in_row >= 1","decide":"bar","ttl_ms":30000,"note":"anew"}`,
			`{"slice":"probe","when":"misses_in_row >= 2 && missed >= 2","clear":"ok_in_row >= 1","decide":"bar","ttl_ms":20000}`}[w.rnd.IntN(2)]
		w.Change(p, "PUT", "/v1/policies/default", fmt.Sprintf("base=%d", b), []byte(doc), &change{what: "config", base: b})
		w.at(200*time.Millisecond, func() {
			if p := w.pick("core", true); p != nil {
				b := w.Revision()
				w.Change(p, "PUT", "/v1/policies/flap", fmt.Sprintf("base=%d", b), []byte(`{"slice":"probe","when":"flaps > 8","decide":"bar","ttl_ms":5000,"mode":"shadow"}`), &change{what: "config", base: b})
			}
		})
	}},
	{"core machine replaced for good", func(w *World) { w.replaceOne(false) }},
	{"core machine replaced by plan", func(w *World) { w.replaceOne(true) }},
	{"member swapped", func(w *World) {
		old := w.mayHurtCore()
		if old == nil || w.swapping || w.Leader() == nil {
			return
		}
		w.swapping = true
		name := fmt.Sprintf("c%d", 20+len(w.names))
		w.addProc("core", name, w.rnd.IntN(w.Plan.Domains))
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
			w.call(l, "POST", "/v1/core/"+name+"/"+what, "", nil, "", func(r core.Reply) {
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
		for i, n := range w.all("core") {
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
		for _, n := range w.all("gate") {
			p := w.procs[n]
			w.Kill(p)
			w.at(w.ms(100, 1000), func() { w.Restart(p) })
		}
	}},
	{"config burst", func(w *World) {
		for i := range 4 {
			w.at(time.Duration(i)*40*time.Millisecond, func() {
				if p := w.pick("core", true); p != nil {
					w.PutConfig(p, w.Revision(), w.docNumber())
				}
			})
		}
	}},
	{"config pair", func(w *World) {
		b := w.Revision()
		for range 2 {
			if p := w.pick("core", true); p != nil {
				w.PutConfig(p, b, w.docNumber())
			}
		}
	}},
	{"config invalid", func(w *World) {
		if p := w.pick("core", true); p != nil {
			w.Change(p, "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), []byte(`{"services":{"fares":{"cap":0}},"junk":1}`), &change{what: "invalid"})
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
		p := w.pick("core", true)
		if p == nil {
			return
		}
		dom := w.domain()
		if slices.ContainsFunc(w.changes, func(c *change) bool { return c.empty != "" && w.now-c.at < 12*time.Second }) {
			return
		}
		w.Change(p, "POST", "/v1/domains/"+dom+"/empty", "", nil, &change{what: "empty " + dom, empty: dom})
		w.at(w.ms(3000, 8000), func() { w.restore(dom) })
	}},
}

// restore is asked for until it is granted.
func (w *World) restore(dom string) {
	p := w.pick("core", true)
	if p == nil {
		w.at(time.Second, func() { w.restore(dom) })
		return
	}
	c := &change{what: "restore " + dom, empty: dom}
	w.Change(p, "POST", "/v1/domains/"+dom+"/restore", "", nil, c)
	for _, t := range w.targets { // nothing came there meanwhile
		if t.alive && t.domain == dom && w.Plan.ColdPerS > 0 && t.coldTill <= w.now {
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

// stop is the polite signal.
func (w *World) stop(p *Proc) {
	w.Stats.Stops++
	if w.sabotage == "stop" && p.gate != nil {
		w.exec(p, core.Exit{})
		return
	}
	w.deliver(p, stopEvent)
}

// bounce stops a process politely, then hard if it is still there, and starts it again.
func (w *World) bounce(p *Proc, after time.Duration) {
	gen := p.gen
	w.stop(p)
	w.at(after, func() {
		if p.gen == gen {
			w.Kill(p)
			w.Restart(p)
		}
	})
}

// ByName finds a fault.
func ByName(name string) (Fault, bool) {
	i := slices.IndexFunc(Faults, func(f Fault) bool { return strings.EqualFold(f.Name, name) })
	if i < 0 {
		return Fault{}, false
	}
	return Faults[i], true
}

// Start founds the fleet and puts a first configuration in force.
func Start(seed uint64, p Plan) *World {
	w := New(seed, p)
	if !w.Run(5 * time.Second) {
		return w
	}
	for w.Leader() == nil && w.now < 10*time.Second && w.Fail == "" {
		w.Run(w.now + 100*time.Millisecond) // a split vote costs an election more
	}
	l := w.Leader()
	if l == nil {
		w.broken("start", "no leader after 10 s")
		return w
	}
	w.PutConfig(l, 0, 1)
	if !w.Settle(3*time.Second) && w.Fail == "" {
		w.broken("start", "not serving 3 s after the first configuration")
	}
	w.Callers()
	return w
}

// Day runs a seed: so many faults drawn from kinds (all if none is named) over
// a span, then healing, then the last checks.
func Day(seed uint64, p Plan, kinds []Fault, faults int, span time.Duration) *World {
	return day(seed, p, kinds, faults, span, func(*World) {})
}

func day(seed uint64, p Plan, kinds []Fault, faults int, span time.Duration, prepare func(*World)) *World {
	w := Start(seed, p)
	if w.Fail != "" {
		return w
	}
	prepare(w)
	if len(kinds) == 0 {
		kinds = Faults
	}
	begin := w.now
	for i := range faults {
		f := kinds[w.rnd.IntN(len(kinds))]
		if len(kinds) == faults {
			f = kinds[i]
		}
		w.at(time.Duration(w.rnd.Int64N(int64(span))), func() {
			w.log("fault: %s", f.Name)
			f.Do(w)
		})
	}
	if !w.Run(begin + span + 9*time.Second) {
		return w
	}
	w.Heal()
	w.Back(15 * time.Second)
	w.Finish()
	return w
}

// Heal ends all that may still be wrong.
func (w *World) Heal() {
	w.log("heal")
	clear(w.cut)
	if l := w.Leader(); l != nil { // a service may have been left out
		w.PutConfig(l, w.Revision(), w.docNumber())
	} else {
		w.at(4*time.Second, func() {
			if l := w.Leader(); l != nil {
				w.PutConfig(l, w.Revision(), w.docNumber())
			}
		})
	}
	w.loss, w.delay, w.late = 0, time.Millisecond, 0
	for _, n := range w.names {
		if p := w.procs[n]; !p.alive {
			w.Restart(p)
		}
	}
	for _, t := range w.targets {
		t.hang, t.lose, t.work = false, false, t.usual
	}
}

// Back wants service within d.
func (w *World) Back(d time.Duration) {
	from := w.now
	if !w.Settle(d) && w.Fail == "" {
		w.broken("back in 15 s", "not serving %v after healing: %s", d, w.why())
	}
	for w.Fail == "" && w.missing() != "" {
		if w.now-from > d {
			w.broken("capacity back", "%s not served %v after healing", w.missing(), d)
		}
		w.Run(w.now + 100*time.Millisecond)
	}
	w.Stats.Back = w.now - from
}

// missing names a target that lives and is ready, and that the leader's table does
// not offer. Of two that claim one name, one is enough.
func (w *World) missing() string {
	for _, t := range w.targets {
		if t.alive && t.state == model.Ready && w.listen[t.addr] == t && !w.served(t) &&
			!slices.ContainsFunc(w.targets, func(o *Target) bool { return o.service == t.service && o.name == t.name && w.served(o) }) {
			return t.service + "/" + t.name
		}
	}
	return ""
}

// served says whether the leader's table offers a target.
func (w *World) served(t *Target) bool {
	l := w.Leader()
	if l == nil || l.core.Table() == nil {
		return false
	}
	for _, x := range l.core.Table().Targets {
		if x.Service == t.service && x.Name == t.name && x.Inc == t.inc {
			return !x.Held && !x.Pending && x.BarLeft == 0
		}
	}
	return false
}

func (w *World) why() string {
	var b strings.Builder
	for _, n := range w.names {
		p := w.procs[n]
		if p.core != nil {
			s := p.core.Status(p.local())
			fmt.Fprintf(&b, "%s %s %s epoch %d term %d; ", n, s.Role, s.Lead, s.Epoch, s.Term)
		} else {
			fmt.Fprintf(&b, "%s %s; ", n, p.gate.State())
		}
	}
	return b.String()
}

// Finish lets the last changes end, then makes the checks that look back.
func (w *World) Finish() {
	if w.Fail != "" {
		return
	}
	from := w.now
	w.Run(w.now + 8*time.Second)
	if w.Fail == "" && w.ServedBetween(from, w.now) < int(w.Plan.Rate*8*0.7) {
		w.broken("serving again", "%d exchanges served in the 8 s after healing", w.ServedBetween(from, w.now))
	}
	w.quiet = true
	w.Run(w.now + 3*time.Second)
	w.CheckState()
	w.CheckBudget()
	for _, n := range w.names {
		if p := w.procs[n]; w.Fail == "" && p.gate != nil && p.alive && p.gate.State() == proxy.Granted && p.gate.InFlight() > 0 {
			w.broken("forgotten exchange", "%s still counts %d in flight", n, p.gate.InFlight())
		}
	}
}
