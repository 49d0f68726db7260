package dataplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// A target whose ejection was lifted takes no requests from those that work well. After tuning.ReconcileEvery it
// counts as one of them again.
func TestReinstatedTargetTakesNoLoadAtFirst(t *testing.T) {
	proxy := newTestProxy("g1", 1, ruleConfig, readyTarget("a"), readyTarget("b"), readyTarget("c", ejected))
	id := uint64(0)
	share := func(n int) (c int) {
		for range n {
			id++
			forward := proxy.admit(id).(statemachine.Forward)
			if forward.Target.Name == "c" {
				c++
			}
			proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 1, Last: true})
		}
		return c
	}
	if n := share(30); n != 0 {
		t.Fatalf("%d requests at an ejected target", n)
	}
	proxy.now += 100 * time.Millisecond
	proxy.table(1, ruleConfig, readyTarget("a"), readyTarget("b"), readyTarget("c"))
	if n := share(30); n != 0 {
		t.Fatalf("the return moved %d of 30 requests", n)
	}
	proxy.now += tuning.ReconcileEvery + 100*time.Millisecond
	proxy.table(1, ruleConfig, readyTarget("a"), readyTarget("b"), readyTarget("c"))
	if n := share(30); n < 5 || n > 15 {
		t.Fatalf("%d of 30 requests at the third of three", n)
	}
	proxy.table(1, ruleConfig, readyTarget("a"), readyTarget("b", highDemand), readyTarget("c"))
	if a := share(30); a < 10 {
		t.Fatalf("%d of 30 at c while b is busy", a)
	}
}

// Where the table ejects every target, a proxy that serves on peer leases uses those whose heartbeats arrive now,
// not those whose heartbeats arrived when the leader still kept the table.
func TestPeerServingTakesHeartbeatingTargetsAsLastResort(t *testing.T) {
	proxy := newTestProxy("g1", 3, ruleConfig, readyTarget("a", ejected), readyTarget("b", ejected))
	if _, ok := proxy.admit(1).(statemachine.Forward); !ok {
		t.Fatal("the leader's report of heartbeats counts while it is fresh")
	}
	proxy.step(statemachine.AttemptDone{ID: 1, Last: true})
	proxy.loseLeader()
	if reject, ok := proxy.admit(2).(statemachine.Reject); !ok || reject.Code != "no_target" {
		t.Fatalf("%+v", reject)
	}
	proxy.receiveHeartbeat(readyTarget("b"))
	if reject, ok := proxy.admit(3).(statemachine.Reject); !ok {
		t.Fatalf("one late heartbeat made %+v the last resort", reject)
	}
	for range 3 {
		proxy.now += tuning.TargetHeartbeatEvery
		proxy.receiveHeartbeat(readyTarget("b"))
	}
	proxy.confirmByPeers()
	if forward, ok := proxy.admit(4).(statemachine.Forward); !ok || forward.Target.Name != "b" {
		t.Fatalf("%+v", forward)
	}
}
