package controlplane

import (
	"encoding/json"
	"math"
	"testing"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// A message with an infinite or NaN demand must neither crash the leader nor make the list of targets impossible to
// encode as JSON.
func TestNonFiniteDemandIsDiscarded(t *testing.T) {
	for _, demand := range []float64{math.Inf(1), math.Inf(-1), math.NaN()} {
		target := wire.Target{Service: "s0", Name: "t0", Incarnation: 9, Addr: "10.0.0.1:1", State: wire.TargetReady, Demand: demand, HasDemand: true}
		stats := wire.TargetStats{Service: "s0", Name: "t0", Incarnation: 9, Successes: 1, TotalMs: demand, Demand: demand, HasDemand: true}
		for name, m := range map[string]wire.Message{
			"heartbeat":  {Kind: wire.KindHeartbeat, Timestamp: wire.RelayedHeartbeatTimestamp, Heartbeat: &target},
			"statistics": {Kind: wire.KindPull, From: "g1", Pull: &wire.Pull{Stats: []wire.TargetStats{stats}}},
			"table":      {Kind: wire.KindPull, From: "g1", Pull: &wire.Pull{Table: &wire.Table{Targets: []wire.Target{target}}}},
		} {
			fleet := newIdleFleet(1, 1)
			fleet.step(statemachine.Receive{Message: &m})
			fleet.step(statemachine.Call{ID: 1, Method: "GET", Path: "/v1/targets"})
			if _, err := json.Marshal(fleet.controller.Targets(fleet.now)); err != nil {
				t.Errorf("%s with demand %v: targets can't be encoded: %v", name, demand, err)
			}
		}
	}
}
