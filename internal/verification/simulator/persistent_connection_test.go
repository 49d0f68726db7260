package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// persistentConnectionPlan is a fleet whose callers pause for seconds on their connections, and whose targets take as long
// for a request as the platforms' do.
func persistentConnectionPlan() Plan {
	p := Small
	p.Rate, p.NonIdempotent, p.Resubmitted = 200, 0.5, 0
	p.PersistentConnections, p.Grace = 600, 6*time.Second
	p.Services = map[string]int{"fares": 9, "pay": 9}
	return p
}

// Callers use their open connections until a proxy is gone. Proxies that are stopped gracefully, one
// after the other and with overlaps, take no request that they can't finish.
func TestStoppingProxiesServePersistentConnections(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w := Start(seed, persistentConnectionPlan())
		for _, target := range w.targets.all {
			target.serviceTime = w.randomMilliseconds(100, 900) // under the shortest deadline of a configuration
		}
		w.Run(w.now + 3*time.Second)
		w.checks.plannedOnly = true
		for i, p := range w.daemons(wire.ProxyDaemon) {
			w.schedule(time.Duration(i)*2*time.Second, func() { w.restartGracefully(p, persistentConnectionPlan().Grace) })
		}
		w.Run(w.now + 20*time.Second)
		requireNoFailure(t, w)
		if w.Stats.GracefulStops < 5 || w.Stats.Served < 400 {
			t.Fatalf("seed %d: %d stops, %d served", seed, w.Stats.GracefulStops, w.Stats.Served)
		}
	}
}

// Operators use any member until its process is gone. One that ends gracefully replies to what it has read, if only
// that it can't tell; the world looks for calls without a reply (checkNoCallPending).
func TestStoppingMemberRepliesToItsCalls(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		w := Start(seed, Small)
		w.Run(w.now + 2*time.Second)
		p := w.Leader()
		if seed%2 == 1 {
			p = w.followerMembers(p)[0]
		}
		answered := 0
		var ask func()
		ask = func() {
			if !p.alive {
				return
			}
			w.call(p, "GET", "/v1/config", "", nil, "", func(statemachine.Reply) { answered++ })
			w.call(p, "PATCH", "/v1/config", "base=1", []byte(`{"services":{"pay":{"timeout_ms":1234}}}`), "again", func(statemachine.Reply) { answered++ })
			w.schedule(time.Millisecond, ask)
		}
		w.schedule(0, ask)
		w.Run(w.now + 50*time.Millisecond)
		w.isolate([]string{p.name}, controlStopGrace, true, true) // what it has forwarded has no reply
		w.Run(w.now + 100*time.Millisecond)
		w.stopProcess(p)
		w.Run(w.now + controlStopGrace)
		requireNoFailure(t, w)
		if p.alive || answered < 50 {
			t.Fatalf("seed %d: there: %v, %d answers", seed, p.alive, answered)
		}
	}
}
