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

// Rule is what must never happen, or must always come about; a world's failure begins with it.
type Rule string

// Rules of requests.
const (
	ruleAtMostOnce         Rule = "ran twice"          // what must not run twice does not
	ruleRejectedRequest    Rule = "refused but ran"    // what is reported as not run has not run
	ruleRetryAfter         Rule = "come back when"     // a rejection for now says when to retry
	ruleOwnResponse        Rule = "another's answer"   // a request gets its own response
	ruleRightService       Rule = "wrong service"      // a request reaches a target of its service
	ruleDrainingTarget     Rule = "leaving"            // a leaving target gets no requests
	ruleCrashedTarget      Rule = "gone"               // a crashed target gets no requests
	ruleEmptiedDomain      Rule = "emptied domain"     // an emptied domain gets no requests
	ruleWarmingConcurrency Rule = "warming"            // a warming target gets few requests at once
	ruleWarmupRate         Rule = "cold rate"          // a target that warms up gets few requests a second
	ruleRetryBudget        Rule = "retry budget"       // retries stay a small part of all attempts
	ruleInFlightCount      Rule = "forgotten exchange" // a proxy without requests counts none in flight
	ruleGracefulStop       Rule = "in flight"          // planned work loses no request and no call
)

// Rules of the control plane and its configurations.
const (
	ruleSingleLeader         Rule = "one leader"                // at most one member decides
	ruleConfigurationInForce Rule = "not in force"              // what was acknowledged is followed
	ruleRevisionOrder        Rule = "slipped back"              // a proxy's revision never decreases
	ruleOneChangePerBase     Rule = "one base"                  // of changes on one base one is accepted
	ruleDurability           Rule = "forgotten"                 // what was acknowledged stays
	ruleAcceptedChange       Rule = "accepted but not in force" // an accepted change is on record as such
	ruleRejectedChange       Rule = "refused but in force"      // a rejected change takes no effect
	ruleLinearizable         Rule = "history"                   // all replies fit one order of events
)

// Rules of recovery.
const (
	ruleBootstrap    Rule = "start"         // a fleet that is switched on serves
	ruleRecoveryTime Rule = "back in 15 s"  // after healing it serves again
	ruleFullCapacity Rule = "capacity back" // after healing all targets are used again
	ruleServingAgain Rule = "serving again" // after healing most requests are served
)

// The brief's bounds of "about 2 s".
const (
	drainingBound = 2 * time.Second
	crashedBound  = 2 * time.Second
	// crashedAfterLeaderLossBound is the same when the leader was lost in those very seconds, one missed health check
	// short of the ejection: the time that it had spent is added to a proxy's doubt and its own two health checks.
	crashedAfterLeaderLossBound = 2500 * time.Millisecond
)

// checks is what the rules need to know of the run so far.
type checks struct {
	history        linearizability.Log
	acknowledged   uint64                   // highest acknowledged revision
	acknowledgedAt map[uint64]time.Duration // when each revision first was
	emptiedAt      map[string]time.Duration // when the emptying of each domain was acknowledged
	// leadershipLostAt is when a leader last lost its lease, or a proxy its leader.
	leadershipLostAt time.Duration
	plannedOnly      bool // only planned work is done: no request may be lost
}

func newChecks() checks {
	return checks{acknowledgedAt: map[uint64]time.Duration{}, emptiedAt: map[string]time.Duration{}}
}

// violated notes that a rule is broken, and how; the run ends then. Only the first one is kept.
func (w *World) violated(rule Rule, format string, a ...any) {
	if w.Failure == "" {
		w.Failure = string(rule) + ": " + fmt.Sprintf(format, a...)
		w.logf("RULE BROKEN %s", w.Failure)
	}
}

// acknowledge notes that a revision was acknowledged to an operator.
func (w *World) acknowledge(revision uint64) {
	w.checks.acknowledged = max(w.checks.acknowledged, revision)
	if w.checks.acknowledgedAt[revision] == 0 {
		w.checks.acknowledgedAt[revision] = w.now
	}
}

