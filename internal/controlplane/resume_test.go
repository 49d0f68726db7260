package controlplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A leader that loses and resumes leadership repeatedly must not probe any target more often than tuning.ProbeEvery: the
// extra probes would make an overloaded leader even slower.
func TestBriefLeadershipLossesCauseNoMoreProbes(t *testing.T) {
	fleet := newProbedFleet(t)
	previous := map[wire.TargetID]time.Duration{}
	for range 50 {
		for id, target := range fleet.controller.targets {
			previous[id] = target.lastProbeAt
		}
		fleet.controller.revokeLeadership(fleet.now, "late")
		fleet.runTick()
		if !fleet.controller.Leading() {
			t.Fatal("the member did not resume leadership")
		}
		for id, target := range fleet.controller.targets {
			if interval := target.lastProbeAt - previous[id]; interval != 0 && interval < tuning.ProbeEvery {
				t.Fatalf("%v was probed again after %v, want at least %v", id, interval, tuning.ProbeEvery)
			}
		}
	}
}
