package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Each test here is aimed at one guard that random days seldom meet; docs/rules.md
// says which guard was disabled to see it fail.

// A change is acknowledged only when a majority has it on disk: with two of three
// disks stalled it must survive a power cut and the loss of the third disk, or not
// have been acknowledged.
func TestChangeIsSyncedByAMajorityBeforeItsReply(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		for _, leaderToo := range []bool{false, true} {
			w := Start(seed, Small)
			l, fs := w.Leader(), w.followers()
			lose := l
			w.StallDisk(fs[0], time.Minute)
			if leaderToo {
				w.StallDisk(l, time.Minute)
				lose = fs[1]
			} else {
				w.StallDisk(fs[1], time.Minute)
			}
			w.PutConfig(l, 1, 2)
			w.Run(w.now + 350*time.Millisecond)
			for _, p := range w.daemons(wire.ControlDaemon) {
				p.disk.unsynced = nil // power goes before anything more is written
			}
			w.killAll()
			w.WipeDisk(lose)
			w.Run(w.now + time.Second)
			w.restartAll()
			w.AwaitRecovery(15 * time.Second)
			w.CheckAcknowledgedChanges()
			requireNoFailure(t, w)
		}
	}
}

// A member that lost its disk has no vote until it has been admitted again: it and
// one that was behind must not elect a leader that forgets what was acknowledged.
func TestMemberWithoutItsDiskHasNoVote(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		l, fs := w.Leader(), w.followers()
		w.isolate([]string{fs[1].name}, 3*time.Second, true, true)
		w.PutConfig(l, 1, 2)
		w.Run(w.now + 2*time.Second)
		if w.checks.acknowledged != 2 {
			t.Fatalf("not acknowledged\n%s", w.Trace(30))
		}
		w.Kill(l)
		w.Kill(fs[0])
		w.WipeDisk(fs[0])
		w.Run(w.now + time.Second)
		w.Restart(fs[0])
		w.Run(w.now + 10*time.Second)
		if w.Leader() != nil {
			t.Fatalf("seed %d: %s leads\n%s", seed, w.Leader().name, w.Trace(30))
		}
		w.Restart(l)
		w.AwaitRecovery(15 * time.Second)
		w.CheckAcknowledgedChanges()
		requireNoFailure(t, w)
	}
}

// A proxy that is isolated just after its lease was granted goes on for that lease's time, so an
// acknowledgement waits for its end, be it this leader's lease or an earlier one's.
func TestAcknowledgementWaitsForLeases(t *testing.T) {
	t.Parallel()
	p := Small
	p.Rate = 900
	for seed := range uint64(24) {
		w := Start(seed, p)
		w.isolate([]string{"g1"}, 4*time.Second, true, true)
		for _, tg := range w.targets.all { // callers and back ends still reach it
			delete(w.network.blocked, link{"g1", tg.name})
			delete(w.network.blocked, link{tg.name, "g1"})
		}
		if seed%2 == 0 {
			w.PutConfig(w.Leader(), 1, 2)
		} else {
			w.stopProcess(w.Leader())
			for i := 0; w.Leader() == nil && i < 100; i++ {
				w.Run(w.now + 10*time.Millisecond)
			}
			if w.Leader() == nil {
				t.Fatalf("no leader\n%s", w.Trace(20))
			}
			w.PutConfig(w.Leader(), 1, 2)
		}
		w.Run(w.now + 3*time.Second)
		if w.checks.acknowledged != 2 {
			t.Fatalf("seed %d: not acknowledged\n%s", seed, w.Trace(30))
		}
		requireNoFailure(t, w)
	}
}

// A stopping proxy ends only when its requests have.
func TestStoppingProxyFinishesItsRequests(t *testing.T) {
	t.Parallel()
	w := Start(2, Small)
	for _, tg := range w.targets.all {
		tg.serviceTime = 4 * time.Second
	}
	g := w.process("g1")
	for g.proxy.InFlight() == 0 {
		w.Run(w.now + 10*time.Millisecond)
	}
	w.stopProcess(g)
	w.Run(w.now + 2*time.Second)
	if !g.alive {
		t.Fatal("ended early")
	}
	w.Run(w.now + 5*time.Second)
	requireNoFailure(t, w)
	if g.alive {
		t.Fatalf("still there with %d exchanges\n%s", g.proxy.InFlight(), w.Trace(20))
	}
}

