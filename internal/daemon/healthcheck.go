// Active health checks of targets over persistent connections. A check requests the service's health path or, for a
// service without one, the target's identity. The state machines decide what a result means for the target.

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

// HealthChecker runs health checks and posts their results to the loop.
type HealthChecker struct {
	clock     *Clock
	loop      *Loop
	localAddr net.Addr // local address of connections, nil for the system's choice
	headers   reverseproxy.Headers

	targets       map[wire.TargetID]*checkedTarget // owned by the loop's goroutine
	lastIdleSweep time.Duration                    // when idle connections were last closed
}

// newHealthChecker returns a checker that uses the given header names, or the default ones if headers is the zero
// value.
func newHealthChecker(clock *Clock, loop *Loop, localAddr net.Addr, headers reverseproxy.Headers) *HealthChecker {
	if headers == (reverseproxy.Headers{}) {
		headers = reverseproxy.DefaultHeaders()
	}
	return &HealthChecker{clock: clock, loop: loop, localAddr: localAddr, headers: headers, targets: map[wire.TargetID]*checkedTarget{}}
}

// checkedTarget holds the idle connection to one target.
type checkedTarget struct {
	conn        atomic.Pointer[reverseproxy.Conn] // the idle connection, nil if there is none or a check uses it
	lastCheckAt time.Duration                     // when the last check started
	removed     atomic.Bool                       // set once the target is no longer checked
}

// putIdle stores a connection for the next check and closes the one stored before. A nil conn only closes that one.
func (t *checkedTarget) putIdle(conn *reverseproxy.Conn) {
	if old := t.conn.Swap(conn); old != nil {
		old.Close()
	}
	if t.removed.Load() { // set while the check was running
		if conn = t.conn.Swap(nil); conn != nil {
			conn.Close()
		}
	}
}

// Check starts a check of a target, which posts its result as a statemachine.ProbeResult. It must be called on the
// loop's goroutine and does not block.
func (h *HealthChecker) Check(probe statemachine.Probe) {
	sentAt := h.clock.Now()
	h.closeIdle(sentAt)
	target := h.targets[probe.ID]
	if target == nil {
		target = &checkedTarget{}
		h.targets[probe.ID] = target
	}
	target.lastCheckAt = sentAt
	go func() { // returns within tuning.ProbeTimeout
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

// closeIdle closes the connections to targets that are no longer checked. It scans the targets at most four
// times per tuning.ProbeConnIdle.
func (h *HealthChecker) closeIdle(now time.Duration) {
	if now-h.lastIdleSweep <= tuning.ProbeConnIdle/4 {
		return
	}
	h.lastIdleSweep = now
	for id, target := range h.targets {
		if now-target.lastCheckAt > tuning.ProbeConnIdle {
			delete(h.targets, id)
			target.removed.Store(true)
			target.putIdle(nil)
		}
	}
}

// checkResult is the health of a target according to its response.
type checkResult struct {
	report     *config.TargetReport // nil if the target is unhealthy or its response invalid
	warmupLeft time.Duration        // remaining warm-up time, 0 if the target is warm
}

// check checks a target on its idle connection. If that fails it retries once on a new connection, since the target may
// have closed the idle one.
func (h *HealthChecker) check(target *checkedTarget, probe statemachine.Probe) checkResult {
	deadline := time.Now().Add(tuning.ProbeTimeout)
	conn := target.conn.Swap(nil)
	if conn != nil && conn.Addr() != probe.Addr {
		conn.Close()
		conn = nil
	}
	if conn != nil {
		result, reusable, err := h.checkOn(conn, probe, deadline)
		target.putIdleOrClose(conn, err == nil && reusable)
		if err == nil || time.Now().After(deadline) {
			return result
		}
	}
	conn, err := h.connect(probe.Addr, deadline)
	if err != nil {
		return checkResult{}
	}
	result, reusable, err := h.checkOn(conn, probe, deadline)
	target.putIdleOrClose(conn, err == nil && reusable)
	return result
}

// putIdleOrClose stores a reusable connection for the next check and closes any other.
func (t *checkedTarget) putIdleOrClose(conn *reverseproxy.Conn, reusable bool) {
	if reusable {
		t.putIdle(conn)
	} else {
		conn.Close()
	}
}

func (h *HealthChecker) connect(addr string, deadline time.Time) (*reverseproxy.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return reverseproxy.Dial(ctx, addr, h.localAddr)
}

// checkOn checks a target on a connection and reports whether the connection can be reused. An error means that there
// was no response.
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

// readHealth converts the response to a health check request into a result.
func (h *HealthChecker) readHealth(id wire.TargetID, response *http.Response) (result checkResult) {
	report := &config.TargetReport{Service: id.Service, Name: id.Name, Incarnation: id.Incarnation}
	if name := response.Header.Get(h.headers.Identity); name != "" {
		report.Name = name
	}
	notRun := response.Header.Get(h.headers.NotRun) != "" || response.StatusCode == http.StatusTooManyRequests
	switch {
	case response.StatusCode == http.StatusOK:
		report.State = wire.TargetReady
	case notRun: // alive but overloaded: the report leaves the state empty
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
