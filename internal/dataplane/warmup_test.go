package dataplane

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Whichever tables the proxies have before, during and after a change of the membership, the shares of a warming
// target's cap never add up to more than it. By one table they add up to it, and over the targets of a service no
// proxy has two more than another.
func TestWarmingCapSharesStayWithinCap(t *testing.T) {
	names := func(n int) (l []string) {
		for i := range n {
			l = append(l, fmt.Sprintf("g%02d", i+1))
		}
		return l
	}
	rapid.Check(t, func(t *rapid.T) {
		before := names(rapid.IntRange(1, 13).Draw(t, "proxies"))
		after := names(14)[:len(before)+1]
		if i := rapid.IntRange(-1, len(before)-1).Draw(t, "leaves"); i >= 0 && len(before) > 1 {
			after = append(append([]string{}, before[:i]...), before[i+1:]...)
		}
		set := config.Service{Cap: 64, WarmCap: rapid.IntRange(1, 30).Draw(t, "cap")}
		fleet := rapid.IntRange(1, 12).Draw(t, "targets")
		first := rapid.Uint32Range(1, 1000).Draw(t, "turn")
		part := func(name string, turn uint32, among, was []string) int {
			proxy := New(Settings{Self: wire.Daemon{Name: name}})
			proxy.table = &wire.Table{PreviousProxies: was}
			for _, n := range among {
				proxy.table.Proxies = append(proxy.table.Proxies, wire.Proxy{Name: n, Live: true})
			}
			proxy.reindex(0)
			return proxy.capacity(0, &targetState{Target: wire.Target{Service: "s", State: wire.TargetWarming, ShareOffset: turn}}, set)
		}
		every := append(append([]string{}, before...), after[len(after)-1])
		if len(after) < len(before) {
			every = before
		}
		// The old and the changing table stand together, or the changing and the new one.
		late := rapid.Bool().Draw(t, "late")
		stands := map[string]int{}
		for _, n := range every {
			stands[n] = rapid.IntRange(0, 1).Draw(t, n)
		}
		for turn := first; turn < first+3; turn++ {
			sum := 0
			for _, n := range every {
				switch {
				case !late && stands[n] == 0:
					sum += part(n, turn, before, nil)
				case late && stands[n] == 0:
					sum += part(n, turn, after, nil)
				default:
					sum += part(n, turn, after, before)
				}
			}
			if sum > set.WarmCap {
				t.Fatalf("shares add up to %d of %d", sum, set.WarmCap)
			}
		}
		lowest, highest := 1<<30, 0
		for _, n := range after {
			sum := 0
			for turn := first; turn < first+uint32(fleet); turn++ {
				sum += part(n, turn, after, nil)
			}
			lowest, highest = min(lowest, sum), max(highest, sum)
		}
		if highest-lowest > 1 {
			t.Fatalf("a fleet of %d with %d each: proxies have from %d to %d", fleet, set.WarmCap, lowest, highest)
		}
	})
}

