// This file admits targets. A name within a service and an address have one target each: a claimant for one that is
// taken only has a claim until it displaces the target that has it.

package controlplane

import (
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// registerTarget admits a new target and returns it, or keeps a claim and returns nil: then another target has its name
// or address, and the claimant's answer to a probe decides.
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

// conflictingTargets returns the targets under the name or at the address of a claimant, in order.
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

// displaceConflicting removes the targets whose name or address a claimant claims, and says whether it did: all or none.
// answered says that the claimant has answered a probe by itself.
func (c *Controller) displaceConflicting(now time.Duration, claimant *target, answered bool) bool {
	conflicting := c.conflictingTargets(claimant.Target)
	for _, incumbent := range conflicting {
		if !mayDisplace(now, incumbent, claimant, answered) {
			return false
		}
	}
	for _, incumbent := range conflicting {
		id := incumbent.ID()
		c.removeTarget(now, id, "superseded by another start, or at its address by another target")
		c.tombstones[id] = now
		sameTarget := id.Service == claimant.Service && id.Name == claimant.Name
		claimant.addressReused = claimant.addressReused || incumbent.Addr == claimant.Addr && !sameTarget
	}
	delete(c.claims, claimant.ID())
	return true
}

// mayDisplace says that an incumbent doesn't keep its name and address against a claimant. An answer at the very address
// shows whose that is. An incumbent elsewhere keeps its name while it is alive, until it leaves or misses its probes:
// two processes under one name are a mistake, and the first one is in use. Without an answer, as where the leader's
// probes don't get through, steady heartbeats are enough against an incumbent of which nothing at all comes.
func mayDisplace(now time.Duration, incumbent, claimant *target, answered bool) bool {
	missing := incumbent.consecutiveMisses >= tuning.ProbeMisses
	if answered {
		alive := !incumbent.unconfirmed && !incumbent.Draining && !missing
		return incumbent.Addr == claimant.Addr || !alive
	}
	unresponsive := missing && now-incumbent.lastHeartbeatAt > tuning.TargetHeartbeatTimeout
	return unresponsive && !claimant.unconfirmed
}

// admitTarget adds a target that no other conflicts with.
func (c *Controller) admitTarget(now time.Duration, t *target, reportedState wire.TargetState) {
	id := t.ID()
	if reportedState == wire.TargetReady {
		t.State = wire.TargetReady
	}
	t.ShareOffset = c.shareOffset(id)
	c.targets[id] = t
	if c.leavingTargets[id] != 0 {
		c.drainTarget(now, t, "it was leaving when it fell silent")
	}
	// A proxy on an earlier table would send it the requests of the target that was at its address. So it waits until
	// no such table is in force.
	t.Pending = t.addressReused
	if t.Pending && c.leadership == Leading {
		c.rebuildTable(now, true)
		c.waiters = append(c.waiters, &inForceWaiter{version: c.tableVersion, waitingSince: now, pendingTarget: id})
	}
}

// shareOffset returns the offset by which a target's capacity is divided among the proxies. A restart keeps it, since
// proxies that serve on peer leases may have divided by it already.
func (c *Controller) shareOffset(id wire.TargetID) uint32 {
	name := serviceTarget{id.Service, id.Name}
	if c.shareOffsetByName[name] == 0 {
		c.lastShareOffset[id.Service]++
		c.shareOffsetByName[name] = c.lastShareOffset[id.Service]
	}
	return c.shareOffsetByName[name]
}

// recordShareOffset takes over an offset that was given earlier.
func (c *Controller) recordShareOffset(service, name string, offset uint32) {
	c.lastShareOffset[service] = max(c.lastShareOffset[service], offset)
	c.shareOffsetByName[serviceTarget{service, name}] = offset
}

// claimIDs returns the identities of those that have claims, in order.
func (c *Controller) claimIDs() []wire.TargetID {
	return slices.SortedFunc(maps.Keys(c.claims), wire.TargetID.Compare)
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
