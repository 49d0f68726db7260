// This file has the commands that the log's entries hold.

package state

import "encoding/json"

// Operation is what a Command does. The texts stand in the log.
type Operation string

// The operations.
const (
	OpConfigure       Operation = "config"   // replaces the configuration
	OpEmptyDomain     Operation = "empty"    // a failure domain gets no new requests
	OpRestoreDomain   Operation = "restore"  // a failure domain gets new requests again
	OpChangeProxies   Operation = "roster"   // the leader adds and removes proxies
	OpProxiesInForce  Operation = "enrolled" // the last change of proxies is in force everywhere
	OpForgetProxy     Operation = "forget"   // an operator removes a proxy
	OpRemoveMember    Operation = "out"      // an operator removes a member of the control plane
	OpAddMember       Operation = "in"       // an operator adds a member, also one that was removed
	OpRecover         Operation = "adopt"    // an epoch's first state, recovered from an earlier epoch
	OpRegisterTargets Operation = "targets"  // a batch of changes of the registry of targets
)

// Command is the content of a log entry: an operation with its arguments. A field that no operation
// is named for belongs to all changes that operators ask for.
type Command struct {
	// Operation says which of the other fields count.
	Operation Operation `json:"op"`
	// Token is the operator's id of the change, "" for the leader's own commands. A command whose
	// token has been applied before does nothing.
	Token string `json:"token,omitempty"`
	// Base is the revision that a configuration was built on, or, with OpProxiesInForce, the log
	// index of the change of proxies.
	Base uint64 `json:"base,omitempty"`
	// Document is the configuration of an OpConfigure.
	Document json.RawMessage `json:"doc,omitempty"`
	// Description says to people what the change does; "" stands for the operation and its name.
	Description string `json:"what,omitempty"`
	// Name is the failure domain, proxy or member that the operation is about.
	Name string `json:"name,omitempty"`
	// Proxies are the proxies that an OpChangeProxies adds or replaces, by name.
	Proxies []ProxyEntry `json:"gates,omitempty"`
	// RemovedProxies are the names of those that it removes.
	RemovedProxies []string `json:"gone,omitempty"`
	// State is the encoded first state of an OpRecover.
	State json.RawMessage `json:"state,omitempty"`
	// RequestedRevision is the operator's own number for a configuration, 0: the next one.
	RequestedRevision uint64 `json:"rev,omitempty"`
	// Digest stands for a change of the configuration as it was asked for.
	Digest *ChangeDigest `json:"sum,omitempty"`
	// Targets is the batch of an OpRegisterTargets.
	Targets *RegistryChange `json:"reg,omitempty"`
}
