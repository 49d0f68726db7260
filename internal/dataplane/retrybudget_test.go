package dataplane

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Retries spend what requests earn.
func TestRetriesSpendWhatRequestsEarn(t *testing.T) {
	proxy := newTestProxy("g1", 1, ruleConfig, readyTarget("a"), readyTarget("b"), readyTarget("c"))
	retried := 0
	for id := uint64(1); id <= 600; id++ {
		proxy.now += 10 * time.Millisecond
		proxy.machine.leaseUntil = proxy.now + time.Second
		if _, ok := proxy.admit(id).(statemachine.Forward); !ok {
			t.Fatal("rejected")
		}
		proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.ResponseLost})
		switch x := responseTo(id, proxy.step(statemachine.Retry{ID: id, Sent: true})).(type) {
		case statemachine.Forward:
			retried++
			proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Last: true})
		case statemachine.Reject:
			if x.Code != "retry_budget" || x.RetryAfter == 0 {
				t.Fatalf("%+v", x)
			}
		}
	}
	if retried > 600/tuning.RetryShare+tuning.RetryFree || float64(retried) < 600*tuning.RetryEarn/tuning.RetryShare {
		t.Fatalf("%d retries for 600 requests", retried)
	}
}

// Attempts beyond the first stay under ratio and slack over all proxies in any window, whichever requests come to
// which proxy, whichever proxies restart and however attempts end.
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
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for now := time.Second; now < 30*time.Second; now += 100 * time.Millisecond {
			i := random.IntN(n)
			if random.IntN(60) == 0 {
				start(i, now)
			}
			proxy := proxies[i]
			proxy.now = now
			proxy.machine.leaseUntil = now + time.Second
			for range random.IntN(15) {
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

// Requests that are rejected earn their service no retries.
func TestRejectedRequestsEarnNoRetries(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)))
	for id := uint64(1); id <= 500; id++ {
		proxy.admitOnRoute(id, "/a/", 100*time.Millisecond)
	}
	proxy.advance(150 * time.Millisecond)
	s := proxy.machine.service("s")
	if most := s.retryCredit.slack + float64(proxy.machine.Counts.Forwarded)*proxy.machine.settings.Retry.Ratio; proxy.machine.Counts.Forwarded > 20 || s.retryCredit.credit > most {
		t.Fatalf("%v credit for %d requests at targets", s.retryCredit.credit, proxy.machine.Counts.Forwarded)
	}
}
