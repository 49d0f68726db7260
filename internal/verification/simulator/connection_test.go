package simulator

import (
	"fmt"
	"testing"
	"time"
)

// connectionLimitedFleet is a fleet in which a target takes fewer connections than there are proxies. Most requests
// must not run twice, and they take long: idle connections are soon too old to carry them.
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

// Targets that take fewer connections than there are proxies never get more than they take, also while a release moves
// slots between proxies all the time: how many idle connections a proxy keeps follows from what all proxies together
// may keep.
func TestConnectionsStayUnderTheirLimit(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			overShare, openedPerRequest, w := releaseUnderConnectionLimit(seed, guardNone)
			if overShare > 0 {
				t.Errorf("a share of %.4f of the connections was over the limit", overShare)
			}
			t.Logf("share over the limit %.4f, %.2f connections opened per request, at most %d at once to a target", overShare, openedPerRequest, w.Stats.MostConnections)
			requireNoFailure(t, w)
		})
	}
}

// The check of the connection limit fails if each proxy keeps a fixed share of every target's connections.
func TestCheckOfConnectionLimitCanFail(t *testing.T) {
	t.Parallel()
	overShare, openedPerRequest, w := releaseUnderConnectionLimit(0, guardIdleConnections)
	if overShare == 0 {
		t.Error("no connection was over the limit with the guard disabled")
	}
	t.Logf("share over the limit %.4f, %.2f connections opened per request, at most %d at once to a target", overShare, openedPerRequest, w.Stats.MostConnections)
}
