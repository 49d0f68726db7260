// This file implements the graceful shutdown of a control daemon: it transfers leadership and waits until a standby has
// replaced it before the process exits.

package controlplane

import (
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// stop begins the shutdown: it announces it to all daemons and transfers leadership.
func (c *Controller) stop(now time.Duration) {
	if c.stopping {
		return
	}
	c.stopping, c.stoppingSince = true, now
	c.sendHellos(now)
	c.transferLeadership(now)
}

// transferLeadership transfers leadership to another member that is not stopping, if there is one. Two stopping members
// would otherwise transfer it back and forth until both have exited.
func (c *Controller) transferLeadership(now time.Duration) {
	notStopping := func(m wire.Member) bool { return !c.isStopping(m.Name) }
	if c.node != nil && c.node.TransferLeadershipTo(now, tuning.LeaderLease, notStopping) {
		c.emit(statemachine.StateChange{Subject: statemachine.SubjectTransfer, From: c.settings.Self.Name, To: "", Reason: "stopping"})
	}
}

// tickShutdown retries the transfer of leadership, and ends the process once mayExit allows it.
func (c *Controller) tickShutdown(now time.Duration) {
	if c.node != nil && c.node.Role() == consensus.Leader && c.node.CanChangeMembers() {
		c.transferLeadership(now)
	}
	if c.mayExit(now) && !c.exited {
		c.exited = true
		c.abandonCalls()
		c.emit(statemachine.Exit{})
	}
}

// abandonCalls answers all calls that wait here before the process ends: their outcome is unknown.
func (c *Controller) abandonCalls() {
	c.abandonWaiters()
	for _, id := range slices.Sorted(maps.Keys(c.uncheckedCalls)) {
		c.answer(&pendingCall{callID: id}, noLeaderReply())
	}
	clear(c.uncheckedCalls)
	for _, id := range slices.Sorted(maps.Keys(c.relayedCalls)) {
		c.answerUnknown(c.relayedCalls[id])
	}
	clear(c.relayedCalls)
}

// mayExit reports whether the process may exit.
func (c *Controller) mayExit(now time.Duration) bool {
	waited := now - c.stoppingSince
	switch {
	case c.node == nil || waited > c.handoverWait():
		return true
	case waited <= tuning.LeaderLease:
		return false // the next leader may not have received the announcement yet
	case c.node.Removed() || c.isNonVoter() && !c.node.HasLeader(now):
		return true
	case !c.isNonVoter() && (c.hasStandby(now) || len(c.node.Members())%2 == 0):
		// Either a standby still has to join as the successor; or it has joined, which makes the number of members even,
		// and this member still has to be removed. This member's vote may be needed for either change.
		return false
	}
	return waited > tuning.ElectionTimeoutMin || c.node.Role() != consensus.Leader
}

// handoverWait returns how long a stopping member waits for its successor at most.
func (c *Controller) handoverWait() time.Duration {
	if c.settings.StopGrace > 0 {
		return min(tuning.HandoverWait, c.settings.StopGrace/2)
	}
	return tuning.HandoverWait
}

// hasStandby reports whether a visible control daemon could replace this member.
func (c *Controller) hasStandby(now time.Duration) bool {
	members := namesOf(c.node.Members())
	return slices.ContainsFunc(c.visibleControlDaemons(now), func(d wire.Daemon) bool {
		return d.Name != c.settings.Self.Name && d.Disk != 0 && d.State != stoppingState &&
			c.state.RemovedMembers[d.Name] == 0 && !slices.Contains(members, d.Name)
	})
}
