// This file is a target as the leader keeps it.

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

// target is what the leader keeps of a target, or of one that only claims its name or address. Times are of this
// member's clock, 0 for never.
type target struct {
	wire.Target

	// unconfirmed says that it is known only by one heartbeat, a proxy's table or the log, any of which may be of an
	// incarnation that is over. It gets no requests until a probe, a request or steady heartbeats have shown it.
	unconfirmed bool
	// addressReused says that it was admitted at an address that another target had in earlier tables.
	addressReused bool
	lastAliveAt   time.Duration // of the last heartbeat or answered probe

	// Heartbeats.

	lastHeartbeatAt         time.Duration
	heartbeatStreak         targetreport.Streak
	heartbeatGapEvaluatedAt time.Duration // when the outlier policies last got an event of its missing heartbeats

	// Health checks. See healthcheck.go.

	lastProbeAt       time.Duration
	probeSentAt       time.Duration // of the probe that has no result yet, 0: none
	indirectProbeFor  time.Duration // probeSentAt of the last probe for which proxies were asked to probe too
	lastProbeMissed   bool          // whether or not that counted
	consecutiveMisses int           // probes missed since it last answered

	// What proxies report of requests.

	lastSuccessAt    time.Duration // of the last report with a success
	stats            wire.TargetStats
	statsEvaluatedAt time.Duration // when the outlier policies last got stats

	// Warm-up.

	warmupEnd time.Duration
	// warmupEndNumber is the lowest number of a heartbeat that may end the warm-up by saying that there is none.
	warmupEndNumber uint64

	// What the latest table says of it, and the version that last changed that.

	publishedFacts       routingFacts
	publishedDemand      float64
	publishedEjectionEnd time.Duration
	publishedWarmupEnd   time.Duration
	changedInVersion     uint64
}

// serviceTarget is a target's name within its service, which a restart keeps.
type serviceTarget struct{ service, name string }

// newTarget returns a target that nothing has confirmed yet and that is to be probed at once.
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

// targetIDs returns the identities of the targets in order. They are sorted again only when a target came or went,
// since each tick asks for them.
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

// assumeContact counts a target as heartbeating and alive at a time.
func (t *target) assumeContact(at time.Duration) {
	t.lastHeartbeatAt, t.lastAliveAt = max(t.lastHeartbeatAt, at), max(t.lastAliveAt, at)
}

// isHeartbeating says that its heartbeats come. One that misses its probes has to be steady: a single heartbeat may be a
// late one of a process that is gone.
func (t *target) isHeartbeating(now time.Duration) bool {
	if now-t.lastHeartbeatAt >= tuning.TargetHeartbeatTimeout {
		return false
	}
	return t.consecutiveMisses < tuning.ProbeMisses || t.heartbeatStreak.IsSteady(now)
}

// warmupLeft is for how much longer it warms up, in nanoseconds as a table has it.
func (t *target) warmupLeft(now time.Duration) int64 { return max(0, int64(t.warmupEnd-now)) }

// warmupExtended says that it warms up for longer than the latest table says. The end moves a little with each
// heartbeat, by the time that that took to come, which does not count.
func (t *target) warmupExtended(now time.Duration) bool {
	return t.warmupEnd > now && t.warmupEnd > t.publishedWarmupEnd+tuning.TimeLeftStep
}

// warmUpAfterRestore lets a target of a restored domain warm up for its service's time: it may have gone cold while the
// domain got no requests. A heartbeat that was on its way by then knows nothing of that, so that only the one after the
// next may end the warm-up.
func (c *Controller) warmUpAfterRestore(t *target) {
	restoredAt, restored := c.domainRestoredAt[t.Domain]
	service := c.activeConfig.Services[t.Service]
	if end := restoredAt + service.Warmup(); restored && end > t.warmupEnd {
		t.warmupEnd, t.warmupEndNumber = end, t.Number+2
	}
}

// advanceState takes over the state that a target reports, but only forward: a target that is leaving drains until it
// signs off, since an older report may come late.
func (c *Controller) advanceState(now time.Duration, t *target, reported wire.TargetState) {
	switch {
	case reported == wire.TargetLeaving:
		c.drainTarget(now, t, "a beat says leaving")
	case reported == wire.TargetReady && !t.Draining:
		t.State = reported
	}
}

// drainTarget gives a target no more new requests, for as long as it is there.
func (c *Controller) drainTarget(now time.Duration, t *target, reason string) {
	if t.Draining {
		return
	}
	t.Draining, t.State = true, wire.TargetLeaving
	c.counts.Drains++
	c.publishRegistryDecision(now, leavingPolicy, config.DecideDrain, t.ID(), reason)
}

// removeTarget forgets a target. It may come back, unless the caller makes a tombstone; if it was draining it does so
// again then.
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

// Decisions on a target that are not an outlier policy's are published under the name of one, as who reads the stream
// expects of each.
const (
	leavingPolicy                      = "leaving"  // drains a target that leaves
	registryPolicy                     = "registry" // removes a target
	kindGone       config.DecisionKind = "gone"     // the kind of the latter's decisions
)

func (c *Controller) publishRegistryDecision(now time.Duration, policy string, kind config.DecisionKind, id wire.TargetID, reason string) {
	c.emit(statemachine.Publish{Decision: &outlier.Decision{
		At: now, Policy: policy, Kind: kind, Service: id.Service, Name: id.Name, Incarnation: id.Incarnation, Reason: reason,
	}})
}
