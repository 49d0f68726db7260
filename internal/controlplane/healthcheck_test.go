package controlplane

import (
	"encoding/json"
	"myrtlefold/internal/shared/statemachine"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// configureServices puts a configuration in force that names all of the fleet's services.
func (r *idleFleet) configureServices(t *testing.T) {
	t.Helper()
	services, rules := map[string]any{}, []any{}
	for i := range r.targets {
		s := r.targets[i].Service
		if services[s] == nil {
			services[s] = map[string]any{"cap": 40}
			rules = append(rules, map[string]any{"path": "/" + s + "/", "service": s})
		}
	}
	b, err := json.Marshal(map[string]any{"services": services, "rules": rules})
	if err != nil {
		t.Fatal(err)
	}
	r.step(statemachine.Call{ID: 1, Token: "first", Method: "PUT", Path: "/v1/config", Query: "base=0", Body: b})
	if r.controller.state.Revision == 0 {
		t.Fatal("the configuration was not taken")
	}
}

// Many targets that have to be probed at once, as when a configuration first names their
// services, are probed at little more than the usual pace, and all of them in good time.
func TestProbesArePaced(t *testing.T) {
	const targets = 294
	r := newIdleFleet(69, targets)
	r.configureServices(t)
	for id := range r.controller.targets {
		r.controller.targets[id].lastProbeAt = 0 // all are due
	}
	most, first := uint64(0), r.controller.counts.Probes
	from := r.now
	for r.now < from+tuning.ProbeEvery {
		was := r.controller.counts.Probes
		r.now += tuning.TickEvery
		r.step(statemachine.Tick{})
		most = max(most, r.controller.counts.Probes-was)
	}
	if steady := uint64(targets * tuning.TickEvery / tuning.ProbeEvery); most > steady+steady/2 {
		t.Errorf("%d probes began in a tick, %d are the usual", most, steady)
	}
	if n := r.controller.counts.Probes - first; n < targets {
		t.Errorf("%d of %d targets were probed in %v", n, targets, tuning.ProbeEvery)
	}
}

// Probes of those that missed one go out in time, however many others are due.
func TestMissedTargetsAreProbedFirst(t *testing.T) {
	r := newIdleFleet(69, 294)
	r.configureServices(t)
	for range 2 {
		r.runSecond()
	}
	missed := r.controller.targets[r.targets[293].ID()]
	for id := range r.controller.targets {
		r.controller.targets[id].lastProbeAt = 0
	}
	missed.lastProbeMissed, missed.consecutiveMisses = true, 1
	r.now += tuning.TickEvery
	r.step(statemachine.Tick{})
	if missed.lastProbeAt != r.now {
		t.Error("the one that missed a probe waits behind others")
	}
}

// At rest each target is probed at the usual interval and a tick or two.
func TestProbesKeepTheirInterval(t *testing.T) {
	r := newIdleFleet(69, 294)
	r.configureServices(t)
	for range 2 {
		r.runSecond()
	}
	most := time.Duration(0)
	for range 100 {
		r.now += tuning.TickEvery
		r.step(statemachine.Tick{})
		for _, x := range r.controller.targets {
			most = max(most, r.now-x.lastProbeAt)
		}
	}
	if most > tuning.ProbeEvery+2*tuning.TickEvery {
		t.Errorf("a target was not probed for %v", most)
	}
}