// forgetAcknowledgements is for runs that lose all state by intention.
func (w *World) forgetAcknowledgements() {
	w.checks.acknowledged, w.operators.changes = 0, nil
	clear(w.checks.acknowledgedAt)
}

// checkSingleLeader checks that at most one member decides at any moment of real time, within an
// epoch and beyond it.
func (w *World) checkSingleLeader(p *Process) {
	if !p.controller.HoldsLease(p.localTime()) {
		return
	}
	for _, name := range w.processes.names {
		other := w.process(name)
		if other != p && other.controller != nil && other.alive && other.controller.HoldsLease(other.localTime()) {
			w.violated(ruleSingleLeader, "%s and %s both decide", p.name, other.name)
		}
	}
}

// checkRevisionNeverDecreases checks a proxy's revision.
func (w *World) checkRevisionNeverDecreases(p *Process) {
	revision := p.proxy.Revision()
	if revision < p.highestRevision {
		w.violated(ruleRevisionOrder, "%s went from revision %d to %d", p.name, p.highestRevision, revision)
		return
	}
	p.highestRevision = revision
}

// checkChoice checks that a proxy may forward a request to the target that it has chosen now.
func (w *World) checkChoice(a *attempt) {
	revision, target := a.process.proxy.Revision(), &a.command.Target
	if revision < w.checks.acknowledged {
		w.violated(ruleConfigurationInForce, "%s serves on revision %d, %d was acknowledged", a.process.name, revision, w.checks.acknowledged)
	}
	if at, emptied := w.checks.emptiedAt[target.Domain]; emptied && w.now > at {
		w.violated(ruleEmptiedDomain, "%s gives an exchange to %s/%s in %s, emptied %v ago", a.process.name, target.Service, target.Name, target.Domain, w.now-at)
	}
	a.request.revision = revision
	w.checkTarget(a)
}

// checkWrite checks the same once more when the first byte goes out, which a frozen process
// does late. A choice that was right may be carried out for its short time to live.
func (w *World) checkWrite(a *attempt) {
	timeToLive := tuning.ChoiceTTL * 21 / 20 // as the slowest clock counts it
	for revision, at := range w.checks.acknowledgedAt {
		if revision > a.request.revision && w.now-at > timeToLive {
			w.violated(ruleConfigurationInForce, "%s writes what it chose on revision %d, %d was acknowledged %v ago", a.process.name, a.request.revision, revision, w.now-at)
		}
	}
	target := &a.command.Target
	if at, emptied := w.checks.emptiedAt[target.Domain]; emptied && w.now-at > timeToLive {
		w.violated(ruleEmptiedDomain, "%s writes to %s/%s in %s, emptied %v ago", a.process.name, target.Service, target.Name, target.Domain, w.now-at)
	}
	w.checkTarget(a)
}

// checkTarget checks that the target has not been leaving or dead for too long.
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
				w.violated(ruleDrainingTarget, "%s (%s) gives an exchange to %s, leaving for %v", attempt.process.name, attempt.process.proxy.State(), t.fullName(), elapsed)
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
				w.violated(ruleCrashedTarget, "%s (%s) gives an exchange to %s, gone for %v", attempt.process.name, attempt.process.proxy.State(), t.fullName(), elapsed)
			}
		}
	}
}

// checkExecution checks a request that a target begins to run.
func (w *World) checkExecution(t *Target, r *request) {
	r.executions++
	if r.nonIdempotent && r.executions > 1 {
		w.violated(ruleAtMostOnce, "exchange %d at %s", r.id, t.fullName())
	}
	if r.outcome == outcomeRejected {
		w.violated(ruleRejectedRequest, "exchange %d runs after its refusal", r.id)
	}
	if t.state == wire.TargetWarming {
		w.checkWarmingConcurrency(t)
	}
}

