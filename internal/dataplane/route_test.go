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

func withSlots(n uint32) func(*wire.Target) { return func(t *wire.Target) { t.Slots = n } }

func inWarmup(d time.Duration) func(*wire.Target) {
	return func(t *wire.Target) { t.WarmupLeft = int64(d) }
}

func (p *testProxy) advance(d time.Duration) []statemachine.Command {
	p.now += d
	p.machine.leaseUntil = p.now + time.Second
	return p.step(statemachine.Tick{})
}

func (p *testProxy) admitOnRoute(id uint64, path string, left time.Duration) any {
	return responseTo(id, p.step(statemachine.Admit{ID: id, Host: "h:80", Path: path, Method: "GET", Timeout: left}))
}

const routeConfig = `{"services":{"s":{"health_path":"/h","cold_s":3,"cold_per_s":10},"t":{"health_path":"/h"}},"routes":{
	"r":{"host":"h","prefix":"/a/","kind":"repeatable","timeout_ms":2000,"aim_ms":400,"priority":1,"service":"s","attempts":2},
	"low":{"host":"h","prefix":"/low/","kind":"repeatable","timeout_ms":2000,"aim_ms":400,"priority":3,"service":"s","attempts":2},
	"o":{"host":"h","prefix":"/once/","kind":"once","timeout_ms":2000,"aim_ms":400,"service":"s","attempts":3},
	"x":{"host":"h","prefix":"/x/","kind":"repeatable","timeout_ms":2000,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],"attempts":2}}}`

// The host's longest prefix decides; what the caller gives and the route's timeout
// both bound a request; there is no route for anything else.
func TestRoutes(t *testing.T) {
	proxy := newTestProxy("g1", 3, routeConfig, readyTarget("a", withSlots(8)))
	forward, ok := proxy.admitOnRoute(1, "/a/b", time.Second).(statemachine.Forward)
	if !ok || forward.RouteName != "r" || forward.Route.Attempts != 2 || forward.TimeLeft != time.Second || forward.Service != "s" {
		t.Fatalf("%+v", forward)
	}
	if forward, ok := proxy.admitOnRoute(2, "/a/b", time.Minute).(statemachine.Forward); !ok || forward.TimeLeft != 2*time.Second {
		t.Fatalf("%+v", forward)
	}
	if reject, ok := proxy.admitOnRoute(3, "/b", time.Second).(statemachine.Reject); !ok || reject.Status != 404 {
		t.Fatalf("%+v", reject)
	}
	proxy.now += tuning.ProxyLease + time.Millisecond
	if reject, ok := proxy.admitOnRoute(4, "/b", time.Second).(statemachine.Reject); !ok || reject.Status != 503 || reject.RetryAfter > time.Second/3 || reject.RetryAfter < tuning.RetryAfterFloor {
		t.Fatalf("%+v: without a fresh table nobody knows", reject)
	}
	proxyWithRules := newTestProxy("g1", 1, ruleConfig, readyTarget("a"))
	if forward := proxyWithRules.admit(1).(statemachine.Forward); forward.Route.Kind != config.KindRepeatable || forward.Route.TimeoutMs != forward.ServiceConfig.TimeoutMs || forward.RouteName != "" {
		t.Fatalf("%+v", forward)
	}
	if forward := responseTo(2, proxyWithRules.step(statemachine.Admit{ID: 2, Path: "/s", Method: "POST"})).(statemachine.Forward); forward.Route.Kind != config.KindOnce {
		t.Fatalf("%+v", forward)
	}
}

// A split is kept to exactly, and a part whose service has no target goes to another.
func TestSplitByWeight(t *testing.T) {
	at := readyTarget("z", withSlots(8))
	at.Service = "t"
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(8)), at)
	n := map[string]int{}
	for id := uint64(1); id <= 200; id++ {
		n[proxy.admitOnRoute(id, "/x/", 0).(statemachine.Forward).Service]++
		proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 1, Last: true})
	}
	if n["s"] != 180 || n["t"] != 20 {
		t.Fatalf("%v", n)
	}
	proxy.table(1, routeConfig, readyTarget("a", withSlots(8)))
	for id := uint64(201); id <= 230; id++ {
		if forward, ok := proxy.admitOnRoute(id, "/x/", 0).(statemachine.Forward); !ok || forward.Service != "s" {
			t.Fatalf("%+v", forward)
		}
		proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 1, Last: true})
	}
}

