package simulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
	"myrtlefold/internal/verification/linearizability"
)

// operators holds the state of the daemons' API clients: operators, and targets that report.
type operators struct {
	calls   uint64                  // number of calls so far, which is also the id of the last one
	pending map[uint64]*pendingCall // calls without a reply, by id
	changes []*change

	bulkChanges      int           // number of bulk changes so far
	repliesLostUntil time.Duration // end of the time in which most replies to configuration changes are lost
	callsHeldUntil   time.Duration // end of the time in which the network holds calls of impatient operators
}

func newOperators() operators { return operators{pending: map[uint64]*pendingCall{}} }

// pendingCall is a call without a reply.
type pendingCall struct {
	description string
	onReply     func(statemachine.Reply)
	// reader is the process that has read the call, and readerIncarnation its incarnation then. reader is nil if no process
	// has read the call yet.
	reader            *Process
	readerIncarnation int
	// abandoned is set once the caller has given the call up and closed its connection, and endArrivesAt is when the end of
	// the connection reaches the daemon.
	abandoned    bool
	endArrivesAt time.Duration
	hold         networkHold
	arrivesAt    time.Duration // when the call reaches the daemon
	knownCaller  knownCaller
	// domainChange is the call in the history of domains, nil if it does not change one.
	domainChange *linearizability.DomainOperation
}

// networkHold is how long the network holds a call on an open connection, and how long after the call the end of the
// connection arrives if the caller gives the call up. The zero value is an undisturbed network.
type networkHold struct{ call, end time.Duration }

// knownCaller is when a daemon knew that the caller was there: the connection was opened at a time on the daemon's clock.
type knownCaller struct {
	incarnation int
	at          time.Duration
}

// abandon gives the call up.
func (c *pendingCall) abandon(now time.Duration) {
	c.abandoned, c.endArrivesAt = true, max(now, c.arrivesAt+c.hold.end)
	if c.domainChange != nil {
		c.domainChange.Abandon(now)
	}
}

// change is an operator's change of the configuration or of a domain, and its outcome.
type change struct {
	kind     changeKind
	domain   string // domain that is emptied or restored; "" for other changes
	token    string
	base     uint64 // revision of the configuration on which the change is based
	document string // body that was sent
	sentAt   time.Duration
	state    changeState
	revision uint64 // resulting revision if the change was accepted
}

// changeKind is the kind of a change.
type changeKind string

const (
	changeConfig  changeKind = "config"
	changeInvalid changeKind = "invalid" // a configuration that must be rejected
	changeEmpty   changeKind = "empty"
	changeRestore changeKind = "restore"
)

// String returns the change's name in the trace.
func (c *change) String() string {
	if c.domain != "" {
		return string(c.kind) + " " + c.domain
	}
	return string(c.kind)
}

// changeState is the outcome of a change as its operator knows it.
type changeState int

const (
	changeOpen changeState = iota
	changeAccepted
	changeRejected
	changeUnknown
)

// String returns the state's name.
func (s changeState) String() string {
	return [...]string{"open", "accepted", "rejected", "unknown"}[s]
}

func configChange(base uint64) *change { return &change{kind: changeConfig, base: base} }

func emptyChange(domain string) *change { return &change{kind: changeEmpty, domain: domain} }

func restoreChange(domain string) *change { return &change{kind: changeRestore, domain: domain} }

// callTime is the maximum time in milliseconds that a call or a reply takes. slowCallTime is the maximum for a call with
// guardBaseRevision disabled, long enough for changes to overlap.
const (
	callTime     = 2
	slowCallTime = 60
)

// call sends a call to a daemon and passes the reply to onReply. If token is "", the call gets a unique one.
func (w *World) call(process *Process, method, path, query string, body []byte, token string, onReply func(statemachine.Reply)) *pendingCall {
	return w.callHeld(networkHold{}, process, method, path, query, body, token, onReply)
}

