// This file holds the faults of targets: crashes, hangs, lost answers, planned
// leavings, and addresses that go to another service.

package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/wire"
)

// targetFaults are the faults of targets and of whole services.
var targetFaults = []Fault{
	{"target crash", func(w *World) {
		if t := w.pickTarget(); t != nil && w.spare(t.service) > 1 {
			w.CrashTarget(t)
			w.replace(t, w.ms(500, 8000), w.ms(0, 3000))
		}
	}},
	{"target vanishes", func(w *World) {
		if t := w.pickTarget(); t != nil && w.spare(t.service) > 2 {
			w.CrashTarget(t)
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
				w.CrashTarget(t)
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
			w.DrainTarget(t, func() { w.replace(t, w.ms(100, 3000), w.ms(0, 3000)) })
		}
	}},
	{"target turns cold", func(w *World) {
		if t := w.pickTarget(); t != nil && w.Plan.WarmupRate > 0 {
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
		if g := w.pick(wire.ProxyDaemon, true); g != nil { // it still reaches the targets, and so who listens there next
			var ks [][2]string
			for _, n := range w.names {
				ks = append(ks, both(g.name, n)...)
			}
			w.log("cut %s off from all daemons", g.name)
			w.cutFor(ks, w.ms(2000, 6000))
		}
		w.CrashTarget(t)
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
		g := w.pick(wire.ProxyDaemon, true)
		w.log("empty and remove %s, hand its addresses to %s", gone, other)
		var homes []*Target
		for _, t := range slices.Clone(w.targets) {
			if t.alive && t.service == gone && t.state != wire.TargetLeaving {
				homes = append(homes, t)
				w.DrainTarget(t, func() {
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
				w.SendChange(l, "PUT", "/v1/config", fmt.Sprintf("base=%d", b), w.DocumentFor(w.rnd.IntN(1000), 40, services), &change{what: "config", base: b})
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
	{"targets send surplus answers", func(w *World) {
		d := w.ms(3000, 12000)
		w.log("all targets send surplus answers for %v", d)
		for _, t := range w.targets {
			t.surplus = t.alive
			w.at(d, func() { t.surplus = false })
		}
	}},
}

func (w *World) replace(t *Target, after time.Duration, warm time.Duration) {
	w.at(after, func() {
		if w.listen[t.addr] == nil {
			w.log("start %s/%s again", t.service, t.name)
			w.AddTarget(t.service, t.name, t.domain, t.addr, warm)
		}
	})
}

// spare keeps a fault from taking a service's last targets: what must never
// happen is still checked then, but the day has to leave something to serve.
func (w *World) spare(svc string) int {
	n := 0
	for _, t := range w.targets {
		if t.alive && t.service == svc && t.state != wire.TargetLeaving && !t.hang {
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
		if t.alive && t.service == svc && t.state != wire.TargetLeaving {
			l = append(l, t)
		}
	}
	var next func(i int)
	next = func(i int) {
		if i >= len(l) || !l[i].alive {
			return
		}
		w.DrainTarget(l[i], func() {
			w.AddTarget(svc, l[i].name, l[i].domain, l[i].addr, 500*time.Millisecond)
			w.at(1200*time.Millisecond, func() { next(i + 1) })
		})
	}
	next(0)
}
