// Package wire is the language the daemons speak among themselves: plain Go
// structs that travel as Cap'n Proto messages (schema in msg.capnp, generated
// code in msg.capnp.go) behind a four-byte length. Owners and the simulator
// handle only the Go structs; encoding happens at the edge of a process.
package wire

import "cmp"

type Kind uint16

const (
	KHello Kind = iota + 1
	KVote
	KAppend
	KPull
	KPush
	KBeat
	KAsk
)

type Msg struct {
	Kind   uint16
	From   string
	To     string
	Disk   uint64
	Epoch  uint64
	Term   uint64
	Stamp  int64
	Hello  *Hello
	Vote   *Vote
	Append *Append
	Pull   *Pull
	Push   *Push
	Beat   *Target
	Ask    *Ask
}

type Daemon struct {
	Name   string `json:"name"`
	Kind   string `json:"kind"`
	Domain string `json:"domain"`
	Addr   string `json:"addr"`
	Http   string `json:"http"`
	Inc    uint64 `json:"incarnation"`
	Disk   uint64 `json:"-"`
	Epoch  uint64 `json:"epoch"`
	Lock   uint64 `json:"-"`
	Ready  bool   `json:"ready"`
	State  string `json:"state"`
	Offer  uint64 `json:"-"`
}

type Hello struct {
	Self   Daemon
	Known  []Daemon
	Reply  bool
	Leader string
	Term   uint64
	Legacy []byte
	// Members are the latest list that the sender knows, as of an epoch and a place in its log.
	Members      []Member
	MembersEpoch uint64
	MembersIndex uint64
	// Founding is the epoch that the sender's lock stands for; Gone and Refound are an operator's word.
	Founding uint64
	Gone     []string
	Refound  bool
}

type Vote struct {
	Pre       bool
	Reply     bool
	Granted   bool
	LastIndex uint64
	LastTerm  uint64
	Transfer  bool
	All       bool // who asks leads only with everybody's leave, and needs no patience then
	Alone     bool // an answer: no leader is heard here
}

type Entry struct {
	Index uint64
	Term  uint64
	Kind  uint16
	Data  []byte
}

type Member struct {
	Name string `json:"name"`
	Disk uint64 `json:"disk"`
}

type Snap struct {
	Index   uint64
	Term    uint64
	Members []Member
	Data    []byte
}

type Append struct {
	Reply     bool
	Ok        bool
	PrevIndex uint64
	PrevTerm  uint64
	Commit    uint64
	Match     uint64
	Entries   []Entry
	Piece     *Piece
}

// Piece is a part of a snapshot, or of one log entry that is too large for one message. In a
// reply it says how much of it the receiver holds: Offset bytes, without Data.
type Piece struct {
	Entry   bool // of a log entry, else of a snapshot
	Index   uint64
	Term    uint64
	Kind    uint16   // of the entry
	Members []Member // of the snapshot
	Size    uint64   // of the whole, in bytes
	Sum     uint64   // of the whole: FNV-1a, 64 bits
	Offset  uint64   // of Data in the whole, in bytes
	Data    []byte
}

// BeginsSnapshot says that this is a snapshot's first piece.
func (p *Piece) BeginsSnapshot() bool { return p != nil && !p.Entry && p.Offset == 0 }

// Target is a back end as the daemons know it; its identity is the first four
// fields. Held, BarLeft and Pending are decisions and travel in tables only.
type Target struct {
	Service   string  `json:"service"`
	Name      string  `json:"name"`
	Inc       uint64  `json:"incarnation"`
	Addr      string  `json:"address"`
	Domain    string  `json:"domain,omitempty"`
	State     string  `json:"state"`
	Demand    float64 `json:"demand,omitempty"`
	HasDemand bool    `json:"-"`
	Held      bool    `json:"held"`
	BarLeft   int64   `json:"bar_left_ns,omitempty"`
	BarWhy    string  `json:"bar_why,omitempty"`
	Pending   bool    `json:"pending,omitempty"`
	Beating   bool    `json:"beating"`
	Turn      uint32  `json:"-"`                      // its place in the dealing of caps among proxies
	Slots     uint32  `json:"slots,omitempty"`        // exchanges that it works on at once, 0: not said
	ColdLeft  int64   `json:"cold_left_ns,omitempty"` // how much longer it bears only its service's cold rate
	Number    uint64  `json:"number,omitempty"`       // its word's number, which rises with each; 0: not numbered
}

type ID struct {
	Service, Name string
	Inc           uint64
}

// Compare orders identities, so that owners go through targets the same way in every run.
func (a ID) Compare(b ID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Inc, b.Inc))
}

func (t *Target) ID() ID { return ID{t.Service, t.Name, t.Inc} }

// Seen is what one proxy saw of one target since its last report.
type Seen struct {
	Service   string
	Name      string
	Inc       uint64
	Ok        uint32
	Errors    uint32
	SumMs     float64
	Demand    float64
	HasDemand bool
	Slow      uint32
	NotRun    uint32 // turned away by the target itself, which says that it did not run them
	Alive     bool   // it answered an indirect probe as itself
}

// Key orders tables: a later epoch, then term, then number, wins.
type Key struct {
	Epoch uint64
	Term  uint64
	Ver   uint64
}

func (k Key) Less(o Key) bool {
	if k.Epoch != o.Epoch {
		return k.Epoch < o.Epoch
	}
	if k.Term != o.Term {
		return k.Term < o.Term
	}
	return k.Ver < o.Ver
}

type Gate struct {
	Name   string
	Addr   string
	Domain string
	Live   bool
}

type Table struct {
	Key      Key
	Seq      uint64
	Revision uint64
	Doc      []byte // compressed, if it is long
	State    []byte
	Gates    []Gate
	Emptied  []string
	Targets  []Target
	Was      []string // proxies of the roster before, while this one is not in force everywhere
	// Base makes it a change to any table of its term from that one on: Targets are those that are
	// new or said otherwise since then, Gone those that went, and no Gates means the same ones.
	Base Key
	Gone []ID
}

type Pull struct {
	Self  Daemon // without a name: as it was last said; Msg.Disk tells the process
	Key   Key
	Seen  []Seen
	Table *Table
	// Revision and Seq are those of the document and state held here: a table that has the same comes without.
	Revision uint64
	Seq      uint64
	// Want asks a peer for what it holds against targets, or for its table if that is later.
	Want bool
}

type Push struct {
	Grant bool
	Want  bool
	Key   Key
	Table *Table
	Probe []ID // targets that the proxy is to probe in the leader's place: indirect probes
}

type Ask struct {
	Id      uint64
	Reply   bool
	Method  string
	Path    string
	Query   string
	Body    []byte
	Status  uint16
	RetryMs uint32
	Token   string
}

// Batch is what a member's disk takes in one piece, synced as a whole before
// anything that depends on it leaves the process. Fresh replaces all before it.
type Batch struct {
	Seq     uint64
	Fresh   bool
	Epoch   uint64
	Disk    uint64
	Hard    bool
	Term    uint64
	Vote    string
	Cut     uint64
	Entries []Entry
	Snap    *Snap
	Lock    uint64
	Legacy  []byte
	// Founders and Founding are the members and the epoch that Lock stands for.
	Founders []Member
	Founding uint64
}
