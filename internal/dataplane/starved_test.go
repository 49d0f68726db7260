package dataplane

import (
	"myrtlefold/internal/shared/statemachine"
	"testing"
	"time"
)

// load is how often a class of requests comes, and on which route.
type load struct {
	path  string
	every time.Duration
}

// press plays classes of requests against a service for a time, each request working so
// long, and says which part of each class was given a target.
func press(b *bench, work, span time.Duration, classes []load) map[string]float64 {
	asked, given := map[string]int{}, map[string]int{}
	class := map[uint64]string{}
	type end struct {
		at time.Duration
		id uint64
	}
	var ends []end
	take := func(cmds []statemachine.Command) {
		for _, c := range cmds {
			if g, ok := c.(statemachine.Forward); ok {
				given[class[g.ID]]++
				ends = append(ends, end{b.now + work, g.ID})
			}
		}
	}
	id := uint64(0)
	till := b.now + span
	next := map[string]time.Duration{}
	for b.now < till {
		b.now += time.Millisecond
		b.g.leaseUntil = b.now + time.Second
		for len(ends) > 0 && ends[0].at <= b.now {
			e := ends[0]
			ends = ends[1:]
			take(b.step(statemachine.AttemptDone{ID: e.id, Outcome: statemachine.Served, Milliseconds: float64(work.Milliseconds()), Last: true}))
		}
		if b.now%(10*time.Millisecond) == 0 {
			take(b.step(statemachine.Tick{}))
		}
		for _, c := range classes {
			for next[c.path] <= b.now {
				next[c.path] = max(next[c.path], b.now-c.every) + c.every
				id++
				class[id] = c.path
				asked[c.path]++
				take(b.step(statemachine.Admit{ID: id, Host: "h", Path: c.path, Timeout: 2 * time.Second}))
			}
		}
	}
	parts := map[string]float64{}
	all := 0
	for p, n := range asked {
		parts[p] = float64(given[p]) / float64(n)
		parts["all"] += float64(given[p])
		all += n
	}
	parts["all"] /= float64(all)
	return parts
}

// Under lasting pressure by more urgent requests than the targets can bear, the least urgent
// are still served a quarter as often as all.
func TestLeastUrgentAreNotStarved(t *testing.T) {
	for _, urgent := range []time.Duration{8 * time.Millisecond, 4 * time.Millisecond, 2 * time.Millisecond} {
		b := newBench("g1", 1, routed, to("a", slots(4)), to("b", slots(4)))
		got := press(b, 50*time.Millisecond, 30*time.Second, []load{{"/once/", urgent}, {"/low/", 20 * time.Millisecond}})
		t.Logf("urgent every %v: %v", urgent, got)
		if got["/low/"] < got["all"]/4 {
			t.Errorf("urgent every %v: the least urgent are served at %.2f, all at %.2f", urgent, got["/low/"], got["all"])
		}
		if got["/once/"] < got["/low/"]-0.05 {
			t.Errorf("urgent every %v: the urgent are served at %.2f, the least urgent at %.2f", urgent, got["/once/"], got["/low/"])
		}
	}
}
