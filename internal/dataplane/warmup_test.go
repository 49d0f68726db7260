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

// The shares of a warming target's cap never add up to more than the cap, whichever tables the proxies have
// before, during and after a membership change. With one table, the totals that proxies get over all targets of
// a service differ by at most one.
func TestWarmingCapSharesStayWithinCap(t *testing.T) {
	proxyNames := func(n int) (names []string) {
		for i := range n {
			names = append(names, fmt.Sprintf("g%02d", i+1))
		}
		return names
	}
	rapid.Check(t, func(t *rapid.T) {
		before := proxyNames(rapid.IntRange(1, 13).Draw(t, "proxies"))
		after := proxyNames(14)[:len(before)+1]
		if i := rapid.IntRange(-1, len(before)-1).Draw(t, "leaves"); i >= 0 && len(before) > 1 {
			after = append(append([]string{}, before[:i]...), before[i+1:]...)
		}
		serviceConfig := config.Service{Cap: 64, WarmCap: rapid.IntRange(1, 30).Draw(t, "cap")}
		targetCount := rapid.IntRange(1, 12).Draw(t, "targets")
		firstOffset := rapid.Uint32Range(1, 1000).Draw(t, "turn")
		share := func(name string, offset uint32, members, previous []string) int {
			proxy := New(Settings{Self: wire.Daemon{Name: name}})
			proxy.table = &wire.Table{PreviousProxies: previous}
			for _, n := range members {
				proxy.table.Proxies = append(proxy.table.Proxies, wire.Proxy{Name: n, Live: true})
			}
			proxy.reindex(0)
			return proxy.capacity(0, &targetState{Target: wire.Target{Service: "s", State: wire.TargetWarming, ShareOffset: offset}}, serviceConfig)
		}
		all := append(append([]string{}, before...), after[len(after)-1])
		if len(after) < len(before) {
			all = before
		}
		// A membership change has three tables: the old one, an intermediate one that also lists the previous
		// proxies, and the new one. The old and the intermediate one are in use together or, if late is set, the
		// intermediate and the new one.
		late := rapid.Bool().Draw(t, "late")
		hasIntermediate := map[string]int{}
		for _, n := range all {
			hasIntermediate[n] = rapid.IntRange(0, 1).Draw(t, n)
		}
		for offset := firstOffset; offset < firstOffset+3; offset++ {
			sum := 0
			for _, n := range all {
				switch {
				case !late && hasIntermediate[n] == 0:
					sum += share(n, offset, before, nil)
				case late && hasIntermediate[n] == 0:
					sum += share(n, offset, after, nil)
				default:
					sum += share(n, offset, after, before)
				}
			}
			if sum > serviceConfig.WarmCap {
				t.Fatalf("shares add up to %d, want at most %d", sum, serviceConfig.WarmCap)
			}
		}
		lowest, highest := 1<<30, 0
		for _, n := range after {
			sum := 0
			for offset := firstOffset; offset < firstOffset+uint32(targetCount); offset++ {
				sum += share(n, offset, after, nil)
			}
			lowest, highest = min(lowest, sum), max(highest, sum)
		}
		if highest-lowest > 1 {
			t.Fatalf("%d targets with a cap of %d each: totals of the proxies range from %d to %d, want a difference of at most 1", targetCount, serviceConfig.WarmCap, lowest, highest)
		}
	})
}

