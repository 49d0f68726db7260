package tuning

import "time"

// Elections among the control plane's members.
const (
	// HeartbeatEvery is the interval of a leader's heartbeats to each member. Several fit into a LeaderLease.
	HeartbeatEvery = 100 * time.Millisecond
	// LeaderLease is how long a leader may make decisions after the last acknowledgement by a majority.
	LeaderLease = 500 * time.Millisecond
	// ElectionTimeoutMin is how long a member grants no vote after it heard from a leader. It exceeds LeaderLease by
	// more than a twentieth, the allowance for clock drift, so that a leader stops before the next one starts.
	ElectionTimeoutMin = 700 * time.Millisecond
	// ElectionTimeoutSpread is the range of the delay added to ElectionTimeoutMin, derived from name and term, so
	// that members rarely become candidates at the same time.
	ElectionTimeoutSpread = 400 * time.Millisecond
	// LeaderSilenceMin is how long a member must have received nothing from a leader before it reports in a pre-vote that
	// it has no leader: three heartbeat intervals. A leader that is alive but late reports in the pre-vote that it leads.
	LeaderSilenceMin = 3 * HeartbeatEvery
	// PreVoteInterval is how often a member without contact to a leader asks whether all others have none either.
	PreVoteInterval = 60 * time.Millisecond
	// SyncStall is how long a disk sync may take before a leader stops making decisions. It is below
	// ElectionTimeoutMin.
	SyncStall = 400 * time.Millisecond
	// LeaseLossesMax is how many times within LeaseLossWindow a leader may lose its lease before it transfers
	// leadership to another member.
	LeaseLossesMax  = 3
	LeaseLossWindow = 2 * time.Second
	// LeadershipTransferEvery is the minimum time between such transfers. It exceeds the time that a new leader needs
	// to gather tables and to show whether it keeps its lease.
	LeadershipTransferEvery = 10 * time.Second
	// LeadershipResumeWindow is how long after losing its lease a leader that is elected again, with no other leader
	// in between, resumes with its previous knowledge: the duration of an election with one lost vote message. With
	// two missed probes after it, a target that died in the meantime is still ejected within 2.5 s. After a longer
	// time the leader's knowledge of targets is unconfirmed until they answer.
	LeadershipResumeWindow = 1500 * time.Millisecond
	// ResumeAtOnce is the same limit for resuming without gathering tables first. It is shorter than the lease that
	// a proxy got with its last pull, so that no proxy has made decisions of its own in the meantime.
	ResumeAtOnce = ProxyLease - 2*PullEvery
)

// The replicated log and its snapshots.
const (
	// LogMax is the number of log entries after which a snapshot is taken.
	LogMax = 256
	// LogBytes is the size of the log after which a snapshot is taken, in bytes. With ProposedBytesMax, HistoryBytes
	// and one more document the state of a member stays below half of a WAL file.
	LogBytes = 256 << 10
	// ProposedBytesMax bounds the size of uncommitted proposals, in bytes. Further proposals are rejected as busy.
	ProposedBytesMax = 512 << 10
	// AppendMax bounds how much of the log, or of a snapshot, is in flight to one member, in bytes. A heartbeat
	// behind it is delayed by 0.25 s on a link of SlowLink, and together with its own interval it arrives within a
	// LeaderLease. At a round trip time of 0.1 s it still allows 320 KiB a second.
	AppendMax = 32 << 10
	// LogTailBytes is how much of the log before the snapshot is kept in memory for members that lag a little, in
	// bytes. It covers what is committed at a change of 128 KiB a second while the largest state, compressed to
	// 512 KiB, is sent, which takes 4 s on a link of SlowLink.
	LogTailBytes = 512 << 10
	// LearnerTimeout is how long a learner may make no progress before other changes of the membership no longer wait
	// for it.
	LearnerTimeout = 1500 * time.Millisecond
	// LearnerLag is how many committed entries a learner may lack when it becomes a voting member: the number in
	// flight in 0.1 s at the maximum rate of changes. They arrive before its first vote counts.
	LearnerLag = 16
)

// A member's disk.
const (
	// WALFiles is the number of files in a member's write-ahead log, WALFileSize their size in bytes.
	WALFiles    = 3
	WALFileSize = 8 << 20
	// WALReadBuffer is how much of a file is held in memory while it is read at startup, in bytes.
	WALReadBuffer = 256 << 10
	// SyncBatches is the maximum number of batches written with one sync.
	SyncBatches = 64
	// DiskRetry is how long after a failed write, or a failure to open the disk, the next attempt is made. It is long
	// enough to cost nothing and short enough that a disk that works again is used within a LeaderLease.
	DiskRetry = 250 * time.Millisecond
	// DamageReportsKept is how many reports of unreadable stored or received data a member keeps for operators.
	DamageReportsKept = 8
)
