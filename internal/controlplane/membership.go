// This file decides who is a member of the core: who learns, who joins, who is
// replaced and who is removed, one change at a time. Why it is done in this way
// stands in docs/control/membership.md.

package controlplane

import (
	"cmp"
	"fmt"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// learnerProgress is a learner's progress.
type learnerProgress struct {
	since      time.Duration // when it began to learn
	matchIndex uint64
	advancedAt time.Duration // when it last came on
}

// memberReplaceAfter is how long a member is silent before a standby takes its place.
func (c *Controller) memberReplaceAfter() time.Duration {
	repair := cmp.Or(c.settings.CatchUpTime, tuning.CatchUpDefault)
	return max(repair/tuning.ReplaceParts, tuning.ReplaceAfterMin)
}

// handoverWait is how long a member that stops waits for its successor.
func (c *Controller) handoverWait() time.Duration {
	if c.settings.StopGrace > 0 {
		return min(tuning.HandoverWait, c.settings.StopGrace/2)
	}
	return tuning.HandoverWait
}

// maintainMembers looks after the list of members, if this member may change it: also
// while a new leader still gathers tables, and while the only member hands over.
func (c *Controller) maintainMembers(now time.Duration) {
	may := c.leadership >= Gathering || c.stopping && c.state.Recovered && c.node != nil && c.node.HasLease(now)
	if !may || now-c.membersReviewedAt < tuning.MembersEvery && !c.memberChangePending {
		return
	}
	c.membersReviewedAt = now
	c.memberChangePending = !c.node.CanChangeMembers()
	if c.memberChangePending {
		return
	}
	members := c.node.Members()
	all := c.visibleControlDaemons(now)
	if c.replaceLostDisk(now, members, all) || c.admitRequested(now, members, all) {
		return
	}
	if c.settings.BootstrapSize == 0 {
		c.reconcileMembers(now, members, all)
	}
}

// proposeMembers proposes a list that differs by one from the present one.
func (c *Controller) proposeMembers(now time.Duration, list []wire.Member, name, change, why string) {
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectMember, From: name, To: change, Reason: why})
	c.memberChangePending = true
	c.node.ProposeMembers(now, list)
}

// replaceLostDisk removes a member that came back with another disk. It is another
// member now, and learns first.
func (c *Controller) replaceLostDisk(now time.Duration, members []wire.Member, all []wire.Daemon) bool {
	for _, d := range all {
		i := slices.IndexFunc(members, func(m wire.Member) bool { return m.Name == d.Name })
		if d.Name == c.settings.Self.Name || d.Disk == 0 || i < 0 || members[i].Disk == d.Disk || d.Epoch != 0 && d.Epoch != c.node.Epoch() {
			continue
		}
		if c.settings.BootstrapSize > 0 {
			c.requestedMembers[d.Name] = true
		}
		c.proposeMembers(now, slices.Delete(slices.Clone(members), i, i+1), d.Name, "out", "it lost its disk")
		return true
	}
	return false
}

// admitRequested admits those that an operator asked for and, in a core whose size is
// given, those that it lacks.
func (c *Controller) admitRequested(now time.Duration, members []wire.Member, all []wire.Daemon) bool {
	ghost := slices.IndexFunc(members, func(m wire.Member) bool { return m.Disk == 0 })
	for _, d := range all {
		if d.Name == c.settings.Self.Name || d.Disk == 0 || slices.Contains(namesOf(members), d.Name) {
			continue
		}
		switch {
		case c.settings.BootstrapSize > 0 && c.state.RemovedMembers[d.Name] == 0 && ghost >= 0:
			c.requestedMembers[d.Name] = true
			c.proposeMembers(now, slices.Delete(slices.Clone(members), ghost, ghost+1), members[ghost].Name, "out",
				"its place was kept for who was not there at the founding")
			return true
		case c.requestedMembers[d.Name] || len(members) < c.settings.BootstrapSize && c.state.RemovedMembers[d.Name] == 0:
			if c.admit(now, members, d) {
				return true
			}
		}
	}
	return false
}

// admit has a daemon learn, and makes it a member once it has caught up.
func (c *Controller) admit(now time.Duration, members []wire.Member, d wire.Daemon) bool {
	m := wire.Member{Name: d.Name, Disk: d.Disk}
	c.node.AddLearner(m)
	list := append(slices.Clone(members), m)
	if !c.node.CaughtUp(now, m) || !c.hasResponsiveMajority(now, list) {
		return false
	}
	delete(c.requestedMembers, d.Name)
	c.proposeMembers(now, list, d.Name, "in", "caught up")
	return true
}

// sinceLastContact is how long a member has not been heard. What was not heard before this
// member led counts too, once it has led for long enough to hear everybody.
func (c *Controller) sinceLastContact(now time.Duration, name string) time.Duration {
	if name == c.settings.Self.Name || now-c.node.RoleSince() < tuning.NewLeaderGrace {
		return 0
	}
	h, ok := c.peerContacts[name]
	if !ok {
		return now - c.node.RoleSince()
	}
	return now - h.lastAt
}

// hasResponsiveMajority says that a list of members has a majority that answers now.
func (c *Controller) hasResponsiveMajority(now time.Duration, list []wire.Member) bool {
	n := 0
	for _, m := range list {
		if c.node.RecentlyActive(now, m) {
			n++
		}
	}
	return 2*n > len(list)
}

func (c *Controller) domainOf(name string) string {
	if name == c.settings.Self.Name {
		return c.settings.Self.Domain
	}
	if h, ok := c.peerContacts[name]; ok {
		return h.domain
	}
	return "? " + name
}

// resilience compares sets of members by what they outlive: any one domain, then as many
// machines as can be, with no more members than that takes; but two keep more than one.
func (c *Controller) resilience(names []string) (w [3]int) {
	per, most := map[string]int{}, 0
	for _, n := range names {
		d := c.domainOf(n)
		per[d]++
		most = max(most, per[d])
	}
	if 2*most < len(names) {
		w[0] = 1
	}
	w[1], w[2] = (min(len(names), tuning.VotersMax)-1)/2, -len(names)
	if len(names) == 2 {
		w[2] = 0
	}
	return w
}

func namesOf(members []wire.Member) (l []string) {
	for _, m := range members {
		l = append(l, m.Name)
	}
	return l
}

// without is a list of members less one.
func without(list []wire.Member, m wire.Member) []wire.Member {
	return slices.DeleteFunc(slices.Clone(list), func(o wire.Member) bool { return o == m })
}

// removeMember removes a member, if the list before and the one after both have a
// majority that answers.
func (c *Controller) removeMember(now time.Duration, members []wire.Member, m wire.Member, why string) bool {
	left := without(members, m)
	if !c.hasResponsiveMajority(now, members) || !c.hasResponsiveMajority(now, left) {
		return false
	}
	c.proposeMembers(now, left, m.Name, "out", why)
	return true
}

// lostReason says why a member that is lost goes.
func (c *Controller) lostReason(now time.Duration, m wire.Member) string {
	switch {
	case m.Disk == 0:
		return "nobody took its place"
	case c.isStopping(m.Name):
		return "it stops"
	}
	return fmt.Sprintf("silent for %v", c.sinceLastContact(now, m.Name).Truncate(time.Second/10))
}

func (c *Controller) isStopping(name string) bool {
	return name == c.settings.Self.Name && c.stopping || c.peerContacts[name].stopping
}
