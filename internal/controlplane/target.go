// This file is the leader's view of the targets: their heartbeats, who holds which
// name and address, and what proxies' tables say of them.

package controlplane

import (
	"cmp"
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/targetreport"
	"slices"
	"time"

	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

type target struct {
	wire.Target
	lastHeartbeatAt      time.Duration
	lastProbeAt          time.Duration
	probeSentAt          time.Duration // 0: no probe out
	lastProbeMissed      bool          // the last probe was, whether that counts or not
	indirectProbeFor     time.Duration // the last probe for which proxies were asked to probe too
	lastSuccessAt        time.Duration // last report of a success through a proxy
	lastAliveAt          time.Duration // last beat or answered probe
	stats                wire.TargetStats
	statsJudgedAt        time.Duration
	heartbeatGapJudgedAt time.Duration
	consecutiveMisses    int // probes in a row without its own answer
	heartbeatStreak      targetreport.Streak
	unconfirmed          bool         // known by hearsay: one word, or a proxy's table; not served until it has proved itself
	publishedFacts       routingFacts // what the table says of it
	publishedDemand      float64
	publishedEjectionEnd time.Duration // until when, as the table says
	publishedWarmupEnd   time.Duration
	changedInVersion     uint64 // the number of the table that last said something new of it
	addressReused        bool   // its address had another target's entry
	warmupEnd            time.Duration
	warmupEndNumber      uint64 // lowest number of a word that may end its coldness
}

// mergeTable takes what a proxy's table says of targets from before this lead: which
// targets there are from the latest table heard, holds and ejections from all.
func (c *Controller) mergeTable(now time.Duration, b *wire.Table) {
	if c.leadership == Gathering && c.latestMergedKey.Less(b.Key) {
		c.latestMergedKey = b.Key
		for id, t := range c.targets {
			if t.unconfirmed {
				delete(c.targets, id) // known only from an earlier table, or from the log
				if t.Draining {
					c.leavingTargets[id] = now
				}
			}
		}
		for _, w := range b.Targets {
			if c.targets[w.ID()] != nil || c.tombstones[w.ID()] != 0 {
				continue
			}
			if len(c.conflictingTargets(w)) > 0 {
				c.holdBackSuccessor(w)
				continue
			}
			t := &target{Target: w, unconfirmed: true, lastHeartbeatAt: now - tuning.TargetHeartbeatTimeout/2, lastAliveAt: now, lastProbeAt: now - tuning.ProbeEvery, statsJudgedAt: now}
			t.EjectionLeft, t.EjectedBy, t.Draining, t.WarmupLeft = 0, "", false, 0
			c.targets[w.ID()] = t
			if c.leavingTargets[w.ID()] != 0 {
				c.drainTarget(now, t, "it was leaving, as agreed")
			}
			c.lastShareOffset[w.Service] = max(c.lastShareOffset[w.Service], w.ShareOffset)
			c.shareOffsetByName[[2]string{w.Service, w.Name}] = w.ShareOffset
		}
	}
	for _, w := range b.Targets {
		t := c.targets[w.ID()]
		if t == nil {
			continue
		}
		if w.Draining {
			c.drainTarget(now, t, "a proxy's table holds it")
		}
		t.warmupEnd = max(t.warmupEnd, now+time.Duration(w.WarmupLeft))
		c.warmUpAfterRestore(t)
		if w.EjectionLeft > 0 && c.leadership == Gathering {
			c.detector.Restore(now, w.ID(), w.EjectedBy, time.Duration(w.EjectionLeft))
		}
	}
}

// displaced has a target at w's address wait until w, which a table still names,
// is out of every table.
func (c *Controller) holdBackSuccessor(w wire.Target) {
	for _, t := range c.targets {
		if t.Addr == w.Addr && t.Name != w.Name {
			t.Pending = true
		}
	}
}

func (c *Controller) drainTarget(now time.Duration, t *target, why string) {
	if t.Draining {
		return
	}
	t.Draining, t.State = true, wire.TargetLeaving
	c.counts.Drains++
	d := outlier.Decision{At: now, Policy: "leaving", Kind: "hold", Service: t.Service, Name: t.Name, Incarnation: t.Incarnation, Reason: why}
	c.emit(statemachine.Publish{Decision: &d})
}

// removeTarget takes a target's entry away; silence alone refuses nobody.
func (c *Controller) removeTarget(now time.Duration, id wire.TargetID, why string) {
	t := c.targets[id]
	if t == nil {
		return
	}
	delete(c.targets, id)
	if t.Draining {
		c.leavingTargets[id] = now
	}
	c.scorer.Forget(now, id)
	d := outlier.Decision{At: now, Policy: "registry", Kind: "gone", Service: id.Service, Name: id.Name, Incarnation: id.Incarnation, Reason: why}
	c.emit(statemachine.Publish{Decision: &d})
}

// beat takes a back end's word, straight or passed on. A word whose number is not over
// the highest heard is old and changes nothing.
func (c *Controller) handleHeartbeat(now time.Duration, w wire.Target, passOn bool) {
	if c.leadership != Leading && c.leadership != Gathering {
		if passOn {
			c.send(c.leader(now), &wire.Message{Kind: wire.KindHeartbeat, Timestamp: 1, Heartbeat: &w})
		}
		return
	}
	id := w.ID()
	if c.tombstones[id] != 0 {
		c.tombstones[id] = now
		return
	}
	t := c.targets[id]
	if w.State == wire.TargetGone {
		c.removeTarget(now, id, "signed off")
		delete(c.claims, id)
		c.tombstones[id] = now
		c.rebuildTable(now, false)
		return
	}
	if o := cmp.Or(t, c.claims[id]); o != nil && w.Number != 0 && w.Number <= o.Number {
		return
	}
	if t != nil && t.Addr != w.Addr && w.State != wire.TargetLeaving {
		c.counts.Rejected++
		return
	}
	if t == nil {
		if w.State == wire.TargetLeaving {
			c.leavingTargets[id] = now // also if it only claims its place so far
		}
		if t = c.registerTarget(now, w); t == nil {
			return
		}
	}
	c.updateFromReport(now, t, w)
	c.advanceState(now, t, w.State)
	e := outlier.Event{At: now, Slice: "beat", Service: t.Service, Name: t.Name, Incarnation: t.Incarnation, Success: true, State: t.State}
	c.judgeOutlierEvent(e)
	if t.HasDemand {
		c.judgeOutlierEvent(outlier.Event{At: now, Slice: "demand", Service: t.Service, Name: t.Name, Incarnation: t.Incarnation, Demand: t.Demand})
	}
	c.targetChanged(now, t)
}

// note takes over what a word says beside its state.
func (c *Controller) updateFromReport(now time.Duration, t *target, w wire.Target) {
	c.recordHeartbeat(now, t)
	t.lastAliveAt = now
	if w.HasDemand {
		t.Demand, t.HasDemand = w.Demand, true
	}
	if w.Slots != 0 {
		t.Slots = w.Slots
	}
	t.Number = max(t.Number, w.Number)
	if w.WarmupLeft > 0 {
		t.warmupEnd = max(t.warmupEnd, now+time.Duration(w.WarmupLeft))
	} else if w.Number != 0 && w.Number >= t.warmupEndNumber {
		t.warmupEnd = 0
	}
}

// cold is how much longer a target is cold.
func (t *target) warmupLeft(now time.Duration) int64 { return max(0, int64(t.warmupEnd-now)) }

// chill has a target of a restored domain be cold: it may have become so while nothing
// was sent there. A word that was under way by then says nothing of it, so the next
// number does not end it yet.
func (c *Controller) warmUpAfterRestore(t *target) {
	at, was := c.domainRestoredAt[t.Domain]
	svc := c.activeConfig.Services[t.Service]
	if till := at + svc.Warmup(); was && till > t.warmupEnd {
		t.warmupEnd, t.warmupEndNumber = till, t.Number+2
	}
}

// advanceState moves a target only forward: what has said that it is leaving
// stays held until it signs off.
func (c *Controller) advanceState(now time.Duration, t *target, s wire.TargetState) {
	switch {
	case s == wire.TargetLeaving:
		c.drainTarget(now, t, "a beat says leaving")
	case s == wire.TargetReady && !t.Draining:
		t.State = s
	}
}

// spoke counts a beat. One alone proves nothing, since it may be a late one of a
// start that is over; who goes on beating is there, even if no probe gets through.
func (c *Controller) recordHeartbeat(now time.Duration, t *target) {
	t.lastHeartbeatAt = now
	t.heartbeatStreak.RecordHeartbeat(now)
	t.unconfirmed = t.unconfirmed && !t.heartbeatStreak.IsSteady(now)
}

// beats is what the table says of it: one that misses its probes has to speak on.
func (t *target) isHeartbeating(now time.Duration) bool {
	return now-t.lastHeartbeatAt < tuning.TargetHeartbeatTimeout && (t.consecutiveMisses < tuning.ProbeMisses || t.heartbeatStreak.IsSteady(now))
}

// rivals are the known targets under w's name or at its address.
func (c *Controller) conflictingTargets(w wire.Target) (l []*target) {
	for id, o := range c.targets {
		if id != w.ID() && (id.Service == w.Service && id.Name == w.Name || o.Addr == w.Addr) {
			l = append(l, o)
		}
	}
	slices.SortFunc(l, func(a, b *target) int { return a.ID().Compare(b.ID()) })
	return l
}

// registerTarget takes in a target that is new. Where another stands under its name or
// at its address it only claims that place, and its own answer to a probe decides.
func (c *Controller) registerTarget(now time.Duration, w wire.Target) *target {
	t := c.claims[w.ID()]
	if t == nil {
		t = &target{Target: wire.Target{Service: w.Service, Name: w.Name, Incarnation: w.Incarnation, Addr: w.Addr, Domain: w.Domain, State: wire.TargetWarming},
			lastHeartbeatAt: now, lastAliveAt: now, lastProbeAt: now - tuning.ProbeEvery, statsJudgedAt: now, unconfirmed: true}
	}
	if len(c.conflictingTargets(w)) > 0 {
		t.Addr = w.Addr
		c.updateFromReport(now, t, w)
		c.claims[w.ID()] = t
		if !c.displaceConflicting(now, t, false) {
			return nil
		}
	}
	c.admitTarget(now, t, w.State)
	return t
}

// succeed lets a claimant have its place if those who stand there don't hold it:
// an answer at the very address says whose it is; an incumbent elsewhere that
// lives stays, by the design's incumbency, and keeps its name until it leaves or
// misses its probes. proved is the claimant's own answer.
func (c *Controller) displaceConflicting(now time.Duration, t *target, proved bool) bool {
	rs := c.conflictingTargets(t.Target)
	for _, o := range rs {
		lives := !o.unconfirmed && !o.Draining && o.consecutiveMisses < tuning.ProbeMisses
		silent := now-o.lastHeartbeatAt > tuning.TargetHeartbeatTimeout && o.consecutiveMisses >= tuning.ProbeMisses
		if proved && o.Addr != t.Addr && lives || !proved && (t.unconfirmed || !silent) {
			return false
		}
	}
	for _, o := range rs {
		c.removeTarget(now, o.ID(), "superseded by another start, or at its address by another target")
		c.tombstones[o.ID()] = now
		t.addressReused = t.addressReused || o.Addr == t.Addr && (o.Service != t.Service || o.Name != t.Name)
	}
	delete(c.claims, t.ID())
	return true
}

// enter puts a target into the registry.
func (c *Controller) admitTarget(now time.Duration, t *target, state wire.TargetState) {
	id := t.ID()
	if state == wire.TargetReady {
		t.State = wire.TargetReady
	}
	t.Pending = t.addressReused
	name := [2]string{id.Service, id.Name}
	if c.shareOffsetByName[name] == 0 {
		c.lastShareOffset[id.Service]++
		c.shareOffsetByName[name] = c.lastShareOffset[id.Service]
	}
	t.ShareOffset = c.shareOffsetByName[name] // a restart keeps it: proxies that serve on their peers may have dealt by it already
	c.targets[id] = t
	if c.leavingTargets[id] != 0 {
		c.drainTarget(now, t, "it was leaving when it fell silent")
	}
	if t.Pending && c.leadership == Leading {
		c.rebuildTable(now, true)
		c.waiters = append(c.waiters, &inForceWaiter{version: c.tableVersion, waitingSince: now, pendingTarget: id})
	}
}

func (c *Controller) judgeOutlierEvent(e outlier.Event) {
	c.emit(statemachine.Publish{Event: &e})
	c.publishDecisions(c.scorer.Step(e))
}

func (c *Controller) publishDecisions(ds []outlier.Decision) {
	for i := range ds {
		if !ds[i].Shadow {
			c.decisionCount++
			switch ds[i].Kind {
			case "bar":
				c.counts.Ejections++
			case "clear":
				c.counts.EjectionsCleared++
			case "lapse":
				c.counts.EjectionsLapsed++
			}
		}
		c.emit(statemachine.Publish{Decision: &ds[i]})
	}
}

// sorted are the targets' identities in order.
func (c *Controller) targetIDs() []wire.TargetID {
	ok := len(c.sortedTargetIDs) == len(c.targets)
	for i := 0; ok && i < len(c.sortedTargetIDs); i++ {
		ok = c.targets[c.sortedTargetIDs[i]] != nil
	}
	if !ok {
		c.sortedTargetIDs = slices.SortedFunc(maps.Keys(c.targets), wire.TargetID.Compare)
	}
	return c.sortedTargetIDs
}
