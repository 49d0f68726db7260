// This file sends the responses to API calls. A response claims that nothing was changed only if that is certain;
// otherwise it reports the outcome as unknown.

package controlplane

import (
	"fmt"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/reply"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// statusUnavailable is the HTTP status of a call that was not executed or whose effect can't be confirmed.
const statusUnavailable = 503

// answer sends the response to a call and to its duplicates.
func (c *Controller) answer(call *pendingCall, response statemachine.Reply) {
	duplicates := call.duplicates
	call.duplicates = nil
	for _, duplicate := range duplicates {
		c.answer(duplicate, response)
	}
	if response.Status == statusUnavailable && call.relayCount > 1 && !call.targetReport {
		c.answerUnknown(call) // an earlier leader received it too and may have proposed it
		return
	}
	c.countAnswer(call, response.Status)
	c.deliver(call, response)
}

// deliver sends a response to the client of this daemon or to the daemon that relayed the call.
func (c *Controller) deliver(call *pendingCall, response statemachine.Reply) {
	if call.relayedFrom == "" {
		response.ID = call.callID
		c.emit(response)
		return
	}
	c.send(call.relayedFrom, &wire.Message{Kind: wire.KindCall, Call: c.relayedReply(call, response)})
}

// relayedReply returns a response in the form for the daemon that relayed the call. It tells that daemon this leader's
// position in the log.
func (c *Controller) relayedReply(call *pendingCall, response statemachine.Reply) *wire.Call {
	return &wire.Call{
		Query:        withKey("", leaderPositionKey, c.position().String()),
		ID:           call.relayedFromID,
		Reply:        true,
		Status:       uint16(response.Status),
		RetryAfterMs: uint32(response.RetryAfter.Milliseconds()),
		Body:         response.Body,
	}
}

// recvCallReply handles a leader's reply to a call that this daemon relayed to it.
func (c *Controller) recvCallReply(from string, response *wire.Call) {
	call := c.relayedCalls[response.ID]
	if call == nil || call.relayedTo != from {
		return
	}
	c.recordLeaderPosition(response)
	if response.Status == statusUnavailable && call.targetReport {
		return // tickRelayedCalls relays it again until it expires
	}
	if response.Status == statusUnavailable && call.relayCount > 1 && !queryHas(response.Query, overtakenKey) {
		call.relayedTo = "" // an earlier leader may have committed it; relay it again, since the next leader knows whether it did
		return
	}
	delete(c.relayedCalls, response.ID)
	c.deliver(call, statemachine.Reply{
		ID:         call.callID,
		Status:     int(response.Status),
		RetryAfter: time.Duration(response.RetryAfterMs) * time.Millisecond,
		Body:       response.Body,
	})
}

// answerNotAccepted answers a change that was committed but not accepted.
func (c *Controller) answerNotAccepted(call *pendingCall, record *state.Record) {
	if record.Outcome == state.OutcomeUnknown {
		c.answerUnknown(call)
		return
	}
	c.answer(call, c.staleBaseReply(call.token))
}

// answerUnknown answers a change that may or may not take effect with 504. For a target's report it sends 503 instead,
// which asks the target to send the report again, to any daemon: repeating a report is harmless.
func (c *Controller) answerUnknown(call *pendingCall) {
	if call.targetReport {
		c.answer(call, notPropagatedReply())
		return
	}
	c.reject(call, 504, config.ErrorBody{Code: "unknown", Ran: config.RanUnknown, ID: call.token,
		Message: "it is unknown whether the change was committed or is in force everywhere; look it up by its id"})
}

// rejectInvalid rejects a change that is not JSON (err is set) or whose content has faults.
func (c *Controller) rejectInvalid(call *pendingCall, faults []config.Fault, err error) {
	c.counts.Rejected++
	if err != nil {
		c.reject(call, 400, config.ErrorBody{Code: "not_json", Message: err.Error()})
		return
	}
	c.reject(call, 422, config.ErrorBody{Code: "invalid", Message: fmt.Sprintf("the change has %d faults; nothing was changed", len(faults)), Faults: faults, Revision: c.state.Revision})
}

// acceptedAnswer is a response body. Its keys are in alphabetical order.
type acceptedAnswer struct {
	ID       string `json:"id"`
	InForce  bool   `json:"in_force"`
	Revision uint64 `json:"revision"`
}

// acceptedReply reports that a change is in force, with the revision that it produced.
func acceptedReply(token string, revision uint64) statemachine.Reply {
	return statemachine.Reply{Status: 200, Body: reply.Body(acceptedAnswer{ID: token, InForce: true, Revision: revision})}
}

// staleBaseReply rejects a change that is based on a revision other than the current one.
func (c *Controller) staleBaseReply(token string) statemachine.Reply {
	return reply.Problem(412, config.ErrorBody{Code: "stale", Revision: c.state.Revision, ID: token,
		Message: fmt.Sprintf("based on a revision other than the current %d; nothing was changed", c.state.Revision)})
}

// noLeaderReply rejects a call while no leader can execute it.
func noLeaderReply() statemachine.Reply {
	return reply.Problem(503, config.ErrorBody{Code: "no_leader", Message: "no leader is in contact with a majority; nothing was changed"})
}

// notPropagatedReply answers a target's report that has not reached a majority of the proxies in time, and asks the
// target to send it again, to any daemon.
func notPropagatedReply() statemachine.Reply {
	return reply.Problem(503, config.ErrorBody{Code: "unheard", Message: "no leader confirmed in time that the report reached a majority of the proxies; send it again, to any daemon"})
}

// busyReply rejects a change while too many proposed bytes are not committed yet (see tuning.ProposedBytesMax).
func busyReply() statemachine.Reply {
	return reply.Problem(503, config.ErrorBody{Code: "busy", Message: "too much proposed data is not committed yet; nothing was changed"})
}

// tooLargeReply rejects a configuration larger than tuning.DocumentMax bytes.
func tooLargeReply() statemachine.Reply {
	return reply.Problem(413, config.ErrorBody{Code: "too_large", Message: fmt.Sprintf("the configuration or the change exceeds %d bytes", tuning.DocumentMax)})
}
