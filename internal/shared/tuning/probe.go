package tuning

import "time"

// Judging targets. A target's death is acted on within, at the worst,
// ProbeEvery + ProbeEvery + ProbeCap + one push: 0.45 + 0.45 + 0.4 + ~0.1 = 1.4 s, under 2 s.
const (
	// ProbeEvery is the watchdog's interval (the source's is 1 s; the 2 s rule wants less).
	ProbeEvery = 450 * time.Millisecond
	// ProbeTimeout is how long one probe may take (the source's 700 ms, cut for the same sum).
	ProbeTimeout = 400 * time.Millisecond
	// NewServiceSilence is how long a target of a service that no configuration names, and that is not probed,
	// may be silent, if its heartbeats were steady before, until it has to prove itself anew: one interval and a little. NamedSpread is over what time
	// the first probes go out once the service is named: with both, one that just died is ejected in time.
	NewServiceSilence     = TargetHeartbeatEvery + 100*time.Millisecond
	NewServiceProbeSpread = ProbeEvery / 2
	// IndirectAfter is how long the probe after a missed one may be unanswered before the leader has
	// IndirectProbes proxies probe in its place. What they report counts once it comes a PullEvery after
	// the leader's probe went out, and has ProbeCap - IndirectAfter = 0.25 s to come: two hops, a
	// probe and a tick. An ejection waits for nobody: it comes with the second miss as ever.
	IndirectAfter  = PullEvery
	IndirectProbes = 2
	// LeaderSuspectAfter is how long after its last granted pull a proxy begins to probe and to touch its
	// peers: two pulls and a little, so that a healthy leader is seldom doubted.
	LeaderSuspectAfter = 330 * time.Millisecond
	// LeaderSuspectAfterLarge is the same in a fleet of more than TouchMost proxies: a leader that is a little late must
	// not be doubted by all of them, whose questions and probes are most of what makes a fleet slow then. Half the
	// lease is left to ask peers in.
	LeaderSuspectAfterLarge = ProxyLease / 2
	// SuspectProbeEvery is a doubting proxy's own probe interval: the leader, if it is lost, may have been
	// one miss short of an ejection. At the worst 0.45 + 0.45 + 0.4 s went by there and 0.33 + 0.4 + 0.4 go by here.
	SuspectProbeEvery = 200 * time.Millisecond
	// ProbePace is by how much more often than at rest probes may begin, and ProbesLeast how many may
	// in a tick in any case, so that small fleets are all probed in two ticks. Where all targets are due at once the last waits for
	// ProbeEvery / ProbePace = 0.36 s: 300 connections opened in a tick take a small machine longer
	// than LeaderLease. A target that missed a probe waits for no other.
	ProbePace        = 1.25
	ProbesPerTickMin = 16
	// ServingProbeIntervals is the most probe intervals in which one probe goes out to a target whose answers to requests
	// show that it lives. Fleets of at most WatchMost targets are probed at each.
	ServingProbeIntervals = 3
	// RegistryEvery is how often the agreed registry of targets is written, if something in it changed;
	// a report of leaving or gone is written at the next tick after another write.
	RegistryEvery = 250 * time.Millisecond
	// RegistryBatch is how many targets one write holds, RegistryMax how many targets, and tombstones of those
	// that are gone, the registry: at 300 bytes each 2.4 MB, and with all else under half a ring file.
	RegistryBatch = 256
	RegistryMax   = 4096
	// ProbeAllMax is how many targets a proxy without a leader probes each DoubtEvery, all of them. Where there are
	// more, each is probed by Watchers of the proxies each ProbeEvery: 9 probes a second for each target from
	// the fleet, four times the leader's at rest, and fewer the more requests tell.
	ProbeAllMax      = 40
	ProbersPerTarget = 4
	// ProbeMisses in a row make an ejection; the source's two.
	ProbeMisses = 2
	// EjectionTTL is the source's 30 s, after which an ejection lapses by itself.
	EjectionTTL = 30 * time.Second
	// EjectionMaxTTL is the longest ejection that a policy may ask for.
	EjectionMaxTTL = 10 * time.Minute
	// ReconcileEvery is the source's 10 s full rewrite.
	ReconcileEvery = 10 * time.Second
	// TargetHeartbeatEvery is the interval of heartbeats that back ends are to keep.
	TargetHeartbeatEvery = 500 * time.Millisecond
	// TargetHeartbeatTimeout is how long a target may be silent before it no longer counts as alive by its heartbeats:
	// three intervals and a little, and with one push still under the 2 s rule, since a service
	// whose targets are all ejected is served by those that send heartbeats.
	TargetHeartbeatTimeout = 1600 * time.Millisecond
	// StatsEvery is how often what proxies saw of a target becomes one event for the policies:
	// Window of them reach back over RetryWindow.
	StatsEvery = 500 * time.Millisecond
	// TargetExpiry is how long silence and missed probes together last before the entry goes.
	TargetExpiry = 20 * time.Second
	// ProofHeartbeats heartbeats over ProofSpan prove that a target is there when no probe reaches it: a
	// late heartbeat comes once, a repeated one with its first; a live target sends one every BeatEvery.
	ProofHeartbeats = 3
	ProofSpan       = 900 * time.Millisecond
	// TargetReportWait is how long a target's report of leaving or gone may wait until a majority of the proxies
	// has confirmed it: a target without an answer goes to the next daemon after 1 s.
	TargetReportWait = 850 * time.Millisecond
	// TargetReportRetry is after what time such a report is sent to the leader again, if no answer came.
	TargetReportRetry = 200 * time.Millisecond
	// DomainNameMax bounds a domain's name in bytes.
	DomainNameMax = 128
	// SlotsMax and ColdMax bound what a target may say of itself: far over any real one.
	SlotsMax  = 1000000
	WarmupMax = time.Hour
	// ShareOffsetsKept is how many names of targets that are gone a leader remembers the places of.
	ShareOffsetsKept = 4096
	// TombstoneKeep is how long after its last heartbeat a signed-off or superseded incarnation is refused.
	TombstoneKeep = 2 * time.Minute
	// PolicyWindow is the longest look back that a policy's condition has, in samples.
	PolicyWindow = 32
	// PolicyNodes bounds a condition's size.
	PolicyNodes = 200
	// PolicyMemory bounds what one evaluation may allocate, in the library's units.
	PolicyMemory = 10000
	// PoliciesMax is how many policies may be in force.
	PoliciesMax = 16
)
