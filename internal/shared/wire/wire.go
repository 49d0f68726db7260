// Package wire is the language the daemons speak among themselves: plain Go
// structs that travel as Cap'n Proto messages (schema in msg.capnp, generated
// code in msg.capnp.go) behind a four-byte length. Owners and the simulator
// handle only the Go structs; encoding happens at the edge of a process.
package wire

import "cmp"

// Kind tells which part of a Msg is set.
type Kind uint16

// The kinds of messages.
const (
	KindHello     Kind = iota + 1 // discovery: who is there and who leads
	KindVote                      // election: a request for a vote, or the answer
	KindAppend                    // replication: heartbeat and log entries, or the answer
	KindPull                      // a proxy asks for its table and lease
	KindPush                      // the answer to a pull
	KindHeartbeat                 // a target's heartbeat, passed on by a proxy
	KindCall                      // a call to the leader that another member passes on, or the answer
)

// kindNames are the names of the kinds of messages, for reports.
var kindNames = map[Kind]string{KindHello: "hello", KindVote: "vote", KindAppend: "append", KindPull: "pull", KindPush: "push", KindHeartbeat: "beat", KindCall: "ask"}

func (k Kind) String() string { return kindNames[k] }

// Message is one message between daemons. Exactly the part of its Kind is set.
type Message struct {
	Kind      Kind
	From      string // the sender's name
	To        string // the receiver's name; not sent, since a connection has one receiver
	Disk      uint64 // the sender's disk (a member), or the incarnation of the proxy that a pull or its answer is of
	Epoch     uint64 // how often the core was founded, as the sender knows it
	Term      uint64 // the sender's election term
	Timestamp int64  // the sender's clock in ns, which an answer repeats
	Hello     *Hello
	Vote      *Vote
	Append    *Append
	Pull      *Pull
	Push      *Push
	Heartbeat *Target
	Call      *Call
}

// DaemonKind says which of the two daemons one is. The texts stand on the wire, in stored data, in
// settings and in operators' calls.
type DaemonKind string

// The two kinds of daemons.
const (
	ControlDaemon DaemonKind = "core"
	ProxyDaemon   DaemonKind = "gate"
)

// Daemon is what a control daemon or a proxy says of itself.
type Daemon struct {
	Name           string     `json:"name"`
	Kind           DaemonKind `json:"kind"`
	Domain         string     `json:"domain"`            // failure domain (zone)
	Addr           string     `json:"addr"`              // IP:port for messages between daemons
	HTTP           string     `json:"http" capnp:"http"` // IP:port of its HTTP API
	Incarnation    uint64     `json:"incarnation"`
	Disk           uint64     `json:"-"` // the number of its disk; 0 for a proxy
	Epoch          uint64     `json:"epoch"`
	BootstrapLock  uint64     `json:"-"` // the bootstrap offer that its disk is bound to, 0: none
	Ready          bool       `json:"ready"`
	State          string     `json:"state"`
	BootstrapOffer uint64     `json:"-"` // the bootstrap offer that it sees, a hash of the founders
}

// Hello is discovery: each daemon tells the others of itself and of whom it knows.
type Hello struct {
	Self           Daemon
	Daemons        []Daemon
	Reply          bool
	Leader         string // the leader's name, "": none is known
	Term           uint64 // the leader's term
	RecoveredState []byte // state that is remembered for disaster recovery, compressed if it is long
	// Members are the latest list that the sender knows, as of an epoch and an index in its log.
	Members      []Member
	MembersEpoch uint64
	MembersIndex uint64
	// BootstrapEpoch is the epoch that the sender's lock stands for. Gone and Refound are an operator's
	// consent to a disaster recovery: the members whose disks are lost, and that it may begin.
	BootstrapEpoch  uint64
	LostMembers     []string
	RecoveryConsent bool
}

