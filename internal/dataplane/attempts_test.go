package dataplane

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A non-idempotent request is not sent to a second target after an attempt that may have run, and is sent to
// one after its target rejected it.
func TestNonIdempotentIsNotRetriedAfterItMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(9)), readyTarget("b", withSlots(9)), readyTarget("c", withSlots(9)))
		for id := uint64(1000); id < 1200; id++ {
			proxy.admitOnRoute(id, "/a/", 0)
			proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Last: true})
		}
		proxy.advance(tuning.RetryWindow / 2)
		mayHaveRun, sends, failedConnects := false, 0, 0
		response := proxy.admitOnRoute(1, "/once/", 0)
		for {
			if _, ok := response.(statemachine.Forward); !ok {
				break
			}
			if mayHaveRun {
				t.Fatal("forwarded again although the previous attempt may have run")
			}
			if sends >= 3 || failedConnects >= tuning.ConnectAttemptsMax {
				t.Fatalf("forwarded again after %d attempts and %d failed connects, want fewer than 3 and fewer than %d", sends, failedConnects, tuning.ConnectAttemptsMax)
			}
			outcome := rapid.SampledFrom([]statemachine.Outcome{statemachine.ServerError, statemachine.ResponseLost, statemachine.ConnectFailed, statemachine.WrongIdentity, statemachine.ChoiceExpired, statemachine.TargetRejected}).Draw(t, "outcome")
			mayHaveRun = outcome == statemachine.ServerError || outcome == statemachine.ResponseLost
			proxy.step(statemachine.AttemptDone{ID: 1, Outcome: outcome})
			sent := mayHaveRun || rapid.Bool().Draw(t, "sent")
			if !sent && (outcome == statemachine.ConnectFailed || outcome == statemachine.ChoiceExpired) {
				failedConnects++
			} else {
				sends++
			}
			response = responseTo(1, proxy.step(statemachine.Retry{ID: 1, Sent: sent}))
		}
		if reject, ok := response.(statemachine.Reject); mayHaveRun && (!ok || reject.Status == 503 || reject.Status == 429) {
			t.Fatalf("got %+v, which permits a retry of a request that may have run", response)
		}
	})
}

// Failed connections don't count as attempts of the route, but their number is limited too.
func TestFailedConnectsCostNoAttempts(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)), readyTarget("b", withSlots(2)), readyTarget("c", withSlots(2)), readyTarget("d", withSlots(2)), readyTarget("e", withSlots(2)), readyTarget("f", withSlots(2)))
	for _, path := range []string{"/a/", "/once/"} {
		id, choices := uint64(len(path)), 0
		response := proxy.admitOnRoute(id, path, 0)
		for ; ; choices++ {
			if _, ok := response.(statemachine.Forward); !ok {
				break
			}
			proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.ConnectFailed})
			response = responseTo(id, proxy.step(statemachine.Retry{ID: id}))
		}
		if reject, ok := response.(statemachine.Reject); choices != tuning.ConnectAttemptsMax || !ok || reject.Status != 503 || reject.Code != "tries" {
			t.Fatalf("%s: %d targets chosen, want %d; then got %+v, want a rejection with status 503 and code tries", path, choices, tuning.ConnectAttemptsMax, response)
		}
		proxy.advance(tuning.ClosedEjection)
	}
	response := proxy.admitOnRoute(20, "/a/", 0)
	for _, outcome := range []statemachine.Outcome{statemachine.ConnectFailed, statemachine.ResponseLost, statemachine.ConnectFailed, statemachine.ResponseLost} {
		if _, ok := response.(statemachine.Forward); !ok {
			t.Fatalf("got %+v instead of the attempt that ends with %v", response, outcome)
		}
		proxy.step(statemachine.AttemptDone{ID: 20, Outcome: outcome})
		response = responseTo(20, proxy.step(statemachine.Retry{ID: 20, Sent: outcome == statemachine.ResponseLost}))
	}
	if _, ok := response.(statemachine.Reject); !ok {
		t.Fatalf("got %+v, want a rejection: the request was already sent to two targets", response)
	}
}

// A request is sent to no more targets than its route has attempts, and never twice to the same one. This holds
// for any outcomes of the attempts, with queueing, and across the services of a split.
func TestAttemptsAreDistinctTargets(t *testing.T) {
	secondTargets, retries := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var targets []wire.Target
		for i := range rapid.IntRange(1, 6).Draw(t, "targets") {
			target := readyTarget(fmt.Sprint("t", i), withSlots(uint32(rapid.IntRange(1, 2).Draw(t, "slots"))))
			target.Service = []string{"s", "t"}[i%2]
			targets = append(targets, target)
		}
		proxy := newTestProxy("g1", 1, routeConfig, targets...)
		for id := uint64(100000); id < 100300; id++ { // earn retry credit
			proxy.admitOnRoute(id, []string{"/a/", "/x/"}[id%2], 0)
			proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Last: true})
		}
		proxy.advance(tuning.RetryWindow / 2)
		sentTo := map[uint64][]wire.TargetID{}
		pending := map[uint64]statemachine.Forward{}
		record := func(commands []statemachine.Command) {
			for _, c := range commands {
				if forward, ok := c.(statemachine.Forward); ok {
					pending[forward.ID] = forward
				}
			}
		}
		next := uint64(0)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			if len(pending) == 0 || rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				next++
				path := rapid.SampledFrom([]string{"/a/", "/x/", "/once/", "/low/"}).Draw(t, "route")
				record(proxy.step(statemachine.Admit{ID: next, Host: "h", Path: path, Method: "GET", Timeout: time.Second}))
				continue
			}
			if rapid.IntRange(0, 5).Draw(t, "time") == 0 {
				record(proxy.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond))
			}
			var ids []uint64
			for id := uint64(1); id <= next; id++ {
				if _, ok := pending[id]; ok {
					ids = append(ids, id)
				}
			}
			id := rapid.SampledFrom(ids).Draw(t, "request")
			forward := pending[id]
			delete(pending, id)
			outcome := rapid.SampledFrom([]statemachine.Outcome{statemachine.Served, statemachine.ServerError, statemachine.ResponseLost, statemachine.ResponseLost, statemachine.ConnectFailed, statemachine.WrongIdentity, statemachine.ChoiceExpired, statemachine.TargetRejected, statemachine.TargetRejected, statemachine.ClientGone}).Draw(t, "outcome")
			sent := outcome != statemachine.ConnectFailed && outcome != statemachine.ChoiceExpired && outcome != statemachine.ClientGone
			if sent {
				for _, earlier := range sentTo[id] {
					if earlier == forward.Target.ID() {
						t.Fatalf("request %d is sent to target %s again", id, earlier.Name)
					}
				}
				if sentTo[id] = append(sentTo[id], forward.Target.ID()); len(sentTo[id]) > forward.Route.Attempts {
					t.Fatalf("request %d on route %s is sent to %d targets, want at most %d", id, forward.RouteName, len(sentTo[id]), forward.Route.Attempts)
				}
				if len(sentTo[id]) == 2 {
					secondTargets++
				}
			}
			last := outcome == statemachine.Served || outcome == statemachine.ClientGone
			record(proxy.step(statemachine.AttemptDone{ID: id, Outcome: outcome, Milliseconds: 5, Last: last}))
			if !last {
				retries++
				record(proxy.step(statemachine.Retry{ID: id, Sent: sent}))
			}
		}
	})
	if secondTargets < 50 {
		t.Fatalf("requests were sent to a second target only %d times in %d retries, want 50 or more", secondTargets, retries)
	}
}
