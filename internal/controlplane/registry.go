// This file is the registry of targets as the members agree on it: which there are and
// where, who said that it leaves, who signed off. It is written in batches and says
// nothing of ejections, probes or beats. A leader that finds no proxy with a table, as after
// a loss of all processes, begins from it; what it says is hearsay until a target has
// answered this leader. A leaving or a sign-off is acknowledged only once it is in here.

package controlplane

import (
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Registration is a target in the agreed registry.
type Registration struct {
	Service string `json:"s"`
	Name    string `json:"n"`
	Inc     uint64 `json:"i"`
	Addr    string `json:"a"`
	Domain  string `json:"d,omitempty"`
	Slots   uint32 `json:"sl,omitempty"`
	Turn    uint32 `json:"t,omitempty"`
	Cold    bool   `json:"c,omitempty"` // it said so when this was written
	Leaving bool   `json:"l,omitempty"`
}

// ID names the target's start.
func (p Registration) ID() wire.ID { return wire.ID{Service: p.Service, Name: p.Name, Inc: p.Inc} }

// Tombstone is what is remembered of a target without a registration: that it was leaving when it
// fell silent, or, Gone, that it signed off or was superseded.
type Tombstone struct {
	Service string `json:"s"`
	Name    string `json:"n"`
	Inc     uint64 `json:"i"`
	Gone    bool   `json:"g,omitempty"`
}

// ID names the target's start.
func (m Tombstone) ID() wire.ID { return wire.ID{Service: m.Service, Name: m.Name, Inc: m.Inc} }

// registry is a batch of changes.
type registry struct {
	Put    []Registration `json:"put,omitempty"`
	Drop   []Registration `json:"drop,omitempty"` // by identity alone
	Mark   []Tombstone    `json:"mark,omitempty"`
	Unmark []Tombstone    `json:"unmark,omitempty"`
}

func (s *State) register(r *registry) {
	if r != nil {
		s.Registrations = merged(s.Registrations, r.Put, r.Drop, Registration.ID)
		s.Tombstones = merged(s.Tombstones, r.Mark, r.Unmark, Tombstone.ID)
	}
}

// merged is a sorted list with some put in, in the place of their like, and some taken out.
func merged[T any](l, put, drop []T, id func(T) wire.ID) []T {
	if len(put)+len(drop) == 0 {
		return l
	}
	m := map[wire.ID]T{}
	for _, v := range l {
		m[id(v)] = v
	}
	for _, v := range drop {
		delete(m, id(v))
	}
	for _, v := range put {
		m[id(v)] = v
	}
	return slices.SortedFunc(maps.Values(m), func(a, b T) int { return id(a).Compare(id(b)) })
}

func found[T any](l []T, at wire.ID, id func(T) wire.ID) (v T, ok bool) {
	i, ok := slices.BinarySearchFunc(l, at, func(v T, at wire.ID) int { return id(v).Compare(at) })
	if ok {
		v = l[i]
	}
	return v, ok
}

// recollect begins a lead with the targets that are agreed.
func (c *Core) loadRegistrations(now time.Duration) {
	c.persistedRegistrations, c.persistedTombstones = map[wire.ID]Registration{}, map[wire.ID]bool{}
	for _, m := range c.state.Tombstones {
		c.persistedTombstones[m.ID()] = m.Gone
		if m.Gone {
			c.tombstones[m.ID()] = now
		} else {
			c.leaving[m.ID()] = now
		}
	}
	for _, p := range c.state.Registrations {
		c.persistedRegistrations[p.ID()] = p
		t := &target{Target: wire.Target{Service: p.Service, Name: p.Name, Inc: p.Inc, Addr: p.Addr, Domain: p.Domain, State: config.Warming, Slots: p.Slots, Turn: p.Turn},
			unconfirmed: true, beatAt: now - tuning.BeatLapse/2, aliveAt: now, seenAt: now,
			probeAt: now - tuning.ProbeEvery}
		if p.Leaving {
			t.Held, t.State = true, config.Leaving
		}
		if p.Cold {
			svc := c.cfg.Services[p.Service]
			t.coldTill = now + svc.Cold()
		}
		c.targets[p.ID()] = t
		c.markCold(t)
		c.lastTurn[p.Service] = max(c.lastTurn[p.Service], p.Turn)
		c.turnByName[[2]string{p.Service, p.Name}] = p.Turn
	}
}

// persistRegistrations writes what has changed since, if the last write is long enough ago. Who
// is known by hearsay is written only when it leaves.
func (c *Core) persistRegistrations(now, every time.Duration) {
	if now-c.persistedAt < every && !(c.persistNow && now-c.persistedAt >= tuning.TickEvery) || c.node.UncommittedBytes() > tuning.OpenBytes/4 {
		return
	}
	r := registry{}
	c.changedRegistrations(now, &r)
	c.changedTombstones(&r)
	if len(r.Put)+len(r.Drop)+len(r.Mark)+len(r.Unmark) == 0 {
		return
	}
	c.persistedAt, c.persistNow = now, false
	c.propose(now, command{Op: "targets", Reg: &r})
}

// changedRegistrations adds to a write the targets that are not in the log as they are now. It is
// called at each tick, so it sorts only what has changed.
func (c *Core) changedRegistrations(now time.Duration, r *registry) {
	for id, t := range c.targets {
		p := Registration{id.Service, id.Name, id.Inc, t.Addr, t.Domain, t.Slots, t.Turn, t.coldLeft(now) > 0, t.Held}
		was, ok := c.persistedRegistrations[id]
		if ok && was == p || !ok && (t.unconfirmed && !t.Held || len(c.persistedRegistrations) >= tuning.RegistryMax) {
			continue
		}
		r.Put = append(r.Put, p)
	}
	slices.SortFunc(r.Put, func(a, b Registration) int { return a.ID().Compare(b.ID()) })
	r.Put = r.Put[:min(len(r.Put), tuning.RegistryBatch, max(1, tuning.RegistryMax-len(c.persistedRegistrations)))]
	for id := range c.persistedRegistrations {
		if c.targets[id] == nil {
			r.Drop = append(r.Drop, Registration{Service: id.Service, Name: id.Name, Inc: id.Inc})
		}
	}
	slices.SortFunc(r.Drop, func(a, b Registration) int { return a.ID().Compare(b.ID()) })
	for _, p := range r.Put {
		c.persistedRegistrations[p.ID()] = p
	}
	for _, p := range r.Drop {
		delete(c.persistedRegistrations, p.ID())
	}
}

// changedTombstones does the same for those that have no place: leaving when they fell silent, or gone.
func (c *Core) changedTombstones(r *registry) {
	changed := func(id wire.ID, gone bool) {
		was, ok := c.persistedTombstones[id]
		if (!ok || was != gone) && (ok || len(c.persistedTombstones) < tuning.RegistryMax) {
			r.Mark = append(r.Mark, Tombstone{id.Service, id.Name, id.Inc, gone})
		}
	}
	for id := range c.leaving {
		if c.tombstones[id] == 0 {
			changed(id, false)
		}
	}
	for id := range c.tombstones {
		changed(id, true)
	}
	slices.SortFunc(r.Mark, func(a, b Tombstone) int { return a.ID().Compare(b.ID()) })
	r.Mark = r.Mark[:min(len(r.Mark), tuning.RegistryBatch, max(1, tuning.RegistryMax-len(c.persistedTombstones)))]
	for id := range c.persistedTombstones {
		_, leaves := c.leaving[id]
		if _, gone := c.tombstones[id]; !leaves && !gone {
			r.Unmark = append(r.Unmark, Tombstone{Service: id.Service, Name: id.Name, Inc: id.Inc})
		}
	}
	slices.SortFunc(r.Unmark, func(a, b Tombstone) int { return a.ID().Compare(b.ID()) })
	for _, m := range r.Mark {
		c.persistedTombstones[m.ID()] = m.Gone
	}
	for _, m := range r.Unmark {
		delete(c.persistedTombstones, m.ID())
	}
}

// agreed says that what is known of a target's leaving or sign-off is in the log. A
// registry that is full takes no more: then the proxies' tables alone vouch for it.
func (c *Core) agreed(id wire.ID) bool {
	mark, marked := found(c.state.Tombstones, id, Tombstone.ID)
	full := len(c.state.Tombstones) >= tuning.RegistryMax || len(c.state.Registrations) >= tuning.RegistryMax
	t := c.targets[id]
	switch {
	case full:
		return true
	case c.tombstones[id] != 0:
		return marked && mark.Gone
	case t != nil && t.Held:
		p, ok := found(c.state.Registrations, id, Registration.ID)
		return ok && p.Leaving
	case c.leaving[id] != 0:
		return marked
	}
	return true
}
