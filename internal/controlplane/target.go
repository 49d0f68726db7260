// This file defines the leader's record of a target, and the target's transitions between states.

package controlplane

import (
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/targetreport"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// target is the leader's record of a target, or of a claimant to the name or address of another target. Times are by this
// member's clock; 0 means never.
type target struct {
	wire.Target

	// unconfirmed is set while the target is known only from a single heartbeat, a proxy's table or the log, any of
	// which may be of an incarnation that no longer runs. It gets no requests until a probe, a request or steady
	// heartbeats have shown that it is alive.
	unconfirmed bool
	// addressReused is set if it was admitted at an address that another target had in earlier tables.
	addressReused bool
	lastAliveAt   time.Duration // time of the last heartbeat or answered probe

	// Heartbeats.

	lastHeartbeatAt         time.Duration
	heartbeatStreak         targetreport.Streak
	heartbeatGapEvaluatedAt time.Duration // when the outlier policies last got an event for its missing heartbeats

	// Health checks. See healthcheck.go.

	lastProbeAt       time.Duration
	probeSentAt       time.Duration // of the probe that is still running, 0 if none is
	indirectProbeFor  time.Duration // probeSentAt of the last probe for which proxies were asked to probe as well
	lastProbeMissed   bool          // whether the last probe was missed, even if the miss was not counted
	consecutiveMisses int           // counted misses since the last answered probe or reported success

	// Requests, as reported by proxies.

	lastSuccessAt    time.Duration    // time of the last report with a success or an answered indirect probe
	stats            wire.TargetStats // reported since statsEvaluatedAt
	statsEvaluatedAt time.Duration    // when the outlier policies last got stats

	// Warm-up.

	warmupEnd time.Duration
	// warmupEndNumber is the lowest number of a heartbeat that may end the warm-up by reporting that there is none.
	warmupEndNumber uint64

	// The target's row in the latest table, and the table version in which that row last changed.

	publishedRouting     routingFields
	publishedDemand      float64
	publishedEjectionEnd time.Duration
	publishedWarmupEnd   time.Duration
	changedInVersion     uint64
}

// serviceTarget identifies a target by service and name, which stay the same across restarts.
type serviceTarget struct{ service, name string }

// newTarget returns an unconfirmed target that is due for a probe.
func newTarget(now, lastHeartbeatAt time.Duration, row wire.Target) *target {
	return &target{
		Target:           row,
		unconfirmed:      true,
		lastHeartbeatAt:  lastHeartbeatAt,
		lastAliveAt:      now,
		lastProbeAt:      now - tuning.ProbeEvery,
		statsEvaluatedAt: now,
	}
}

// targetIDs returns the sorted IDs of the targets. Every tick needs them, so they are sorted again only after a target
// was added or removed.
func (c *Controller) targetIDs() []wire.TargetID {
	current := len(c.sortedTargetIDs) == len(c.targets)
	for i := 0; current && i < len(c.sortedTargetIDs); i++ {
		current = c.targets[c.sortedTargetIDs[i]] != nil
	}
	if !current {
		c.sortedTargetIDs = slices.SortedFunc(maps.Keys(c.targets), wire.TargetID.Compare)
	}
	return c.sortedTargetIDs
}

// assumeContact treats a target as if a heartbeat had arrived at the given time.
func (t *target) assumeContact(at time.Duration) {
	t.lastHeartbeatAt, t.lastAliveAt = max(t.lastHeartbeatAt, at), max(t.lastAliveAt, at)
}

// isHeartbeating reports whether heartbeats arrive. If the target misses its probes the heartbeats have to be steady,
// since a single one may be a delayed heartbeat of a process that has ended.
func (t *target) isHeartbeating(now time.Duration) bool {
	if now-t.lastHeartbeatAt >= tuning.TargetHeartbeatTimeout {
		return false
	}
	return t.consecutiveMisses < tuning.ProbeMisses || t.heartbeatStreak.IsSteady(now)
}

// warmupLeft returns the remaining warm-up time in nanoseconds, as in tables.
func (t *target) warmupLeft(now time.Duration) int64 { return max(0, int64(t.warmupEnd-now)) }

// warmupExtended reports whether the warm-up ends later than the latest table implies. The end varies a little from one
// heartbeat to the next with their transit times; differences of up to tuning.TimeLeftStep don't count.
func (t *target) warmupExtended(now time.Duration) bool {
	return t.warmupEnd > now && t.warmupEnd > t.publishedWarmupEnd+tuning.TimeLeftStep
}

// warmUpAfterRestore starts a warm-up of the service's configured duration for a target of a restored domain, since it
// may have to warm up again after the time without requests. The next heartbeat may already have been sent before the
// restoration, so only the one after it may end the warm-up.
func (c *Controller) warmUpAfterRestore(t *target) {
	restoredAt, restored := c.domainRestoredAt[t.Domain]
	service := c.activeConfig.Services[t.Service]
	if end := restoredAt + service.Warmup(); restored && end > t.warmupEnd {
		t.warmupEnd, t.warmupEndNumber = end, t.Number+2
	}
}

// advanceState applies the state that a target reports, but never reverts leaving: an older report may arrive late, so a
// target that is leaving keeps draining until it signs off.
func (c *Controller) advanceState(now time.Duration, t *target, reported wire.TargetState) {
	switch {
	case reported == wire.TargetLeaving:
		c.drainTarget(now, t, "a heartbeat reports that it is leaving")
	case reported == wire.TargetReady && !t.Draining:
		t.State = reported
	}
}

// drainTarget stops new requests to a target for as long as the target is registered.
func (c *Controller) drainTarget(now time.Duration, t *target, reason string) {
	if t.Draining {
		return
	}
	t.Draining, t.State = true, wire.TargetLeaving
	c.counts.Drains++
	c.publishRegistryDecision(now, leavingPolicy, config.DecideDrain, t.ID(), reason)
}

// removeTarget removes a target. It may register again unless the caller adds a tombstone, and then drains again if it
// was draining before.
func (c *Controller) removeTarget(now time.Duration, id wire.TargetID, reason string) {
	t := c.targets[id]
	if t == nil {
		return
	}
	delete(c.targets, id)
	if t.Draining {
		c.leavingTargets[id] = now
	}
	c.scorer.Forget(now, id)
	c.publishRegistryDecision(now, registryPolicy, kindGone, id, reason)
}

// Policy names under which decisions are published that no outlier policy has made. Readers of the stream expect a policy
// name with every decision.
const (
	leavingPolicy                      = "leaving"  // drains targets that are leaving
	registryPolicy                     = "registry" // removes targets
	kindGone       config.DecisionKind = "gone"     // the kind of registryPolicy's decisions
)

func (c *Controller) publishRegistryDecision(now time.Duration, policy string, kind config.DecisionKind, id wire.TargetID, reason string) {
	c.emit(statemachine.Publish{Decision: &outlier.Decision{
		At: now, Policy: policy, Kind: kind, Service: id.Service, Name: id.Name, Incarnation: id.Incarnation, Reason: reason,
	}})
}
