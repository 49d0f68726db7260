// This file changes the control plane's membership by one member at a time: it carries out operators' requests, fills a
// membership of fixed size, and removes members that return with a different disk. replacement.go repairs a membership
// without a fixed size by itself. docs/control/membership.md explains the design.

package controlplane

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Values of StateChange.To for membership changes.
const (
	memberAdded   = "in"
	memberRemoved = "out"
)

// maintainMembers proposes the next membership change, if one is needed and this member may change the membership. It
// reviews the membership every tuning.MembershipReviewEvery, and at once after a change has been committed.
func (c *Controller) maintainMembers(now time.Duration) {
	if !c.mayChangeMembers(now) || now-c.membersReviewedAt < tuning.MembershipReviewEvery && !c.memberChangePending {
		return
	}
	c.membersReviewedAt = now
	c.memberChangePending = !c.node.CanChangeMembers()
	if c.memberChangePending {
		return
	}
	members := c.node.Members()
	visible := c.visibleControlDaemons(now)
	if c.removeMemberWithNewDisk(now, members, visible) || c.admitRequested(now, members, visible) {
		return
	}
	if c.settings.BootstrapSize == 0 {
		c.reconcileMembers(now, members, visible)
	}
}

// mayChangeMembers reports whether this member may propose membership changes: it leads or gathers tables, or it is
// stopping and still holds the lease, as the only member does until its successor has joined.
func (c *Controller) mayChangeMembers(now time.Duration) bool {
	return c.leadership >= Gathering || c.stopping && c.state.Recovered && c.node != nil && c.node.HasLease(now)
}

// proposeMembers proposes a membership that differs from the current one by one member, so that every majority of one
// shares a member with every majority of the other.
func (c *Controller) proposeMembers(now time.Duration, members []wire.Member, name, change, reason string) {
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectMember, From: name, To: change, Reason: reason})
	c.memberChangePending = true
	c.node.ProposeMembers(now, members)
}

// removeMemberWithNewDisk proposes to remove a member that returned with a different disk. Consensus treats it as
// another member, which has to replicate the log before it may vote.
func (c *Controller) removeMemberWithNewDisk(now time.Duration, members []wire.Member, visible []wire.Daemon) (proposed bool) {
	for _, daemon := range visible {
		if daemon.Name == c.settings.Self.Name || daemon.Disk == 0 {
			continue
		}
		if daemon.Epoch != 0 && daemon.Epoch != c.node.Epoch() {
			continue
		}
		i := slices.IndexFunc(members, func(m wire.Member) bool { return m.Name == daemon.Name })
		if i < 0 || members[i].Disk == daemon.Disk {
			continue
		}
		if c.settings.BootstrapSize > 0 {
			c.requestedMembers[daemon.Name] = true
		}
		c.proposeMembers(now, slices.Delete(slices.Clone(members), i, i+1), daemon.Name, memberRemoved, "returned with a different disk")
		return true
	}
	return false
}

// admitRequested admits control daemons that an operator requested and, if the membership has a fixed size, visible
// daemons until that size is reached. Placeholders for machines that were absent at the bootstrap are removed first, to
// make room for these daemons.
func (c *Controller) admitRequested(now time.Duration, members []wire.Member, visible []wire.Daemon) (proposed bool) {
	placeholder := slices.IndexFunc(members, func(m wire.Member) bool { return m.Disk == 0 })
	hasFixedSize := c.settings.BootstrapSize > 0
	for _, daemon := range visible {
		if daemon.Name == c.settings.Self.Name || daemon.Disk == 0 || slices.Contains(namesOf(members), daemon.Name) {
			continue
		}
		wasRemoved := c.state.RemovedMembers[daemon.Name] != 0
		if hasFixedSize && !wasRemoved && placeholder >= 0 {
			c.requestedMembers[daemon.Name] = true
			c.proposeMembers(now, slices.Delete(slices.Clone(members), placeholder, placeholder+1), members[placeholder].Name, memberRemoved,
				"placeholder for a machine that was absent at the bootstrap")
			return true
		}
		belowTargetSize := len(members) < c.settings.BootstrapSize && !wasRemoved
		if (c.requestedMembers[daemon.Name] || belowTargetSize) && c.admit(now, members, daemon) {
			return true
		}
	}
	return false
}

