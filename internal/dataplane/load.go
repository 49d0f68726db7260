// This file is what a proxy knows of its targets' load and speed, from their responses.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// hasFreeSlot reports that by the target's latest report, if that is recent, it has a free slot.
func (t *targetState) hasFreeSlot(now time.Duration) bool {
	return t.loadReportedAt > 0 && now-t.loadReportedAt < tuning.LoadTTL && t.utilization(now)+1/float64(t.slots) <= 1
}

// utilization is the part of the target's slots that is in use, as far as is known here: this proxy's requests,
// and with less and less weight those of others at the latest report.
func (t *targetState) utilization(now time.Duration) float64 {
	inUse := float64(t.inFlight)
	if age := now - t.loadReportedAt; t.loadReportedAt > 0 && age < tuning.LoadTTL {
		inUse += t.otherLoad * (1 - float64(age)/float64(tuning.LoadTTL))
	}
	return inUse / float64(max(1, t.slots))
}

// slowness is how much longer the target takes than others, as a part of the mean time. It is forgotten with
// time, so that a slow target is tried again.
func (t *targetState) slowness(now time.Duration) float64 {
	if age := now - t.latencyObservedAt; t.latencyObservedAt > 0 && age < tuning.SpeedTTL {
		return (t.latencyRatio - 1) * (1 - float64(age)/float64(tuning.SpeedTTL))
	}
	return 0
}

// selectionCost is what targets of the same tier are compared by: load, speed, whether a connection is
// likely to be open, and whether it was ejected until a short while ago.
func (t *targetState) selectionCost(now time.Duration) float64 {
	cost := t.utilization(now) + t.Demand + min(tuning.SpeedPenalty*t.slowness(now), tuning.SpeedPenaltyMax)
	if t.lastUsedAt > 0 && now-t.lastUsedAt < tuning.ConnIdle {
		cost -= tuning.OpenConnBonus
	}
	if t.wasReinstated(now) {
		cost++
	}
	return cost
}

// learn takes in what the end of an attempt tells of its target's load and speed.
func (p *Proxy) learn(now time.Duration, target *targetState, req *request, service *serviceState, event *statemachine.AttemptDone) {
	if load := event.Load; load != nil {
		target.otherLoad = max(0, float64(load.Running+load.Waiting-target.inFlight))
		target.loadReportedAt = now
	}
	switch event.Outcome {
	case statemachine.TargetRejected:
		target.fullUntil = now + tuning.TargetFullBackoff
		service.shrinkWindow()
		service.pressureAt = now
		p.Counts.TargetRejections++
	case statemachine.Served:
		service.growWindow()
		if req.routeState != nil && event.Milliseconds > 0 {
			routeMeanMs := req.routeState.observe(event.Milliseconds)
			service.observe(event.Milliseconds)
			target.observe(now, event.Milliseconds/routeMeanMs)
		}
	}
}

// observe takes a response time into the service's mean.
func (s *serviceState) observe(ms float64) {
	if s.meanMs == 0 {
		s.meanMs = ms
	}
	s.meanMs += tuning.ResponseTimeWeight * (ms - s.meanMs)
}

// observe takes in a response time, as a ratio to the mean one of its route.
func (t *targetState) observe(now time.Duration, ratio float64) {
	t.latencyRatio = 1 + t.slowness(now)
	if t.latencyRatio == 1 {
		t.latencySamples = 0
	}
	t.latencySamples++
	t.latencyRatio += max(tuning.SpeedWeight, 1/float64(t.latencySamples+1)) * (ratio - t.latencyRatio)
	t.latencyObservedAt = now
}

// minWindow is how many of this proxy's requests may be at the service's targets in any case.
func (s *serviceState) minWindow() float64 {
	return tuning.QuotaOvercommit*s.evenQuota + tuning.QuotaExtra
}

// maxWindow is the most that the window grows to.
func (s *serviceState) maxWindow() float64 {
	return tuning.QuotaOvercommitMax*s.evenQuota + tuning.QuotaExtra
}

// growWindow widens the window by one request for each window of requests that were served, if it is in full use.
func (s *serviceState) growWindow() {
	if float64(s.inFlight)+1 >= s.window {
		s.window = min(s.maxWindow(), s.window+1/max(1, s.window))
	}
}

// shrinkWindow narrows the window after a target rejected a request as too many.
func (s *serviceState) shrinkWindow() {
	s.window = max(s.minWindow(), s.window*tuning.QuotaBackoffFactor)
}
