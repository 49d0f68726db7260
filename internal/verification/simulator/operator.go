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
)

// operators are those who call the API of the daemons; targets' reports are calls too.
type operators struct {
	calls   uint64                  // calls so far, also the last one's id
	pending map[uint64]*pendingCall // without a reply, by id
	changes []*change

	bulkChanges      int           // changes in bulk so far
	repliesLostUntil time.Duration // until when most replies to changes of the configuration are lost
}

func newOperators() operators { return operators{pending: map[uint64]*pendingCall{}} }

// pendingCall is a call that has no reply yet.
type pendingCall struct {
	description string
	onReply     func(statemachine.Reply)
	// reader is the process that has read the call, at its start of that number; nil: none has yet.
	reader            *Process
	readerIncarnation int
}

// change is an operator's change of the configuration, of a domain or of the members, and its fate.
type change struct {
	kind     changeKind
	domain   string // that is emptied or restored
	token    string
	base     uint64 // revision of the configuration that it is built on
	document string // what was sent
	sentAt   time.Duration
	state    changeState
	revision uint64 // that an accepted one led to
}

// changeKind is what a change concerns.
type changeKind string

const (
	changeConfig  changeKind = "config"
	changeInvalid changeKind = "invalid" // a configuration that must be rejected
	changeEmpty   changeKind = "empty"
	changeRestore changeKind = "restore"
)

// String names a change in the trace.
func (c *change) String() string {
	if c.domain != "" {
		return string(c.kind) + " " + c.domain
	}
	return string(c.kind)
}

// changeState is what an operator knows of its change.
type changeState int

const (
	changeOpen changeState = iota
	changeAccepted
	changeRejected
	changeUnknown
)

// String names the state.
func (s changeState) String() string { return [...]string{"open", "accepted", "refused", "unknown"}[s] }

func configChange(base uint64) *change { return &change{kind: changeConfig, base: base} }

func emptyChange(domain string) *change { return &change{kind: changeEmpty, domain: domain} }

func restoreChange(domain string) *change { return &change{kind: changeRestore, domain: domain} }

// callTime is how long a call takes to its daemon at most, in milliseconds; slowCallTime is the same with
// guardBaseRevision disabled, so that changes meet.
const (
	callTime     = 2
	slowCallTime = 60
)

// call sends a call to a daemon; the reply goes to onReply.
func (w *World) call(process *Process, method, path, query string, body []byte, token string, onReply func(statemachine.Reply)) *pendingCall {
	w.operators.calls++
	id := w.operators.calls
	recorded := w.record(method, path, query, body, token)
	if token == "" {
		token = fmt.Sprintf("t%d", id)
	}
	pending := &pendingCall{description: method + " " + path, onReply: func(r statemachine.Reply) {
		recorded(r)
		onReply(r)
	}}
	w.operators.pending[id] = pending
	longest := callTime
	if w.disabledGuard == guardBaseRevision {
		longest = slowCallTime
	}
	w.schedule(w.randomMilliseconds(0, longest), func() {
		if w.disabledGuard == guardBaseRevision && process.controller != nil && strings.HasPrefix(query, "base=") {
			query = fmt.Sprintf("base=%d", process.controller.Revision())
		}
		w.callArrives(process, pending, statemachine.Call{ID: id, Token: token, Method: method, Path: path, Query: query, Body: body})
	})
	return pending
}

// callArrives has a daemon handle a call, once its processor is free where that is limited.
func (w *World) callArrives(process *Process, pending *pendingCall, call statemachine.Call) {
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

// setReader notes that a process has read the call, if it runs.
func (c *pendingCall) setReader(p *Process) {
	if p.alive && !p.frozen {
		c.reader, c.readerIncarnation = p, p.incarnation
	}
}

// reply carries out a daemon's command to reply to a call.
func (w *World) reply(r statemachine.Reply) {
	if c := w.operators.pending[r.ID]; c != nil {
		delete(w.operators.pending, r.ID)
		w.schedule(w.randomMilliseconds(0, callTime), func() { c.onReply(r) })
	}
}

// ignoreReply is for calls whose replies only the history looks at.
func (w *World) ignoreReply(statemachine.Reply) {}

// checkNoCallPending checks that a process that ends gracefully leaves no call that it has read without a reply.
func (w *World) checkNoCallPending(p *Process) {
	for _, id := range slices.Sorted(maps.Keys(w.operators.pending)) {
		if c := w.operators.pending[id]; c.reader == p && c.readerIncarnation == p.incarnation {
			w.violated(ruleGracefulStop, "%s left %s without an answer at a planned stop", p.name, c.description)
		}
	}
}

// SendChange sends an operator's change to a control daemon and follows its fate.
func (w *World) SendChange(process *Process, method, path, query string, body []byte, sent *change) {
	if !process.alive {
		return
	}
	sent.token = fmt.Sprintf("op%d", len(w.operators.changes))
	sent.sentAt, sent.state, sent.document = w.now, changeOpen, string(body)
	w.operators.changes = append(w.operators.changes, sent)
	w.Stats.Changes++
	if sent.kind == changeRestore {
		delete(w.checks.emptiedAt, sent.domain) // from the call on, requests may go there again
	}
	order := &operatorChange{method: method, path: path, query: query, body: body, token: sent.token}
	w.sendRepeatedly(process, order, func(r statemachine.Reply) {
		switch {
		case r.Status == http.StatusOK:
			w.accepted(sent, revisionOf(r))
		case r.Status == http.StatusGatewayTimeout || order.leavesOpen(r):
			sent.state = changeUnknown
			w.Stats.UnknownChanges++
		default:
			sent.state = changeRejected
			w.Stats.RejectedChanges++
			w.logf("%s refused with %d", sent, r.Status)
		}
	})
}

// accepted notes that a change was acknowledged as a revision, and checks what follows from that.
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

// PutConfig sends a complete configuration that is built on a base; its number tells it from others.
func (w *World) PutConfig(p *Process, base uint64, number int) {
	w.SendChange(p, "PUT", "/v1/config", fmt.Sprintf("base=%d", base), w.Document(number), configChange(base))
}

// putNextConfig has a control daemon receive a configuration that no other change of the run has.
func (w *World) putNextConfig(p *Process) { w.PutConfig(p, w.Revision(), w.nextDocumentNumber()) }

// Revision is the highest that any living member has applied.
func (w *World) Revision() (revision uint64) {
	for _, p := range w.daemons(wire.ControlDaemon) {
		if p.controller != nil && p.alive {
			revision = max(revision, p.controller.Revision())
		}
	}
	return revision
}

// revisionOf is the revision that a reply names, 0 if none.
func revisionOf(r statemachine.Reply) uint64 {
	var body struct {
		Revision uint64 `json:"revision"`
	}
	if json.Unmarshal(r.Body, &body) != nil {
		return 0
	}
	return body.Revision
}

// restoreDomain sends the restoring of an emptied domain again and again until it is accepted.
func (w *World) restoreDomain(domain string) {
	process := w.pickProcess(wire.ControlDaemon, true)
	if process == nil {
		w.schedule(time.Second, func() { w.restoreDomain(domain) })
		return
	}
	c := restoreChange(domain)
	w.SendChange(process, "POST", "/v1/domains/"+domain+"/restore", "", nil, c)
	for _, t := range w.targets.all { // they had no requests meanwhile
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