// callHeld is like call on a connection that is opened at once, and on which the network then holds the call.
func (w *World) callHeld(hold networkHold, process *Process, method, path, query string, body []byte, token string, onReply func(statemachine.Reply)) *pendingCall {
	w.operators.calls++
	id := w.operators.calls
	recorded := w.record(method, path, query, body, token)
	if token == "" {
		token = fmt.Sprintf("t%d", id)
	}
	pending := &pendingCall{description: method + " " + path, domainChange: w.recordDomainChange(method, path, token), hold: hold}
	pending.knownCaller = knownCaller{process.incarnation, process.localTime()}
	pending.onReply = func(r statemachine.Reply) {
		if pending.abandoned {
			return
		}
		recorded(r)
		w.recordDomainReply(pending.domainChange, r)
		onReply(r)
	}
	w.operators.pending[id] = pending
	longest := callTime
	if w.disabledGuard == guardBaseRevision {
		longest = slowCallTime
	}
	travel := w.randomMilliseconds(0, longest) + hold.call
	pending.arrivesAt = w.now + travel
	w.schedule(travel, func() {
		if hold.call > 0 && process.incarnation != pending.knownCaller.incarnation {
			return // the connection ended with the process
		}
		if w.disabledGuard == guardBaseRevision && process.controller != nil && strings.HasPrefix(query, "base=") {
			query = fmt.Sprintf("base=%d", process.controller.Revision())
		}
		w.callArrives(process, pending, statemachine.Call{ID: id, Token: token, Method: method, Path: path, Query: query, Body: body})
	})
	return pending
}

// callArrives delivers a call to a daemon, after its processor's backlog if the plan limits processors.
func (w *World) callArrives(process *Process, pending *pendingCall, call statemachine.Call) {
	call.CallerKnownAt = pending.callerKnownAt(w, process)
	if reply, replaced := w.replyWithoutGuard(process, call); replaced {
		w.execute(process, reply)
		return
	}
	if w.Plan.Resources == nil {
		pending.setReader(process)
		w.deliver(process, call)
		return
	}
	incarnation := process.incarnation
	w.schedule(w.useProcessor(process, taskCall, callCost)-w.now, func() {
		if process.incarnation == incarnation {
			pending.setReader(process)
			w.deliver(process, call)
		}
	})
}

// callerKnownAt returns when a process knew that the caller was there, on its own clock. A call that arrives at a later
// incarnation counts as sent to it.
func (c *pendingCall) callerKnownAt(w *World, p *Process) time.Duration {
	if c.knownCaller.incarnation != p.incarnation || w.disabledGuard == guardCallerKnown {
		return p.localTime()
	}
	return c.knownCaller.at
}

// callerConnected reports whether the end of the connection has not reached the daemon.
func (c *pendingCall) callerConnected(now time.Duration) bool {
	return !c.abandoned || now < c.endArrivesAt
}

// setReader records that a process has read the call, if it is running.
func (c *pendingCall) setReader(p *Process) {
	if p.alive && !p.frozen {
		c.reader, c.readerIncarnation = p, p.incarnation
	}
}

// checkCaller executes a daemon's command to check the caller of a call.
func (w *World) checkCaller(process *Process, command statemachine.CheckCaller) {
	pending := w.operators.pending[command.ID]
	result := statemachine.CallerChecked{ID: command.ID, Connected: pending != nil && pending.callerConnected(w.now)}
	if process.pauseAfterCheck > 0 {
		w.Freeze(process, process.pauseAfterCheck)
		process.pauseAfterCheck = 0
	}
	incarnation := process.incarnation
	w.schedule(0, func() {
		if process.incarnation == incarnation {
			w.deliver(process, result)
		}
	})
}

// reply executes a daemon's command to reply to a call.
func (w *World) reply(r statemachine.Reply) {
	if c := w.operators.pending[r.ID]; c != nil && !c.abandoned {
		delete(w.operators.pending, r.ID)
		w.schedule(w.randomMilliseconds(0, callTime), func() { c.onReply(r) })
	}
}

// ignoreReply is the reply handler of calls whose replies only the recorded history uses.
func (w *World) ignoreReply(statemachine.Reply) {}

// checkNoCallPending checks that a process which exits gracefully has replied to all calls that it has read.
func (w *World) checkNoCallPending(p *Process) {
	for _, id := range slices.Sorted(maps.Keys(w.operators.pending)) {
		if c := w.operators.pending[id]; c.reader == p && c.readerIncarnation == p.incarnation && !c.abandoned {
			w.violated(ruleGracefulStop, "%s exited at a planned stop without a reply to %s", p.name, c.description)
		}
	}
}

