package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// Missing heartbeats alone must not remove a target permanently. A domain isolated for longer than the entries of unreachable
// targets are kept is back at full capacity within 4 s of the end of the partition.
func TestHealedTargetsServeWithinSeconds(t *testing.T) {
	t.Parallel()
	for seed, isolated := range []time.Duration{15 * time.Second, 25 * time.Second, 50 * time.Second, 90 * time.Second} {
		w := Start(uint64(seed), Small)
		w.isolateDomain("d2", isolated)
		w.Run(w.now + isolated)
		healed := w.now
		for w.missingTarget() != "" && w.now < healed+30*time.Second {
			w.Run(w.now + 100*time.Millisecond)
		}
		requireNoFailure(t, w)
		if took := w.now - healed; took > 4*time.Second {
			t.Errorf("after an isolation of %v: %s is still missing %v after its end, want no missing target after 4s", isolated, w.missingTarget(), took)
		}
	}
}

// A stale report of an earlier incarnation of a target must neither evict the current incarnation nor restore the earlier one,
// whether or not the leader that knew of the restart is still alive.
func TestStaleReportEvictsNoTarget(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := Start(seed, Small)
		old := w.targets.all[int(seed)%len(w.targets.all)]
		w.CrashTarget(old)
		w.Run(w.now + 300*time.Millisecond)
		n := w.AddTarget(old.service, old.name, old.domain, old.address, 0)
		n.incarnation = old.incarnation - 1 // the clock was set back, or by chance: incarnations are not ordered
		if seed%3 == 1 {                    // under another address
			delete(w.targets.listening, n.address)
			n.address = "10.9.9.9:80"
			w.targets.listening[n.address] = n
		}
		w.Run(w.now + 4*time.Second)
		if !w.offered(n) {
			t.Fatalf("seed %d: the new incarnation is not offered\n%s", seed, w.Trace(20))
		}
		if seed%2 == 0 {
			w.Kill(w.Leader())
			for w.Leader() == nil && w.now < 30*time.Second {
				w.Run(w.now + 5*time.Millisecond)
			}
			w.reportTarget(w.Leader(), old, wire.TargetReady) // before the new leader gets any other message
		}
		for range 20 {
			w.reportTarget(w.pickProcess(wire.ProxyDaemon, true), old, wire.TargetReady)
			w.reportTarget(w.Leader(), old, wire.TargetWarming)
			w.Run(w.now + 50*time.Millisecond)
			if w.offered(old) {
				t.Fatalf("seed %d: the old incarnation is offered\n%s", seed, w.Trace(20))
			}
		}
		w.Run(w.now + 2*time.Second)
		requireNoFailure(t, w)
		if !w.offered(n) || w.offered(old) {
			t.Fatalf("seed %d: new incarnation offered: %v, want true; old incarnation offered: %v, want false\n%s", seed, w.offered(n), w.offered(old), w.Trace(20))
		}
	}
}

// Two live targets share a name or an address. Exactly one of them is offered, and reports of the other must not make the
// entry alternate between them.
func TestTwoTargetsWithOneNameDoNotAlternate(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := Start(seed, Small)
		a := w.targets.all[0]
		b := w.AddTarget("pay", "rival", a.domain, "10.9.9.8:80", 0)
		if seed%2 == 0 {
			b.service, b.name = a.service, a.name
		} else {
			b.address = a.address // a keeps listening there
			w.targets.listening[a.address] = a
			delete(w.targets.listening, "10.9.9.8:80")
		}
		w.Run(w.now + 3*time.Second)
		if w.offered(a) == w.offered(b) {
			t.Fatalf("seed %d: offered %v and %v, want one of the two\n%s", seed, w.offered(a), w.offered(b), w.Trace(20))
		}
		offered, switches := w.offered(a), 0
		for range 900 {
			w.Run(w.now + 100*time.Millisecond)
			if now := w.offered(a); now != offered {
				offered = now
				switches++
			}
			if w.now > 60*time.Second && w.now < 60*time.Second+100*time.Millisecond {
				w.Kill(w.Leader())
				w.Run(w.now + 2*time.Second)
				w.Restart(w.pickProcess(wire.ControlDaemon, false))
			}
		}
		requireNoFailure(t, w)
		if switches > 2 { // a new leader may choose the other target
			t.Errorf("seed %d: the offered target changed %d times, want at most 2", seed, switches)
		}
	}
}

