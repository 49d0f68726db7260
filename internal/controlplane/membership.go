// This file changes the membership of the control plane, one member at a time: what operators ask for, a
// membership of a set size, and members that come back with another disk. replacement.go does what nobody asks
// for. docs/control/membership.md says why it is done in this way.

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

// What a log line says that becomes of a member.
const (
	memberAdded   = "in"
	memberRemoved = "out"
)

// maintainMembers takes the next step of the membership, if this member may change it: as a leader, also while
// it gathers tables, and as the only member while it stops and hands over.
func (c *Controller) maintainMembers(now time.Duration) {
	if !c.mayChangeMembers(now) || now-c.membersReviewedAt < tuning.MembersEvery && !c.memberChangePending {
		return
	}
	c.membersReviewedAt = now
	c.memberChangePending = !c.node.CanChangeMembers()
	if c.memberChangePending {
		return
	}
	members := c.node.Members()
	visible := c.visibleControlDaemons(now)
	if c.replaceLostDisk(now, members, visible) || c.admitRequested(now, members, visible) {
		return
	}
	if c.settings.BootstrapSize == 0 {
		c.reconcileMembers(now, members, visible)
	}
}

func (c *Controller) mayChangeMembers(now time.Duration) bool {
	return c.leadership >= Gathering || c.stopping && c.state.Recovered && c.node != nil && c.node.HasLease(now)
}

// proposeMembers proposes a membership that differs by one member from the present one, so that majorities of the
// two share a member.
func (c *Controller) proposeMembers(now time.Duration, members []wire.Member, name, change, reason string) {
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectMember, From: name, To: change, Reason: reason})
	c.memberChangePending = true
	c.node.ProposeMembers(now, members)
}

// replaceLostDisk removes a member that came back with another disk. It is another member now, and has to learn
// the log first.
func (c *Controller) replaceLostDisk(now time.Duration, members []wire.Member, visible []wire.Daemon) (proposed bool) {
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
		c.proposeMembers(now, slices.Delete(slices.Clone(members), i, i+1), daemon.Name, memberRemoved, "its disk was lost")
		return true
	}
	return false
}

// admitRequested admits control daemons that an operator asked for and, in a membership of a set size, those that
// it lacks. These first take the slots of machines that were absent at the bootstrap.
func (c *Controller) admitRequested(now time.Duration, members []wire.Member, visible []wire.Daemon) (proposed bool) {
	absent := slices.IndexFunc(members, func(m wire.Member) bool { return m.Disk == 0 })
	hasSize := c.settings.BootstrapSize > 0
	for _, daemon := range visible {
		if daemon.Name == c.settings.Self.Name || daemon.Disk == 0 || slices.Contains(namesOf(members), daemon.Name) {
			continue
		}
		wasRemoved := c.state.RemovedMembers[daemon.Name] != 0
		if hasSize && !wasRemoved && absent >= 0 {
			c.requestedMembers[daemon.Name] = true
			c.proposeMembers(now, slices.Delete(slices.Clone(members), absent, absent+1), members[absent].Name, memberRemoved,
				"it stands for a machine that was absent at the bootstrap")
			return true
		}
		isLacking := len(members) < c.settings.BootstrapSize && !wasRemoved
		if (c.requestedMembers[daemon.Name] || isLacking) && c.admit(now, members, daemon) {
			return true
		}
	}
	return false
}

// admit has a daemon learn the log, and proposes it as a member once it has caught up. Until then it must not count
// for a majority, as it could acknowledge nothing.
func (c *Controller) admit(now time.Duration, members []wire.Member, daemon wire.Daemon) (proposed bool) {
	learner := memberOf(daemon)
	c.node.AddLearner(learner)
	enlarged := append(slices.Clone(members), learner)
	if !c.node.CaughtUp(now, learner) || !c.hasResponsiveMajority(now, enlarged) {
		return false
	}
	delete(c.requestedMembers, daemon.Name)
	c.proposeMembers(now, enlarged, daemon.Name, memberAdded, "caught up")
	return true
}

// removeMember proposes to remove a member, if both the membership before and the one after have a majority that
// responds: the change is committed by the one and must not block the other.
func (c *Controller) removeMember(now time.Duration, members []wire.Member, member wire.Member, reason string) (proposed bool) {
	remaining := without(members, member)
	if !c.hasResponsiveMajority(now, members) || !c.hasResponsiveMajority(now, remaining) {
		return false
	}
	c.proposeMembers(now, remaining, member.Name, memberRemoved, reason)
	return true
}

// memberReplaceAfter is how long a member has no contact before a standby replaces it.
func (c *Controller) memberReplaceAfter() time.Duration {
	repairTime := cmp.Or(c.settings.CatchUpTime, tuning.CatchUpDefault)
	return max(repairTime/tuning.ReplaceParts, tuning.ReplaceAfterMin)
}

// sinceLastContact is how long this member has had no contact with another, 0 for itself. Time before it led counts
// too, once it has led for long enough to have contact with all.
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

// isStopping says that a member said that it stops. It may come back.
func (c *Controller) isStopping(name string) bool {
	return name == c.settings.Self.Name && c.stopping || c.peerContacts[name].stopping
}

// lossReason says for people why a member counts as lost.
func (c *Controller) lossReason(now time.Duration, member wire.Member) string {
	switch {
	case member.Disk == 0:
		return "it stands for a machine that never came"
	case c.isStopping(member.Name):
		return "it is stopping"
	}
	return fmt.Sprintf("no contact for %v", c.sinceLastContact(now, member.Name).Truncate(time.Second/10))
}

// hasResponsiveMajority says that a majority of some members has responded lately.
func (c *Controller) hasResponsiveMajority(now time.Duration, members []wire.Member) bool {
	responsive := 0
	for _, member := range members {
		if c.node.RecentlyActive(now, member) {
			responsive++
		}
	}
	return 2*responsive > len(members)
}

// memberOf is a daemon as a member: its name and its disk.
func memberOf(daemon wire.Daemon) wire.Member {
	return wire.Member{Name: daemon.Name, Disk: daemon.Disk}
}

// namesOf are the names of members, in their order.
func namesOf(members []wire.Member) []string {
	var names []string
	for _, member := range members {
		names = append(names, member.Name)
	}
	return names
}

// without is a list of members without one.
func without(members []wire.Member, removed wire.Member) []wire.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m wire.Member) bool { return m == removed })
}
