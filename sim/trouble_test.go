package sim

import (
	"testing"
	"time"
)

// Random days hold at any size of the core, also where it bears no loss.
func TestDaysOfAnySize(t *testing.T) {
	t.Parallel()
	for _, cores := range []int{1, 2, 4, 8, 11} {
		for seed := range uint64(2) {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				check(t, Day(100+seed, open(cores, min(3, cores)), nil, 12, 25*time.Second))
			})
		}
	}
}

// A member whose disk is full ends and is started again until there is room; a change is
// acknowledged meanwhile, and it has it when it is back.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := Start(seed+1, Small)
		p := w.procs[w.all("core")[seed%3]] // the leader among them
		w.fillDisk(p, 6*time.Second)
		for n := range 3 {
			if l := w.Leader(); l != nil {
				w.PutConfig(l, w.Revision(), 5+n)
			}
			w.Run(w.now + 1500*time.Millisecond)
		}
		check(t, w)
		if w.Stats.DiskEnds == 0 || w.acked < 3 {
			t.Fatalf("seed %d: its disk failed %d times, revision %d acknowledged\n%s", w.Seed, w.Stats.DiskEnds, w.acked, w.Trace(30))
		}
		w.Run(w.now + 6*time.Second)
		check(t, w)
		if !p.alive || p.core.Revision() < w.acked {
			t.Errorf("seed %d: %s is not back\n%s", w.Seed, p.name, w.Trace(30))
		}
		w.Finish()
		check(t, w)
	}
}

// Changes are acknowledged too while all disks of the core are thirty times slower.
func TestSlowDisks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := Start(seed+1, Small)
		for _, n := range w.all("core") {
			w.slowDisk(w.procs[n], 30, 20*time.Second)
		}
		for i := range 5 {
			if l := w.Leader(); l != nil {
				w.PutConfig(l, w.Revision(), 10+i)
			}
			w.Run(w.now + 2*time.Second)
		}
		check(t, w)
		if w.acked < 4 {
			t.Errorf("seed %d: revision %d acknowledged\n%s", w.Seed, w.acked, w.Trace(30))
		}
		if w.Stats.MaxForce < 40*time.Millisecond {
			t.Errorf("seed %d: no change took over %v on slow disks", w.Seed, w.Stats.MaxForce)
		}
	}
}
