// This file is the targets' active health checks: probes by the leader, and indirect ones by proxies where the leader's
// own miss. What they find goes to the outlier policies.

package controlplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// probesPerTick is how many probes may begin in a tick: a little more than it takes to keep each target's interval.
// Targets that are due all at once, as when leadership begins, are probed at that pace, and a leader whose ticks come late
// probes less.
func probesPerTick(targets int) int {
	return max(tuning.ProbesPerTickMin, int(tuning.ProbePace*float64(targets)*float64(tuning.TickEvery)/float64(tuning.ProbeEvery)))
}

// probeTargets begins the probes that are due: first of targets that missed their last one, since a fault has to be
// found within a time, then of all in turn from where the last tick stopped, then of claims.
func (c *Controller) probeTargets(now time.Duration) {
	remaining := probesPerTick(len(c.targets) + len(c.claims))
	begin := func(id wire.TargetID, t *target) {
		if remaining > 0 && c.isProbeDue(now, id, t) {
			remaining--
			c.sendProbe(now, id, t)
		}
	}
	ids := c.targetIDs()
	for _, id := range ids {
		t := c.targets[id]
		c.checkOutstandingProbe(now, id, t)
		if t.lastProbeMissed {
			begin(id, t)
		}
	}
	start, _ := slices.BinarySearchFunc(ids, c.nextProbeTarget, wire.TargetID.Compare)
	for i := range ids {
		id := ids[(start+i)%len(ids)]
		begin(id, c.targets[id])
		if remaining == 0 {
			c.nextProbeTarget = id
			break
		}
	}
	for _, id := range c.claimIDs() {
		c.checkOutstandingProbe(now, id, c.claims[id])
		begin(id, c.claims[id])
	}
}

// checkOutstandingProbe gives up a probe that got no result, and asks proxies to probe too if that helps to find whose fault it is.
func (c *Controller) checkOutstandingProbe(now time.Duration, id wire.TargetID, t *target) {
	if t.probeSentAt != 0 && now-t.probeSentAt > 2*tuning.ProbeTimeout {
		t.probeSentAt = 0
	}
	if _, named := c.activeConfig.Services[id.Service]; !named {
		c.deferProbe(now, t)
		return
	}
	if needsIndirectProbe(now, t) {
		t.indirectProbeFor = t.probeSentAt
		c.requestIndirectProbes(now, id)
	}
}

// deferProbe looks after a target of a service that the configuration doesn't name, which gets no requests and no
// probes. Once it is named the first probes of its targets are spread over some time, and a target that was heartbeating
// and stopped has to answer one before it gets requests.
func (c *Controller) deferProbe(now time.Duration, t *target) {
	spread := time.Duration(t.ShareOffset) * tuning.TickEvery % tuning.NewServiceProbeSpread
	t.lastProbeAt = now - tuning.ProbeEvery + spread
	stopped := t.heartbeatStreak.Count() >= tuning.ProofHeartbeats && now-t.lastHeartbeatAt > tuning.NewServiceSilence
	t.unconfirmed = t.unconfirmed || stopped
}

// needsIndirectProbe says that a probe which follows a miss takes long, so that it may become the miss by which the
// target is ejected, and that no proxy has had a response meanwhile.
func needsIndirectProbe(now time.Duration, t *target) bool {
	if t.probeSentAt == 0 || t.indirectProbeFor == t.probeSentAt || now-t.probeSentAt < tuning.IndirectAfter {
		return false
	}
	if t.Draining || t.State == wire.TargetLeaving {
		return false
	}
	return t.lastProbeMissed && t.consecutiveMisses < tuning.ProbeMisses && t.lastSuccessAt < t.probeSentAt+tuning.IndirectAfter
}

func (c *Controller) isProbeDue(now time.Duration, id wire.TargetID, t *target) bool {
	_, named := c.activeConfig.Services[id.Service]
	return named && t.probeSentAt == 0 && now-t.lastProbeAt >= tuning.ProbeEvery && !c.canSkipProbe(now, t)
}

// canSkipProbe says that requests show that a target is alive: a proxy had a response from it later than the probe before
// the one due now would have gone out, so that a fault is found as early as by probes alone. Only probes report a
// warm-up, so each target is still probed now and then.
func (c *Controller) canSkipProbe(now time.Duration, t *target) bool {
	if len(c.targets) <= tuning.ProbeAllMax || t.lastProbeMissed || t.unconfirmed || t.warmupEnd > now {
		return false
	}
	lastSuccessSince := t.lastSuccessAt - tuning.PullEvery // a proxy reports with its next pull
	return now-lastSuccessSince < tuning.ProbeEvery && now-t.lastProbeAt < tuning.ServingProbeIntervals*tuning.ProbeEvery
}

func (c *Controller) sendProbe(now time.Duration, id wire.TargetID, t *target) {
	t.lastProbeAt, t.probeSentAt = now, now
	c.counts.Probes++
	c.emit(statemachine.Probe{ID: id, Addr: t.Addr, Path: c.activeConfig.Services[id.Service].HealthPath})
}

// handleProbeResult takes the result of a probe of a target or of one that has a claim.
func (c *Controller) handleProbeResult(now time.Duration, result statemachine.ProbeResult) {
	if c.leadership < Gathering {
		return
	}
	answered := result.Report != nil && result.Report.ID() == result.ID
	t := c.targets[result.ID]
	if t == nil {
		if t = c.admitClaimant(now, result, answered); t == nil {
			return
		}
	}
	t.probeSentAt = 0
	t.lastProbeMissed = !answered
	wasUnconfirmed := t.unconfirmed
	if answered {
		c.recordProbeAnswer(now, t, result)
	} else if !c.recordProbeMiss(t, result) {
		return
	}
	event := t.outlierEvent(now, config.SliceProbe)
	event.Success, event.Milliseconds = answered, result.Milliseconds
	c.judgeEvent(event)
	if wasUnconfirmed && !t.unconfirmed {
		return // many are confirmed at once when leadership begins: the next tick makes one table for all
	}
	c.targetChanged(now, t)
}

// admitClaimant returns the claimant that a probe was of, as a target from now on, or nil if it becomes none.
func (c *Controller) admitClaimant(now time.Duration, result statemachine.ProbeResult, answered bool) *target {
	claimant := c.claims[result.ID]
	if claimant == nil {
		return nil
	}
	claimant.probeSentAt = 0
	if !answered || !c.displaceConflicting(now, claimant, true) {
		return nil
	}
	c.admitTarget(now, claimant, result.Report.State)
	return claimant
}

// recordProbeAnswer takes over what a target says in answer to a probe.
func (c *Controller) recordProbeAnswer(now time.Duration, t *target, result statemachine.ProbeResult) {
	t.lastAliveAt, t.unconfirmed, t.consecutiveMisses = now, false, 0
	c.advanceState(now, t, result.Report.State)
	if result.Report.Demand != nil {
		t.Demand, t.HasDemand = *result.Report.Demand, true
	}
	// An answer can only extend a warm-up: not every health check reports it, so that none ends it.
	t.warmupEnd = max(t.warmupEnd, now+result.WarmupLeft)
}

// recordProbeMiss counts a missed probe, and says whether it counts against the target. It does not if a proxy had a
// response since the probe was sent: then the fault is between the leader and the target.
func (c *Controller) recordProbeMiss(t *target, result statemachine.ProbeResult) bool {
	c.counts.ProbeMisses++
	if t.lastSuccessAt-tuning.PullEvery >= result.SentAt {
		c.counts.MissesOverruled++
		return false
	}
	t.consecutiveMisses++
	return true
}
