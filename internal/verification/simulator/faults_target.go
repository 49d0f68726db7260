package simulator

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/shared/wire"
)

// targetFaults are the faults of targets and of whole services.
var targetFaults = []Fault{
	{"target crash", func(w *World) {
		if t := w.pickTarget(); t != nil && w.usableTargets(t.service) > 1 {
			w.CrashTarget(t)
			w.restartTarget(t, w.randomMilliseconds(500, 8000), w.randomMilliseconds(0, 3000))
		}
	}},
	{"target vanishes", func(w *World) {
		if t := w.pickTarget(); t != nil && w.usableTargets(t.service) > 2 {
			w.CrashTarget(t)
		}
	}},
	{"target hangs", func(w *World) {
		if t := w.pickTarget(); t != nil && w.usableTargets(t.service) > 1 {
			w.logf("hang %s", t.fullName())
			t.hanging = true
			w.schedule(w.randomMilliseconds(1000, 8000), func() { t.hanging = false })
		}
	}},
	{"target loses answers", func(w *World) {
		if t := w.pickTarget(); t != nil {
			w.logf("%s loses answers", t.fullName())
			t.losesResponses = true
			w.schedule(w.randomMilliseconds(1000, 5000), func() { t.losesResponses = false })
		}
	}},
	{"service loses answers", func(w *World) {
		service, span := w.randomService(), w.randomMilliseconds(2000, 9000)
		w.logf("all of %s loses answers", service)
		for _, t := range w.targets.of(service) {
			t.losesResponses = true
			w.schedule(span, func() { t.losesResponses = false })
		}
	}},
	{"service slow", func(w *World) {
		service, span := w.randomService(), w.randomMilliseconds(2000, 9000)
		w.logf("all of %s is slow", service)
		for _, t := range w.targets.of(service) {
			t.serviceTime = w.randomMilliseconds(300, 900)
			w.schedule(span, func() { t.serviceTime = t.usualServiceTime })
		}
	}},
	{"service comes back cold", (*World).restartService},
	{"target leaves", func(w *World) {
		if t := w.pickTarget(); t != nil && w.usableTargets(t.service) > 1 {
			w.DrainTarget(t, func() { w.restartTarget(t, w.randomMilliseconds(100, 3000), w.randomMilliseconds(0, 3000)) })
		}
	}},
	{"target turns cold", func(w *World) {
		if t := w.pickTarget(); t != nil && w.Plan.WarmupRate > 0 {
			w.logf("%s is cold", t.fullName())
			w.warmUpAgain(t)
		}
	}},
	{"service rolled", (*World).rollService},
	{"address handed over", (*World).handAddressOver},
	{"service removed, its addresses handed over", (*World).handServiceOver},
	{"targets send surplus answers", func(w *World) {
		span := w.randomMilliseconds(3000, 12000)
		w.logf("all targets send surplus answers for %v", span)
		for _, t := range w.targets.all {
			t.sendsSurplus = t.alive
			w.schedule(span, func() { t.sendsSurplus = false })
		}
	}},
}

// of are the living targets of a service.
func (t *targets) of(service string) (living []*Target) {
	for _, target := range t.all {
		if target.alive && target.service == service {
			living = append(living, target)
		}
	}
	return living
}

// restartService crashes all targets of a service; they come back slow and in state warming.
func (w *World) restartService() {
	service := w.randomService()
	w.logf("all of %s restarts cold", service)
	for _, t := range w.targets.of(service) {
		w.CrashTarget(t)
		w.schedule(w.randomMilliseconds(300, 600), func() {
			if w.targets.listening[t.address] != nil {
				return
			}
			restarted := w.AddTarget(t.service, t.name, t.domain, t.address, w.randomMilliseconds(2000, 4000))
			restarted.serviceTime = w.randomMilliseconds(200, 600)
			w.schedule(5*time.Second, func() { restarted.serviceTime = restarted.usualServiceTime })
		})
	}
}

