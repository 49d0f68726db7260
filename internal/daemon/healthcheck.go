// This file is the health checks: targets are asked, on connections that stay open from one check to the next, either
// for their health or, where a service has no path for that, for their identity. What a response means for a target
// is decided by the state machines.

package daemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// HealthChecker carries out health checks and posts their outcomes to the loop.
type HealthChecker struct {
	clock     *Clock
	loop      *Loop
	localAddr net.Addr // that connections leave from, nil: the system's choice
	headers   reverseproxy.Headers

	targets     map[wire.TargetID]*checkedTarget // the loop's goroutine owns the map
	idleCheckAt time.Duration                    // when idle connections were last closed
}

// newHealthChecker returns a checker that uses these headers, or the product's own if there are none.
func newHealthChecker(clock *Clock, loop *Loop, localAddr net.Addr, headers reverseproxy.Headers) *HealthChecker {
	if headers == (reverseproxy.Headers{}) {
		headers = reverseproxy.DefaultHeaders()
	}
	return &HealthChecker{clock: clock, loop: loop, localAddr: localAddr, headers: headers, targets: map[wire.TargetID]*checkedTarget{}}
}

// checkedTarget holds one target's connection while no check uses it.
type checkedTarget struct {
	conn      atomic.Pointer[reverseproxy.Conn]
	checkedAt time.Duration // when the last check began
	forgotten atomic.Bool   // no more checks go there
}

// keep keeps a connection for the next check, in place of the one kept before; nil: none.
func (t *checkedTarget) keep(conn *reverseproxy.Conn) {
	if old := t.conn.Swap(conn); old != nil {
		old.Close()
	}
	if t.forgotten.Load() {
		if conn = t.conn.Swap(nil); conn != nil {
			conn.Close()
		}
	}
}

// Check checks a target and posts the outcome, a statemachine.ProbeResult; only on the loop's goroutine, which it
// doesn't keep waiting.
func (h *HealthChecker) Check(probe statemachine.Probe) {
	sentAt := h.clock.Now()
	h.closeIdle(sentAt)
	target := h.targets[probe.ID]
	if target == nil {
		target = &checkedTarget{}
		h.targets[probe.ID] = target
	}
	target.checkedAt = sentAt
	go func() { // ends by tuning.ProbeTimeout
		result := h.check(target, probe)
		h.loop.Post(statemachine.ProbeResult{
			ID:           probe.ID,
			SentAt:       sentAt,
			Milliseconds: float64(h.clock.Now()-sentAt) / float64(time.Millisecond),
			Report:       result.report,
			WarmupLeft:   result.warmupLeft,
		})
	}()
}

// closeIdle closes, now and then, the connections to targets that are no longer checked.
func (h *HealthChecker) closeIdle(now time.Duration) {
	if now-h.idleCheckAt <= tuning.ProbeConnIdle/4 {
		return
	}
	h.idleCheckAt = now
	for id, target := range h.targets {
		if now-target.checkedAt > tuning.ProbeConnIdle {
			delete(h.targets, id)
			target.forgotten.Store(true)
			target.keep(nil)
		}
	}
}

// checkResult is what a response says of its target.
type checkResult struct {
	report     *config.TargetReport // nil: no valid response, or one that says it is unhealthy
	warmupLeft time.Duration        // how much longer it is warming up
}

// check checks a target on the kept connection, and once more on a new one if that fails: its target may have closed
// it meanwhile.
func (h *HealthChecker) check(target *checkedTarget, probe statemachine.Probe) checkResult {
	deadline := time.Now().Add(tuning.ProbeTimeout)
	conn := target.conn.Swap(nil)
	if conn != nil && conn.Addr() != probe.Addr {
		conn.Close()
		conn = nil
	}
	if conn != nil {
		result, reusable, err := h.checkOn(conn, probe, deadline)
		target.keepOrClose(conn, err == nil && reusable)
		if err == nil || time.Now().After(deadline) {
			return result
		}
	}
	conn, err := h.connect(probe.Addr, deadline)
	if err != nil {
		return checkResult{}
	}
	result, reusable, err := h.checkOn(conn, probe, deadline)
	target.keepOrClose(conn, err == nil && reusable)
	return result
}

// keepOrClose keeps a connection that can be used again, and closes any other.
func (t *checkedTarget) keepOrClose(conn *reverseproxy.Conn, reusable bool) {
	if reusable {
		t.keep(conn)
	} else {
		conn.Close()
	}
}

func (h *HealthChecker) connect(addr string, deadline time.Time) (*reverseproxy.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return reverseproxy.Dial(ctx, addr, h.localAddr)
}

// checkOn checks a target on a connection, and reports whether the connection can be used again. An error says that
// there was no response.
func (h *HealthChecker) checkOn(conn *reverseproxy.Conn, probe statemachine.Probe, deadline time.Time) (result checkResult, reusable bool, err error) {
	if probe.Path == "" {
		report, reusable, err := conn.Identify(deadline, probe.Addr)
		if err != nil {
			report = nil
		}
		return checkResult{report: report}, reusable, err
	}
	millisecondsLeft := max(1, (time.Until(deadline) - tuning.NetHop).Milliseconds())
	response, _, reusable, err := conn.Get(deadline, probe.Addr, probe.Path, h.headers.Deadline, strconv.FormatInt(millisecondsLeft, 10))
	if err != nil {
		return checkResult{}, false, err
	}
	return h.readHealth(probe.ID, response), reusable, nil
}

// readHealth reads the response of a health check's path.
func (h *HealthChecker) readHealth(id wire.TargetID, response *http.Response) (result checkResult) {
	report := &config.TargetReport{Service: id.Service, Name: id.Name, Incarnation: id.Incarnation}
	if name := response.Header.Get(h.headers.Identity); name != "" {
		report.Name = name
	}
	notRun := response.Header.Get(h.headers.NotRun) != "" || response.StatusCode == http.StatusTooManyRequests
	switch {
	case response.StatusCode == http.StatusOK:
		report.State = wire.TargetReady
	case notRun: // alive, and too busy to say more: the report has no state
	default:
		return checkResult{}
	}
	result.report = report
	warmupMs, err := strconv.ParseFloat(response.Header.Get(h.headers.WarmupLeft), 64)
	if err == nil && warmupMs > 0 && warmupMs <= tuning.TimeoutMaxMs {
		result.warmupLeft = time.Duration(warmupMs * float64(time.Millisecond))
	}
	if load := reverseproxy.ParseLoad(response.Header.Get(h.headers.Load)); load != nil && load.Slots > 0 {
		demand := float64(load.Running+load.Waiting) / float64(load.Slots)
		report.Demand = &demand
	}
	return result
}
