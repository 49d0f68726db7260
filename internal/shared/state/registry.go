// This file is the registry of targets as the members agree on it: which there are and where, which
// are leaving and which have left. It says nothing of ejections, health checks or heartbeats.

package state

import (
	"maps"
	"slices"

	"myrtlefold/internal/shared/wire"
)

// Registration is a registered target: one incarnation of it.
type Registration struct {
	Service     string `json:"s"`
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
	Addr        string `json:"a"`            // host:port that serves requests
	Domain      string `json:"d,omitempty"`  // failure domain
	Slots       uint32 `json:"sl,omitempty"` // requests that it works on at once, 0: not reported
	ShareOffset uint32 `json:"t,omitempty"`  // its offset where a quota is split among proxies
	WarmingUp   bool   `json:"c,omitempty"`  // it was warming up when this was written
	Leaving     bool   `json:"l,omitempty"`  // it announced that it will stop, and drains
}

// ID identifies the target's incarnation.
func (r Registration) ID() wire.TargetID {
	return wire.TargetID{Service: r.Service, Name: r.Name, Incarnation: r.Incarnation}
}

// Tombstone is kept of a target's incarnation that has no registration, so that its late heartbeats
// do not register it again as ready.
type Tombstone struct {
	Service     string `json:"s"`
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
	// Gone says that it signed off or was superseded by a later incarnation, and stays out. Else it
	// was leaving when its heartbeats ended, and drains again if it comes back.
	Gone bool `json:"g,omitempty"`
}

// ID identifies the target's incarnation.
func (t Tombstone) ID() wire.TargetID {
	return wire.TargetID{Service: t.Service, Name: t.Name, Incarnation: t.Incarnation}
}

// RegistryChange is a batch of changes of the registry, applied at once.
type RegistryChange struct {
	Put            []Registration `json:"put,omitempty"`    // added, or replaced by identity
	Drop           []Registration `json:"drop,omitempty"`   // removed; only their identities count
	AddTombstones  []Tombstone    `json:"mark,omitempty"`   // added, or replaced by identity
	DropTombstones []Tombstone    `json:"unmark,omitempty"` // removed; only their identities count
}

func (s *State) changeRegistry(change *RegistryChange) {
	if change == nil {
		return
	}
	s.Registrations = merged(s.Registrations, change.Put, change.Drop, Registration.ID)
	s.Tombstones = merged(s.Tombstones, change.AddTombstones, change.DropTombstones, Tombstone.ID)
}

// merged is a list without the dropped entries and with those put, sorted by identity. An entry that is
// both dropped and put is in it.
func merged[T any](list, put, drop []T, id func(T) wire.TargetID) []T {
	if len(put)+len(drop) == 0 {
		return list
	}
	entries := map[wire.TargetID]T{}
	for _, entry := range list {
		entries[id(entry)] = entry
	}
	for _, entry := range drop {
		delete(entries, id(entry))
	}
	for _, entry := range put {
		entries[id(entry)] = entry
	}
	return slices.SortedFunc(maps.Values(entries), func(a, b T) int { return id(a).Compare(id(b)) })
}

// Registration returns the registration of a target's incarnation, if it has one.
func (s *State) Registration(id wire.TargetID) (Registration, bool) {
	return find(s.Registrations, id, Registration.ID)
}

// Tombstone returns the tombstone of a target's incarnation, if it has one.
func (s *State) Tombstone(id wire.TargetID) (Tombstone, bool) {
	return find(s.Tombstones, id, Tombstone.ID)
}

// find returns the entry of an identity in a list that is sorted by it.
func find[T any](list []T, wanted wire.TargetID, id func(T) wire.TargetID) (entry T, found bool) {
	i, found := slices.BinarySearchFunc(list, wanted, func(entry T, wanted wire.TargetID) int { return id(entry).Compare(wanted) })
	if found {
		entry = list[i]
	}
	return entry, found
}
