package dataplane

import (
	"fmt"
	"math/rand/v2"
	"myrtlefold/internal/shared/statemachine"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

func slots(n uint32) func(*wire.Target) { return func(t *wire.Target) { t.Slots = n } }

func cold(d time.Duration) func(*wire.Target) {
	return func(t *wire.Target) { t.WarmupLeft = int64(d) }
}

func (b *bench) pass(d time.Duration) []statemachine.Command {
	b.now += d
	b.g.leaseUntil = b.now + time.Second
	return b.step(statemachine.Tick{})
}

func (b *bench) call(id uint64, path string, left time.Duration) any {
	return answer(id, b.step(statemachine.Admit{ID: id, Host: "h:80", Path: path, Method: "GET", Timeout: left}))
}

const routed = `{"services":{"s":{"health_path":"/h","cold_s":3,"cold_per_s":10},"t":{"health_path":"/h"}},"routes":{
	"r":{"host":"h","prefix":"/a/","kind":"repeatable","timeout_ms":2000,"aim_ms":400,"priority":1,"service":"s","attempts":2},
	"low":{"host":"h","prefix":"/low/","kind":"repeatable","timeout_ms":2000,"aim_ms":400,"priority":3,"service":"s","attempts":2},
	"o":{"host":"h","prefix":"/once/","kind":"once","timeout_ms":2000,"aim_ms":400,"service":"s","attempts":3},
	"x":{"host":"h","prefix":"/x/","kind":"repeatable","timeout_ms":2000,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],"attempts":2}}}`

// The host's longest prefix decides; what the caller gives and the route's timeout
// both bound a request; there is no route for anything else.
func TestRoutes(t *testing.T) {
	b := newBench("g1", 3, routed, to("a", slots(8)))
	g, ok := b.call(1, "/a/b", time.Second).(statemachine.Forward)
	if !ok || g.RouteName != "r" || g.Route.Attempts != 2 || g.TimeLeft != time.Second || g.Service != "s" {
		t.Fatalf("%+v", g)
	}
	if g, ok := b.call(2, "/a/b", time.Minute).(statemachine.Forward); !ok || g.TimeLeft != 2*time.Second {
		t.Fatalf("%+v", g)
	}
	if r, ok := b.call(3, "/b", time.Second).(statemachine.Reject); !ok || r.Status != 404 {
		t.Fatalf("%+v", r)
	}
	b.now += tuning.ProxyLease + time.Millisecond
	if r, ok := b.call(4, "/b", time.Second).(statemachine.Reject); !ok || r.Status != 503 || r.RetryAfter > time.Second/3 || r.RetryAfter < tuning.RetryAfterFloor {
		t.Fatalf("%+v: without a fresh table nobody knows", r)
	}
	r := newBench("g1", 1, plain, to("a"))
	if g := r.admit(1).(statemachine.Forward); g.Route.Kind != config.KindRepeatable || g.Route.TimeoutMs != g.ServiceConfig.TimeoutMs || g.RouteName != "" {
		t.Fatalf("%+v", g)
	}
	if g := answer(2, r.step(statemachine.Admit{ID: 2, Path: "/s", Method: "POST"})).(statemachine.Forward); g.Route.Kind != config.KindOnce {
		t.Fatalf("%+v", g)
	}
}

// A split is kept to exactly, and a part whose service has no target goes to another.
func TestSplit(t *testing.T) {
	at := to("z", slots(8))
	at.Service = "t"
	b := newBench("g1", 1, routed, to("a", slots(8)), at)
	n := map[string]int{}
	for id := uint64(1); id <= 200; id++ {
		n[b.call(id, "/x/", 0).(statemachine.Forward).Service]++
		b.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 1, Last: true})
	}
	if n["s"] != 180 || n["t"] != 20 {
		t.Fatalf("%v", n)
	}
	b.table(1, routed, to("a", slots(8)))
	for id := uint64(201); id <= 230; id++ {
		if g, ok := b.call(id, "/x/", 0).(statemachine.Forward); !ok || g.Service != "s" {
			t.Fatalf("%+v", g)
		}
		b.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 1, Last: true})
	}
}

