// This file gives the outlier policies their events and publishes what they decide.

package controlplane

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// judgeTargets gives the outlier policies what has come in of each target, and removes those of which nothing comes.
func (c *Controller) judgeTargets(now time.Duration) {
	for _, id := range c.targetIDs() {
		t := c.targets[id]
		if now-t.statsJudgedAt >= tuning.StatsEvery {
			t.statsJudgedAt = now
			c.judgeStats(now, t)
		}
		if now-t.lastHeartbeatAt > tuning.TargetHeartbeatTimeout && now-t.heartbeatGapJudgedAt >= tuning.StatsEvery {
			t.heartbeatGapJudgedAt = now
			c.judgeHeartbeatGap(now, t)
		}
		if now-t.lastAliveAt > tuning.TargetExpiry {
			c.removeTarget(now, id, "silent and unreachable")
		}
	}
}

// judgeStats gives the outlier policies the statistics of a target's requests, if it had any.
func (c *Controller) judgeStats(now time.Duration, t *target) {
	stats := t.stats
	if stats.Successes+stats.Errors == 0 {
		return
	}
	t.stats = wire.TargetStats{}
	requests := t.outlierEvent(now, config.SliceRequest)
	requests.Count, requests.Errors, requests.Slow = int(stats.Successes+stats.Errors), int(stats.Errors), int(stats.Slow)
	requests.Milliseconds = stats.TotalMs
	c.judgeEvent(requests)
}

// addTargetStats adds what a proxy reports of the targets that it uses. A success there shows that the target is alive.
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

// judgeEvent publishes an event of a target and gives it to the outlier policies.
func (c *Controller) judgeEvent(event outlier.Event) {
	c.emit(statemachine.Publish{Event: &event})
	c.publishDecisions(c.scorer.Step(event))
}

// publishDecisions publishes decisions of the outlier policies and counts those that take effect.
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

// policyStats returns the policies in force with their scores since this member became the leader.
func (c *Controller) policyStats(now time.Duration) map[string]outlier.PolicyStats {
	stats := c.detector.Stats()
	for name, score := range c.scorer.Scores(now) {
		stat := stats[name]
		stat.Score = &score
		stats[name] = stat
	}
	return stats
}
