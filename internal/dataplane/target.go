package dataplane

import (
	"time"

	"myrtlefold/internal/shared/targetreport"
	"myrtlefold/internal/shared/wire"
)

// targetState is a target's row of the table, together with this proxy's own state of the target.
type targetState struct {
	wire.Target

	// Membership.
	leaving    bool                // it is draining or leaving, by the table or by its own heartbeat
	heartbeats targetreport.Streak // as received by this proxy
	newToFleet bool                // added while this proxy had a lease, or as a successor, so no proxy sent it requests by an earlier table
	successor  *targetState        // another incarnation that is not in the table, see recordSuccessor; nil if there is none

	// Ejection.
	ejectedUntil         time.Duration // end of the ejection by the table
	ejectedAsUnreachable bool          // the table's ejection is due to missed probes
	ownEjectionUntil     time.Duration // end of the ejection by this proxy
	reinstatedAt         time.Duration // when an ejection was last lifted, 0 if never
	avoidedUntil         time.Duration // until then it is chosen last, after a failed connection
	failedConnects       int           // consecutive failed connections

	// Health checks by this proxy.
	probedAt          time.Duration    // when it was last probed
	probePendingSince time.Duration    // 0 if no probe is pending
	missedProbes      int              // consecutive missed probes
	indirectProbe     bool             // the pending probe was requested by the leader
	lastServedAt      time.Duration    // when it last served a request of this proxy
	statistics        wire.TargetStats // since the last report to the leader

	// Capacity.
	slots  int  // how many requests from all proxies the target may have at once
	capped bool // slots is limited by the operator's cap, so no proxy exceeds its quota
	quota  int  // this proxy's quota of the slots
	local  bool // it is in this proxy's domain

	// Warm-up: for some time after its start the target gets requests at a limited rate only.
	warmupUntil time.Duration // end of the warm-up
	// warmupInterval is the time between two requests of this proxy during the warm-up. Only some proxies share the
	// limited rate; it is 0 at the others, which send no requests until the warm-up ends.
	warmupInterval time.Duration
	nextWarmupAt   time.Duration // when this proxy may send the next request

	// State warming: until the target is ready it has a smaller cap, and then a slow start.
	readyAt             time.Duration // when it changed from warming to ready, 0 if that was not observed
	warmingShare        int           // this proxy's share of that cap, valid until warmingShareRisesAt
	nextWarmingShare    int           // the greater share that is valid from then on
	warmingShareRisesAt time.Duration // 0 if no change is pending

	// Load and speed.
	inFlight          int           // this proxy's requests at the target
	lastUsedAt        time.Duration // when a request was last forwarded to it
	fullUntil         time.Duration // until then it is not chosen, since it rejected a request as full
	otherLoad         float64       // number of requests from other proxies at loadReportedAt
	loadReportedAt    time.Duration // when the target last reported its load, 0 if never
	latencyRatio      float64       // of its response times to the means of their routes; 1 is average
	latencySamples    int           // response times in latencyRatio, from 0 again once that has decayed to 1
	latencyObservedAt time.Duration // when latencyRatio was last updated
}

// leavingReport returns a report that the target is leaving.
func (t *targetState) leavingReport() wire.Target {
	report := t.Target
	report.State = wire.TargetLeaving
	return report
}
