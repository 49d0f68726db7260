package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A member whose disk is full keeps running and retries its write until there is space. Meanwhile the others acknowledge
// changes and nothing is written to the full disk; afterwards the member catches up.
func TestMemberWithAFullDiskRetries(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := Start(seed+1, Small)
		p := w.daemons(wire.ControlDaemon)[seed%3] // each seed takes the next member
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
			t.Fatalf("seed %d: the full disk rejected %d writes, want some; revision %d acknowledged, want 3 or later\n%s", w.Seed, w.Stats.RejectedWrites, w.checks.acknowledged, w.Trace(30))
		}
		if limit := int(6*time.Second/tuning.DiskRetry) + 1; w.Stats.RejectedWrites > limit {
			t.Errorf("seed %d: %d writes were rejected in 6 s, want at most %d, one every %v", w.Seed, w.Stats.RejectedWrites, limit, tuning.DiskRetry)
		}
		if len(p.disk.image.Log) != written {
			t.Errorf("seed %d: the full disk of %s was written to", w.Seed, p.name)
		}
		w.Run(w.now + 6*time.Second)
		requireNoFailure(t, w)
		if p.incarnation != started {
			t.Errorf("seed %d: the process of %s ended\n%s", w.Seed, p.name, w.Trace(30))
		}
		if !p.alive || p.controller.Revision() < w.checks.acknowledged {
			t.Errorf("seed %d: %s has not caught up after its disk got free space again\n%s", w.Seed, p.name, w.Trace(30))
		}
		w.Finish()
		requireNoFailure(t, w)
	}
}

// Changes are still acknowledged while all disks of the control plane are thirty times slower.
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
			t.Errorf("seed %d: revision %d acknowledged on slow disks, want 4 or later\n%s", w.Seed, w.checks.acknowledged, w.Trace(30))
		}
		if w.Stats.SlowestChange < 40*time.Millisecond {
			t.Errorf("seed %d: the slowest change took %v, want at least 40ms on slow disks", w.Seed, w.Stats.SlowestChange)
		}
	}
}
