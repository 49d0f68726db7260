package controlplane

import (
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// pendingCall is a call that has not been answered yet.
type pendingCall struct {
	token      string // identifies a change across retries
	callID     uint64 // ID of the caller's request to this daemon, 0 if another daemon relayed the call
	receivedAt time.Duration

	// relayedFrom is the daemon that relayed the call to this one, "" if this daemon received it from the caller, and
	// relayedFromID the call's ID at that daemon.
	relayedFrom   string
	relayedFromID uint64

	// request is the message relayed to the leader, nil if the call was not relayed.
	request     *wire.Call
	relayedTo   string        // the leader that it was last relayed to
	relayCount  int           // how often it was relayed, or executed here after a relay
	relayedAt   time.Duration // when it was last relayed
	relayedTerm uint64        // the term in which it was last relayed

	// duplicates are calls with the same token that arrived while this one was pending. They get the same answer.
	duplicates []*pendingCall
	// targetReport is set if the call is a target's report. It expires sooner than other calls: a target repeats an
	// unacknowledged report, which is harmless, while a repeated operator's change could take effect twice.
	targetReport bool
}

// expirePendingChanges answers changes that were not committed within tuning.ChangeTimeout. The outcome is unknown: they
// may still be committed.
func (c *Controller) expirePendingChanges(now time.Duration) {
	for _, token := range slices.Sorted(maps.Keys(c.pendingChanges)) {
		if call := c.pendingChanges[token]; now-call.receivedAt > tuning.ChangeTimeout {
			delete(c.pendingChanges, token)
			c.answerUnknown(call)
		}
	}
}

// tickRelayedCalls processes the calls that wait for the leader's reply: it expires them, executes them here if this
// member now leads, or relays them again if the leader or the term has changed.
func (c *Controller) tickRelayedCalls(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.relayedCalls)) {
		call := c.relayedCalls[id]
		leader := c.relayDestination(now)
		switch {
		case call.relayExpired(now):
			delete(c.relayedCalls, id)
			c.answerUnknown(call)
		case c.leadership == Leading:
			delete(c.relayedCalls, id)
			call.relayCount++
			c.executeCall(now, call, call.request)
		case leader == "" || leader == c.settings.Self.Name:
		case leader != call.relayedTo || c.Term() != call.relayedTerm || call.targetReport && now-call.relayedAt > tuning.TargetReportRetry:
			// The token stays the same, so that a change is made only once even if several leaders receive it.
			c.relay(now, call, leader)
		}
	}
}

// relayExpired reports whether a relayed call has waited too long for the leader's reply. The leader answers a change
// within tuning.ChangeTimeout; tuning.LeaderLease is added for the reply to arrive.
func (p *pendingCall) relayExpired(now time.Duration) bool {
	waited := now - p.receivedAt
	return waited > tuning.ChangeTimeout+tuning.LeaderLease || p.targetReport && waited > tuning.TargetReportWait
}
