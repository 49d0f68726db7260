package dataplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// A proxy that was paused has peer leases again at once, by the very table it had. What its peers have decided on
// meanwhile counts before it serves.
func TestResumedProxyAdoptsPeerEjections(t *testing.T) {
	proxy := newTestProxy("g1", 3, ruleConfig, readyTarget("a"), readyTarget("b"))
	proxy.loseLeader()
	if !proxy.machine.Serving() {
		t.Fatal("not serving on peer leases")
	}
	proxy.now += 5 * time.Second
	asked := false
	for _, c := range proxy.step(statemachine.Tick{}) {
		if s, ok := c.(statemachine.Send); ok && s.Message.Pull != nil && s.Message.To == "g2" {
			asked = s.Message.Pull.WantTable && s.Message.Pull.Key == proxy.machine.Table().Key
		}
	}
	if !asked || proxy.machine.Serving() {
		t.Fatalf("asked %v serving %v", asked, proxy.machine.Serving())
	}
	word := *proxy.machine.Table()
	word.Targets = []wire.Target{readyTarget("a", ejected), readyTarget("b")}
	for _, p := range []string{"g2", "g3"} {
		proxy.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: p, Timestamp: int64(proxy.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: word.Key, Table: &word}}})
	}
	for id := range uint64(6) {
		if forward, ok := proxy.admit(id + 1).(statemachine.Forward); !ok || forward.Target.Name != "b" {
			t.Fatalf("%+v", forward)
		}
		proxy.step(statemachine.AttemptDone{ID: id + 1, Last: true})
	}
}

// The same with a target that restarted meanwhile: peers have its successor in its place, and so has a proxy that
// resumes with the same table.
func TestResumedProxyAdoptsPeerSuccessors(t *testing.T) {
	proxy := newTestProxy("g1", 3, ruleConfig, readyTarget("a"))
	proxy.loseLeader()
	proxy.now += 5 * time.Second
	proxy.step(statemachine.Tick{})
	word := *proxy.machine.Table()
	word.Targets = []wire.Target{readyTarget("a", func(t *wire.Target) { t.Incarnation = 2 })}
	for _, p := range []string{"g2", "g3"} {
		proxy.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: p, Timestamp: int64(proxy.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: word.Key, Table: &word}}})
	}
	if forward, ok := proxy.admit(1).(statemachine.Forward); !ok || forward.Target.Incarnation != 2 {
		t.Fatalf("%+v", forward)
	}
}
