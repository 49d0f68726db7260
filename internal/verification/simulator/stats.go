package simulator

import "time"

// Stats are what a run counted, for reports and for scenes that must show that their fault came about.
type Stats struct {
	Steps int // events that were run

	// Requests, by their outcome.
	Requests, Served, Rejected, Unknown int
	Abandoned                           int           // requests whose proxy died, or whose connection from the caller was reset
	Canceled                            int           // requests whose callers left
	LongestGap                          time.Duration // longest time without a served request of some service

	// Attempts of requests at targets.
	Retries                          int
	LostResponses, LostNonIdempotent int           // responses lost of all requests, and of those that must not run twice
	WrongIdentities                  int           // connections that opened to another target than was meant
	TargetRejections                 int           // attempts that full targets rejected
	WarmupArrivals                   int           // attempts at targets whose warm-up rate is enforced
	MostWhileWarming                 int           // requests at once at one target that is warming up
	LatestToDraining                 time.Duration // latest attempt after a target's draining was acknowledged
	LatestToCrashed                  time.Duration // latest attempt after a target's crash

	// Connections of proxies to targets.
	OpenedConnections     int // opened for requests
	MostConnections       int // of one target at once, counted as one more is opened
	OverConnectionLimit   int // that a target reset since it had too many
	ResetAttempts         int // attempts whose connections were reset
	SurplusResponses      int // surplus responses on idle connections
	MismatchedResponses   int // surplus responses that were read in place of a response
	ProxyHealthChecks     int // health checks of targets by proxies
	Drains, TargetCrashes int

	// Operators' changes, by their outcome.
	Changes, AcceptedChanges, RejectedChanges, UnknownChanges int
	LostReplies                                               int             // replies to changes that were lost, each of which was sent again
	EmptiedDomains                                            int             // acknowledged emptyings of domains
	ChangeLatencies                                           []time.Duration // of accepted changes, from sending to acknowledgement
	SlowestChange                                             time.Duration   // the longest of these

	// Daemons.
	GracefulStops     int           // stop signals
	ReplacedMachines  int           // control machines that were removed for good and have a successor
	PeerServing       int           // times that a proxy began to serve on its peers' leases
	DelayedSteps      int           // steps whose commands were carried out after a pause
	ReorderedMessages int           // messages that came seconds late and out of order
	RejectedWrites    int           // writes that a full disk rejected
	RecoveryTime      time.Duration // from healing to full capacity
}
