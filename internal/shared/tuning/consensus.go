package tuning

import "time"

// Elections among the control plane's members.
const (
	// HeartbeatEvery is the interval of a leader's heartbeats to each member: several within a LeaderLease.
	HeartbeatEvery = 100 * time.Millisecond
	// LeaderLease is how long after a majority's last acknowledgement a leader may decide.
	LeaderLease = 500 * time.Millisecond
	// ElectionTimeoutMin is how long a member that heard a leader grants no vote: over LeaderLease plus a
	// twentieth for clocks of different speed, so that a leader stops before the next one starts.
	ElectionTimeoutMin = 700 * time.Millisecond
	// ElectionTimeoutSpread is the range of what is added to ElectionTimeoutMin, by name and term, so that
	// members seldom stand for election at the same time.
	ElectionTimeoutSpread = 400 * time.Millisecond
	// LeaderQuiet is how long a member must not have heard a leader to say so in a pre-vote: three heartbeats.
	// A live leader that is late says by itself that it leads.
	LeaderQuiet = 3 * HeartbeatEvery
	// PreVoteInterval is how often a member that hears no leader asks whether all others hear none either.
	PreVoteInterval = 60 * time.Millisecond
	// SyncStall is how long a sync may hang before a leader stops deciding: under ElectionTimeoutMin.
	SyncStall = 400 * time.Millisecond
	// LeaseLossesMax is how many times within LeaseLossWindow a leader may lose its lease before it transfers
	// leadership to another member.
	LeaseLossesMax  = 3
	LeaseLossWindow = 2 * time.Second
	// LeadershipTransferEvery is the least time between such transfers: longer than a new leader takes to gather
	// tables and to show whether it keeps its lease.
	LeadershipTransferEvery = 10 * time.Second
	// LeadershipResumeWindow is how long after it lost its lease a leader that is elected again, with none in between,
	// resumes with what it knew: an election with one lost vote message. With two missed probes after it a target
	// that died meanwhile is still ejected within 2.5 s. Later, what it knew of targets is unconfirmed until
	// they answer.
	LeadershipResumeWindow = 1500 * time.Millisecond
	// ResumeAtOnce is the same for resuming without gathering tables first: shorter than the lease that a proxy
	// got with its last pull, so that no proxy has decided anything by itself meanwhile.
	ResumeAtOnce = ProxyLease - 2*PullEvery
)

// The replicated log and its snapshots.
const (
	// LogMax is how many log entries are kept before a snapshot is taken.
	LogMax = 256
	// LogBytes is the same in bytes. With ProposedBytesMax, HistoryBytes and one more document the state of a
	// member stays under half a WAL file.
	LogBytes = 256 << 10
	// ProposedBytesMax is how much may be proposed and not yet committed, in bytes; more is rejected as busy.
	ProposedBytesMax = 512 << 10
	// AppendMax is how much of the log, or of a snapshot, may be in flight to one member, in bytes. A
	// heartbeat behind it waits 0.25 s on a link of SlowLink, and with its own interval arrives within a
	// LeaderLease. At a round trip of 0.1 s it still makes 320 KiB a second.
	AppendMax = 32 << 10
	// LogTailBytes is how much of the log before the snapshot is kept in memory for members that are a little
	// behind, in bytes: what is committed, at a change of 128 KiB a second, while the largest state,
	// compressed to 512 KiB, takes 4 s on a link of SlowLink.
	LogTailBytes = 512 << 10
	// LearnerTimeout is how long a learner may make no progress before another change of the membership need
	// not wait for it.
	LearnerTimeout = 1500 * time.Millisecond
	// LearnerLag is how many committed entries a learner may lack when it becomes a voting member: those that
	// are in flight in 0.1 s at the full rate of changes. They arrive before its first vote counts.
	LearnerLag = 16
)

// A member's disk.
const (
	// WALFiles is how many files of WALFileSize bytes a member's write-ahead log has.
	WALFiles    = 3
	WALFileSize = 8 << 20
	// WALReadBuffer is how much of a file is in memory while it is read at a start, in bytes.
	WALReadBuffer = 256 << 10
	// SyncBatches is the most batches that are written with one sync.
	SyncBatches = 64
	// DiskRetry is how long after a failed write, or a failure to open the disk, the next attempt is made:
	// seldom enough to cost nothing, and a disk that works again is in use within a LeaderLease.
	DiskRetry = 250 * time.Millisecond
	// DamageReportsKept is how many reports of unreadable stored or received data a member keeps for operators.
	DamageReportsKept = 8
)
