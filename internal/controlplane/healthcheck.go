// This file runs the active health checks of targets: probes by the leader, and indirect probes by proxies when the
// leader's own probes fail. The results are passed to the outlier policies.

package controlplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// probesPerTick returns how many probes may begin in a tick: slightly more than is needed to probe each target once per
// interval. It limits the rate when all targets are due at once, for example when leadership begins. A leader whose
// ticks are delayed sends fewer probes.
func probesPerTick(targets int) int {
	return max(tuning.ProbesPerTickMin, int(tuning.ProbeRateFactor*float64(targets)*float64(tuning.TickEvery)/float64(tuning.ProbeEvery)))
}

// probeTargets begins the probes that are due, up to the limit of probesPerTick. Targets that missed their last probe come
// first, since a fault has to be detected within a time limit. Then come all targets in turn, starting where the
// previous tick stopped, and finally claimants.
func (c *Controller) probeTargets(now time.Duration) {
	remaining := probesPerTick(len(c.targets) + len(c.claims))
	probeIfDue := func(id wire.TargetID, t *target) {
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
			probeIfDue(id, t)
		}
	}
	start, _ := slices.BinarySearchFunc(ids, c.nextProbeTarget, wire.TargetID.Compare)
	for i := range ids {
		id := ids[(start+i)%len(ids)]
		probeIfDue(id, c.targets[id])
		if remaining == 0 {
			c.nextProbeTarget = id
			break
		}
	}
	for _, id := range c.claimIDs() {
		c.checkOutstandingProbe(now, id, c.claims[id])
		probeIfDue(id, c.claims[id])
	}
}

// checkOutstandingProbe gives up a probe whose result never came. If the outstanding probe may lead to an ejection, it
// requests indirect probes, which show whether the fault is at the target or between the leader and the target.
func (c *Controller) checkOutstandingProbe(now time.Duration, id wire.TargetID, t *target) {
	if t.probeSentAt != 0 && now-t.probeSentAt > 2*tuning.ProbeTimeout {
		t.probeSentAt = 0
	}
	if _, configured := c.activeConfig.Services[id.Service]; !configured {
		c.deferProbe(now, t)
		return
	}
	if needsIndirectProbe(now, t) {
		t.indirectProbeFor = t.probeSentAt
		c.requestIndirectProbes(now, id)
	}
}

// deferProbe handles a target of a service that the configuration doesn't name. Such a target gets no requests and no
// probes. Once the service is named, the first probes of its targets are spread over tuning.NewServiceProbeSpread, and a
// target whose heartbeats had stopped must answer a probe before it gets requests.
func (c *Controller) deferProbe(now time.Duration, t *target) {
	spread := time.Duration(t.ShareOffset) * tuning.TickEvery % tuning.NewServiceProbeSpread
	t.lastProbeAt = now - tuning.ProbeEvery + spread
	stopped := t.heartbeatStreak.Count() >= tuning.AliveHeartbeatsMin && now-t.lastHeartbeatAt > tuning.UnprobedHeartbeatTimeout
	t.unconfirmed = t.unconfirmed || stopped
}

// needsIndirectProbe reports whether proxies should probe the target too: its previous probe was missed, the outstanding
// one takes so long that it may become the miss that ejects the target, and no proxy has had a response meanwhile.
func needsIndirectProbe(now time.Duration, t *target) bool {
	if t.probeSentAt == 0 || t.indirectProbeFor == t.probeSentAt || now-t.probeSentAt < tuning.IndirectAfter {
		return false
	}
	if t.Draining || t.State == wire.TargetLeaving {
		return false
	}
	return t.lastProbeMissed && t.consecutiveMisses < tuning.ProbeMisses && t.lastSuccessAt < t.probeSentAt+tuning.IndirectAfter
}

// isProbeDue reports whether a target's service is configured, no probe of it is outstanding, and its interval is over.
func (c *Controller) isProbeDue(now time.Duration, id wire.TargetID, t *target) bool {
	_, configured := c.activeConfig.Services[id.Service]
	return configured && t.probeSentAt == 0 && now-t.lastProbeAt >= tuning.ProbeEvery && !c.canSkipProbe(now, t)
}

// canSkipProbe reports whether a probe that is due may be skipped because a proxy had a response from the target within
// the last probe interval: a fault is then found as early as by probes alone. Since only probes report a warm-up, each
// target is still probed at least once in tuning.ServingProbeIntervals.
func (c *Controller) canSkipProbe(now time.Duration, t *target) bool {
	if len(c.targets) <= tuning.ProbeAllMax || t.lastProbeMissed || t.unconfirmed || t.warmupEnd > now {
		return false
	}
	earliestSuccessAt := t.lastSuccessAt - tuning.PullEvery // a proxy reports a response only with its next pull
	return now-earliestSuccessAt < tuning.ProbeEvery && now-t.lastProbeAt < tuning.ServingProbeIntervals*tuning.ProbeEvery
}

func (c *Controller) sendProbe(now time.Duration, id wire.TargetID, t *target) {
	t.lastProbeAt, t.probeSentAt = now, now
	c.counts.Probes++
	c.emit(statemachine.Probe{ID: id, Addr: t.Addr, Path: c.activeConfig.Services[id.Service].HealthPath})
}

// handleProbeResult handles the result of a probe of a target or a claimant.
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
	event := t.outlierEvent(now, config.SignalProbe)
	event.Success, event.Milliseconds = answered, result.Milliseconds
	c.evaluateEvent(event)
	if wasUnconfirmed && !t.unconfirmed {
		return // many targets are confirmed at once when leadership begins; the next tick builds one table for all
	}
	c.rebuildTableAfterTargetChange(now, t)
}

// admitClaimant admits the claimant that a probe was sent to, if it answered and displaces the conflicting targets.
// Otherwise it returns nil.
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

// recordProbeAnswer updates a target from its answer to a probe.
func (c *Controller) recordProbeAnswer(now time.Duration, t *target, result statemachine.ProbeResult) {
	t.lastAliveAt, t.unconfirmed, t.consecutiveMisses = now, false, 0
	c.advanceState(now, t, result.Report.State)
	if result.Report.Demand != nil {
		t.Demand, t.HasDemand = *result.Report.Demand, true
	}
	// An answer can only extend a warm-up, never end it, since not every health check reports the warm-up.
	t.warmupEnd = max(t.warmupEnd, now+result.WarmupLeft)
}

// recordProbeMiss counts a missed probe and reports whether it counts against the target. It does not if a proxy had a
// response since the probe was sent, which shows that the fault is between the leader and the target. The proxy may have
// had that response up to tuning.PullEvery before it reported it.
func (c *Controller) recordProbeMiss(t *target, result statemachine.ProbeResult) bool {
	c.counts.ProbeMisses++
	if t.lastSuccessAt-tuning.PullEvery >= result.SentAt {
		c.counts.MissesOverruled++
		return false
	}
	t.consecutiveMisses++
	return true
}
