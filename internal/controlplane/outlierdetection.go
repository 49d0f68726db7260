// This file gives the outlier policies their events, and does what recurs for the targets while this member is the leader.

package controlplane

import (
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// tickLeader does what recurs while this member is Gathering or Leading.
func (c *Controller) tickLeader(now time.Duration) {
	c.probeTargets(now)
	c.judgeTargets(now)
	c.expireClaims(now)
	c.cleanUpTargets(now)
	c.publishDecisions(c.scorer.Tick(now))
	if c.leadership != Leading {
		return
	}
	c.rebuildTable(now, now-c.tableRefreshedAt >= tuning.ReconcileEvery)
	c.updateProxyMembership(now)
	c.persistRegistrations(now, tuning.RegistryEvery)
}

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

// expireClaims removes the claims of those that don't heartbeat any more.
func (c *Controller) expireClaims(now time.Duration) {
	maps.DeleteFunc(c.claims, func(_ wire.TargetID, t *target) bool { return now-t.lastHeartbeatAt > tuning.TargetHeartbeatTimeout })
}

// cleanUpTargets removes, now and then, what is kept of targets that are no more.
func (c *Controller) cleanUpTargets(now time.Duration) {
	if now-c.lastCleanupAt <= tuning.ReconcileEvery {
		return
	}
	c.lastCleanupAt = now
	expired := func(_ wire.TargetID, at time.Duration) bool { return now-at > tuning.TombstoneKeep }
	maps.DeleteFunc(c.tombstones, expired)
	maps.DeleteFunc(c.leavingTargets, expired)
	maps.DeleteFunc(c.withdrawnInVersion, func(id wire.TargetID, _ uint64) bool {
		return c.targets[id] == nil && c.claims[id] == nil && c.tombstones[id] == 0
	})
	// Most of these names never come back, and for one that does another offset costs little.
	if len(c.shareOffsetByName) > 2*len(c.targets)+tuning.ShareOffsetsKept {
		c.shareOffsetByName = map[serviceTarget]uint32{}
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

// claimIDs returns the identities of those that have claims, in order.
func (c *Controller) claimIDs() []wire.TargetID {
	return slices.SortedFunc(maps.Keys(c.claims), wire.TargetID.Compare)
}
