package dataplane

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// All proxies together keep at most half of the connections that a target accepts as idle connections, or one
// for each of its slots if those are more.
func TestIdleConnectionsOfAllProxies(t *testing.T) {
	for _, c := range []struct{ proxies, cap, slots int }{{8, 96, 6}, {12, 130, 3}, {64, 32, 6}, {69, 53, 3}, {281, 84, 6}, {285, 210, 3}, {3, 2, 1}, {64, 4, 6}} {
		var names []string
		for i := range c.proxies {
			names = append(names, fmt.Sprintf("g%d", i))
		}
		kept := 0
		for i := range c.proxies {
			proxy := &Proxy{liveProxies: names}
			target := &targetState{Target: wire.Target{Slots: uint32(c.slots)}, slots: c.slots, quota: evenShare(c.slots, 5, names[i], names)}
			kept += proxy.maxIdleConnections(target, config.Service{ConnCap: c.cap})
		}
		if most := c.cap / tuning.IdleConnDivisor; kept > most && kept > c.slots || kept == 0 {
			t.Errorf("%+v: the proxies keep %d idle connections, want 1 to %d", c, kept, max(most, c.slots))
		}
	}
	if n := (&Proxy{}).maxIdleConnections(&targetState{}, config.Service{}); n != tuning.IdleConnsMax {
		t.Errorf("%d idle connections without a connection limit, want %d", n, tuning.IdleConnsMax)
	}
}

// The connect timeout is a quarter of the route's latency target within fixed limits, and always shorter than
// the time after which the choice of a target expires.
func TestConnectTimeout(t *testing.T) {
	for latencyTargetMs, want := range map[int]time.Duration{0: tuning.ConnectTimeoutMin, 300: tuning.ConnectTimeoutMin, 600: 150 * time.Millisecond, 1500: 375 * time.Millisecond, 60000: tuning.DialTimeout} {
		if got := connectTimeout(&config.Route{LatencyTargetMs: latencyTargetMs}); got != want || got >= tuning.ChoiceTTL {
			t.Errorf("latency target %d ms: connect timeout %v, want %v and less than %v", latencyTargetMs, got, want, tuning.ChoiceTTL)
		}
	}
}