// Every slot is dealt to one proxy, sums differ by one at most, own domains come first
// where that is even, and a target that goes takes few other parts along.
func TestSlotsAreDealt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gates, zones := rapid.IntRange(1, 40).Draw(t, "proxies"), rapid.IntRange(1, 4).Draw(t, "domains")
		var names, doms []string
		for i := range gates {
			names, doms = append(names, fmt.Sprintf("g%d", i)), append(doms, fmt.Sprint(i%zones))
		}
		var lots []slotPool
		total := 0
		for i := range rapid.IntRange(1, 60).Draw(t, "targets") {
			n := rapid.IntRange(1, 8).Draw(t, "slots")
			lots = append(lots, slotPool{hash: targetHash(wire.TargetID{Service: "s", Name: fmt.Sprint(i)}), domain: fmt.Sprint(i % zones), slots: n})
			total += n
		}
		parts := distributeSlots(lots, names, doms)
		sums := make([]int, gates)
		for i, l := range lots {
			n := 0
			for j := range names {
				n, sums[j] = n+parts[i][j], sums[j]+parts[i][j]
			}
			if n != l.slots {
				t.Fatalf("%d of %d slots dealt", n, l.slots)
			}
		}
		for j, n := range sums {
			if n != total/gates && n != total/gates+1 {
				t.Fatalf("proxy %d has %d of %d among %d", j, n, total, gates)
			}
		}
	})
	var names, doms []string
	for i := range 12 {
		names, doms = append(names, fmt.Sprintf("g%d", i)), append(doms, fmt.Sprint(i%3))
	}
	var lots []slotPool
	for i := range 30 {
		lots = append(lots, slotPool{hash: targetHash(wire.TargetID{Service: "s", Name: fmt.Sprint(i)}), domain: fmt.Sprint(i % 3), slots: 3})
	}
	before, after := distributeSlots(lots, names, doms), distributeSlots(lots[:29], names, doms)
	for j := range names {
		n := 0
		for i := range lots {
			n += min(before[i][j], 1)
		}
		if n < 6 {
			t.Fatalf("proxy %d has its 7 or 8 slots at %d targets: all of them may be slow ones", j, n)
		}
	}
	away, moved := 0, 0
	for i := range 29 {
		for j := range names {
			if doms[j] != lots[i].domain {
				away += before[i][j]
			}
			moved += max(0, before[i][j]-after[i][j])
		}
	}
	if away > 6 || moved > 20 {
		t.Fatalf("%d of 90 slots away from their domain, %d moved with one of 30 targets", away, moved)
	}
}

// Proxies that talk to nobody queue at no target while each keeps to its even part.
func TestDealtSlotsNeverMeet(t *testing.T) {
	var ts []wire.Target
	for i := range 6 {
		ts = append(ts, to(fmt.Sprint(i), slots(3)))
	}
	at := map[string]int{}
	for i := range 12 {
		b := newBench(fmt.Sprintf("g%d", i+1), 12, routed, ts...)
		if g, ok := b.call(1, "/a/", 0).(statemachine.Forward); ok {
			at[g.Target.Name]++
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

// Beyond its own slots a proxy borrows where a target says that there is room, within
// its window else; the rest waits by priority, a part of the aim, and is refused then.
func TestBorrowAndWait(t *testing.T) {
	ts := []wire.Target{to("a", slots(4)), to("b", slots(4)), to("c", slots(4)), to("d", slots(4))}
	b := newBench("g1", 8, routed, ts...)
	id, given := uint64(0), 0
	for {
		id++
		if _, ok := b.call(id, "/a/", time.Second).(statemachine.Forward); !ok {
			break
		}
		given++
	}
	if given != int(tuning.QuotaOvercommit*2+tuning.QuotaExtra) {
		t.Fatalf("%d in flight with an even part of 2", given)
	}
	first := id
	if x := b.call(100, "/low/", time.Second); x != nil {
		t.Fatalf("%+v", x)
	}
	if x := b.call(101, "/once/", time.Second); x != nil {
		t.Fatalf("%+v", x)
	}
	if r, ok := b.call(102, "/low/", time.Second).(statemachine.Reject); !ok || r.RetryAfter < 50*time.Millisecond || r.RetryAfter > 100*time.Millisecond {
		t.Fatalf("%+v", r)
	}
	out := b.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.Served, Last: true})
	if _, ok := answer(101, out).(statemachine.Forward); !ok || answer(first, out) != nil {
		t.Fatalf("the highest first: %+v", out)
	}
	out = b.pass(101 * time.Millisecond)
	if r, ok := answer(first, out).(statemachine.Reject); !ok || r.Status != 503 || b.g.service("s").queue != nil && len(b.g.service("s").queue) > 0 {
		t.Fatalf("%+v", out)
	}
	// One that tells of room takes more than the window.
	b.step(statemachine.AttemptDone{ID: 2, Outcome: statemachine.Served, Load: &statemachine.TargetLoad{Running: 1, Slots: 4}, Last: true})
	n := 0
	for id := uint64(200); id < 220; id++ {
		if _, ok := b.call(id, "/a/", time.Second).(statemachine.Forward); ok {
			n++
		}
	}
	if n < 2 {
		t.Fatalf("%d at a target with room", n)
	}
}

// A cap under the slots that are told stays the operator's for the whole fleet.
func TestCapBindsSlots(t *testing.T) {
	doc := `{"services":{"s":{"cap":4}},"routes":{"r":{"host":"h","prefix":"/a/","kind":"repeatable","timeout_ms":2000,"service":"s","attempts":1}}}`
	at := map[string]int{}
	for i := range 5 {
		b := newBench(fmt.Sprintf("g%d", i+1), 5, doc, to("a", slots(9)), to("b", slots(9)), to("c"))
		for id := uint64(1); id < 40; id++ {
			if g, ok := b.call(id, "/a/", 0).(statemachine.Forward); ok {
				at[g.Target.Name]++
			}
		}
	}
	if at["a"] != 4 || at["b"] != 4 || at["c"] != 4 {
		t.Fatalf("%v with a cap of 4", at)
	}
}

// Where all are ejected, those that beat are dealt as others are.
func TestBarredAreDealt(t *testing.T) {
	b := newBench("g1", 1, routed, to("a", slots(9), barred), to("b", slots(9), barred))
	for id := uint64(1); id <= 18; id++ {
		if _, ok := b.call(id, "/a/", 0).(statemachine.Forward); !ok {
			t.Fatalf("%d of 18", id-1)
		}
	}
}

// A target that says it is full is left out for a moment and the window shrinks.
func TestFull(t *testing.T) {
	b := newBench("g1", 1, routed, to("a", slots(4)), to("b", slots(4)))
	g := b.call(1, "/once/", time.Second).(statemachine.Forward)
	full := g.Target.Name
	b.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.TargetRejected})
	for id := uint64(2); id < 5; id++ {
		if g, ok := b.call(id, "/a/", time.Second).(statemachine.Forward); !ok || g.Target.Name == full {
			t.Fatalf("%+v", g)
		}
	}
	b.pass(tuning.TargetFullBackoff + time.Millisecond)
	for id := uint64(5); ; id++ {
		g, ok := b.call(id, "/a/", time.Second).(statemachine.Forward)
		if !ok {
			t.Fatal("never again")
		}
		if g.Target.Name == full {
			break
		}
	}
	if b.g.targets[wire.TargetID{Service: "s", Name: full, Incarnation: 1}].statistics.Rejected != 1 {
		t.Fatal("not counted")
	}
}