// Every slot is dealt to one proxy, sums differ by one at most, own domains come first
// where that is even, and a target that goes takes few other parts along.
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
				t.Fatalf("%d of %d slots dealt", n, l.slots)
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

// Proxies that talk to nobody queue at no target while each keeps to its even part.
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

// Beyond its own slots a proxy borrows where a target says that there is room, within
// its window else; the rest waits by priority, a part of the aim, and is refused then.
func TestBorrowingWindowAndQueue(t *testing.T) {
	targets := []wire.Target{readyTarget("a", withSlots(4)), readyTarget("b", withSlots(4)), readyTarget("c", withSlots(4)), readyTarget("d", withSlots(4))}
	proxy := newTestProxy("g1", 8, routeConfig, targets...)
	id, given := uint64(0), 0
	for {
		id++
		if _, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward); !ok {
			break
		}
		given++
	}
	if given != int(tuning.QuotaOvercommit*2+tuning.QuotaExtra) {
		t.Fatalf("%d in flight with an even part of 2", given)
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
		t.Fatalf("the highest first: %+v", out)
	}
	out = proxy.advance(101 * time.Millisecond)
	if reject, ok := responseTo(first, out).(statemachine.Reject); !ok || reject.Status != 503 || proxy.machine.service("s").queue != nil && len(proxy.machine.service("s").queue) > 0 {
		t.Fatalf("%+v", out)
	}
	// One that tells of room takes more than the window.
	proxy.step(statemachine.AttemptDone{ID: 2, Outcome: statemachine.Served, Load: &statemachine.TargetLoad{Running: 1, Slots: 4}, Last: true})
	n := 0
	for id := uint64(200); id < 220; id++ {
		if _, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward); ok {
			n++
		}
	}
	if n < 2 {
		t.Fatalf("%d at a target with room", n)
	}
}

// A cap under the slots that are told stays the operator's for the whole fleet.
func TestCapBoundsSlots(t *testing.T) {
	doc := `{"services":{"s":{"cap":4}},"routes":{"r":{"host":"h","prefix":"/a/","kind":"repeatable","timeout_ms":2000,"service":"s","attempts":1}}}`
	at := map[string]int{}
	for i := range 5 {
		proxy := newTestProxy(fmt.Sprintf("g%d", i+1), 5, doc, readyTarget("a", withSlots(9)), readyTarget("b", withSlots(9)), readyTarget("c"))
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

// Where all are ejected, those that beat are dealt as others are.
func TestEjectedTargetsHaveQuotas(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(9), ejected), readyTarget("b", withSlots(9), ejected))
	for id := uint64(1); id <= 18; id++ {
		if _, ok := proxy.admitOnRoute(id, "/a/", 0).(statemachine.Forward); !ok {
			t.Fatalf("%d of 18", id-1)
		}
	}
}

