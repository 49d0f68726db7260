package dataplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A proxy that serves on peer leases takes a target's later incarnation once that has answered a probe as itself,
// and takes no other target.
func TestPeerServingTakesSuccessor(t *testing.T) {
	for _, c := range []struct {
		name  string
		heir  wire.Target
		beat  *config.TargetReport
		taken bool
	}{
		{"the same place", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "a"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 2, State: wire.TargetReady}, true},
		{"another place", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "z"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 2, State: wire.TargetReady}, true},
		{"no answer", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "z"}, nil, false},
		{"somebody else answers", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "z"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 3, State: wire.TargetReady}, false},
		{"a name that the table lacks", wire.Target{Service: "s", Name: "new", Incarnation: 2, Addr: "z"}, &config.TargetReport{Service: "s", Name: "new", Incarnation: 2, State: wire.TargetReady}, false},
		{"another target's address", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "other"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 2, State: wire.TargetReady}, false},
		{"one that has left", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "gone"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 2, State: wire.TargetLeaving}, false},
	} {
		away := wire.Target{Service: "t", Name: "other", Incarnation: 1, Addr: "other", State: wire.TargetReady}
		proxy := newTestProxy("g1", 3, ruleConfig, readyTarget("a", func(t *wire.Target) { t.ShareOffset = 5 }), away)
		word := c.heir
		word.State = wire.TargetReady
		proxy.receiveHeartbeat(word)
		proxy.loseLeader()
		old := readyTarget("a")
		old.State = wire.TargetGone
		proxy.receiveHeartbeat(old)
		proxy.receiveHeartbeat(word)
		proxy.now += tuning.TickEvery
		probed := false
		for _, cmd := range proxy.step(statemachine.Tick{}) {
			if p, ok := cmd.(statemachine.Probe); ok && p.ID == word.ID() && p.Addr == word.Addr {
				probed = true
			}
		}
		if reject, ok := proxy.admit(1).(statemachine.Reject); !ok {
			t.Errorf("%s: chosen before it answered: %+v", c.name, reject)
		}
		if probed {
			proxy.step(statemachine.ProbeResult{ID: word.ID(), SentAt: proxy.now, Report: c.beat})
		}
		forward, ok := proxy.admit(2).(statemachine.Forward)
		if ok != c.taken || ok && (forward.Target.Incarnation != 2 || forward.Target.ShareOffset != 5) {
			t.Errorf("%s: %+v", c.name, forward)
		}
		proxy.now += time.Millisecond
		proxy.table(3, ruleConfig, readyTarget("a"), away)
		if forward, ok := proxy.admit(3).(statemachine.Forward); ok && forward.Target.Incarnation == 2 {
			t.Errorf("%s: still taken under a leader's table that lacks it", c.name)
		}
	}
}