// A slow target gets less, and is tried again once that is forgotten.
func TestSlowTargets(t *testing.T) {
	b := newBench("g1", 1, routed, to("a", slots(4)), to("b", slots(4)))
	id := uint64(0)
	share := func(n int, slow float64) (c int) {
		for range n / 4 {
			took := map[uint64]float64{}
			for range 4 {
				id++
				took[id] = 100
				if b.call(id, "/a/", time.Second).(statemachine.Forward).Target.Name == "a" {
					c, took[id] = c+1, slow
				}
			}
			for i := id - 3; i <= id; i++ {
				b.step(statemachine.AttemptDone{ID: i, Outcome: statemachine.Served, Milliseconds: took[i], Last: true})
			}
		}
		return c
	}
	share(40, 400)
	if n := share(40, 400); n > 12 {
		t.Fatalf("%d of 40 at the slow one", n)
	}
	b.pass(tuning.SpeedTTL + time.Millisecond)
	if n := share(1000, 100); n < 300 {
		t.Fatalf("%d of 1000 at one that is slow no more", n)
	}
}

// Cold targets get their rate over all proxies, whatever rosters the proxies stand on and
// whichever of them start anew: in any second no more than half over it.
func TestColdRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 14).Draw(t, "proxies")
		perS := rapid.Float64Range(0.5, 40).Draw(t, "rate")
		doc := fmt.Sprintf(`{"services":{"s":{"health_path":"/h","cold_s":3,"cold_per_s":%v}},"routes":{"r":{"host":"h","prefix":"/a/","kind":"repeatable","timeout_ms":2000,"service":"s","attempts":1}}}`, perS)
		joins := rapid.Bool().Draw(t, "one joins")
		var sent []time.Duration
		gates := make([]*bench, n+1)
		start := func(i int, now time.Duration) {
			gates[i] = &bench{g: New(Settings{Self: wire.Daemon{Name: fmt.Sprintf("g%d", i+1), Kind: wire.ProxyDaemon, Incarnation: 9}}), now: now}
		}
		table := func(b *bench, ver uint64, now time.Duration) {
			b.now = now
			x := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: ver}, Revision: 1, Document: []byte(doc), Targets: []wire.Target{to("a", slots(50), cold(10*time.Second))}}
			names := n
			if ver > 1 {
				names = n + 1
			}
			for i := range names {
				x.Proxies = append(x.Proxies, wire.Proxy{Name: fmt.Sprintf("g%d", i+1), Live: true})
				if ver == 2 && i < n {
					x.PreviousProxies = append(x.PreviousProxies, fmt.Sprintf("g%d", i+1))
				}
			}
			b.g.Step(b.now, statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(b.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: x.Key, Table: x}}})
		}
		ver := make([]uint64, n+1)
		highest := uint64(1)
		for i := range n {
			start(i, time.Second)
			ver[i] = 1
			table(gates[i], 1, time.Second)
		}
		id, restarts := uint64(0), 0
		events := rapid.SliceOfN(rapid.IntRange(0, 2*n-1), 0, 15).Draw(t, "events")
		every := 3 * time.Second / time.Duration(len(events)+1)
		next := time.Second + every
		for now := time.Second; now < 4*time.Second; now += 20 * time.Millisecond {
			if len(events) > 0 && now >= next {
				i := events[0] % n
				what := events[0] / n
				events, next = events[1:], next+every
				switch what {
				case 0:
					restarts++
					start(i, now)
					table(gates[i], ver[i], now)
				case 1:
					// A change is in force everywhere before the next is made.
					low := ver[0]
					for j := range n {
						low = min(low, ver[j])
					}
					if low == highest && highest < 3 {
						highest++
					}
					if joins && ver[i] < highest {
						ver[i]++
						table(gates[i], ver[i], now)
						if ver[i] == 3 && gates[n] == nil {
							start(n, now)
							table(gates[n], 3, now)
						}
					}
				}
			}
			for _, b := range gates {
				if b == nil {
					continue
				}
				b.now = now
				b.g.leaseUntil = now + time.Second
				id++
				for _, c := range append(b.step(statemachine.Tick{}), b.step(statemachine.Admit{ID: id, Host: "h", Path: "/a/", Timeout: time.Second})...) {
					if x, ok := c.(statemachine.Forward); ok {
						sent = append(sent, now)
						b.step(statemachine.AttemptDone{ID: x.ID, Outcome: statemachine.Served, Milliseconds: 5, Last: true})
					}
				}
			}
		}
		from := 0
		for i, at := range sent {
			for at-sent[from] >= time.Second {
				from++
			}
			if c := float64(i - from + 1); c > perS*1.5+2 {
				t.Fatalf("%v in the second up to %v, rate %v", c, at, perS)
			}
		}
		if restarts == 0 && !joins && perS >= 1 && len(sent) < int(perS*1.5) {
			t.Fatalf("only %d at rate %v", len(sent), perS)
		}
	})
}

