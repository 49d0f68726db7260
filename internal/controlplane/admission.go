// This file admits targets to the registry. A name within a service, and an address, belong to at most one target at a
// time. A target that reports a name or address already in use is kept as a claim until it displaces the incumbent.

package controlplane

import (
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// registerTarget admits a newly reported target and returns it. If another target already has its name or address and
// can't be displaced yet, it records a claim and returns nil; the claim is decided by whether the claimant answers a
// probe.
func (c *Controller) registerTarget(now time.Duration, report wire.Target) *target {
	id := report.ID()
	t := c.claims[id]
	if t == nil {
		t = newTarget(now, now, wire.Target{
			Service: id.Service, Name: id.Name, Incarnation: id.Incarnation,
			Addr: report.Addr, Domain: report.Domain, State: wire.TargetWarming,
		})
	}
	if len(c.conflictingTargets(report)) > 0 {
		t.Addr = report.Addr
		c.updateFromReport(now, t, report)
		c.claims[id] = t
		if !c.displaceConflicting(now, t, false) {
			return nil
		}
	}
	c.admitTarget(now, t, report.State)
	return t
}

// conflictingTargets returns the targets that have the claimant's name or address, sorted by identity.
func (c *Controller) conflictingTargets(claimant wire.Target) (conflicting []*target) {
	for id, t := range c.targets {
		if id == claimant.ID() {
			continue
		}
		if id.Service == claimant.Service && id.Name == claimant.Name || t.Addr == claimant.Addr {
			conflicting = append(conflicting, t)
		}
	}
	slices.SortFunc(conflicting, func(a, b *target) int { return a.ID().Compare(b.ID()) })
	return conflicting
}

// displaceConflicting removes all targets that have the claimant's name or address, or none of them if any may not be
// displaced, and reports whether it removed them. answered reports whether the claimant itself has answered a probe.
func (c *Controller) displaceConflicting(now time.Duration, claimant *target, answered bool) bool {
	conflicting := c.conflictingTargets(claimant.Target)
	for _, incumbent := range conflicting {
		if !mayDisplace(now, incumbent, claimant, answered) {
			return false
		}
	}
	for _, incumbent := range conflicting {
		id := incumbent.ID()
		c.removeTarget(now, id, "superseded by another incarnation, or by another target at its address")
		c.tombstones[id] = now
		sameTarget := id.Service == claimant.Service && id.Name == claimant.Name
		claimant.addressReused = claimant.addressReused || incumbent.Addr == claimant.Addr && !sameTarget
	}
	delete(c.claims, claimant.ID())
	return true
}

// mayDisplace reports whether a claimant may take over the name and address of an incumbent.
//
//   - If the claimant answered a probe at the incumbent's own address, the address is the claimant's.
//   - If it answered at another address, the incumbent keeps its name unless the incumbent is unconfirmed, draining or
//     missing its probes. Two processes with one name are a deployment mistake, and the first one is already in use.
//   - If it did not answer, for example because the leader's probes don't get through, its steady heartbeats suffice
//     only against an incumbent that misses its probes and sends no heartbeats either.
func mayDisplace(now time.Duration, incumbent, claimant *target, answered bool) bool {
	missing := incumbent.consecutiveMisses >= tuning.ProbeMisses
	if answered {
		alive := !incumbent.unconfirmed && !incumbent.Draining && !missing
		return incumbent.Addr == claimant.Addr || !alive
	}
	unresponsive := missing && now-incumbent.lastHeartbeatAt > tuning.TargetHeartbeatTimeout
	return unresponsive && !claimant.unconfirmed
}

// admitTarget adds a target that conflicts with no other target.
func (c *Controller) admitTarget(now time.Duration, t *target, reportedState wire.TargetState) {
	id := t.ID()
	if reportedState == wire.TargetReady {
		t.State = wire.TargetReady
	}
	t.ShareOffset = c.shareOffset(id)
	c.targets[id] = t
	if c.leavingTargets[id] != 0 {
		c.drainTarget(now, t, "it was leaving when contact with it was lost")
	}
	// A proxy that still uses an earlier table would send this target the requests meant for the previous target at its
	// address. The target gets no requests until every such table is out of use.
	t.Pending = t.addressReused
	if t.Pending && c.leadership == Leading {
		c.rebuildTable(now, true)
		c.waiters = append(c.waiters, &inForceWaiter{version: c.tableVersion, waitingSince: now, pendingTarget: id})
	}
}

// shareOffset returns the offset that determines how a target's capacity is divided among the proxies. A restarted
// target keeps its offset, since proxies that serve on peer leases may already have divided its capacity by it.
func (c *Controller) shareOffset(id wire.TargetID) uint32 {
	name := serviceTarget{id.Service, id.Name}
	if c.shareOffsetByName[name] == 0 {
		c.lastShareOffset[id.Service]++
		c.shareOffsetByName[name] = c.lastShareOffset[id.Service]
	}
	return c.shareOffsetByName[name]
}

// recordShareOffset records an offset that was assigned earlier, as found in the log or in a proxy's table.
func (c *Controller) recordShareOffset(service, name string, offset uint32) {
	c.lastShareOffset[service] = max(c.lastShareOffset[service], offset)
	c.shareOffsetByName[serviceTarget{service, name}] = offset
}

// claimIDs returns the identities of the claimants, sorted.
func (c *Controller) claimIDs() []wire.TargetID {
	return slices.SortedFunc(maps.Keys(c.claims), wire.TargetID.Compare)
}

// expireClaims removes the claims of claimants that have stopped sending heartbeats.
func (c *Controller) expireClaims(now time.Duration) {
	maps.DeleteFunc(c.claims, func(_ wire.TargetID, t *target) bool { return now-t.lastHeartbeatAt > tuning.TargetHeartbeatTimeout })
}

// cleanUpTargets removes expired records of targets that no longer exist. It runs once per tuning.ReconcileEvery.
func (c *Controller) cleanUpTargets(now time.Duration) {
	if now-c.lastCleanupAt <= tuning.ReconcileEvery {
		return
	}
	c.lastCleanupAt = now
	expired := func(_ wire.TargetID, at time.Duration) bool { return now-at > tuning.TombstoneTTL }
	maps.DeleteFunc(c.tombstones, expired)
	maps.DeleteFunc(c.leavingTargets, expired)
	maps.DeleteFunc(c.withdrawnInVersion, func(id wire.TargetID, _ uint64) bool {
		return c.targets[id] == nil && c.claims[id] == nil && c.tombstones[id] == 0
	})
	// Most names without a target never come back, and assigning a new offset to one that does costs little.
	if len(c.shareOffsetByName) > 2*len(c.targets)+tuning.ShareOffsetsKept {
		c.shareOffsetByName = map[serviceTarget]uint32{}
	}
}
