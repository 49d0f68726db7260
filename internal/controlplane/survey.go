// This file finds out what is left of the last control plane that is known: which of its members are there,
// which have lost their disks, and whether they can still elect a leader.

package controlplane

import (
	"cmp"
	"maps"
	"slices"

	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/wire"
)

// latestMembership is the latest membership that is known here: from this member's log, from other members,
// or from what proxies have of an earlier epoch.
func (c *Controller) latestMembership() discovery.Membership {
	var latest discovery.Membership
	if c.node != nil && len(c.node.Members()) > 0 {
		latest = discovery.Membership{Epoch: c.node.Epoch(), Index: c.node.Commit(), Members: c.node.Members()}
	}
	for _, name := range slices.Sorted(maps.Keys(c.directory)) {
		if peer := c.directory[name]; peer.Kind == wire.ControlDaemon && latest.IsBefore(peer.Members) {
			latest = peer.Members
		}
	}
	for _, proxy := range slices.Sorted(maps.Keys(c.proxyRecoveredStates)) {
		if membership := c.proxyRecoveredStates[proxy].members; latest.IsBefore(membership) {
			latest = membership
		}
	}
	return latest
}

// membershipSurvey is what is known of the members of the last control plane.
type membershipSurvey struct {
	last      discovery.Membership // empty if none is known
	size      int                  // how many members the next epoch has, those that are absent included
	fixedSize bool                 // its size is set, so any control daemon may be a founder of the first one

	lostDisk    int // members whose disks are lost: they are here with another one, or an operator says so
	withDisk    int // members that are here with their disks, and have not locked a later epoch
	unreachable int // members that are not here and may come back with their disks
}

// surveyMembers surveys the last membership, given the control daemons that are visible and the members whose
// machines an operator says are lost for good.
func (c *Controller) surveyMembers(visible []wire.Daemon, lost []string) membershipSurvey {
	survey := membershipSurvey{last: c.latestMembership(), fixedSize: c.settings.BootstrapSize > 0}
	survey.size = cmp.Or(len(survey.last.Members), c.bootstrapSize) - survey.countLost(visible, lost)
	for _, member := range survey.last.Members {
		if member.Disk == 0 {
			continue // a name that stands for an absent machine
		}
		i := indexOfDaemon(visible, member.Name)
		switch {
		case i < 0 && slices.Contains(lost, member.Name):
			survey.lostDisk++
		case i < 0:
			survey.unreachable++
		case visible[i].Disk != member.Disk:
			survey.lostDisk++
		case c.bootstrapEpochOf(member.Name) <= survey.last.Epoch:
			survey.withDisk++
		}
	}
	return survey
}

// countLost counts the machines that an operator says are lost and that would be members of the next epoch.
func (s *membershipSurvey) countLost(visible []wire.Daemon, lost []string) int {
	count := 0
	for _, name := range lost {
		isMember := len(s.last.Members) == 0 || slices.Contains(namesOf(s.last.Members), name)
		if isMember && indexOfDaemon(visible, name) < 0 {
			count++
		}
	}
	return count
}

// eligibleFounders are the visible daemons that may begin the next epoch: the last members, by name; or, if
// none are known, those that report that they may begin the first one.
func (s *membershipSurvey) eligibleFounders(visible []wire.Daemon) []wire.Daemon {
	return slices.DeleteFunc(slices.Clone(visible), func(d wire.Daemon) bool {
		if len(s.last.Members) == 0 {
			return !s.fixedSize && d.State != emptyState
		}
		return !slices.Contains(namesOf(s.last.Members), d.Name)
	})
}

// canElect says that the visible members of the last control plane are a majority of it, and can go on.
func (s *membershipSurvey) canElect() bool { return 2*s.withDisk > len(s.last.Members) }

// canNeverElect says that the last control plane has no majority any more, even if all members come back that
// are not visible.
func (s *membershipSurvey) canNeverElect() bool {
	return 2*(s.withDisk+s.unreachable) <= len(s.last.Members)
}

// bootstrapEpochOf is the latest epoch that a visible daemon has locked, 0: none.
func (c *Controller) bootstrapEpochOf(name string) uint64 {
	if name == c.settings.Self.Name {
		return c.persistentState.BootstrapEpoch
	}
	return c.directory[name].BootstrapEpoch
}

// indexOfDaemon is the index of a daemon in a list by its name, -1 if it is not in it.
func indexOfDaemon(daemons []wire.Daemon, name string) int {
	return slices.IndexFunc(daemons, func(d wire.Daemon) bool { return d.Name == name })
}
