package controlplane

import (
	"encoding/json"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// configureServices puts a configuration in force that names all of the fleet's services.
func (f *idleFleet) configureServices(t *testing.T) {
	t.Helper()
	services, rules := map[string]any{}, []any{}
	for i := range f.targets {
		service := f.targets[i].Service
		if services[service] == nil {
			services[service] = map[string]any{"cap": 40}
			rules = append(rules, map[string]any{"path": "/" + service + "/", "service": service})
		}
	}
	document, err := json.Marshal(map[string]any{"services": services, "rules": rules})
	if err != nil {
		t.Fatal(err)
	}
	f.step(statemachine.Call{ID: 1, Token: "first", Method: "PUT", Path: "/v1/config", Query: "base=0", Body: document})
	if f.controller.state.Revision == 0 {
		t.Fatal("the configuration was not accepted")
	}
}

// newProbedFleet returns a large fleet whose targets are probed.
func newProbedFleet(t *testing.T) *idleFleet {
	t.Helper()
	fleet := newIdleFleet(largeProxies, largeTargets)
	fleet.configureServices(t)
	for range 2 {
		fleet.runSecond()
	}
	return fleet
}

// makeAllProbesDue has every target wait for a probe at once.
func (f *idleFleet) makeAllProbesDue() {
	for _, target := range f.controller.targets {
		target.lastProbeAt = 0
	}
}

// Many targets that are due at once, as when a configuration first names their services, are probed at little more than
// the usual pace, and all of them within an interval.
func TestProbesArePaced(t *testing.T) {
	fleet := newIdleFleet(largeProxies, largeTargets)
	fleet.configureServices(t)
	fleet.makeAllProbesDue()
	probesBefore, start := fleet.controller.counts.Probes, fleet.now
	mostPerTick := uint64(0)
	for fleet.now < start+tuning.ProbeEvery {
		probesBeforeTick := fleet.controller.counts.Probes
		fleet.runTick()
		mostPerTick = max(mostPerTick, fleet.controller.counts.Probes-probesBeforeTick)
	}
	if usual := uint64(largeTargets * tuning.TickEvery / tuning.ProbeEvery); mostPerTick > usual+usual/2 {
		t.Errorf("%d probes began in a tick, %d usually do", mostPerTick, usual)
	}
	if probes := fleet.controller.counts.Probes - probesBefore; probes < largeTargets {
		t.Errorf("%d of %d targets were probed in %v", probes, largeTargets, tuning.ProbeEvery)
	}
}

// Targets that missed a probe are probed in time, however many others are due.
func TestMissedTargetsAreProbedFirst(t *testing.T) {
	fleet := newProbedFleet(t)
	fleet.makeAllProbesDue()
	missed := fleet.controller.targets[fleet.targets[largeTargets-1].ID()]
	missed.lastProbeMissed, missed.consecutiveMisses = true, 1
	fleet.runTick()
	if missed.lastProbeAt != fleet.now {
		t.Error("a target that missed a probe waits behind others")
	}
}

// While nothing happens each target is probed at its interval, within a tick or two.
func TestProbesKeepTheirInterval(t *testing.T) {
	fleet := newProbedFleet(t)
	longest := time.Duration(0)
	for range 100 {
		fleet.runTick()
		for _, target := range fleet.controller.targets {
			longest = max(longest, fleet.now-target.lastProbeAt)
		}
	}
	if longest > tuning.ProbeEvery+2*tuning.TickEvery {
		t.Errorf("a target was not probed for %v", longest)
	}
}
