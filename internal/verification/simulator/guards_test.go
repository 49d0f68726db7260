package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Each test in this file covers one guard that random runs seldom exercise. docs/rules.md lists the guard that was
// disabled to see each test fail.

// A change is acknowledged only once a majority has it on disk. With two of three disks stalled, a change that was
// acknowledged must survive a power cut and the loss of the third disk.
func TestChangeIsSyncedByAMajorityBeforeItsReply(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		for _, leaderToo := range []bool{false, true} {
			w := Start(seed, Small)
			l, followers := w.Leader(), w.followers()
			diskLost := l
			w.StallDisk(followers[0], time.Minute)
			if leaderToo {
				w.StallDisk(l, time.Minute)
				diskLost = followers[1]
			} else {
				w.StallDisk(followers[1], time.Minute)
			}
			w.PutConfig(l, 1, 2)
			w.Run(w.now + 350*time.Millisecond)
			for _, p := range w.daemons(wire.ControlDaemon) {
				p.disk.unsynced = nil // the power cut comes before anything more is written
			}
			w.killAll()
			w.WipeDisk(diskLost)
			w.Run(w.now + time.Second)
			w.restartAll()
			w.AwaitRecovery(15 * time.Second)
			w.CheckAcknowledgedChanges()
			requireNoFailure(t, w)
		}
	}
}

// A member that lost its disk has no vote until it has been admitted again. Otherwise it could, with a member that lags
// behind, elect a leader that lacks an acknowledged change.
func TestMemberWithoutItsDiskHasNoVote(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		l, followers := w.Leader(), w.followers()
		w.isolate([]string{followers[1].name}, 3*time.Second, true, true)
		w.PutConfig(l, 1, 2)
		w.Run(w.now + 2*time.Second)
		if w.checks.acknowledged != 2 {
			t.Fatalf("seed %d: the change was not acknowledged within 2 s\n%s", seed, w.Trace(30))
		}
		w.Kill(l)
		w.Kill(followers[0])
		w.WipeDisk(followers[0])
		w.Run(w.now + time.Second)
		w.Restart(followers[0])
		w.Run(w.now + 10*time.Second)
		if w.Leader() != nil {
			t.Fatalf("seed %d: %s was elected with the vote of a member that lost its disk\n%s", seed, w.Leader().name, w.Trace(30))
		}
		w.Restart(l)
		w.AwaitRecovery(15 * time.Second)
		w.CheckAcknowledgedChanges()
		requireNoFailure(t, w)
	}
}

// A proxy that is isolated just after it was granted a lease serves until that lease ends. A change must therefore not
// be acknowledged before, whether this leader granted the lease or an earlier one.
func TestAcknowledgementWaitsForLeases(t *testing.T) {
	t.Parallel()
	p := Small
	p.Rate = 900
	for seed := range uint64(24) {
		w := Start(seed, p)
		w.isolate([]string{"g1"}, 4*time.Second, true, true)
		for _, tg := range w.targets.all { // the proxy can still reach the targets
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
				t.Fatalf("seed %d: no leader within 1 s of the stop of the old one\n%s", seed, w.Trace(20))
			}
			w.PutConfig(w.Leader(), 1, 2)
		}
		w.Run(w.now + 3*time.Second)
		if w.checks.acknowledged != 2 {
			t.Fatalf("seed %d: the change was not acknowledged within 3 s\n%s", seed, w.Trace(30))
		}
		requireNoFailure(t, w)
	}
}

// A stopping proxy exits only after its requests have ended.
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
		t.Fatal("the stopping proxy exited before its requests ended")
	}
	w.Run(w.now + 5*time.Second)
	requireNoFailure(t, w)
	if g.alive {
		t.Fatalf("the proxy has not exited after 7 s, with %d requests in flight\n%s", g.proxy.InFlight(), w.Trace(20))
	}
}

