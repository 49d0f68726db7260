package simulator

import "time"

// Plan is the size of a fleet, its load, and what its settings say.
type Plan struct {
	ControlDaemons int // control daemons at the start: members of the control plane, and standbys
	Proxies        int // proxies at the start
	Domains        int // failure domains, over which daemons and targets are spread in turn
	// Seeds is how many control daemons bootstrap the control plane; the others learn of them. 0: all do, and
	// the number of members is given.
	Seeds             int
	Services          map[string]int // targets of each service
	ConfiguredDomains []string       // domains that the control daemons' settings name

	Rate          float64 // requests a second
	NonIdempotent float64 // part of the requests that must not run twice
	Resubmitted   float64 // part of unserved requests that their callers send again at once
	// PersistentConnections is how many connections callers keep and use until they are closed; 0: each request
	// goes to a ready proxy on a connection of its own.
	PersistentConnections int

	Slots           int           // requests at once that targets report, with routes in place of rules; 0: neither
	ConnectionLimit int           // connections that a target takes from all proxies together and resets beyond; 0: no limit
	WarmupRate      float64       // requests a second that a target bears while it warms up; 0: no limit
	HeartbeatEvery  time.Duration // between two heartbeats of a target; 0: tuning.TargetHeartbeatEvery
	// ReportToControlOnly: targets send their heartbeats to control daemons only, not to proxies.
	ReportToControlOnly bool

	Resources *LimitedResources // nil: processors and links take no time
	CatchUp   time.Duration     // from a replacement's start until the control plane must bear the next loss; 0: not set
	Losses    int               // control machines that may be lost at once; 0: not set
	Grace     time.Duration     // from a proxy's stop signal until it is killed, as its settings say; 0: not set

	Digest bool // compute the run's digest, see World.Digest
}

// Small is a fleet that shows all behaviour and still runs fast.
var Small = Plan{ControlDaemons: 3, Proxies: 5, Domains: 3, Services: map[string]int{"fares": 5, "pay": 4}, Rate: 60, NonIdempotent: 0.4, Resubmitted: 0.5}

// Plans are the fleets by name: the two deployments of the users, and the small one.
var Plans = map[string]Plan{
	"small":   Small,
	"kelani":  {ControlDaemons: 3, Proxies: 12, Domains: 3, Services: map[string]int{"records": 30, "monitoring": 6}, Rate: 210, NonIdempotent: 0.3, Resubmitted: 0.8},
	"kiyihat": {ControlDaemons: 5, Proxies: 8, Domains: 4, Services: map[string]int{"fares": 14, "payments": 9, "documents": 8}, Rate: 630, NonIdempotent: 0.2, Resubmitted: 0.3},
}