// A target that drained and ended must not be offered again on a stale report, even if the leader that saw it drain is
// lost.
func TestDrainedTargetIsNotOfferedAgain(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := Start(seed, Small)
		old := w.targets.all[1]
		w.DrainTarget(old, func() {})
		w.Run(w.now + 6*time.Second)
		if old.alive {
			t.Fatalf("seed %d: %s still runs 6 s after its drain began", seed, old.name)
		}
		w.Kill(w.Leader())
		for w.Leader() == nil {
			w.Run(w.now + 5*time.Millisecond)
		}
		for range 10 {
			w.reportTarget(w.Leader(), old, wire.TargetReady)
			w.Run(w.now + 30*time.Millisecond)
			if w.offered(old) {
				t.Fatalf("seed %d: %s is offered again\n%s", seed, old.name, w.Trace(20))
			}
		}
		requireNoFailure(t, w)
	}
}

// When every target of a service has crashed, proxies must not fall back to one of them on a stale report.
func TestNoFallbackToCrashedTargetOnStaleReport(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		var crashed []*Target
		for _, x := range w.targets.all {
			if x.service == "fares" {
				w.CrashTarget(x)
				crashed = append(crashed, x)
			}
		}
		w.Run(w.now + 3*time.Second)
		for _, x := range crashed {
			w.reportTarget(w.Leader(), x, wire.TargetReady)
			w.reportTarget(w.pickProcess(wire.ProxyDaemon, true), x, wire.TargetReady)
		}
		w.Run(w.now + 2*time.Second)
		requireNoFailure(t, w)
	}
}

// All targets of a service are replaced one after another while no control daemon runs for most of a minute. Requests are served
// throughout, and the fleet recovers once the control daemons restart.
func TestRollingReplacementWithoutControlPlane(t *testing.T) {
	t.Parallel()
	roll := faultNamed(t, "rolling restart of a service")
	for seed := range uint64(6) {
		w := Start(seed, Small)
		for _, p := range w.daemons(wire.ControlDaemon) {
			w.Kill(p)
		}
		w.Run(w.now + 2*time.Second)
		roll.Inject(w)
		for end := w.now + 45*time.Second; w.now < end; {
			from := w.now
			w.Run(w.now + 2*time.Second)
			if n := w.ServedBetween(from, w.now); w.Failure == "" && n < 90 {
				t.Fatalf("seed %d: %d requests served in 2 s, want at least 90\n%s", seed, n, w.Trace(30))
			}
		}
		w.restartAll()
		w.AwaitRecovery(15 * time.Second)
		w.Finish()
		requireNoFailure(t, w)
	}
}

// A target that pauses for less than the interval of health checks is never ejected; one that pauses for long always is.
func TestTargetsAreEjectedForLongPausesOnly(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		pause    time.Duration
		min, max int
	}{{200 * time.Millisecond, 0, 0}, {300 * time.Millisecond, 0, 0}, {400 * time.Millisecond, 0, 60}, {500 * time.Millisecond, 0, 60},
		{600 * time.Millisecond, 0, 60}, {800 * time.Millisecond, 0, 60}, {1400 * time.Millisecond, 60, 60}} {
		p := Small
		p.Rate = 1
		w := Start(3, p)
		w.Run(w.now + 2*time.Second)
		before := w.Leader().controller.Status(0).Counts.Ejections
		for i := range 60 {
			x := w.targets.all[i%len(w.targets.all)]
			x.hanging = true
			w.Run(w.now + c.pause)
			x.hanging = false
			w.Run(w.now + 2*time.Second - c.pause + time.Duration(i*37%450)*time.Millisecond)
		}
		n := int(w.Leader().controller.Status(0).Counts.Ejections - before)
		t.Logf("%d of 60 pauses of %v led to an ejection", n, c.pause)
		requireNoFailure(t, w)
		if n < c.min || n > c.max {
			t.Errorf("%d of 60 pauses of %v led to an ejection, want %d to %d", n, c.pause, c.min, c.max)
		}
	}
}

// A target that crashes while its service is not configured must get no requests once the service is configured again,
// however long after the crash.
func TestTargetCrashedWhileUnconfiguredGetsNoRequests(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		p := Small
		p.Rate = 400
		w := Start(seed, p)
		w.SendChange(w.Leader(), "PUT", "/v1/config", "base=1", w.DocumentFor(2, 10, []string{"fares"}), configChange(1))
		w.Run(w.now + 2*time.Second)
		for _, x := range w.targets.all {
			if x.service == "pay" && (x.name != "pay1" || seed%2 == 0) {
				w.CrashTarget(x)
			}
		}
		w.Run(w.now + time.Duration(seed+1)*90*time.Millisecond)
		w.SendChange(w.Leader(), "PUT", "/v1/config", "base=2", w.DocumentFor(3, 10, []string{"fares", "pay"}), configChange(2))
		w.Run(w.now + 5*time.Second)
		requireNoFailure(t, w)
		if w.Leader().controller.Revision() != 3 {
			t.Fatalf("seed %d: revision %d, want 3", seed, w.Leader().controller.Revision())
		}
	}
}
