package dataplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// A target whose ejection was lifted draws no requests away from targets that work well. After
// tuning.ReconcileEvery it is treated like them again.
func TestReinstatedTargetTakesNoLoadAtFirst(t *testing.T) {
	proxy := newTestProxy("g1", 1, ruleConfig, readyTarget("a"), readyTarget("b"), readyTarget("c", ejected))
	id := uint64(0)
	requestsToC := func(n int) (count int) {
		for range n {
			id++
			forward := proxy.admit(id).(statemachine.Forward)
			if forward.Target.Name == "c" {
				count++
			}
			proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 1, Last: true})
		}
		return count
	}
	if n := requestsToC(30); n != 0 {
		t.Fatalf("%d of 30 requests sent to the ejected target, want 0", n)
	}
	proxy.now += 100 * time.Millisecond
	proxy.sendTable(1, ruleConfig, readyTarget("a"), readyTarget("b"), readyTarget("c"))
	if n := requestsToC(30); n != 0 {
		t.Fatalf("%d of 30 requests sent to the target whose ejection was just lifted, want 0", n)
	}
	proxy.now += tuning.ReconcileEvery + 100*time.Millisecond
	proxy.sendTable(1, ruleConfig, readyTarget("a"), readyTarget("b"), readyTarget("c"))
	if n := requestsToC(30); n < 5 || n > 15 {
		t.Fatalf("%d of 30 requests sent to one of three equal targets, want 5 to 15", n)
	}
	proxy.sendTable(1, ruleConfig, readyTarget("a"), readyTarget("b", highDemand), readyTarget("c"))
	if n := requestsToC(30); n < 10 {
		t.Fatalf("%d of 30 requests sent to c while b is busy, want 10 or more", n)
	}
}

// If the table ejects every target, a proxy that serves on peer leases uses targets whose heartbeats it
// receives steadily itself. Heartbeats reported in the leader's table don't count any more.
func TestPeerServingTakesHeartbeatingTargetsAsLastResort(t *testing.T) {
	proxy := newTestProxy("g1", 3, ruleConfig, readyTarget("a", ejected), readyTarget("b", ejected))
	if _, ok := proxy.admit(1).(statemachine.Forward); !ok {
		t.Fatal("request rejected although the table, with a valid lease, reports heartbeats of the ejected targets")
	}
	proxy.step(statemachine.AttemptDone{ID: 1, Last: true})
	proxy.loseLeader()
	if reject, ok := proxy.admit(2).(statemachine.Reject); !ok || reject.Code != "no_target" {
		t.Fatalf("got %+v without heartbeats, want a rejection with code no_target", reject)
	}
	proxy.receiveHeartbeat(readyTarget("b"))
	if reject, ok := proxy.admit(3).(statemachine.Reject); !ok {
		t.Fatalf("request not rejected after a single heartbeat of a target: %+v", reject)
	}
	for range 3 {
		proxy.now += tuning.TargetHeartbeatEvery
		proxy.receiveHeartbeat(readyTarget("b"))
	}
	proxy.confirmByPeers()
	if forward, ok := proxy.admit(4).(statemachine.Forward); !ok || forward.Target.Name != "b" {
		t.Fatalf("got %+v, want a forward to b, the only target with steady heartbeats", forward)
	}
}