// A target that says it is full is left out for a moment and the window shrinks.
func TestFullTargetIsLeftOut(t *testing.T) {
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

// A slow target gets less, and is tried again once that is forgotten.
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

// Cold targets get their rate over all proxies, whatever rosters the proxies stand on and
// whichever of them start anew: in any second no more than half over it.
func TestWarmupRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 14).Draw(t, "proxies")
		rate := rapid.Float64Range(0.5, 40).Draw(t, "rate")
		doc := fmt.Sprintf(`{"services":{"s":{"health_path":"/h","cold_s":3,"cold_per_s":%v}},"routes":{"r":{"host":"h","prefix":"/a/","kind":"repeatable","timeout_ms":2000,"service":"s","attempts":1}}}`, rate)
		joins := rapid.Bool().Draw(t, "one joins")
		var sent []time.Duration
		proxies := make([]*testProxy, n+1)
		start := func(i int, now time.Duration) {
			proxies[i] = &testProxy{machine: New(Settings{Self: wire.Daemon{Name: fmt.Sprintf("g%d", i+1), Kind: wire.ProxyDaemon, Incarnation: 9}}), now: now}
		}
		table := func(proxy *testProxy, ver uint64, now time.Duration) {
			proxy.now = now
			x := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: ver}, Revision: 1, Document: []byte(doc), Targets: []wire.Target{readyTarget("a", withSlots(50), inWarmup(10*time.Second))}}
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
			proxy.machine.Step(proxy.now, statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(proxy.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: x.Key, Table: x}}})
		}
		ver := make([]uint64, n+1)
		highest := uint64(1)
		for i := range n {
			start(i, time.Second)
			ver[i] = 1
			table(proxies[i], 1, time.Second)
		}
		id, restarts := uint64(0), 0
		events := rapid.SliceOfN(rapid.IntRange(0, 2*n-1), 0, 15).Draw(t, "events")
		every := 3 * time.Second / time.Duration(len(events)+1)
		next := time.Second + every
		for now := time.Second; now < 4*time.Second; now += 20 * time.Millisecond {
			if len(events) > 0 && now >= next {
				i := events[0] % n
				step := events[0] / n
				events, next = events[1:], next+every
				switch step {
				case 0:
					restarts++
					start(i, now)
					table(proxies[i], ver[i], now)
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
						table(proxies[i], ver[i], now)
						if ver[i] == 3 && proxies[n] == nil {
							start(n, now)
							table(proxies[n], 3, now)
						}
					}
				}
			}
			for _, proxy := range proxies {
				if proxy == nil {
					continue
				}
				proxy.now = now
				proxy.machine.leaseUntil = now + time.Second
				id++
				for _, c := range append(proxy.step(statemachine.Tick{}), proxy.step(statemachine.Admit{ID: id, Host: "h", Path: "/a/", Timeout: time.Second})...) {
					if x, ok := c.(statemachine.Forward); ok {
						sent = append(sent, now)
						proxy.step(statemachine.AttemptDone{ID: x.ID, Outcome: statemachine.Served, Milliseconds: 5, Last: true})
					}
				}
			}
		}
		from := 0
		for i, at := range sent {
			for at-sent[from] >= time.Second {
				from++
			}
			if c := float64(i - from + 1); c > rate*1.5+2 {
				t.Fatalf("%v in the second up to %v, rate %v", c, at, rate)
			}
		}
		if restarts == 0 && !joins && rate >= 1 && len(sent) < int(rate*1.5) {
			t.Fatalf("only %d at rate %v", len(sent), rate)
		}
	})
}

// Whichever tables stand together while the roster changes jointly, the old one and both
// or both and the new one, the parts of a cold rate and of the slack stay within them.
func TestSharesOfWarmupRateAndRetrySlack(t *testing.T) {
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
		rate := rapid.Float64Range(0.3, 40).Draw(t, "rate")
		r := RetryBudget{0.2, 10 * time.Second, rapid.Float64Range(1, 90).Draw(t, "slack")}
		late := rapid.Bool().Draw(t, "late")
		state := rapid.SampledFrom([]wire.TargetState{wire.TargetReady, wire.TargetWarming}).Draw(t, "state")
		set := config.Service{WarmupRate: rate, WarmCap: rapid.IntRange(1, 20).Draw(t, "warming cap")}
		rate, slack, least := 0.0, 0.0, 0
		for _, n := range all {
			proxy := New(Settings{Self: wire.Daemon{Name: n}, Retry: r})
			now, was := after, before
			switch both := rapid.Bool().Draw(t, "both"); {
			case !both && late:
				was = nil
			case !both:
				now, was = before, nil
			}
			proxy.table = &wire.Table{PreviousProxies: was}
			for _, o := range now {
				proxy.table.Proxies = append(proxy.table.Proxies, wire.Proxy{Name: o, Live: true})
			}
			proxy.reindex(0)
			if gap := proxy.warmupIntervalOf(&targetState{Target: wire.Target{Service: "s", Name: "a", Incarnation: 1, State: state, ShareOffset: 3}}, set); gap > 0 {
				rate += float64(time.Second) / float64(gap)
				least++
			}
			slack += r.slackOf(hashOf("s"), n, proxy.memberProxies, proxy.table.PreviousProxies)
		}
		if rate > rate*1.000001 || float64(least) > max(1, rate/2) || slack > r.Slack*1.000001 {
			t.Fatalf("rates add up to %v of %v at %d proxies, slacks to %v of %v", rate, rate, least, slack, r.Slack)
		}
	})
}

// After its time a target bears what others do.
func TestWarmupEnds(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(4), inWarmup(time.Second)))
	if _, ok := proxy.admitOnRoute(1, "/a/", time.Second).(statemachine.Forward); ok {
		t.Fatal("a new life of this proxy sends at once")
	}
	proxy.advance(time.Second)
	proxy.advance(tuning.TickEvery)
	for id := uint64(10); id < 13; id++ {
		if forward, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward); !ok {
			t.Fatalf("%+v", forward)
		}
	}
}