// The design on the ordinary path: two missed health checks take a target out of
// every proxy's table at once, though its heartbeats go on; the regular refresh keeps
// it out; a response clears the ejection, and what runs well stays where it is.
func TestEjectionLastsUntilAHealthCheckSucceeds(t *testing.T) {
	t.Parallel()
	w := Start(5, Small)
	w.Run(w.now + 5*time.Second)
	tg := w.targets.all[0]
	in := func() (n int) {
		for _, p := range w.daemons(wire.ProxyDaemon) {
			for _, x := range p.proxy.Table().Targets {
				if x.Name == tg.name && x.EjectionLeft == 0 {
					n++
				}
			}
		}
		return n
	}
	delete(w.targets.listening, tg.address) // its port is closed, connections included, while its heartbeats go on
	for _, p := range w.processes.byName {
		delete(p.idle, wire.TargetID{Service: tg.service, Name: tg.name, Incarnation: tg.incarnation})
	}
	at := w.now
	for in() > 0 && w.now < at+5*time.Second {
		w.Run(w.now + 10*time.Millisecond)
	}
	if took := w.now - at; took > 1500*time.Millisecond {
		t.Fatalf("%v until no table held it", took)
	}
	ver := w.Leader().controller.Table().Key.Version
	w.Run(w.now + 45*time.Second) // over several refreshes and the ejection's 30 s
	if in() > 0 || w.Leader().controller.Table().Key.Version == ver {
		t.Fatalf("in %d tables again; version %d -> %d", in(), ver, w.Leader().controller.Table().Key.Version)
	}
	w.targets.listening[tg.address] = tg
	w.Run(w.now + 2*time.Second)
	if in() != 5 {
		t.Fatalf("back in %d of 5 tables", in())
	}
	ver = w.Leader().controller.Table().Key.Version
	same := w.Leader().controller.Status(0).Counts.TablesUnchanged
	w.Run(w.now + 3*time.Second)
	if s := w.Leader().controller.Status(0); s.Counts.TablesUnchanged-same < 50 || s.Table.Version > ver+1 {
		t.Fatalf("%d idempotent rebuilds, version %d -> %d", s.Counts.TablesUnchanged-same, ver, s.Table.Version)
	}
	// A leaving target answers health checks and even reports that it is ready: it remains draining.
	l := w.targets.all[1]
	l.state = wire.TargetLeaving
	w.Run(w.now + time.Second)
	l.state = wire.TargetReady
	w.Run(w.now + 3*time.Second)
	requireNoFailure(t, w)
	for _, x := range w.Leader().controller.Table().Targets {
		if x.Name == l.name && (!x.Draining || x.EjectionLeft != 0) {
			t.Fatalf("%+v", x)
		}
	}
}

// When every target of a service is ejected, those that still send heartbeats are used; draining
// and crashed ones never are.
func TestEjectedTargetsServeIfAllAreEjected(t *testing.T) {
	t.Parallel()
	w := Start(6, Small)
	w.Run(w.now + 3*time.Second)
	var fares []*Target
	for _, tg := range w.targets.all {
		if tg.service == "fares" {
			tg.ignoresHealthChecks = true // health checks fail, requests are served
			fares = append(fares, tg)
		}
	}
	fares[0].state = wire.TargetLeaving
	w.callers.stopped = true
	w.Run(w.now + 4*time.Second)
	w.callers.stopped = false
	before := w.Stats.Served
	for range 50 {
		w.sendRequest("fares", true, 9)
	}
	w.Run(w.now + time.Second)
	requireNoFailure(t, w)
	if w.Stats.Served-before != 50 {
		t.Fatalf("%d of 50 served\n%s", w.Stats.Served-before, w.Trace(20))
	}
}

// A leader that is cut off from healthy targets does not eject them: proxies have
// responses from them. What no proxy can vouch for is ejected all the same.
func TestIsolatedLeaderEjectsNoHealthyTarget(t *testing.T) {
	t.Parallel()
	p := Small
	p.Rate = 300
	w := Start(4, p)
	w.Run(w.now + 3*time.Second)
	l := w.Leader()
	for _, tg := range w.targets.all {
		w.partition(bothDirections(l.name, tg.name), 6*time.Second)
	}
	before := l.controller.Status(0).Counts
	w.Run(w.now + 6*time.Second)
	requireNoFailure(t, w)
	if n := l.controller.Status(0).Counts; n.Ejections != before.Ejections || n.MissesOverruled < 50 {
		t.Fatalf("%d bars, %d misses overruled\n%s", n.Ejections-before.Ejections, n.MissesOverruled, w.Trace(20))
	}
}

// Where next to nothing is sent, proxies that check targets' health in the leader's place vouch for
// healthy targets, and for none that crashed meanwhile.
func TestProxiesVouchForIdleTargets(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		p := Small
		p.Rate = 1
		w := Start(seed, p)
		w.Run(w.now + 3*time.Second)
		l := w.Leader()
		for _, tg := range w.targets.all {
			w.partition(bothDirections(l.name, tg.name), 6*time.Second)
		}
		before := l.controller.Status(0).Counts
		w.Run(w.now + 3*time.Second)
		if n := l.controller.Status(0).Counts; n.Ejections != before.Ejections || n.MissesOverruled == before.MissesOverruled {
			t.Fatalf("seed %d: %d bars, %d misses overruled\n%s", seed, n.Ejections-before.Ejections, n.MissesOverruled, w.Trace(20))
		}
		w.CrashTarget(w.targets.all[int(seed)%len(w.targets.all)])
		w.Run(w.now + tuning.ProbeEvery + tuning.ProbeEvery + tuning.ProbeTimeout + 100*time.Millisecond)
		if n := l.controller.Status(0).Counts; n.Ejections != before.Ejections+1 {
			t.Fatalf("seed %d: %d bars after a death\n%s", seed, n.Ejections-before.Ejections, w.Trace(20))
		}
		w.Run(w.now + 3*time.Second)
		requireNoFailure(t, w)
	}
}