// checkWarmingConcurrency checks a warming target that gets one request more. Requests that a dead proxy left
// behind, or whose callers have their responses, don't count.
func (w *World) checkWarmingConcurrency(t *Target) {
	count := 1
	for _, r := range t.inFlight {
		if r.proxy.alive && r.isAt(r.proxy) && w.callers.open[r.id] == r {
			count++
		}
	}
	w.Stats.MostWhileWarming = max(w.Stats.MostWhileWarming, count)
	if count > warmingConcurrency {
		w.violated(ruleWarmingConcurrency, "%s has %d exchanges, bears %d", t.fullName(), count, warmingConcurrency)
	}
}

// checkWarmupRate checks that in any second a target that warms up gets no more than half over its rate and five.
func (w *World) checkWarmupRate(t *Target) {
	if t.warmingUntil <= w.now || t.acknowledgedWarmingUntil != t.warmingUntil || w.now < t.warmupEnforcedFrom {
		t.recentArrivals = nil
		return
	}
	w.Stats.WarmupArrivals++
	t.recentArrivals = append(slices.DeleteFunc(t.recentArrivals, func(at time.Duration) bool { return w.now-at >= time.Second }), w.now)
	if most := w.Plan.WarmupRate*1.5 + 5; float64(len(t.recentArrivals)) > most {
		w.violated(ruleWarmupRate, "%s got %d exchanges in a second, bears %v", t.fullName(), len(t.recentArrivals), w.Plan.WarmupRate)
	}
}

// CheckRetryBudget checks that retries stay within a fifth of the traffic of any 10 s, plus the allowance.
func (w *World) CheckRetryBudget() {
	for _, service := range slices.Sorted(maps.Keys(w.callers.attempts)) {
		w.checkRetryBudgetOf(service, w.callers.attempts[service])
	}
}

func (w *World) checkRetryBudgetOf(service string, attempts []attemptRecord) {
	free := max(tuning.RetryFree, w.Plan.Proxies)
	oldest, retries, traffic := 0, 0, 0 // of the window that ends with an attempt
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
		if retries > traffic/tuning.RetryShare+free+2 {
			w.violated(ruleRetryBudget, "%s: %d retries among %d sends in 10 s", service, retries, traffic)
		}
	}
}

// checkOneChangePerBase checks a configuration that was accepted against those accepted before on its base.
func (w *World) checkOneChangePerBase(c *change) {
	for _, other := range w.operators.changes {
		sameBase := other != c && other.kind == changeConfig && other.state == changeAccepted && other.base == c.base
		if sameBase && (other.document != c.document || other.revision != c.revision) {
			w.violated(ruleOneChangePerBase, "%s and %s were both accepted on %d", other.token, c.token, c.base)
		}
	}
}

// CheckAcknowledgedChanges checks that what was acknowledged is still agreed by the member that leads,
// and that what was rejected never took effect.
func (w *World) CheckAcknowledgedChanges() {
	leader := w.Leader()
	if leader == nil {
		return
	}
	if revision := leader.controller.Revision(); revision < w.checks.acknowledged {
		w.violated(ruleDurability, "revision %d was acknowledged, the leader has %d", w.checks.acknowledged, revision)
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
			w.violated(ruleRejectedChange, "%s", c.token)
		}
		if c.state == changeAccepted && record.Outcome != state.OutcomeAccepted {
			w.violated(ruleAcceptedChange, "%s", c.token)
		}
	}
}

// checkNothingInFlight checks that proxies count no requests when there are none.
func (w *World) checkNothingInFlight() {
	for _, name := range w.processes.names {
		if p := w.process(name); w.Failure == "" && p.proxy != nil && p.alive && p.proxy.State() == dataplane.Leased && p.proxy.InFlight() > 0 {
			w.violated(ruleInFlightCount, "%s still counts %d in flight", name, p.proxy.InFlight())
		}
	}
}
