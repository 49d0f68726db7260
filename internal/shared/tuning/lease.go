package tuning

import "time"

// Tables and leases between the leader and the proxies.
const (
	// PullEvery is how often a proxy asks for its table and lease.
	PullEvery = 150 * time.Millisecond
	// ProxyLease is how long a proxy serves on the leader's lease, counted from when it asked.
	ProxyLease = 900 * time.Millisecond
	// PeerLease is the same for the leases that proxies without a leader give each other.
	PeerLease = 600 * time.Millisecond
	// PeerLeaseFanout is how many peers a proxy that serves on its peers asks at a turn, or a TouchTurns-th of a roster for which
	// that is more: all are asked again before a peer lease lapses, 3 x 150 ms and a hop under 600 ms.
	PeerLeaseFanout = 16
	PeerLeaseTurns  = 3
	// PeerTableFanout is how many of them, in a larger roster, are asked at once what they hold against targets.
	PeerTableFanout = 4
	// LeaseMargin is what the leader adds before it takes a lease as lapsed, for clock speed.
	// Worst wait for a change to be in force: ProxyLease + LeaseMargin = 1.1 s, under the 2 s rule.
	LeaseMargin = 200 * time.Millisecond
	// TableAckTimeout is how long a proxy may go on asking without taking the table that it is sent before
	// it gets no more leases: a few lost answers. TableAckTimeout + ProxyLease + LeaseMargin = 1.6 s.
	TableAckTimeout = 500 * time.Millisecond
	// ProxyExpiry is how long a proxy may be silent before the leader drops it from the roster:
	// long enough for a machine's restart.
	ProxyExpiry = 60 * time.Second
	// ProxyLive is how long after its last pull a proxy counts when shares are split.
	ProxyLive = 2 * time.Second
	// FirstProxiesWait is how long a leader with an empty roster gathers proxies before it admits them as one.
	FirstProxiesWait = 500 * time.Millisecond
	// TableEvery is how often tables are made of news that may wait: many targets that come or turn
	// ready at once make one table.
	TableEvery = 80 * time.Millisecond
	// TableDelayPerRow is how much longer that is for each target and proxy, since every proxy deals every
	// target among all: 0.1 s for 300 targets and 70 proxies.
	TableDelayPerRow = 5 * time.Microsecond
	// UrgentTableDelayPerProxy is, for each proxy, how far apart tables are that take something away from requests:
	// sent, taken and confirmed, one costs the leader about 0.2 ms of processor for each proxy, and on a quarter of
	// a processor four times that. So such tables take at most two fifths of a small machine, however
	// many targets leave at once. UrgentTableMost bounds it: with it an ejection still comes everywhere within 2 s.
	UrgentTableDelayPerProxy = 2 * time.Millisecond
	UrgentTableDelayMax      = 200 * time.Millisecond
	// TablesKept is of how many past tables a leader knows when it made them: more than ProxyDeaf has.
	TablesKept = 64
	// RemovedTargetsKept is how many removed targets a leader remembers, so that a table can be sent as changes.
	RemovedTargetsKept = 1024
	// TimeLeftStep is how far the end of an ejection or of a cold start must move to be sent again.
	TimeLeftStep = 250 * time.Millisecond
	// TableBytesInFlight is how much may be under way to a proxy unacknowledged, in bytes: a slow link's tenth of a
	// second. SlowLink is what such a link carries beside traffic, in bytes a second, RowBytes a table's row.
	TableBytesInFlight = 12 << 10
	SlowLink           = 128 << 10
	TableRowBytes      = 120
	// PeerTableParts: the tables that a proxy without a leader fetches from its peers take at most one in so many
	// of the bytes that a slow link carries beside traffic.
	PeerTableParts = 4
	// DemandEvery is how often tables are sent anew only because demand changed.
	DemandEvery = time.Second
	// DemandStep is how far a target's demand must move for that.
	DemandStep = 0.125
	// LeadershipResumeWindow is how long after it lost its lease a leader goes on with what it knew, if nobody else
	// led meanwhile: an election with a lost vote message. With two missed probes after it a target that died meanwhile
	// is still ejected within 2.5 s; past it what was known of targets is hearsay until they answer.
	LeadershipResumeWindow = 1500 * time.Millisecond
	// ResumeAtOnce is for how long a lead may have been lost so that its leader, elected again with nobody in
	// between, goes on at once: shorter than the lease that a proxy got with its last pull, so that none has
	// decided anything by itself meanwhile.
	ResumeAtOnce = ProxyLease - 2*PullEvery
	// LeaseLossesMax is how many times within LateLeadSpan a leader loses its lease before it hands leadership to
	// another member, and HandOverEvery how often at the most it does: longer than a new leader takes to gather tables and to
	// show whether it keeps up.
	LeaseLossesMax          = 3
	LeaseLossWindow         = 2 * time.Second
	LeadershipTransferEvery = 10 * time.Second
	// PendingCallsKept is for how long after a lead was lost those who wait for a change go on waiting for its
	// leader: an election with a lost vote message. Past it they are told that it can't be told.
	PendingCallsKept = ElectionTimeoutMin + ElectionTimeoutSpread + 2*HeartbeatEvery
	// GatherTablesWait is how long a new leader waits for tables from a majority of proxies.
	GatherTablesWait = 1500 * time.Millisecond
	// InForceUsual is within what time a change is in force, also with a proxy that asks and hears nothing: past it
	// what it waits for is logged.
	InForceUsual = 1600 * time.Millisecond
	// CallWait bounds an operator's change: past it the answer is 'unknown'.
	CallWait = 6 * time.Second
	// ChangesKept is how many past changes can be asked about, and rolled back to while their
	// texts fit HistoryBytes.
	ChangesKept = 16
	// AcceptedChangesKept is how many accepted orders are remembered by their digests, so that one that is sent
	// again is known: several days of hundreds of changes. At 32 bytes each in a snapshot that is 128 KiB.
	AcceptedChangesKept = 4096
	// AcceptedChangesInTables is the same in the state that travels to proxies with tables, which a total loss is recovered
	// from: 2 KiB beside a FlightBytes of 12 KiB. More than were under way at any loss are among them.
	AcceptedChangesInTables = 64
	// DocumentMax bounds a configuration in bytes.
	DocumentMax = 512 << 10
	// CompressFrom is from how many bytes on a document or memory is compressed for its way: below, it fits a few packets.
	CompressFrom = 2 << 10
	// WireMax bounds one message between daemons: a snapshot with all kept configurations.
	WireMax = 8 << 20
)