// The membership grows while a warming target works on requests that take as long as they may: those within the old
// shares and those within the new ones together stay within its cap, also where a new proxy saw nothing of the
// change, and in the end the new shares hold.
func TestWarmingCapWhileMembershipGrows(t *testing.T) {
	const doc = `{"services":{"s":{"cap":64,"warm_cap":%d,"timeout_ms":2000}},"rules":[{"path":"/s","service":"s"}]}`
	for from := 1; from <= 9; from++ {
		for more := 1; more <= 4; more++ {
			for warmCap := 1; warmCap <= 12; warmCap++ {
				d, id := fmt.Sprintf(doc, warmCap), uint64(0)
				fill := func(proxies []*testProxy) (n int) {
					for _, proxy := range proxies {
						for id++; ; id++ {
							if _, ok := proxy.admit(id).(statemachine.Forward); !ok {
								break
							}
							n++
						}
					}
					return n
				}
				var old, all []*testProxy
				for i := range from + more {
					if proxy := newTestProxy(fmt.Sprintf("g%d", i+1), from, d); i < from {
						proxy.table(from, d, readyTarget("a", warming))
						old = append(old, proxy)
						all = append(all, proxy)
					} else {
						all = append(all, &testProxy{machine: New(Settings{Self: wire.Daemon{Name: fmt.Sprintf("g%d", i+1), Kind: wire.ProxyDaemon, Incarnation: 9}}), now: time.Second})
					}
				}
				left := fill(old)
				for _, proxy := range all {
					proxy.now += 200 * time.Millisecond
					proxy.version = 8
					proxy.table(from+more, d, readyTarget("a", warming))
				}
				if n := left + fill(all); n > warmCap {
					t.Fatalf("%d proxies and %d more: %d requests at a target that takes %d", from, more, n, warmCap)
				}
				now := 0
				for _, proxy := range all {
					proxy.now += 2*time.Second + tuning.ChoiceTTL
					proxy.step(statemachine.Tick{})
					now += proxy.machine.View(proxy.now).Targets[0].Capacity
				}
				if now != warmCap {
					t.Fatalf("%d proxies and %d more: shares are %d of %d in the end", from, more, now, warmCap)
				}
			}
		}
	}
}

// After the state warming a target's capacity rises by steps of one.
func TestSlowStartAfterWarming(t *testing.T) {
	proxy := newTestProxy("g1", 1, ruleConfig)
	proxy.table(1, ruleConfig, readyTarget("a", warming))
	last := 0
	for i := range 40 {
		if i == 1 {
			proxy.table(1, ruleConfig, readyTarget("a"))
		}
		v := proxy.machine.View(proxy.now).Targets[0].Capacity
		if v < last || v > last+1 && i > 0 {
			t.Fatalf("capacity from %d to %d", last, v)
		}
		last = v
		proxy.now += 100 * time.Millisecond
	}
	if last != 8 {
		t.Fatalf("capacity %d in the end", last)
	}
}

// Targets that warm up get their rate over all proxies, whichever memberships the proxies have and whichever of
// them restart: in any second no more than half over it.
func TestWarmupRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 14).Draw(t, "proxies")
		rate := rapid.Float64Range(0.5, 40).Draw(t, "rate")
		document := fmt.Sprintf(`{"services":{"s":{"health_path":"/h","cold_s":3,"cold_per_s":%v}},"routes":{"r":{"host":"h","prefix":"/a/","kind":"repeatable","timeout_ms":2000,"service":"s","attempts":1}}}`, rate)
		joins := rapid.Bool().Draw(t, "one joins")
		var sent []time.Duration
		proxies := make([]*testProxy, n+1)
		start := func(i int, now time.Duration) {
			proxies[i] = &testProxy{machine: New(Settings{Self: wire.Daemon{Name: fmt.Sprintf("g%d", i+1), Kind: wire.ProxyDaemon, Incarnation: 9}}), now: now}
		}
		table := func(proxy *testProxy, ver uint64, now time.Duration) {
			proxy.now = now
			x := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: ver}, Revision: 1, Document: []byte(document), Targets: []wire.Target{readyTarget("a", withSlots(50), inWarmup(10*time.Second))}}
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
				action := events[0] / n
				events, next = events[1:], next+every
				switch action {
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

// Whichever tables are in force together while the membership changes, the old one and the joint one or that and
// the new one, the shares of a warm-up rate and of the retry slack stay within them.
func TestSharesOfWarmupRateAndRetrySlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var before, after, all []string
		for i := range rapid.IntRange(1, 16).Draw(t, "proxies") {
			name := fmt.Sprintf("g%d", i)
			all = append(all, name)
			switch rapid.IntRange(0, 3).Draw(t, name) {
			case 0:
				before = append(before, name)
			case 1:
				after = append(after, name)
			default:
				before, after = append(before, name), append(after, name)
			}
		}
		rate := rapid.Float64Range(0.3, 40).Draw(t, "rate")
		budget := RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: rapid.Float64Range(1, 90).Draw(t, "slack")}
		late := rapid.Bool().Draw(t, "late")
		state := rapid.SampledFrom([]wire.TargetState{wire.TargetReady, wire.TargetWarming}).Draw(t, "state")
		serviceConfig := config.Service{WarmupRate: rate, WarmCap: rapid.IntRange(1, 20).Draw(t, "warming cap")}
		rateSum, slackSum, sharing := 0.0, 0.0, 0
		for _, name := range all {
			proxy := New(Settings{Self: wire.Daemon{Name: name}, Retry: budget})
			members, previous := after, before
			switch both := rapid.Bool().Draw(t, "both"); {
			case !both && late:
				previous = nil
			case !both:
				members, previous = before, nil
			}
			proxy.table = &wire.Table{PreviousProxies: previous}
			for _, member := range members {
				proxy.table.Proxies = append(proxy.table.Proxies, wire.Proxy{Name: member, Live: true})
			}
			proxy.reindex(0)
			if interval := proxy.warmupIntervalOf(&targetState{Target: wire.Target{Service: "s", Name: "a", Incarnation: 1, State: state, ShareOffset: 3}}, serviceConfig); interval > 0 {
				rateSum += float64(time.Second) / float64(interval)
				sharing++
			}
			slackSum += budget.slackShare(hashString("s"), name, proxy.memberProxies, proxy.table.PreviousProxies)
		}
		if rateSum > rate*1.000001 || float64(sharing) > max(1, rate/2) || slackSum > budget.Slack*1.000001 {
			t.Fatalf("rates add up to %v of %v at %d proxies, slacks to %v of %v", rateSum, rate, sharing, slackSum, budget.Slack)
		}
	})
}

