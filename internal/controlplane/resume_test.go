package controlplane

import (
	"myrtlefold/internal/shared/statemachine"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A lead that is lost for a moment, and again and again, has no target probed more often.
func TestLeadLostForAMomentProbesNoMore(t *testing.T) {
	r := atRest(69, 294)
	r.named(t)
	for range 2 {
		r.second()
	}
	last := map[wire.TargetID]time.Duration{}
	for range 50 {
		for id, x := range r.c.targets {
			last[id] = x.lastProbeAt
		}
		r.c.revokeLeadership(r.now, "late")
		r.now += tuning.TickEvery
		r.step(statemachine.Tick{})
		if !r.c.Leading() {
			t.Fatal("it does not lead again")
		}
		for id, x := range r.c.targets {
			if x.lastProbeAt != last[id] && x.lastProbeAt-last[id] < tuning.ProbeEvery {
				t.Fatalf("%v was probed again after %v", id, x.lastProbeAt-last[id])
			}
		}
	}
}
