// This file holds the faults of domains and of the network between them.

package simulator

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/shared/wire"
)

// networkFaults are the faults of domains and links, and of messages that come late.
var networkFaults = []Fault{
	{"domain cut off", func(w *World) {
		dom := w.domain()
		w.log("domain %s cut off", dom)
		w.cutDomain(dom, w.ms(3000, 30000))
	}},
	{"late words", func(w *World) {
		for range 6 {
			t := w.targets[w.rnd.IntN(len(w.targets))]
			if p := w.pick([]wire.DaemonKind{wire.ControlDaemon, wire.ProxyDaemon}[w.rnd.IntN(2)], true); p != nil && !t.alive {
				state := []wire.TargetState{wire.TargetReady, wire.TargetWarming}[w.rnd.IntN(2)]
				w.at(w.ms(0, 3000), func() { w.say(p, t, state) })
			}
		}
	}},
	{"target moves", func(w *World) {
		if t := w.pickTarget(); t != nil && w.spare(t.service) > 1 {
			w.CrashTarget(t)
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
				w.CrashTarget(t)
				w.replace(t, d+w.ms(0, 500), w.ms(0, 1000))
			}
		}
	}},
	{"net loses and delays", func(w *World) {
		w.log("loss and delay")
		w.loss, w.delay, w.late = 0.05, 30*time.Millisecond, 0.03
		w.at(w.ms(1000, 5000), func() { w.loss, w.delay, w.late = 0, time.Millisecond, 0 })
	}},
}
