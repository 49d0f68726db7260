package dataplane

import (
	"time"

	"myrtlefold/internal/shared/targetreport"
	"myrtlefold/internal/shared/wire"
)

// targetState is a target as the table has it, and what this proxy knows of it beside that.
type targetState struct {
	wire.Target

	// Membership.
	leaving    bool                // it is draining or leaves, by the table or by what was heard here
	heartbeats targetreport.Streak // those that were heard here
	newToFleet bool                // it came to the table of a leased proxy: no requests of earlier tables run there
	successor  *targetState        // a later incarnation, which no leader can put into the table now

	// Ejection.
	ejectedUntil         time.Duration // by the table
	ejectedAsUnreachable bool          // the table's ejection is for missed health checks
	ownEjectionUntil     time.Duration // by this proxy
	reinstatedAt         time.Duration // when an ejection was lifted
	avoidedUntil         time.Duration // after a failed connection it comes last
	failedConnects       int           // in a row

	// Health checks by this proxy.
	probedAt          time.Duration
	probePendingSince time.Duration    // 0: none is pending
	missedProbes      int              // in a row
	indirectProbe     bool             // the pending one was asked for by the leader
	lastServedAt      time.Duration    // when it last answered a request of this proxy
	statistics        wire.TargetStats // since the last report to the leader

	// Capacity, as far as this proxy may use it.
	slots  int  // how many requests the target may have at once from all proxies
	capped bool // slots are the operator's cap: no proxy goes beyond its quota
	quota  int  // this proxy's quota of the slots
	local  bool // it is in this proxy's domain

	// Warm-up: for some time after its start the target takes requests at a bounded rate only.
	warmupUntil    time.Duration
	warmupInterval time.Duration // between two requests of this proxy meanwhile, 0: it sends none
	nextWarmupAt   time.Duration // when the next request may go there

	// The state warming: until it is ready the target has a smaller cap, after that a slow start.
	readyAt             time.Duration // when it became ready
	warmingShare        int           // this proxy's share of the cap, the most it may use until warmingShareRisesAt
	nextWarmingShare    int           // the greater share that holds from then on
	warmingShareRisesAt time.Duration // 0: no change is pending

	// Load and speed.
	inFlight          int // this proxy's requests
	lastUsedAt        time.Duration
	fullUntil         time.Duration // it rejected a request as too many
	otherLoad         float64       // how many requests of other proxies it had at loadReportedAt
	loadReportedAt    time.Duration
	latencyRatio      float64 // of its response times to its routes' mean ones, 1: as usual
	latencySamples    int
	latencyObservedAt time.Duration
}

// leavingReport is the report that the target leaves.
func (t *targetState) leavingReport() wire.Target {
	report := t.Target
	report.State = wire.TargetLeaving
	return report
}
