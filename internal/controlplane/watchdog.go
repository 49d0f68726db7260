// This file probes the targets and has the health policies judge what comes back.

package controlplane

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// tickLeader is the watchdog and what else recurs while deciding.
func (c *Controller) tickLeader(now time.Duration) {
	c.probeTargets(now)
	for _, id := range c.targetIDs() {
		t := c.targets[id]
		if now-t.statsJudgedAt >= tuning.StatsEvery {
			t.statsJudgedAt = now
			if s := t.stats; s.Successes+s.Errors > 0 {
				t.stats = wire.TargetStats{}
				c.judgeOutlierEvent(outlier.Event{At: now, Slice: "exchange", Service: t.Service, Name: t.Name, Incarnation: t.Incarnation,
					Count: int(s.Successes + s.Errors), Errors: int(s.Errors), Slow: int(s.Slow), Milliseconds: s.TotalMs})
			}
		}
		if silent := now - t.lastHeartbeatAt; silent > tuning.TargetHeartbeatTimeout && now-t.heartbeatGapJudgedAt >= tuning.StatsEvery {
			t.heartbeatGapJudgedAt = now
			c.judgeOutlierEvent(outlier.Event{At: now, Slice: "beat", Service: t.Service, Name: t.Name, Incarnation: t.Incarnation, State: t.State, Milliseconds: float64(silent) / 1e6})
		}
		if now-t.lastAliveAt > tuning.TargetExpiry {
			c.removeTarget(now, id, "silent and unreachable")
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.claims), wire.TargetID.Compare) {
		t := c.claims[id]
		if now-t.lastHeartbeatAt > tuning.TargetHeartbeatTimeout {
			delete(c.claims, id)
		}
	}
	if now-c.expiredAt > tuning.ReconcileEvery {
		c.expiredAt = now
		old := func(_ wire.TargetID, at time.Duration) bool { return now-at > tuning.TombstoneKeep }
		maps.DeleteFunc(c.tombstones, old)
		if len(c.shareOffsetByName) > 2*len(c.targets)+tuning.ShareOffsetsKept {
			c.shareOffsetByName = map[[2]string]uint32{} // names that never come back; a new place costs little
		}
		maps.DeleteFunc(c.leavingTargets, old)
		maps.DeleteFunc(c.withdrawnInVersion, func(id wire.TargetID, _ uint64) bool {
			return c.targets[id] == nil && c.claims[id] == nil && c.tombstones[id] == 0
		})
	}
	c.publishDecisions(c.scorer.Tick(now))
	if c.leadership != Leading {
		return
	}
	c.rebuildTable(now, now-c.tableRefreshedAt >= tuning.ReconcileEvery)
	c.updateProxyMembership(now)
	c.persistRegistrations(now, tuning.RegistryEvery)
}

// probesPerTick is how many probes may begin in a tick: a little over what keeps each target to
// its interval. So those that are due at once, as when a lead begins or after a pause, are probed
// at that pace, and a leader whose ticks come late probes less.
func probesPerTick(targets int) int {
	return max(tuning.ProbesPerTickMin, int(tuning.ProbePace*float64(targets)*float64(tuning.TickEvery)/float64(tuning.ProbeEvery)))
}