// Arrivals beyond the first stay under ratio and slack over all proxies in any window,
// whatever comes to which proxy, whoever starts anew and however tries end.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := RetryBudget{rapid.Float64Range(0.05, 0.3).Draw(t, "ratio"), 10 * time.Second, rapid.Float64Range(1, 80).Draw(t, "slack")}
		n := rapid.IntRange(1, 8).Draw(t, "proxies")
		proxies := make([]*testProxy, n)
		start := func(i int, now time.Duration) {
			proxy := &testProxy{machine: New(Settings{Self: wire.Daemon{Name: fmt.Sprintf("g%d", i+1), Kind: wire.ProxyDaemon, Incarnation: 9}, Retry: r}), now: now}
			proxy.table(n, routeConfig, readyTarget("a", withSlots(50)), readyTarget("b", withSlots(50)), readyTarget("c", withSlots(50)))
			proxies[i] = proxy
		}
		for i := range proxies {
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
			proxy := proxies[i]
			proxy.now = now
			proxy.machine.leaseUntil = now + time.Second
			for range rnd.IntN(15) {
				id++
				came = append(came, now)
				forward, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward)
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
				proxy.step(statemachine.AttemptDone{ID: forward.ID, Outcome: o, Milliseconds: 5, Last: o == statemachine.Served})
				if o == statemachine.Served {
					continue
				}
				if _, ok := responseTo(id, proxy.step(statemachine.Retry{ID: id, Sent: true})).(statemachine.Forward); ok {
					again = append(again, now)
					proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 5, Last: true})
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
func TestNonIdempotentIsNotRetriedAfterItMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(9)), readyTarget("b", withSlots(9)), readyTarget("c", withSlots(9)))
		for id := uint64(1000); id < 1200; id++ {
			proxy.admitOnRoute(id, "/a/", 0)
			proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Last: true})
		}
		proxy.advance(tuning.RetryWindow / 2)
		may, sends, opens := false, 0, 0
		x := proxy.admitOnRoute(1, "/once/", 0)
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
			proxy.step(statemachine.AttemptDone{ID: 1, Outcome: o})
			sent := may || rapid.Bool().Draw(t, "sent")
			if !sent && (o == statemachine.ConnectFailed || o == statemachine.ChoiceExpired) {
				opens++
			} else {
				sends++
			}
			x = responseTo(1, proxy.step(statemachine.Retry{ID: 1, Sent: sent}))
		}
		if reject, ok := x.(statemachine.Reject); may && (!ok || reject.Status == 503 || reject.Status == 429) {
			t.Fatalf("%+v promises what nobody knows", x)
		}
	})
}

// Nobody waits behind one of a lower rank or one that came later, nobody is given
// twice, and everybody gets one end.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)))
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
					waits = without(waits, c.ID)
				case statemachine.Reject:
					waits = without(waits, c.ID)
				}
			}
		}
		for id := uint64(1); id < 80; id++ {
			see(proxy.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond))
			path := rapid.SampledFrom([]string{"/a/", "/low/", "/once/"}).Draw(t, "path")
			rank[id] = map[string]int{"/a/": 1, "/low/": 3, "/once/": 0}[path]
			out := proxy.step(statemachine.Admit{ID: id, Host: "h", Path: path, Timeout: time.Second})
			if responseTo(id, out) == nil {
				waits = append(waits, id)
			}
			see(out)
			for d := range at {
				if rapid.Bool().Draw(t, "done") {
					delete(at, d)
					see(proxy.step(statemachine.AttemptDone{ID: d, Outcome: statemachine.Served, Milliseconds: 20, Last: true}))
				}
				break
			}
			for _, w := range append([]uint64{}, waits...) {
				if x := proxy.machine.requests[w]; x == nil || !x.queued {
					waits = without(waits, w)
				}
			}
		}
	})
}

func without(l []uint64, id uint64) (out []uint64) {
	for _, x := range l {
		if x != id {
			out = append(out, x)
		}
	}
	return out
}

