package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// restartAllAfterPowerLoss ends all daemons, without what their disks had not synced, and starts them again.
func (w *World) restartAllAfterPowerLoss() {
	for _, p := range w.daemons(wire.ControlDaemon) {
		p.disk.unsynced = nil
	}
	w.killAll()
	w.Run(w.now + 700*time.Millisecond)
	w.restartAll()
}

// After a loss of all processes the targets are known before any of them has sent a
// report, and one that ended meanwhile is offered to nobody.
func TestTargetsSurviveLossOfAllProcesses(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := Start(seed, Small)
		w.Run(w.now + time.Second)
		for _, x := range w.targets.all {
			x.withoutHeartbeats = true
		}
		dead := w.targets.all[2]
		w.restartAllAfterPowerLoss()
		w.CrashTarget(dead)
		from := w.now
		for w.Run(w.now+20*time.Millisecond) && !w.Serving() {
			if w.now-from > time.Second {
				t.Fatalf("seed %d: nothing is served a second after all daemons were back\n%s", seed, w.Trace(20))
			}
		}
		w.Run(w.now + tuning.DialTimeout)
		for _, x := range w.targets.all {
			if w.offered(x) != (x != dead) {
				t.Errorf("seed %d: %s/%s offered %v, ended %v", seed, x.service, x.name, w.offered(x), x == dead)
			}
		}
		for end := w.now + tuning.TargetExpiry + time.Second; w.now < end && w.Run(w.now+100*time.Millisecond); {
			if w.offered(dead) {
				t.Fatalf("seed %d: %s/%s is offered, which has ended", seed, dead.service, dead.name)
			}
		}
		requireNoFailure(t, w)
	}
}

// An acknowledged drain or sign-off outlives the loss of all processes,
// whatever stale reports say.
func TestDrainSurvivesLossOfAllProcesses(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		w.Run(w.now + time.Second)
		x := w.targets.all[1]
		x.withoutHeartbeats = true
		word := wire.Target{Service: x.service, Name: x.name, Incarnation: x.incarnation, Addr: x.address, Domain: x.domain, State: wire.TargetLeaving}
		method, path, query := "POST", "/v1/targets", ""
		if seed%2 == 1 {
			method, path, query = "DELETE", "/v1/targets/"+x.service+"/"+x.name, fmt.Sprintf("incarnation=%d", x.incarnation)
		}
		b := []byte(fmt.Sprintf(`{"service":%q,"name":%q,"incarnation":%d,"address":%q,"domain":%q,"state":"leaving"}`, word.Service, word.Name, word.Incarnation, word.Addr, word.Domain))
		if r, _ := w.callAndWait(t, w.daemons(wire.ControlDaemon)[int(seed)%3], method, path, query, string(b), ""); r.Status != 200 {
			t.Fatalf("seed %d: %d %s", seed, r.Status, r.Body)
		}
		w.restartAllAfterPowerLoss()
		for end := w.now + 6*time.Second; w.now < end && w.Run(w.now+200*time.Millisecond); {
			w.reportTarget(w.process(w.processes.names[w.random.IntN(3)]), x, wire.TargetReady) // it was under way
			if w.offered(x) {
				t.Fatalf("seed %d: %s/%s is offered again after its %s was acknowledged", seed, x.service, x.name, method)
			}
		}
		requireNoFailure(t, w)
	}
}
