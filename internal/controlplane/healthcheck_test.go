package controlplane

import (
	"encoding/json"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// configureServices commits a configuration that names all services of the fleet.
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

// newProbedFleet returns a large fleet whose services are configured, so that its targets are probed.
func newProbedFleet(t *testing.T) *idleFleet {
	t.Helper()
	fleet := newIdleFleet(largeProxies, largeTargets)
	fleet.configureServices(t)
	for range 2 {
		fleet.runSecond()
	}
	return fleet
}

// makeAllProbesDue makes the probes of all targets due at once.
func (f *idleFleet) makeAllProbesDue() {
	for _, target := range f.controller.targets {
		target.lastProbeAt = 0
	}
}

// When a configuration first names the services of many targets, the probes of all of them are due at once. At most 1.5
// times the usual number may begin in a tick, and all targets must be probed within one interval.
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
		t.Errorf("%d probes began in one tick, want at most 1.5 times the usual %d", mostPerTick, usual)
	}
	if probes := fleet.controller.counts.Probes - probesBefore; probes < largeTargets {
		t.Errorf("%d probes of %d targets began within %v, want all", probes, largeTargets, tuning.ProbeEvery)
	}
}

// A target that missed a probe must be probed in the next tick, however many other targets are due.
func TestMissedTargetsAreProbedFirst(t *testing.T) {
	fleet := newProbedFleet(t)
	fleet.makeAllProbesDue()
	missed := fleet.controller.targets[fleet.targets[largeTargets-1].ID()]
	missed.lastProbeMissed, missed.consecutiveMisses = true, 1
	fleet.runTick()
	if missed.lastProbeAt != fleet.now {
		t.Error("a target that missed its last probe was not probed in the next tick")
	}
}

// In an idle fleet each target must be probed once per interval, at most two ticks late.
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
		t.Errorf("a target was not probed for %v, want at most %v", longest, tuning.ProbeEvery+2*tuning.TickEvery)
	}
}
