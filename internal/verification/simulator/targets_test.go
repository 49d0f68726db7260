package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// Silence alone refuses nobody: a domain cut off for longer than a silent target's
// entry lasts is back at full capacity within seconds of healing.
func TestHealedTargets(t *testing.T) {
	t.Parallel()
	for seed, cut := range []time.Duration{15 * time.Second, 25 * time.Second, 50 * time.Second, 90 * time.Second} {
		w := Start(uint64(seed), Small)
		w.cutDomain("d2", cut)
		w.Run(w.now + cut)
		healed := w.now
		for w.missing() != "" && w.now < healed+30*time.Second {
			w.Run(w.now + 100*time.Millisecond)
		}
		check(t, w)
		if took := w.now - healed; took > 4*time.Second {
			t.Errorf("cut for %v: %s missing %v after healing", cut, w.missing(), took)
		}
	}
}

// A late word of an earlier start neither evicts the present one nor comes back
// itself, whether or not the leader that knew better is still there.
func TestLateWords(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := Start(seed, Small)
		old := w.targets[int(seed)%len(w.targets)]
		w.CrashTarget(old)
		w.Run(w.now + 300*time.Millisecond)
		n := w.AddTarget(old.service, old.name, old.domain, old.addr, 0)
		n.inc = old.inc - 1 // a clock that went back, or plain chance: numbers have no order
		if seed%3 == 1 {    // under another address
			delete(w.listen, n.addr)
			n.addr = "10.9.9.9:80"
			w.listen[n.addr] = n
		}
		w.Run(w.now + 4*time.Second)
		if !w.served(n) {
			t.Fatalf("seed %d: the new start is not served\n%s", seed, w.Trace(20))
		}
		if seed%2 == 0 {
			w.Kill(w.Leader())
			for w.Leader() == nil && w.now < 30*time.Second {
				w.Run(w.now + 5*time.Millisecond)
			}
			w.say(w.Leader(), old, wire.TargetReady) // before anything else is heard
		}
		for range 20 {
			w.say(w.pick(wire.ProxyDaemon, true), old, wire.TargetReady)
			w.say(w.Leader(), old, wire.TargetWarming)
			w.Run(w.now + 50*time.Millisecond)
			if w.served(old) {
				t.Fatalf("seed %d: the old start is served\n%s", seed, w.Trace(20))
			}
		}
		w.Run(w.now + 2*time.Second)
		check(t, w)
		if !w.served(n) || w.served(old) {
			t.Fatalf("seed %d: new served %v, old served %v\n%s", seed, w.served(n), w.served(old), w.Trace(20))
		}
	}
}

// Two live targets under one name, or at one address: one of them stays, and no
// word of the other moves anything back and forth.
func TestTwoClaimOne(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := Start(seed, Small)
		a := w.targets[0]
		b := w.AddTarget("pay", "rival", a.domain, "10.9.9.8:80", 0)
		if seed%2 == 0 {
			b.service, b.name = a.service, a.name
		} else {
			b.addr = a.addr // a still listens there
			w.listen[a.addr] = a
			delete(w.listen, "10.9.9.8:80")
		}
		w.Run(w.now + 3*time.Second)
		if w.served(a) == w.served(b) {
			t.Fatalf("seed %d: %v %v\n%s", seed, w.served(a), w.served(b), w.Trace(20))
		}
		first, turns := w.served(a), 0
		for range 900 {
			w.Run(w.now + 100*time.Millisecond)
			if now := w.served(a); now != first {
				first = now
				turns++
			}
			if w.now > 60*time.Second && w.now < 60*time.Second+100*time.Millisecond {
				w.Kill(w.Leader())
				w.Run(w.now + 2*time.Second)
				w.Restart(w.pick(wire.ControlDaemon, false))
			}
		}
		check(t, w)
		if turns > 2 { // a new leader may find out anew
			t.Errorf("seed %d: %d turns", seed, turns)
		}
	}
}

// A target that has left does not come back by a late word, also when the leader
// that saw it leave is gone.
func TestLeftStaysAway(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := Start(seed, Small)
		old := w.targets[1]
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
			w.say(w.Leader(), old, wire.TargetReady)
			w.Run(w.now + 30*time.Millisecond)
			if w.served(old) {
				t.Fatalf("seed %d: served again\n%s", seed, w.Trace(20))
			}
		}
		check(t, w)
	}
}

// When every target of a service is out, a late word of a dead one does not make it
// the last resort.
func TestLateWordOfTheLast(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		var dead []*Target
		for _, x := range w.targets {
			if x.service == "fares" {
				w.CrashTarget(x)
				dead = append(dead, x)
			}
		}
		w.Run(w.now + 3*time.Second)
		for _, x := range dead {
			w.say(w.Leader(), x, wire.TargetReady)
			w.say(w.pick(wire.ProxyDaemon, true), x, wire.TargetReady)
		}
		w.Run(w.now + 2*time.Second)
		check(t, w)
	}
}

// The core is gone for a minute while a whole service is rolled: it goes on, and the
// core finds it whole when it is back.
func TestRollWithoutCore(t *testing.T) {
	t.Parallel()
	roll, _ := FaultByName("service rolled")
	for seed := range uint64(6) {
		w := Start(seed, Small)
		for _, n := range w.all(wire.ControlDaemon) {
			w.Kill(w.procs[n])
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
		check(t, w)
	}
}

// What short pauses of targets cost: one that is shorter than the watchdog's
// interval ejections nobody, a long one always does.
func TestPauses(t *testing.T) {
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
		before := w.Leader().core.Status(0).Counts.Ejections
		for i := range 60 {
			x := w.targets[i%len(w.targets)]
			x.hang = true
			w.Run(w.now + c.pause)
			x.hang = false
			w.Run(w.now + 2*time.Second - c.pause + time.Duration(i*37%450)*time.Millisecond)
		}
		n := int(w.Leader().core.Status(0).Counts.Ejections - before)
		t.Logf("of 60 pauses of %v, %d led to a bar", c.pause, n)
		check(t, w)
		if n < c.min || n > c.max {
			t.Errorf("of 60 pauses of %v, %d led to a bar", c.pause, n)
		}
	}
}

// A target that dies while no configuration names its service gets nothing once one does
// again, however long it has been dead by then.
func TestNamedAgain(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		p := Small
		p.Rate = 400
		w := Start(seed, p)
		w.SendChange(w.Leader(), "PUT", "/v1/config", "base=1", w.DocumentFor(2, 10, []string{"fares"}), &change{what: "config", base: 1})
		w.Run(w.now + 2*time.Second)
		for _, x := range w.targets {
			if x.service == "pay" && (x.name != "pay1" || seed%2 == 0) {
				w.CrashTarget(x)
			}
		}
		w.Run(w.now + time.Duration(seed+1)*90*time.Millisecond)
		w.SendChange(w.Leader(), "PUT", "/v1/config", "base=2", w.DocumentFor(3, 10, []string{"fares", "pay"}), &change{what: "config", base: 2})
		w.Run(w.now + 5*time.Second)
		check(t, w)
		if w.Leader().core.Revision() != 3 {
			t.Fatalf("seed %d: revision %d", seed, w.Leader().core.Revision())
		}
	}
}