// When proxies are added while a warming target is still busy with long requests, the requests within the old
// shares and those within the new ones together stay within its cap. This includes new proxies, which have not
// seen the earlier table. Once the old requests have ended, the new shares apply.
func TestWarmingCapWhileMembershipGrows(t *testing.T) {
	const documentFormat = `{"services":{"s":{"cap":64,"warm_cap":%d,"timeout_ms":2000}},"rules":[{"path":"/s","service":"s"}]}`
	for from := 1; from <= 9; from++ {
		for added := 1; added <= 4; added++ {
			for warmCap := 1; warmCap <= 12; warmCap++ {
				document, id := fmt.Sprintf(documentFormat, warmCap), uint64(0)
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
				for i := range from + added {
					if proxy := newTestProxy(fmt.Sprintf("g%d", i+1), from, document); i < from {
						proxy.sendTable(from, document, readyTarget("a", warming))
						old = append(old, proxy)
						all = append(all, proxy)
					} else {
						all = append(all, &testProxy{machine: New(Settings{Self: wire.Daemon{Name: fmt.Sprintf("g%d", i+1), Kind: wire.ProxyDaemon, Incarnation: 9}}), now: time.Second})
					}
				}
				running := fill(old)
				for _, proxy := range all {
					proxy.now += 200 * time.Millisecond
					proxy.version = 8
					proxy.sendTable(from+added, document, readyTarget("a", warming))
				}
				if n := running + fill(all); n > warmCap {
					t.Fatalf("%d proxies and %d added: %d requests at a warming target, want at most its cap of %d", from, added, n, warmCap)
				}
				shares := 0
				for _, proxy := range all {
					proxy.now += 2*time.Second + tuning.ChoiceTTL
					proxy.step(statemachine.Tick{})
					shares += proxy.machine.View(proxy.now).Targets[0].Capacity
				}
				if shares != warmCap {
					t.Fatalf("%d proxies and %d added: shares add up to %d in the end, want %d", from, added, shares, warmCap)
				}
			}
		}
	}
}

// After the state warming, the capacity of a target rises to the full cap in steps of at most one.
func TestSlowStartAfterWarming(t *testing.T) {
	proxy := newTestProxy("g1", 1, ruleConfig)
	proxy.sendTable(1, ruleConfig, readyTarget("a", warming))
	last := 0
	for i := range 40 {
		if i == 1 {
			proxy.sendTable(1, ruleConfig, readyTarget("a"))
		}
		capacity := proxy.machine.View(proxy.now).Targets[0].Capacity
		if capacity < last || capacity > last+1 && i > 0 {
			t.Fatalf("capacity changed from %d to %d, want steps of 0 or 1", last, capacity)
		}
		last = capacity
		proxy.now += 100 * time.Millisecond
	}
	if last != 8 {
		t.Fatalf("capacity is %d after the slow start, want 8", last)
	}
}

// In any second, all proxies together send a target that is warming up at most 1.5 times as many requests as its
// rate allows, and two more, whichever memberships the proxies have and however often they restart.
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
		sendTable := func(proxy *testProxy, version uint64, now time.Duration) {
			proxy.now = now
			table := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: version}, Revision: 1, Document: []byte(document), Targets: []wire.Target{readyTarget("a", withSlots(50), inWarmup(10*time.Second))}}
			members := n
			if version > 1 {
				members = n + 1
			}
			for i := range members {
				table.Proxies = append(table.Proxies, wire.Proxy{Name: fmt.Sprintf("g%d", i+1), Live: true})
				if version == 2 && i < n {
					table.PreviousProxies = append(table.PreviousProxies, fmt.Sprintf("g%d", i+1))
				}
			}
			proxy.machine.Step(proxy.now, statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(proxy.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: table.Key, Table: table}}})
		}
		versions := make([]uint64, n+1)
		highest := uint64(1)
		for i := range n {
			start(i, time.Second)
			versions[i] = 1
			sendTable(proxies[i], 1, time.Second)
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
					sendTable(proxies[i], versions[i], now)
				case 1:
					// The next table is made only when all proxies have the latest one.
					lowest := versions[0]
					for j := range n {
						lowest = min(lowest, versions[j])
					}
					if lowest == highest && highest < 3 {
						highest++
					}
					if joins && versions[i] < highest {
						versions[i]++
						sendTable(proxies[i], versions[i], now)
						if versions[i] == 3 && proxies[n] == nil {
							start(n, now)
							sendTable(proxies[n], 3, now)
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
					if forward, ok := c.(statemachine.Forward); ok {
						sent = append(sent, now)
						proxy.step(statemachine.AttemptDone{ID: forward.ID, Outcome: statemachine.Served, Milliseconds: 5, Last: true})
					}
				}
			}
		}
		from := 0
		for i, at := range sent {
			for at-sent[from] >= time.Second {
				from++
			}
			if count := float64(i - from + 1); count > rate*1.5+2 {
				t.Fatalf("%v requests in the second up to %v at a rate of %v, want at most %v", count, at, rate, rate*1.5+2)
			}
		}
		if restarts == 0 && !joins && rate >= 1 && len(sent) < int(rate*1.5) {
			t.Fatalf("only %d requests in 3 s at a rate of %v, want %d or more", len(sent), rate, int(rate*1.5))
		}
	})
}

