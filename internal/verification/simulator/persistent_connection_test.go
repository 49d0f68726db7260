package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// persistentConnectionPlan returns a fleet whose callers keep connections open for seconds between requests.
func persistentConnectionPlan() Plan {
	p := Small
	p.Rate, p.NonIdempotent, p.Resubmitted = 200, 0.5, 0
	p.PersistentConnections, p.Grace = 600, 6*time.Second
	p.Services = map[string]int{"fares": 9, "pay": 9}
	return p
}

// Callers use their open connections until a proxy closes them. Proxies are stopped gracefully one after another with
// overlaps, and none may accept a request that it can't finish.
func TestStoppingProxiesServePersistentConnections(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w := Start(seed, persistentConnectionPlan())
		for _, target := range w.targets.all { // service times as in the users' deployments
			target.serviceTime = w.randomMilliseconds(100, 900) // below the shortest timeout of a configuration
		}
		w.Run(w.now + 3*time.Second)
		w.checks.plannedOnly = true
		for i, p := range w.daemons(wire.ProxyDaemon) {
			w.schedule(time.Duration(i)*2*time.Second, func() { w.restartGracefully(p, persistentConnectionPlan().Grace) })
		}
		w.Run(w.now + 20*time.Second)
		requireNoFailure(t, w)
		if w.Stats.GracefulStops < 5 || w.Stats.Served < 400 {
			t.Fatalf("seed %d: %d graceful stops, want at least 5; %d requests served, want at least 400", seed, w.Stats.GracefulStops, w.Stats.Served)
		}
	}
}

// Operators send calls to a member until its process ends. A member that stops gracefully replies to every call that it
// has read, if only that the outcome is unknown. checkNoCallPending fails the run if a call is left without a reply.
func TestStoppingMemberRepliesToItsCalls(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		w := Start(seed, Small)
		w.Run(w.now + 2*time.Second)
		p := w.Leader()
		if seed%2 == 1 {
			p = w.followerMembers(p)[0]
		}
		replies := 0
		var sendCalls func()
		sendCalls = func() {
			if !p.alive {
				return
			}
			w.call(p, "GET", "/v1/config", "", nil, "", func(statemachine.Reply) { replies++ })
			w.call(p, "PATCH", "/v1/config", "base=1", []byte(`{"services":{"pay":{"timeout_ms":1234}}}`), "again", func(statemachine.Reply) { replies++ })
			w.schedule(time.Millisecond, sendCalls)
		}
		w.schedule(0, sendCalls)
		w.Run(w.now + 50*time.Millisecond)
		w.isolate([]string{p.name}, controlStopGrace, true, true) // calls that it has forwarded get no reply
		w.Run(w.now + 100*time.Millisecond)
		w.stopProcess(p)
		w.Run(w.now + controlStopGrace)
		requireNoFailure(t, w)
		if p.alive || replies < 50 {
			t.Fatalf("seed %d: %s running: %v, want false; %d replies, want at least 50", seed, p.name, p.alive, replies)
		}
	}
}
