package tuning

import "time"

// Agreement among the core members.
const (
	// HeartbeatEvery is the interval of a leader's heartbeats to each member: several within a LeaderLease.
	HeartbeatEvery = 100 * time.Millisecond
	// LeaderLease is how long after a majority's last acknowledgement a leader may decide.
	LeaderLease = 500 * time.Millisecond
	// ElectionTimeoutMin is how long a member that heard a leader refuses others: over LeaderLease plus a
	// twentieth for clocks that run at unlike speed, so the old leader stops before a new one starts.
	ElectionTimeoutMin = 700 * time.Millisecond
	// ElectionTimeoutSpread is added by name and term so that members seldom stand at once.
	ElectionTimeoutSpread = 400 * time.Millisecond
	// LeaderQuiet is how long no leader has spoken to a member that says that it hears none: three of
	// its heartbeats. A living leader that is late says itself that it leads.
	LeaderQuiet = 3 * HeartbeatEvery
	// PreVoteInterval is how often a member that hears no leader asks whether all the others hear none either.
	PreVoteInterval = 60 * time.Millisecond
	// SyncStall is how long a sync may hang before a leader stops deciding: under ElectMin.
	SyncStall = 400 * time.Millisecond
	// LogMax is how many entries are held before a snapshot is taken.
	LogMax = 256
	// LogBytes is the same in bytes. With OpenBytes, HistoryBytes and one document more a member's
	// whole state stays under half a ring file.
	LogBytes = 256 << 10
	// ProposedBytesMax is how much may be proposed and not yet agreed; more is refused as busy.
	ProposedBytesMax = 512 << 10
	// HistoryBytes bounds the texts of past configurations that are kept.
	HistoryBytes = 512 << 10
	// AppendMax bounds what of the log, or of a snapshot, is under way to one member, in bytes: a
	// heartbeat behind it on a link of SlowLink waits 0.25 s, and with its own interval comes within
	// a LeaderLease. A tenth of a second's round trip still carries 320 KiB a second.
	AppendMax = 32 << 10
	// LogTailBytes is how much of the log that a snapshot has replaced is kept in memory for members a
	// little behind: what is agreed while the largest state, compressed to 512 KiB, goes over SlowLink
	// in 4 s, at a change of 128 KiB a second.
	LogTailBytes = 512 << 10
	// RecoveryWait is how long a leader after disaster recovery collects the states that proxies and
	// surviving members remember.
	RecoveryWait = 1500 * time.Millisecond
	// BootstrapWait is how long those who could found a core without one of its machines wait for it:
	// longer than a daemon's restart, and with all that follows within 15 s.
	BootstrapWait = 5 * time.Second
	// VotersMax is how many members a core grows to if no size is given: any three machines may go,
	// or a domain of three, and each entry is still synced by four only.
	VotersMax = 7
	// CatchUpDefault is how long after a replacement's start the core has to bear the next loss, where
	// no deployment says so.
	CatchUpDefault = 8 * time.Second
	// ReplaceParts: a member is silent for this part of that time before a standby takes its place. The
	// rest is for an election, LeadGrace and the two changes of the list (TestRepairInTime).
	ReplaceParts = 2
	// ReplaceAfterMin is the least such silence: five hellos, so that one that is late is not replaced.
	ReplaceAfterMin = 5 * HelloEvery
	// NewLeaderGrace is how long a new leader listens before it calls a member silent: four hellos.
	NewLeaderGrace = 4 * HelloEvery
	// MembersEvery is how often a leader looks after the members while none is changing.
	MembersEvery = HeartbeatEvery
	// GrowAfter is how long a standby is there before a core that bears enough losses takes it in beside
	// the others: longer than both machines of a planned replacement are there.
	GrowAfter = 5 * time.Second
	// HandoverWait is how long a member that stops waits for a standby to take its place: longer than
	// an election, a snapshot's way and two changes of the list take. At most half the grace that is told.
	HandoverWait = 3 * time.Second
	// MemberExpiry is how long a member is silent before it goes without a replacement: longer
	// than a machine's restart.
	MemberExpiry = 60 * time.Second
	// LearnerTimeout is how long a learner may not come on before nothing waits for it: others go first.
	LearnerTimeout = 1500 * time.Millisecond
	// LearnerLag is how many agreed entries a learner may lack when it becomes a member: what a
	// tenth of a second of changes at full rate has on its way. They come before its first vote counts.
	LearnerLag = 16
	// ConsentTTL is how long an operator's consent to a disaster recovery holds.
	ConsentTTL = time.Minute
	// HelloEvery is how often daemons tell each other who is there.
	HelloEvery = 300 * time.Millisecond
	// HelloLeasedEvery is the same for a proxy while the leader leases it, which makes its pulls tell who is there.
	HelloLeasedEvery = 1500 * time.Millisecond
	// RecoveredStateEvery is how often a proxy without a leader tells a core process again what it remembers.
	RecoveredStateEvery = 2 * time.Second
	// HelloStartup is for how long after its start a core daemon that hears no leader says hello as often
	// as it asks for leave to stand.
	HelloStartup = time.Second
	// ListEvery is how often a daemon is told the same list of those known again: twice before
	// one that is known from lists only is dropped, after half of DaemonGone.
	ListEvery = 3 * time.Second
	// DaemonExpiry is how long a silent daemon stays in the list that is handed on.
	DaemonExpiry = 15 * time.Second
)
