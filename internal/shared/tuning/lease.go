package tuning

import "time"

// Leases of the proxies: the leader's, and those that proxies without a leader grant each other.
const (
	// PullEvery is the interval of a proxy's pulls, which ask for its table and lease.
	PullEvery = 150 * time.Millisecond
	// ProxyLease is how long a proxy serves on the leader's lease, counted from when it sent the pull.
	ProxyLease = 900 * time.Millisecond
	// PeerLease is the same for peer leases.
	PeerLease = 600 * time.Millisecond
	// LeaseMargin is how much later than the proxy the leader takes a lease as lapsed, for the speed of clocks.
	// A change is in force after ProxyLease + LeaseMargin = 1.1 s at the latest, under the 2 s rule.
	LeaseMargin = 200 * time.Millisecond
	// TableAckTimeout is how long a proxy may pull without acknowledging the table that it was sent before it
	// gets no more leases: a few lost messages. TableAckTimeout + ProxyLease + LeaseMargin = 1.6 s.
	TableAckTimeout = 500 * time.Millisecond
	// LeaderSuspectAfter is how long after its last granted pull a proxy suspects the leader, begins to probe
	// targets and asks its peers for leases: two pulls and a little, so that a live leader is seldom suspected.
	LeaderSuspectAfter = 330 * time.Millisecond
	// LeaderSuspectAfterLarge is the same in a fleet of more than PeerLeaseFanout proxies: a leader that is a
	// little late must not be suspected by all of them, whose pulls and probes are what slows such a fleet
	// down most. Half the lease is left to ask peers in.
	LeaderSuspectAfterLarge = ProxyLease / 2
	// PeerLeaseFanout is how many peers a proxy that serves on peer leases asks at a time.
	PeerLeaseFanout = 16
	// PeerLeaseTurns is in how many turns a proxy asks all its peers if those are more than PeerLeaseFanout
	// times this: before a peer lease lapses, since 3 x 150 ms and a network hop are under 600 ms.
	PeerLeaseTurns = 3
	// PeerTableFanout is how many of them, in a larger fleet, it asks for the ejections in their tables too.
	PeerTableFanout = 4
	// PeerTableParts is the divisor of SlowLink that gives the rate at which a proxy without a leader fetches
	// tables from its peers.
	PeerTableParts = 4
	// ProxyLive is how long after its last pull a proxy has its share of the targets' caps.
	ProxyLive = 2 * time.Second
	// ProxyExpiry is how long a proxy is not heard before the leader removes it from the proxy membership: longer
	// than a machine's restart.
	ProxyExpiry = 60 * time.Second
	// FirstProxiesWait is how long a leader with an empty proxy membership gathers proxies, to admit them together.
	FirstProxiesWait = 500 * time.Millisecond
	// GatherTablesWait is how long a new leader waits for tables from a majority of the proxies.
	GatherTablesWait = 1500 * time.Millisecond
)
