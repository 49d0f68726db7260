package dataplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A proxy that serves on peer leases replaces a restarted target by its later incarnation after the later one
// has answered a probe with its own identity. It adds no other target, and drops the later incarnation if a
// leader's table doesn't have it.
func TestPeerServingTakesSuccessor(t *testing.T) {
	for _, c := range []struct {
		name      string
		successor wire.Target
		report    *config.TargetReport
		replaced  bool
	}{
		{"same address", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "a"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 2, State: wire.TargetReady}, true},
		{"another address", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "z"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 2, State: wire.TargetReady}, true},
		{"no answer", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "z"}, nil, false},
		{"another incarnation answers", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "z"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 3, State: wire.TargetReady}, false},
		{"name not in the table", wire.Target{Service: "s", Name: "new", Incarnation: 2, Addr: "z"}, &config.TargetReport{Service: "s", Name: "new", Incarnation: 2, State: wire.TargetReady}, false},
		{"address of another target", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "other"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 2, State: wire.TargetReady}, false},
		{"successor is leaving", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "gone"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 2, State: wire.TargetLeaving}, false},
	} {
		other := wire.Target{Service: "t", Name: "other", Incarnation: 1, Addr: "other", State: wire.TargetReady}
		proxy := newTestProxy("g1", 3, ruleConfig, readyTarget("a", func(t *wire.Target) { t.ShareOffset = 5 }), other)
		successor := c.successor
		successor.State = wire.TargetReady
		proxy.receiveHeartbeat(successor)
		proxy.loseLeader()
		gone := readyTarget("a")
		gone.State = wire.TargetGone
		proxy.receiveHeartbeat(gone)
		proxy.receiveHeartbeat(successor)
		proxy.now += tuning.TickEvery
		probed := false
		for _, cmd := range proxy.step(statemachine.Tick{}) {
			if p, ok := cmd.(statemachine.Probe); ok && p.ID == successor.ID() && p.Addr == successor.Addr {
				probed = true
			}
		}
		if reject, ok := proxy.admit(1).(statemachine.Reject); !ok {
			t.Errorf("%s: request not rejected before the successor answered a probe: %+v", c.name, reject)
		}
		if probed {
			proxy.step(statemachine.ProbeResult{ID: successor.ID(), SentAt: proxy.now, Report: c.report})
		}
		forward, ok := proxy.admit(2).(statemachine.Forward)
		if ok != c.replaced || ok && (forward.Target.Incarnation != 2 || forward.Target.ShareOffset != 5) {
			t.Errorf("%s: got %+v, want a forward to the successor: %v", c.name, forward, c.replaced)
		}
		proxy.now += time.Millisecond
		proxy.sendTable(3, ruleConfig, readyTarget("a"), other)
		if forward, ok := proxy.admit(3).(statemachine.Forward); ok && forward.Target.Incarnation == 2 {
			t.Errorf("%s: the successor still gets requests although the leader's table doesn't have it", c.name)
		}
	}
}