// SendChange sends an operator's change to a control daemon and tracks its outcome.
func (w *World) SendChange(process *Process, method, path, query string, body []byte, sent *change) {
	if !process.alive {
		return
	}
	sent.token = fmt.Sprintf("op%d", len(w.operators.changes))
	sent.sentAt, sent.state, sent.document = w.now, changeOpen, string(body)
	w.operators.changes = append(w.operators.changes, sent)
	w.Stats.Changes++
	if sent.kind == changeRestore {
		delete(w.checks.emptiedAt, sent.domain) // the domain may get requests again as soon as the call is sent
	}
	operation := &operatorChange{method: method, path: path, query: query, body: body, token: sent.token}
	send := w.sendRepeatedly
	if sent.domain != "" {
		send = w.sendImpatiently
	}
	send(process, operation, func(r statemachine.Reply) {
		switch {
		case r.Status == http.StatusOK:
			w.accepted(sent, revisionOf(r))
		case r.Status == http.StatusGatewayTimeout || operation.leavesOpen(r):
			sent.state = changeUnknown
			w.Stats.UnknownChanges++
		default:
			sent.state = changeRejected
			w.Stats.RejectedChanges++
			w.logf("%s rejected with status %d", sent, r.Status)
		}
	})
}

// accepted records that a change was acknowledged with a revision, and checks the rules that this affects.
func (w *World) accepted(accepted *change, revision uint64) {
	accepted.state, accepted.revision = changeAccepted, revision
	w.Stats.AcceptedChanges++
	w.Stats.ChangeLatencies = append(w.Stats.ChangeLatencies, w.now-accepted.sentAt)
	w.Stats.SlowestChange = max(w.Stats.SlowestChange, w.now-accepted.sentAt)
	w.logf("%s accepted as revision %d", accepted, revision)
	w.acknowledge(revision)
	switch accepted.kind {
	case changeConfig:
		w.checkOneChangePerBase(accepted)
	case changeEmpty:
		restoredSince := func(o *change) bool {
			return o.kind == changeRestore && o.domain == accepted.domain && o.sentAt > accepted.sentAt
		}
		if !slices.ContainsFunc(w.operators.changes, restoredSince) {
			w.checks.emptiedAt[accepted.domain] = w.now
			w.Stats.EmptiedDomains++
		}
	}
}

// PutConfig sends the complete configuration document with the given number, based on revision base.
func (w *World) PutConfig(p *Process, base uint64, number int) {
	w.SendChange(p, "PUT", "/v1/config", fmt.Sprintf("base=%d", base), w.Document(number), configChange(base))
}

// putNextConfig sends a control daemon a configuration document that is unique in the run, based on the current revision.
func (w *World) putNextConfig(p *Process) { w.PutConfig(p, w.Revision(), w.nextDocumentNumber()) }

// Revision returns the highest revision that any running control daemon has applied.
func (w *World) Revision() (revision uint64) {
	for _, p := range w.daemons(wire.ControlDaemon) {
		if p.controller != nil && p.alive {
			revision = max(revision, p.controller.Revision())
		}
	}
	return revision
}

// revisionOf returns the revision in a reply, or 0 if there is none.
func revisionOf(r statemachine.Reply) uint64 {
	var body struct {
		Revision uint64 `json:"revision"`
	}
	if json.Unmarshal(r.Body, &body) != nil {
		return 0
	}
	return body.Revision
}

// restoreDomain sends the change that restores an emptied domain, repeatedly until it is accepted.
func (w *World) restoreDomain(domain string) {
	process := w.pickProcess(wire.ControlDaemon, true)
	if process == nil {
		w.schedule(time.Second, func() { w.restoreDomain(domain) })
		return
	}
	c := restoreChange(domain)
	w.SendChange(process, "POST", "/v1/domains/"+domain+"/restore", "", nil, c)
	for _, t := range w.targets.all { // without requests in the meantime they must warm up again
		if t.alive && t.domain == domain && w.Plan.WarmupRate > 0 && t.warmingUntil <= w.now {
			w.warmUpAgain(t)
		}
	}
	w.schedule(7*time.Second, func() {
		if c.state != changeAccepted {
			w.restoreDomain(domain)
		}
	})
}
