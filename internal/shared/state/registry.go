// This file is the registry of targets as the members agree on it: which there are and where, who
// said that it leaves, who signed off. It says nothing of ejections, health checks or heartbeats.

package state

import (
	"maps"
	"slices"

	"myrtlefold/internal/shared/wire"
)

// Registration is a target in the agreed registry.
type Registration struct {
	Service     string `json:"s"`
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
	Addr        string `json:"a"`
	Domain      string `json:"d,omitempty"`
	Slots       uint32 `json:"sl,omitempty"`
	ShareOffset uint32 `json:"t,omitempty"`
	WarmingUp   bool   `json:"c,omitempty"` // it said so when this was written
	Leaving     bool   `json:"l,omitempty"`
}

// ID names the target's start.
func (p Registration) ID() wire.TargetID {
	return wire.TargetID{Service: p.Service, Name: p.Name, Incarnation: p.Incarnation}
}

// Tombstone is what is remembered of a target without a registration: that it was leaving when it
// fell silent, or, Gone, that it signed off or was superseded.
type Tombstone struct {
	Service     string `json:"s"`
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
	SignedOff   bool   `json:"g,omitempty"`
}

// ID names the target's start.
func (m Tombstone) ID() wire.TargetID {
	return wire.TargetID{Service: m.Service, Name: m.Name, Incarnation: m.Incarnation}
}

// RegistryChange is a batch of changes.
type RegistryChange struct {
	Put            []Registration `json:"put,omitempty"`
	Drop           []Registration `json:"drop,omitempty"` // by identity alone
	AddTombstones  []Tombstone    `json:"mark,omitempty"`
	DropTombstones []Tombstone    `json:"unmark,omitempty"`
}

func (s *State) register(r *RegistryChange) {
	if r != nil {
		s.Registrations = merged(s.Registrations, r.Put, r.Drop, Registration.ID)
		s.Tombstones = merged(s.Tombstones, r.AddTombstones, r.DropTombstones, Tombstone.ID)
	}
}

// merged is a sorted list with some put in, in the place of their like, and some taken out.
func merged[T any](l, put, drop []T, id func(T) wire.TargetID) []T {
	if len(put)+len(drop) == 0 {
		return l
	}
	m := map[wire.TargetID]T{}
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

// Registration returns what is agreed of a target's start, if it is registered.
func (s *State) Registration(id wire.TargetID) (Registration, bool) {
	return found(s.Registrations, id, Registration.ID)
}

// Tombstone returns what is remembered of a target's start without a registration.
func (s *State) Tombstone(id wire.TargetID) (Tombstone, bool) {
	return found(s.Tombstones, id, Tombstone.ID)
}

func found[T any](l []T, at wire.TargetID, id func(T) wire.TargetID) (v T, ok bool) {
	i, ok := slices.BinarySearchFunc(l, at, func(v T, at wire.TargetID) int { return id(v).Compare(at) })
	if ok {
		v = l[i]
	}
	return v, ok
}