// Whichever tables stand together while the roster changes jointly, the old one and both
// or both and the new one, the parts of a cold rate and of the slack stay within them.
func TestRatesAreDealt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var before, after, all []string
		for i := range rapid.IntRange(1, 16).Draw(t, "proxies") {
			n := fmt.Sprintf("g%d", i)
			all = append(all, n)
			switch rapid.IntRange(0, 3).Draw(t, n) {
			case 0:
				before = append(before, n)
			case 1:
				after = append(after, n)
			default:
				before, after = append(before, n), append(after, n)
			}
		}
		perS := rapid.Float64Range(0.3, 40).Draw(t, "rate")
		r := RetryBudget{0.2, 10 * time.Second, rapid.Float64Range(1, 90).Draw(t, "slack")}
		late := rapid.Bool().Draw(t, "late")
		state := rapid.SampledFrom([]wire.TargetState{wire.TargetReady, wire.TargetWarming}).Draw(t, "state")
		set := config.Service{WarmupRate: perS, WarmCap: rapid.IntRange(1, 20).Draw(t, "warming cap")}
		rate, slack, least := 0.0, 0.0, 0
		for _, n := range all {
			g := New(Settings{Self: wire.Daemon{Name: n}, Retry: r})
			now, was := after, before
			switch both := rapid.Bool().Draw(t, "both"); {
			case !both && late:
				was = nil
			case !both:
				now, was = before, nil
			}
			g.table = &wire.Table{PreviousProxies: was}
			for _, o := range now {
				g.table.Proxies = append(g.table.Proxies, wire.Proxy{Name: o, Live: true})
			}
			g.reindex(0)
			if gap := g.warmupIntervalOf(&targetState{Target: wire.Target{Service: "s", Name: "a", Incarnation: 1, State: state, ShareOffset: 3}}, set); gap > 0 {
				rate += float64(time.Second) / float64(gap)
				least++
			}
			slack += r.slackOf(hashOf("s"), n, g.memberProxies, g.table.PreviousProxies)
		}
		if rate > perS*1.000001 || float64(least) > max(1, perS/2) || slack > r.Slack*1.000001 {
			t.Fatalf("rates add up to %v of %v at %d proxies, slacks to %v of %v", rate, perS, least, slack, r.Slack)
		}
	})
}

// After its time a target bears what others do.
func TestColdEnds(t *testing.T) {
	b := newBench("g1", 1, routed, to("a", slots(4), cold(time.Second)))
	if _, ok := b.call(1, "/a/", time.Second).(statemachine.Forward); ok {
		t.Fatal("a new life of this proxy sends at once")
	}
	b.pass(time.Second)
	b.pass(tuning.TickEvery)
	for id := uint64(10); id < 13; id++ {
		if g, ok := b.call(id, "/a/", time.Second).(statemachine.Forward); !ok {
			t.Fatalf("%+v", g)
		}
	}
}

