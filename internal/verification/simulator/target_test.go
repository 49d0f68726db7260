package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// A lack of heartbeats alone removes nobody for good: a domain isolated for longer than an unreachable target's
// entry lasts is back at full capacity within seconds of healing.
func TestHealedTargetsServeWithinSeconds(t *testing.T) {
	t.Parallel()
	for seed, cut := range []time.Duration{15 * time.Second, 25 * time.Second, 50 * time.Second, 90 * time.Second} {
		w := Start(uint64(seed), Small)
		w.isolateDomain("d2", cut)
		w.Run(w.now + cut)
		healed := w.now
		for w.missingTarget() != "" && w.now < healed+30*time.Second {
			w.Run(w.now + 100*time.Millisecond)
		}
		requireNoFailure(t, w)
		if took := w.now - healed; took > 4*time.Second {
			t.Errorf("cut for %v: %s missing %v after healing", cut, w.missingTarget(), took)
		}
	}
}

// A stale report of an earlier start neither evicts the present one nor brings the earlier one
// back, whether or not the leader that knew better is still there.
func TestStaleReportEvictsNoTarget(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := Start(seed, Small)
		old := w.targets.all[int(seed)%len(w.targets.all)]
		w.CrashTarget(old)
		w.Run(w.now + 300*time.Millisecond)
		n := w.AddTarget(old.service, old.name, old.domain, old.address, 0)
		n.incarnation = old.incarnation - 1 // a clock that went back, or chance: incarnations have no order
		if seed%3 == 1 {                    // under another address
			delete(w.targets.listening, n.address)
			n.address = "10.9.9.9:80"
			w.targets.listening[n.address] = n
		}
		w.Run(w.now + 4*time.Second)
		if !w.offered(n) {
			t.Fatalf("seed %d: the new start is not served\n%s", seed, w.Trace(20))
		}
		if seed%2 == 0 {
			w.Kill(w.Leader())
			for w.Leader() == nil && w.now < 30*time.Second {
				w.Run(w.now + 5*time.Millisecond)
			}
			w.reportTarget(w.Leader(), old, wire.TargetReady) // before any other message
		}
		for range 20 {
			w.reportTarget(w.pickProcess(wire.ProxyDaemon, true), old, wire.TargetReady)
			w.reportTarget(w.Leader(), old, wire.TargetWarming)
			w.Run(w.now + 50*time.Millisecond)
			if w.offered(old) {
				t.Fatalf("seed %d: the old start is served\n%s", seed, w.Trace(20))
			}
		}
		w.Run(w.now + 2*time.Second)
		requireNoFailure(t, w)
		if !w.offered(n) || w.offered(old) {
			t.Fatalf("seed %d: new served %v, old served %v\n%s", seed, w.offered(n), w.offered(old), w.Trace(20))
		}
	}
}

// Two live targets under one name, or at one address: one of them stays, and no
// report of the other moves anything back and forth.
func TestTwoTargetsWithOneNameDoNotAlternate(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := Start(seed, Small)
		a := w.targets.all[0]
		b := w.AddTarget("pay", "rival", a.domain, "10.9.9.8:80", 0)
		if seed%2 == 0 {
			b.service, b.name = a.service, a.name
		} else {
			b.address = a.address // a still listens there
			w.targets.listening[a.address] = a
			delete(w.targets.listening, "10.9.9.8:80")
		}
		w.Run(w.now + 3*time.Second)
		if w.offered(a) == w.offered(b) {
			t.Fatalf("seed %d: %v %v\n%s", seed, w.offered(a), w.offered(b), w.Trace(20))
		}
		first, turns := w.offered(a), 0
		for range 900 {
			w.Run(w.now + 100*time.Millisecond)
			if now := w.offered(a); now != first {
				first = now
				turns++
			}
			if w.now > 60*time.Second && w.now < 60*time.Second+100*time.Millisecond {
				w.Kill(w.Leader())
				w.Run(w.now + 2*time.Second)
				w.Restart(w.pickProcess(wire.ControlDaemon, false))
			}
		}
		requireNoFailure(t, w)
		if turns > 2 { // a new leader may find out anew
			t.Errorf("seed %d: %d turns", seed, turns)
		}
	}
}

// A target that has left does not come back by a stale report, also when the leader
// that saw it leave is gone.
func TestDrainedTargetStaysAway(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := Start(seed, Small)
		old := w.targets.all[1]
		w.DrainTarget(old, func() {})
		w.Run(w.now + 6*time.Second)
		if old.alive {
			t.Fatal("still there")
		}
		w.Kill(w.Leader())
		for w.Leader() == nil {
			w.Run(w.now + 5*time.Millisecond)
		}
		for range 10 {
			w.reportTarget(w.Leader(), old, wire.TargetReady)
			w.Run(w.now + 30*time.Millisecond)
			if w.offered(old) {
				t.Fatalf("seed %d: served again\n%s", seed, w.Trace(20))
			}
		}
		requireNoFailure(t, w)
	}
}

// When every target of a service is unavailable, a stale report of a crashed one does not make it
// the last resort.
func TestStaleReportOfDeadTargetIsNoLastResort(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		var dead []*Target
		for _, x := range w.targets.all {
			if x.service == "fares" {
				w.CrashTarget(x)
				dead = append(dead, x)
			}
		}
		w.Run(w.now + 3*time.Second)
		for _, x := range dead {
			w.reportTarget(w.Leader(), x, wire.TargetReady)
			w.reportTarget(w.pickProcess(wire.ProxyDaemon, true), x, wire.TargetReady)
		}
		w.Run(w.now + 2*time.Second)
		requireNoFailure(t, w)
	}
}

// The control plane is gone for a minute while a service is rolled: it goes on, and the
// control plane finds it complete when it is back.
func TestServiceIsRolledWithoutControlPlane(t *testing.T) {
	t.Parallel()
	roll := faultNamed(t, "service rolled")
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
				t.Fatalf("seed %d: %d exchanges served in 2 s\n%s", seed, n, w.Trace(30))
			}
		}
		w.restartAll()
		w.AwaitRecovery(15 * time.Second)
		w.Finish()
		requireNoFailure(t, w)
	}
}

// What short pauses of targets cost: one that is shorter than the interval of
// health checks ejects nobody, a long one always does.
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
		t.Logf("of 60 pauses of %v, %d led to a bar", c.pause, n)
		requireNoFailure(t, w)
		if n < c.min || n > c.max {
			t.Errorf("of 60 pauses of %v, %d led to a bar", c.pause, n)
		}
	}
}

// A target that crashes while no configuration names its service gets nothing once one does
// again, however long ago it crashed.
func TestTargetThatDiedUnconfiguredGetsNothing(t *testing.T) {
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
			t.Fatalf("seed %d: revision %d", seed, w.Leader().controller.Revision())
		}
	}
}