// A stop is told at once, lasts while requests are under way and no longer than the grace.
func TestShutdownWithinGracePeriod(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)))
	proxy.machine.settings.GracePeriod = 6 * time.Second
	proxy.admitOnRoute(1, "/a/", 0)
	proxy.step(statemachine.Stop{})
	if proxy.machine.Ready() || !proxy.machine.Serving() {
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
	if exits(proxy.advance(tuning.ShutdownLinger + time.Millisecond)) {
		t.Fatal("left one under way")
	}
	if exits(proxy.advance(6*time.Second - tuning.ShutdownMargin - tuning.ShutdownLinger - 10*time.Millisecond)) {
		t.Fatal("left one under way")
	}
	if !exits(proxy.advance(20 * time.Millisecond)) {
		t.Fatal("over its grace")
	}
	proxy.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.Served, Last: true})
}

// Targets that no connection opens to cost no attempts, but their number is bounded.
func TestFailedConnectsAreNoAttempts(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)), readyTarget("b", withSlots(2)), readyTarget("c", withSlots(2)), readyTarget("d", withSlots(2)), readyTarget("e", withSlots(2)), readyTarget("f", withSlots(2)))
	for _, path := range []string{"/a/", "/once/"} {
		id, most := uint64(len(path)), 0
		ans := proxy.admitOnRoute(id, path, 0)
		for ; ; most++ {
			if _, ok := ans.(statemachine.Forward); !ok {
				break
			}
			proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.ConnectFailed})
			ans = responseTo(id, proxy.step(statemachine.Retry{ID: id}))
		}
		if reject, ok := ans.(statemachine.Reject); most != tuning.ConnectAttemptsMax || !ok || reject.Status != 503 || reject.Code != "tries" {
			t.Fatalf("%s: %d choices, then %+v", path, most, ans)
		}
		proxy.advance(tuning.ClosedEjection)
	}
	ans := proxy.admitOnRoute(20, "/a/", 0)
	for _, o := range []statemachine.Outcome{statemachine.ConnectFailed, statemachine.ResponseLost, statemachine.ConnectFailed, statemachine.ResponseLost} {
		if _, ok := ans.(statemachine.Forward); !ok {
			t.Fatalf("%+v before %v", ans, o)
		}
		proxy.step(statemachine.AttemptDone{ID: 20, Outcome: o})
		ans = responseTo(20, proxy.step(statemachine.Retry{ID: 20, Sent: o == statemachine.ResponseLost}))
	}
	if _, ok := ans.(statemachine.Reject); !ok {
		t.Fatalf("%+v: it was sent to two", ans)
	}
}

// A fast target's last free slot goes before a slow one's first, and chance in single
// times does not undo it.
func TestFastTargetBeforeIdleOne(t *testing.T) {
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

// A target of the proxy's own domain that tells of room goes before its own slots
// elsewhere, which go before one elsewhere that tells of room.
func TestLocalFreeSlotBeforeRemoteQuota(t *testing.T) {
	near, far := func(t *wire.Target) { t.Domain = "z1" }, func(t *wire.Target) { t.Domain = "z2" }
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(4), near), readyTarget("b", withSlots(4), far), readyTarget("c", withSlots(4), far))
	proxy.machine.settings.Self.Domain = "z1"
	proxy.table(1, routeConfig, readyTarget("a", withSlots(4), near), readyTarget("b", withSlots(4), far), readyTarget("c", withSlots(4), far))
	at := map[string]*targetState{}
	for _, x := range proxy.machine.targets {
		at[x.Name] = x
		x.quota, x.loadReportedAt = 0, proxy.now // as told: nothing runs
	}
	at["b"].quota = 1
	for i, want := range []string{"a", "a", "a", "a", "b", "c"} {
		if forward, ok := proxy.admitOnRoute(uint64(i+1), "/a/", time.Second).(statemachine.Forward); !ok || forward.Target.Name != want {
			t.Fatalf("%d: %+v, not %s", i, forward.Target, want)
		}
	}
}

