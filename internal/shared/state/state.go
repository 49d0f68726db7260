// Package state is the durable state that the members of the control plane agree on: its types, the
// one function that changes it by a committed log entry (State.Apply), and its form in the log, in
// snapshots, on disk and in what proxies store. It knows nothing of consensus, time or I/O.
//
// Begin with State in this file and State.Apply in apply.go. The names of JSON keys stand in stored
// data and on the wire, so they keep the form that they have.
package state

import (
	"encoding/json"
	"slices"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// EmptyDocument is the configuration at revision 0.
const EmptyDocument = `{}`

// State is what the members agree on. A copy by value is a snapshot: Apply replaces slices and does
// not write into them. RemovedMembers alone is changed in place.
type State struct {
	// Recovered says that the epoch has its first state; until then the leader decides nothing.
	Recovered bool `json:"adopted"`
	// Index is the log index of the last entry that tables depend on.
	Index uint64 `json:"seq"`
	// Revision numbers the configuration: 0 is the empty one before any change.
	Revision uint64 `json:"revision"`
	// Document is the configuration at Revision.
	Document json.RawMessage `json:"doc"`
	// Records are the latest changes, the oldest first.
	Records []Record `json:"records,omitempty"`
	// Changes says which changes were accepted, far beyond what Records holds.
	Changes AcceptedChanges `json:"orders,omitzero"`
	// Proxies is the proxy membership, sorted by name.
	Proxies []ProxyEntry `json:"roster,omitempty"`
	// PreviousProxies names the proxy membership before the last change, while that change is not
	// in force everywhere: until then a majority of both is needed.
	PreviousProxies []string `json:"was,omitempty"`
	// ProxiesIndex is the log index of the last change of Proxies.
	ProxiesIndex uint64 `json:"roster_at,omitempty"`
	// EmptiedDomains are the failure domains that get no new requests, sorted.
	EmptiedDomains []string `json:"emptied,omitempty"`
	// RemovedMembers has the members that an operator removed, with the log index of the removal.
	RemovedMembers map[string]uint64 `json:"out,omitempty"`
	// Members is set in proxies' copies only: the members that a control plane could be recovered with.
	Members []wire.Member `json:"members,omitempty"`
	// Registrations are the registered targets, sorted by identity. Proxies' copies lack them, since
	// their tables have the targets.
	Registrations []Registration `json:"places,omitempty"`
	// Tombstones are the targets that were leaving or have left, sorted by identity.
	Tombstones []Tombstone `json:"marks,omitempty"`
}

// ProxyEntry is a proxy in the proxy membership.
type ProxyEntry struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`   // host:port of the daemons' transport
	Domain string `json:"domain"` // failure domain
}

// New is the state before the first log entry.
func New() State {
	return State{Document: json.RawMessage(EmptyDocument), RemovedMembers: map[string]uint64{}}
}

// EncodeForProxies is the state as proxies store it, in JSON: with the members of the time, and
// without the configuration and the targets, which travel beside it, and the texts of past changes.
func (s *State) EncodeForProxies(members []wire.Member) []byte {
	stored := *s
	stored.Document, stored.Members, stored.Registrations, stored.Tombstones = nil, members, nil, nil
	stored.Changes = s.Changes.latest(tuning.AcceptedChangesInTables)
	stored.Records = slices.Clone(s.Records)
	for i := range stored.Records {
		stored.Records[i].Document = nil
	}
	text, _ := json.Marshal(stored)
	return text
}

// ProxyNames are the names in the proxy membership, in its order.
func (s *State) ProxyNames() []string {
	var names []string
	for _, proxy := range s.Proxies {
		names = append(names, proxy.Name)
	}
	return names
}