// Vote is a request for a vote, or the answer to one.
type Vote struct {
	PreVote   bool // a pre-vote, which changes nobody's term
	Reply     bool
	Granted   bool
	LastIndex uint64 // of the candidate's last log entry
	LastTerm  uint64
	Transfer  bool // the leader has asked the candidate to take over, so members don't wait for it
	Unanimous bool // the candidate leads only with the votes of all members, and need not wait then
	NoLeader  bool // in an answer: this member hears no leader
}

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  uint16 // what Data is, by package consensus
	Data  []byte
}

// Member is a voting member or learner of the core. A daemon on a new disk is another member.
type Member struct {
	Name string `json:"name"`
	Disk uint64 `json:"disk"`
}

// Snapshot is a snapshot: the state after the log's entry Index, in place of all entries up to it.
type Snapshot struct {
	Index   uint64
	Term    uint64 // of the entry Index
	Members []Member
	Data    []byte
}

// Append is a leader's heartbeat with the log entries or the snapshot that a member lacks, or the
// answer to one.
type Append struct {
	Reply      bool
	Success    bool   // in an answer: the entries were taken
	PrevIndex  uint64 // the entry before Entries, which the member must have
	PrevTerm   uint64
	Commit     uint64 // up to which index entries are committed
	MatchIndex uint64 // in an answer: up to which index the member's log equals the leader's
	Entries    []Entry
	Chunk      *Chunk
}

// Chunk is a part of a snapshot, or of one log entry that is too large for one message. In a
// reply it says how much of it the receiver holds: Offset bytes, without Data.
type Chunk struct {
	IsEntry  bool // of a log entry, else of a snapshot
	Index    uint64
	Term     uint64
	Kind     uint16   // of the entry
	Members  []Member // of the snapshot
	Size     uint64   // of the whole, in bytes
	Checksum uint64   // of the whole: FNV-1a, 64 bits
	Offset   uint64   // of Data in the whole, in bytes
	Data     []byte
}

// BeginsSnapshot says that this is a snapshot's first piece.
func (p *Chunk) BeginsSnapshot() bool { return p != nil && !p.IsEntry && p.Offset == 0 }

// TargetState is what a target says of its life. The texts stand on the wire, in stored data and in targets' reports.
type TargetState string

// States of a target, in the only order in which they follow each other.
const (
	TargetWarming TargetState = "warming" // it has started, and takes few requests
	TargetReady   TargetState = "ready"   // it takes requests
	TargetLeaving TargetState = "leaving" // it finishes the requests that it has, and takes no others
	TargetGone    TargetState = "gone"    // it has ended
)

// Target is a back end as the daemons know it; its identity is the first four
// fields. Held (draining), BarLeft (ejection) and Pending are decisions and travel in tables only.
type Target struct {
	Service      string      `json:"service"`
	Name         string      `json:"name"`
	Incarnation  uint64      `json:"incarnation"`
	Addr         string      `json:"address"`
	Domain       string      `json:"domain,omitempty"`
	State        TargetState `json:"state"`
	Demand       float64     `json:"demand,omitempty"`
	HasDemand    bool        `json:"-"`
	Draining     bool        `json:"held"`                   // gets no new requests until a policy clears it
	EjectionLeft int64       `json:"bar_left_ns,omitempty"`  // of its ejection
	EjectedBy    string      `json:"bar_why,omitempty"`      // the policy that ejected it
	Pending      bool        `json:"pending,omitempty"`      // gets no requests until it is confirmed
	Heartbeating bool        `json:"beating"`                // its heartbeats arrive
	ShareOffset  uint32      `json:"-"`                      // its place where caps are split among proxies
	Slots        uint32      `json:"slots,omitempty"`        // requests that it works on at once, 0: not said
	WarmupLeft   int64       `json:"cold_left_ns,omitempty"` // how much longer it bears only its service's cold rate
	Number       uint64      `json:"number,omitempty"`       // its heartbeat's number, which rises with each; 0: not numbered
}

// TargetID is a target's identity; a restarted target has a higher incarnation.
type TargetID struct {
	Service, Name string
	Incarnation   uint64
}

