package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A member whose disk is full does not end, and retries its writes until there is space;
// changes are acknowledged meanwhile, nothing is written there, and it has them soon after.
func TestMemberWithAFullDiskRetries(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := Start(seed+1, Small)
		p := w.daemons(wire.ControlDaemon)[seed%3] // the leader among them
		started, written := p.incarnation, len(p.disk.image.Log)
		w.fillDisk(p, 6*time.Second)
		for n := range 3 {
			if l := w.Leader(); l != nil {
				w.PutConfig(l, w.Revision(), 5+n)
			}
			w.Run(w.now + 1500*time.Millisecond)
		}
		requireNoFailure(t, w)
		if w.Stats.RejectedWrites == 0 || w.checks.acknowledged < 3 {
			t.Fatalf("seed %d: its disk refused %d writes, revision %d acknowledged\n%s", w.Seed, w.Stats.RejectedWrites, w.checks.acknowledged, w.Trace(30))
		}
		if most := int(6*time.Second/tuning.DiskRetry) + 1; w.Stats.RejectedWrites > most {
			t.Errorf("seed %d: %d writes were refused, one each %v makes %d", w.Seed, w.Stats.RejectedWrites, tuning.DiskRetry, most)
		}
		if len(p.disk.image.Log) != written {
			t.Errorf("seed %d: the full disk of %s took writes", w.Seed, p.name)
		}
		w.Run(w.now + 6*time.Second)
		requireNoFailure(t, w)
		if p.incarnation != started {
			t.Errorf("seed %d: %s ended\n%s", w.Seed, p.name, w.Trace(30))
		}
		if !p.alive || p.controller.Revision() < w.checks.acknowledged {
			t.Errorf("seed %d: %s is not back\n%s", w.Seed, p.name, w.Trace(30))
		}
		w.Finish()
		requireNoFailure(t, w)
	}
}

// Changes are acknowledged also while all disks of the control plane are thirty times slower.
func TestChangesAreAcknowledgedOnSlowDisks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := Start(seed+1, Small)
		for _, p := range w.daemons(wire.ControlDaemon) {
			w.slowDisk(p, 30, 20*time.Second)
		}
		for i := range 5 {
			if l := w.Leader(); l != nil {
				w.PutConfig(l, w.Revision(), 10+i)
			}
			w.Run(w.now + 2*time.Second)
		}
		requireNoFailure(t, w)
		if w.checks.acknowledged < 4 {
			t.Errorf("seed %d: revision %d acknowledged\n%s", w.Seed, w.checks.acknowledged, w.Trace(30))
		}
		if w.Stats.SlowestChange < 40*time.Millisecond {
			t.Errorf("seed %d: no change took over %v on slow disks", w.Seed, w.Stats.SlowestChange)
		}
	}
}