// Two missed health checks eject a target from every proxy's table at once, although its heartbeats go on. Regular
// refreshes of the table keep it ejected, and a successful health check ends the ejection. Healthy targets stay in the
// tables.
func TestEjectionLastsUntilAHealthCheckSucceeds(t *testing.T) {
	t.Parallel()
	w := Start(5, Small)
	w.Run(w.now + 5*time.Second)
	tg := w.targets.all[0]
	tablesUsing := func() (n int) { // tables in which the target is not ejected
		for _, p := range w.daemons(wire.ProxyDaemon) {
			for _, x := range p.proxy.Table().Targets {
				if x.Name == tg.name && x.EjectionLeft == 0 {
					n++
				}
			}
		}
		return n
	}
	delete(w.targets.listening, tg.address) // its port and connections are closed; its heartbeats go on
	for _, p := range w.processes.byName {
		delete(p.idle, wire.TargetID{Service: tg.service, Name: tg.name, Incarnation: tg.incarnation})
	}
	closedAt := w.now
	for tablesUsing() > 0 && w.now < closedAt+5*time.Second {
		w.Run(w.now + 10*time.Millisecond)
	}
	if took := w.now - closedAt; took > 1500*time.Millisecond {
		t.Fatalf("tables used the target for %v after its port was closed, want at most 1.5s", took)
	}
	version := w.Leader().controller.Table().Key.Version
	w.Run(w.now + 45*time.Second) // longer than several refreshes and the 30 s of the ejection
	if tablesUsing() > 0 || w.Leader().controller.Table().Key.Version == version {
		t.Fatalf("%d tables use the target again; table version %d -> %d, want a later one", tablesUsing(), version, w.Leader().controller.Table().Key.Version)
	}
	w.targets.listening[tg.address] = tg
	w.Run(w.now + 2*time.Second)
	if tablesUsing() != 5 {
		t.Fatalf("%d of 5 tables use the target after its port is open again, want all", tablesUsing())
	}
	version = w.Leader().controller.Table().Key.Version
	unchanged := w.Leader().controller.Status(0).Counts.TablesUnchanged
	w.Run(w.now + 3*time.Second)
	if s := w.Leader().controller.Status(0); s.Counts.TablesUnchanged-unchanged < 50 || s.Table.Version > version+1 {
		t.Fatalf("%d tables were rebuilt without a change, want at least 50; version %d -> %d, want at most one step", s.Counts.TablesUnchanged-unchanged, version, s.Table.Version)
	}
	// A leaving target stays draining, even if it answers health checks and reports that it is ready again.
	leaving := w.targets.all[1]
	leaving.state = wire.TargetLeaving
	w.Run(w.now + time.Second)
	leaving.state = wire.TargetReady
	w.Run(w.now + 3*time.Second)
	requireNoFailure(t, w)
	for _, x := range w.Leader().controller.Table().Targets {
		if x.Name == leaving.name && (!x.Draining || x.EjectionLeft != 0) {
			t.Fatalf("the leaving target must be draining and not ejected: %+v", x)
		}
	}
}

// If every target of a service is ejected, the targets that still send heartbeats are used. Draining and crashed targets
// never are.
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
		t.Fatalf("%d of 50 requests were served\n%s", w.Stats.Served-before, w.Trace(20))
	}
}

// A leader that is partitioned from healthy targets does not eject them, since proxies report responses from them. A
// target without such a report is still ejected.
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
		t.Fatalf("%d ejections, want none; %d missed health checks were overruled, want at least 50\n%s", n.Ejections-before.Ejections, n.MissesOverruled, w.Trace(20))
	}
}

// With hardly any requests there are no responses that would show healthy targets to a leader that is partitioned from
// them. Proxies then check the targets' health on its behalf, so that it ejects the one that crashed and no other.
func TestProxiesCheckIdleTargetsForLeader(t *testing.T) {
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
			t.Fatalf("seed %d: %d ejections, want none; %d missed health checks were overruled, want some\n%s", seed, n.Ejections-before.Ejections, n.MissesOverruled-before.MissesOverruled, w.Trace(20))
		}
		w.CrashTarget(w.targets.all[int(seed)%len(w.targets.all)])
		w.Run(w.now + tuning.ProbeEvery + tuning.ProbeEvery + tuning.ProbeTimeout + 100*time.Millisecond)
		if n := l.controller.Status(0).Counts; n.Ejections != before.Ejections+1 {
			t.Fatalf("seed %d: %d ejections after one target crashed, want 1\n%s", seed, n.Ejections-before.Ejections, w.Trace(20))
		}
		w.Run(w.now + 3*time.Second)
		requireNoFailure(t, w)
	}
}

