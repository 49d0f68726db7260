package tuning

import "time"

// Leases of the proxies: those granted by the leader, and peer leases, which proxies without a leader grant each other.
const (
	// PullEvery is the interval of a proxy's pulls, with which it requests its table and lease.
	PullEvery = 150 * time.Millisecond
	// ProxyLease is how long a proxy may serve on the leader's lease, counted from when it sent the pull.
	ProxyLease = 900 * time.Millisecond
	// PeerLease is the same for peer leases.
	PeerLease = 600 * time.Millisecond
	// LeaseMargin is how much later than the proxy the leader considers a lease as expired, to allow for clock drift.
	// A change is in force after at most ProxyLease + LeaseMargin = 1.1 s, below the 2 s rule.
	LeaseMargin = 200 * time.Millisecond
	// TableAckTimeout is how long a proxy may pull without acknowledging the table that it was sent before it gets no
	// more leases. It covers a few lost messages. TableAckTimeout + ProxyLease + LeaseMargin = 1.6 s.
	TableAckTimeout = 500 * time.Millisecond
	// LeaderSuspectAfter is how long after its last granted pull a proxy suspects that the leader has failed and begins
	// to probe targets and to request leases from its peers: slightly more than two pulls, so that a live leader is
	// rarely suspected.
	LeaderSuspectAfter = 330 * time.Millisecond
	// LeaderSuspectAfterLarge is the same in a fleet of more than PeerLeaseFanout proxies. There, a leader that is a
	// little late must not be suspected by all proxies, since their pulls and probes are what slows down such a fleet
	// most. Half of the lease remains for asking peers.
	LeaderSuspectAfterLarge = ProxyLease / 2
	// PeerLeaseFanout is how many peers a proxy that serves on peer leases asks at a time.
	PeerLeaseFanout = 16
	// PeerLeaseTurns is the number of rounds in which a proxy asks all its peers if there are more than
	// PeerLeaseTurns * PeerLeaseFanout. Three rounds end before a peer lease expires, since 3 x 150 ms and a network
	// hop are below 600 ms.
	PeerLeaseTurns = 3
	// PeerTableFanout is how many of the peers that a proxy asks for leases are also asked for the ejections in their
	// tables, in a fleet with more than PeerLeaseFanout peers.
	PeerTableFanout = 4
	// PeerTableRateDivisor is the divisor of SlowLink that gives the rate at which a proxy without a leader fetches tables
	// from its peers.
	PeerTableRateDivisor = 4
	// ProxyLive is how long after its last pull a proxy keeps its share of the targets' caps.
	ProxyLive = 2 * time.Second
	// ProxyExpiry is how long a proxy must be silent before the leader removes it from the proxy membership. It exceeds
	// the time that a machine needs to restart.
	ProxyExpiry = 60 * time.Second
	// FirstProxiesWait is how long a leader with an empty proxy membership collects proxies to admit them together.
	FirstProxiesWait = 500 * time.Millisecond
	// GatherTablesWait is how long a new leader waits for tables from a majority of the proxies.
	GatherTablesWait = 1500 * time.Millisecond
)