// Arrivals beyond the first stay under ratio and slack over all proxies in any window,
// whatever comes to which proxy, whoever starts anew and however tries end.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := RetryBudget{rapid.Float64Range(0.05, 0.3).Draw(t, "ratio"), 10 * time.Second, rapid.Float64Range(1, 80).Draw(t, "slack")}
		n := rapid.IntRange(1, 8).Draw(t, "proxies")
		gates := make([]*bench, n)
		start := func(i int, now time.Duration) {
			b := &bench{g: New(Settings{Self: wire.Daemon{Name: fmt.Sprintf("g%d", i+1), Kind: wire.ProxyDaemon, Incarnation: 9}, Retry: r}), now: now}
			b.table(n, routed, to("a", slots(50)), to("b", slots(50)), to("c", slots(50)))
			gates[i] = b
		}
		for i := range gates {
			start(i, time.Second)
		}
		var came, again []time.Duration
		id := uint64(0)
		calm := time.Duration(rapid.IntRange(0, 12).Draw(t, "calm")) * time.Second
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for now := time.Second; now < 30*time.Second; now += 100 * time.Millisecond {
			i := rnd.IntN(n)
			if rnd.IntN(60) == 0 {
				start(i, now)
			}
			b := gates[i]
			b.now = now
			b.g.leaseUntil = now + time.Second
			for range rnd.IntN(15) {
				id++
				came = append(came, now)
				g, ok := b.call(id, "/a/", time.Second).(statemachine.Forward)
				if !ok {
					continue
				}
				o := []statemachine.Outcome{statemachine.ResponseLost, statemachine.ServerError, statemachine.ServerError, statemachine.Served}[id%4]
				if id%40 == 1 {
					o = statemachine.TargetRejected
				}
				if calm > 0 && now/calm%2 == 0 {
					o = statemachine.Served // what is saved up meanwhile is spent at once
				}
				b.step(statemachine.AttemptDone{ID: g.ID, Outcome: o, Milliseconds: 5, Last: o == statemachine.Served})
				if o == statemachine.Served {
					continue
				}
				if _, ok := answer(id, b.step(statemachine.Retry{ID: id, Sent: true})).(statemachine.Forward); ok {
					again = append(again, now)
					b.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 5, Last: true})
				}
			}
		}
		in := func(l []time.Duration, from, to time.Duration) (n int) {
			for _, at := range l {
				if at >= from && at < to {
					n++
				}
			}
			return n
		}
		for from := time.Duration(0); from < 30*time.Second; from += 500 * time.Millisecond {
			most := max(in(came, from, from+r.Window), in(came, from-r.Window/2, from+r.Window/2), in(came, from-r.Window, from))
			if c := in(again, from, from+r.Window); float64(c) > r.Ratio*float64(most)+r.Slack {
				t.Fatalf("%d of %d from %v, ratio %v slack %v", c, most, from, r.Ratio, r.Slack)
			}
		}
	})
}

// One that may run once gets no second target after a try that may have run, and one
// that was turned away does.
func TestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench("g1", 1, routed, to("a", slots(9)), to("b", slots(9)), to("c", slots(9)))
		for id := uint64(1000); id < 1200; id++ {
			b.call(id, "/a/", 0)
			b.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Last: true})
		}
		b.pass(tuning.RetryWindow / 2)
		may, sends, opens := false, 0, 0
		x := b.call(1, "/once/", 0)
		for {
			if _, ok := x.(statemachine.Forward); !ok {
				break
			}
			if may {
				t.Fatal("given again")
			}
			if sends >= 3 || opens >= tuning.ConnectAttemptsMax {
				t.Fatal("more than its attempts")
			}
			o := rapid.SampledFrom([]statemachine.Outcome{statemachine.ServerError, statemachine.ResponseLost, statemachine.ConnectFailed, statemachine.WrongIdentity, statemachine.ChoiceExpired, statemachine.TargetRejected}).Draw(t, "outcome")
			may = o == statemachine.ServerError || o == statemachine.ResponseLost
			b.step(statemachine.AttemptDone{ID: 1, Outcome: o})
			sent := may || rapid.Bool().Draw(t, "sent")
			if !sent && (o == statemachine.ConnectFailed || o == statemachine.ChoiceExpired) {
				opens++
			} else {
				sends++
			}
			x = answer(1, b.step(statemachine.Retry{ID: 1, Sent: sent}))
		}
		if r, ok := x.(statemachine.Reject); may && (!ok || r.Status == 503 || r.Status == 429) {
			t.Fatalf("%+v promises what nobody knows", x)
		}
	})
}

// Nobody waits behind one of a lower rank or one that came later, nobody is given
// twice, and everybody gets one end.
func TestWaitingOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench("g1", 1, routed, to("a", slots(2)))
		rank := map[uint64]int{}
		at, waits := map[uint64]bool{}, []uint64{}
		see := func(cmds []statemachine.Command) {
			for _, c := range cmds {
				switch c := c.(type) {
				case statemachine.Forward:
					for _, w := range waits {
						if rank[w] < rank[c.ID] || rank[w] == rank[c.ID] && w < c.ID {
							t.Fatalf("%d of rank %d before %d of rank %d", c.ID, rank[c.ID], w, rank[w])
						}
						if w == c.ID {
							break
						}
					}
					if at[c.ID] {
						t.Fatal("given twice")
					}
					at[c.ID] = true
					waits = drop(waits, c.ID)
				case statemachine.Reject:
					waits = drop(waits, c.ID)
				}
			}
		}
		for id := uint64(1); id < 80; id++ {
			see(b.pass(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond))
			path := rapid.SampledFrom([]string{"/a/", "/low/", "/once/"}).Draw(t, "path")
			rank[id] = map[string]int{"/a/": 1, "/low/": 3, "/once/": 0}[path]
			out := b.step(statemachine.Admit{ID: id, Host: "h", Path: path, Timeout: time.Second})
			if answer(id, out) == nil {
				waits = append(waits, id)
			}
			see(out)
			for d := range at {
				if rapid.Bool().Draw(t, "done") {
					delete(at, d)
					see(b.step(statemachine.AttemptDone{ID: d, Outcome: statemachine.Served, Milliseconds: 20, Last: true}))
				}
				break
			}
			for _, w := range append([]uint64{}, waits...) {
				if x := b.g.requests[w]; x == nil || !x.queued {
					waits = drop(waits, w)
				}
			}
		}
	})
}