// After its warm-up a target takes what others do.
func TestWarmupEnds(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(4), inWarmup(time.Second)))
	if _, ok := proxy.admitOnRoute(1, "/a/", time.Second).(statemachine.Forward); ok {
		t.Fatal("a new process of this proxy sends at once")
	}
	proxy.advance(time.Second)
	proxy.advance(tuning.TickEvery)
	for id := uint64(10); id < 13; id++ {
		if forward, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward); !ok {
			t.Fatalf("%+v", forward)
		}
	}
}

// A target in the state warming that warms up never has more than its cap at once, over all proxies, nor more than
// the warm-up rate; and it does get some.
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
						setup := fmt.Sprintf("%d proxies, %d slots, warming cap %d, %d/s, start %d", count, reported, warmCap, rate, inc)
						id := uint64(0)
						run := func(done bool) (n int) { // 4 s in which no request ends, or each at once
							for range 200 {
								for _, proxy := range proxies {
									id++
									commands := append(proxy.advance(tuning.TickEvery), proxy.step(statemachine.Admit{ID: id, Host: "h:80", Path: "/a/", Method: "GET", Timeout: 100 * time.Millisecond})...)
									for len(commands) > 0 {
										forward, ok := commands[0].(statemachine.Forward)
										if commands = commands[1:]; ok {
											n++
											if done {
												commands = append(commands, proxy.step(statemachine.AttemptDone{ID: forward.ID, Outcome: statemachine.Served, Milliseconds: 1, Last: true})...)
											}
										}
									}
								}
							}
							return n
						}
						if n := run(false); n > warmCap || n < min(warmCap, count, max(1, rate/2)) {
							t.Fatalf("%s: %d in flight at once", setup, n)
						}
						for _, proxy := range proxies {
							for id := range proxy.machine.requests {
								proxy.step(statemachine.Cancel{ID: id})
							}
						}
						sent := run(true)
						if sent > 4*rate+rate/2+1 || sent < 2*rate {
							t.Fatalf("%s: %d sent in 4 s", setup, sent)
						}
					}
				}
			}
		}
	}
}
