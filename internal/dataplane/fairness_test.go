package dataplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
)

// requestClass describes requests that arrive on one route at a fixed interval.
type requestClass struct {
	path  string
	every time.Duration
}

// offerLoad sends classes of requests to a proxy for a time span. Each forwarded request occupies its target
// for the duration work. It returns the fraction of forwarded requests of each class, and of all requests under
// the key "all".
func offerLoad(proxy *testProxy, work, span time.Duration, classes []requestClass) map[string]float64 {
	arrived, forwarded := map[string]int{}, map[string]int{}
	classOf := map[uint64]string{}
	type end struct {
		at time.Duration
		id uint64
	}
	var ends []end
	record := func(commands []statemachine.Command) {
		for _, c := range commands {
			if forward, ok := c.(statemachine.Forward); ok {
				forwarded[classOf[forward.ID]]++
				ends = append(ends, end{proxy.now + work, forward.ID})
			}
		}
	}
	id := uint64(0)
	until := proxy.now + span
	next := map[string]time.Duration{}
	for proxy.now < until {
		proxy.now += time.Millisecond
		proxy.machine.leaseUntil = proxy.now + time.Second
		for len(ends) > 0 && ends[0].at <= proxy.now {
			e := ends[0]
			ends = ends[1:]
			record(proxy.step(statemachine.AttemptDone{ID: e.id, Outcome: statemachine.Served, Milliseconds: float64(work.Milliseconds()), Last: true}))
		}
		if proxy.now%(10*time.Millisecond) == 0 {
			record(proxy.step(statemachine.Tick{}))
		}
		for _, c := range classes {
			for next[c.path] <= proxy.now {
				next[c.path] = max(next[c.path], proxy.now-c.every) + c.every
				id++
				classOf[id] = c.path
				arrived[c.path]++
				record(proxy.step(statemachine.Admit{ID: id, Host: "h", Path: c.path, Timeout: 2 * time.Second}))
			}
		}
	}
	fractions := map[string]float64{}
	all := 0
	for p, n := range arrived {
		fractions[p] = float64(forwarded[p]) / float64(n)
		fractions["all"] += float64(forwarded[p])
		all += n
	}
	fractions["all"] /= float64(all)
	return fractions
}

// While requests of high priority keep exceeding the capacity of the targets, requests of low priority are
// still forwarded at a quarter of the average rate or more. The route of /once/ has the highest priority, 0, and
// that of /low/ has priority 3.
func TestLowPriorityIsNotStarved(t *testing.T) {
	for _, highEvery := range []time.Duration{8 * time.Millisecond, 4 * time.Millisecond, 2 * time.Millisecond} {
		proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(4)), readyTarget("b", withSlots(4)))
		got := offerLoad(proxy, 50*time.Millisecond, 30*time.Second, []requestClass{{"/once/", highEvery}, {"/low/", 20 * time.Millisecond}})
		t.Logf("a request of high priority every %v: fractions forwarded: %v", highEvery, got)
		if got["/low/"] < got["all"]/4 {
			t.Errorf("a request of high priority every %v: fraction forwarded is %.2f for low priority and %.2f for all, want at least a quarter of the latter for low priority", highEvery, got["/low/"], got["all"])
		}
		if got["/once/"] < got["/low/"]-0.05 {
			t.Errorf("a request of high priority every %v: fraction forwarded is %.2f for high priority and %.2f for low, want the fraction for high priority to be at most 0.05 below the one for low", highEvery, got["/once/"], got["/low/"])
		}
	}
}