// It is told which targets missed their probes, once, and when they are back.
func TestUnreachableTargetsAreReported(t *testing.T) {
	reported := func(out []statemachine.Command) (n int, ids map[wire.TargetID]bool) {
		for _, c := range out {
			if d, ok := c.(statemachine.UnreachableTargets); ok {
				n, ids = n+1, d.IDs
			}
		}
		return n, ids
	}
	policy := func(t *wire.Target) { ejected(t); t.EjectedBy = "slow" }
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)), readyTarget("b", withSlots(2), ejected), readyTarget("c", withSlots(2), policy))
	if n, ids := reported(proxy.advance(time.Millisecond)); n != 1 || len(ids) != 1 || !ids[wire.TargetID{Service: "s", Name: "b", Incarnation: 1}] {
		t.Fatalf("%d times %v", n, ids)
	}
	if n, ids := reported(proxy.advance(time.Millisecond)); n != 0 {
		t.Fatalf("again: %v", ids)
	}
	proxy.table(1, routeConfig, readyTarget("a", withSlots(2)), readyTarget("b", withSlots(2)))
	if n, ids := reported(proxy.advance(time.Millisecond)); n != 1 || len(ids) != 0 {
		t.Fatalf("%d times %v", n, ids)
	}
	if forward := proxy.admitOnRoute(1, "/a/", 0).(statemachine.Forward); !forward.MayRetry {
		t.Fatal("it has a second attempt")
	}
	proxy.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.ResponseLost})
	if forward, ok := responseTo(1, proxy.step(statemachine.Retry{ID: 1})).(statemachine.Forward); ok && forward.MayRetry {
		t.Fatal("it has no third attempt")
	}
}

// What the configuration bounds callers by goes to the shell with each table, and goes
// again when a later configuration does without it.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	reported := func(cmds []statemachine.Command) *config.Limits {
		for _, c := range cmds {
			if x, ok := c.(statemachine.TargetsChanged); ok {
				return x.Limits
			}
		}
		t.Fatalf("%+v tells no targets", cmds)
		return nil
	}
	proxy := newTestProxy("g1", 1, ruleConfig, readyTarget("a"))
	if l := reported(proxy.table(1, strings.Replace(ruleConfig, "{", `{"limits":{"header_bytes":99,"idle_ms":7},`, 1), readyTarget("a"))); l == nil || *l != (config.Limits{HeaderBytes: 99, IdleMs: 7}) {
		t.Fatal(l)
	}
	if l := reported(proxy.table(1, ruleConfig, readyTarget("a"))); l != nil {
		t.Fatal(*l)
	}
}

// Exchanges that are refused earn their service no retries.
func TestRejectedRequestsEarnNoRetries(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)))
	for id := uint64(1); id <= 500; id++ {
		proxy.admitOnRoute(id, "/a/", 100*time.Millisecond)
	}
	proxy.advance(150 * time.Millisecond)
	s := proxy.machine.service("s")
	if most := s.retryCredit.slack + float64(proxy.machine.Counts.Forwarded)*proxy.machine.settings.Retry.Ratio; proxy.machine.Counts.Forwarded > 20 || s.retryCredit.credit > most {
		t.Fatalf("%v credit for %d exchanges at targets", s.retryCredit.credit, proxy.machine.Counts.Forwarded)
	}
}

// A target that is both warming and cold never has more than its warming cap at once,
// over all proxies, nor more than the cold rate; and it does get some.
func TestWarmupRateInStateWarming(t *testing.T) {
	const doc = `{"services":{"s":{"cap":64,"warm_cap":%d,"health_path":"/h","cold_s":30,"cold_per_s":%d}},"routes":{"r":{"host":"h","prefix":"/a/","kind":"repeatable","timeout_ms":2000,"service":"s","attempts":1}}}`
	for _, reported := range []uint32{0, 8} {
		for _, count := range []int{1, 2, 3, 7} {
			for _, warmCap := range []int{1, 2, 5} {
				for _, rate := range []int{1, 3, 10} {
					for inc := uint64(1); inc <= 3; inc++ { // other draws
						to := readyTarget("a", warming, withSlots(reported), inWarmup(30*time.Second), func(w *wire.Target) { w.Incarnation, w.ShareOffset = inc, uint32(inc) })
						var proxies []*testProxy
						for i := range count {
							proxy := newTestProxy(fmt.Sprintf("g%d", i+1), count, fmt.Sprintf(doc, warmCap, rate))
							proxy.table(count, fmt.Sprintf(doc, warmCap, rate), to)
							proxies = append(proxies, proxy)
						}
						step := fmt.Sprintf("%d proxies, %d slots, warming cap %d, %d/s, start %d", count, reported, warmCap, rate, inc)
						id := uint64(0)
						run := func(done bool) (n int) { // 4 s in which no request ends, or each at once
							for range 200 {
								for _, proxy := range proxies {
									id++
									cmds := append(proxy.advance(tuning.TickEvery), proxy.step(statemachine.Admit{ID: id, Host: "h:80", Path: "/a/", Method: "GET", Timeout: 100 * time.Millisecond})...)
									for len(cmds) > 0 {
										forward, ok := cmds[0].(statemachine.Forward)
										if cmds = cmds[1:]; ok {
											n++
											if done {
												cmds = append(cmds, proxy.step(statemachine.AttemptDone{ID: forward.ID, Outcome: statemachine.Served, Milliseconds: 1, Last: true})...)
											}
										}
									}
								}
							}
							return n
						}
						if n := run(false); n > warmCap || n < min(warmCap, count, max(1, rate/2)) {
							t.Fatalf("%s: %d held at once", step, n)
						}
						for _, proxy := range proxies {
							for id := range proxy.machine.requests {
								proxy.step(statemachine.Cancel{ID: id})
							}
						}
						sent := run(true)
						if sent > 4*rate+rate/2+1 || sent < 2*rate {
							t.Fatalf("%s: %d sent in 4 s", step, sent)
						}
					}
				}
			}
		}
	}
}

