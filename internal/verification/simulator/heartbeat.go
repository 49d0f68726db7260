package simulator

import (
	"encoding/json"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// maxHeartbeatRetries is the maximum number of further daemons to which a target sends an unacknowledged heartbeat.
const maxHeartbeatRetries = 3

// startHeartbeats starts a target's periodic heartbeats, which continue until the target ends.
func (w *World) startHeartbeats(t *Target) {
	var next func()
	next = func() {
		if !t.alive {
			return
		}
		if !t.hanging && !t.withoutHeartbeats {
			w.reportNow(t)
		}
		w.schedule(w.heartbeatEvery(), next)
	}
	w.schedule(w.randomMilliseconds(0, 300), next)
}

func (w *World) heartbeatEvery() time.Duration {
	if w.Plan.HeartbeatEvery > 0 {
		return w.Plan.HeartbeatEvery
	}
	return tuning.TargetHeartbeatEvery
}

// reportNow sends a target's next heartbeat.
func (w *World) reportNow(t *Target) {
	t.lastNumber++
	w.sendHeartbeat(t, 0)
}

// sendHeartbeat sends a target's report to a random daemon, and to further random daemons until one acknowledges it.
func (w *World) sendHeartbeat(t *Target, retries int) {
	if retries > maxHeartbeatRetries {
		return
	}
	names := w.processes.names
	if w.Plan.ReportToControlOnly {
		names = w.daemonNames(wire.ControlDaemon)
	}
	daemon := w.process(names[w.random.IntN(len(names))])
	state, warmingUntil := t.state, t.warmingUntil
	done := false
	retry := func() {
		if !done && t.alive {
			done = true
			w.sendHeartbeat(t, retries+1)
		}
	}
	if !daemon.alive || !w.connected(t.name, daemon.name) {
		w.schedule(w.randomMilliseconds(0, 3), retry)
		return
	}
	method, path, body := w.heartbeatCall(t, w.reportedState(state))
	w.call(daemon, method, path, "", body, "", func(r statemachine.Reply) {
		if r.Status >= 300 {
			retry()
			return
		}
		done = true
		w.heartbeatAcknowledged(t, daemon, state, warmingUntil)
	})
	w.schedule(w.heartbeatEvery()/3, retry)
}

// heartbeatAcknowledged records the reported states that the checks enforce from now on.
func (w *World) heartbeatAcknowledged(t *Target, p *Process, state wire.TargetState, warmingUntil time.Duration) {
	if warmingUntil > w.now && t.acknowledgedWarmingUntil != warmingUntil {
		t.acknowledgedWarmingUntil, t.warmupEnforcedFrom = warmingUntil, w.now+warmupEnforcedAfter
	}
	if state == wire.TargetLeaving && t.drainAcknowledgedAt == 0 {
		t.drainAcknowledgedAt = w.now
		w.Stats.Drains++
		w.logf("%s is leaving, acknowledged by %s", t.fullName(), p.name)
	}
}

// report returns a target's report with the given state.
func (t *Target) report(state wire.TargetState) *config.TargetReport {
	return &config.TargetReport{Service: t.service, Name: t.name, Incarnation: t.incarnation, Address: t.address, Domain: t.domain, State: state}
}

// heartbeatCall returns the API call of a target's heartbeat.
func (w *World) heartbeatCall(t *Target, state wire.TargetState) (method, path string, body []byte) {
	report := t.report(state)
	report.Slots = int64(w.Plan.Slots)
	if t.warmingUntil > w.now && w.disabledGuard != guardWarmupReport {
		report.WarmupLeftMs = (t.warmingUntil - w.now).Milliseconds() + 1
	}
	if method, path = "POST", "/v1/targets"; t.numbered {
		method, path = "PUT", "/v1/targets/"+t.name
		report.Number = t.lastNumber
		if report.Slots == 0 {
			report.Slots = DefaultSlots
		}
	}
	return method, path, mustMarshal(report)
}

// reportTarget sends a target's report to a daemon, like a report that arrives late or twice.
func (w *World) reportTarget(p *Process, t *Target, state wire.TargetState) {
	w.call(p, "POST", "/v1/targets", "", mustMarshal(t.report(state)), "", w.ignoreReply)
}

// mustMarshal returns the JSON encoding of v. It panics if v has none.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
