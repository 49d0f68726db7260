package simulator

import "time"

// Plan describes a fleet: its size, load, and settings.
type Plan struct {
	ControlDaemons int // number of control daemons at the start, including standbys
	Proxies        int // number of proxies at the start
	Domains        int // number of failure domains, to which daemons and targets are assigned in turn
	// SeedNodes is the number of seed nodes: the control daemons whose addresses all daemons get when they start. Control daemons
	// that start within bootstrapWindow then have the setting for a first bootstrap. 0: the first three daemons are the seed
	// nodes, and ControlDaemons is the configured number of members to bootstrap.
	SeedNodes         int
	Services          map[string]int // number of targets of each service
	ConfiguredDomains []string       // domains in the control daemons' settings

	Rate          float64 // requests per second
	NonIdempotent float64 // fraction of requests that must not run twice
	Resubmitted   float64 // fraction of unserved requests that their callers send again at once
	// PersistentConnections is the number of connections that callers reuse until they are closed. 0: each request goes to a
	// ready proxy on a connection of its own.
	PersistentConnections int

	Slots           int           // slots that targets report; the configuration then has routes instead of rules; 0: neither
	ConnectionLimit int           // connections that a target accepts from all proxies together; it resets further ones; 0: no limit
	WarmupRate      float64       // requests per second that a target can handle while it warms up; 0: no limit
	HeartbeatEvery  time.Duration // interval of the targets' heartbeats; 0: tuning.TargetHeartbeatEvery
	// ReportToControlOnly means that targets send heartbeats only to control daemons, not to proxies.
	ReportToControlOnly bool

	Resources *LimitedResources // nil: processors and links take no time
	CatchUp   time.Duration     // time from the start of a replacement until the control plane must tolerate the next loss; 0: not set
	Losses    int               // number of control machines that may be lost at once; 0: not set
	Grace     time.Duration     // configured time from a proxy's stop signal until it is killed; 0: not set

	Digest bool // whether to compute the run's digest, see World.Digest
}

// Small is a fleet that is large enough for all behavior and still runs fast.
var Small = Plan{ControlDaemons: 3, Proxies: 5, Domains: 3, Services: map[string]int{"fares": 5, "pay": 4}, Rate: 60, NonIdempotent: 0.4, Resubmitted: 0.5}

// Plans are the plans by name: Small, and models of the users' two deployments.
var Plans = map[string]Plan{
	"small":   Small,
	"kelani":  {ControlDaemons: 3, Proxies: 12, Domains: 3, Services: map[string]int{"records": 30, "monitoring": 6}, Rate: 210, NonIdempotent: 0.3, Resubmitted: 0.8},
	"kiyihat": {ControlDaemons: 5, Proxies: 8, Domains: 4, Services: map[string]int{"fares": 14, "payments": 9, "documents": 8}, Rate: 630, NonIdempotent: 0.2, Resubmitted: 0.3},
}
