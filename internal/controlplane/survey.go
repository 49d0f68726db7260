// This file surveys the latest known membership of the control plane: which members are visible, which have lost their
// disks, and whether they can still elect a leader.

package controlplane

import (
	"cmp"
	"maps"
	"slices"

	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/wire"
)

// latestMembership returns the latest membership known to this daemon: from its own log, from other control daemons, or
// from states of an earlier epoch that proxies hold.
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

// membershipSurvey is the result of surveying the latest membership.
type membershipSurvey struct {
	last      discovery.Membership // the latest membership, empty if none is known
	size      int                  // number of members of the next epoch, including absent ones
	fixedSize bool                 // Settings.BootstrapSize is set, so any control daemon may be a founder of the first epoch

	lostDisk    int // members that are visible with a different disk, or that an operator declared lost
	withDisk    int // members that are visible with their disks and have not locked a later epoch
	unreachable int // members that are not visible and may come back with their disks
}

// surveyMembers surveys the latest membership, given the visible control daemons and the names of members whose machines
// an operator declared permanently lost.
func (c *Controller) surveyMembers(visible []wire.Daemon, lost []string) membershipSurvey {
	survey := membershipSurvey{last: c.latestMembership(), fixedSize: c.settings.BootstrapSize > 0}
	survey.size = cmp.Or(len(survey.last.Members), c.bootstrapSize) - survey.countLost(visible, lost)
	for _, member := range survey.last.Members {
		if member.Disk == 0 {
			continue // a placeholder for an absent machine
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

// countLost counts the machines that an operator declared lost and that would otherwise be members of the next epoch.
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

// eligibleFounders returns the visible daemons that may begin the next epoch: those named in the latest membership or,
// if none is known, those that report that they may begin the first epoch. With a fixed size, those are all visible
// daemons.
func (s *membershipSurvey) eligibleFounders(visible []wire.Daemon) []wire.Daemon {
	return slices.DeleteFunc(slices.Clone(visible), func(d wire.Daemon) bool {
		if len(s.last.Members) == 0 {
			return !s.fixedSize && d.State != emptyState
		}
		return !slices.Contains(namesOf(s.last.Members), d.Name)
	})
}

// canElect reports whether the visible members with their disks are a majority of the latest membership and can elect a
// leader.
func (s *membershipSurvey) canElect() bool { return 2*s.withDisk > len(s.last.Members) }

// canNeverElect reports whether the latest membership could not reach a majority even if all unreachable members came
// back with their disks.
func (s *membershipSurvey) canNeverElect() bool {
	return 2*(s.withDisk+s.unreachable) <= len(s.last.Members)
}

// bootstrapEpochOf returns the latest epoch that a visible daemon has locked, 0 if none.
func (c *Controller) bootstrapEpochOf(name string) uint64 {
	if name == c.settings.Self.Name {
		return c.persistentState.BootstrapEpoch
	}
	return c.directory[name].BootstrapEpoch
}

// indexOfDaemon returns the index of the named daemon in a list, -1 if it is not in it.
func indexOfDaemon(daemons []wire.Daemon, name string) int {
	return slices.IndexFunc(daemons, func(d wire.Daemon) bool { return d.Name == name })
}
