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

// A request that may run only once gets no second target after an attempt that may have run, and does get one after
// its target rejected it.
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
				t.Fatal("forwarded again")
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

// Targets that no connection opens to cost no attempts, but their number is bounded.
func TestFailedConnectsCostNoAttempts(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(2)), readyTarget("b", withSlots(2)), readyTarget("c", withSlots(2)), readyTarget("d", withSlots(2)), readyTarget("e", withSlots(2)), readyTarget("f", withSlots(2)))
	for _, path := range []string{"/a/", "/once/"} {
		id, most := uint64(len(path)), 0
		response := proxy.admitOnRoute(id, path, 0)
		for ; ; most++ {
			if _, ok := response.(statemachine.Forward); !ok {
				break
			}
			proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.ConnectFailed})
			response = responseTo(id, proxy.step(statemachine.Retry{ID: id}))
		}
		if reject, ok := response.(statemachine.Reject); most != tuning.ConnectAttemptsMax || !ok || reject.Status != 503 || reject.Code != "tries" {
			t.Fatalf("%s: %d choices, then %+v", path, most, response)
		}
		proxy.advance(tuning.ClosedEjection)
	}
	response := proxy.admitOnRoute(20, "/a/", 0)
	for _, o := range []statemachine.Outcome{statemachine.ConnectFailed, statemachine.ResponseLost, statemachine.ConnectFailed, statemachine.ResponseLost} {
		if _, ok := response.(statemachine.Forward); !ok {
			t.Fatalf("%+v before %v", response, o)
		}
		proxy.step(statemachine.AttemptDone{ID: 20, Outcome: o})
		response = responseTo(20, proxy.step(statemachine.Retry{ID: 20, Sent: o == statemachine.ResponseLost}))
	}
	if _, ok := response.(statemachine.Reject); !ok {
		t.Fatalf("%+v: it was sent to two", response)
	}
}

// However a request's attempts end, wherever it waits and whichever service of a split it goes to, it is sent to no
// more targets than its route's attempts, and to none twice.
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
		see := func(commands []statemachine.Command) {
			for _, c := range commands {
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
			forward := at[id]
			delete(at, id)
			o := rapid.SampledFrom([]statemachine.Outcome{statemachine.Served, statemachine.ServerError, statemachine.ResponseLost, statemachine.ResponseLost, statemachine.ConnectFailed, statemachine.WrongIdentity, statemachine.ChoiceExpired, statemachine.TargetRejected, statemachine.TargetRejected, statemachine.ClientGone}).Draw(t, "outcome")
			sent := o != statemachine.ConnectFailed && o != statemachine.ChoiceExpired && o != statemachine.ClientGone
			if sent {
				for _, x := range sentTo[id] {
					if x == forward.Target.ID() {
						t.Fatalf("%d is sent to %s again", id, x.Name)
					}
				}
				if sentTo[id] = append(sentTo[id], forward.Target.ID()); len(sentTo[id]) > forward.Route.Attempts {
					t.Fatalf("%d on %s is sent to %d targets", id, forward.RouteName, len(sentTo[id]))
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
		t.Fatalf("%d second targets in %d retries", second, repeats)
	}
}