// probeTargets begins the probes that are due: first of those that missed the last one, for which
// a time is promised, then of all in turn, from where the last tick left off.
func (c *Controller) probeTargets(now time.Duration) {
	left := probesPerTick(len(c.targets) + len(c.claims))
	begin := func(id wire.TargetID, t *target) {
		if left > 0 && c.isProbeDue(now, id, t) {
			left--
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
		if left == 0 {
			c.nextProbeTarget = id
			break
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.claims), wire.TargetID.Compare) {
		c.checkOutstandingProbe(now, id, c.claims[id])
		begin(id, c.claims[id])
	}
}

// checkOutstandingProbe looks after a target's probe: one that the shell never answered is over, and where
// one that follows a miss takes long some proxies probe too.
func (c *Controller) checkOutstandingProbe(now time.Duration, id wire.TargetID, t *target) {
	if t.probeSentAt != 0 && now-t.probeSentAt > 2*tuning.ProbeTimeout {
		t.probeSentAt = 0
	}
	if _, named := c.activeConfig.Services[id.Service]; !named {
		// Nothing is sent there; once it is, probes are spread, and who beat and fell silent must answer one.
		t.lastProbeAt = now - tuning.ProbeEvery + time.Duration(t.ShareOffset)*tuning.TickEvery%tuning.NewServiceProbeSpread
		t.unconfirmed = t.unconfirmed || t.heartbeatStreak.Count() >= tuning.ProofHeartbeats && now-t.lastHeartbeatAt > tuning.NewServiceSilence
		return
	}
	if t.lastProbeMissed && t.consecutiveMisses < tuning.ProbeMisses && t.probeSentAt != 0 && t.indirectProbeFor != t.probeSentAt && now-t.probeSentAt >= tuning.IndirectAfter &&
		t.lastSuccessAt < t.probeSentAt+tuning.IndirectAfter && !t.Draining && t.State != wire.TargetLeaving {
		t.indirectProbeFor = t.probeSentAt
		c.requestIndirectProbes(now, id)
	}
}

func (c *Controller) isProbeDue(now time.Duration, id wire.TargetID, t *target) bool {
	_, named := c.activeConfig.Services[id.Service]
	return named && t.probeSentAt == 0 && now-t.lastProbeAt >= tuning.ProbeEvery && !c.canSkipProbe(now, t)
}

// spared says that a target needs no probe yet, since requests show that it lives: a proxy had an answer
// from it later than a probe that is due now would have gone out before. So its death is noticed as
// early as with probes alone. Only health answers tell of coldness, so each is probed now and then.
func (c *Controller) canSkipProbe(now time.Duration, t *target) bool {
	if len(c.targets) <= tuning.ProbeAllMax || t.lastProbeMissed || t.unconfirmed || t.warmupEnd > now {
		return false
	}
	return now-(t.lastSuccessAt-tuning.PullEvery) < tuning.ProbeEvery && now-t.lastProbeAt < tuning.ServingProbeIntervals*tuning.ProbeEvery
}

func (c *Controller) sendProbe(now time.Duration, id wire.TargetID, t *target) {
	t.lastProbeAt, t.probeSentAt = now, now
	c.counts.Probes++
	c.emit(statemachine.Probe{ID: id, Addr: t.Addr, Path: c.activeConfig.Services[id.Service].HealthPath})
}

// requestIndirectProbes has some proxies probe a target that the leader itself can't reach, so that a
// trouble of the leader's own ejections nobody. They are drawn anew each time, from as many
// domains as can be and the leader's own last: what troubles it may trouble its neighbours.
func (c *Controller) requestIndirectProbes(now time.Duration, id wire.TargetID) {
	type choice struct {
		name, domain string
		nth          int // of its domain
		close        int
		draw         uint32
	}
	var all []choice
	for _, r := range c.state.Proxies {
		if g := c.proxies[r.Name]; g != nil && g.tableMerged && c.isProxyLive(now, r.Name) {
			h := fnv.New32a()
			fmt.Fprint(h, r.Name, id, now)
			k := choice{name: r.Name, domain: r.Domain, draw: h.Sum32()}
			if r.Domain == c.settings.Self.Domain {
				k.close = 1
			}
			all = append(all, k)
		}
	}
	slices.SortFunc(all, func(a, b choice) int { return cmp.Or(cmp.Compare(a.draw, b.draw), cmp.Compare(a.name, b.name)) })
	met := map[string]int{}
	for i := range all {
		all[i].nth = met[all[i].domain]
		met[all[i].domain]++
	}
	slices.SortStableFunc(all, func(a, b choice) int { return cmp.Or(cmp.Compare(a.nth, b.nth), cmp.Compare(a.close, b.close)) })
	for _, k := range all[:min(len(all), tuning.IndirectProbes)] {
		g := c.proxies[k.name]
		p := &wire.Push{Key: g.tableKey, ProbeTargets: []wire.TargetID{id}}
		c.send(k.name, &wire.Message{Kind: wire.KindPush, Epoch: c.node.Epoch(), Term: c.node.Term(), Timestamp: g.pullTimestamp, Disk: g.incarnation, Push: p})
	}
}

func (c *Controller) handleProbeResult(now time.Duration, p statemachine.ProbeResult) {
	if c.leadership < Gathering {
		return
	}
	t := c.targets[p.ID]
	if t == nil {
		if t = c.claims[p.ID]; t == nil {
			return
		}
		t.probeSentAt = 0
		if b := p.Report; b == nil || b.ID() != p.ID || !c.displaceConflicting(now, t, true) {
			return
		}
		c.admitTarget(now, t, p.Report.State)
	}
	t.probeSentAt = 0
	proved := t.unconfirmed
	e := outlier.Event{At: now, Slice: "probe", Service: t.Service, Name: t.Name, Incarnation: t.Incarnation, Milliseconds: p.Milliseconds}
	b := p.Report
	e.Success = b != nil && b.ID() == p.ID
	t.lastProbeMissed = !e.Success
	if !e.Success {
		c.counts.ProbeMisses++
		if t.lastSuccessAt-tuning.PullEvery >= p.SentAt {
			// A proxy has had an answer from it since this probe went out: the miss is the leader's own.
			c.counts.MissesOverruled++
			return
		}
		t.consecutiveMisses++
	} else {
		t.lastAliveAt, t.unconfirmed, t.consecutiveMisses = now, false, 0
		c.advanceState(now, t, b.State)
		if b.Demand != nil {
			t.Demand, t.HasDemand = *b.Demand, true
		}
		t.warmupEnd = max(t.warmupEnd, now+p.WarmupLeft) // that it says nothing of it ends nothing
	}
	c.judgeOutlierEvent(e)
	if proved && !t.unconfirmed {
		return // many prove themselves at once after a loss: the next tick tells of all
	}
	c.targetChanged(now, t)
}
