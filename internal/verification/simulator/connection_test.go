package simulator

import (
	"fmt"
	"testing"
	"time"
)

// connectionLimitedFleet returns a plan in which a target accepts fewer connections than there are proxies. Most requests
// are non-idempotent and take long, so idle connections are often too old to be reused for them.
func connectionLimitedFleet() Plan {
	p := largeControlPlane()
	p.Resources = nil
	p.Services = map[string]int{"fares": 181, "pay": 111}
	p.Rate, p.NonIdempotent, p.ConnectionLimit = 1200, 0.8, 32
	return p
}

// releaseUnderConnectionLimit runs a rolling release of three fifths of a fleet's targets with one guard disabled. It
// returns the share of the connections opened meanwhile that were over their target's limit, the number of connections
// opened per request, and the world.
func releaseUnderConnectionLimit(seed uint64, disabled Guard) (overShare, openedPerRequest float64, w *World) {
	w = Start(seed, connectionLimitedFleet())
	w.disabledGuard = disabled
	for _, t := range w.targets.all {
		t.usualServiceTime = w.randomMilliseconds(200, 600)
		t.serviceTime = t.usualServiceTime
	}
	w.Run(w.now + 2*time.Second)
	before := w.Stats
	w.releaseTargets(0.6, 8, 300*time.Millisecond)
	w.Run(w.now + 6*time.Second)
	opened := float64(w.Stats.OpenedConnections - before.OpenedConnections)
	return float64(w.Stats.OverConnectionLimit-before.OverConnectionLimit) / opened, opened / float64(w.Stats.Requests-before.Requests), w
}

// Targets that accept fewer connections than there are proxies never get more connections than they accept, even while a
// rolling release constantly changes how their slots are divided among the proxies: the limit of idle connections per proxy
// is derived from the limit for all proxies.
func TestConnectionsStayUnderTheirLimit(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			overShare, openedPerRequest, w := releaseUnderConnectionLimit(seed, guardNone)
			if overShare > 0 {
				t.Errorf("a fraction of %.4f of the connections was over the limit, want 0", overShare)
			}
			t.Logf("fraction over the limit %.4f, %.2f connections opened per request, at most %d concurrent connections to a target", overShare, openedPerRequest, w.Stats.MostConnections)
			requireNoFailure(t, w)
		})
	}
}

// The check of the connection limit fails if each proxy keeps a fixed share of every target's connections.
func TestCheckOfConnectionLimitCanFail(t *testing.T) {
	t.Parallel()
	overShare, openedPerRequest, w := releaseUnderConnectionLimit(0, guardIdleConnections)
	if overShare == 0 {
		t.Error("no connection was over the limit with the guard disabled, want at least one")
	}
	t.Logf("fraction over the limit %.4f, %.2f connections opened per request, at most %d concurrent connections to a target", overShare, openedPerRequest, w.Stats.MostConnections)
}
