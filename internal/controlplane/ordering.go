// This file rejects changes that were overtaken by later ones.
//
// A change of the configuration names the revision on which it is based, so one that is executed late is rejected. Other
// changes, such as emptying a failure domain, name none. A daemon may read one late, since it stood still, or a message
// with it may be late. Meanwhile its caller may have given it up, repeated it at another daemon and made another change.
//
// The daemon that receives such a change from its caller therefore records the position up to which it has applied the
// log, and only then checks that the caller is still connected (statemachine.CheckCaller). Everything that the caller
// does after giving the change up gets a later position. The leader rejects the change if its log has, or may have, a
// change at the same path after the recorded position.

package controlplane

import (
	"fmt"
	"net/url"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/reply"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// positionKey is the query key with which a daemon relays the recorded position of a change to the leader. An earlier
// release sends none.
const positionKey = "applied"

// logPosition is a position in the log of an epoch.
type logPosition struct{ epoch, index uint64 }

// String returns the position in the form of a query value.
func (p logPosition) String() string { return fmt.Sprintf("%d.%d", p.epoch, p.index) }

// parseLogPosition parses the result of String.
func parseLogPosition(text string) (position logPosition, err error) {
	_, err = fmt.Sscanf(text, "%d.%d", &position.epoch, &position.index)
	return position, err
}

// changeOrder is what a leader knows of the order of changes that name no base. The zero value is that of a member that
// has not led.
type changeOrder struct {
	// startIndex is the last index of the log when the leader's term began. Which paths were changed up to there is not
	// known.
	startIndex uint64
	// changedAt holds, by path without the action, the index of the latest change that was proposed since.
	changedAt map[string]uint64
}

// newChangeOrder returns the order of changes at the beginning of a term.
func newChangeOrder(lastIndex uint64) changeOrder {
	return changeOrder{startIndex: lastIndex, changedAt: map[string]uint64{}}
}

// record records a proposed change.
func (o *changeOrder) record(path apiPath, index uint64) { o.changedAt[path.subject()] = index }

// latest returns the index after which the log has no change at a path.
func (o *changeOrder) latest(path apiPath) uint64 {
	return max(o.startIndex, o.changedAt[path.subject()])
}

// subject returns what the path is about, without the action.
func (p apiPath) subject() string { return p.resource + "/" + p.name }

// uncheckedCall is a call that waits for the result of CheckCaller.
type uncheckedCall struct {
	event      statemachine.Call
	receivedAt time.Duration
	rechecked  bool // see pendingCall
}

// orderedResources lists the resources whose changes name no base.
var orderedResources = []string{"domains", "gates", "core"}

// isOrderedCall reports whether a call is a change that names no base.
func isOrderedCall(method, path string) bool {
	return method == methodPost && slices.Contains(orderedResources, parsePath(path).resource)
}

// checkCaller records the position of a change and requests a check of its caller, which callerChecked continues.
func (c *Controller) checkCaller(call uncheckedCall, position logPosition) {
	call.event.Query = withPosition(call.event.Query, position)
	c.uncheckedCalls[call.event.ID] = call
	c.emit(statemachine.CheckCaller{ID: call.event.ID})
}

// callerChecked executes or relays a change whose caller is still connected. Otherwise nobody waits for a reply.
func (c *Controller) callerChecked(now time.Duration, result statemachine.CallerChecked) {
	unchecked, found := c.uncheckedCalls[result.ID]
	if !found {
		return
	}
	delete(c.uncheckedCalls, result.ID)
	if !result.Connected {
		c.counts.CallsAbandoned++
		return
	}
	c.dispatchCall(now, unchecked)
}

// appliedPosition returns the position up to which this member has applied the log.
func (c *Controller) appliedPosition() logPosition {
	if c.node == nil {
		return logPosition{}
	}
	return logPosition{c.node.Epoch(), c.state.Index}
}

// withPosition sets the position in a query.
func withPosition(query string, position logPosition) string {
	values, _ := url.ParseQuery(query)
	values.Set(positionKey, position.String())
	return values.Encode()
}

// isOvertaken reports whether the log has, or may have, a change at the request's path after the position that was
// recorded when its caller was connected.
func (c *Controller) isOvertaken(request *wire.Call) bool {
	if !isOrderedCall(request.Method, request.Path) || !queryHas(request.Query, positionKey) {
		return false
	}
	position, err := parseLogPosition(queryValue(request.Query, positionKey))
	return err != nil || position.epoch != c.node.Epoch() || position.index < c.order.latest(parsePath(request.Path))
}

// answerOvertaken rejects a change that may have been overtaken. The daemon that relayed it is told the position up to
// which this leader has applied the log, in the reply's query.
func (c *Controller) answerOvertaken(call *pendingCall) {
	c.counts.Overtaken++
	if call.relayedFrom == "" {
		c.answer(call, overtakenReply())
		return
	}
	c.countAnswer(call, overtakenReply().Status)
	response := relayedReply(call, overtakenReply())
	response.Query = withPosition("", c.appliedPosition())
	c.send(call.relayedFrom, &wire.Message{Kind: wire.KindCall, Call: response})
}

// recheckOvertaken checks the caller of a relayed change again if the leader has rejected it as overtaken, and reports
// whether it does. A change may be rejected because this daemon had not yet applied the one before it, although its caller
// still waits. The leader that rejects it knows that no earlier leader has executed it either.
func (c *Controller) recheckOvertaken(call *pendingCall, response *wire.Call) bool {
	if call.rechecked || !queryHas(response.Query, positionKey) {
		return false
	}
	position, err := parseLogPosition(queryValue(response.Query, positionKey))
	if err != nil {
		return false
	}
	delete(c.relayedCalls, response.ID)
	request := call.request
	event := statemachine.Call{ID: call.callID, Token: call.token, Method: request.Method, Path: request.Path, Query: request.Query, Body: request.Body}
	c.checkCaller(uncheckedCall{event, call.receivedAt, true}, position)
	return true
}

// overtakenReply rejects a change that may have been overtaken.
func overtakenReply() statemachine.Reply {
	return reply.Problem(503, config.ErrorBody{Code: "overtaken", Message: "a later change may have been made since the call was sent; nothing was changed; send it again"})
}
