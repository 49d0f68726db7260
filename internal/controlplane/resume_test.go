package controlplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A leadership that is lost for a moment again and again has no target probed more often.
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
			t.Fatal("it does not lead again")
		}
		for id, target := range fleet.controller.targets {
			if interval := target.lastProbeAt - previous[id]; interval != 0 && interval < tuning.ProbeEvery {
				t.Fatalf("%v was probed again after %v", id, interval)
			}
		}
	}
}