func drop(l []uint64, id uint64) (out []uint64) {
	for _, x := range l {
		if x != id {
			out = append(out, x)
		}
	}
	return out
}

// A stop is told at once, lasts while requests are under way and no longer than the grace.
func TestStop(t *testing.T) {
	b := newBench("g1", 1, routed, to("a", slots(2)))
	b.g.settings.GracePeriod = 6 * time.Second
	b.call(1, "/a/", 0)
	b.step(statemachine.Stop{})
	if b.g.Ready() || !b.g.Serving() {
		t.Fatal("must serve on, unready")
	}
	exits := func(cmds []statemachine.Command) bool {
		for _, c := range cmds {
			if _, ok := c.(statemachine.Exit); ok {
				return true
			}
		}
		return false
	}
	if exits(b.pass(tuning.ShutdownLinger + time.Millisecond)) {
		t.Fatal("left one under way")
	}
	if exits(b.pass(6*time.Second - tuning.ShutdownMargin - tuning.ShutdownLinger - 10*time.Millisecond)) {
		t.Fatal("left one under way")
	}
	if !exits(b.pass(20 * time.Millisecond)) {
		t.Fatal("over its grace")
	}
	b.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.Served, Last: true})
}

// Targets that no connection opens to cost no attempts, but their number is bounded.
func TestUnsentChoicesAreNoAttempts(t *testing.T) {
	b := newBench("g1", 1, routed, to("a", slots(2)), to("b", slots(2)), to("c", slots(2)), to("d", slots(2)), to("e", slots(2)), to("f", slots(2)))
	for _, path := range []string{"/a/", "/once/"} {
		id, most := uint64(len(path)), 0
		ans := b.call(id, path, 0)
		for ; ; most++ {
			if _, ok := ans.(statemachine.Forward); !ok {
				break
			}
			b.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.ConnectFailed})
			ans = answer(id, b.step(statemachine.Retry{ID: id}))
		}
		if r, ok := ans.(statemachine.Reject); most != tuning.ConnectAttemptsMax || !ok || r.Status != 503 || r.Code != "tries" {
			t.Fatalf("%s: %d choices, then %+v", path, most, ans)
		}
		b.pass(tuning.ClosedEjection)
	}
	ans := b.call(20, "/a/", 0)
	for _, o := range []statemachine.Outcome{statemachine.ConnectFailed, statemachine.ResponseLost, statemachine.ConnectFailed, statemachine.ResponseLost} {
		if _, ok := ans.(statemachine.Forward); !ok {
			t.Fatalf("%+v before %v", ans, o)
		}
		b.step(statemachine.AttemptDone{ID: 20, Outcome: o})
		ans = answer(20, b.step(statemachine.Retry{ID: 20, Sent: o == statemachine.ResponseLost}))
	}
	if _, ok := ans.(statemachine.Reject); !ok {
		t.Fatalf("%+v: it was sent to two", ans)
	}
}

// A fast target's last free slot goes before a slow one's first, and chance in single
// times does not undo it.
func TestFastBeforeIdle(t *testing.T) {
	b := newBench("g1", 1, routed, to("a", slots(4)), to("b", slots(4)), to("c", slots(4)))
	r := rand.New(rand.NewPCG(1, 2))
	usual := map[string]float64{"a": 66, "b": 100, "c": 200}
	id := uint64(0)
	n := map[string]int{}
	for round := range 200 {
		var took []float64
		for range 6 {
			id++
			at := b.call(id, "/a/", time.Second).(statemachine.Forward).Target.Name
			if round >= 40 {
				n[at]++
			}
			took = append(took, usual[at]*(0.3+1.4*r.Float64()))
		}
		for i, ms := range took {
			b.step(statemachine.AttemptDone{ID: id - 5 + uint64(i), Outcome: statemachine.Served, Milliseconds: ms, Last: true})
		}
		b.pass(100 * time.Millisecond)
	}
	if n["c"] > 60 || n["a"] < 500 {
		t.Fatalf("%v of 960 at targets that take %v", n, usual)
	}
}

// A target of the proxy's own domain that tells of room goes before its own slots
// elsewhere, which go before one elsewhere that tells of room.
func TestNearRoomBeforeFarSlots(t *testing.T) {
	near, far := func(t *wire.Target) { t.Domain = "z1" }, func(t *wire.Target) { t.Domain = "z2" }
	b := newBench("g1", 1, routed, to("a", slots(4), near), to("b", slots(4), far), to("c", slots(4), far))
	b.g.settings.Self.Domain = "z1"
	b.table(1, routed, to("a", slots(4), near), to("b", slots(4), far), to("c", slots(4), far))
	at := map[string]*targetState{}
	for _, x := range b.g.targets {
		at[x.Name] = x
		x.quota, x.loadReportedAt = 0, b.now // as told: nothing runs
	}
	at["b"].quota = 1
	for i, want := range []string{"a", "a", "a", "a", "b", "c"} {
		if g, ok := b.call(uint64(i+1), "/a/", time.Second).(statemachine.Forward); !ok || g.Target.Name != want {
			t.Fatalf("%d: %+v, not %s", i, g.Target, want)
		}
	}
}