// The shares of a warm-up rate and of the retry slack add up to no more than the whole while the membership
// changes. A change has three tables: the old one, an intermediate one that also lists the previous proxies, and
// the new one. At any time each proxy has one of two successive tables.
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
			t.Fatalf("warm-up rates add up to %v, want at most %v, at %d proxies; slacks add up to %v, want at most %v", rateSum, rate, sharing, slackSum, budget.Slack)
		}
	})
}

// A new proxy process sends no request at once to a target that is warming up. After its warm-up, the target
// gets requests like any other.
func TestWarmupEnds(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(4), inWarmup(time.Second)))
	if _, ok := proxy.admitOnRoute(1, "/a/", time.Second).(statemachine.Forward); ok {
		t.Fatal("a new proxy process forwarded a request at once to a target that is warming up")
	}
	proxy.advance(time.Second)
	proxy.advance(tuning.TickEvery)
	for id := uint64(10); id < 13; id++ {
		if forward, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward); !ok {
			t.Fatalf("request %d after the warm-up: got %+v, want a forward", id, forward)
		}
	}
}

// A target that is both in the state warming and in its warm-up gets no more concurrent requests than its cap,
// over all proxies, and no more than its warm-up rate. It still gets a part of what each of the two limits
// allows.
func TestWarmupRateInStateWarming(t *testing.T) {
	const documentFormat = `{"services":{"s":{"cap":64,"warm_cap":%d,"health_path":"/h","cold_s":30,"cold_per_s":%d}},"routes":{"r":{"host":"h","prefix":"/a/","kind":"repeatable","timeout_ms":2000,"service":"s","attempts":1}}}`
	for _, slots := range []uint32{0, 8} {
		for _, count := range []int{1, 2, 3, 7} {
			for _, warmCap := range []int{1, 2, 5} {
				for _, rate := range []int{1, 3, 10} {
					for incarnation := uint64(1); incarnation <= 3; incarnation++ { // each selects other proxies
						target := readyTarget("a", warming, withSlots(slots), inWarmup(30*time.Second), func(t *wire.Target) { t.Incarnation, t.ShareOffset = incarnation, uint32(incarnation) })
						var proxies []*testProxy
						for i := range count {
							proxy := newTestProxy(fmt.Sprintf("g%d", i+1), count, fmt.Sprintf(documentFormat, warmCap, rate))
							proxy.sendTable(count, fmt.Sprintf(documentFormat, warmCap, rate), target)
							proxies = append(proxies, proxy)
						}
						setup := fmt.Sprintf("%d proxies, %d slots, warming cap %d, %d/s, incarnation %d", count, slots, warmCap, rate, incarnation)
						id := uint64(0)
						// run sends requests for 4 s. If done is set, each request ends at once, otherwise none does.
						run := func(done bool) (n int) {
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
							t.Fatalf("%s: %d requests in flight at the same time, want %d to %d", setup, n, min(warmCap, count, max(1, rate/2)), warmCap)
						}
						for _, proxy := range proxies {
							for id := range proxy.machine.requests {
								proxy.step(statemachine.Cancel{ID: id})
							}
						}
						sent := run(true)
						if sent > 4*rate+rate/2+1 || sent < 2*rate {
							t.Fatalf("%s: %d requests sent in 4 s, want %d to %d", setup, sent, 2*rate, 4*rate+rate/2+1)
						}
					}
				}
			}
		}
	}
}
