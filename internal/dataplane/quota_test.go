package dataplane

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// Shares of a cap add up to it over all proxies, for ready and warming targets alike.
func TestCapSharesAddUp(t *testing.T) {
	for count := 1; count <= 12; count++ {
		cold, ready := 0, 0
		for i := range count {
			proxy := newTestProxy(fmt.Sprintf("g%d", i+1), count, ruleConfig)
			proxy.table(count, ruleConfig, readyTarget("a", warming), readyTarget("b"))
			n := 0
			for id := uint64(1); ; id++ {
				forward, ok := proxy.admit(id).(statemachine.Forward)
				if !ok {
					break
				}
				n++
				if forward.Target.Name == "a" {
					cold++
				} else {
					ready++
				}
			}
		}
		if cold != 3 || ready != 8 {
			t.Errorf("%d proxies: %d of 3 at the warming target, %d of 8 at the ready one", count, cold, ready)
		}
	}
}

// Every slot is in the quota of one proxy, sums differ by one at most, own domains come first as far as that is
// even, and a target that goes moves few other slots.
func TestSlotsAreDistributedEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count, zones := rapid.IntRange(1, 40).Draw(t, "proxies"), rapid.IntRange(1, 4).Draw(t, "domains")
		var names, domains []string
		for i := range count {
			names, domains = append(names, fmt.Sprintf("g%d", i)), append(domains, fmt.Sprint(i%zones))
		}
		var pools []slotPool
		total := 0
		for i := range rapid.IntRange(1, 60).Draw(t, "targets") {
			n := rapid.IntRange(1, 8).Draw(t, "slots")
			pools = append(pools, slotPool{hash: targetHash(wire.TargetID{Service: "s", Name: fmt.Sprint(i)}), domain: fmt.Sprint(i % zones), slots: n})
			total += n
		}
		parts := distributeSlots(pools, names, domains)
		sums := make([]int, count)
		for i, l := range pools {
			n := 0
			for j := range names {
				n, sums[j] = n+parts[i][j], sums[j]+parts[i][j]
			}
			if n != l.slots {
				t.Fatalf("%d of %d slots distributed", n, l.slots)
			}
		}
		for j, n := range sums {
			if n != total/count && n != total/count+1 {
				t.Fatalf("proxy %d has %d of %d among %d", j, n, total, count)
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
			t.Fatalf("proxy %d has its 7 or 8 slots at %d targets: all of them may be slow ones", j, n)
		}
	}
	away, moved := 0, 0
	for i := range 29 {
		for j := range names {
			if domains[j] != pools[i].domain {
				away += before[i][j]
			}
			moved += max(0, before[i][j]-after[i][j])
		}
	}
	if away > 6 || moved > 20 {
		t.Fatalf("%d of 90 slots away from their domain, %d moved with one of 30 targets", away, moved)
	}
}

// Without any communication no request waits at a target while each proxy keeps to its quota.
func TestQuotasDoNotOverlap(t *testing.T) {
	var targets []wire.Target
	for i := range 6 {
		targets = append(targets, readyTarget(fmt.Sprint(i), withSlots(3)))
	}
	at := map[string]int{}
	for i := range 12 {
		proxy := newTestProxy(fmt.Sprintf("g%d", i+1), 12, routeConfig, targets...)
		if forward, ok := proxy.admitOnRoute(1, "/a/", 0).(statemachine.Forward); ok {
			at[forward.Target.Name]++
		}
	}
	for n, c := range at {
		if c > 3 {
			t.Errorf("%d at %s", c, n)
		}
	}
	if len(at) < 4 {
		t.Errorf("%v", at)
	}
}

// A cap that is lower than the slots that targets report holds for all proxies together.
func TestCapBoundsSlots(t *testing.T) {
	document := `{"services":{"s":{"cap":4}},"routes":{"r":{"host":"h","prefix":"/a/","kind":"repeatable","timeout_ms":2000,"service":"s","attempts":1}}}`
	at := map[string]int{}
	for i := range 5 {
		proxy := newTestProxy(fmt.Sprintf("g%d", i+1), 5, document, readyTarget("a", withSlots(9)), readyTarget("b", withSlots(9)), readyTarget("c"))
		for id := uint64(1); id < 40; id++ {
			if forward, ok := proxy.admitOnRoute(id, "/a/", 0).(statemachine.Forward); ok {
				at[forward.Target.Name]++
			}
		}
	}
	if at["a"] != 4 || at["b"] != 4 || at["c"] != 4 {
		t.Fatalf("%v with a cap of 4", at)
	}
}

// Where all targets are ejected, those whose heartbeats arrive are shared by quotas as others are.
func TestEjectedTargetsHaveQuotas(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(9), ejected), readyTarget("b", withSlots(9), ejected))
	for id := uint64(1); id <= 18; id++ {
		if _, ok := proxy.admitOnRoute(id, "/a/", 0).(statemachine.Forward); !ok {
			t.Fatalf("%d of 18", id-1)
		}
	}
}
