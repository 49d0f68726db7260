package simulator

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/shared/wire"
)

// targetFaults are the faults of single targets and of whole services.
var targetFaults = []Fault{
	{"target crash", func(w *World) {
		if t := w.pickTarget(); t != nil && w.usableTargets(t.service) > 1 {
			w.CrashTarget(t)
			w.restartTarget(t, w.randomMilliseconds(500, 8000), w.randomMilliseconds(0, 3000))
		}
	}},
	{"target crash without restart", func(w *World) {
		if t := w.pickTarget(); t != nil && w.usableTargets(t.service) > 2 {
			w.CrashTarget(t)
		}
	}},
	{"target hangs", func(w *World) {
		if t := w.pickTarget(); t != nil && w.usableTargets(t.service) > 1 {
			w.logf("%s hangs", t.fullName())
			t.hanging = true
			w.schedule(w.randomMilliseconds(1000, 8000), func() { t.hanging = false })
		}
	}},
	{"target loses responses", func(w *World) {
		if t := w.pickTarget(); t != nil {
			w.logf("%s loses responses", t.fullName())
			t.losesResponses = true
			w.schedule(w.randomMilliseconds(1000, 5000), func() { t.losesResponses = false })
		}
	}},
	{"service loses responses", func(w *World) {
		service, span := w.randomService(), w.randomMilliseconds(2000, 9000)
		w.logf("all targets of %s lose responses", service)
		for _, t := range w.targets.of(service) {
			t.losesResponses = true
			w.schedule(span, func() { t.losesResponses = false })
		}
	}},
	{"service slow", func(w *World) {
		service, span := w.randomService(), w.randomMilliseconds(2000, 9000)
		w.logf("all targets of %s are slow", service)
		for _, t := range w.targets.of(service) {
			t.serviceTime = w.randomMilliseconds(300, 900)
			w.schedule(span, func() { t.serviceTime = t.usualServiceTime })
		}
	}},
	{"service restarts and warms up", (*World).restartService},
	{"target drained", func(w *World) {
		if t := w.pickTarget(); t != nil && w.usableTargets(t.service) > 1 {
			w.DrainTarget(t, func() { w.restartTarget(t, w.randomMilliseconds(100, 3000), w.randomMilliseconds(0, 3000)) })
		}
	}},
	{"target warms up again", func(w *World) {
		if t := w.pickTarget(); t != nil && w.Plan.WarmupRate > 0 {
			w.logf("%s warms up again", t.fullName())
			w.warmUpAgain(t)
		}
	}},
	{"rolling restart of a service", (*World).rollingRestart},
	{"address reassigned", (*World).reassignAddress},
	{"service removed, its addresses reassigned", (*World).removeService},
	{"targets send surplus responses", func(w *World) {
		span := w.randomMilliseconds(3000, 12000)
		w.logf("all targets send surplus responses for %v", span)
		for _, t := range w.targets.all {
			t.sendsSurplus = t.alive
			w.schedule(span, func() { t.sendsSurplus = false })
		}
	}},
}

// of returns the running targets of a service.
func (t *targets) of(service string) (running []*Target) {
	for _, target := range t.all {
		if target.alive && target.service == service {
			running = append(running, target)
		}
	}
	return running
}

// restartService crashes all targets of a service and restarts them in state warming, with a longer service time at first.
func (w *World) restartService() {
	service := w.randomService()
	w.logf("all targets of %s restart and warm up", service)
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

// rollingRestart restarts the targets of a service one after another.
func (w *World) rollingRestart() {
	service := w.randomService()
	w.logf("rolling restart of %s", service)
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

// reassignAddress crashes a target and starts a target of another service at its address. Meanwhile a proxy is partitioned from
// all daemons, but not from the targets, so it may connect to the new target at the old address.
func (w *World) reassignAddress() {
	t := w.pickTarget()
	if t == nil || w.usableTargets(t.service) < 3 {
		return
	}
	services := w.services()
	successor := services[(slices.Index(services, t.service)+1)%len(services)]
	if proxy := w.pickProcess(wire.ProxyDaemon, true); proxy != nil {
		var links []link
		for _, name := range w.processes.names {
			links = append(links, bothDirections(proxy.name, name)...)
		}
		w.logf("partition %s from all daemons", proxy.name)
		w.partition(links, w.randomMilliseconds(2000, 6000))
	}
	w.CrashTarget(t)
	pause := w.randomMilliseconds(20, 1500)
	if w.random.IntN(2) == 0 { // before a proxy finds the port closed and stops using it
		pause = w.randomMilliseconds(1, 30)
	}
	w.schedule(pause, func() {
		if w.targets.listening[t.address] == nil {
			w.logf("address %s is reassigned from %s to %s", t.address, t.fullName(), successor)
			w.AddTarget(successor, fmt.Sprintf("%s-x%d", successor, len(w.targets.all)), t.domain, t.address, 0)
		}
	})
}

// removeService drains all targets of a service and starts targets of another service at their addresses. An operator removes the
// service from the configuration. Later the service is added again with other addresses. A proxy is isolated meanwhile.
func (w *World) removeService() {
	services := w.services()
	i := w.random.IntN(len(services))
	removed, successor := services[i], services[(i+1)%len(services)]
	if w.targets.removingService || w.Leader() == nil {
		return
	}
	w.targets.removingService = true
	proxy := w.pickProcess(wire.ProxyDaemon, true)
	w.logf("remove service %s and reassign its addresses to %s", removed, successor)
	drained := w.drainServiceFor(removed, successor)
	if proxy != nil {
		w.schedule(time.Second, func() { w.isolate([]string{proxy.name}, w.randomMilliseconds(3000, 6000), true, true) })
	}
	w.schedule(2*time.Second, func() { w.putServices([]string{successor}) })
	w.schedule(7*time.Second, func() {
		w.logf("service %s returns at other addresses", removed)
		for k, t := range drained {
			w.AddTarget(removed, t.name, t.domain, fmt.Sprintf("10.2.%d.%d:80", len(w.targets.all), k+1), 0)
		}
		w.schedule(time.Second, func() {
			w.putServices(services)
			w.targets.removingService = false
		})
	})
}

// drainServiceFor drains all targets of a service and starts a target of the successor service at each of their addresses. It
// returns the drained targets.
func (w *World) drainServiceFor(service, successor string) []*Target {
	old := slices.DeleteFunc(w.targets.of(service), func(t *Target) bool { return !t.takesRequests() })
	for _, t := range old {
		w.DrainTarget(t, func() {
			w.schedule(w.randomMilliseconds(0, 300), func() {
				if w.targets.listening[t.address] == nil {
					w.AddTarget(successor, "at-"+t.name, t.domain, t.address, 0)
				}
			})
		})
	}
	return old
}

// putServices lets an operator put a configuration with only the given services.
func (w *World) putServices(services []string) {
	if leader := w.Leader(); leader != nil {
		base := w.Revision()
		document := w.DocumentFor(w.random.IntN(1000), defaultConcurrencyLimit, services)
		w.SendChange(leader, "PUT", "/v1/config", fmt.Sprintf("base=%d", base), document, configChange(base))
	}
}
