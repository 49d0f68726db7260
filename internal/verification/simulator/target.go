package simulator

import (
	"fmt"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// targets are the back ends of the fleet.
type targets struct {
	all       []*Target          // also those that have ended
	listening map[string]*Target // by address
	started   uint64             // targets started so far
	// removingService: an operator takes a service away and brings it back, one at a time.
	removingService bool
}

func newTargets() targets { return targets{listening: map[string]*Target{}} }

// Target is one start of a back end; a restart is another Target.
type Target struct {
	service, name, domain, address string
	incarnation                    uint64
	alive                          bool
	state                          wire.TargetState
	drainAcknowledgedAt            time.Duration // when a daemon first acknowledged that it is leaving, 0: none has
	crashedAt                      time.Duration

	// What it reports.
	numbered          bool   // its reports go by PUT and are numbered
	lastNumber        uint64 // of its last report
	withoutHeartbeats bool   // it sends no heartbeats, but serves and answers health checks

	// How it serves.
	serviceTime, usualServiceTime time.Duration
	inFlight                      []*request
	resetsWhenFull                bool // when full it resets connections and sends no response

	// Faults.
	hanging             bool // it neither answers nor sends anything
	losesResponses      bool
	sendsSurplus        bool // it sends responses that nobody waits for
	fails               bool // it answers with server errors
	ignoresHealthChecks bool // but sends heartbeats and serves

	// Its warm-up.
	warmingUntil             time.Duration
	acknowledgedWarmingUntil time.Duration   // the end that a daemon has acknowledged
	warmupEnforcedFrom       time.Duration   // when all must keep to it
	recentArrivals           []time.Duration // while it is warming up, of the last second
}

// DefaultSlots is how many requests at once targets with numbered reports say that they work on, where the
// plan gives none.
const DefaultSlots = 16

const (
	// warmupTime is how long a target warms up after a start during traffic, where the plan has a warm-up rate.
	warmupTime = 3 * time.Second
	// warmupEnforcedAfter is how long after a target's report was acknowledged its warm-up rate must hold
	// everywhere: the bound for whatever is reported of a target.
	warmupEnforcedAfter = 2 * time.Second
	// warmingConcurrency is how many requests at once a target in state warming bears, from all proxies together.
	warmingConcurrency = 6
	// targetQueueLength is how many requests wait at a target that works on as many as it has slots.
	targetQueueLength = 2
	// drainTime is how long a target goes on serving at least once its draining is acknowledged.
	drainTime = 2500 * time.Millisecond
)

func (t *Target) fullName() string { return t.service + "/" + t.name }

func (t *Target) id() wire.TargetID {
	return wire.TargetID{Service: t.service, Name: t.name, Incarnation: t.incarnation}
}

// takesRequests says whether a target lives and is not leaving.
func (t *Target) takesRequests() bool { return t.alive && t.state != wire.TargetLeaving }

// AddTarget starts a back end, which is in state warming for that long; 0: it is ready.
func (w *World) AddTarget(service, name, domain, address string, warming time.Duration) *Target {
	w.targets.started++
	t := &Target{service: service, name: name, domain: domain, address: address, incarnation: w.targets.started + uint64(w.random.IntN(1000))*100000, alive: true,
		state: wire.TargetReady, usualServiceTime: w.randomMilliseconds(5, 30)}
	t.serviceTime = t.usualServiceTime
	t.numbered = w.targets.started%3 != 0
	if w.Plan.WarmupRate > 0 && w.now > warmupTime {
		t.warmingUntil = w.now + warmupTime
		t.acknowledgedWarmingUntil = t.warmingUntil // a start warms up for its service's time, whoever has its report
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

// restartTarget starts a crashed back end again after a while, unless another has its address by then.
func (w *World) restartTarget(t *Target, after, warming time.Duration) {
	w.schedule(after, func() {
		if w.targets.listening[t.address] == nil {
			w.logf("start %s again", t.fullName())
			w.AddTarget(t.service, t.name, t.domain, t.address, warming)
		}
	})
}

// CrashTarget ends a back end that reports nothing of it.
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

// DrainTarget has a back end report that it is leaving, finish its requests, sign off and end; then runs after.
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

// warmUpAgain has a back end report that it warms up anew, for twice the usual time.
func (w *World) warmUpAgain(t *Target) {
	t.warmingUntil = w.now + 2*warmupTime
	w.reportNow(t)
}

// pickTarget draws a target that takes requests; nil: there is none.
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

// usableTargets counts the targets of a service that can serve. Faults spare a service's last ones: what must
// never happen is still checked then, but the day has to leave something to serve.
func (w *World) usableTargets(service string) int {
	count := 0
	for _, t := range w.targets.all {
		if t.takesRequests() && t.service == service && !t.hanging {
			count++
		}
	}
	return count
}

// startHealthCheck carries out a daemon's command to check a target's health.
func (w *World) startHealthCheck(p *Process, c statemachine.Probe) {
	if p.kind == wire.ProxyDaemon {
		w.Stats.ProxyHealthChecks++
	}
	if w.Plan.Resources != nil {
		w.useProcessor(p, taskHealthCheck, w.healthCheckCost(p, c))
	}
	w.checkHealth(p, c)
}

// checkHealth lets a health check end with what the target at its address answers, if there is one.
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

// milliseconds is a duration as events give it.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
