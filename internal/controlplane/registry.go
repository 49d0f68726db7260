// This file is the registry of targets as the members agree on it: which there are and
// where, who said that it leaves, who signed off. It is written in batches and says
// nothing of ejections, probes or beats. A leader that finds no proxy with a table, as after
// a loss of all processes, begins from it; what it says is hearsay until a target has
// answered this leader. A leaving or a sign-off is acknowledged only once it is in here.

package controlplane

import (
	"myrtlefold/internal/shared/state"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// recollect begins a lead with the targets that are agreed.
func (c *Controller) loadRegistrations(now time.Duration) {
	c.persistedRegistrations, c.persistedTombstones = map[wire.TargetID]state.Registration{}, map[wire.TargetID]bool{}
	for _, m := range c.state.Tombstones {
		c.persistedTombstones[m.ID()] = m.Gone
		if m.Gone {
			c.tombstones[m.ID()] = now
		} else {
			c.leavingTargets[m.ID()] = now
		}
	}
	for _, p := range c.state.Registrations {
		c.persistedRegistrations[p.ID()] = p
		t := &target{Target: wire.Target{Service: p.Service, Name: p.Name, Incarnation: p.Incarnation, Addr: p.Addr, Domain: p.Domain, State: wire.TargetWarming, Slots: p.Slots, ShareOffset: p.ShareOffset},
			unconfirmed: true, lastHeartbeatAt: now - tuning.TargetHeartbeatTimeout/2, lastAliveAt: now, statsJudgedAt: now,
			lastProbeAt: now - tuning.ProbeEvery}
		if p.Leaving {
			t.Draining, t.State = true, wire.TargetLeaving
		}
		if p.WarmingUp {
			svc := c.activeConfig.Services[p.Service]
			t.warmupEnd = now + svc.Warmup()
		}
		c.targets[p.ID()] = t
		c.warmUpAfterRestore(t)
		c.lastShareOffset[p.Service] = max(c.lastShareOffset[p.Service], p.ShareOffset)
		c.shareOffsetByName[[2]string{p.Service, p.Name}] = p.ShareOffset
	}
}

// persistRegistrations writes what has changed since, if the last write is long enough ago. Who
// is known by hearsay is written only when it leaves.
func (c *Controller) persistRegistrations(now, every time.Duration) {
	if now-c.registryPersistedAt < every && !(c.persistSoon && now-c.registryPersistedAt >= tuning.TickEvery) || c.node.UncommittedBytes() > tuning.ProposedBytesMax/4 {
		return
	}
	r := state.RegistryChange{}
	c.changedRegistrations(now, &r)
	c.changedTombstones(&r)
	if len(r.Put)+len(r.Drop)+len(r.AddTombstones)+len(r.DropTombstones) == 0 {
		return
	}
	c.registryPersistedAt, c.persistSoon = now, false
	c.propose(now, state.Command{Operation: state.OpRegisterTargets, Targets: &r})
}

// changedRegistrations adds to a write the targets that are not in the log as they are now. It is
// called at each tick, so it sorts only what has changed.
func (c *Controller) changedRegistrations(now time.Duration, r *state.RegistryChange) {
	for id, t := range c.targets {
		p := state.Registration{Service: id.Service, Name: id.Name, Incarnation: id.Incarnation, Addr: t.Addr, Domain: t.Domain, Slots: t.Slots, ShareOffset: t.ShareOffset, WarmingUp: t.warmupLeft(now) > 0, Leaving: t.Draining}
		was, ok := c.persistedRegistrations[id]
		if ok && was == p || !ok && (t.unconfirmed && !t.Draining || len(c.persistedRegistrations) >= tuning.RegistryMax) {
			continue
		}
		r.Put = append(r.Put, p)
	}
	slices.SortFunc(r.Put, func(a, b state.Registration) int { return a.ID().Compare(b.ID()) })
	r.Put = r.Put[:min(len(r.Put), tuning.RegistryBatch, max(1, tuning.RegistryMax-len(c.persistedRegistrations)))]
	for id := range c.persistedRegistrations {
		if c.targets[id] == nil {
			r.Drop = append(r.Drop, state.Registration{Service: id.Service, Name: id.Name, Incarnation: id.Incarnation})
		}
	}
	slices.SortFunc(r.Drop, func(a, b state.Registration) int { return a.ID().Compare(b.ID()) })
	for _, p := range r.Put {
		c.persistedRegistrations[p.ID()] = p
	}
	for _, p := range r.Drop {
		delete(c.persistedRegistrations, p.ID())
	}
}

// changedTombstones does the same for those that have no place: leaving when they fell silent, or gone.
func (c *Controller) changedTombstones(r *state.RegistryChange) {
	changed := func(id wire.TargetID, gone bool) {
		was, ok := c.persistedTombstones[id]
		if (!ok || was != gone) && (ok || len(c.persistedTombstones) < tuning.RegistryMax) {
			r.AddTombstones = append(r.AddTombstones, state.Tombstone{Service: id.Service, Name: id.Name, Incarnation: id.Incarnation, Gone: gone})
		}
	}
	for id := range c.leavingTargets {
		if c.tombstones[id] == 0 {
			changed(id, false)
		}
	}
	for id := range c.tombstones {
		changed(id, true)
	}
	slices.SortFunc(r.AddTombstones, func(a, b state.Tombstone) int { return a.ID().Compare(b.ID()) })
	r.AddTombstones = r.AddTombstones[:min(len(r.AddTombstones), tuning.RegistryBatch, max(1, tuning.RegistryMax-len(c.persistedTombstones)))]
	for id := range c.persistedTombstones {
		_, leaves := c.leavingTargets[id]
		if _, gone := c.tombstones[id]; !leaves && !gone {
			r.DropTombstones = append(r.DropTombstones, state.Tombstone{Service: id.Service, Name: id.Name, Incarnation: id.Incarnation})
		}
	}
	slices.SortFunc(r.DropTombstones, func(a, b state.Tombstone) int { return a.ID().Compare(b.ID()) })
	for _, m := range r.AddTombstones {
		c.persistedTombstones[m.ID()] = m.Gone
	}
	for _, m := range r.DropTombstones {
		delete(c.persistedTombstones, m.ID())
	}
}

// departureCommitted says that what is known of a target's leaving or sign-off is in the log. A
// registry that is full takes no more: then the proxies' tables alone vouch for it.
func (c *Controller) departureCommitted(id wire.TargetID) bool {
	mark, marked := c.state.Tombstone(id)
	full := len(c.state.Tombstones) >= tuning.RegistryMax || len(c.state.Registrations) >= tuning.RegistryMax
	t := c.targets[id]
	switch {
	case full:
		return true
	case c.tombstones[id] != 0:
		return marked && mark.Gone
	case t != nil && t.Draining:
		p, ok := c.state.Registration(id)
		return ok && p.Leaving
	case c.leavingTargets[id] != 0:
		return marked
	}
	return true
}
