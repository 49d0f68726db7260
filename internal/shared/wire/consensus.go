package wire

// Vote is a vote request or the response to one. Message.Term is the term of the candidate or the voter.
type Vote struct {
	PreVote   bool   // pre-vote: does not change any member's term
	Reply     bool   // set in the response
	Granted   bool   // in a response: the vote is granted
	LastIndex uint64 // index of the candidate's last log entry
	LastTerm  uint64 // term of the candidate's last log entry
	Transfer  bool   // leadership transfer requested by the leader: voters need not wait for its lease to expire
	Unanimous bool   // the candidate needs the votes of all members to win: voters need not wait for the leader's lease to expire
	NoLeader  bool   // in a response: the voter has no contact with a leader
}

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  uint16 // type of Data, as package consensus defines it
	Data  []byte
}

// Member is a voting member or learner of the control plane. A daemon that restarts on a new disk is a
// different member, since it has lost its log and its votes.
type Member struct {
	Name string `json:"name"` // the daemon's name
	Disk uint64 `json:"disk"` // random number that identifies the daemon's disk
}

// Snapshot is the replicated state after the log entry at Index. It replaces all entries up to and including Index.
type Snapshot struct {
	Index   uint64   // index of the last entry that the state includes
	Term    uint64   // term of that entry
	Members []Member // membership as of that entry
	Data    []byte   // state as encoded by package state
}

// Append is a leader's heartbeat with the log entries or the snapshot chunk that a member lacks, or the
// response to one.
type Append struct {
	Reply      bool   // set in the response
	Success    bool   // in a response: the entries were appended
	PrevIndex  uint64 // index of the entry before Entries, which the member's log must contain
	PrevTerm   uint64 // term of that entry
	Commit     uint64 // highest committed index
	MatchIndex uint64 // in a response: highest index up to which the member's log matches the leader's
	Entries    []Entry
	Chunk      *Chunk
}

// Chunk is a part of a snapshot, or of a log entry that is too large for one message. In a response,
// Offset is the number of bytes received so far and Data is empty.
type Chunk struct {
	IsEntry  bool     // part of a log entry; otherwise part of a snapshot
	Index    uint64   // index of the entry, or of the last entry in the snapshot
	Term     uint64   // term of that entry
	Kind     uint16   // Entry.Kind of the entry; 0 for a snapshot
	Members  []Member // Snapshot.Members; empty for an entry
	Size     uint64   // total size of all chunks, in bytes
	Checksum uint64   // 64-bit FNV-1a hash of all chunks' data
	Offset   uint64   // offset of Data in the whole, in bytes
	Data     []byte
}

// BeginsSnapshot reports whether c is the first chunk of a snapshot. It is false for a nil chunk.
func (c *Chunk) BeginsSnapshot() bool { return c != nil && !c.IsEntry && c.Offset == 0 }

// Batch is a set of changes that a member writes to its disk atomically. It is synced before any message
// that depends on it is sent. Fields that are not set leave the stored values unchanged.
type Batch struct {
	Seq            uint64    // sequence number, increasing by one
	Reset          bool      // this batch replaces all earlier ones
	Epoch          uint64    // bootstrap epoch; 0: unchanged
	Disk           uint64    // random number that identifies the disk; 0: unchanged
	HasHardState   bool      // Term and Vote are set
	Term           uint64    // current term
	Vote           string    // member voted for in Term; "": none
	TruncateFrom   uint64    // entries from this index on are removed before Entries are appended; 0: none are removed
	Entries        []Entry   // appended to the log
	Snapshot       *Snapshot // replaces the log entries up to its index
	BootstrapLock  uint64    // Daemon.BootstrapOffer that the disk is committed to
	RecoveredState []byte    // copy of the replicated state, from which a bootstrap or a disaster recovery may begin; encoded by Compress
	Founders       []Member  // founding members of the bootstrap that BootstrapLock refers to
	BootstrapEpoch uint64    // epoch of the bootstrap that BootstrapLock refers to
}
