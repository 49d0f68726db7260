// This file dispatches calls of the HTTP API. Calls come from clients of this daemon or are relayed by other daemons.
// This daemon answers them itself, executes them as the leader, or relays them to the leader. The calls are implemented
// in apiroutes.go, configapi.go and targetapi.go.

package controlplane

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"myrtlefold/internal/shared/reply"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/targetreport"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Paths of calls that every member answers itself, whether it is the leader or not.
const (
	statusPath   = "/v1/status"
	recoveryPath = "/v1/core/refound"
)

// targetsPath is the path prefix of the calls about targets.
const targetsPath = "/v1/targets"

// methodGet is the HTTP method of calls that change nothing.
const methodGet = "GET"

// methodPost is the HTTP method of changes that name no base.
const methodPost = "POST"

// isTargetReport reports whether a call comes from a target itself: a heartbeat, a leave notice or a sign-off.
func isTargetReport(method, path string) bool {
	return strings.HasPrefix(path, targetsPath) && method != methodGet
}

// handleCall handles a call from a client of this daemon.
func (c *Controller) handleCall(now time.Duration, event statemachine.Call) {
	if !c.exited && isOrderedCall(event.Method, event.Path) {
		c.checkCaller(uncheckedCall{event: event, receivedAt: now})
		return
	}
	c.dispatchCall(now, uncheckedCall{event: event, receivedAt: now})
}

// dispatchCall answers a client's call, executes it as the leader or relays it to the leader.
func (c *Controller) dispatchCall(now time.Duration, received uncheckedCall) {
	event := received.event
	call := &pendingCall{token: event.Token, callID: event.ID, receivedAt: received.receivedAt}
	if c.exited {
		c.answer(call, noLeaderReply())
		return
	}
	var report wire.Target
	if isTargetReport(event.Method, event.Path) {
		parsed, rejection := targetreport.Parse(event)
		if rejection != nil {
			c.answer(call, *rejection)
			return
		}
		report, call.targetReport = parsed, true
	}
	switch {
	case event.Path == recoveryPath && event.Method == methodPost:
		if c.isConsentOvertaken(event) {
			c.answerOvertaken(call)
			return
		}
		c.answer(call, c.handleRecoveryConsent(now, queryValue(event.Query, "gone")))
		return
	case event.Path == statusPath:
		c.answer(call, statemachine.Reply{Status: 200, Body: reply.Body(c.Status(now))})
		return
	}
	if token := queryValue(event.Query, "id"); token != "" {
		call.token = token
	}
	request := &wire.Call{Token: call.token, Method: event.Method, Path: event.Path, Query: event.Query, Body: event.Body}
	if c.leadership == Leading {
		c.executeCall(now, call, request)
		return
	}
	c.forwardCall(now, call, request, report)
}

// forwardCall handles a client's call while this member is not Leading: it relays the call to the leader, or rejects it
// if no leader is known.
func (c *Controller) forwardCall(now time.Duration, call *pendingCall, request *wire.Call, report wire.Target) {
	leader := ""
	if !c.stopping {
		leader = c.leader(now)
	}
	if call.targetReport && !targetreport.IsLeaving(report) && leader != "" {
		c.forwardHeartbeat(now, call, report, leader)
		return
	}
	// A member that is Gathering becomes the leader shortly, so a leave notice waits here instead of being relayed.
	leadsSoon := call.targetReport && c.leadership == Gathering
	if !leadsSoon && (leader == "" || leader == c.settings.Self.Name || c.directory[leader] == nil) {
		c.answer(call, noLeaderReply())
		return
	}
	c.lastRelayID++
	request.ID = c.lastRelayID
	call.request = request
	c.relayedCalls[request.ID] = call
	if leadsSoon {
		call.relayedTo = c.settings.Self.Name
		c.handleHeartbeat(now, report, false)
		return
	}
	c.relay(now, call, leader)
}

