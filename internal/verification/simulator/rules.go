package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
	"myrtlefold/internal/verification/linearizability"
)

// Rule is the name of a safety or liveness property that is checked during a run. World.Failure begins with the name of the
// rule that was violated.
type Rule string

// Rules of requests.
const (
	ruleAtMostOnce         Rule = "at most once"                    // a non-idempotent request runs at most once
	ruleRejectedRequest    Rule = "rejected requests not run"       // a request that is reported as rejected has not run
	ruleRetryAfter         Rule = "Retry-After on rejection"        // a temporary rejection has a Retry-After
	ruleOwnResponse        Rule = "response matches request"        // a request gets its own response
	ruleRightService       Rule = "correct service"                 // a request reaches only targets of its service
	ruleDrainingTarget     Rule = "no requests to draining targets" // a draining target gets no new requests after drainingBound
	ruleCrashedTarget      Rule = "no requests to crashed targets"  // a crashed target gets no requests after crashedBound
	ruleEmptiedDomain      Rule = "no requests to emptied domains"  // an emptied domain gets no requests
	ruleWarmingConcurrency Rule = "warming concurrency limit"       // a warming target gets at most warmingConcurrency requests at once
	ruleWarmupRate         Rule = "warm-up rate limit"              // a target that warms up gets at most 1.5 times its warm-up rate plus 5 requests in any second
	ruleRetryBudget        Rule = "retry budget"                    // retries stay a small fraction of all attempts
	ruleInFlightCount      Rule = "in-flight count"                 // a proxy without open requests counts none in flight
	ruleGracefulStop       Rule = "graceful stop"                   // planned stops and changes lose no request and no API call
)

// Rules of the control plane and its configurations.
const (
	ruleSingleLeader         Rule = "one leader"                   // at most one member holds the lease
	ruleConfigurationInForce Rule = "configuration in force"       // proxies serve with the acknowledged configuration or a later one
	ruleRevisionOrder        Rule = "revision never decreases"     // a proxy's revision never decreases
	ruleOneChangePerBase     Rule = "one change per base revision" // at most one of several changes on the same base is accepted
	ruleDurability           Rule = "durability"                   // an acknowledged change is not lost
	ruleAcceptedChange       Rule = "accepted changes recorded"    // an accepted change is recorded as accepted
	ruleRejectedChange       Rule = "rejected changes not applied" // a rejected change is not recorded as accepted
	ruleLinearizable         Rule = "linearizability"              // reads and changes of the configuration are linearizable
)

// Rules of recovery.
const (
	ruleBootstrap    Rule = "bootstrap"                 // a new fleet elects a leader and serves in time
	ruleRecoveryTime Rule = "recovery time"             // the fleet serves again within recoveryBound after healing
	ruleFullCapacity Rule = "full capacity"             // all ready targets are in use again within recoveryBound after healing
	ruleServingAgain Rule = "throughput after recovery" // after recovery at least servedShare of the plan's request rate is served
)

// Maximum times until a draining or crashed target gets no more requests. The requirement is "about 2 s".
const (
	drainingBound = 2 * time.Second
	crashedBound  = 2 * time.Second
	// crashedAfterLeaderLossBound is the bound if the leader was lost around the time of the crash. In the worst case the
	// leader was one failed health check short of ejecting the target. A proxy must then detect the loss of the leader and make
	// two health checks of its own, which adds to the time that passed under that leader.
	crashedAfterLeaderLossBound = 2500 * time.Millisecond
)

// checks holds what the rules' checks need to know about the run so far.
type checks struct {
	history        linearizability.History
	domains        linearizability.DomainHistory
	acknowledged   uint64                   // highest acknowledged revision
	acknowledgedAt map[uint64]time.Duration // time of the first acknowledgement of each revision
	emptiedAt      map[string]time.Duration // time at which the emptying of each emptied domain was acknowledged
	// leadershipLostAt is the last time at which a leader lost its lease or a proxy lost its leader.
	leadershipLostAt time.Duration
	plannedOnly      bool // the run has only planned stops and changes, so no request may be lost
}

func newChecks() checks {
	return checks{acknowledgedAt: map[uint64]time.Duration{}, emptiedAt: map[string]time.Duration{}}
}

// violated records the violation of a rule with a description, which ends the run. Only the first violation is kept.
func (w *World) violated(rule Rule, format string, a ...any) {
	if w.Failure == "" {
		w.Failure = string(rule) + ": " + fmt.Sprintf(format, a...)
		w.logf("rule violated: %s", w.Failure)
	}
}

// acknowledge records that a revision was acknowledged to an operator.
func (w *World) acknowledge(revision uint64) {
	w.checks.acknowledged = max(w.checks.acknowledged, revision)
	if w.checks.acknowledgedAt[revision] == 0 {
		w.checks.acknowledgedAt[revision] = w.now
	}
}

