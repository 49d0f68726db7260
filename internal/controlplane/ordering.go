// This file rejects changes that were overtaken by later ones.
//
// A change of the configuration names the revision on which it is based, so one that is executed late is rejected. Other
// changes, such as emptying a failure domain, name none. One may be late: the network held it, the daemon that reads it
// stood still, or a message with it was delayed. Meanwhile its caller may have given it up, repeated it at another daemon
// and made another change.
//
// The daemon that receives such a change from its caller therefore attaches its position in the log as of the time when the
// caller was certainly waiting (statemachine.Call.CallerKnownAt). Everything that the caller does after
// giving the change up gets a later position. The leader rejects the change if its log has, or may have, a change about the
// same subject after that position.

package controlplane

import (
	"math"
	"net/url"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/reply"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Query keys of relayed calls and of their replies.
const (
	// positionKey has the position of a change that a daemon relays to the leader. An earlier release sends none.
	positionKey = "applied"
	// leaderPositionKey has the position of the leader that sends a reply.
	leaderPositionKey = "position"
	// overtakenKey marks the reply to a change that was rejected as overtaken, which no leader has executed.
	overtakenKey = "overtaken"
)

// changeOrder is what a leader knows of the order of changes that name no base. The zero value is that of a member that
// has not led.
type changeOrder struct {
	// startIndex is an index up to which it is not known which subjects were changed: at first the last index of the log before
	// the leader's term.
	startIndex uint64
	// changedAt holds, by subject, the index of the latest change that was proposed since, for tuning.ChangedSubjectsKept
	// subjects at most.
	changedAt map[string]uint64
}

// newChangeOrder returns the order of changes at the beginning of a term, given the last index before it.
func newChangeOrder(lastIndex uint64) changeOrder {
	return changeOrder{startIndex: lastIndex, changedAt: map[string]uint64{}}
}

// record records a proposed change.
func (o *changeOrder) record(path apiPath, index uint64) {
	o.changedAt[path.subject()] = index
	if len(o.changedAt) > tuning.ChangedSubjectsKept {
		o.forgetOldest()
	}
}

// forgetOldest forgets the subject whose latest change is the oldest. Other subjects may have been changed before it.
func (o *changeOrder) forgetOldest() {
	oldest, oldestIndex := "", uint64(math.MaxUint64)
	for subject, index := range o.changedAt {
		if index < oldestIndex {
			oldest, oldestIndex = subject, index
		}
	}
	delete(o.changedAt, oldest)
	o.startIndex = max(o.startIndex, oldestIndex)
}

// latest returns the index after which the log has no change about the subject of a path.
func (o *changeOrder) latest(path apiPath) uint64 {
	return max(o.startIndex, o.changedAt[path.subject()])
}

// subject returns what the path is about, without the action.
func (p apiPath) subject() string { return p.resource + "/" + p.name }

// uncheckedCall is a call that waits for the result of CheckCaller.
type uncheckedCall struct {
	event      statemachine.Call
	receivedAt time.Duration
}

// proxiesResource is the resource of the calls about proxies.
const proxiesResource = "gates"

// orderedResources lists the resources whose changes name no base.
var orderedResources = []string{"domains", proxiesResource, "core"}

// isOrderedCall reports whether a call is a change that names no base.
func isOrderedCall(method, path string) bool {
	return method == methodPost && slices.Contains(orderedResources, parsePath(path).resource)
}

// checkCaller attaches the position of a change and requests a check of its caller, which callerChecked continues. The check
// spares the leader changes that nobody waits for; which of them were overtaken only the position tells.
func (c *Controller) checkCaller(call uncheckedCall) {
	call.event.Query = withPosition(call.event.Query, c.positions.at(call.event.CallerKnownAt))
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

// position returns this member's position in the log. What a leader's replies tell of the commits counts too, since this member
// may be behind.
func (c *Controller) position() consensus.Position {
	if c.node == nil {
		return consensus.Position{}
	}
	position := c.node.Position()
	if c.leaderPosition.Epoch == position.Epoch {
		position.Committed = max(position.Committed, c.leaderPosition.Committed)
	}
	return position
}

// recordLeaderPosition records the position in a leader's reply.
func (c *Controller) recordLeaderPosition(response *wire.Call) {
	position, err := consensus.ParsePosition(queryValue(response.Query, leaderPositionKey))
	if err == nil {
		c.leaderPosition = position
	}
}

// withPosition sets the position in the query of a change. A position that the caller itself has set is replaced.
func withPosition(query string, position consensus.Position) string {
	return withKey(query, positionKey, position.String())
}

// withKey returns a query string with a key set to a value.
func withKey(query, key, value string) string {
	values, _ := url.ParseQuery(query)
	values.Set(key, value)
	return values.Encode()
}

// isOvertaken reports whether the log has, or may have, a change about the request's subject after the position that was
// known when its caller was certainly waiting.
func (c *Controller) isOvertaken(request *wire.Call) bool {
	if !isOrderedCall(request.Method, request.Path) || !queryHas(request.Query, positionKey) {
		return false
	}
	position, err := consensus.ParsePosition(queryValue(request.Query, positionKey))
	return err != nil || position.Epoch != c.node.Epoch() || c.node.CoveredIndex(position) < c.order.latest(parsePath(request.Path))
}

// answerOvertaken rejects a change that may have been overtaken. No leader has executed it, since this one has looked for its
// token in its log.
func (c *Controller) answerOvertaken(call *pendingCall) {
	c.counts.Overtaken++
	c.countAnswer(call, statusUnavailable)
	if call.relayedFrom == "" {
		c.deliver(call, overtakenReply())
		return
	}
	response := c.relayedReply(call, overtakenReply())
	response.Query = withKey(response.Query, overtakenKey, "1")
	c.send(call.relayedFrom, &wire.Message{Kind: wire.KindCall, Call: response})
}

// overtakenReply rejects a change that may have been overtaken.
func overtakenReply() statemachine.Reply {
	return reply.Problem(503, config.ErrorBody{Code: "overtaken", Message: "a later change may have been made since the call was sent; nothing was changed; send it again"})
}