// A leader that was frozen must not, on its first event after the thaw, grant
// a lease: another may have led and acknowledged meanwhile.
func TestThawedLeaderGrantsNoLease(t *testing.T) {
	t.Parallel()
	p := Small
	p.Rate = 600
	for seed := range uint64(12) {
		w := Start(seed, p)
		l := w.Leader()
		w.isolate([]string{"g1", l.name}, 10*time.Second, true, true)
		w.partition(bothDirections(l.name, "g1"), 3800*time.Millisecond) // so that its first event after the thaw is fresh
		for _, tg := range w.targets.all {
			delete(w.network.blocked, link{"g1", tg.name})
			delete(w.network.blocked, link{tg.name, "g1"})
		}
		w.Freeze(l, 4*time.Second)
		w.Run(w.now + 2500*time.Millisecond)
		w.PutConfig(w.Leader(), 1, 2)
		w.Run(w.now + 3*time.Second)
		if w.checks.acknowledged != 2 {
			t.Fatalf("seed %d: not acknowledged\n%s", seed, w.Trace(30))
		}
		requireNoFailure(t, w)
	}
}

// A proxy that could reach nothing for a while serves again as soon as the leader
// leases it: the faults that it saw in targets then were its own.
func TestReturningProxyServesAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := Start(seed, Small)
		d := 4*time.Second + time.Duration(seed)*45*time.Millisecond // the heal meets its probes anywhere
		w.isolate([]string{"g1"}, d, true, true)
		w.Run(w.now + d)
		g := w.process("g1")
		for i := 0; g.proxy.State() != dataplane.Leased && i < 100; i++ {
			w.Run(w.now + 10*time.Millisecond)
		}
		for _, x := range g.proxy.View(g.localTime()).Targets {
			if x.OwnEjectionLeftMs > 0 {
				t.Fatalf("%s is still barred for %d ms", x.Name, x.OwnEjectionLeftMs)
			}
		}
		requireNoFailure(t, w)
	}
}

// latestAfterDeath runs a world and returns how long after its crash a
// target was last chosen.
func latestAfterDeath(t *testing.T, seed uint64, do func(w *World, tg *Target)) time.Duration {
	t.Helper()
	p := Small
	p.Rate = 60 // few enough that connections which do not open do not show it first
	w := Start(seed, p)
	w.Run(w.now + time.Second)
	do(w, w.targets.all[int(seed)%len(w.targets.all)])
	w.Run(w.now + 8*time.Second)
	requireNoFailure(t, w)
	return w.Stats.LatestToCrashed
}

// A leader and a target crash together: a new leader checks targets' health while it gathers tables,
// and serves nothing that only old tables vouch for.
func TestNewLeaderTrustsNoDeadTarget(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		if late := latestAfterDeath(t, seed, func(w *World, tg *Target) {
			w.Kill(w.Leader())
			for _, p := range w.daemons(wire.ProxyDaemon)[1:] { // new proxies, which have seen nothing; one remembers the table
				w.Kill(p)
				w.schedule(100*time.Millisecond, func() { w.Restart(p) })
			}
			w.CrashTarget(tg)
		}); late > 2*time.Second {
			t.Errorf("seed %d: chosen %v after its death", seed, late)
		}
	}
}

// A leader is isolated just before it ejects a target: proxies decide by health checks of their own.
func TestProxiesNoticeDeadTargetsWithoutLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		if late := latestAfterDeath(t, seed, func(w *World, tg *Target) {
			w.CrashTarget(tg)
			w.Run(w.now + 300*time.Millisecond)
			w.isolate(w.daemonNames(wire.ControlDaemon), 10*time.Second, true, true)
		}); late > 2*time.Second {
			t.Errorf("seed %d: chosen %v after its death", seed, late)
		}
	}
}

// A proxy freezes with requests whose targets are chosen and that are not yet written. What happens
// meanwhile holds for them too: on the thaw they go elsewhere or are rejected.
func TestThawedProxyDropsExpiredChoices(t *testing.T) {
	t.Parallel()
	freeze := faultNamed(t, "gate frozen with work in hand")
	stale := uint64(0)
	for seed := range uint64(12) {
		w := Start(seed, Small)
		w.Run(w.now + time.Second)
		freeze.Inject(w)
		w.SendChange(w.Leader(), "POST", "/v1/domains/d1/empty", "", nil, emptyChange("d1"))
		w.Run(w.now + 9*time.Second)
		requireNoFailure(t, w)
		for _, p := range w.daemons(wire.ProxyDaemon) {
			stale += p.proxy.Counts.ExpiredChoices
		}
	}
	if stale < 12 {
		t.Fatalf("only %d choices grew old", stale)
	}
}
