package wire

// DaemonKind is the kind of a daemon. The string values are part of the wire format, stored data,
// settings and the operators' API.
type DaemonKind string

// The two kinds of daemons.
const (
	ControlDaemon DaemonKind = "core" // member of the control plane
	ProxyDaemon   DaemonKind = "gate" // proxy of the data plane
)

// ProxyDeparted is the state of a proxy that has ended as planned, except that its process waits until the leader knows: it routes
// no more requests and grants no more leases.
const ProxyDeparted = "departed"

// Daemon describes a control daemon or a proxy. Each daemon sends its own description to the others.
type Daemon struct {
	Name           string     `json:"name"`              // unique in the fleet
	Kind           DaemonKind `json:"kind"`              // control daemon or proxy
	Domain         string     `json:"domain"`            // failure domain (zone)
	Addr           string     `json:"addr"`              // IP:port of its listener for messages between daemons
	HTTP           string     `json:"http" capnp:"http"` // IP:port of its HTTP API
	Incarnation    uint64     `json:"incarnation"`       // random number, new at each start of the process
	Disk           uint64     `json:"-"`                 // number that identifies its disk; 0 for a proxy
	Epoch          uint64     `json:"epoch"`             // bootstrap epoch that it belongs to; 0: not bootstrapped yet
	BootstrapLock  uint64     `json:"-"`                 // BootstrapOffer that it stored on its disk and is committed to; 0: none
	Ready          bool       `json:"ready"`             // for a proxy: it serves callers; for a member: it knows a leader
	State          string     `json:"state"`             // role of the member or state of the proxy, shown to operators
	BootstrapOffer uint64     `json:"-"`                 // hash of the founding members that it currently sees; 0: none
}

// Hello is a discovery message. It carries the sender, the daemons that it knows, and the leader.
type Hello struct {
	Self           Daemon   // the sender
	Daemons        []Daemon // other daemons that the sender knows of
	Reply          bool     // response to another hello; it gets no response itself
	Leader         string   // name of the leader; "": none is known
	Term           uint64   // term of the leader
	RecoveredState []byte   // copy of the replicated state, from which a bootstrap or a disaster recovery may begin; encoded by Compress
	Members        []Member // latest member list that the sender knows
	MembersEpoch   uint64   // bootstrap epoch of Members
	MembersIndex   uint64   // log index of Members
	BootstrapEpoch uint64   // epoch of the bootstrap that the sender is committed to
	// LostMembers and RecoveryConsent record an operator's consent to a disaster recovery: the members
	// whose disks are lost, and permission to start it.
	LostMembers     []string
	RecoveryConsent bool
}
