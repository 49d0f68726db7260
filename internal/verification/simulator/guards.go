package simulator

import (
	"fmt"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// Guard is something that daemons or their shells do so that a rule holds. A scene or test disables one, in the
// simulated shells or in what they pass on, to show that the rule's check can fail. Its text is what mfsim prints.
type Guard string

// Guards of requests and targets.
const (
	guardNone               Guard = ""
	guardAtMostOnce         Guard = "resend"           // what must not run twice is not retried
	guardResponseIDs        Guard = "ids"              // a response to another request is not taken
	guardUnknownAfterSend   Guard = "say no"           // what was sent is not reported as not run
	guardIdentity           Guard = "identity"         // a new connection's target is the one that was meant
	guardDraining           Guard = "holds"            // a leaving target reports that it is
	guardHealthChecks       Guard = "probes"           // a target that does not answer fails its health check
	guardEmptiedDomains     Guard = "emptied"          // tables name the emptied domains
	guardWarmingConcurrency Guard = "warm cap"         // configurations bound the requests at warming targets
	guardWarmupReport       Guard = "cold"             // targets report that they warm up
	guardRetryBudget        Guard = "budget"           // retries are counted as such
	guardIdleConnections    Guard = "idle connections" // idle connections follow from what all proxies may keep
)

// Guards of the control plane.
const (
	guardReplyInForce    Guard = "early answer" // a change is acknowledged once all proxies follow it
	guardTableVersions   Guard = "old tables"   // a late message brings the table of its own time
	guardBaseRevision    Guard = "base"         // a change names the revision that it is built on
	guardSync            Guard = "sync"         // a write is synced before it is acknowledged
	guardGracefulStop    Guard = "stop"         // a stopping proxy finishes its requests
	guardBootstrapHellos Guard = "hellos"       // control daemons learn of one another before they bootstrap
	guardClockRate       Guard = "clocks"       // clocks run at nearly the same speed
	// guardReadsAtLeader: a member that does not lead answers no reads from its own state.
	guardReadsAtLeader Guard = "followers answer"
	// guardMajorityBeforeReply: a leader acknowledges a change once a majority has it.
	guardMajorityBeforeReply Guard = "answer before majority"
	// guardIdempotentChanges: a change that was accepted is accepted again when it is sent again.
	guardIdempotentChanges Guard = "repetition refused"
	// guardFreshClock: the time of a step is read once its event has come; else
	// a process that stood still in between believes in a lease that is over.
	guardFreshClock Guard = "clock of the call"
)

// replyWithoutGuard replies to a call in the place of a member whose guard is disabled, if that is so.
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

// randomClockRate draws how fast a process's clock runs.
func (w *World) randomClockRate() float64 {
	if w.disabledGuard == guardClockRate {
		return 0.2 + 1.8*w.random.Float64()
	}
	return 0.98 + 0.04*w.random.Float64()
}

// reportedState is the state that a target reports.
func (w *World) reportedState(state wire.TargetState) wire.TargetState {
	if w.disabledGuard == guardDraining && state == wire.TargetLeaving {
		return wire.TargetReady
	}
	return state
}

// mutateMessage takes a disabled guard out of a message between daemons; nil: it is not sent.
func (w *World) mutateMessage(from, to *Process, m *wire.Message) *wire.Message {
	switch {
	case w.disabledGuard == guardBootstrapHellos && m.Hello != nil && from.kind == wire.ControlDaemon && to.kind == wire.ControlDaemon:
		return nil
	case w.disabledGuard == guardEmptiedDomains && m.Push != nil && m.Push.Table != nil:
		table := *m.Push.Table
		table.EmptiedDomains = nil
		return withTable(m, &table)
	}
	return m
}

// mutateReorderedMessage does the same to a leader's message that comes late: it brings all of the table
// of its time as if that were the latest.
func (w *World) mutateReorderedMessage(from *Process, m *wire.Message) *wire.Message {
	if w.disabledGuard != guardTableVersions || m.Push == nil || from.controller == nil || from.controller.Table() == nil {
		return m
	}
	table := *from.controller.Table()
	table.Key.Version += 1000
	return withTable(m, &table)
}

// withTable is a copy of a push with another table.
func withTable(m *wire.Message, table *wire.Table) *wire.Message {
	changed, push := *m, *m.Push
	push.Table, changed.Push = table, &push
	return &changed
}
