package dataplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
)

// requestClass is how often requests of a class come, and on which route.
type requestClass struct {
	path  string
	every time.Duration
}

// offerLoad plays classes of requests against a service for a time, each request working equally long, and returns
// which part of each class was forwarded.
func offerLoad(proxy *testProxy, work, span time.Duration, classes []requestClass) map[string]float64 {
	asked, forwarded := map[string]int{}, map[string]int{}
	class := map[uint64]string{}
	type end struct {
		at time.Duration
		id uint64
	}
	var ends []end
	take := func(commands []statemachine.Command) {
		for _, c := range commands {
			if forward, ok := c.(statemachine.Forward); ok {
				forwarded[class[forward.ID]]++
				ends = append(ends, end{proxy.now + work, forward.ID})
			}
		}
	}
	id := uint64(0)
	till := proxy.now + span
	next := map[string]time.Duration{}
	for proxy.now < till {
		proxy.now += time.Millisecond
		proxy.machine.leaseUntil = proxy.now + time.Second
		for len(ends) > 0 && ends[0].at <= proxy.now {
			e := ends[0]
			ends = ends[1:]
			take(proxy.step(statemachine.AttemptDone{ID: e.id, Outcome: statemachine.Served, Milliseconds: float64(work.Milliseconds()), Last: true}))
		}
		if proxy.now%(10*time.Millisecond) == 0 {
			take(proxy.step(statemachine.Tick{}))
		}
		for _, c := range classes {
			for next[c.path] <= proxy.now {
				next[c.path] = max(next[c.path], proxy.now-c.every) + c.every
				id++
				class[id] = c.path
				asked[c.path]++
				take(proxy.step(statemachine.Admit{ID: id, Host: "h", Path: c.path, Timeout: 2 * time.Second}))
			}
		}
	}
	parts := map[string]float64{}
	all := 0
	for p, n := range asked {
		parts[p] = float64(forwarded[p]) / float64(n)
		parts["all"] += float64(forwarded[p])
		all += n
	}
	parts["all"] /= float64(all)
	return parts
}

// Under lasting pressure by more requests of higher priority than the targets can take, those of lower priority are
// still served a quarter as often as all.
func TestLowPriorityIsNotStarved(t *testing.T) {
	for _, urgent := range []time.Duration{8 * time.Millisecond, 4 * time.Millisecond, 2 * time.Millisecond} {
		proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(4)), readyTarget("b", withSlots(4)))
		got := offerLoad(proxy, 50*time.Millisecond, 30*time.Second, []requestClass{{"/once/", urgent}, {"/low/", 20 * time.Millisecond}})
		t.Logf("urgent every %v: %v", urgent, got)
		if got["/low/"] < got["all"]/4 {
			t.Errorf("urgent every %v: low priority is served at %.2f, all at %.2f", urgent, got["/low/"], got["all"])
		}
		if got["/once/"] < got["/low/"]-0.05 {
			t.Errorf("urgent every %v: high priority is served at %.2f, low at %.2f", urgent, got["/once/"], got["/low/"])
		}
	}
}
