// This file feeds the outlier policies with events and publishes their decisions.

package controlplane

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// evaluateTargets feeds the outlier policies with each target's request statistics and missing heartbeats, and removes
// targets that have shown no sign of life for tuning.TargetExpiry.
func (c *Controller) evaluateTargets(now time.Duration) {
	for _, id := range c.targetIDs() {
		t := c.targets[id]
		if now-t.statsEvaluatedAt >= tuning.StatsEvery {
			t.statsEvaluatedAt = now
			c.evaluateStats(now, t)
		}
		if now-t.lastHeartbeatAt > tuning.TargetHeartbeatTimeout && now-t.heartbeatGapEvaluatedAt >= tuning.StatsEvery {
			t.heartbeatGapEvaluatedAt = now
			c.evaluateHeartbeatGap(now, t)
		}
		if now-t.lastAliveAt > tuning.TargetExpiry {
			c.removeTarget(now, id, "no heartbeats and no answered probes")
		}
	}
}

// evaluateStats feeds the outlier policies with the statistics of a target's requests since the last call, if there were
// any.
func (c *Controller) evaluateStats(now time.Duration, t *target) {
	stats := t.stats
	if stats.Successes+stats.Errors == 0 {
		return
	}
	t.stats = wire.TargetStats{}
	requests := t.outlierEvent(now, config.SignalRequest)
	requests.Count, requests.Errors, requests.Slow = int(stats.Successes+stats.Errors), int(stats.Errors), int(stats.Slow)
	requests.Milliseconds = stats.TotalMs
	c.evaluateEvent(requests)
}

// addTargetStats adds the statistics that a proxy reports on its targets. A success or an answered indirect probe among
// them confirms that the target is alive.
func (c *Controller) addTargetStats(now time.Duration, reported []wire.TargetStats) {
	for i := range reported {
		stats := &reported[i]
		t := c.targets[wire.TargetID{Service: stats.Service, Name: stats.Name, Incarnation: stats.Incarnation}]
		if t == nil {
			continue
		}
		if stats.Successes > 0 || stats.ProbeAnswered {
			t.lastSuccessAt, t.unconfirmed, t.consecutiveMisses = now, false, 0
		}
		t.stats.Successes += stats.Successes
		t.stats.Errors += stats.Errors
		t.stats.Slow += stats.Slow
		t.stats.TotalMs += stats.TotalMs
		if stats.HasDemand {
			t.Demand, t.HasDemand = stats.Demand, true
		}
	}
}

// evaluateEvent publishes an event of a target and feeds it to the outlier policies.
func (c *Controller) evaluateEvent(event outlier.Event) {
	c.emit(statemachine.Publish{Event: &event})
	c.publishDecisions(c.scorer.Step(event))
}

// publishDecisions publishes the outlier policies' decisions and counts those that take effect, which shadow decisions
// don't.
func (c *Controller) publishDecisions(decisions []outlier.Decision) {
	for i := range decisions {
		if !decisions[i].Shadow {
			c.countDecision(decisions[i].Kind)
		}
		c.emit(statemachine.Publish{Decision: &decisions[i]})
	}
}

func (c *Controller) countDecision(kind config.DecisionKind) {
	c.decisionCount++
	switch kind {
	case config.DecideEject:
		c.counts.Ejections++
	case outlier.KindClear:
		c.counts.EjectionsCleared++
	case outlier.KindLapse:
		c.counts.EjectionsLapsed++
	}
}

// policyStats returns the statistics of the active policies by name, with their scores since this member became the
// leader.
func (c *Controller) policyStats(now time.Duration) map[string]outlier.PolicyStats {
	stats := c.detector.Stats()
	for name, score := range c.scorer.Scores(now) {
		stat := stats[name]
		stat.Score = &score
		stats[name] = stat
	}
	return stats
}
