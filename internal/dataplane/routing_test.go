package dataplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// The longest matching prefix of a host selects the route. The shorter of the caller's timeout and the route's
// applies. Requests without a route are rejected with status 404, or with 503 if the proxy has no lease. Rules
// select a service and derive the kind of the request from its method.
func TestRoutes(t *testing.T) {
	proxy := newTestProxy("g1", 3, routeConfig, readyTarget("a", withSlots(8)))
	forward, ok := proxy.admitOnRoute(1, "/a/b", time.Second).(statemachine.Forward)
	if !ok || forward.RouteName != "r" || forward.Route.Attempts != 2 || forward.TimeLeft != time.Second || forward.Service != "s" {
		t.Fatalf("got %+v, want route r with 2 attempts, service s and 1 s left", forward)
	}
	if forward, ok := proxy.admitOnRoute(2, "/a/b", time.Minute).(statemachine.Forward); !ok || forward.TimeLeft != 2*time.Second {
		t.Fatalf("got %+v, want a forward with the route's 2 s left", forward)
	}
	if reject, ok := proxy.admitOnRoute(3, "/b", time.Second).(statemachine.Reject); !ok || reject.Status != 404 {
		t.Fatalf("got %+v without a route, want a rejection with status 404", reject)
	}
	proxy.now += tuning.ProxyLease + time.Millisecond
	if reject, ok := proxy.admitOnRoute(4, "/b", time.Second).(statemachine.Reject); !ok || reject.Status != 503 || reject.RetryAfter > time.Second/3 || reject.RetryAfter < tuning.RetryAfterFloor {
		t.Fatalf("got %+v without a lease, want status 503 and a retry time of %v to %v", reject, tuning.RetryAfterFloor, time.Second/3)
	}
	proxyWithRules := newTestProxy("g1", 1, ruleConfig, readyTarget("a"))
	if forward := proxyWithRules.admit(1).(statemachine.Forward); forward.Route.Kind != config.KindRepeatable || forward.Route.TimeoutMs != forward.ServiceConfig.TimeoutMs || forward.RouteName != "" {
		t.Fatalf("got %+v for GET by a rule, want kind repeatable and the service's timeout", forward)
	}
	if forward := responseTo(2, proxyWithRules.step(statemachine.Admit{ID: 2, Path: "/s", Method: "POST"})).(statemachine.Forward); forward.Route.Kind != config.KindOnce {
		t.Fatalf("got %+v for POST by a rule, want kind once", forward)
	}
}

// A split follows its weights exactly. Requests for a service without targets go to another service of the
// split.
func TestSplitByWeight(t *testing.T) {
	other := readyTarget("z", withSlots(8))
	other.Service = "t"
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(8)), other)
	requests := map[string]int{}
	for id := uint64(1); id <= 200; id++ {
		requests[proxy.admitOnRoute(id, "/x/", 0).(statemachine.Forward).Service]++
		proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 1, Last: true})
	}
	if requests["s"] != 180 || requests["t"] != 20 {
		t.Fatalf("requests by service: %v, want 180 for s and 20 for t", requests)
	}
	proxy.sendTable(1, routeConfig, readyTarget("a", withSlots(8)))
	for id := uint64(201); id <= 230; id++ {
		if forward, ok := proxy.admitOnRoute(id, "/x/", 0).(statemachine.Forward); !ok || forward.Service != "s" {
			t.Fatalf("got %+v, want a forward to service s, the only one with a target", forward)
		}
		proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 1, Last: true})
	}
}

// A non-idempotent request that is pipelined behind another one is not forwarded and changes no counter. It is
// forwarded when it is sent again after the other one has ended. Idempotent requests may be pipelined.
func TestPipelinedNonIdempotentIsRejected(t *testing.T) {
	proxy := newTestProxy("g1", 1, routeConfig, readyTarget("a", withSlots(9)))
	admitPipelined := func(id uint64, path string) any {
		return responseTo(id, proxy.step(statemachine.Admit{ID: id, Host: "h", Path: path, Method: "GET", Timeout: time.Second, Pipelined: true}))
	}
	if reject, ok := admitPipelined(1, "/once/").(statemachine.Reject); !ok || reject.Code != statemachine.CodeNotPipelined {
		t.Fatalf("got %+v, want a rejection with code %q", reject, statemachine.CodeNotPipelined)
	}
	if counts := proxy.machine.Counts; counts.Forwarded != 0 || counts.Unmatched != 0 || proxy.machine.InFlight() != 0 || proxy.machine.service("s").retryCredit.credit != 0 {
		t.Fatalf("the rejected request left counts %+v, %d requests in flight and retry credit %v, want no request counted, 0 and 0", counts, proxy.machine.InFlight(), proxy.machine.service("s").retryCredit.credit)
	}
	if _, ok := proxy.admitOnRoute(1, "/once/", 0).(statemachine.Forward); !ok {
		t.Fatal("non-idempotent request not forwarded although it is not pipelined")
	}
	if _, ok := admitPipelined(2, "/a/").(statemachine.Forward); !ok {
		t.Fatal("pipelined idempotent request not forwarded")
	}
}
