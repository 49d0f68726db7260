package controlplane

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// replyTo sends a call to the member and returns the status of the reply that is due within a second.
func (f *idleFleet) replyTo(t *testing.T, call statemachine.Call) (status int) {
	t.Helper()
	record := func(commands []statemachine.Command) {
		for _, command := range commands {
			if reply, ok := command.(statemachine.Reply); ok && reply.ID == call.ID {
				status = reply.Status
			}
		}
	}
	f.observe = record
	defer func() { f.observe = nil }()
	f.step(call)
	f.runSecond()
	if status == 0 {
		t.Fatalf("%s %s has no reply after a second", call.Method, call.Path)
	}
	return status
}

// TestLateConfigurationsAreStale guards against a change of the configuration that is read late: one that was never accepted is
// rejected, a copy of one that was accepted changes nothing, and one without a base is not taken.
func TestLateConfigurationsAreStale(t *testing.T) {
	const policy = `{"slice":"probe","when":"misses_in_row >= 2","clear":"ok_in_row >= 1","decide":"bar","ttl_ms":30000,"note":"%s"}`
	fleet := newIdleFleet(3, 3)
	c := fleet.controller
	document := func(bytes int) []byte { return fmt.Appendf(nil, `{"limits":{"body_bytes":%d}}`, bytes) }
	base := c.state.Revision
	for i, change := range []struct {
		method, path, query string
		body                []byte
		status              int
		accepted            uint64 // changes accepted so far
	}{
		{"PUT", "/v1/config", fmt.Sprint("base=", base), document(1000), 200, 1},
		{"PUT", "/v1/config", fmt.Sprint("base=", base+1), document(2000), 200, 2},
		{"PUT", "/v1/config", fmt.Sprint("base=", base), document(3000), 412, 2},
		{"PUT", "/v1/config", fmt.Sprint("base=", base), document(1000), 200, 2},
		{"PATCH", "/v1/config", fmt.Sprint("base=", base+1), document(4000), 412, 2},
		{"PUT", "/v1/policies/p", fmt.Sprint("base=", base+2), fmt.Appendf(nil, policy, "a"), 200, 3},
		{"DELETE", "/v1/policies/p", fmt.Sprint("base=", base+3), nil, 200, 4},
		{"PUT", "/v1/policies/p", fmt.Sprint("base=", base+2), fmt.Appendf(nil, policy, "a"), 200, 4},
		{"PUT", "/v1/policies/p", fmt.Sprint("base=", base+2), fmt.Appendf(nil, policy, "b"), 412, 4},
		{"PUT", "/v1/policies/p", "", fmt.Appendf(nil, policy, "b"), 428, 4},
		{"POST", "/v1/config/rollback", fmt.Sprintf("base=%d&to=%d", base+1, base+1), nil, 412, 4},
	} {
		call := statemachine.Call{ID: uint64(i + 1), Token: fmt.Sprint("change-", i), Method: change.method, Path: change.path, Query: change.query, Body: change.body}
		status := fleet.replyTo(t, call)
		if status != change.status || c.state.Revision != base+change.accepted {
			t.Errorf("change %d, %s %s?%s: status %d, revision %d; want %d, revision %d", i, change.method, change.path, change.query, status, c.state.Revision, change.status, base+change.accepted)
		}
	}
}

// TestForgettingIsOvertakenByTheReturnOfTheProxy guards against an operator's request to forget a proxy that is read late: the
// proxy has come back meanwhile, so the request was not about its present place.
func TestForgettingIsOvertakenByTheReturnOfTheProxy(t *testing.T) {
	const overtaken, alive = 503, 409
	fleet := newIdleFleet(3, 3)
	before := fleet.now
	fleet.proxies[0].Addr = "another"
	fleet.runSecond()
	fleet.runSecond()
	if i := slices.Index(fleet.controller.state.ProxyNames(), "g1"); i < 0 || fleet.controller.state.Proxies[i].Addr != "another" {
		t.Fatalf("proxies %v; want g1 with its other address", fleet.controller.state.Proxies)
	}
	for i, request := range []struct {
		proxy   string
		knownAt time.Duration
		want    int
	}{
		{"g1", before, overtaken},
		{"g1", fleet.now, alive},
		{"g2", before, alive},
	} {
		call := statemachine.Call{ID: uint64(i + 1), Token: fmt.Sprint("forget-", i), Method: methodPost, Path: "/v1/gates/" + request.proxy + "/forget", CallerKnownAt: request.knownAt}
		if status := fleet.replyTo(t, call); status != request.want {
			t.Errorf("%s, caller known at %v: status %d, want %d", request.proxy, request.knownAt, status, request.want)
		}
	}
}

// report has the member receive a report of a target, as the target sent it.
func (f *idleFleet) report(report wire.Target) {
	f.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHeartbeat, Timestamp: wire.RelayedHeartbeatTimestamp, Heartbeat: &report}})
}

// TestLateReportsChangeNothing guards against reports of targets that are read late: a number that is not higher, a report after
// a leave notice or a sign-off, and one report of a target that is not registered.
func TestLateReportsChangeNothing(t *testing.T) {
	fleet := newIdleFleet(3, 4)
	fleet.configureServices(t)
	fleet.runSecond()
	c := fleet.controller
	numbered, leaving, gone, unknown := fleet.targets[0], fleet.targets[1], fleet.targets[2], fleet.targets[3]
	fleet.targets = nil // they send nothing but what follows

	numbered.Number, numbered.HasDemand, numbered.Demand = 5, true, 1
	fleet.report(numbered)
	late := numbered
	for _, number := range []uint64{4, 5} {
		late.Number, late.Demand, late.Slots = number, 9, 99
		fleet.report(late)
	}
	if t0 := c.targets[numbered.ID()]; t0.Demand != 1 || t0.Slots == 99 || t0.Number != 5 {
		t.Errorf("after a late report: demand %v, slots %d, number %d; want 1, not 99, 5", t0.Demand, t0.Slots, t0.Number)
	}

	notice := leaving
	notice.State = wire.TargetLeaving
	fleet.report(notice)
	fleet.report(leaving)
	if t1 := c.targets[leaving.ID()]; !t1.Draining || t1.State != wire.TargetLeaving {
		t.Errorf("after a leave notice and an earlier report: draining %v, state %q", t1.Draining, t1.State)
	}

	signOff := gone
	signOff.State = wire.TargetGone
	fleet.report(signOff)
	fleet.runSecond()
	for range 5 {
		fleet.report(gone)
		fleet.runSecond()
	}
	if c.targets[gone.ID()] != nil || c.claims[gone.ID()] != nil {
		t.Error("a target that signed off is registered again by its earlier reports")
	}

	unknown.Name, unknown.Addr = "u", "10.0.0.2:1"
	fleet.unreachable = unknown.Addr
	fleet.report(unknown)
	fleet.runSecond()
	if table := c.Table(); slices.ContainsFunc(table.Targets, func(t wire.Target) bool { return t.Name == "u" && !t.Pending }) {
		t.Error("one report of a target that does not answer health checks admits it")
	}
}
