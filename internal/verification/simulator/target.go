package simulator

import (
	"fmt"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// targets holds the targets of the fleet.
type targets struct {
	all       []*Target          // all targets, including those that have ended
	listening map[string]*Target // running targets by address
	started   uint64             // number of targets started so far
	// removingService means that an operator is removing a service and will add it again; only one at a time does.
	removingService bool
}

func newTargets() targets { return targets{listening: map[string]*Target{}} }

// Target is one incarnation of a target. A restart creates another Target.
type Target struct {
	service, name, domain, address string
	incarnation                    uint64
	alive                          bool
	state                          wire.TargetState
	drainAcknowledgedAt            time.Duration // when a daemon first acknowledged its report that it is leaving; 0: none has
	crashedAt                      time.Duration

	// Reports.
	numbered          bool   // it sends numbered reports by PUT
	lastNumber        uint64 // number of its last report
	withoutHeartbeats bool   // it sends no heartbeats, but serves and answers health checks

	// Service.
	serviceTime, usualServiceTime time.Duration
	inFlight                      []*request
	resetsWhenFull                bool // when full it resets connections instead of responding

	// Faults.
	hanging             bool // it sends nothing, including responses
	losesResponses      bool
	sendsSurplus        bool // it sends responses that belong to no request
	fails               bool // it responds with server errors
	ignoresHealthChecks bool // it doesn't respond to health checks, but serves and sends heartbeats

	// Warm-up.
	warmingUntil             time.Duration
	acknowledgedWarmingUntil time.Duration   // end of the warm-up that a daemon has acknowledged
	warmupEnforcedFrom       time.Duration   // from when on the warm-up rate is checked
	recentArrivals           []time.Duration // arrival times of requests in the last second of the warm-up
}

// DefaultSlots is the number of slots that targets with numbered reports report if the plan has none.
const DefaultSlots = 16

const (
	// warmupTime is how long a target warms up after a start during traffic, if the plan has a warm-up rate.
	warmupTime = 3 * time.Second
	// warmupEnforcedAfter is the maximum time from the acknowledgement of a target's report until all proxies respect its
	// warm-up rate. It is the same bound as for everything else that targets report.
	warmupEnforcedAfter = 2 * time.Second
	// warmingConcurrency is the maximum number of concurrent requests at a target in state warming, from all proxies together.
	warmingConcurrency = 6
	// targetQueueLength is the number of requests that a target queues when all its slots are in use.
	targetQueueLength = 2
	// drainTime is the minimum time that a target continues to serve after its draining was acknowledged.
	drainTime = 2500 * time.Millisecond
)

func (t *Target) fullName() string { return t.service + "/" + t.name }

func (t *Target) id() wire.TargetID {
	return wire.TargetID{Service: t.service, Name: t.name, Incarnation: t.incarnation}
}

// takesRequests reports whether a target is running and not leaving.
func (t *Target) takesRequests() bool { return t.alive && t.state != wire.TargetLeaving }

// AddTarget starts a target and returns it. The target is in state warming for the given time; with 0 it is ready at once.
func (w *World) AddTarget(service, name, domain, address string, warming time.Duration) *Target {
	w.targets.started++
	t := &Target{service: service, name: name, domain: domain, address: address, incarnation: w.targets.started + uint64(w.random.IntN(1000))*100000, alive: true,
		state: wire.TargetReady, usualServiceTime: w.randomMilliseconds(5, 30)}
	t.serviceTime = t.usualServiceTime
	t.numbered = w.targets.started%3 != 0
	if w.Plan.WarmupRate > 0 && w.now > warmupTime {
		t.warmingUntil = w.now + warmupTime
		t.acknowledgedWarmingUntil = t.warmingUntil // the configured warm-up applies from the start, without an acknowledged report
	}
	t.resetsWhenFull = w.targets.started%5 == 0
	if warming > 0 && w.Plan.WarmupRate == 0 {
		t.state = wire.TargetWarming
		w.schedule(warming, func() {
			if t.state == wire.TargetWarming {
				t.state = wire.TargetReady
			}
		})
	}
	w.targets.all = append(w.targets.all, t)
	w.targets.listening[address] = t
	w.startHeartbeats(t)
	return t
}

// restartTarget starts a crashed target again after a while, unless another target has its address by then.
func (w *World) restartTarget(t *Target, after, warming time.Duration) {
	w.schedule(after, func() {
		if w.targets.listening[t.address] == nil {
			w.logf("restart %s", t.fullName())
			w.AddTarget(t.service, t.name, t.domain, t.address, warming)
		}
	})
}

// CrashTarget ends a target without notice.
func (w *World) CrashTarget(t *Target) {
	if !t.alive {
		return
	}
	w.logf("crash %s", t.fullName())
	t.alive, t.crashedAt = false, w.now
	w.Stats.TargetCrashes++
	if w.targets.listening[t.address] == t {
		delete(w.targets.listening, t.address)
	}
}

// DrainTarget lets a target report that it is leaving, complete its requests, deregister and end. Then it calls after.
func (w *World) DrainTarget(t *Target, after func()) {
	t.state = wire.TargetLeaving
	w.reportNow(t)
	var end func()
	end = func() {
		if !t.alive {
			return
		}
		if len(t.inFlight) > 0 || t.drainAcknowledgedAt == 0 || w.now-t.drainAcknowledgedAt < drainTime {
			w.schedule(tuning.TargetHeartbeatEvery, end)
			return
		}
		p := w.process(w.processes.names[w.random.IntN(len(w.processes.names))])
		w.call(p, "DELETE", "/v1/targets/"+t.fullName(), fmt.Sprintf("incarnation=%d", t.incarnation), nil, "", w.ignoreReply)
		w.schedule(w.randomMilliseconds(50, 100), func() {
			w.CrashTarget(t)
			after()
		})
	}
	w.schedule(3*time.Second, end)
}

// warmUpAgain lets a target report another warm-up, of twice the usual time.
func (w *World) warmUpAgain(t *Target) {
	t.warmingUntil = w.now + 2*warmupTime
	w.reportNow(t)
}

// pickTarget returns a random target that takes requests, or nil if there is none.
func (w *World) pickTarget() *Target {
	var candidates []*Target
	for _, t := range w.targets.all {
		if t.takesRequests() {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.random.IntN(len(candidates))]
}

// usableTargets returns the number of targets of a service that can serve. Faults spare the last usable targets of a service,
// so that the run can still serve requests.
func (w *World) usableTargets(service string) int {
	count := 0
	for _, t := range w.targets.all {
		if t.takesRequests() && t.service == service && !t.hanging {
			count++
		}
	}
	return count
}

// startHealthCheck executes a daemon's command to check a target's health.
func (w *World) startHealthCheck(p *Process, c statemachine.Probe) {
	if p.kind == wire.ProxyDaemon {
		w.Stats.ProxyHealthChecks++
	}
	if w.Plan.Resources != nil {
		w.useProcessor(p, taskHealthCheck, w.healthCheckCost(p, c))
	}
	w.checkHealth(p, c)
}

// checkHealth delivers the result of a health check: the report of the target at the address, or a failure if it doesn't
// respond or there is none.
func (w *World) checkHealth(process *Process, command statemachine.Probe) {
	incarnation, sentAt := process.incarnation, process.localTime()
	finish := func(delay time.Duration, report *config.TargetReport) {
		w.schedule(delay, func() {
			if process.incarnation == incarnation {
				w.deliver(process, statemachine.ProbeResult{ID: command.ID, SentAt: sentAt, Milliseconds: milliseconds(delay), Report: report})
			}
		})
	}
	t := w.targets.listening[command.Addr]
	switch {
	case w.disabledGuard == guardHealthChecks:
		finish(w.randomMilliseconds(1, 5), &config.TargetReport{Service: command.ID.Service, Name: command.ID.Name, Incarnation: command.ID.Incarnation, State: wire.TargetReady})
	case t != nil && (t.hanging || t.ignoresHealthChecks || !w.connected(process.name, t.name)):
		finish(tuning.ProbeTimeout, nil)
	case t == nil:
		if w.random.IntN(2) == 0 { // the port is closed, or the machine is off
			finish(w.randomMilliseconds(1, 2), nil)
		} else {
			finish(tuning.ProbeTimeout, nil)
		}
	default:
		finish(w.randomMilliseconds(1, 5), t.report(w.reportedState(t.state)))
	}
}

// milliseconds converts a duration to the unit of events.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