// It is told which targets missed their probes, once, and when they are back.
func TestDarkIsTold(t *testing.T) {
	told := func(out []statemachine.Command) (n int, ids map[wire.TargetID]bool) {
		for _, c := range out {
			if d, ok := c.(statemachine.UnreachableTargets); ok {
				n, ids = n+1, d.IDs
			}
		}
		return n, ids
	}
	policy := func(t *wire.Target) { barred(t); t.EjectedBy = "slow" }
	b := newBench("g1", 1, routed, to("a", slots(2)), to("b", slots(2), barred), to("c", slots(2), policy))
	if n, ids := told(b.pass(time.Millisecond)); n != 1 || len(ids) != 1 || !ids[wire.TargetID{Service: "s", Name: "b", Incarnation: 1}] {
		t.Fatalf("%d times %v", n, ids)
	}
	if n, ids := told(b.pass(time.Millisecond)); n != 0 {
		t.Fatalf("again: %v", ids)
	}
	b.table(1, routed, to("a", slots(2)), to("b", slots(2)))
	if n, ids := told(b.pass(time.Millisecond)); n != 1 || len(ids) != 0 {
		t.Fatalf("%d times %v", n, ids)
	}
	if g := b.call(1, "/a/", 0).(statemachine.Forward); !g.MayRetry {
		t.Fatal("it has a second attempt")
	}
	b.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.ResponseLost})
	if g, ok := answer(1, b.step(statemachine.Retry{ID: 1})).(statemachine.Forward); ok && g.MayRetry {
		t.Fatal("it has no third attempt")
	}
}

// What the configuration bounds callers by goes to the shell with each table, and goes
// again when a later configuration does without it.
func TestLimitsAreTold(t *testing.T) {
	told := func(cmds []statemachine.Command) *config.Limits {
		for _, c := range cmds {
			if x, ok := c.(statemachine.TargetsChanged); ok {
				return x.Limits
			}
		}
		t.Fatalf("%+v tells no targets", cmds)
		return nil
	}
	b := newBench("g1", 1, plain, to("a"))
	if l := told(b.table(1, strings.Replace(plain, "{", `{"limits":{"header_bytes":99,"idle_ms":7},`, 1), to("a"))); l == nil || *l != (config.Limits{HeaderBytes: 99, IdleMs: 7}) {
		t.Fatal(l)
	}
	if l := told(b.table(1, plain, to("a"))); l != nil {
		t.Fatal(*l)
	}
}

// Exchanges that are refused earn their service no retries.
func TestRefusedEarnNothing(t *testing.T) {
	b := newBench("g1", 1, routed, to("a", slots(2)))
	for id := uint64(1); id <= 500; id++ {
		b.call(id, "/a/", 100*time.Millisecond)
	}
	b.pass(150 * time.Millisecond)
	s := b.g.service("s")
	if most := s.retryCredit.slack + float64(b.g.Counts.Forwarded)*b.g.settings.Retry.Ratio; b.g.Counts.Forwarded > 20 || s.retryCredit.credit > most {
		t.Fatalf("%v credit for %d exchanges at targets", s.retryCredit.credit, b.g.Counts.Forwarded)
	}
}

// A target that is both warming and cold never has more than its warming cap at once,
// over all proxies, nor more than the cold rate; and it does get some.
func TestColdWhileWarming(t *testing.T) {
	const doc = `{"services":{"s":{"cap":64,"warm_cap":%d,"health_path":"/h","cold_s":30,"cold_per_s":%d}},"routes":{"r":{"host":"h","prefix":"/a/","kind":"repeatable","timeout_ms":2000,"service":"s","attempts":1}}}`
	for _, told := range []uint32{0, 8} {
		for _, gates := range []int{1, 2, 3, 7} {
			for _, warmCap := range []int{1, 2, 5} {
				for _, perS := range []int{1, 3, 10} {
					for inc := uint64(1); inc <= 3; inc++ { // other draws
						to := to("a", warming, slots(told), cold(30*time.Second), func(w *wire.Target) { w.Incarnation, w.ShareOffset = inc, uint32(inc) })
						var bs []*bench
						for i := range gates {
							b := newBench(fmt.Sprintf("g%d", i+1), gates, fmt.Sprintf(doc, warmCap, perS))
							b.table(gates, fmt.Sprintf(doc, warmCap, perS), to)
							bs = append(bs, b)
						}
						what := fmt.Sprintf("%d proxies, %d slots, warming cap %d, %d/s, start %d", gates, told, warmCap, perS, inc)
						id := uint64(0)
						run := func(done bool) (n int) { // 4 s in which no request ends, or each at once
							for range 200 {
								for _, b := range bs {
									id++
									cmds := append(b.pass(tuning.TickEvery), b.step(statemachine.Admit{ID: id, Host: "h:80", Path: "/a/", Method: "GET", Timeout: 100 * time.Millisecond})...)
									for len(cmds) > 0 {
										g, ok := cmds[0].(statemachine.Forward)
										if cmds = cmds[1:]; ok {
											n++
											if done {
												cmds = append(cmds, b.step(statemachine.AttemptDone{ID: g.ID, Outcome: statemachine.Served, Milliseconds: 1, Last: true})...)
											}
										}
									}
								}
							}
							return n
						}
						if n := run(false); n > warmCap || n < min(warmCap, gates, max(1, perS/2)) {
							t.Fatalf("%s: %d held at once", what, n)
						}
						for _, b := range bs {
							for id := range b.g.requests {
								b.step(statemachine.Cancel{ID: id})
							}
						}
						sent := run(true)
						if sent > 4*perS+perS/2+1 || sent < 2*perS {
							t.Fatalf("%s: %d sent in 4 s", what, sent)
						}
					}
				}
			}
		}
	}
}

