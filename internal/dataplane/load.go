// This file is what a proxy knows of its targets' load and speed, from their answers.

package dataplane

import (
	"myrtlefold/internal/shared/statemachine"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// offers says that a target told lately of a free slot.
func (t *targetState) hasFreeSlot(now time.Duration) bool {
	return t.loadReportedAt > 0 && now-t.loadReportedAt < tuning.LoadTTL && t.utilization(now)+1/float64(t.slots) <= 1
}

// utilization is what part of a target's slots is taken, as far as is known here.
func (t *targetState) utilization(now time.Duration) float64 {
	n := float64(t.inFlight)
	if age := now - t.loadReportedAt; t.loadReportedAt > 0 && age < tuning.LoadTTL {
		n += t.otherLoad * (1 - float64(age)/float64(tuning.LoadTTL))
	}
	return n / float64(max(1, t.slots))
}

// slowness is how a target's times compare with others', forgotten with time so that
// it is tried again.
func (t *targetState) slowness(now time.Duration) float64 {
	if age := now - t.latencyObservedAt; t.latencyObservedAt > 0 && age < tuning.SpeedTTL {
		return (t.latencyRatio - 1) * (1 - float64(age)/float64(tuning.SpeedTTL))
	}
	return 0
}

func (t *targetState) selectionCost(now time.Duration) float64 {
	l := t.utilization(now) + t.Demand + min(tuning.SpeedPenalty*t.slowness(now), tuning.SpeedPenaltyMax)
	if t.lastUsedAt > 0 && now-t.lastUsedAt < tuning.ConnIdle {
		l -= tuning.OpenConnBonus
	}
	if t.reinstatedAt > 0 && now-t.reinstatedAt < tuning.ReconcileEvery {
		l++
	}
	return l
}

// learn takes in what an answer tells of its target.
func (p *Proxy) learn(now time.Duration, t *targetState, x *request, s *serviceState, e statemachine.AttemptDone) {
	if e.Load != nil {
		t.otherLoad, t.loadReportedAt = max(0, float64(e.Load.Running+e.Load.Waiting-t.inFlight)), now
	}
	switch e.Outcome {
	case statemachine.TargetRejected:
		t.fullUntil = now + tuning.TargetFullBackoff
		s.window = max(s.minWindow(), s.window*tuning.QuotaBackoffFactor)
		s.pressureAt = now
		p.Counts.TargetRejections++
	case statemachine.Served:
		if float64(s.inFlight)+1 >= s.window {
			s.window = min(s.maxWindow(), s.window+1/max(1, s.window))
		}
		if x.routeState == nil || e.Milliseconds <= 0 {
			return
		}
		usual := x.routeState.observe(e.Milliseconds)
		if s.meanMs == 0 {
			s.meanMs = e.Milliseconds
		}
		s.meanMs += tuning.ResponseTimeWeight * (e.Milliseconds - s.meanMs)
		t.latencyRatio = 1 + t.slowness(now)
		if t.latencyRatio == 1 {
			t.latencySamples = 0
		}
		t.latencySamples++
		t.latencyRatio += max(tuning.SpeedWeight, 1/float64(t.latencySamples+1)) * (e.Milliseconds/usual - t.latencyRatio)
		t.latencyObservedAt = now
	}
}
