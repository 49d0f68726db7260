package simulator

import (
	"fmt"
	"testing"
	"time"
)

// connectionLimitedFleet is a fleet with more proxies than connections that a target takes, with long requests of
// which most must not run twice, so that connections soon grow too old for them.
func connectionLimitedFleet() Plan {
	p := largeControlPlane()
	p.Resources = nil
	p.Services = map[string]int{"fares": 181, "pay": 111}
	p.Rate, p.NonIdempotent, p.ConnectionLimit = 1200, 0.8, 32
	return p
}

// releaseUnderConnectionLimit has a fleet release a third of its targets. It returns the part of the connections opened
// meanwhile that were over their target's limit, and how many were opened for each request.
func releaseUnderConnectionLimit(seed uint64, disabled Guard) (over, opened float64, w *World) {
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
	n := float64(w.Stats.OpenedConnections - before.OpenedConnections)
	return float64(w.Stats.OverConnectionLimit-before.OverConnectionLimit) / n, n / float64(w.Stats.Requests-before.Requests), w
}

// Targets that take fewer connections than there are proxies never get more, also while a release
// moves slots between proxies all the time: what each proxy keeps idle follows from what all may keep.
func TestConnectionsStayUnderTheirLimit(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			over, opened, w := releaseUnderConnectionLimit(seed, "")
			if over > 0 {
				t.Errorf("%.4f of the connections were over the cap", over)
			}
			t.Logf("%.4f over the cap, %.2f connections opened for each request, %d at once", over, opened, w.Stats.MostConnections)
			requireNoFailure(t, w)
		})
	}
}

// The check can fail: with a fixed part of each target's connections for every proxy.
func TestCheckOfConnectionLimitCanFail(t *testing.T) {
	t.Parallel()
	over, opened, w := releaseUnderConnectionLimit(0, "idle connections")
	if over == 0 {
		t.Error("no connection was over the cap")
	}
	t.Logf("%.4f over the cap, %.2f connections opened for each request, %d at once", over, opened, w.Stats.MostConnections)
}
