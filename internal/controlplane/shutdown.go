// This file is how a control daemon stops: it hands leadership over, and its place to
// a standby if there is one, before it goes.

package controlplane

import (
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// stop begins the end: everybody is told, and leadership goes to another member.
func (c *Controller) stop(now time.Duration) {
	if c.stopping {
		return
	}
	c.stopping, c.stoppingSince = true, now
	c.sendHellos(now)
	c.transferLeadership(now)
}

// transferLeadership gives leadership to the best of the other members that do not stop too, if
// there is one: two that stop would hand it to each other until both are gone.
func (c *Controller) transferLeadership(now time.Duration) {
	stays := func(m wire.Member) bool { return !c.isStopping(m.Name) }
	if c.node != nil && c.node.TransferLeadershipTo(now, tuning.LeaderLease, stays) {
		c.emit(statemachine.StateChange{Subject: statemachine.SubjectTransfer, From: c.settings.Self.Name, To: "", Reason: "stopping"})
	}
}

// tickShutdown goes on with the end, and ends the process once nothing is left to hand over.
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

// abandonCalls answers everybody who still waits here that it can't be told: the process ends.
func (c *Controller) abandonCalls() {
	c.abandonWaiters()
	for _, id := range slices.Sorted(maps.Keys(c.relayedCalls)) {
		c.answerUnknown(c.relayedCalls[id])
	}
	clear(c.relayedCalls)
}

func (c *Controller) mayExit(now time.Duration) bool {
	waited := now - c.stoppingSince
	switch {
	case c.node == nil || waited > c.handoverWait():
		return true
	case waited <= tuning.LeaderLease:
		return false // whoever leads next may be told first
	case c.node.Removed() || c.isNonVoter() && !c.node.HasLeader(now):
		return true
	case !c.isNonVoter() && (c.hasStandby(now) || len(c.node.Members())%2 == 0):
		return false // its successor is to come, or is in and it is to be removed: its vote may be needed for that
	}
	return waited > tuning.ElectionTimeoutMin || c.node.Role() != consensus.Leader
}

// hasStandby says that a core daemon is there that could take this member's place.
func (c *Controller) hasStandby(now time.Duration) bool {
	members := c.node.Members()
	for _, d := range c.visibleControlDaemons(now) {
		if d.Name != c.settings.Self.Name && d.Disk != 0 && d.State != stoppingState && c.state.RemovedMembers[d.Name] == 0 &&
			!slices.Contains(namesOf(members), d.Name) {
			return true
		}
	}
	return false
}
