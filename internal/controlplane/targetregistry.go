// This file maintains the registry, the data on targets that is kept in the replicated log: which targets exist and at
// which addresses, which are leaving, and which have signed off. It is written in batches, and does not contain
// ejections, health checks or heartbeats. A leader that finds no proxy with a table, as after the loss of all
// processes, begins from the registry. Targets loaded from it are unconfirmed until they have answered this leader. A
// leave notice or sign-off is acknowledged to the target only once it is committed to the registry.

package controlplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// loadRegistrations loads the targets and tombstones of the registry at the beginning of a leadership.
func (c *Controller) loadRegistrations(now time.Duration) {
	c.persistedRegistrations, c.persistedTombstones = map[wire.TargetID]state.Registration{}, map[wire.TargetID]bool{}
	for _, tombstone := range c.state.Tombstones {
		c.persistedTombstones[tombstone.ID()] = tombstone.Gone
		if tombstone.Gone {
			c.tombstones[tombstone.ID()] = now
		} else {
			c.leavingTargets[tombstone.ID()] = now
		}
	}
	for _, registration := range c.state.Registrations {
		c.persistedRegistrations[registration.ID()] = registration
		c.loadRegistration(now, registration)
	}
}

// loadRegistration adds a target from the registry. It is unconfirmed, and has half of tuning.TargetHeartbeatTimeout
// left to send a heartbeat.
func (c *Controller) loadRegistration(now time.Duration, registration state.Registration) {
	t := newTarget(now, now-tuning.TargetHeartbeatTimeout/2, wire.Target{
		Service: registration.Service, Name: registration.Name, Incarnation: registration.Incarnation,
		Addr: registration.Addr, Domain: registration.Domain, State: wire.TargetWarming,
		Slots: registration.Slots, ShareOffset: registration.ShareOffset,
	})
	if registration.Leaving {
		t.Draining, t.State = true, wire.TargetLeaving
	}
	if registration.WarmingUp {
		service := c.activeConfig.Services[registration.Service]
		t.warmupEnd = now + service.Warmup()
	}
	c.targets[registration.ID()] = t
	c.warmUpAfterRestore(t)
	c.recordShareOffset(registration.Service, registration.Name, registration.ShareOffset)
}

// persistRegistrations proposes a registry write with the changes since the last write, if the interval has passed
// since then. If a target waits for an acknowledgement, tuning.TickEvery is enough. The write waits while more
// than a quarter of tuning.ProposedBytesMax is uncommitted, since operators' changes take priority.
func (c *Controller) persistRegistrations(now, interval time.Duration) {
	sinceLast := now - c.registryPersistedAt
	due := sinceLast >= interval || c.persistSoon && sinceLast >= tuning.TickEvery
	if !due || c.node.UncommittedBytes() > tuning.ProposedBytesMax/4 {
		return
	}
	change := state.RegistryChange{}
	c.addChangedRegistrations(now, &change)
	c.addChangedTombstones(&change)
	if len(change.Put)+len(change.Drop)+len(change.AddTombstones)+len(change.DropTombstones) == 0 {
		return
	}
	c.registryPersistedAt, c.persistSoon = now, false
	c.propose(now, state.Command{Operation: state.OpRegisterTargets, Targets: &change})
}

// addChangedRegistrations adds to a write the targets whose registration is missing, outdated or to be dropped. It may be
// called at each tick, so it sorts only the changes.
func (c *Controller) addChangedRegistrations(now time.Duration, change *state.RegistryChange) {
	for _, t := range c.targets {
		if registration := t.registration(now); c.needsRegistration(t, registration) {
			change.Put = append(change.Put, registration)
		}
	}
	slices.SortFunc(change.Put, func(a, b state.Registration) int { return a.ID().Compare(b.ID()) })
	change.Put = change.Put[:batchSize(len(change.Put), len(c.persistedRegistrations))]
	for id := range c.persistedRegistrations {
		if c.targets[id] == nil {
			change.Drop = append(change.Drop, state.Registration{Service: id.Service, Name: id.Name, Incarnation: id.Incarnation})
		}
	}
	slices.SortFunc(change.Drop, func(a, b state.Registration) int { return a.ID().Compare(b.ID()) })
	for _, registration := range change.Put {
		c.persistedRegistrations[registration.ID()] = registration
	}
	for _, registration := range change.Drop {
		delete(c.persistedRegistrations, registration.ID())
	}
}

