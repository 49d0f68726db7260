package tuning

import "time"

// Health checks by the leader. The ejection of a dead target is in force everywhere within at most
// ProbeEvery + ProbeEvery + ProbeTimeout + one push: 0.45 + 0.45 + 0.4 + about 0.1 = 1.4 s, below the 2 s rule.
const (
	// ProbeEvery is the interval between probes of each target. The given design has 1 s, which would violate the
	// 2 s rule.
	ProbeEvery = 450 * time.Millisecond
	// ProbeTimeout is the time limit for a probe. The given design has 700 ms, which would violate the 2 s rule.
	ProbeTimeout = 400 * time.Millisecond
	// ProbeMisses is how many consecutive missed probes eject a target. Source: the given design.
	ProbeMisses = 2
	// EjectionTTL is the time after which an ejection expires. Source: the given design.
	EjectionTTL = 30 * time.Second
	// IndirectAfter is how long the probe after a missed one may be unanswered before the leader asks proxies to
	// probe the target too. Their report counts if it arrives at least PullEvery after the leader sent its probe. It
	// must arrive within ProbeTimeout - IndirectAfter = 0.25 s, which covers two network hops, a probe and a tick.
	// It does not delay ejections, which happen at the second miss.
	IndirectAfter = PullEvery
	// IndirectProbes is how many proxies are asked to probe a target whose probe is unanswered.
	IndirectProbes = 2
	// ProbeRateFactor is the factor by which probes may start faster than at the steady rate. If all targets are due at
	// once, the last one waits ProbeEvery / ProbeRateFactor = 0.36 s. Without this limit, opening 300 connections in one
	// tick would take a small machine longer than LeaderLease. A target that missed a probe never waits.
	ProbeRateFactor = 1.25
	// ProbesPerTickMin is the number of probes that may always start in a tick. A small fleet needs two ticks.
	ProbesPerTickMin = 16
	// ServingProbeIntervals is the maximum number of probe intervals between probes of a target that responds to
	// requests. In fleets of at most ProbeAllMax targets, every target is probed at each interval.
	ServingProbeIntervals = 3
	// UnprobedHeartbeatTimeout is how long a target of a service that is not in the configuration, and so is not probed, may
	// send no heartbeat after steady ones before it counts as unconfirmed: slightly more than one interval.
	UnprobedHeartbeatTimeout = TargetHeartbeatEvery + 100*time.Millisecond
	// NewServiceProbeSpread is the time over which the first probes are spread when a configuration adds the service.
	// Together with UnprobedHeartbeatTimeout it ensures that a target that has just died is ejected in time.
	NewServiceProbeSpread = ProbeEvery / 2
	// ProbeBodyMax is how much of the body of a probe's response is read, in bytes.
	ProbeBodyMax = 4 << 10
	// ProbeConnIdle is how long an idle connection for probes is kept, so that none to removed targets remain open.
	ProbeConnIdle = 10 * time.Second
)

// Health checks by the proxies, while they suspect that the leader has failed.
const (
	// SuspectProbeEvery is the interval of these probes. A leader that fails may have been one miss short of an
	// ejection: up to 0.45 + 0.45 + 0.4 s have passed there, and 0.33 + 0.4 + 0.4 s pass here.
	SuspectProbeEvery = 200 * time.Millisecond
	// ProbeAllMax is the number of targets up to which each proxy probes all of them every SuspectProbeEvery.
	ProbeAllMax = 40
	// ProbersPerTarget is how many proxies probe each target, each at ProbeEvery, if there are more targets. That
	// makes 9 probes a second for each target, four times the leader's steady rate, and fewer where requests show
	// that the target is alive.
	ProbersPerTarget = 4
	// ClosedEjection is how long a proxy ejects a target on its own after ProbeMisses consecutive failures to open a
	// connection, until the leader's ejection arrives.
	ClosedEjection = 3 * time.Second
)

// Heartbeats of targets, and the target registry.
const (
	// TargetHeartbeatEvery is the interval at which targets should send heartbeats.
	TargetHeartbeatEvery = 500 * time.Millisecond
	// TargetHeartbeatTimeout is the time without a heartbeat after which a target no longer counts as alive by its
	// heartbeats: slightly more than three intervals. Together with one push it must stay below the 2 s rule, since
	// a service whose targets are all ejected is served by those that send heartbeats.
	TargetHeartbeatTimeout = 1600 * time.Millisecond
	// AliveHeartbeatsMin is how many heartbeats, over at least AliveHeartbeatsSpan, show that a target is alive if no probe
	// reaches it. A delayed heartbeat arrives alone and a repeated one together with the first, whereas a live target
	// sends one every TargetHeartbeatEvery.
	AliveHeartbeatsMin  = 3
	AliveHeartbeatsSpan = 900 * time.Millisecond
	// TargetExpiry is how long a target must miss both heartbeats and probes to be removed.
	TargetExpiry = 20 * time.Second
	// TargetReportWait is how long a target's report that it is leaving or gone may wait for confirmation by a
	// majority of the proxies. Without a response, a target tries the next daemon after 1 s.
	TargetReportWait = 850 * time.Millisecond
	// TargetReportRetry is the time without a response after which such a report is sent to the leader again.
	TargetReportRetry = 200 * time.Millisecond
	// RegistryEvery is how often changes of the replicated target registry are written. A report of leaving or gone
	// is written at the tick after another write.
	RegistryEvery = 250 * time.Millisecond
	// RegistryBatch is the maximum number of targets in one write.
	RegistryBatch = 256
	// RegistryMax is the maximum number of targets, and of tombstones, in the registry. At 300 bytes each they take
	// 2.4 MB, which with all other state is below half of a WAL file.
	RegistryMax = 4096
	// TombstoneTTL is how long after its last heartbeat an incarnation that is gone or superseded is rejected.
	TombstoneTTL = 2 * time.Minute
	// SlotsMax and WarmupMax bound what a target may report of itself. They are far above any realistic value.
	SlotsMax  = 1000000
	WarmupMax = time.Hour
	// DomainNameMax bounds the name of a failure domain, in bytes.
	DomainNameMax = 128
)
