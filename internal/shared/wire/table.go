package wire

import "cmp"

// TableKey identifies a table and orders tables by epoch, then term, then version. A table replaces only tables with
// lower keys.
// It serves as a fencing token against tables of a deposed leader.
type TableKey struct {
	Epoch   uint64 // bootstrap epoch
	Term    uint64 // term of the leader that made the table
	Version uint64 `json:"Ver"` // sequence number of the table within the term
}

// Less reports whether k identifies an earlier table than o.
func (k TableKey) Less(o TableKey) bool {
	return cmp.Or(cmp.Compare(k.Epoch, o.Epoch), cmp.Compare(k.Term, o.Term), cmp.Compare(k.Version, o.Version)) < 0
}

// Proxy is an entry of a table's proxy list.
type Proxy struct {
	Name   string
	Addr   string // IP:port for messages between daemons
	Domain string // failure domain (zone)
	Live   bool   // it has pulled recently, so it gets a share of each target's cap
}

// Table is the routing table that the leader distributes to the proxies: the configuration, the proxies
// and the targets. It is either complete or a delta to an earlier table.
type Table struct {
	Key             TableKey
	StateIndex      uint64   // log index of the replicated state that it was built from
	Revision        uint64   // revision of the configuration
	Document        []byte   // configuration as JSON, encoded by Compress; empty if the receiver already has Revision
	State           []byte   // state that proxies keep for disaster recovery, as encoded by package state; empty if the receiver already has StateIndex
	Proxies         []Proxy  // proxy membership; empty in a delta if it is unchanged
	EmptiedDomains  []string // failure domains whose targets get no new requests
	Targets         []Target // in a delta: only new and changed targets
	PreviousProxies []string // names of the proxies in the previous membership; empty once the current one is in force at all of them
	// DepartedProxies are those of PreviousProxies whose processes have ended as planned. No majority needs them any more.
	DepartedProxies []string
	// DeltaBase is set in a delta, which applies to any table of its term with this key or a later one.
	DeltaBase      TableKey
	RemovedTargets []TargetID // in a delta: targets that were removed since DeltaBase
}

// Pull is a proxy's request for its table and lease. It reports the table that the proxy has and the
// statistics that it observed for targets. Proxies without a leader send pulls to each other to obtain peer
// leases.
type Pull struct {
	Self       Daemon        // the sender; an empty name means unchanged since the last pull, and Message.Disk identifies the process
	Key        TableKey      // key of the table that the sender has
	Stats      []TargetStats // statistics since the last pull
	Table      *Table        // the sender's own table, if a Push set WantTable
	Revision   uint64        // revision of the configuration that the sender has; the push omits the document if it is unchanged
	StateIndex uint64        // log index of the state that the sender has; the push omits the state if it is unchanged
	WantTable  bool          // asks a peer for the decisions in its table, or for the whole table if it is later
}

// Push is the response to a Pull.
type Push struct {
	LeaseGranted bool       // the proxy's lease is granted or renewed, starting from the time it sent the pull
	WantTable    bool       // asks the proxy to include its table in the next pull
	Key          TableKey   // key of the sender's latest table
	Table        *Table     // nil: the proxy already has the latest one
	ProbeTargets []TargetID // targets that the proxy probes on behalf of the leader (indirect probes)
}