// A request that comes behind another one on its connection gets no target if it may run
// only once: it is looked at without a trace, and served when it comes in its turn.
func TestPipelinedNonIdempotentIsRejected(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(9)))
	ahead := func(id uint64, path string) any {
		return responseTo(id, proxy.step(statemachine.Admit{ID: id, Host: "h", Path: path, Method: "GET", Timeout: time.Second, Pipelined: true}))
	}
	if reject, ok := ahead(1, "/once/").(statemachine.Reject); !ok || reject.Code != statemachine.CodeNotPipelined {
		t.Fatalf("%+v", reject)
	}
	if n := proxy.machine.Counts; n.Forwarded != 0 || n.Unmatched != 0 || proxy.machine.InFlight() != 0 || proxy.machine.service("s").retryCredit.credit != 0 {
		t.Fatalf("%+v, %d in flight, credit %v", n, proxy.machine.InFlight(), proxy.machine.service("s").retryCredit.credit)
	}
	if _, ok := proxy.admitOnRoute(1, "/once/", 0).(statemachine.Forward); !ok {
		t.Fatal("not served in its turn")
	}
	if _, ok := ahead(2, "/a/").(statemachine.Forward); !ok {
		t.Fatal("one that may be repeated is served ahead")
	}
}

// Whatever ends a request's tries, wherever it waits and whichever part of a split it goes
// to, it is sent to no more targets than its route's attempts, and to none twice.
func TestAttemptsAreDistinctTargets(t *testing.T) {
	second, repeats := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var targets []wire.Target
		for i := range rapid.IntRange(1, 6).Draw(t, "targets") {
			x := readyTarget(fmt.Sprint("t", i), withSlots(uint32(rapid.IntRange(1, 2).Draw(t, "slots"))))
			x.Service = []string{"s", "t"}[i%2]
			targets = append(targets, x)
		}
		proxy := newTestProxy("g1", 1, routeConfig, targets...)
		for id := uint64(100000); id < 100300; id++ { // what repeats may draw on
			proxy.admitOnRoute(id, []string{"/a/", "/x/"}[id%2], 0)
			proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Last: true})
		}
		proxy.advance(tuning.RetryWindow / 2)
		sentTo := map[uint64][]wire.TargetID{}
		at := map[uint64]statemachine.Forward{}
		see := func(cmds []statemachine.Command) {
			for _, c := range cmds {
				if forward, ok := c.(statemachine.Forward); ok {
					at[forward.ID] = forward
				}
			}
		}
		next := uint64(0)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			if len(at) == 0 || rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				next++
				path := rapid.SampledFrom([]string{"/a/", "/x/", "/once/", "/low/"}).Draw(t, "route")
				see(proxy.step(statemachine.Admit{ID: next, Host: "h", Path: path, Method: "GET", Timeout: time.Second}))
				continue
			}
			if rapid.IntRange(0, 5).Draw(t, "time") == 0 {
				see(proxy.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond))
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
			see(proxy.step(statemachine.AttemptDone{ID: id, Outcome: o, Milliseconds: 5, Last: last}))
			if !last {
				repeats++
				see(proxy.step(statemachine.Retry{ID: id, Sent: sent}))
			}
		}
	})
	if second < 50 {
		t.Fatalf("%d second targets in %d repeats", second, repeats)
	}
}
