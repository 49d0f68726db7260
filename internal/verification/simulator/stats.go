package simulator

import "time"

// Stats holds the counters of a run, for reports and for scenes, which use them to show that the situation they test occurred.
type Stats struct {
	Steps int // number of events run

	// Requests, by their outcome.
	Requests, Served, Rejected, Unknown int
	Abandoned                           int           // requests whose proxy died, or whose connection from the caller was reset
	Canceled                            int           // requests that their callers canceled
	LongestGap                          time.Duration // longest time in which some service served no request

	// Attempts of requests.
	Retries                          int
	LostResponses, LostNonIdempotent int           // responses lost: all, and those to non-idempotent requests
	WrongIdentities                  int           // new connections that reached a different target than intended
	TargetRejections                 int           // attempts that full targets rejected
	WarmupArrivals                   int           // attempts at targets whose warm-up rate is enforced
	MostWhileWarming                 int           // maximum number of concurrent requests at a target in state warming
	LatestToDraining                 time.Duration // longest time from the acknowledgement of a target's draining to an attempt there
	LatestToCrashed                  time.Duration // longest time from a target's crash to an attempt there

	// Connections of proxies to targets.
	OpenedConnections     int // connections opened for requests
	MostConnections       int // maximum number of connections of one target, including the one being opened
	OverConnectionLimit   int // connections that a target reset because of its connection limit
	ResetAttempts         int // attempts whose connections were reset
	SurplusResponses      int // surplus responses detected on idle connections
	MismatchedResponses   int // surplus responses that were read instead of a request's response
	ProxyHealthChecks     int // health checks of targets by proxies
	Drains, TargetCrashes int

	// Operators' changes, by their outcome.
	Changes, AcceptedChanges, RejectedChanges, UnknownChanges int
	LostReplies                                               int             // lost replies to changes, after each of which the change was sent again
	AbandonedCalls                                            int             // changes of domains that operators gave up without a reply and sent again
	HeldCalls                                                 int             // changes of domains that the network held
	EmptiedDomains                                            int             // number of times that the emptying of a domain was acknowledged
	ChangeLatencies                                           []time.Duration // times from sending to acknowledgement of the accepted changes
	SlowestChange                                             time.Duration   // the longest of these

	// Daemons.
	GracefulStops     int           // stop signals
	ReplacedMachines  int           // control machines that were replaced permanently
	PeerServing       int           // number of times that a proxy started to serve on its peers' leases
	DelayedSteps      int           // steps of a daemon whose commands were executed after a pause
	ReorderedMessages int           // messages that arrived seconds late and out of order
	RejectedWrites    int           // writes that a full disk rejected
	RecoveryTime      time.Duration // from healing to full capacity
}