// forwardHeartbeat relays a target's heartbeat to the leader and answers at once, since a lost heartbeat is made up for
// by the next one. If messages from this member don't reach the leader, although the leader's messages arrive here,
// every heartbeat would be lost: then the target is asked to report to another daemon.
func (c *Controller) forwardHeartbeat(now time.Duration, call *pendingCall, report wire.Target, leader string) {
	c.handleHeartbeat(now, report, true)
	if !c.reaches(now, leader) {
		c.answer(call, notPropagatedReply())
		return
	}
	c.answer(call, targetreport.Acknowledgement(report))
}

// relay sends a call to a leader. The call carries this daemon's relay ID, which the leader repeats in its reply.
func (c *Controller) relay(now time.Duration, call *pendingCall, leader string) {
	call.relayedTo, call.relayedAt, call.relayedTerm = leader, now, c.Term()
	call.relayCount++
	c.send(leader, &wire.Message{Kind: wire.KindCall, Call: call.request})
}

// executeCall executes a call as the leader. A change is answered once it is in force, any other call immediately.
func (c *Controller) executeCall(now time.Duration, call *pendingCall, request *wire.Call) {
	if c.leadership != Leading {
		c.answer(call, noLeaderReply())
		return
	}
	if isTargetReport(request.Method, request.Path) {
		call.targetReport = true
		report, rejection := targetreport.Parse(statemachine.Call{Method: request.Method, Path: request.Path, Query: request.Query, Body: request.Body})
		if rejection != nil {
			c.answer(call, *rejection)
			return
		}
		c.reportTarget(now, call, report)
		return
	}
	if request.Method != methodGet && c.answerRepeated(now, call) {
		return
	}
	if c.isOvertaken(request) {
		c.answerOvertaken(call)
		return
	}
	c.executeRoute(now, call, request)
}

// answerRepeated answers a change whose token was used before in the same way as the first one, so that a retry is not
// applied twice. It returns false if the token is new.
func (c *Controller) answerRepeated(now time.Duration, call *pendingCall) bool {
	if record := c.state.FindRecord(call.token); record != nil {
		if record.Outcome != state.OutcomeAccepted {
			c.answerNotAccepted(call, record)
			return true
		}
		c.answerWhenInForce(now, call, record.Revision)
		return true
	}
	if revision, accepted := c.state.FindToken(call.token); accepted {
		c.answerWhenInForce(now, call, revision)
		return true
	}
	if first := c.pendingChanges[call.token]; first != nil {
		first.duplicates = append(first.duplicates, call)
		return true
	}
	return false
}

// proposeChange proposes an operator's change under its token and reports whether it did. It rejects the change if more
// than tuning.ProposedBytesMax bytes are proposed and not committed yet.
func (c *Controller) proposeChange(now time.Duration, call *pendingCall, command state.Command) (proposed bool) {
	if c.node.UncommittedBytes() > tuning.ProposedBytesMax {
		c.answer(call, busyReply())
		return false
	}
	command.Token = call.token
	c.pendingChanges[call.token] = call
	c.propose(now, command)
	return true
}

// proposeOrdered proposes an operator's change that names no base, see ordering.go, and reports whether it did.
func (c *Controller) proposeOrdered(request *apiRequest, command state.Command) (proposed bool) {
	if !c.proposeChange(request.now, request.call, command) {
		return false
	}
	c.order.record(request.path, c.node.LastIndex())
	return true
}

// queryValue returns the first value of a key in a query string, "" if the key is absent.
func queryValue(query, key string) string {
	values, _ := url.ParseQuery(query)
	return values.Get(key)
}

// queryNumber returns the first value of a key in a query string as a number. ok is false if there is no valid one.
func queryNumber(query, key string) (number uint64, ok bool) {
	number, err := strconv.ParseUint(queryValue(query, key), 10, 64)
	return number, err == nil
}

// queryHas reports whether a query string has a key, with or without a value.
func queryHas(query, key string) bool {
	values, _ := url.ParseQuery(query)
	return values.Has(key)
}

// SetSeeds replaces the addresses at which this member looks for other daemons.
func (c *Controller) SetSeeds(addresses []string) { c.settings.Seeds = addresses }
