package dataplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// A proxy that resumes after a pause gets peer leases at once for the table it already has. Before it serves,
// it must adopt the ejections that its peers decided on during the pause.
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
		t.Fatalf("asked peer for its ejections: %v, serving: %v, want true and false", asked, proxy.machine.Serving())
	}
	peerTable := *proxy.machine.Table()
	peerTable.Targets = []wire.Target{readyTarget("a", ejected), readyTarget("b")}
	for _, peer := range []string{"g2", "g3"} {
		proxy.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: peer, Timestamp: int64(proxy.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: peerTable.Key, Table: &peerTable}}})
	}
	for id := range uint64(6) {
		if forward, ok := proxy.admit(id + 1).(statemachine.Forward); !ok || forward.Target.Name != "b" {
			t.Fatalf("got %+v, want a forward to b, the only target not ejected by peers", forward)
		}
		proxy.step(statemachine.AttemptDone{ID: id + 1, Last: true})
	}
}

// A proxy that resumes with the same table as its peers adopts a restarted target that the peers have put in the
// place of its earlier incarnation.
func TestResumedProxyAdoptsPeerSuccessors(t *testing.T) {
	proxy := newTestProxy("g1", 3, ruleConfig, readyTarget("a"))
	proxy.loseLeader()
	proxy.now += 5 * time.Second
	proxy.step(statemachine.Tick{})
	peerTable := *proxy.machine.Table()
	peerTable.Targets = []wire.Target{readyTarget("a", func(t *wire.Target) { t.Incarnation = 2 })}
	for _, peer := range []string{"g2", "g3"} {
		proxy.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: peer, Timestamp: int64(proxy.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: peerTable.Key, Table: &peerTable}}})
	}
	if forward, ok := proxy.admit(1).(statemachine.Forward); !ok || forward.Target.Incarnation != 2 {
		t.Fatalf("got %+v, want a forward to incarnation 2", forward)
	}
}
