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

// The number of retries is at most the budget's ratio times the number of requests plus the slack, and at least
// what the requests earn.
func TestRetriesSpendWhatRequestsEarn(t *testing.T) {
	proxy := newTestProxy("g1", 1, ruleConfig, readyTarget("a"), readyTarget("b"), readyTarget("c"))
	retried := 0
	for id := uint64(1); id <= 600; id++ {
		proxy.now += 10 * time.Millisecond
		proxy.machine.leaseUntil = proxy.now + time.Second
		if _, ok := proxy.admit(id).(statemachine.Forward); !ok {
			t.Fatalf("first attempt of request %d rejected", id)
		}
		proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.ResponseLost})
		switch response := responseTo(id, proxy.step(statemachine.Retry{ID: id, Sent: true})).(type) {
		case statemachine.Forward:
			retried++
			proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Last: true})
		case statemachine.Reject:
			if response.Code != "retry_budget" || response.RetryAfter == 0 {
				t.Fatalf("got %+v, want code retry_budget and a retry time", response)
			}
		}
	}
	if retried > 600/tuning.RetryRatioDivisor+tuning.RetrySlack || float64(retried) < 600*tuning.RetryCreditPerRequest/tuning.RetryRatioDivisor {
		t.Fatalf("%d retries for 600 requests, want %v to %v", retried, 600*tuning.RetryCreditPerRequest/tuning.RetryRatioDivisor, 600/tuning.RetryRatioDivisor+tuning.RetrySlack)
	}
}

// In any window, the retries of all proxies together are at most ratio times requests plus slack. This holds
// for any distribution of the requests over the proxies, any restarts of proxies and any outcomes of attempts.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := RetryBudget{rapid.Float64Range(0.05, 0.3).Draw(t, "ratio"), 10 * time.Second, rapid.Float64Range(1, 80).Draw(t, "slack")}
		n := rapid.IntRange(1, 8).Draw(t, "proxies")
		proxies := make([]*testProxy, n)
		start := func(i int, now time.Duration) {
			proxy := &testProxy{machine: New(Settings{Self: wire.Daemon{Name: fmt.Sprintf("g%d", i+1), Kind: wire.ProxyDaemon, Incarnation: 9}, Retry: budget}), now: now}
			proxy.sendTable(n, routeConfig, readyTarget("a", withSlots(50)), readyTarget("b", withSlots(50)), readyTarget("c", withSlots(50)))
			proxies[i] = proxy
		}
		for i := range proxies {
			start(i, time.Second)
		}
		var arrivals, retries []time.Duration
		id := uint64(0)
		// If calm is not 0, phases of that length without failures alternate with phases with failures.
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
				arrivals = append(arrivals, now)
				forward, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward)
				if !ok {
					continue
				}
				outcome := []statemachine.Outcome{statemachine.ResponseLost, statemachine.ServerError, statemachine.ServerError, statemachine.Served}[id%4]
				if id%40 == 1 {
					outcome = statemachine.TargetRejected
				}
				if calm > 0 && now/calm%2 == 0 {
					outcome = statemachine.Served // saves up credit, to be spent at once afterwards
				}
				proxy.step(statemachine.AttemptDone{ID: forward.ID, Outcome: outcome, Milliseconds: 5, Last: outcome == statemachine.Served})
				if outcome == statemachine.Served {
					continue
				}
				if _, ok := responseTo(id, proxy.step(statemachine.Retry{ID: id, Sent: true})).(statemachine.Forward); ok {
					retries = append(retries, now)
					proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 5, Last: true})
				}
			}
		}
		countBetween := func(times []time.Duration, from, to time.Duration) (n int) {
			for _, at := range times {
				if at >= from && at < to {
					n++
				}
			}
			return n
		}
		for from := time.Duration(0); from < 30*time.Second; from += 500 * time.Millisecond {
			// Retries are earned by requests in the window, but those earned up to a window earlier may be saved up.
			requests := max(countBetween(arrivals, from, from+budget.Window), countBetween(arrivals, from-budget.Window/2, from+budget.Window/2), countBetween(arrivals, from-budget.Window, from))
			if n := countBetween(retries, from, from+budget.Window); float64(n) > budget.Ratio*float64(requests)+budget.Slack {
				t.Fatalf("%d retries for %d requests in the window from %v, want at most ratio %v times requests plus slack %v", n, requests, from, budget.Ratio, budget.Slack)
			}
		}
	})
}

// Rejected requests earn no retry credit for their service.
func TestRejectedRequestsEarnNoRetries(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)))
	for id := uint64(1); id <= 500; id++ {
		proxy.admitOnRoute(id, "/a/", 100*time.Millisecond)
	}
	proxy.advance(150 * time.Millisecond)
	service := proxy.machine.service("s")
	if most := service.retryCredit.slack + float64(proxy.machine.Counts.Forwarded)*proxy.machine.settings.Retry.Ratio; proxy.machine.Counts.Forwarded > 20 || service.retryCredit.credit > most {
		t.Fatalf("credit %v after %d forwarded requests, want a credit of at most %v and at most 20 forwarded requests", service.retryCredit.credit, proxy.machine.Counts.Forwarded, most)
	}
}
