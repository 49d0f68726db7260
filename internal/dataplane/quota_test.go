package dataplane

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// The shares of a cap add up to it over all proxies, for ready and for warming targets.
func TestCapSharesAddUp(t *testing.T) {
	for count := 1; count <= 12; count++ {
		atWarming, atReady := 0, 0
		for i := range count {
			proxy := newTestProxy(fmt.Sprintf("g%d", i+1), count, ruleConfig)
			proxy.sendTable(count, ruleConfig, readyTarget("a", warming), readyTarget("b"))
			for id := uint64(1); ; id++ {
				forward, ok := proxy.admit(id).(statemachine.Forward)
				if !ok {
					break
				}
				if forward.Target.Name == "a" {
					atWarming++
				} else {
					atReady++
				}
			}
		}
		if atWarming != 3 || atReady != 8 {
			t.Errorf("%d proxies: %d requests at the warming target and %d at the ready one, want 3 and 8", count, atWarming, atReady)
		}
	}
}

// Every slot is in the quota of exactly one proxy, and the totals of two proxies differ by at most one. Proxies
// get slots of their own domain first as far as the totals allow, each proxy has slots at many targets, and
// removing a target moves few other slots.
func TestSlotsAreDistributedEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count, domainCount := rapid.IntRange(1, 40).Draw(t, "proxies"), rapid.IntRange(1, 4).Draw(t, "domains")
		var names, domains []string
		for i := range count {
			names, domains = append(names, fmt.Sprintf("g%d", i)), append(domains, fmt.Sprint(i%domainCount))
		}
		var pools []slotPool
		total := 0
		for i := range rapid.IntRange(1, 60).Draw(t, "targets") {
			n := rapid.IntRange(1, 8).Draw(t, "slots")
			pools = append(pools, slotPool{hash: targetHash(wire.TargetID{Service: "s", Name: fmt.Sprint(i)}), domain: fmt.Sprint(i % domainCount), slots: n})
			total += n
		}
		quotas := distributeSlots(pools, names, domains)
		sums := make([]int, count)
		for i, pool := range pools {
			n := 0
			for j := range names {
				n, sums[j] = n+quotas[i][j], sums[j]+quotas[i][j]
			}
			if n != pool.slots {
				t.Fatalf("%d slots of a target distributed, want all %d", n, pool.slots)
			}
		}
		for j, n := range sums {
			if n != total/count && n != total/count+1 {
				t.Fatalf("proxy %d has %d of %d slots with %d proxies, want %d or %d", j, n, total, count, total/count, total/count+1)
			}
		}
	})
	var names, domains []string
	for i := range 12 {
		names, domains = append(names, fmt.Sprintf("g%d", i)), append(domains, fmt.Sprint(i%3))
	}
	var pools []slotPool
	for i := range 30 {
		pools = append(pools, slotPool{hash: targetHash(wire.TargetID{Service: "s", Name: fmt.Sprint(i)}), domain: fmt.Sprint(i % 3), slots: 3})
	}
	before, after := distributeSlots(pools, names, domains), distributeSlots(pools[:29], names, domains)
	for j := range names {
		n := 0
		for i := range pools {
			n += min(before[i][j], 1)
		}
		if n < 6 {
			t.Fatalf("proxy %d has its 7 or 8 slots at only %d targets, want 6 or more, so that not all are slow", j, n)
		}
	}
	remote, moved := 0, 0
	for i := range 29 {
		for j := range names {
			if domains[j] != pools[i].domain {
				remote += before[i][j]
			}
			moved += max(0, before[i][j]-after[i][j])
		}
	}
	if remote > 6 || moved > 20 {
		t.Fatalf("%d of 90 slots assigned outside their domain, want at most 6; %d moved when 1 of 30 targets was removed, want at most 20", remote, moved)
	}
}

// No request waits at a target while each proxy keeps to its quota, without any communication among proxies.
func TestQuotasDoNotOverlap(t *testing.T) {
	var targets []wire.Target
	for i := range 6 {
		targets = append(targets, readyTarget(fmt.Sprint(i), withSlots(3)))
	}
	requests := map[string]int{}
	for i := range 12 {
		proxy := newTestProxy(fmt.Sprintf("g%d", i+1), 12, routeConfig, targets...)
		if forward, ok := proxy.admitOnRoute(1, "/a/", 0).(statemachine.Forward); ok {
			requests[forward.Target.Name]++
		}
	}
	for name, n := range requests {
		if n > 3 {
			t.Errorf("%d requests at target %s with 3 slots, want at most 3", n, name)
		}
	}
	if len(requests) < 4 {
		t.Errorf("requests by target: %v, want 4 targets or more", requests)
	}
}

// A cap that is lower than the number of slots a target reports limits the requests of all proxies together.
func TestCapBoundsSlots(t *testing.T) {
	document := `{"services":{"s":{"cap":4}},"routes":{"r":{"host":"h","prefix":"/a/","kind":"repeatable","timeout_ms":2000,"service":"s","attempts":1}}}`
	requests := map[string]int{}
	for i := range 5 {
		proxy := newTestProxy(fmt.Sprintf("g%d", i+1), 5, document, readyTarget("a", withSlots(9)), readyTarget("b", withSlots(9)), readyTarget("c"))
		for id := uint64(1); id < 40; id++ {
			if forward, ok := proxy.admitOnRoute(id, "/a/", 0).(statemachine.Forward); ok {
				requests[forward.Target.Name]++
			}
		}
	}
	if requests["a"] != 4 || requests["b"] != 4 || requests["c"] != 4 {
		t.Fatalf("requests by target: %v, want 4 at each, which is the cap", requests)
	}
}

// If all targets are ejected, those whose heartbeats arrive are divided by quotas like any others.
func TestEjectedTargetsHaveQuotas(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(9), ejected), readyTarget("b", withSlots(9), ejected))
	for id := uint64(1); id <= 18; id++ {
		if _, ok := proxy.admitOnRoute(id, "/a/", 0).(statemachine.Forward); !ok {
			t.Fatalf("only %d of 18 requests were forwarded", id-1)
		}
	}
}
