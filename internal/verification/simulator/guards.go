package simulator

import (
	"fmt"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// Guard is a mechanism of the daemons' state machines, or of the processes around them, that upholds a rule. A scene or test
// disables a guard in the simulated processes, or in the data that they forward, to show that the rule's check can fail. mfsim
// --rules prints its text.
type Guard string

// Guards of requests and targets.
const (
	guardNone               Guard = ""
	guardAtMostOnce         Guard = "no retry of non-idempotent requests" // non-idempotent requests that may have run aren't retried
	guardResponseIDs        Guard = "response ids"                        // a response to another request is discarded
	guardUnknownAfterSend   Guard = "outcome unknown after send"          // a request that was sent to a target is reported as unknown, not as rejected
	guardIdentity           Guard = "target identity"                     // a new connection is used only if it reached the intended target
	guardDraining           Guard = "draining report"                     // a draining target reports state leaving
	guardHealthChecks       Guard = "health checks"                       // a target that doesn't respond fails its health check
	guardEmptiedDomains     Guard = "emptied domains in tables"           // tables list the emptied domains
	guardWarmingConcurrency Guard = "warming concurrency limit"           // configurations limit concurrent requests at warming targets
	guardWarmupReport       Guard = "warm-up report"                      // targets report that they warm up
	guardRetryBudget        Guard = "retry budget"                        // retries are counted against the retry budget
	guardIdleConnections    Guard = "idle connections"                    // the limit of idle connections per proxy is derived from the limit for all proxies
)

// Guards of the control plane.
const (
	guardReplyInForce    Guard = "reply once in force"            // a change is acknowledged once all proxies follow it
	guardTableVersions   Guard = "table versions"                 // a message carries the version of the table that it was sent with, however late it arrives
	guardBaseRevision    Guard = "base revision"                  // a change names the revision on which it is based
	guardSync            Guard = "sync before acknowledgement"    // a write is synced before it is acknowledged
	guardGracefulStop    Guard = "graceful stop"                  // a stopping proxy completes its requests before it exits
	guardEndOfService    Guard = "end of service before sign-off" // a stopping proxy signs off once it routes no more requests
	guardBootstrapHellos Guard = "bootstrap hellos"               // control daemons find each other by hello messages before they bootstrap
	guardClockRate       Guard = "clock rate"                     // clock rates differ from true time by at most 2 %
	// guardReadsAtLeader ensures that only the leader answers reads from its own state.
	guardReadsAtLeader Guard = "reads at leader"
	// guardMajorityBeforeReply ensures that a leader acknowledges a change only once a majority has it.
	guardMajorityBeforeReply Guard = "majority before reply"
	// guardIdempotentChanges ensures that an accepted change is accepted again when it is repeated.
	guardIdempotentChanges Guard = "idempotent changes"
	// guardFreshClock ensures that the time of a step is read after its event has arrived. Otherwise a process that was
	// frozen in between would use an expired lease.
	guardFreshClock Guard = "clock read after event"
	// guardCallerKnown ensures that a change which names no base is judged by what the daemon knew while its caller was
	// certainly waiting, not by what it knows when it reads the change.
	guardCallerKnown Guard = "position while the caller waits"
	// guardChangePosition ensures that such a change is executed only if no later one may be in the log.
	guardChangePosition Guard = "position of changes"
)

// replyWithoutGuard returns the reply that a member would give to a call without the disabled guard, and whether it replaces the
// member's own reply.
func (w *World) replyWithoutGuard(p *Process, c statemachine.Call) (reply statemachine.Reply, replaced bool) {
	if p.controller == nil || !p.alive || p.frozen {
		return statemachine.Reply{}, false
	}
	changes, base, revision := changesConfiguration(c.Method, c.Path), queryNumber(c.Query, "base"), p.controller.Revision()
	switch {
	case w.disabledGuard == guardReadsAtLeader && readsConfiguration(c.Method, c.Path):
		return statemachine.Reply{ID: c.ID, Status: 200, Body: fmt.Appendf(nil, `{"revision":%d}`, revision)}, true
	case w.disabledGuard == guardMajorityBeforeReply && changes && p.controller.Leading() && base == revision:
		w.deliver(p, c)
		return statemachine.Reply{ID: c.ID, Status: 200, Body: fmt.Appendf(nil, `{"revision":%d}`, base+1)}, true
	case w.disabledGuard == guardIdempotentChanges && changes && p.controller.Leading() && base < revision:
		return statemachine.Reply{ID: c.ID, Status: 412, Body: fmt.Appendf(nil, `{"error":{"revision":%d}}`, revision)}, true
	}
	return statemachine.Reply{}, false
}

// randomClockRate returns a random rate for a process's clock: within 2 % of true time, unless guardClockRate is disabled.
func (w *World) randomClockRate() float64 {
	if w.disabledGuard == guardClockRate {
		return 0.2 + 1.8*w.random.Float64()
	}
	return 0.98 + 0.04*w.random.Float64()
}

// reportedState returns the state that a target in the given state reports.
func (w *World) reportedState(state wire.TargetState) wire.TargetState {
	if w.disabledGuard == guardDraining && state == wire.TargetLeaving {
		return wire.TargetReady
	}
	return state
}

// mutateMessage returns a message between daemons as it would be without the disabled guard, or nil if it isn't sent.
func (w *World) mutateMessage(from, to *Process, m *wire.Message) *wire.Message {
	switch {
	case w.disabledGuard == guardBootstrapHellos && m.Hello != nil && from.kind == wire.ControlDaemon && to.kind == wire.ControlDaemon:
		return nil
	case w.disabledGuard == guardEmptiedDomains && m.Push != nil && m.Push.Table != nil:
		table := *m.Push.Table
		table.EmptiedDomains = nil
		return withTable(m, &table)
	case w.disabledGuard == guardEndOfService && m.Pull != nil && from.proxy != nil && from.stopping && m.Pull.Self.Name != "":
		changed, pull := *m, *m.Pull
		pull.Self.State = wire.ProxyDeparted
		changed.Pull = &pull
		return &changed
	case w.disabledGuard == guardChangePosition && m.Call != nil && !m.Call.Reply:
		changed, call := *m, *m.Call
		call.Query = ""
		changed.Call = &call
		return &changed
	}
	return m
}

// mutateReorderedMessage returns a reordered message as it would be without the disabled guard: with guardTableVersions disabled,
// a leader's push presents the table that it carries as a later version than any other.
func (w *World) mutateReorderedMessage(from *Process, m *wire.Message) *wire.Message {
	if w.disabledGuard != guardTableVersions || m.Push == nil || from.controller == nil || from.controller.Table() == nil {
		return m
	}
	table := *from.controller.Table()
	table.Key.Version += 1000
	return withTable(m, &table)
}

// withTable returns a copy of a push message with another table.
func withTable(m *wire.Message, table *wire.Table) *wire.Message {
	changed, push := *m, *m.Push
	push.Table, changed.Push = table, &push
	return &changed
}
