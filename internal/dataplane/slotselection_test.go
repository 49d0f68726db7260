package dataplane

import (
	"math/rand/v2"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Beyond its quota a proxy borrows slots within its window, and beyond the window only at targets that report
// free slots. Other requests are queued by priority for a fraction of the latency target, and then rejected.
func TestBorrowingWindowAndQueue(t *testing.T) {
	targets := []wire.Target{readyTarget("a", withSlots(4)), readyTarget("b", withSlots(4)), readyTarget("c", withSlots(4)), readyTarget("d", withSlots(4))}
	proxy := newTestProxy("g1", 8, routeConfig, targets...)
	id, forwarded := uint64(0), 0
	for {
		id++
		if _, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward); !ok {
			break
		}
		forwarded++
	}
	if forwarded != int(tuning.QuotaOvercommit*2+tuning.QuotaExtra) {
		t.Fatalf("%d requests in flight with an even quota of 2, want %d", forwarded, int(tuning.QuotaOvercommit*2+tuning.QuotaExtra))
	}
	first := id
	if response := proxy.admitOnRoute(100, "/low/", time.Second); response != nil {
		t.Fatalf("got %+v for a request of low priority, want it to be queued", response)
	}
	if response := proxy.admitOnRoute(101, "/once/", time.Second); response != nil {
		t.Fatalf("got %+v for a request of the highest priority, want it to be queued", response)
	}
	if reject, ok := proxy.admitOnRoute(102, "/low/", time.Second).(statemachine.Reject); !ok || reject.RetryAfter < 50*time.Millisecond || reject.RetryAfter > 100*time.Millisecond {
		t.Fatalf("got %+v with a full queue, want a rejection with a retry time of 50 to 100 ms", reject)
	}
	commands := proxy.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.Served, Last: true})
	if _, ok := responseTo(101, commands).(statemachine.Forward); !ok || responseTo(first, commands) != nil {
		t.Fatalf("got %+v, want the queued request of the highest priority to be forwarded first", commands)
	}
	commands = proxy.advance(101 * time.Millisecond)
	if reject, ok := responseTo(first, commands).(statemachine.Reject); !ok || reject.Status != 503 || proxy.machine.service("s").queue != nil && len(proxy.machine.service("s").queue) > 0 {
		t.Fatalf("got %+v after the queue timeout, want request %d rejected with status 503 and an empty queue", commands, first)
	}
	// A target that reports free slots gets requests beyond the window.
	proxy.step(statemachine.AttemptDone{ID: 2, Outcome: statemachine.Served, Load: &statemachine.TargetLoad{Running: 1, Slots: 4}, Last: true})
	n := 0
	for id := uint64(200); id < 220; id++ {
		if _, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward); ok {
			n++
		}
	}
	if n < 2 {
		t.Fatalf("%d requests forwarded to a target with free slots, want 2 or more", n)
	}
}

// A target that rejects a request as full is skipped for tuning.TargetFullBackoff, and the rejection is
// counted.
func TestFullTargetIsSkipped(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(4)), readyTarget("b", withSlots(4)))
	forward := proxy.admitOnRoute(1, "/once/", time.Second).(statemachine.Forward)
	full := forward.Target.Name
	proxy.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.TargetRejected})
	for id := uint64(2); id < 5; id++ {
		if forward, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward); !ok || forward.Target.Name == full {
			t.Fatalf("got %+v, want a forward to a target other than the full one", forward)
		}
	}
	proxy.advance(tuning.TargetFullBackoff + time.Millisecond)
	for id := uint64(5); ; id++ {
		forward, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward)
		if !ok {
			t.Fatal("requests are rejected before the target that was full is chosen again")
		}
		if forward.Target.Name == full {
			break
		}
	}
	if proxy.machine.targets[wire.TargetID{Service: "s", Name: full, Incarnation: 1}].statistics.Rejected != 1 {
		t.Fatal("the rejection was not counted in the statistics of the target")
	}
}

// A slow target gets fewer requests, and is tried again after its slowness has decayed.
func TestSlowTargetGetsLess(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(4)), readyTarget("b", withSlots(4)))
	id := uint64(0)
	requestsToA := func(n int, msOfA float64) (count int) {
		for range n / 4 {
			took := map[uint64]float64{}
			for range 4 {
				id++
				took[id] = 100
				if proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward).Target.Name == "a" {
					count, took[id] = count+1, msOfA
				}
			}
			for i := id - 3; i <= id; i++ {
				proxy.step(statemachine.AttemptDone{ID: i, Outcome: statemachine.Served, Milliseconds: took[i], Last: true})
			}
		}
		return count
	}
	requestsToA(40, 400)
	if n := requestsToA(40, 400); n > 12 {
		t.Fatalf("%d of 40 requests sent to the slow target, want at most 12", n)
	}
	proxy.advance(tuning.SpeedTTL + time.Millisecond)
	if n := requestsToA(1000, 100); n < 300 {
		t.Fatalf("%d of 1000 requests sent to a target that is no longer slow, want 300 or more", n)
	}
}

// The last free slot of a fast target is preferred to an idle slow target, even if single response times vary
// at random.
func TestFastTargetPreferredToIdleSlowTarget(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(4)), readyTarget("b", withSlots(4)), readyTarget("c", withSlots(4)))
	random := rand.New(rand.NewPCG(1, 2))
	meanMs := map[string]float64{"a": 66, "b": 100, "c": 200}
	id := uint64(0)
	requests := map[string]int{}
	for round := range 200 {
		var took []float64
		for range 6 {
			id++
			name := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward).Target.Name
			if round >= 40 {
				requests[name]++
			}
			took = append(took, meanMs[name]*(0.3+1.4*random.Float64()))
		}
		for i, ms := range took {
			proxy.step(statemachine.AttemptDone{ID: id - 5 + uint64(i), Outcome: statemachine.Served, Milliseconds: ms, Last: true})
		}
		proxy.advance(100 * time.Millisecond)
	}
	if requests["c"] > 60 || requests["a"] < 500 {
		t.Fatalf("of 960 requests the targets got %v, want 500 or more at a and at most 60 at c; mean response times in ms: %v", requests, meanMs)
	}
}

// A reported free slot in the proxy's own domain is preferred to slots of its quota in other domains, and those
// are preferred to a free slot reported in another domain.
func TestLocalFreeSlotBeforeRemoteQuota(t *testing.T) {
	local, remote := func(t *wire.Target) { t.Domain = "z1" }, func(t *wire.Target) { t.Domain = "z2" }
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(4), local), readyTarget("b", withSlots(4), remote), readyTarget("c", withSlots(4), remote))
	proxy.machine.settings.Self.Domain = "z1"
	proxy.sendTable(1, routeConfig, readyTarget("a", withSlots(4), local), readyTarget("b", withSlots(4), remote), readyTarget("c", withSlots(4), remote))
	targets := map[string]*targetState{}
	for _, target := range proxy.machine.targets {
		targets[target.Name] = target
		target.quota, target.loadReportedAt = 0, proxy.now // reported as idle
	}
	targets["b"].quota = 1
	for i, want := range []string{"a", "a", "a", "a", "b", "c"} {
		if forward, ok := proxy.admitOnRoute(uint64(i+1), "/a/", time.Second).(statemachine.Forward); !ok || forward.Target.Name != want {
			t.Fatalf("request %d went to %+v, want %s", i, forward.Target, want)
		}
	}
}
