// Load and speed of targets, as estimated from their responses.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// hasFreeSlot reports whether the target has a free slot by its latest load report. A report expires after
// tuning.LoadTTL.
func (t *targetState) hasFreeSlot(now time.Duration) bool {
	return t.loadReportedAt > 0 && now-t.loadReportedAt < tuning.LoadTTL && t.utilization(now)+1/float64(t.slots) <= 1
}

// utilization returns the estimated part of the target's slots that is in use: this proxy's requests, plus
// those of other proxies by the latest load report, with a weight that decays to 0 over tuning.LoadTTL.
func (t *targetState) utilization(now time.Duration) float64 {
	inUse := float64(t.inFlight)
	if age := now - t.loadReportedAt; t.loadReportedAt > 0 && age < tuning.LoadTTL {
		inUse += t.otherLoad * (1 - float64(age)/float64(tuning.LoadTTL))
	}
	return inUse / float64(max(1, t.slots))
}

// slowness returns by how much the target's response times exceed the mean response times of their routes, as a
// fraction of those means: 0.5 if they are 1.5 times as long, a negative value if they are shorter. The value
// decays to 0 over tuning.SpeedTTL, so that a slow target is tried again.
func (t *targetState) slowness(now time.Duration) float64 {
	if age := now - t.latencyObservedAt; t.latencyObservedAt > 0 && age < tuning.SpeedTTL {
		return (t.latencyRatio - 1) * (1 - float64(age)/float64(tuning.SpeedTTL))
	}
	return 0
}

// selectionCost returns the cost by which targets of the same tier are compared. It combines load, slowness,
// whether a connection is likely to be open, and whether an ejection was lifted recently.
func (t *targetState) selectionCost(now time.Duration) float64 {
	cost := t.utilization(now) + t.Demand + min(tuning.SpeedPenalty*t.slowness(now), tuning.SpeedPenaltyMax)
	if t.lastUsedAt > 0 && now-t.lastUsedAt < tuning.ConnIdleTimeout {
		cost -= tuning.OpenConnBonus
	}
	if t.wasReinstated(now) {
		cost++
	}
	return cost
}

// recordLoad updates the load and speed of a target, the window of its service, and the mean response times of
// its service and route from the result of an attempt.
func (p *Proxy) recordLoad(now time.Duration, target *targetState, req *request, service *serviceState, event *statemachine.AttemptDone) {
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

// observe adds a response time to the service's mean.
func (s *serviceState) observe(ms float64) {
	if s.meanMs == 0 {
		s.meanMs = ms
	}
	s.meanMs += tuning.ResponseTimeWeight * (ms - s.meanMs)
}

// observe adds a response time, given as its ratio to the mean of its route, to the target's latency ratio.
// The previous latency ratio counts only as far as it has not decayed, see slowness.
func (t *targetState) observe(now time.Duration, ratio float64) {
	t.latencyRatio = 1 + t.slowness(now)
	if t.latencyRatio == 1 {
		t.latencySamples = 0
	}
	t.latencySamples++
	t.latencyRatio += max(tuning.SpeedWeight, 1/float64(t.latencySamples+1)) * (ratio - t.latencyRatio)
	t.latencyObservedAt = now
}

// minWindow returns the smallest size of the window, below which rejections by targets don't shrink it.
func (s *serviceState) minWindow() float64 {
	return tuning.QuotaOvercommit*s.evenQuota + tuning.QuotaExtra
}

// maxWindow returns the largest size that the window may grow to.
func (s *serviceState) maxWindow() float64 {
	return tuning.QuotaOvercommitMax*s.evenQuota + tuning.QuotaExtra
}

// growWindow widens the window after a served request by the inverse of its size, so by about one each time
// that as many requests as the window holds were served. It does nothing while the window is not fully used.
func (s *serviceState) growWindow() {
	if float64(s.inFlight)+1 >= s.window {
		s.window = min(s.maxWindow(), s.window+1/max(1, s.window))
	}
}

// shrinkWindow narrows the window after a target rejected a request because it was full.
func (s *serviceState) shrinkWindow() {
	s.window = max(s.minWindow(), s.window*tuning.QuotaBackoffFactor)
}
