package controlplane

import (
	"myrtlefold/internal/shared/statemachine"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A lead that is lost for a moment, and again and again, has no target probed more often.
func TestBriefLeadershipLossesCauseNoMoreProbes(t *testing.T) {
	r := newIdleFleet(69, 294)
	r.configureServices(t)
	for range 2 {
		r.runSecond()
	}
	last := map[wire.TargetID]time.Duration{}
	for range 50 {
		for id, x := range r.controller.targets {
			last[id] = x.lastProbeAt
		}
		r.controller.revokeLeadership(r.now, "late")
		r.now += tuning.TickEvery
		r.step(statemachine.Tick{})
		if !r.controller.Leading() {
			t.Fatal("it does not lead again")
		}
		for id, x := range r.controller.targets {
			if x.lastProbeAt != last[id] && x.lastProbeAt-last[id] < tuning.ProbeEvery {
				t.Fatalf("%v was probed again after %v", id, x.lastProbeAt-last[id])
			}
		}
	}
}
