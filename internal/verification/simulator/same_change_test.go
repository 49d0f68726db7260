package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// Two operators who send the very same configuration on one base ask for one change: both
// are told that it is in force, as one revision. Two different ones are never both.
func TestSameChangeTwice(t *testing.T) {
	t.Parallel()
	for _, second := range []int{7, 8} {
		for seed := range uint64(6) {
			w := Start(seed+1, Small)
			for i, n := range []int{7, second} {
				w.PutConfig(w.daemons(wire.ControlDaemon)[i], 1, n)
			}
			w.Run(w.now + 8*time.Second)
			requireNoFailure(t, w)
			accepted, revs := 0, map[uint64]bool{}
			for _, c := range w.operators.changes[1:] {
				if c.state == changeAccepted {
					accepted++
					revs[c.revision] = true
				}
			}
			want := 1
			if second == 7 {
				want = 2
			}
			if accepted != want || len(revs) != 1 {
				t.Errorf("seed %d, 7 and %d: %d accepted as %v\n%s", w.Seed, second, accepted, revs, w.Trace(10))
			}
		}
	}
}
