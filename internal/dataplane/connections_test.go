package dataplane

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// All proxies together keep no more than half of the connections that a target takes.
func TestIdleConnectionsOfAllProxies(t *testing.T) {
	for _, x := range []struct{ proxies, cap, slots int }{{8, 96, 6}, {12, 130, 3}, {64, 32, 6}, {69, 53, 3}, {281, 84, 6}, {285, 210, 3}, {3, 2, 1}, {64, 4, 6}} {
		var names []string
		for i := range x.proxies {
			names = append(names, fmt.Sprintf("g%d", i))
		}
		kept := 0
		for i := range x.proxies {
			proxy := &Proxy{liveProxies: names}
			at := &targetState{Target: wire.Target{Slots: uint32(x.slots)}, slots: x.slots, quota: evenShare(x.slots, 5, names[i], names)}
			kept += proxy.maxIdleConnections(at, config.Service{ConnCap: x.cap})
		}
		if most := x.cap / tuning.IdleConnParts; kept > most && kept > x.slots || kept == 0 {
			t.Errorf("%+v: %d connections are kept, at most %d are wanted", x, kept, most)
		}
	}
	if n := (&Proxy{}).maxIdleConnections(&targetState{}, config.Service{}); n != tuning.IdleConnsMax {
		t.Errorf("%d are kept where the target names no bound", n)
	}
}

// A connection may take a quarter of the route's latency target to open, and never less than it takes anywhere; a
// choice has not expired when it opens last.
func TestConnectTimeout(t *testing.T) {
	for aim, want := range map[int]time.Duration{0: tuning.ConnectTimeoutMin, 300: tuning.ConnectTimeoutMin, 600: 150 * time.Millisecond, 1500: 375 * time.Millisecond, 60000: tuning.DialTimeout} {
		if got := connectTimeout(&config.Route{LatencyTargetMs: aim}); got != want || got >= tuning.ChoiceTTL {
			t.Errorf("latency target %d ms: %v", aim, got)
		}
	}
}
