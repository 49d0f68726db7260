package wire

import "cmp"

// TableKey identifies a table and orders tables: the one of the later epoch, then term, then version
// wins. It is the fencing token of the leader that made the table.
type TableKey struct {
	Epoch   uint64
	Term    uint64
	Version uint64 `json:"Ver"` // number of the table within the term
}

// Less reports whether k is the key of an earlier table than o.
func (k TableKey) Less(o TableKey) bool {
	return cmp.Or(cmp.Compare(k.Epoch, o.Epoch), cmp.Compare(k.Term, o.Term), cmp.Compare(k.Version, o.Version)) < 0
}

// Proxy is a proxy as a table lists it.
type Proxy struct {
	Name   string
	Addr   string // IP:port for messages between daemons
	Domain string
	Live   bool // it has pulled of late, and has its share of each target's cap
}

// Table is what proxies route by, as the leader made it: the configuration, the proxies and the
// targets. It is complete, or a delta to an earlier table.
type Table struct {
	Key             TableKey
	StateIndex      uint64   // log index of the replicated state that it is made from
	Revision        uint64   // of the configuration
	Document        []byte   // configuration as JSON, from Compress; empty if the receiver has Revision
	State           []byte   // state that proxies keep for disaster recovery, as package state encodes it; empty if the receiver has StateIndex
	Proxies         []Proxy  // proxy membership; empty in a delta: as before
	EmptiedDomains  []string // failure domains whose targets get no new requests
	Targets         []Target // in a delta: those that are new or changed
	PreviousProxies []string // proxies of the membership before, while this one is not in force at each of them
	// DeltaBase is set in a delta: it applies to any table of its term from this key on.
	DeltaBase      TableKey
	RemovedTargets []TargetID // in a delta: targets that are gone since DeltaBase
}

// Pull is a proxy's request for its table and lease, with what it has and what it observed of
// targets. Proxies without a leader send it to each other for peer leases.
type Pull struct {
	Self       Daemon        // the sender; without a name: as last sent, and Message.Disk identifies the process
	Key        TableKey      // of the table that the sender has
	Stats      []TargetStats // observed since the last pull
	Table      *Table        // the sender's own table, if a Push wanted it
	Revision   uint64        // of the configuration that the sender has: the push omits the document if it is the same
	StateIndex uint64        // of the state that the sender has: the push omits the state if it is the same
	WantTable  bool          // asks a peer for the decisions in its table, or for the table if it is later
}

// Push is the response to a Pull.
type Push struct {
	LeaseGranted bool       // the proxy has its lease, counted from when it sent the pull
	WantTable    bool       // the sender wants the proxy's table in its next pull
	Key          TableKey   // of the sender's latest table
	Table        *Table     // nil: the proxy has the latest one
	ProbeTargets []TargetID // targets that the proxy is to probe for the leader: indirect probes
}
