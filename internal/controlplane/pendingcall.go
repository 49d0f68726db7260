package controlplane

import (
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// pendingCall is a call that is not answered yet.
type pendingCall struct {
	token      string
	callID     uint64 // of the caller at this daemon, 0 if another daemon relayed it
	receivedAt time.Duration

	// relayedFrom is the daemon that relayed the call to this one, "" if the caller is here, and relayedFromID its ID there.
	relayedFrom   string
	relayedFromID uint64

	// call is what is relayed to the leader, nil if nothing was.
	call        *wire.Call
	relayedTo   string // the leader that it was last relayed to
	relayCount  int    // how many times it was relayed
	relayedAt   time.Duration
	relayedTerm uint64

	// duplicates are calls with the same token that came while this one is pending. They get its answer.
	duplicates []*pendingCall
	// targetReport says that it is a target's report. It is acknowledged in time or not at all: the target sends it
	// again, which is harmless, where an operator's change could take effect twice.
	targetReport bool
}

// expirePendingChanges answers changes that were not committed in time. They may still be.
func (c *Controller) expirePendingChanges(now time.Duration) {
	for _, token := range slices.Sorted(maps.Keys(c.pendingChanges)) {
		if call := c.pendingChanges[token]; now-call.receivedAt > tuning.CallWait {
			delete(c.pendingChanges, token)
			c.answerUnknown(call)
		}
	}
}

// tickRelayedCalls looks after calls that wait for the leader: they expire, are carried out here if this member leads
// by now, or are relayed again to another leader or in another term.
func (c *Controller) tickRelayedCalls(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.relayedCalls)) {
		call := c.relayedCalls[id]
		leader := c.relayTo(now)
		switch {
		case call.relayExpired(now):
			delete(c.relayedCalls, id)
			c.answerUnknown(call)
		case c.leadership == Leading:
			delete(c.relayedCalls, id)
			call.relayCount++
			c.executeCall(now, call, call.call)
		case leader == "" || leader == c.settings.Self.Name:
		case leader != call.relayedTo || c.Term() != call.relayedTerm || call.targetReport && now-call.relayedAt > tuning.TargetReportRetry:
			// The token is the same, so that a change is made once, however many leaders receive it.
			c.relay(now, call, leader)
		}
	}
}

// relayExpired says that a relayed call is answered without waiting for the leader any longer. The leader answers a
// change itself within CallWait; a lease is the time for that answer to come.
func (p *pendingCall) relayExpired(now time.Duration) bool {
	waited := now - p.receivedAt
	return waited > tuning.CallWait+tuning.LeaderLease || p.targetReport && waited > tuning.TargetReportWait
}
