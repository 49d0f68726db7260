package controlplane

import (
	"encoding/json"
	"math"
	"myrtlefold/internal/shared/statemachine"
	"testing"

	"myrtlefold/internal/shared/wire"
)

// A demand that is no finite number does not end a leader, and is not told to operators.
func TestNonFiniteDemandIsDiscarded(t *testing.T) {
	for _, demand := range []float64{math.Inf(1), math.Inf(-1), math.NaN()} {
		target := wire.Target{Service: "s0", Name: "t0", Incarnation: 9, Addr: "10.0.0.1:1", State: wire.TargetReady, Demand: demand, HasDemand: true}
		seen := wire.TargetStats{Service: "s0", Name: "t0", Incarnation: 9, Successes: 1, TotalMs: demand, Demand: demand, HasDemand: true}
		for name, m := range map[string]wire.Message{
			"beat":    {Kind: wire.KindHeartbeat, Timestamp: 1, Heartbeat: &target},
			"outcome": {Kind: wire.KindPull, From: "g1", Pull: &wire.Pull{Stats: []wire.TargetStats{seen}}},
			"table":   {Kind: wire.KindPull, From: "g1", Pull: &wire.Pull{Table: &wire.Table{Targets: []wire.Target{target}}}},
		} {
			r := newIdleFleet(1, 1)
			r.step(statemachine.Receive{Message: &m})
			r.step(statemachine.Call{ID: 1, Method: "GET", Path: "/v1/targets"})
			if _, err := json.Marshal(r.controller.Targets(r.now)); err != nil {
				t.Errorf("%s with %v: %v", name, demand, err)
			}
		}
	}
}
