package tuning

import "time"

// Discovery of daemons.
const (
	// HelloEvery is the interval of hellos between daemons.
	HelloEvery = 300 * time.Millisecond
	// HelloLeasedEvery is the same for a proxy with the leader's lease, whose pulls already show that it is alive.
	HelloLeasedEvery = 1500 * time.Millisecond
	// HelloStartup is how long after its start a control daemon without contact to a leader sends hellos at
	// PreVoteInterval.
	HelloStartup = time.Second
	// RecoveredStateEvery is how often a proxy without a leader resends to a control daemon the state that it keeps
	// for disaster recovery.
	RecoveredStateEvery = 2 * time.Second
	// ListEvery is how often an unchanged list of known daemons is sent to a daemon again. It is sent twice within
	// half of DaemonExpiry, the time after which a daemon that is known from lists only is dropped.
	ListEvery = 3 * time.Second
	// DaemonExpiry is how long a silent daemon stays in the list of known daemons.
	DaemonExpiry = 15 * time.Second
)

// Bootstrap and disaster recovery.
const (
	// BootstrapWait is how long daemons that could bootstrap a control plane without one of its machines wait for
	// that machine. It exceeds the time that a daemon needs to restart, and with all later steps stays below 15 s.
	BootstrapWait = 5 * time.Second
	// RecoveryWait is how long a leader after a disaster recovery collects the states that proxies and surviving
	// members keep.
	RecoveryWait = 1500 * time.Millisecond
	// ConsentTTL is how long an operator's consent to a disaster recovery is valid.
	ConsentTTL = time.Minute
)

// Changes of the control plane's membership.
const (
	// VotersMax is the number of voting members to which a control plane grows if no size is configured. With it any
	// three machines, or a domain of three, may fail, and an entry needs a sync by only four members.
	VotersMax = 7
	// MembershipReviewEvery is how often a leader checks the members while no change of the membership is in progress.
	MembershipReviewEvery = HeartbeatEvery
	// CatchUpDefault is the time after the start of a replacement within which the control plane must be able to
	// survive the next loss, unless the settings give another time.
	CatchUpDefault = 8 * time.Second
	// ReplacementDivisor is the divisor of the catch-up time that gives how long a member must be silent before a
	// standby replaces it. The rest is for an election, NewLeaderGrace and two membership changes
	// (TestLostMemberIsReplacedInTime).
	ReplacementDivisor = 2
	// ReplaceAfterMin is the minimum time that a member must be silent before it is replaced: five hello intervals,
	// so that a member with a delayed hello is not replaced.
	ReplaceAfterMin = 5 * HelloEvery
	// NewLeaderGrace is how long a new leader waits for hellos before it considers a member lost: four hellos.
	NewLeaderGrace = 4 * HelloEvery
	// GrowAfter is how long a standby must be present before a control plane that can already survive enough losses
	// adds it. It exceeds the time during which both machines of a planned replacement are present.
	GrowAfter = 5 * time.Second
	// HandoverWait is how long a member that shuts down waits for a standby to replace it. It exceeds the duration of
	// an election, of sending a snapshot and of two membership changes, and is limited to half of the configured
	// grace period.
	HandoverWait = 3 * time.Second
	// MemberExpiry is how long a member must be silent to be removed without a replacement. It exceeds the time that
	// a machine needs to restart.
	MemberExpiry = 60 * time.Second
)
