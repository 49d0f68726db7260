package tuning

import "time"

// Discovery: which daemons there are.
const (
	// HelloEvery is the interval of hellos between daemons.
	HelloEvery = 300 * time.Millisecond
	// HelloLeasedEvery is the same for a proxy that has the leader's lease: its pulls show that it is there.
	HelloLeasedEvery = 1500 * time.Millisecond
	// HelloStartup is for how long after its start a control daemon that hears no leader sends hellos each
	// PreVoteInterval.
	HelloStartup = time.Second
	// RecoveredStateEvery is how often a proxy without a leader sends a control daemon the state that it keeps
	// for disaster recovery again.
	RecoveredStateEvery = 2 * time.Second
	// ListEvery is how often the same list of known daemons is sent to a daemon again: twice before a daemon
	// that is known from lists only is dropped, after half of DaemonExpiry.
	ListEvery = 3 * time.Second
	// DaemonExpiry is how long a daemon that is not heard stays in the list of known daemons.
	DaemonExpiry = 15 * time.Second
)

// Bootstrap and disaster recovery.
const (
	// BootstrapWait is how long those who could bootstrap a control plane without one of its machines wait for
	// it: longer than a daemon's restart, and with all that follows under 15 s.
	BootstrapWait = 5 * time.Second
	// RecoveryWait is how long a leader after a disaster recovery collects the states that proxies and surviving
	// members keep.
	RecoveryWait = 1500 * time.Millisecond
	// ConsentTTL is how long an operator's consent to a disaster recovery is valid.
	ConsentTTL = time.Minute
)

// Changes of the control plane's membership.
const (
	// VotersMax is how many voting members a control plane grows to if no size is configured: any three
	// machines, or a domain of three, may fail, and an entry is still synced by four members only.
	VotersMax = 7
	// MembersEvery is how often a leader checks the members while no change of the membership is under way.
	MembersEvery = HeartbeatEvery
	// CatchUpDefault is how long after a replacement's start the control plane must bear the next loss, if the
	// settings do not say.
	CatchUpDefault = 8 * time.Second
	// ReplaceParts is the divisor of that time that gives how long a member is not heard before a standby
	// replaces it. The rest is for an election, NewLeaderGrace and two changes (TestLostMemberIsReplacedInTime).
	ReplaceParts = 2
	// ReplaceAfterMin is the least such time: five hellos, so that a member with a late one is not replaced.
	ReplaceAfterMin = 5 * HelloEvery
	// NewLeaderGrace is how long a new leader listens before it takes a member for lost: four hellos.
	NewLeaderGrace = 4 * HelloEvery
	// GrowAfter is how long a standby must be there before a control plane that bears enough losses adds it:
	// longer than both machines of a planned replacement are there.
	GrowAfter = 5 * time.Second
	// HandoverWait is how long a member that stops waits for a standby to replace it: longer than an election,
	// sending a snapshot and two changes of the membership take. At most half the configured grace period.
	HandoverWait = 3 * time.Second
	// MemberExpiry is how long a member is not heard before it is removed without a replacement: longer than
	// a machine's restart.
	MemberExpiry = 60 * time.Second
)
