package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// restartAllAfterPowerLoss kills all daemons, discards what the control daemons had not synced to disk, and starts all
// again 700 ms later.
func (w *World) restartAllAfterPowerLoss() {
	for _, p := range w.daemons(wire.ControlDaemon) {
		p.disk.unsynced = nil
	}
	w.killAll()
	w.Run(w.now + 700*time.Millisecond)
	w.restartAll()
}

// After a power loss of all daemons the targets are known from stored state before any of them sends a report. A target
// that crashes as the daemons restart is not offered.
func TestTargetsSurviveLossOfAllProcesses(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := Start(seed, Small)
		w.Run(w.now + time.Second)
		for _, x := range w.targets.all {
			x.withoutHeartbeats = true
		}
		crashed := w.targets.all[2]
		w.restartAllAfterPowerLoss()
		w.CrashTarget(crashed)
		from := w.now
		for w.Run(w.now+20*time.Millisecond) && !w.Serving() {
			if w.now-from > time.Second {
				t.Fatalf("seed %d: the fleet does not serve 1 s after all daemons restarted\n%s", seed, w.Trace(20))
			}
		}
		w.Run(w.now + tuning.DialTimeout)
		for _, x := range w.targets.all {
			if w.offered(x) != (x != crashed) {
				t.Errorf("seed %d: %s/%s: offered: %v, want %v", seed, x.service, x.name, w.offered(x), x != crashed)
			}
		}
		for end := w.now + tuning.TargetExpiry + time.Second; w.now < end && w.Run(w.now+100*time.Millisecond); {
			if w.offered(crashed) {
				t.Fatalf("seed %d: the crashed target %s/%s is offered", seed, crashed.service, crashed.name)
			}
		}
		requireNoFailure(t, w)
	}
}

// An acknowledged drain or deregistration survives a power loss of all daemons, although stale reports of the target
// arrive afterwards.
func TestDrainSurvivesLossOfAllProcesses(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		w.Run(w.now + time.Second)
		x := w.targets.all[1]
		x.withoutHeartbeats = true
		report := wire.Target{Service: x.service, Name: x.name, Incarnation: x.incarnation, Addr: x.address, Domain: x.domain, State: wire.TargetLeaving}
		method, path, query := "POST", "/v1/targets", ""
		if seed%2 == 1 {
			method, path, query = "DELETE", "/v1/targets/"+x.service+"/"+x.name, fmt.Sprintf("incarnation=%d", x.incarnation)
		}
		b := []byte(fmt.Sprintf(`{"service":%q,"name":%q,"incarnation":%d,"address":%q,"domain":%q,"state":"leaving"}`, report.Service, report.Name, report.Incarnation, report.Addr, report.Domain))
		if r, _ := w.callAndWait(t, w.daemons(wire.ControlDaemon)[int(seed)%3], method, path, query, string(b), ""); r.Status != 200 {
			t.Fatalf("seed %d: %s %s: %d %s, want 200", seed, method, path, r.Status, r.Body)
		}
		w.restartAllAfterPowerLoss()
		for end := w.now + 6*time.Second; w.now < end && w.Run(w.now+200*time.Millisecond); {
			w.reportTarget(w.process(w.processes.names[w.random.IntN(3)]), x, wire.TargetReady) // a report delayed since before the drain
			if w.offered(x) {
				t.Fatalf("seed %d: %s/%s is offered again after its %s call was acknowledged", seed, x.service, x.name, method)
			}
		}
		requireNoFailure(t, w)
	}
}
