package state

import "encoding/json"

// Operation is the kind of a Command. Its values are stored in the log.
type Operation string

// Operations of commands.
const (
	OpConfigure       Operation = "config"   // replaces the configuration
	OpEmptyDomain     Operation = "empty"    // stops new requests to a failure domain
	OpRestoreDomain   Operation = "restore"  // allows new requests to a failure domain again
	OpChangeProxies   Operation = "roster"   // adds and removes proxies, decided by the leader
	OpProxiesInForce  Operation = "enrolled" // confirms that the last change of proxies is in force everywhere
	OpForgetProxy     Operation = "forget"   // removes a proxy whose process is off, according to an operator
	OpRemoveMember    Operation = "out"      // removes a member of the control plane, requested by an operator
	OpAddMember       Operation = "in"       // adds a member or readmits a removed one, requested by an operator
	OpRecover         Operation = "adopt"    // sets an epoch's first state, recovered from an earlier epoch
	OpRegisterTargets Operation = "targets"  // applies a batch of changes to the target registry
)

// Command is the content of a log entry: an operation and its arguments. Fields whose comment names an
// operation are set for that operation only.
type Command struct {
	// Operation determines which of the other fields are used.
	Operation Operation `json:"op"`
	// Token is the operator's id of the change, "" for the leader's own commands. A command whose token was
	// applied before has no effect.
	Token string `json:"token,omitempty"`
	// Base is the revision on which a configuration is based or, with OpProxiesInForce, the log index of the
	// change of proxies.
	Base uint64 `json:"base,omitempty"`
	// Document is the new configuration of an OpConfigure.
	Document json.RawMessage `json:"doc,omitempty"`
	// Description describes the change in human-readable form. Default: "", which stands for operation and name.
	Description string `json:"what,omitempty"`
	// Name is the name of the failure domain, proxy or member to which the operation applies.
	Name string `json:"name,omitempty"`
	// Proxies are the proxies that an OpChangeProxies adds, or replaces by name.
	Proxies []ProxyEntry `json:"gates,omitempty"`
	// RemovedProxies are the names of the proxies that an OpChangeProxies removes.
	RemovedProxies []string `json:"gone,omitempty"`
	// DepartedProxies are those of RemovedProxies whose processes have ended as planned: they neither serve nor grant leases
	// any more, and a later process of that name has to be added again before it may.
	DepartedProxies []string `json:"departed,omitempty"`
	// State is the encoded state of an OpRecover.
	State json.RawMessage `json:"state,omitempty"`
	// RequestedRevision is the operator's number for the configuration of an OpConfigure, 0 for the next one.
	RequestedRevision uint64 `json:"rev,omitempty"`
	// Digest identifies the change of an OpConfigure as the operator requested it, nil if it has no digest.
	Digest *ChangeDigest `json:"sum,omitempty"`
	// Targets is the batch of an OpRegisterTargets.
	Targets *RegistryChange `json:"reg,omitempty"`
}
