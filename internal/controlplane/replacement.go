// This file grows and mends a core whose size nobody has given: each look takes at
// most one step towards the members that outlive most, and keeps learners ready.

package controlplane

import (
	"cmp"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// coreView is what the leader knows of the core's machines at one look.
type coreView struct {
	members     []wire.Member
	healthy     []wire.Member // heard, and not stopping
	unreachable []wire.Member // not heard for too long, or places without a disk
	stopping    []wire.Member // they said that they stop
	standbys    []wire.Daemon // heard, no members, and able to become members
	stalled     []wire.Daemon // the same, but they learn and do not come on
	removed     []wire.Daemon // they stand in an earlier list, and are to learn that they are out
}

// lost are the members to be replaced; those that can't answer come first.
func (v *coreView) lost() []wire.Member { return append(slices.Clone(v.unreachable), v.stopping...) }

func (c *Controller) newCoreView(now time.Duration, members []wire.Member, all []wire.Daemon) *coreView {
	v := &coreView{members: members}
	for _, m := range members {
		switch {
		case m.Disk == 0 || c.sinceLastContact(now, m.Name) > c.memberReplaceAfter():
			v.unreachable = append(v.unreachable, m)
		case c.isStopping(m.Name):
			v.stopping = append(v.stopping, m)
		default:
			v.healthy = append(v.healthy, m)
		}
	}
	for _, d := range all {
		if d.Disk == 0 || d.Name == c.settings.Self.Name || slices.Contains(namesOf(members), d.Name) {
			continue
		}
		if d.Epoch > 0 && (!d.Ready || d.State == stoppingState) {
			v.removed = append(v.removed, d)
		}
		switch {
		case d.State == stoppingState || c.state.RemovedMembers[d.Name] != 0:
		case c.isStalled(now, d):
			v.stalled = append(v.stalled, d)
		default:
			v.standbys = append(v.standbys, d)
		}
	}
	c.trackStandbys(now, v.standbys)
	return v
}

// trackStandbys keeps since when each standby is there.
func (c *Controller) trackStandbys(now time.Duration, standbys []wire.Daemon) {
	since := map[string]time.Duration{}
	for _, d := range standbys {
		at, known := c.standbySince[d.Name]
		if !known {
			at = now
		}
		since[d.Name] = at
	}
	c.standbySince = since
}

// isStalled says that a learner has not come on for too long. It goes on learning, but
// nothing waits for it.
func (c *Controller) isStalled(now time.Duration, d wire.Daemon) bool {
	m := wire.Member{Name: d.Name, Disk: d.Disk}
	match, learns := c.node.Match(m)
	if !learns {
		delete(c.learners, d.Name)
		return false
	}
	l, known := c.learners[d.Name]
	if !known {
		l.since = now
	}
	if !known || l.matchIndex != match || c.node.CaughtUp(now, m) {
		c.learners[d.Name] = learnerProgress{l.since, match, now}
		return false
	}
	return now-l.advancedAt > tuning.LearnerTimeout
}

// reconcileMembers takes the next step, if there is one: a lost member that the others
// are better off without goes, a standby comes for a lost one, the core grows, or it is
// spread over domains again.
func (c *Controller) reconcileMembers(now time.Duration, members []wire.Member, all []wire.Daemon) {
	v := c.newCoreView(now, members, all)
	if c.shrinkQuorum(now, v) {
		return
	}
	old, standby, replaces := c.bestReplacement(now, v)
	next, grows := c.nextMember(now, v)
	if !replaces && !grows {
		next, grows = c.rebalanceCandidate(now, v)
	}
	learners := c.readyLearners(v)
	if replaces {
		learners = append(learners, standby)
	}
	if grows {
		learners = append(learners, next)
	}
	c.retainLearners(learners, v.removed)
	switch {
	case replaces:
		c.replaceMember(now, v, old, standby)
	case grows:
		c.admit(now, members, next)
	default:
		c.removeSurplus(now, v)
	}
}

// slack is how many more of the members that are not lost may go before no majority is
// left, if a list has so many lost ones.
func faultMargin(members, lost int) int { return members - lost - (members/2 + 1) }

// shrinkQuorum removes a lost member if fewer then make a majority.
func (c *Controller) shrinkQuorum(now time.Duration, v *coreView) bool {
	n, lost := len(v.members), v.lost()
	for _, m := range lost {
		if m.Name != c.settings.Self.Name && faultMargin(n-1, len(lost)-1) > faultMargin(n, len(lost)) &&
			c.removeMember(now, v.members, m, c.lostReason(now, m)) {
			return true
		}
	}
	return false
}

// bestReplacement is the lost member and the standby that make the best core together, as
// if everybody were back; among equals the standby of the lost one's domain.
func (c *Controller) bestReplacement(now time.Duration, v *coreView) (old wire.Member, standby wire.Daemon, ok bool) {
	var best []int
	for _, m := range v.lost() {
		left := namesOf(without(v.members, m))
		for _, d := range v.standbys {
			w := c.resilience(append(slices.Clone(left), d.Name))
			score := append(w[:], boolInt(c.domainOf(m.Name) == d.Domain), boolInt(c.caughtUp(now, d)))
			if slices.Compare(score, best) > 0 {
				old, standby, best, ok = m, d, score, true
			}
		}
	}
	return old, standby, ok
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (c *Controller) caughtUp(now time.Duration, d wire.Daemon) bool {
	return c.node.CaughtUp(now, wire.Member{Name: d.Name, Disk: d.Disk})
}

// replaceMember lets a standby that has caught up take a lost member's place. One that
// answers is removed after the standby is in, so that no step leaves fewer copies; one
// that is silent is removed before, so that no step needs the newcomer's answer.
func (c *Controller) replaceMember(now time.Duration, v *coreView, old wire.Member, standby wire.Daemon) {
	switch {
	case !c.caughtUp(now, standby):
	case len(v.members) > 2 && !c.node.RecentlyActive(now, old):
		if c.removeMember(now, v.members, old, c.lostReason(now, old)) {
			c.standbySince[standby.Name] = now - tuning.GrowAfter // the place that is free now is its own
		}
	default:
		c.admit(now, v.members, standby)
	}
}

// losses is how many core machines may be lost at once.
func (c *Controller) toleratedLosses() int { return max(c.settings.MachineLosses, 1) }

// nextMember is who should become a member next, beside those who stay: the first of
// those who make the best core, one from the domain with the fewest at each step. A
// core that outlives enough already grows only by standbys that have been there for a
// while: the machines of a planned replacement are all there for some seconds.
func (c *Controller) nextMember(now time.Duration, v *coreView) (next wire.Daemon, ok bool) {
	list, free := namesOf(v.healthy), slices.Clone(v.standbys)
	best, first := c.resilience(list), wire.Daemon{}
	if best[0] == 1 && best[1] >= c.toleratedLosses() {
		free = slices.DeleteFunc(free, func(d wire.Daemon) bool { return now-c.standbySince[d.Name] < tuning.GrowAfter })
	}
	for len(list) < tuning.VotersMax && len(free) > 0 {
		per := map[string]int{}
		for _, n := range list {
			per[c.domainOf(n)]++
		}
		d := slices.MinFunc(free, func(a, b wire.Daemon) int {
			return cmp.Or(cmp.Compare(per[a.Domain], per[b.Domain]), cmp.Compare(boolInt(c.caughtUp(now, b)), boolInt(c.caughtUp(now, a))), cmp.Compare(a.Name, b.Name))
		})
		free = slices.DeleteFunc(free, func(o wire.Daemon) bool { return o.Name == d.Name })
		list = append(list, d.Name)
		if first.Name == "" {
			first = d
		}
		if w := c.resilience(list); slices.Compare(best[:], w[:]) < 0 {
			best, next, ok = w, first, true
		}
	}
	return next, ok
}

// rebalanceCandidate is a standby that makes the core outlive more in the place of a healthy
// member.
func (c *Controller) rebalanceCandidate(_ time.Duration, v *coreView) (next wire.Daemon, ok bool) {
	if len(v.healthy) < len(v.members) {
		return next, false
	}
	best := c.resilience(namesOf(v.members))
	for _, d := range v.standbys {
		for _, m := range v.members {
			w := c.resilience(append(namesOf(without(v.members, m)), d.Name))
			if m.Name != c.settings.Self.Name && slices.Compare(w[:], best[:]) > 0 {
				next, best, ok = d, w, true
			}
		}
	}
	return next, ok
}

// shrink removes the member without whom the core outlives more, if there is one; and,
// without a standby for it, a lost one whose return would add nothing, or that has been
// silent for so long that it is not waited for any more.
func (c *Controller) removeSurplus(now time.Duration, v *coreView) {
	if len(v.healthy) == len(v.members) {
		if m, ok := c.surplusMember(v.members); ok {
			c.removeMember(now, v.members, m, "the others outlive as much without it")
		}
		return
	}
	late := 0
	for _, m := range v.lost() {
		if c.sinceLastContact(now, m.Name) > tuning.MemberExpiry {
			late++
		}
	}
	for _, m := range v.unreachable {
		with, left := c.resilience(append(namesOf(v.healthy), m.Name)), c.resilience(namesOf(v.healthy))
		spent := slices.Compare(with[:], left[:]) <= 0
		fewer := c.sinceLastContact(now, m.Name) > tuning.MemberExpiry && (len(v.members)-late)/2 < len(v.members)/2
		if (spent || fewer) && c.removeMember(now, v.members, m, c.lostReason(now, m)) {
			return
		}
	}
}

// surplusMember is the member without whom the list outlives most, if that is more than
// with it.
func (c *Controller) surplusMember(members []wire.Member) (surplus wire.Member, ok bool) {
	best := c.resilience(namesOf(members))
	for _, m := range members {
		w := c.resilience(namesOf(without(members, m)))
		if m.Name != c.settings.Self.Name && slices.Compare(w[:], best[:]) > 0 {
			surplus, best, ok = m, w, true
		}
	}
	return surplus, ok
}

// readyLearners are the standbys that are kept up to date before anybody is lost: as
// many as may be lost at once, spread over domains.
func (c *Controller) readyLearners(v *coreView) (ready []wire.Daemon) {
	free := append(slices.Clone(v.standbys), v.stalled...)
	per := map[string]int{}
	for len(ready) < c.toleratedLosses() && len(free) > 0 {
		d := slices.MinFunc(free, func(a, b wire.Daemon) int {
			return cmp.Or(cmp.Compare(per[a.Domain], per[b.Domain]), cmp.Compare(a.Name, b.Name))
		})
		free = slices.DeleteFunc(free, func(o wire.Daemon) bool { return o.Name == d.Name })
		per[d.Domain]++
		ready = append(ready, d)
	}
	return ready
}

// retainLearners has these learn, and those that were removed until they know it.
func (c *Controller) retainLearners(learners, removed []wire.Daemon) {
	keep := map[string]bool{}
	for _, d := range append(learners, removed...) {
		keep[d.Name] = true
		c.node.AddLearner(wire.Member{Name: d.Name, Disk: d.Disk})
	}
	c.node.RetainLearners(func(m wire.Member) bool { return keep[m.Name] || c.requestedMembers[m.Name] })
}
