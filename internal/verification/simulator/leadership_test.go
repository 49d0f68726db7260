package simulator

import (
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// countTargets counts the targets that a leader knows, and how many of them have to be verified
// before they are served.
func (w *World) countTargets(p *Process) (n, hearsay int) {
	all := p.controller.Targets(w.now)
	for _, t := range all {
		if strings.HasPrefix(t.Why, "known by hearsay") {
			hearsay++
		}
	}
	return len(all), hearsay
}

// isolateFromControlDaemons cuts a control daemon off from all others, both ways, for a time.
func (w *World) isolateFromControlDaemons(p *Process, d time.Duration) {
	var ks []link
	for _, n := range w.daemonNames(wire.ControlDaemon) {
		if n != p.name {
			ks = append(ks, link{n, p.name}, link{p.name, n})
		}
	}
	w.partition(ks, d)
}

// A leader that loses its lease for a moment, while nobody else leads, goes on with all
// that it knew, in the same term or in another: no target has to be verified anew.
func TestResumedLeaderKeepsItsTargets(t *testing.T) {
	t.Parallel()
	same, later := 0, 0
	for seed := range uint64(12) {
		w := Start(seed, Small)
		w.Run(w.now + 3*time.Second)
		l := w.Leader()
		if l == nil {
			t.Fatalf("seed %d: nobody leads", seed)
		}
		had, _ := w.countTargets(l)
		before := l.controller.Status(w.now)
		w.isolateFromControlDaemons(l, tuning.LeaderLease+time.Duration(seed%2)*tuning.HeartbeatEvery)
		w.runUntil(time.Second, func() bool { return !l.controller.Leading() })
		fewest, unproved := had, 0
		for end := w.now + 2*time.Second; w.now < end && w.Leader() == nil; {
			w.Run(w.now + tuning.TickEvery)
			n, hearsay := w.countTargets(l)
			fewest, unproved = min(fewest, n), max(unproved, hearsay)
		}
		if w.Leader() != l {
			continue // another was elected, which is as good
		}
		after := l.controller.Status(w.now)
		if after.Term > before.Term {
			later++
		} else if same++; after.Counts.Elections != before.Counts.Elections {
			t.Errorf("seed %d: it began a new lead in the same term", seed)
		}
		if fewest < had || unproved > 0 {
			t.Errorf("seed %d: it knew %d targets, then %d, and %d of them by hearsay\n%s", seed, had, fewest, unproved, w.Trace(20))
		}
		w.Run(w.now + 2*time.Second)
		requireNoFailure(t, w)
	}
	if same == 0 || later == 0 {
		t.Errorf("%d leaders led again in the same term, %d in a later one", same, later)
	}
}

// Where another led meanwhile, or that can't be excluded, a leader begins from what is agreed and what
// the proxies report.
func TestLeaderStartsAnewAfterAnother(t *testing.T) {
	t.Parallel()
	forgot := 0
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
			forgot++
		}
		w.Run(w.now + 3*time.Second)
		requireNoFailure(t, w)
	}
	t.Logf("%d leaders led again after another", forgot)
}

// Where nobody led for longer than it takes to notice a target's crash, what a leader knew of its targets
// before is unverified: one that crashed meanwhile gets no request, though no proxy remembers that it was ejected.
func TestLeaderAfterLongLossTrustsNoTarget(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		w := Start(seed, Small)
		w.Run(w.now + 3*time.Second)
		cores, gates := w.daemonNames(wire.ControlDaemon), w.daemonNames(wire.ProxyDaemon)
		for _, c := range cores {
			w.isolateFromControlDaemons(w.process(c), 2300*time.Millisecond)
		}
		w.Run(w.now + tuning.LeaderLease - 200*time.Millisecond)
		w.CrashTarget(w.targets.all[int(seed)%len(w.targets.all)])
		w.Run(w.now + 300*time.Millisecond)
		for _, g := range gates {
			w.Kill(w.process(g))
		}
		w.Run(w.now + 1600*time.Millisecond)
		for _, g := range gates {
			w.Restart(w.process(g))
		}
		w.Run(w.now + 6*time.Second)
		requireNoFailure(t, w)
	}
}
