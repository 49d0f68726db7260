package sim

import (
	"testing"
	"time"
)

// keptPlan is a fleet whose callers rest for seconds on their connections, and whose targets take as long
// for a request as the platforms' do.
func keptPlan() Plan {
	p := Small
	p.Rate, p.Unsafe, p.Hard = 200, 0.5, 0
	p.Kept, p.Grace = 600, 6*time.Second
	p.Services = map[string]int{"fares": 9, "pay": 9}
	return p
}

// Callers use their open connections until a proxy is gone. Proxies that are stopped by plan, one
// after the other and with overlaps, take no request that they can't finish.
func TestStopWithKeptConnections(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w := Start(seed, keptPlan())
		for _, target := range w.targets {
			target.work = w.ms(100, 900) // under the shortest deadline of a configuration
		}
		w.Run(w.now + 3*time.Second)
		w.planned = true
		for i, name := range w.all("gate") {
			p := w.procs[name]
			w.at(time.Duration(i)*2*time.Second, func() { w.bounce(p, keptPlan().Grace) })
		}
		w.Run(w.now + 20*time.Second)
		check(t, w)
		if w.Stats.Stops < 5 || w.Stats.Served < 400 {
			t.Fatalf("seed %d: %d stops, %d served", seed, w.Stats.Stops, w.Stats.Served)
		}
	}
}
