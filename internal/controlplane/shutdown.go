// This file is how a control daemon stops: it transfers leadership, and waits until a standby has replaced it, before
// its process ends.

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

// stop begins the shutdown: all daemons learn of it, and another member gets leadership.
func (c *Controller) stop(now time.Duration) {
	if c.stopping {
		return
	}
	c.stopping, c.stoppingSince = true, now
	c.sendHellos(now)
	c.transferLeadership(now)
}

// transferLeadership gives leadership to the best other member that does not stop too, if there is one: two that stop
// would transfer it to each other until both are gone.
func (c *Controller) transferLeadership(now time.Duration) {
	stays := func(m wire.Member) bool { return !c.isStopping(m.Name) }
	if c.node != nil && c.node.TransferLeadershipTo(now, tuning.LeaderLease, stays) {
		c.emit(statemachine.StateChange{Subject: statemachine.SubjectTransfer, From: c.settings.Self.Name, To: "", Reason: "stopping"})
	}
}

// tickShutdown goes on with the shutdown, and ends the process once nothing is left to transfer.
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

// abandonCalls answers all calls that wait here as unknown, since the process ends.
func (c *Controller) abandonCalls() {
	c.abandonWaiters()
	for _, id := range slices.Sorted(maps.Keys(c.relayedCalls)) {
		c.answerUnknown(c.relayedCalls[id])
	}
	clear(c.relayedCalls)
}

// mayExit says that the process may end.
func (c *Controller) mayExit(now time.Duration) bool {
	waited := now - c.stoppingSince
	switch {
	case c.node == nil || waited > c.handoverWait():
		return true
	case waited <= tuning.LeaderLease:
		return false // the next leader may still have to learn of the shutdown
	case c.node.Removed() || c.isNonVoter() && !c.node.HasLeader(now):
		return true
	case !c.isNonVoter() && (c.hasStandby(now) || len(c.node.Members())%2 == 0):
		// Its successor is to join, or has joined and this member is to be removed: its vote may be needed for either.
		return false
	}
	return waited > tuning.ElectionTimeoutMin || c.node.Role() != consensus.Leader
}

// handoverWait is how long a member that stops waits for its successor at most.
func (c *Controller) handoverWait() time.Duration {
	if c.settings.StopGrace > 0 {
		return min(tuning.HandoverWait, c.settings.StopGrace/2)
	}
	return tuning.HandoverWait
}

// hasStandby says that a control daemon is there that could replace this member.
func (c *Controller) hasStandby(now time.Duration) bool {
	members := namesOf(c.node.Members())
	return slices.ContainsFunc(c.visibleControlDaemons(now), func(d wire.Daemon) bool {
		return d.Name != c.settings.Self.Name && d.Disk != 0 && d.State != stoppingState &&
			c.state.RemovedMembers[d.Name] == 0 && !slices.Contains(members, d.Name)
	})
}
