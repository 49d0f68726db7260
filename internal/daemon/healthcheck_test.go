package daemon

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// newTestChecker returns a health checker with short header names. Its loop doesn't run: tests read the queue.
func newTestChecker() *HealthChecker {
	clock := &Clock{start: time.Now()}
	headers := reverseproxy.Headers{Deadline: "D", NotRun: "N", Load: "L", Identity: "I", WarmupLeft: "C"}
	return newHealthChecker(clock, newLoop(clock), nil, headers)
}

// checkOnce runs one health check and waits for its result.
func (h *HealthChecker) checkOnce(probe statemachine.Probe) statemachine.ProbeResult {
	h.Check(probe)
	return (<-h.loop.queue).event.(statemachine.ProbeResult)
}

// startTarget starts a target and returns its address and the counter of connections opened to it.
func startTarget(t *testing.T, handler http.HandlerFunc) (addr string, connections *atomic.Int64) {
	t.Helper()
	connections = &atomic.Int64{}
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), connections
}

// Health check responses are converted into target reports, and the checks of a target share one connection.
func TestHealthCheck(t *testing.T) {
	half := 0.5
	for _, c := range []struct {
		name       string
		status     int
		headers    []string
		noReport   bool
		targetName string
		state      wire.TargetState
		warmupLeft time.Duration
		demand     *float64
	}{
		{"healthy", 200, []string{"I", "x"}, false, "x", wire.TargetReady, 0, nil},
		{"healthy, without a name", 200, nil, false, "x", wire.TargetReady, 0, nil},
		{"warming up and loaded", 200, []string{"I", "x", "C", "1500", "L", "1,1,4"}, false, "x", wire.TargetReady, 1500 * time.Millisecond, &half},
		{"invalid headers", 200, []string{"C", "-3", "L", "1,,4"}, false, "x", wire.TargetReady, 0, nil},
		{"another target", 200, []string{"I", "y"}, false, "y", wire.TargetReady, 0, nil},
		{"too busy", 503, []string{"N", "1"}, false, "x", "", 0, nil},
		{"too many", 429, nil, false, "x", "", 0, nil},
		{"unhealthy", 503, nil, true, "", "", 0, nil},
		{"no such path", 404, nil, true, "", "", 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, connections := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/well" || r.Header.Get("D") == "" {
					t.Errorf("health check of %s with headers %v, want path /well and a deadline", r.URL, r.Header)
				}
				for i := 0; i+1 < len(c.headers); i += 2 {
					w.Header().Set(c.headers[i], c.headers[i+1])
				}
				w.WriteHeader(c.status)
			})
			checker := newTestChecker()
			probe := statemachine.Probe{ID: wire.TargetID{Service: "s", Name: "x", Incarnation: 3}, Addr: addr, Path: "/well"}
			for range 3 {
				got := checker.checkOnce(probe)
				if got.ID != probe.ID || got.WarmupLeft != c.warmupLeft || (got.Report == nil) != c.noReport {
					t.Fatalf("result %+v, want warm-up time left %v and report missing %v", got, c.warmupLeft, c.noReport)
				}
				if r := got.Report; r != nil && (r.ID() != (wire.TargetID{Service: "s", Name: c.targetName, Incarnation: 3}) || r.State != c.state || (r.Demand == nil) != (c.demand == nil) || r.Demand != nil && *r.Demand != *c.demand) {
					t.Fatalf("report %+v, want target %q in state %q, with a demand of 0.5: %v", r, c.targetName, c.state, c.demand != nil)
				}
			}
			if connections.Load() != 1 {
				t.Fatalf("%d connections, want 1", connections.Load())
			}
		})
	}
}

// Targets of services without a health path are checked by an identity request, over one persistent connection.
func TestIdentityCheck(t *testing.T) {
	addr, connections := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != config.IdentityPath {
			t.Errorf("request of %s, want %s", r.URL, config.IdentityPath)
		}
		json.NewEncoder(w).Encode(config.TargetReport{Service: "s", Name: "z", Incarnation: 4, State: wire.TargetLeaving})
	})
	checker := newTestChecker()
	for range 3 {
		got := checker.checkOnce(statemachine.Probe{ID: wire.TargetID{Service: "s", Name: "x", Incarnation: 3}, Addr: addr})
		if r := got.Report; r == nil || r.ID() != (wire.TargetID{Service: "s", Name: "z", Incarnation: 4}) || r.State != wire.TargetLeaving {
			t.Fatalf("result %+v, want a report of target z, incarnation 4, leaving", got)
		}
	}
	if connections.Load() != 1 {
		t.Fatalf("%d connections, want 1", connections.Load())
	}
}

// A check succeeds although the target has closed the idle connection, a target with a new address is checked there,
// and connections to targets that are no longer checked are closed.
func TestHealthCheckConnections(t *testing.T) {
	addr, connections := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		conn.Close()
	})
	checker := newTestChecker()
	probe := statemachine.Probe{ID: wire.TargetID{Service: "s", Name: "x", Incarnation: 3}, Addr: addr, Path: "/w"}
	for i := range 3 {
		if got := checker.checkOnce(probe); got.Report == nil || connections.Load() != int64(i+1) {
			t.Fatalf("result %+v after %d connections, want a report on connection %d", got, connections.Load(), i+1)
		}
	}
	closed := make(chan bool, 8)
	moved := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	moved.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- true
		}
	}
	moved.Start()
	defer moved.Close()
	probe.Addr = moved.Listener.Addr().String()
	if got := checker.checkOnce(probe); got.Report == nil {
		t.Fatal("no report from the target's new address")
	}
	checker.clock.start = checker.clock.start.Add(-2 * tuning.ProbeConnIdle)
	probe.ID.Name = "other"
	probe.Addr = addr
	checker.checkOnce(probe)
	<-closed
	if len(checker.targets) != 1 {
		t.Fatalf("%d targets kept, want only the one still checked", len(checker.targets))
	}
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	probe.Addr = unused.Addr().String()
	unused.Close()
	if got := checker.checkOnce(probe); got.Report != nil {
		t.Fatal("report from an address without a listener")
	}
}