// rollService restarts a service, one target at a time.
func (w *World) rollService() {
	service := w.randomService()
	w.logf("roll %s", service)
	old := slices.DeleteFunc(w.targets.of(service), func(t *Target) bool { return !t.takesRequests() })
	var next func(i int)
	next = func(i int) {
		if i >= len(old) || !old[i].alive {
			return
		}
		t := old[i]
		w.DrainTarget(t, func() {
			w.AddTarget(service, t.name, t.domain, t.address, 500*time.Millisecond)
			w.schedule(1200*time.Millisecond, func() { next(i + 1) })
		})
	}
	next(0)
}

// handAddressOver crashes a target and starts one of another service at its address, while a proxy is cut off
// from all daemons: it still reaches the targets, and so who listens at the address next.
func (w *World) handAddressOver() {
	t := w.pickTarget()
	if t == nil || w.usableTargets(t.service) < 3 {
		return
	}
	services := w.services()
	heir := services[(slices.Index(services, t.service)+1)%len(services)]
	if proxy := w.pickProcess(wire.ProxyDaemon, true); proxy != nil {
		var links []link
		for _, name := range w.processes.names {
			links = append(links, bothDirections(proxy.name, name)...)
		}
		w.logf("cut %s off from all daemons", proxy.name)
		w.partition(links, w.randomMilliseconds(2000, 6000))
	}
	w.CrashTarget(t)
	pause := w.randomMilliseconds(20, 1500)
	if w.random.IntN(2) == 0 { // before any proxy has met the closed port and leaves it out
		pause = w.randomMilliseconds(1, 30)
	}
	w.schedule(pause, func() {
		if w.targets.listening[t.address] == nil {
			w.logf("%s goes from %s to %s", t.address, t.fullName(), heir)
			w.AddTarget(heir, fmt.Sprintf("%s-x%d", heir, len(w.targets.all)), t.domain, t.address, 0)
		}
	})
}

// handServiceOver drains all targets of a service, starts those of another at their addresses, and has an operator
// remove the service from the configuration; later the service comes back elsewhere. A proxy is cut off meanwhile.
func (w *World) handServiceOver() {
	services := w.services()
	i := w.random.IntN(len(services))
	removed, heir := services[i], services[(i+1)%len(services)]
	if w.targets.removingService || w.Leader() == nil {
		return
	}
	w.targets.removingService = true
	proxy := w.pickProcess(wire.ProxyDaemon, true)
	w.logf("empty and remove %s, hand its addresses to %s", removed, heir)
	drained := w.drainServiceFor(removed, heir)
	if proxy != nil {
		w.schedule(time.Second, func() { w.isolate([]string{proxy.name}, w.randomMilliseconds(3000, 6000), true, true) })
	}
	w.schedule(2*time.Second, func() { w.putServices([]string{heir}) })
	w.schedule(7*time.Second, func() {
		w.logf("%s comes back elsewhere", removed)
		for k, t := range drained {
			w.AddTarget(removed, t.name, t.domain, fmt.Sprintf("10.2.%d.%d:80", len(w.targets.all), k+1), 0)
		}
		w.schedule(time.Second, func() {
			w.putServices(services)
			w.targets.removingService = false
		})
	})
}

// drainServiceFor drains all targets of a service, and starts one of another service at the address of each.
func (w *World) drainServiceFor(service, heir string) []*Target {
	old := slices.DeleteFunc(w.targets.of(service), func(t *Target) bool { return !t.takesRequests() })
	for _, t := range old {
		w.DrainTarget(t, func() {
			w.schedule(w.randomMilliseconds(0, 300), func() {
				if w.targets.listening[t.address] == nil {
					w.AddTarget(heir, "at-"+t.name, t.domain, t.address, 0)
				}
			})
		})
	}
	return old
}

// putServices has an operator put a configuration of some services only.
func (w *World) putServices(services []string) {
	if leader := w.Leader(); leader != nil {
		base := w.Revision()
		document := w.DocumentFor(w.random.IntN(1000), usualCap, services)
		w.SendChange(leader, "PUT", "/v1/config", fmt.Sprintf("base=%d", base), document, configChange(base))
	}
}
