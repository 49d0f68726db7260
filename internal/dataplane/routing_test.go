package dataplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// The host's longest prefix decides. The caller's timeout and the route's both bound a request. For anything else
// there is no route.
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

// A split is kept to exactly, and a share whose service has no target goes to another one.
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

// A request that comes behind another one on its connection gets no target if it may run only once: it leaves no
// trace, and is served when it comes in its turn.
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
		t.Fatal("an idempotent request is served when it is pipelined")
	}
}