// admit makes a daemon a learner, and proposes it as a member once it has caught up with the log. A member that lacks
// earlier entries can't acknowledge new ones, but would count towards the size of a majority.
func (c *Controller) admit(now time.Duration, members []wire.Member, daemon wire.Daemon) (proposed bool) {
	learner := memberOf(daemon)
	c.node.AddLearner(learner)
	enlarged := append(slices.Clone(members), learner)
	if !c.node.CaughtUp(now, learner) || !c.hasResponsiveMajority(now, enlarged) {
		return false
	}
	delete(c.requestedMembers, daemon.Name)
	c.proposeMembers(now, enlarged, daemon.Name, memberAdded, "caught up with the log")
	return true
}

// removeMember proposes to remove a member if majorities of both the current members and the remaining ones respond:
// the current members have to commit the change, and the remaining ones all later entries.
func (c *Controller) removeMember(now time.Duration, members []wire.Member, member wire.Member, reason string) (proposed bool) {
	remaining := withoutMember(members, member)
	if !c.hasResponsiveMajority(now, members) || !c.hasResponsiveMajority(now, remaining) {
		return false
	}
	c.proposeMembers(now, remaining, member.Name, memberRemoved, reason)
	return true
}

// memberReplaceAfter returns how long a member has to be without contact before a standby replaces it.
func (c *Controller) memberReplaceAfter() time.Duration {
	repairTime := cmp.Or(c.settings.CatchUpTime, tuning.CatchUpDefault)
	return max(repairTime/tuning.ReplacementDivisor, tuning.ReplaceAfterMin)
}

// sinceLastContact returns the time since this member last had contact with the named one. It is 0 for this member
// itself, and for all members until this one has led for tuning.NewLeaderGrace, which gives every running member time
// to make contact. After that, the result includes time before this member led.
func (c *Controller) sinceLastContact(now time.Duration, name string) time.Duration {
	if name == c.settings.Self.Name || now-c.node.RoleSince() < tuning.NewLeaderGrace {
		return 0
	}
	last, ok := c.peerContacts[name]
	if !ok {
		return now - c.node.RoleSince()
	}
	return now - last.lastAt
}

// isStopping reports whether a member has announced that it is stopping. It may come back.
func (c *Controller) isStopping(name string) bool {
	return name == c.settings.Self.Name && c.stopping || c.peerContacts[name].stopping
}

// lossReason returns the log text for why a member counts as lost.
func (c *Controller) lossReason(now time.Duration, member wire.Member) string {
	switch {
	case member.Disk == 0:
		return "placeholder for a machine that never joined"
	case c.isStopping(member.Name):
		return "stopping"
	}
	return fmt.Sprintf("no contact for %v", c.sinceLastContact(now, member.Name).Truncate(time.Second/10))
}

// hasResponsiveMajority reports whether a majority of the given members has responded recently.
func (c *Controller) hasResponsiveMajority(now time.Duration, members []wire.Member) bool {
	responsive := 0
	for _, member := range members {
		if c.node.RecentlyActive(now, member) {
			responsive++
		}
	}
	return 2*responsive > len(members)
}

// memberOf returns a daemon's identity as a member: its name and disk number.
func memberOf(daemon wire.Daemon) wire.Member {
	return wire.Member{Name: daemon.Name, Disk: daemon.Disk}
}

// namesOf returns the names of members, in the given order.
func namesOf(members []wire.Member) []string {
	var names []string
	for _, member := range members {
		names = append(names, member.Name)
	}
	return names
}

// withoutMember returns a copy of members without the removed one.
func withoutMember(members []wire.Member, removed wire.Member) []wire.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m wire.Member) bool { return m == removed })
}