// Compare orders identities, so that owners go through targets the same way in every run.
func (a TargetID) Compare(b TargetID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// ID returns the target's identity.
func (t *Target) ID() TargetID { return TargetID{t.Service, t.Name, t.Incarnation} }

// TargetStats is what one proxy saw of one target since its last report: requests by outcome.
type TargetStats struct {
	Service       string
	Name          string
	Incarnation   uint64
	Successes     uint32
	Errors        uint32
	TotalMs       float64 // time of all its answers together, in ms
	Demand        float64
	HasDemand     bool
	Slow          uint32
	Rejected      uint32 // rejected by the target itself, which says that it did not run them
	ProbeAnswered bool   // it answered an indirect probe as itself
}

// TableKey orders tables: a later epoch, then term, then number, wins.
type TableKey struct {
	Epoch   uint64
	Term    uint64
	Version uint64 `json:"Ver"` // the table's number within the term
}

// Less reports whether k stands for an earlier table than o.
func (k TableKey) Less(o TableKey) bool {
	if k.Epoch != o.Epoch {
		return k.Epoch < o.Epoch
	}
	if k.Term != o.Term {
		return k.Term < o.Term
	}
	return k.Version < o.Version
}

// Proxy is a proxy as a table names it. Live ones have their share of each target's cap.
type Proxy struct {
	Name   string
	Addr   string
	Domain string
	Live   bool
}

// Table is all that a proxy chooses targets from, as the leader made it, whole or as changes.
type Table struct {
	Key             TableKey
	StateIndex      uint64 // of the durable state that it is made from
	Revision        uint64 // of the configuration
	Document        []byte // compressed, if it is long
	State           []byte
	Proxies         []Proxy
	EmptiedDomains  []string // domains that get no new requests
	Targets         []Target
	PreviousProxies []string // proxies of the roster before, while this one is not in force everywhere
	// DeltaBase makes it a change to any table of its term from that one on: Targets are those that are
	// new or said otherwise since then, Gone those that went, and no Gates means the same ones.
	DeltaBase      TableKey
	RemovedTargets []TargetID
}

// Pull is a proxy's request for its table and lease, with what it has and what it saw of targets.
// Proxies without a leader send it to each other for peer leases.
type Pull struct {
	Self  Daemon // without a name: as it was last said; Msg.Disk tells the process
	Key   TableKey
	Stats []TargetStats
	Table *Table
	// Revision and Seq are those of the document and state held here: a table that has the same comes without.
	Revision   uint64
	StateIndex uint64
	// WantTable asks a peer for what it holds against targets, or for its table if that is later.
	WantTable bool
}

// Push is the answer to a Pull.
type Push struct {
	LeaseGranted bool     // the proxy has its lease, counted from when it sent the pull
	WantTable    bool     // the sender wants the proxy's table in its next pull
	Key          TableKey // the sender's latest table
	Table        *Table
	ProbeTargets []TargetID // targets that the proxy is to probe in the leader's place: indirect probes
}

// Call is an operator's or a target's HTTP call that a member passes on to the leader, or the answer.
type Call struct {
	ID           uint64 `capnp:"id"` // matches the answer to the call
	Reply        bool
	Method       string
	Path         string
	Query        string
	Body         []byte
	Status       uint16 // in an answer: the HTTP status
	RetryAfterMs uint32 // in an answer: when to try again, 0: not said
	Token        string // names the change, so that it is made once however often it is sent
}

// Batch is what a member's disk takes in one piece, synced as a whole before
// anything that depends on it leaves the process. Fields that are not set change nothing.
type Batch struct {
	Seq            uint64
	Reset          bool // it replaces all before it
	Epoch          uint64
	Disk           uint64 // the disk's own number
	HasHardState   bool   // Term and Vote are set
	Term           uint64
	Vote           string // for whom the member voted in Term
	TruncateFrom   uint64 // log entries from this index on are dropped before Entries are added, 0: none
	Entries        []Entry
	Snapshot       *Snapshot
	BootstrapLock  uint64 // the bootstrap offer that the disk is bound to
	RecoveredState []byte // state that is remembered for disaster recovery
	// Founders and Founding are the members and the epoch that Lock stands for.
	Founders       []Member
	BootstrapEpoch uint64
}
