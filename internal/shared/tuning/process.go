package tuning

import "time"

// Processes.
const (
	// TickEvery is the interval at which every owner's state machine is stepped without another event.
	TickEvery = 20 * time.Millisecond
	// SendQueue is how many messages may wait for one connection, and SendLate how long: a lease that
	// comes later is of no use, and old messages would keep new ones waiting.
	SendQueue    = 64
	SendQueueTTL = 500 * time.Millisecond
	// PackedTables is how many of the tables last sent are kept in the form in which they are sent: the
	// whole one, the one without document, and changes to the latest few.
	PackedTables = 8
	// WireBuffer is what a connection between daemons has for reading and for writing, in bytes: some
	// small messages, since a member has such connections to all proxies.
	WireBuffer = 4 << 10
	// EventQueue is how many events may wait for an owner.
	EventQueue = 4096
	// SyncBatches is how many batches of a member's disk are synced as one at the most.
	SyncBatches = 64
	// WALFiles and RingFileSize bound a member's disk: 3 files of 8 MiB.
	WALFiles    = 3
	WALFileSize = 8 << 20
	// DiskRetry is how long after a write was refused, or a disk could not be opened, it is tried again:
	// seldom enough to cost nothing, and a disk that is back is in use within a leader's lease.
	DiskRetry = 250 * time.Millisecond
	// WALReadBuffer is how much of a file, in bytes, is in memory while it is looked through at a start.
	WALReadBuffer = 256 << 10
	// Redial is how long after a connection to a daemon could not be opened the next is tried: daemons that
	// start together find each other within it, and there is no more to send than what is said again.
	Redial = 20 * time.Millisecond
	// SettingsEvery is how often a settings file is looked at for changes.
	SettingsEvery = 2 * time.Second
	// MemoryShare of a process's memory is what the runtime may fill, and GcPercent how much garbage
	// may lie beside what lives (the runtime's own is 100): small machines, where memory is dear.
	MemoryShare = 0.7
	GCPercent   = 60
	// StreamBuffer is how many decisions wait for a slow reader before it is told what it missed.
	StreamBuffer = 512
	// SessionLineMax bounds a line of a policy session in bytes, SessionTargets the targets of one session,
	// Sessions those at once on one daemon, and SessionKept is how long one that broke off can be resumed.
	SessionLineMax = 256 << 10
	SessionTargets = 4096
	Sessions       = 16
	SessionKept    = 2 * time.Minute
	// CtlCall is how long the operators' command waits for one answer: over CallWait, so that a change
	DamageReportsKept = 8
	// ends with the member's own word. CtlRetry is when it asks the next member where none leads.
	CtlCall  = 10 * time.Second
	CtlRetry = 200 * time.Millisecond
	// EventsKept is how many target events a leader keeps for readers that resume.
	EventsKept = 4096
)
