package wire

// DaemonKind is the kind of a daemon. The texts stand on the wire, in stored data, in settings and
// in operators' calls.
type DaemonKind string

// The two kinds of daemons.
const (
	ControlDaemon DaemonKind = "core"
	ProxyDaemon   DaemonKind = "gate"
)

// Daemon describes a control daemon or a proxy, as it describes itself to others.
type Daemon struct {
	Name           string     `json:"name"`              // unique in the fleet
	Kind           DaemonKind `json:"kind"`              // control daemon or proxy
	Domain         string     `json:"domain"`            // failure domain (zone)
	Addr           string     `json:"addr"`              // IP:port for messages between daemons
	HTTP           string     `json:"http" capnp:"http"` // IP:port of its HTTP API
	Incarnation    uint64     `json:"incarnation"`       // random number of this start of the process
	Disk           uint64     `json:"-"`                 // number of its disk, 0 for a proxy
	Epoch          uint64     `json:"epoch"`             // bootstrap epoch that it belongs to, 0: none yet
	BootstrapLock  uint64     `json:"-"`                 // bootstrap offer that its disk is bound to, 0: none
	Ready          bool       `json:"ready"`             // a proxy: it serves callers; a member: it knows a leader
	State          string     `json:"state"`             // for operators: the member's role or the proxy's state
	BootstrapOffer uint64     `json:"-"`                 // bootstrap offer that it sees: a hash of the founders
}

// Hello is the message of discovery: the sender, the daemons that it knows of, and the leader.
type Hello struct {
	Self           Daemon   // the sender
	Daemons        []Daemon // other daemons that the sender knows of
	Reply          bool     // it answers another hello, and is not answered itself
	Leader         string   // the leader's name, "": none is known
	Term           uint64   // the leader's term
	RecoveredState []byte   // state that is kept for disaster recovery, from Compress
	Members        []Member // latest member list that the sender knows
	MembersEpoch   uint64   // epoch that Members is as of
	MembersIndex   uint64   // index in the log that Members is as of
	BootstrapEpoch uint64   // epoch that the sender's bootstrap lock is for
	// LostMembers and RecoveryConsent are an operator's consent to a disaster recovery: the members
	// whose disks are lost, and that it may begin.
	LostMembers     []string
	RecoveryConsent bool
}
