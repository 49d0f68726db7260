// This file is the registry, which is what the log holds of the targets: which there are and where, which are leaving, and
// which have signed off. It is written in batches and has nothing of ejections, health checks or heartbeats. A leader that
// finds no proxy with a table, as after the loss of all processes, begins from it. What it says is unconfirmed until a
// target has answered this leader. A leaving or a sign-off is acknowledged to the target only once it is committed here.

package controlplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// loadRegistrations begins a leadership with the targets and tombstones of the registry.
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

// persistRegistrations proposes a write of what has changed since the last one, if that is every ago. A target that waits
// for its acknowledgement has it written by the next tick. With much uncommitted already the write waits, since operators'
// changes matter more.
func (c *Controller) persistRegistrations(now, every time.Duration) {
	sinceLast := now - c.registryPersistedAt
	due := sinceLast >= every || c.persistSoon && sinceLast >= tuning.TickEvery
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

// addChangedRegistrations adds to a write the targets that are not in the registry as they are now. It is called at each
// tick, so it sorts only what has changed.
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

// registration returns what the registry has to hold of a target.
func (t *target) registration(now time.Duration) state.Registration {
	return state.Registration{
		Service: t.Service, Name: t.Name, Incarnation: t.Incarnation, Addr: t.Addr, Domain: t.Domain,
		Slots: t.Slots, ShareOffset: t.ShareOffset, WarmingUp: t.warmupLeft(now) > 0, Leaving: t.Draining,
	}
}

// needsRegistration says that the registry doesn't hold a target as it is now and has capacity for it. An unconfirmed one
// is registered only when it leaves: it may be of an incarnation that is over.
func (c *Controller) needsRegistration(t *target, registration state.Registration) bool {
	if persisted, found := c.persistedRegistrations[t.ID()]; found {
		return persisted != registration
	}
	return (!t.unconfirmed || t.Draining) && len(c.persistedRegistrations) < tuning.RegistryMax
}

// batchSize is how many of so many new or changed entries one write takes. At least one goes even into a full registry,
// as it may replace an entry that is there.
func batchSize(changed, persisted int) int {
	return min(changed, tuning.RegistryBatch, max(1, tuning.RegistryMax-persisted))
}

// addChangedTombstones does the same for tombstones: of targets that were leaving when they were removed, and of those
// that signed off or were superseded.
func (c *Controller) addChangedTombstones(change *state.RegistryChange) {
	addIfChanged := func(id wire.TargetID, signedOff bool) {
		persisted, found := c.persistedTombstones[id]
		if found && persisted == signedOff || !found && len(c.persistedTombstones) >= tuning.RegistryMax {
			return
		}
		change.AddTombstones = append(change.AddTombstones, state.Tombstone{Service: id.Service, Name: id.Name, Incarnation: id.Incarnation, Gone: signedOff})
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

// departureCommitted says that the log holds what this member knows of a target's leaving or sign-off. A full registry
// takes no more: then only the proxies' tables can bring it back.
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