// forgetAcknowledgements discards all acknowledged revisions and all recorded changes, for runs that lose all state
// intentionally.
func (w *World) forgetAcknowledgements() {
	w.checks.acknowledged, w.operators.changes = 0, nil
	clear(w.checks.acknowledgedAt)
}

// checkSingleLeader checks that at most one running control daemon holds a lease at any moment of virtual time, across all
// epochs.
func (w *World) checkSingleLeader(p *Process) {
	if !p.controller.HoldsLease(p.localTime()) {
		return
	}
	for _, name := range w.processes.names {
		other := w.process(name)
		if other != p && other.controller != nil && other.alive && other.controller.HoldsLease(other.localTime()) {
			w.violated(ruleSingleLeader, "%s and %s both hold a lease", p.name, other.name)
		}
	}
}

// checkRevisionNeverDecreases checks that a proxy's revision is not lower than before.
func (w *World) checkRevisionNeverDecreases(p *Process) {
	revision := p.proxy.Revision()
	if revision < p.highestRevision {
		w.violated(ruleRevisionOrder, "%s went back from revision %d to %d", p.name, p.highestRevision, revision)
		return
	}
	p.highestRevision = revision
}

// checkChoice checks that a proxy may forward a request to the target that it has just chosen.
func (w *World) checkChoice(a *attempt) {
	revision, target := a.process.proxy.Revision(), &a.command.Target
	if revision < w.checks.acknowledged {
		w.violated(ruleConfigurationInForce, "%s serves with revision %d, but revision %d was acknowledged", a.process.name, revision, w.checks.acknowledged)
	}
	if at, emptied := w.checks.emptiedAt[target.Domain]; emptied && w.now > at {
		w.violated(ruleEmptiedDomain, "%s forwards a request to %s/%s in domain %s, which was emptied %v ago", a.process.name, target.Service, target.Name, target.Domain, w.now-at)
	}
	a.request.revision = revision
	w.checkTarget(a)
}

// checkWrite repeats the checks when the first byte of a request is written, which a frozen process does late. A choice that was
// valid may be used for tuning.ChoiceTTL.
func (w *World) checkWrite(a *attempt) {
	timeToLive := tuning.ChoiceTTL * 21 / 20 // 5 % longer, for slow clocks
	for revision, at := range w.checks.acknowledgedAt {
		if revision > a.request.revision && w.now-at > timeToLive {
			w.violated(ruleConfigurationInForce, "%s writes a request with a target chosen at revision %d, but revision %d was acknowledged %v ago", a.process.name, a.request.revision, revision, w.now-at)
		}
	}
	target := &a.command.Target
	if at, emptied := w.checks.emptiedAt[target.Domain]; emptied && w.now-at > timeToLive {
		w.violated(ruleEmptiedDomain, "%s writes a request to %s/%s in domain %s, which was emptied %v ago", a.process.name, target.Service, target.Name, target.Domain, w.now-at)
	}
	w.checkTarget(a)
}

// checkTarget checks that the target has not been draining or crashed for longer than the bounds allow.
func (w *World) checkTarget(attempt *attempt) {
	id := attempt.command.Target.ID()
	for _, t := range w.targets.all {
		if t.id() != id {
			continue
		}
		if t.drainAcknowledgedAt > 0 {
			elapsed := w.now - t.drainAcknowledgedAt
			w.Stats.LatestToDraining = max(w.Stats.LatestToDraining, elapsed)
			if elapsed > drainingBound {
				w.violated(ruleDrainingTarget, "%s (%s) sends a request to %s, which has been draining for %v", attempt.process.name, attempt.process.proxy.State(), t.fullName(), elapsed)
			}
		}
		if !t.alive && t.crashedAt > 0 {
			elapsed := w.now - t.crashedAt
			w.Stats.LatestToCrashed = max(w.Stats.LatestToCrashed, elapsed)
			bound := crashedBound
			if w.checks.leadershipLostAt >= t.crashedAt-time.Second {
				bound = crashedAfterLeaderLossBound
			}
			if elapsed > bound {
				w.violated(ruleCrashedTarget, "%s (%s) sends a request to %s, which crashed %v ago", attempt.process.name, attempt.process.proxy.State(), t.fullName(), elapsed)
			}
		}
	}
}

// checkExecution checks a request when a target starts to run it.
func (w *World) checkExecution(t *Target, r *request) {
	r.executions++
	if r.nonIdempotent && r.executions > 1 {
		w.violated(ruleAtMostOnce, "non-idempotent request %d runs again, at %s", r.id, t.fullName())
	}
	if r.outcome == outcomeRejected {
		w.violated(ruleRejectedRequest, "request %d runs after it was rejected", r.id)
	}
	if t.state == wire.TargetWarming {
		w.checkWarmingConcurrency(t)
	}
}

