package dataplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// What the leader can't reach, a proxy probes when asked: an answer goes to the leader with the next tick, a miss
// is its decision, and the proxy's own ejections are as before.
func TestIndirectProbe(t *testing.T) {
	proxy := newTestProxy("g1", 1, ruleConfig, readyTarget("a"), readyTarget("b"))
	proxy.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: "c1", Epoch: 1, Term: 1, Hello: &wire.Hello{Self: wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1, Epoch: 1}, Leader: "c1", Term: 1}}})
	id := wire.TargetID{Service: "s", Name: "a", Incarnation: 1}
	ask := func() (n int) {
		for _, c := range proxy.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(proxy.now), Disk: 9,
			Push: &wire.Push{Key: proxy.machine.table.Key, ProbeTargets: []wire.TargetID{id, {Service: "s", Name: "c", Incarnation: 1}}}}}) {
			if p, ok := c.(statemachine.Probe); ok && p.ID == id {
				n++
			}
		}
		return n
	}
	proxy.machine.targets[id].ownEjectionUntil = proxy.now + time.Second
	for range 3 {
		if n := ask(); n != 1 {
			t.Fatalf("%d probes", n)
		}
		if n := ask(); n != 0 {
			t.Fatal("two probes at once")
		}
		proxy.step(statemachine.ProbeResult{ID: id})
	}
	if proxy.machine.Counts.OwnEjections != 0 {
		t.Fatal("ejected by the proxy itself")
	}
	reported := func() (n int) {
		proxy.now += tuning.TickEvery
		for _, c := range proxy.step(statemachine.Tick{}) {
			if s, ok := c.(statemachine.Send); ok && s.Message.Pull != nil {
				for _, e := range s.Message.Pull.Stats {
					if e.ProbeAnswered && e.Name == "a" && e.Successes == 0 {
						n++
					}
				}
			}
		}
		return n
	}
	if reported() != 0 {
		t.Fatal("a miss was reported")
	}
	ask()
	proxy.step(statemachine.ProbeResult{ID: id, Report: &config.TargetReport{Service: "s", Name: "a", Incarnation: 1, State: wire.TargetReady}})
	if reported() != 1 || reported() != 0 || proxy.machine.targets[id].ownEjectionUntil == 0 {
		t.Fatal("an answer is reported once, with the next tick, and lifts no ejection of the proxy's own")
	}
}

// It is reported once which targets missed their probes, and when they are back.
func TestUnreachableTargetsAreReported(t *testing.T) {
	reported := func(out []statemachine.Command) (n int, ids map[wire.TargetID]bool) {
		for _, c := range out {
			if d, ok := c.(statemachine.UnreachableTargets); ok {
				n, ids = n+1, d.IDs
			}
		}
		return n, ids
	}
	policy := func(t *wire.Target) { ejected(t); t.EjectedBy = "slow" }
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)), readyTarget("b", withSlots(2), ejected), readyTarget("c", withSlots(2), policy))
	if n, ids := reported(proxy.advance(time.Millisecond)); n != 1 || len(ids) != 1 || !ids[wire.TargetID{Service: "s", Name: "b", Incarnation: 1}] {
		t.Fatalf("%d times %v", n, ids)
	}
	if n, ids := reported(proxy.advance(time.Millisecond)); n != 0 {
		t.Fatalf("again: %v", ids)
	}
	proxy.table(1, routeConfig, readyTarget("a", withSlots(2)), readyTarget("b", withSlots(2)))
	if n, ids := reported(proxy.advance(time.Millisecond)); n != 1 || len(ids) != 0 {
		t.Fatalf("%d times %v", n, ids)
	}
	if forward := proxy.admitOnRoute(1, "/a/", 0).(statemachine.Forward); !forward.MayRetry {
		t.Fatal("it has a second attempt")
	}
	proxy.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.ResponseLost})
	if forward, ok := responseTo(1, proxy.step(statemachine.Retry{ID: 1})).(statemachine.Forward); ok && forward.MayRetry {
		t.Fatal("it has no third attempt")
	}
}
