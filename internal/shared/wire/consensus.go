package wire

// Vote is a request for a vote, or the response to one. Message.Term is the candidate's or voter's term.
type Vote struct {
	PreVote   bool   // a pre-vote, which changes no member's term
	Reply     bool   // it is the response
	Granted   bool   // in a response: the vote is given
	LastIndex uint64 // index of the candidate's last log entry
	LastTerm  uint64 // term of the candidate's last log entry
	Transfer  bool   // the leader asked the candidate to take over: voters need not wait for the leader's lease to end
	Unanimous bool   // the candidate leads only with the votes of all members: voters need not wait either
	NoLeader  bool   // in a response: this member hears no leader
}

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  uint16 // what Data is, by package consensus
	Data  []byte
}

// Member is a voting member or learner of the control plane. A daemon on a new disk is another member.
type Member struct {
	Name string `json:"name"` // the daemon's name
	Disk uint64 `json:"disk"` // its disk's number
}

// Snapshot is the state after the log's entry Index, in place of all entries up to it.
type Snapshot struct {
	Index   uint64   // of the last entry that the state includes
	Term    uint64   // of that entry
	Members []Member // as of that entry
	Data    []byte   // the state, as package state encodes it
}

// Append is a leader's heartbeat with the log entries, or the chunk of a snapshot, that a member
// lacks; or the response to one.
type Append struct {
	Reply      bool   // it is the response
	Success    bool   // in a response: the entries were appended
	PrevIndex  uint64 // index of the entry before Entries, which the member's log must have
	PrevTerm   uint64 // term of that entry
	Commit     uint64 // index up to which entries are committed
	MatchIndex uint64 // in a response: index up to which the member's log equals the leader's
	Entries    []Entry
	Chunk      *Chunk
}

// Chunk is a part of a snapshot, or of one log entry that is too large for one message. In a
// response it acknowledges Offset bytes, without Data.
type Chunk struct {
	IsEntry  bool     // of a log entry, else of a snapshot
	Index    uint64   // of the entry, or of the snapshot's last one
	Term     uint64   // of that entry
	Kind     uint16   // of the entry: Entry.Kind
	Members  []Member // of the snapshot
	Size     uint64   // of all chunks together, in bytes
	Checksum uint64   // of all chunks together: FNV-1a, 64 bits
	Offset   uint64   // of Data, in bytes
	Data     []byte
}

// BeginsSnapshot reports whether this is a snapshot's first chunk; a nil chunk is none.
func (c *Chunk) BeginsSnapshot() bool { return c != nil && !c.IsEntry && c.Offset == 0 }

// Batch is what a member writes to its disk at once. It is synced, all of it or nothing, before any
// message that depends on it is sent. Fields that are not set change nothing.
type Batch struct {
	Seq            uint64    // number of the batch, rising by one
	Reset          bool      // it replaces all batches before it
	Epoch          uint64    // bootstrap epoch
	Disk           uint64    // the disk's own number, random
	HasHardState   bool      // Term and Vote are set
	Term           uint64    // current term
	Vote           string    // member that was voted for in Term, "": none
	TruncateFrom   uint64    // entries from this index on are removed before Entries are appended, 0: none
	Entries        []Entry   // appended to the log
	Snapshot       *Snapshot // replaces the log's entries up to its index
	BootstrapLock  uint64    // bootstrap offer that the disk is bound to
	RecoveredState []byte    // state that is kept for disaster recovery, from Compress
	Founders       []Member  // members that BootstrapLock is for
	BootstrapEpoch uint64    // epoch that BootstrapLock is for
}
