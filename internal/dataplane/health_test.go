package dataplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A proxy probes targets that the leader asks it to probe. It reports an answer to the leader with the next
// tick. It doesn't report a missed probe, nor eject the target or lift its own ejection because of the result.
func TestIndirectProbe(t *testing.T) {
	proxy := newTestProxy("g1", 1, ruleConfig, readyTarget("a"), readyTarget("b"))
	proxy.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: "c1", Epoch: 1, Term: 1, Hello: &wire.Hello{Self: wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1, Epoch: 1}, Leader: "c1", Term: 1}}})
	id := wire.TargetID{Service: "s", Name: "a", Incarnation: 1}
	requestProbe := func() (n int) {
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
		if n := requestProbe(); n != 1 {
			t.Fatalf("%d probes sent on request, want 1", n)
		}
		if n := requestProbe(); n != 0 {
			t.Fatalf("%d more probes sent while one is pending, want 0", n)
		}
		proxy.step(statemachine.ProbeResult{ID: id})
	}
	if proxy.machine.Counts.OwnEjections != 0 {
		t.Fatal("the proxy ejected a target after missed indirect probes")
	}
	reported := func() (n int) {
		proxy.now += tuning.TickEvery
		for _, c := range proxy.step(statemachine.Tick{}) {
			if s, ok := c.(statemachine.Send); ok && s.Message.Pull != nil {
				for _, stats := range s.Message.Pull.Stats {
					if stats.ProbeAnswered && stats.Name == "a" && stats.Successes == 0 {
						n++
					}
				}
			}
		}
		return n
	}
	if reported() != 0 {
		t.Fatal("a missed probe was reported as answered")
	}
	requestProbe()
	proxy.step(statemachine.ProbeResult{ID: id, Report: &config.TargetReport{Service: "s", Name: "a", Incarnation: 1, State: wire.TargetReady}})
	if reported() != 1 || reported() != 0 || proxy.machine.targets[id].ownEjectionUntil == 0 {
		t.Fatal("want an answer to be reported exactly once, with the next tick, and not to lift the proxy's own ejection")
	}
}

// The set of unreachable targets is reported once after each change. It has targets that are ejected for missed
// probes, but none that a policy ejected.
func TestUnreachableTargetsAreReported(t *testing.T) {
	reported := func(commands []statemachine.Command) (n int, ids map[wire.TargetID]bool) {
		for _, c := range commands {
			if unreachable, ok := c.(statemachine.UnreachableTargets); ok {
				n, ids = n+1, unreachable.IDs
			}
		}
		return n, ids
	}
	ejectedByPolicy := func(t *wire.Target) { ejected(t); t.EjectedBy = "slow" }
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)), readyTarget("b", withSlots(2), ejected), readyTarget("c", withSlots(2), ejectedByPolicy))
	if n, ids := reported(proxy.advance(time.Millisecond)); n != 1 || len(ids) != 1 || !ids[wire.TargetID{Service: "s", Name: "b", Incarnation: 1}] {
		t.Fatalf("reported %d times: %v, want target b once", n, ids)
	}
	if n, ids := reported(proxy.advance(time.Millisecond)); n != 0 {
		t.Fatalf("reported again without a change: %v", ids)
	}
	proxy.sendTable(1, routeConfig, readyTarget("a", withSlots(2)), readyTarget("b", withSlots(2)))
	if n, ids := reported(proxy.advance(time.Millisecond)); n != 1 || len(ids) != 0 {
		t.Fatalf("reported %d times: %v, want an empty set once", n, ids)
	}
	if forward := proxy.admitOnRoute(1, "/a/", 0).(statemachine.Forward); !forward.MayRetry {
		t.Fatal("MayRetry is false for the first of two attempts")
	}
	proxy.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.ResponseLost})
	if forward, ok := responseTo(1, proxy.step(statemachine.Retry{ID: 1})).(statemachine.Forward); ok && forward.MayRetry {
		t.Fatal("MayRetry is true for the second of two attempts")
	}
}
