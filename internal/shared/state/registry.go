package state

// The replicated target registry holds the registered targets with their addresses, and which targets are leaving or
// have left. Ejections, health checks and heartbeats are not part of it.

import (
	"maps"
	"slices"

	"myrtlefold/internal/shared/wire"
)

// Registration is one registered incarnation of a target.
type Registration struct {
	Service     string `json:"s"`
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
	Addr        string `json:"a"`            // host:port for requests
	Domain      string `json:"d,omitempty"`  // failure domain, "" if unknown
	Slots       uint32 `json:"sl,omitempty"` // requests that it processes concurrently, 0 if not reported
	ShareOffset uint32 `json:"t,omitempty"`  // serial number within its service, used to split caps among proxies
	WarmingUp   bool   `json:"c,omitempty"`  // it was warming up when the registration was written
	Leaving     bool   `json:"l,omitempty"`  // it announced its shutdown and drains
}

// ID identifies the target's incarnation.
func (r Registration) ID() wire.TargetID {
	return wire.TargetID{Service: r.Service, Name: r.Name, Incarnation: r.Incarnation}
}

// Tombstone marks an incarnation of a target that is no longer registered, so that its late heartbeats do not
// register it again as ready.
type Tombstone struct {
	Service     string `json:"s"`
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
	// Gone is true if the target signed off or was superseded by a later incarnation: it must not be registered
	// again. False means that it was leaving when its heartbeats stopped: if they resume, it drains again.
	Gone bool `json:"g,omitempty"`
}

// ID identifies the target's incarnation.
func (t Tombstone) ID() wire.TargetID {
	return wire.TargetID{Service: t.Service, Name: t.Name, Incarnation: t.Incarnation}
}

// RegistryChange is a batch of changes to the registry, applied atomically.
type RegistryChange struct {
	Put            []Registration `json:"put,omitempty"`    // to add, or to replace by identity
	Drop           []Registration `json:"drop,omitempty"`   // to remove; only their identities are used
	AddTombstones  []Tombstone    `json:"mark,omitempty"`   // to add, or to replace by identity
	DropTombstones []Tombstone    `json:"unmark,omitempty"` // to remove; only their identities are used
}

func (s *State) changeRegistry(change *RegistryChange) {
	if change == nil {
		return
	}
	s.Registrations = merged(s.Registrations, change.Put, change.Drop, Registration.ID)
	s.Tombstones = merged(s.Tombstones, change.AddTombstones, change.DropTombstones, Tombstone.ID)
}

// merged returns a copy of list without the entries in drop and with those in put, sorted by identity. An entry
// in both drop and put is part of the result.
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

// Registration returns the registration of a target's incarnation, false if there is none.
func (s *State) Registration(id wire.TargetID) (Registration, bool) {
	return find(s.Registrations, id, Registration.ID)
}

// Tombstone returns the tombstone of a target's incarnation, false if there is none.
func (s *State) Tombstone(id wire.TargetID) (Tombstone, bool) {
	return find(s.Tombstones, id, Tombstone.ID)
}

// find returns the entry with an identity from a list that is sorted by identity.
func find[T any](list []T, wanted wire.TargetID, id func(T) wire.TargetID) (entry T, found bool) {
	i, found := slices.BinarySearchFunc(list, wanted, func(entry T, wanted wire.TargetID) int { return id(entry).Compare(wanted) })
	if found {
		entry = list[i]
	}
	return entry, found
}
