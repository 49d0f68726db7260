// Package state defines the replicated state of the control plane: its types, State.Apply, which applies committed
// log entries to it, and its encodings for the log, snapshots, disks and the copies that proxies store. The package
// does no I/O, has no clock and does not depend on consensus.
//
// Start with State in this file and State.Apply in apply.go. The JSON keys are part of stored data and of the wire
// protocol and must not change.
package state

import (
	"encoding/json"
	"slices"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// EmptyDocument is the configuration document at revision 0.
const EmptyDocument = `{}`

// State is the replicated state. A copy by value serves as a snapshot, since Apply replaces slices and does not
// modify their elements; only the map RemovedMembers is modified in place and shared by copies.
type State struct {
	// Recovered is true once the epoch has its first state. Until then the leader makes no decisions.
	Recovered bool `json:"adopted"`
	// Index is the log index of the last entry on which tables depend.
	Index uint64 `json:"seq"`
	// Revision is the number of the configuration; 0 is the empty one before any change.
	Revision uint64 `json:"revision"`
	// Document is the configuration at Revision.
	Document json.RawMessage `json:"doc"`
	// Records are the latest changes, the oldest first.
	Records []Record `json:"records,omitempty"`
	// Changes are the digests of accepted changes, which reach back much further than Records.
	Changes AcceptedChanges `json:"orders,omitzero"`
	// Proxies is the proxy membership, sorted by name.
	Proxies []ProxyEntry `json:"roster,omitempty"`
	// PreviousProxies are the names in the proxy membership before the last change, until that change is in force
	// everywhere; until then decisions need a majority of both memberships. Empty otherwise.
	PreviousProxies []string `json:"was,omitempty"`
	// DepartedProxies are those of PreviousProxies whose processes have ended as planned, sorted. Decisions don't need them.
	DepartedProxies []string `json:"departed,omitempty"`
	// ProxiesIndex is the log index of the last change of Proxies.
	ProxiesIndex uint64 `json:"roster_at,omitempty"`
	// EmptiedDomains are the names of the failure domains that get no new requests, sorted.
	EmptiedDomains []string `json:"emptied,omitempty"`
	// RemovedMembers maps the members that an operator removed to the log index of the removal.
	RemovedMembers map[string]uint64 `json:"out,omitempty"`
	// Members are the members with which the control plane could be recovered. They are set in proxies' copies only.
	Members []wire.Member `json:"members,omitempty"`
	// Registrations are the registered targets, sorted by identity. They are not in proxies' copies, since
	// proxies have the targets in their tables.
	Registrations []Registration `json:"places,omitempty"`
	// Tombstones are the targets that were leaving or have left, sorted by identity. They are not in proxies' copies.
	Tombstones []Tombstone `json:"marks,omitempty"`
}

// ProxyEntry is a proxy in the proxy membership.
type ProxyEntry struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`   // host:port for connections from other daemons
	Domain string `json:"domain"` // failure domain
}

// New returns the state before the first log entry.
func New() State {
	return State{Document: json.RawMessage(EmptyDocument), RemovedMembers: map[string]uint64{}}
}

// EncodeForProxies encodes, in JSON, the copy of the state that proxies store for disaster recovery. It includes the
// current members. It lacks the configuration and the targets, which tables carry separately, and the documents of
// past changes.
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

// ProxyNames returns the names in the proxy membership, sorted.
func (s *State) ProxyNames() []string {
	var names []string
	for _, proxy := range s.Proxies {
		names = append(names, proxy.Name)
	}
	return names
}