// A leader that was frozen must not grant a lease on its first event after the thaw: another member may have led and
// acknowledged changes meanwhile.
func TestThawedLeaderGrantsNoLease(t *testing.T) {
	t.Parallel()
	p := Small
	p.Rate = 600
	for seed := range uint64(12) {
		w := Start(seed, p)
		l := w.Leader()
		w.isolate([]string{"g1", l.name}, 10*time.Second, true, true)
		w.partition(bothDirections(l.name, "g1"), 3800*time.Millisecond) // this partition ends before the thaw, so that the first event after the thaw is a recent message
		for _, tg := range w.targets.all {
			delete(w.network.blocked, link{"g1", tg.name})
			delete(w.network.blocked, link{tg.name, "g1"})
		}
		w.Freeze(l, 4*time.Second)
		w.Run(w.now + 2500*time.Millisecond)
		w.PutConfig(w.Leader(), 1, 2)
		w.Run(w.now + 3*time.Second)
		if w.checks.acknowledged != 2 {
			t.Fatalf("seed %d: the change was not acknowledged within 3 s\n%s", seed, w.Trace(30))
		}
		requireNoFailure(t, w)
	}
}

// A proxy that was isolated for a while serves again as soon as it has a lease from the leader. It must not keep the
// ejections that it decided on meanwhile, since the fault was its own.
func TestReconnectedProxyServesAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := Start(seed, Small)
		d := 4*time.Second + time.Duration(seed)*45*time.Millisecond // over the seeds, the isolation ends at different moments between two health checks
		w.isolate([]string{"g1"}, d, true, true)
		w.Run(w.now + d)
		g := w.process("g1")
		for i := 0; g.proxy.State() != dataplane.Leased && i < 100; i++ {
			w.Run(w.now + 10*time.Millisecond)
		}
		for _, x := range g.proxy.View(g.localTime()).Targets {
			if x.OwnEjectionLeftMs > 0 {
				t.Fatalf("seed %d: the reconnected proxy keeps its own ejection of %s for another %d ms, want none", seed, x.Name, x.OwnEjectionLeftMs)
			}
		}
		requireNoFailure(t, w)
	}
}

// latestAttemptAfterCrash runs a world in which do crashes a target, and returns how long after the crash a request was
// last attempted at it.
func latestAttemptAfterCrash(t *testing.T, seed uint64, do func(w *World, tg *Target)) time.Duration {
	t.Helper()
	p := Small
	p.Rate = 60 // low enough that health checks, not failed connection attempts of requests, detect the crash first
	w := Start(seed, p)
	w.Run(w.now + time.Second)
	do(w, w.targets.all[int(seed)%len(w.targets.all)])
	w.Run(w.now + 8*time.Second)
	requireNoFailure(t, w)
	return w.Stats.LatestToCrashed
}

// A leader and a target crash together, and most proxies are new. The next leader checks targets' health while it
// gathers tables, and must not take over the crashed target from an old table.
func TestNewLeaderVerifiesTargetsOfOldTables(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		if late := latestAttemptAfterCrash(t, seed, func(w *World, tg *Target) {
			w.Kill(w.Leader())
			for _, p := range w.daemons(wire.ProxyDaemon)[1:] { // only one proxy keeps the old table
				w.Kill(p)
				w.schedule(100*time.Millisecond, func() { w.Restart(p) })
			}
			w.CrashTarget(tg)
		}); late > 2*time.Second {
			t.Errorf("seed %d: the target was still used %v after its crash, want at most 2s", seed, late)
		}
	}
}

// The control plane is isolated just before its leader would eject a crashed target. Proxies must then eject the target
// by their own health checks.
func TestProxiesEjectCrashedTargetsWithoutLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		if late := latestAttemptAfterCrash(t, seed, func(w *World, tg *Target) {
			w.CrashTarget(tg)
			w.Run(w.now + 300*time.Millisecond)
			w.isolate(w.daemonNames(wire.ControlDaemon), 10*time.Second, true, true)
		}); late > 2*time.Second {
			t.Errorf("seed %d: the target was still used %v after its crash, want at most 2s", seed, late)
		}
	}
}

// A proxy freezes after it has chosen targets for some requests and before it has written them. The choices are out of
// date at the thaw, so these requests must go to other targets or be rejected.
func TestThawedProxyDropsExpiredChoices(t *testing.T) {
	t.Parallel()
	freeze := faultNamed(t, "proxy frozen before writing requests")
	expired := uint64(0)
	for seed := range uint64(12) {
		w := Start(seed, Small)
		w.Run(w.now + time.Second)
		freeze.Inject(w)
		w.SendChange(w.Leader(), "POST", "/v1/domains/d1/empty", "", nil, emptyChange("d1"))
		w.Run(w.now + 9*time.Second)
		requireNoFailure(t, w)
		for _, p := range w.daemons(wire.ProxyDaemon) {
			expired += p.proxy.Counts.ExpiredChoices
		}
	}
	if expired < 12 {
		t.Fatalf("%d choices of targets expired, want at least 12", expired)
	}
}