// A request that comes behind another one on its connection gets no target if it may run
// only once: it is looked at without a trace, and served when it comes in its turn.
func TestNotAhead(t *testing.T) {
	b := newBench("g1", 1, routed, to("a", slots(9)))
	ahead := func(id uint64, path string) any {
		return answer(id, b.step(statemachine.Admit{ID: id, Host: "h", Path: path, Method: "GET", Timeout: time.Second, Pipelined: true}))
	}
	if r, ok := ahead(1, "/once/").(statemachine.Reject); !ok || r.Code != statemachine.CodeNotPipelined {
		t.Fatalf("%+v", r)
	}
	if n := b.g.Counts; n.Forwarded != 0 || n.Unmatched != 0 || b.g.InFlight() != 0 || b.g.service("s").retryCredit.credit != 0 {
		t.Fatalf("%+v, %d in flight, credit %v", n, b.g.InFlight(), b.g.service("s").retryCredit.credit)
	}
	if _, ok := b.call(1, "/once/", 0).(statemachine.Forward); !ok {
		t.Fatal("not served in its turn")
	}
	if _, ok := ahead(2, "/a/").(statemachine.Forward); !ok {
		t.Fatal("one that may be repeated is served ahead")
	}
}

// Whatever ends a request's tries, wherever it waits and whichever part of a split it goes
// to, it is sent to no more targets than its route's attempts, and to none twice.
func TestAttemptsAreTargets(t *testing.T) {
	second, repeats := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var ts []wire.Target
		for i := range rapid.IntRange(1, 6).Draw(t, "targets") {
			x := to(fmt.Sprint("t", i), slots(uint32(rapid.IntRange(1, 2).Draw(t, "slots"))))
			x.Service = []string{"s", "t"}[i%2]
			ts = append(ts, x)
		}
		b := newBench("g1", 1, routed, ts...)
		for id := uint64(100000); id < 100300; id++ { // what repeats may draw on
			b.call(id, []string{"/a/", "/x/"}[id%2], 0)
			b.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Last: true})
		}
		b.pass(tuning.RetryWindow / 2)
		sentTo := map[uint64][]wire.TargetID{}
		at := map[uint64]statemachine.Forward{}
		see := func(cmds []statemachine.Command) {
			for _, c := range cmds {
				if g, ok := c.(statemachine.Forward); ok {
					at[g.ID] = g
				}
			}
		}
		next := uint64(0)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			if len(at) == 0 || rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				next++
				path := rapid.SampledFrom([]string{"/a/", "/x/", "/once/", "/low/"}).Draw(t, "route")
				see(b.step(statemachine.Admit{ID: next, Host: "h", Path: path, Method: "GET", Timeout: time.Second}))
				continue
			}
			if rapid.IntRange(0, 5).Draw(t, "time") == 0 {
				see(b.pass(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond))
			}
			var ids []uint64
			for id := uint64(1); id <= next; id++ {
				if _, ok := at[id]; ok {
					ids = append(ids, id)
				}
			}
			id := rapid.SampledFrom(ids).Draw(t, "request")
			g := at[id]
			delete(at, id)
			o := rapid.SampledFrom([]statemachine.Outcome{statemachine.Served, statemachine.ServerError, statemachine.ResponseLost, statemachine.ResponseLost, statemachine.ConnectFailed, statemachine.WrongIdentity, statemachine.ChoiceExpired, statemachine.TargetRejected, statemachine.TargetRejected, statemachine.ClientGone}).Draw(t, "outcome")
			sent := o != statemachine.ConnectFailed && o != statemachine.ChoiceExpired && o != statemachine.ClientGone
			if sent {
				for _, x := range sentTo[id] {
					if x == g.Target.ID() {
						t.Fatalf("%d is sent to %s again", id, x.Name)
					}
				}
				if sentTo[id] = append(sentTo[id], g.Target.ID()); len(sentTo[id]) > g.Route.Attempts {
					t.Fatalf("%d on %s is sent to %d targets", id, g.RouteName, len(sentTo[id]))
				}
				if len(sentTo[id]) == 2 {
					second++
				}
			}
			last := o == statemachine.Served || o == statemachine.ClientGone
			see(b.step(statemachine.AttemptDone{ID: id, Outcome: o, Milliseconds: 5, Last: last}))
			if !last {
				repeats++
				see(b.step(statemachine.Retry{ID: id, Sent: sent}))
			}
		}
	})
	if second < 50 {
		t.Fatalf("%d second targets in %d repeats", second, repeats)
	}
}
