// This file holds the faults of core members: kills, losses of power, freezes, disks
// and cuts.

package simulator

import (
	"myrtlefold/internal/shared/wire"
	"time"
)

// coreFaults are the faults of core members.
var coreFaults = []Fault{
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
			for _, n := range w.all(wire.ControlDaemon) {
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
		for _, n := range w.all(wire.ControlDaemon) {
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
			w.StallDisk(p, w.ms(300, 5000))
		}
	}},
	{"follower's disk stalls", func(w *World) {
		if p := w.mayHurtCore(); p != nil && p != w.Leader() {
			w.StallDisk(p, w.ms(300, 5000))
		}
	}},
	{"a majority's disks stall", func(w *World) {
		if w.mayHurtCore() == nil {
			return
		}
		for _, n := range w.all(wire.ControlDaemon)[1:] {
			w.StallDisk(w.procs[n], w.ms(300, 3000))
		}
	}},
	{"core split", func(w *World) {
		cs := w.all(wire.ControlDaemon)
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
		for _, g := range w.all(wire.ProxyDaemon) {
			if some && w.rnd.IntN(2) == 0 {
				continue
			}
			for _, c := range w.all(wire.ControlDaemon) {
				ks = append(ks, both(c, g)...)
			}
		}
		w.cutFor(ks, w.ms(1000, 6000))
	}},
	{"core connections reset", func(w *World) {
		for range 3 {
			w.at(w.ms(0, 1000), func() {
				w.log("reset the connections of all core members")
				for _, n := range w.all(wire.ControlDaemon) {
					w.resetLinks(w.procs[n])
				}
			})
		}
	}},
	{"core machine slow", func(w *World) {
		if p := w.pick(wire.ControlDaemon, true); p != nil {
			w.slowDown(p, 5, w.ms(2000, 10000))
		}
	}},
	{"leader's machine slow", func(w *World) {
		if p := w.Leader(); p != nil {
			w.slowDown(p, 5, w.ms(2000, 10000))
		}
	}},
	{"core disk slow", func(w *World) {
		if p := w.pick(wire.ControlDaemon, true); p != nil {
			w.slowDisk(p, 30, w.ms(2000, 10000))
		}
	}},
	{"leader's disk slow", func(w *World) {
		if p := w.Leader(); p != nil {
			w.slowDisk(p, 30, w.ms(2000, 10000))
		}
	}},
	{"core disk full", func(w *World) {
		if p := w.mayHurtCore(); p != nil {
			w.fillDisk(p, w.ms(1000, 6000))
		}
	}},
	{"core frozen by twos and threes", func(w *World) {
		for _, p := range w.twoOrThreeCores() {
			w.Freeze(p, w.ms(300, 20000))
		}
	}},
	{"core hurt by twos and threes", func(w *World) {
		for _, p := range w.twoOrThreeCores() {
			w.at(w.ms(0, 1500), func() { w.hurtCore(p) })
		}
	}},
	{"core machine replaced for good", func(w *World) { w.replaceOne(false) }},
	{"core machine replaced by plan", func(w *World) { w.replaceOne(true) }},
}

// twoOrThreeCores are two or three living core members.
func (w *World) twoOrThreeCores() []*Process {
	var l []*Process
	for _, n := range w.all(wire.ControlDaemon) {
		if p := w.procs[n]; p.alive && !p.frozen {
			l = append(l, p)
		}
	}
	w.rnd.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(len(l), 2+w.rnd.IntN(2))]
}

// hurtCore brings one trouble about, of any kind that ends by itself.
func (w *World) hurtCore(p *Process) {
	if !p.alive {
		return
	}
	d := w.ms(500, 8000)
	switch w.rnd.IntN(7) {
	case 0:
		w.Freeze(p, d)
	case 1:
		w.StallDisk(p, d)
	case 2:
		w.slowDisk(p, 30, d)
	case 3:
		w.slowDown(p, 5, d)
	case 4:
		w.resetLinks(p)
	case 5:
		w.isolate([]string{p.name}, d, true, w.rnd.IntN(2) == 0)
	default:
		w.Kill(p)
		w.at(d/2, func() { w.Restart(p) })
	}
}
