package controlplane

import (
	"encoding/json"
	"math"
	"myrtlefold/internal/shared/statemachine"
	"testing"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// A demand that is no finite number does not end a leader, and is not told to operators.
func TestUnsoundDemandIsDiscarded(t *testing.T) {
	for _, demand := range []float64{math.Inf(1), math.Inf(-1), math.NaN()} {
		target := wire.Target{Service: "s0", Name: "t0", Inc: 9, Addr: "10.0.0.1:1", State: config.Ready, Demand: demand, HasDemand: true}
		seen := wire.Seen{Service: "s0", Name: "t0", Inc: 9, Ok: 1, SumMs: demand, Demand: demand, HasDemand: true}
		for name, m := range map[string]wire.Msg{
			"beat":    {Kind: uint16(wire.KBeat), Stamp: 1, Beat: &target},
			"outcome": {Kind: uint16(wire.KPull), From: "g1", Pull: &wire.Pull{Seen: []wire.Seen{seen}}},
			"table":   {Kind: uint16(wire.KPull), From: "g1", Pull: &wire.Pull{Table: &wire.Table{Targets: []wire.Target{target}}}},
		} {
			r := atRest(1, 1)
			r.step(statemachine.Receive{Message: &m})
			r.step(statemachine.Call{ID: 1, Method: "GET", Path: "/v1/targets"})
			if _, err := json.Marshal(r.c.Targets(r.now)); err != nil {
				t.Errorf("%s with %v: %v", name, demand, err)
			}
		}
	}
}
