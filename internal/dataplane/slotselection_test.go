package dataplane

import (
	"math/rand/v2"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Beyond its quota a proxy borrows where a target reports a free slot, otherwise within its window. The other
// requests wait by priority for a part of the latency target, and are rejected then.
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
		t.Fatalf("%d in flight with an even quota of 2", forwarded)
	}
	first := id
	if x := proxy.admitOnRoute(100, "/low/", time.Second); x != nil {
		t.Fatalf("%+v", x)
	}
	if x := proxy.admitOnRoute(101, "/once/", time.Second); x != nil {
		t.Fatalf("%+v", x)
	}
	if reject, ok := proxy.admitOnRoute(102, "/low/", time.Second).(statemachine.Reject); !ok || reject.RetryAfter < 50*time.Millisecond || reject.RetryAfter > 100*time.Millisecond {
		t.Fatalf("%+v", reject)
	}
	out := proxy.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.Served, Last: true})
	if _, ok := responseTo(101, out).(statemachine.Forward); !ok || responseTo(first, out) != nil {
		t.Fatalf("the highest priority first: %+v", out)
	}
	out = proxy.advance(101 * time.Millisecond)
	if reject, ok := responseTo(first, out).(statemachine.Reject); !ok || reject.Status != 503 || proxy.machine.service("s").queue != nil && len(proxy.machine.service("s").queue) > 0 {
		t.Fatalf("%+v", out)
	}
	// A target that reports free slots takes more than the window.
	proxy.step(statemachine.AttemptDone{ID: 2, Outcome: statemachine.Served, Load: &statemachine.TargetLoad{Running: 1, Slots: 4}, Last: true})
	n := 0
	for id := uint64(200); id < 220; id++ {
		if _, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward); ok {
			n++
		}
	}
	if n < 2 {
		t.Fatalf("%d at a target with free slots", n)
	}
}

// A target that says it is full is left out for a moment, and the window shrinks.
func TestFullTargetIsSkipped(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(4)), readyTarget("b", withSlots(4)))
	forward := proxy.admitOnRoute(1, "/once/", time.Second).(statemachine.Forward)
	full := forward.Target.Name
	proxy.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.TargetRejected})
	for id := uint64(2); id < 5; id++ {
		if forward, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward); !ok || forward.Target.Name == full {
			t.Fatalf("%+v", forward)
		}
	}
	proxy.advance(tuning.TargetFullBackoff + time.Millisecond)
	for id := uint64(5); ; id++ {
		forward, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward)
		if !ok {
			t.Fatal("never again")
		}
		if forward.Target.Name == full {
			break
		}
	}
	if proxy.machine.targets[wire.TargetID{Service: "s", Name: full, Incarnation: 1}].statistics.Rejected != 1 {
		t.Fatal("not counted")
	}
}

// A slow target gets less, and is tried again once its slowness is forgotten.
func TestSlowTargetGetsLess(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(4)), readyTarget("b", withSlots(4)))
	id := uint64(0)
	share := func(n int, slow float64) (c int) {
		for range n / 4 {
			took := map[uint64]float64{}
			for range 4 {
				id++
				took[id] = 100
				if proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward).Target.Name == "a" {
					c, took[id] = c+1, slow
				}
			}
			for i := id - 3; i <= id; i++ {
				proxy.step(statemachine.AttemptDone{ID: i, Outcome: statemachine.Served, Milliseconds: took[i], Last: true})
			}
		}
		return c
	}
	share(40, 400)
	if n := share(40, 400); n > 12 {
		t.Fatalf("%d of 40 at the slow one", n)
	}
	proxy.advance(tuning.SpeedTTL + time.Millisecond)
	if n := share(1000, 100); n < 300 {
		t.Fatalf("%d of 1000 at one that is slow no more", n)
	}
}

// A fast target's last free slot goes before a slow one's first, and random single response times do not undo it.
func TestFastTargetPreferredToIdleSlowTarget(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(4)), readyTarget("b", withSlots(4)), readyTarget("c", withSlots(4)))
	r := rand.New(rand.NewPCG(1, 2))
	usual := map[string]float64{"a": 66, "b": 100, "c": 200}
	id := uint64(0)
	n := map[string]int{}
	for round := range 200 {
		var took []float64
		for range 6 {
			id++
			at := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward).Target.Name
			if round >= 40 {
				n[at]++
			}
			took = append(took, usual[at]*(0.3+1.4*r.Float64()))
		}
		for i, ms := range took {
			proxy.step(statemachine.AttemptDone{ID: id - 5 + uint64(i), Outcome: statemachine.Served, Milliseconds: ms, Last: true})
		}
		proxy.advance(100 * time.Millisecond)
	}
	if n["c"] > 60 || n["a"] < 500 {
		t.Fatalf("%v of 960 at targets that take %v", n, usual)
	}
}

// A target of the proxy's own domain that reports a free slot goes before slots of its quota elsewhere, and those
// before a free slot that is reported elsewhere.
func TestLocalFreeSlotBeforeRemoteQuota(t *testing.T) {
	near, far := func(t *wire.Target) { t.Domain = "z1" }, func(t *wire.Target) { t.Domain = "z2" }
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(4), near), readyTarget("b", withSlots(4), far), readyTarget("c", withSlots(4), far))
	proxy.machine.settings.Self.Domain = "z1"
	proxy.table(1, routeConfig, readyTarget("a", withSlots(4), near), readyTarget("b", withSlots(4), far), readyTarget("c", withSlots(4), far))
	at := map[string]*targetState{}
	for _, x := range proxy.machine.targets {
		at[x.Name] = x
		x.quota, x.loadReportedAt = 0, proxy.now // as reported: nothing runs
	}
	at["b"].quota = 1
	for i, want := range []string{"a", "a", "a", "a", "b", "c"} {
		if forward, ok := proxy.admitOnRoute(uint64(i+1), "/a/", time.Second).(statemachine.Forward); !ok || forward.Target.Name != want {
			t.Fatalf("%d: %+v, not %s", i, forward.Target, want)
		}
	}
}
