package simulator

import (
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// countTargets returns how many targets a leader knows, and how many of these get no requests until they have passed one
// of its health checks.
func (w *World) countTargets(p *Process) (known, unverified int) {
	all := p.controller.Targets(w.now)
	for _, t := range all {
		if strings.HasPrefix(t.Why, "unconfirmed:") {
			unverified++
		}
	}
	return len(all), unverified
}

// isolateFromControlDaemons blocks the links between a control daemon and all others, in both directions, for a while.
func (w *World) isolateFromControlDaemons(p *Process, d time.Duration) {
	var links []link
	for _, n := range w.daemonNames(wire.ControlDaemon) {
		if n != p.name {
			links = append(links, link{n, p.name}, link{p.name, n})
		}
	}
	w.partition(links, d)
}

// A leader that loses its lease for a moment while no other member leads keeps what it knew, whether it leads again in
// the same term or in a later one: it does not have to verify its targets again.
func TestResumedLeaderKeepsItsTargets(t *testing.T) {
	t.Parallel()
	sameTerm, laterTerm := 0, 0
	for seed := range uint64(12) {
		w := Start(seed, Small)
		w.Run(w.now + 3*time.Second)
		l := w.Leader()
		if l == nil {
			t.Fatalf("seed %d: no leader 3 s after the start", seed)
		}
		knownBefore, _ := w.countTargets(l)
		before := l.controller.Status(w.now)
		w.isolateFromControlDaemons(l, tuning.LeaderLease+time.Duration(seed%2)*tuning.HeartbeatEvery)
		w.runUntil(time.Second, func() bool { return !l.controller.Leading() })
		fewestKnown, mostUnverified := knownBefore, 0
		for end := w.now + 2*time.Second; w.now < end && w.Leader() == nil; {
			w.Run(w.now + tuning.TickEvery)
			known, unverified := w.countTargets(l)
			fewestKnown, mostUnverified = min(fewestKnown, known), max(mostUnverified, unverified)
		}
		if w.Leader() != l {
			continue // another member was elected, which is allowed too
		}
		after := l.controller.Status(w.now)
		if after.Term > before.Term {
			laterTerm++
		} else if sameTerm++; after.Counts.Elections != before.Counts.Elections {
			t.Errorf("seed %d: the leader, which resumed in the same term, has discarded its state, want it kept", seed)
		}
		if fewestKnown < knownBefore || mostUnverified > 0 {
			t.Errorf("seed %d: the leader knew %d targets before the loss of its lease, later as few as %d, and had to verify up to %d again, want no loss and 0 verifications\n%s", seed, knownBefore, fewestKnown, mostUnverified, w.Trace(20))
		}
		w.Run(w.now + 2*time.Second)
		requireNoFailure(t, w)
	}
	if sameTerm == 0 || laterTerm == 0 {
		t.Errorf("%d leaders resumed in the same term and %d in a later one, want some of each", sameTerm, laterTerm)
	}
}

// If another member has led meanwhile, or may have, a leader starts from the committed state and from what proxies
// report.
func TestLeaderStartsAfreshAfterAnotherLed(t *testing.T) {
	t.Parallel()
	restarted := 0
	for seed := range uint64(6) {
		w := Start(seed, Small)
		w.Run(w.now + 3*time.Second)
		first := w.Leader()
		w.isolateFromControlDaemons(first, tuning.LeadershipResumeWindow/2)
		w.runUntil(2*time.Second, func() bool { return w.Leader() != nil && w.Leader() != first })
		second := w.Leader()
		if second == nil || second == first {
			continue
		}
		w.CrashTarget(w.targets.all[0])
		w.Run(w.now + tuning.LeadershipResumeWindow/2)
		w.Kill(second)
		elections := first.controller.Status(w.now).Counts.Elections
		if !w.runUntil(3*time.Second, w.hasLeader) || w.Leader() != first {
			continue
		}
		if first.controller.Status(w.now).Counts.Elections > elections {
			restarted++
		}
		w.Run(w.now + 3*time.Second)
		requireNoFailure(t, w)
	}
	t.Logf("%d leaders rebuilt their state after another member had led", restarted)
}

// After a time without a leader that is longer than it takes to detect a target's crash, a leader verifies the targets
// that it knew before: one that crashed meanwhile must get no request, although all proxies restarted and none remembers
// its ejection.
func TestLeaderVerifiesTargetsAfterLongLossOfLeadership(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		w := Start(seed, Small)
		w.Run(w.now + 3*time.Second)
		controlDaemons, proxies := w.daemonNames(wire.ControlDaemon), w.daemonNames(wire.ProxyDaemon)
		for _, c := range controlDaemons {
			w.isolateFromControlDaemons(w.process(c), 2300*time.Millisecond)
		}
		w.Run(w.now + tuning.LeaderLease - 200*time.Millisecond)
		w.CrashTarget(w.targets.all[int(seed)%len(w.targets.all)])
		w.Run(w.now + 300*time.Millisecond)
		for _, g := range proxies {
			w.Kill(w.process(g))
		}
		w.Run(w.now + 1600*time.Millisecond)
		for _, g := range proxies {
			w.Restart(w.process(g))
		}
		w.Run(w.now + 6*time.Second)
		requireNoFailure(t, w)
	}
}
