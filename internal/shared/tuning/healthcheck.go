package tuning

import "time"

// Health checks by the leader. A target's death is in force everywhere within, at the worst,
// ProbeEvery + ProbeEvery + ProbeTimeout + one push: 0.45 + 0.45 + 0.4 + about 0.1 = 1.4 s, under the 2 s rule.
const (
	// ProbeEvery is the interval of probes of each target. The given design has 1 s, over the 2 s rule.
	ProbeEvery = 450 * time.Millisecond
	// ProbeTimeout is how long a probe may take. The given design has 700 ms, over the 2 s rule.
	ProbeTimeout = 400 * time.Millisecond
	// ProbeMisses is how many missed probes in a row eject a target. Source: the given design.
	ProbeMisses = 2
	// EjectionTTL is after what time an ejection lapses by itself. Source: the given design.
	EjectionTTL = 30 * time.Second
	// IndirectAfter is how long the probe after a missed one may be unanswered before the leader has proxies
	// probe the target too. Their report counts if it comes a PullEvery or more after the leader's probe went
	// out, and has ProbeTimeout - IndirectAfter = 0.25 s: two network hops, a probe and a tick. It delays no
	// ejection, which comes with the second miss.
	IndirectAfter = PullEvery
	// IndirectProbes is how many proxies do so.
	IndirectProbes = 2
	// ProbePace is by how much more often than at rest probes may begin. If all targets are due together the
	// last one waits ProbeEvery / ProbePace = 0.36 s: to open 300 connections in one tick takes a small machine
	// longer than LeaderLease. A target that missed a probe never waits.
	ProbePace = 1.25
	// ProbesPerTickMin is how many probes may begin in a tick in any case: a small fleet takes two ticks.
	ProbesPerTickMin = 16
	// ServingProbeIntervals is at most how many probe intervals pass between probes of a target that responds to
	// requests. Fleets of at most ProbeAllMax targets are probed at each interval.
	ServingProbeIntervals = 3
	// NewServiceSilence is how long a target of a service that no configuration names, and that is therefore
	// not probed, may send no heartbeat, after steady ones, until it is unconfirmed: one interval and a little.
	NewServiceSilence = TargetHeartbeatEvery + 100*time.Millisecond
	// NewServiceProbeSpread is over what time the first probes are spread once the service is named: with
	// NewServiceSilence, a target that has just died is ejected in time.
	NewServiceProbeSpread = ProbeEvery / 2
	// ProbeBody is how much of a probe's response is read, in bytes.
	ProbeBody = 4 << 10
	// ProbeConnIdle is how long an unused connection for probes is kept, which leaves none to removed targets.
	ProbeConnIdle = 10 * time.Second
)

// Health checks by the proxies, while they suspect the leader.
const (
	// SuspectProbeEvery is their interval. The leader, if it is lost, may have been one miss short of an
	// ejection: at the worst 0.45 + 0.45 + 0.4 s passed there, and 0.33 + 0.4 + 0.4 s pass here.
	SuspectProbeEvery = 200 * time.Millisecond
	// ProbeAllMax is up to how many targets each proxy probes all of them each SuspectProbeEvery.
	ProbeAllMax = 40
	// ProbersPerTarget is how many proxies probe each target, each ProbeEvery, if there are more targets: 9
	// probes a second for each target, four times the leader's at rest, and fewer where requests show that
	// it is alive.
	ProbersPerTarget = 4
	// ClosedEjection is how long a proxy ejects a target by itself after ProbeMisses failures in a row to open
	// a connection, until the leader's ejection arrives.
	ClosedEjection = 3 * time.Second
)

// Heartbeats of targets, and the registry of targets.
const (
	// TargetHeartbeatEvery is the interval at which targets are to send heartbeats.
	TargetHeartbeatEvery = 500 * time.Millisecond
	// TargetHeartbeatTimeout is how long a target may send no heartbeat before it counts as not alive by its
	// heartbeats: three intervals and a little, and with one push under the 2 s rule, since a service whose
	// targets are all ejected is served by those that send heartbeats.
	TargetHeartbeatTimeout = 1600 * time.Millisecond
	// ProofHeartbeats is how many heartbeats over ProofSpan show that a target is alive if no probe reaches
	// it. A late heartbeat comes once, and a repeated one with the first; a live target sends one every
	// TargetHeartbeatEvery.
	ProofHeartbeats = 3
	ProofSpan       = 900 * time.Millisecond
	// TargetExpiry is how long a target must miss both heartbeats and probes to be removed.
	TargetExpiry = 20 * time.Second
	// TargetReportWait is how long a target's report that it is leaving or gone may wait until a majority of the
	// proxies has confirmed it: without a response, a target tries the next daemon after 1 s.
	TargetReportWait = 850 * time.Millisecond
	// TargetReportRetry is after what time such a report is sent to the leader again without a response.
	TargetReportRetry = 200 * time.Millisecond
	// RegistryEvery is how often the replicated registry of targets is written, if it changed. A report of
	// leaving or gone is written at the next tick after another write.
	RegistryEvery = 250 * time.Millisecond
	// RegistryBatch is how many targets one write holds.
	RegistryBatch = 256
	// RegistryMax is how many targets, and how many tombstones, the registry holds: at 300 bytes each 2.4 MB, and
	// with all else under half a WAL file.
	RegistryMax = 4096
	// TombstoneKeep is how long after its last heartbeat an incarnation that is gone or superseded is rejected.
	TombstoneKeep = 2 * time.Minute
	// SlotsMax and WarmupMax bound what a target may report of itself: far over any real value.
	SlotsMax  = 1000000
	WarmupMax = time.Hour
	// DomainNameMax bounds the name of a failure domain, in bytes.
	DomainNameMax = 128
)
