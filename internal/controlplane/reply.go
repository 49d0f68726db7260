// This file builds the answers to operators and targets.

package controlplane

import (
	"fmt"
	"myrtlefold/internal/shared/reply"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

func acceptedReply(token string, rev uint64) statemachine.Reply {
	return statemachine.Reply{Status: 200, Body: reply.Body(map[string]any{"id": token, "revision": rev, "in_force": true})}
}

func (c *Controller) staleBaseReply(token string) statemachine.Reply {
	return reply.Problem(412, config.ErrorBody{Code: "stale", Revision: c.state.Revision, ID: token,
		Message: fmt.Sprintf("built on another revision than the present %d; nothing was changed", c.state.Revision)})
}

// answerNotAccepted tells of a change that has been agreed on without taking effect.
func (c *Controller) answerNotAccepted(p *pendingCall, r *state.Record) {
	if r.Outcome == state.OutcomeUnknown {
		c.answerUnknown(p)
		return
	}
	c.answer(p, c.staleBaseReply(p.token))
}

func (c *Controller) answer(p *pendingCall, r statemachine.Reply) {
	repetitions := p.duplicates
	p.duplicates = nil
	for _, same := range repetitions {
		c.answer(same, r)
	}
	if r.Status == 503 && p.relayCount > 1 && !p.targetReport {
		c.answerUnknown(p) // not 'nothing was changed': an earlier leader had it too
		return
	}
	c.countAnswer(p, r.Status)
	c.deliver(p, r)
}

// deliver sends an answer to who asked, as it is: here or at the daemon that passed the call on.
func (c *Controller) deliver(p *pendingCall, r statemachine.Reply) {
	if p.relayedFrom != "" {
		c.send(p.relayedFrom, &wire.Message{Kind: wire.KindCall, Call: &wire.Call{ID: p.relayedFromID, Reply: true, Status: uint16(r.Status), RetryAfterMs: uint32(r.RetryAfter.Milliseconds()), Body: r.Body}})
		return
	}
	r.ID = p.callID
	c.emit(r)
}

func (c *Controller) answerUnknown(p *pendingCall) {
	if p.targetReport {
		c.answer(p, notPropagatedReply())
		return
	}
	c.answer(p, reply.Problem(504, config.ErrorBody{Code: "unknown", Ran: "unknown", ID: p.token,
		Message: "it cannot be told whether the change was agreed or is in force everywhere; ask for it by its id"}))
}

func noLeaderReply() statemachine.Reply {
	return reply.Problem(503, config.ErrorBody{Code: "no_leader", Message: "no leader that a majority has heard; nothing was changed"})
}

// unheard promises nothing to a target that says it leaves or is gone: it is to tell
// another daemon.
func notPropagatedReply() statemachine.Reply {
	return reply.Problem(503, config.ErrorBody{Code: "unheard", Message: "no leader has made this known to most proxies in time; say it again, to any daemon"})
}

func tooLargeReply() statemachine.Reply {
	return reply.Problem(413, config.ErrorBody{Code: "too_large", Message: fmt.Sprintf("at most %d bytes", tuning.DocumentMax)})
}

func (c *Controller) rejectInvalid(p *pendingCall, faults []config.Fault, err error) {
	c.counts.Rejected++
	if err != nil {
		c.answer(p, reply.Problem(400, config.ErrorBody{Code: "not_json", Message: err.Error()}))
		return
	}
	c.answer(p, reply.Problem(422, config.ErrorBody{Code: "invalid", Message: fmt.Sprintf("%d faults; nothing was changed", len(faults)), Faults: faults, Revision: c.state.Revision}))
}