// checkWarmingConcurrency checks the number of concurrent requests at a warming target that gets another request. It doesn't
// count requests of earlier incarnations of a proxy and requests that have ended for their callers.
func (w *World) checkWarmingConcurrency(t *Target) {
	count := 1
	for _, r := range t.inFlight {
		if r.proxy.alive && r.isAt(r.proxy) && w.callers.open[r.id] == r {
			count++
		}
	}
	w.Stats.MostWhileWarming = max(w.Stats.MostWhileWarming, count)
	if count > warmingConcurrency {
		w.violated(ruleWarmingConcurrency, "warming target %s has %d concurrent requests, the limit is %d", t.fullName(), count, warmingConcurrency)
	}
}

// checkWarmupRate checks that in any second a target that warms up gets no more than 1.5 times its rate plus 5 requests.
func (w *World) checkWarmupRate(t *Target) {
	if t.warmingUntil <= w.now || t.acknowledgedWarmingUntil != t.warmingUntil || w.now < t.warmupEnforcedFrom {
		t.recentArrivals = nil
		return
	}
	w.Stats.WarmupArrivals++
	t.recentArrivals = append(slices.DeleteFunc(t.recentArrivals, func(at time.Duration) bool { return w.now-at >= time.Second }), w.now)
	if limit := w.Plan.WarmupRate*1.5 + 5; float64(len(t.recentArrivals)) > limit {
		w.violated(ruleWarmupRate, "target %s got %d requests within a second, its warm-up rate is %v", t.fullName(), len(t.recentArrivals), w.Plan.WarmupRate)
	}
}

// CheckRetryBudget checks that the retries in any window of tuning.RetryWindow stay within the budget: a fifth of the attempts,
// plus a number of free retries that depends on the number of proxies.
func (w *World) CheckRetryBudget() {
	for _, service := range slices.Sorted(maps.Keys(w.callers.attempts)) {
		w.checkRetryBudgetOf(service, w.callers.attempts[service])
	}
}

func (w *World) checkRetryBudgetOf(service string, attempts []attemptRecord) {
	free := max(tuning.RetrySlack, w.Plan.Proxies)
	oldest, retries, traffic := 0, 0, 0 // counts for the window that ends with the latest attempt
	for _, latest := range attempts {
		traffic++
		if latest.retry {
			retries++
		}
		for attempts[oldest].at < latest.at-tuning.RetryWindow {
			traffic--
			if attempts[oldest].retry {
				retries--
			}
			oldest++
		}
		if retries > traffic/tuning.RetryRatioDivisor+free+2 {
			w.violated(ruleRetryBudget, "service %s: %d retries among %d attempts in 10 s", service, retries, traffic)
		}
	}
}

// checkOneChangePerBase checks an accepted configuration change against those accepted before on the same base. Only the same
// document with the same resulting revision may be accepted again.
func (w *World) checkOneChangePerBase(c *change) {
	for _, other := range w.operators.changes {
		sameBase := other != c && other.kind == changeConfig && other.state == changeAccepted && other.base == c.base
		if sameBase && (other.document != c.document || other.revision != c.revision) {
			w.violated(ruleOneChangePerBase, "changes %s and %s were both accepted on base revision %d", other.token, c.token, c.base)
		}
	}
}

// CheckAcknowledgedChanges checks that the leader still has all acknowledged changes and that no rejected change took effect.
func (w *World) CheckAcknowledgedChanges() {
	leader := w.Leader()
	if leader == nil {
		return
	}
	if revision := leader.controller.Revision(); revision < w.checks.acknowledged {
		w.violated(ruleDurability, "revision %d was acknowledged, but the leader has revision %d", w.checks.acknowledged, revision)
	}
	records := map[string]state.Record{}
	for _, record := range leader.controller.ChangeRecords() {
		records[record.ID] = record
	}
	for _, c := range w.operators.changes {
		record, found := records[c.token]
		if !found {
			continue
		}
		if c.state == changeRejected && record.Outcome == state.OutcomeAccepted {
			w.violated(ruleRejectedChange, "change %s was rejected but is recorded as accepted", c.token)
		}
		if c.state == changeAccepted && record.Outcome != state.OutcomeAccepted {
			w.violated(ruleAcceptedChange, "change %s was accepted but is recorded as %v", c.token, record.Outcome)
		}
	}
}

// checkNothingInFlight checks that no proxy with a lease from the leader counts requests in flight once all requests have ended.
func (w *World) checkNothingInFlight() {
	for _, name := range w.processes.names {
		if p := w.process(name); w.Failure == "" && p.proxy != nil && p.alive && p.proxy.State() == dataplane.Leased && p.proxy.InFlight() > 0 {
			w.violated(ruleInFlightCount, "%s still counts %d requests in flight", name, p.proxy.InFlight())
		}
	}
}