// registration returns a target's registry entry.
func (t *target) registration(now time.Duration) state.Registration {
	return state.Registration{
		Service: t.Service, Name: t.Name, Incarnation: t.Incarnation, Addr: t.Addr, Domain: t.Domain,
		Slots: t.Slots, ShareOffset: t.ShareOffset, WarmingUp: t.warmupLeft(now) > 0, Leaving: t.Draining,
	}
}

// needsRegistration reports whether the registry lacks the target's entry or has an outdated one, and has room for it. An
// unconfirmed target is registered only when it leaves, since it may be of an incarnation that no longer runs.
func (c *Controller) needsRegistration(t *target, registration state.Registration) bool {
	if persisted, found := c.persistedRegistrations[t.ID()]; found {
		return persisted != registration
	}
	return (!t.unconfirmed || t.Draining) && len(c.persistedRegistrations) < tuning.RegistryMax
}

// batchSize returns how many of the changed entries go into one write, given the number of persisted entries. It allows
// at least one even if the registry is full, since that one may replace an existing entry.
func batchSize(changed, persisted int) int {
	return min(changed, tuning.RegistryBatch, max(1, tuning.RegistryMax-persisted))
}

// addChangedTombstones adds to a write the tombstones that are missing, outdated or to be dropped. There is one for each
// target that was leaving when it was removed, that signed off or that was superseded.
func (c *Controller) addChangedTombstones(change *state.RegistryChange) {
	addIfChanged := func(id wire.TargetID, gone bool) {
		persisted, found := c.persistedTombstones[id]
		if found && persisted == gone || !found && len(c.persistedTombstones) >= tuning.RegistryMax {
			return
		}
		change.AddTombstones = append(change.AddTombstones, state.Tombstone{Service: id.Service, Name: id.Name, Incarnation: id.Incarnation, Gone: gone})
	}
	for id := range c.leavingTargets {
		if c.tombstones[id] == 0 {
			addIfChanged(id, false)
		}
	}
	for id := range c.tombstones {
		addIfChanged(id, true)
	}
	slices.SortFunc(change.AddTombstones, func(a, b state.Tombstone) int { return a.ID().Compare(b.ID()) })
	change.AddTombstones = change.AddTombstones[:batchSize(len(change.AddTombstones), len(c.persistedTombstones))]
	for id := range c.persistedTombstones {
		_, leaving := c.leavingTargets[id]
		if _, gone := c.tombstones[id]; !leaving && !gone {
			change.DropTombstones = append(change.DropTombstones, state.Tombstone{Service: id.Service, Name: id.Name, Incarnation: id.Incarnation})
		}
	}
	slices.SortFunc(change.DropTombstones, func(a, b state.Tombstone) int { return a.ID().Compare(b.ID()) })
	for _, tombstone := range change.AddTombstones {
		c.persistedTombstones[tombstone.ID()] = tombstone.Gone
	}
	for _, tombstone := range change.DropTombstones {
		delete(c.persistedTombstones, tombstone.ID())
	}
}

// departureCommitted reports whether a target's leave notice or sign-off, if this member knows of one, is committed to
// the registry. A full registry takes no more entries, so it returns true then: a later leader can then learn of the
// departure only from the proxies' tables.
func (c *Controller) departureCommitted(id wire.TargetID) bool {
	if len(c.state.Tombstones) >= tuning.RegistryMax || len(c.state.Registrations) >= tuning.RegistryMax {
		return true
	}
	tombstone, found := c.state.Tombstone(id)
	t := c.targets[id]
	switch {
	case c.tombstones[id] != 0:
		return found && tombstone.Gone
	case t != nil && t.Draining:
		registration, registered := c.state.Registration(id)
		return registered && registration.Leaving
	case c.leavingTargets[id] != 0:
		return found
	}
	return true
}
