// This file grows and repairs a control plane whose size is not set: each review takes at most one step towards the
// members that withstand most failures, and keeps learners ready for the next loss.

package controlplane

import (
	"cmp"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// learnerProgress is how a learner gets on with the log.
type learnerProgress struct {
	since      time.Duration // when it began to learn
	matchIndex uint64        // the last entry that it has, as last seen
	advancedAt time.Duration // when that last rose
}

// membershipReview is what the leader knows of the control plane's machines at one time.
type membershipReview struct {
	members     []wire.Member
	healthy     []wire.Member // has contact, and is not stopping
	unreachable []wire.Member // no contact for too long, or no machine at all
	stopping    []wire.Member // said that they stop
	standbys    []wire.Daemon // has contact, is no member, and can become one
	stalled     []wire.Daemon // the same, but its learning makes no progress
	removed     []wire.Daemon // is in an earlier membership, and has to learn that it is removed
}

// lost are the members to be replaced; those that can't respond come first.
func (r *membershipReview) lost() []wire.Member {
	return append(slices.Clone(r.unreachable), r.stopping...)
}

func (c *Controller) reviewMembers(now time.Duration, members []wire.Member, visible []wire.Daemon) *membershipReview {
	review := &membershipReview{members: members}
	for _, member := range members {
		switch {
		case member.Disk == 0 || c.sinceLastContact(now, member.Name) > c.memberReplaceAfter():
			review.unreachable = append(review.unreachable, member)
		case c.isStopping(member.Name):
			review.stopping = append(review.stopping, member)
		default:
			review.healthy = append(review.healthy, member)
		}
	}
	for _, daemon := range visible {
		if daemon.Disk != 0 && daemon.Name != c.settings.Self.Name && !slices.Contains(namesOf(members), daemon.Name) {
			c.reviewNonMember(now, review, daemon)
		}
	}
	c.trackStandbys(now, review.standbys)
	return review
}

func (c *Controller) reviewNonMember(now time.Duration, review *membershipReview, daemon wire.Daemon) {
	if daemon.Epoch > 0 && (!daemon.Ready || daemon.State == stoppingState) {
		review.removed = append(review.removed, daemon)
	}
	switch {
	case daemon.State == stoppingState || c.state.RemovedMembers[daemon.Name] != 0:
	case c.isStalled(now, daemon):
		review.stalled = append(review.stalled, daemon)
	default:
		review.standbys = append(review.standbys, daemon)
	}
}

// trackStandbys keeps since when each standby is there.
func (c *Controller) trackStandbys(now time.Duration, standbys []wire.Daemon) {
	since := map[string]time.Duration{}
	for _, standby := range standbys {
		first, isKnown := c.standbySince[standby.Name]
		if !isKnown {
			first = now
		}
		since[standby.Name] = first
	}
	c.standbySince = since
}

// isStalled says that a learner has made no progress for tuning.LearnerTimeout. It goes on learning, but nothing waits
// for it.
func (c *Controller) isStalled(now time.Duration, daemon wire.Daemon) bool {
	learner := memberOf(daemon)
	matchIndex, isLearner := c.node.Match(learner)
	if !isLearner {
		delete(c.learners, daemon.Name)
		return false
	}
	progress, isKnown := c.learners[daemon.Name]
	if !isKnown {
		progress.since = now
	}
	if !isKnown || progress.matchIndex != matchIndex || c.node.CaughtUp(now, learner) {
		c.learners[daemon.Name] = learnerProgress{since: progress.since, matchIndex: matchIndex, advancedAt: now}
		return false
	}
	return now-progress.advancedAt > tuning.LearnerTimeout
}

// reconcileMembers takes the next step, if there is one: a lost member without which the others need fewer for a
// majority is removed, a standby replaces a lost one, the membership grows, or it is spread over failure domains
// again.
func (c *Controller) reconcileMembers(now time.Duration, members []wire.Member, visible []wire.Daemon) {
	review := c.reviewMembers(now, members, visible)
	if c.shrinkQuorum(now, review) {
		return
	}
	lost, standby, replaces := c.bestReplacement(now, review)
	next, grows := c.nextMember(now, review)
	if !replaces && !grows {
		next, grows = c.rebalanceCandidate(review)
	}
	learners := c.readyLearners(review)
	if replaces {
		learners = append(learners, standby)
	}
	if grows {
		learners = append(learners, next)
	}
	c.retainLearners(learners, review.removed)
	switch {
	case replaces:
		c.replaceMember(now, review, lost, standby)
	case grows:
		c.admit(now, members, next)
	default:
		c.removeSurplus(now, review)
	}
}

// faultMargin is how many more members may be lost with a majority left, of so many of which some are lost.
func faultMargin(members, lost int) int {
	majority := members/2 + 1
	return members - lost - majority
}

// shrinkQuorum removes a lost member if a majority of the others is smaller, so that one more may be lost.
func (c *Controller) shrinkQuorum(now time.Duration, review *membershipReview) (proposed bool) {
	members, lost := len(review.members), review.lost()
	if faultMargin(members-1, len(lost)-1) <= faultMargin(members, len(lost)) {
		return false
	}
	for _, member := range lost {
		if member.Name != c.settings.Self.Name && c.removeMember(now, review.members, member, c.lossReason(now, member)) {
			return true
		}
	}
	return false
}

// replacement is a standby in the place of a lost member. Its fields count in their order.
type replacement struct {
	resilience resilience // of the membership with it, as if all others were back
	sameDomain bool       // the standby is of the lost member's failure domain
	caughtUp   bool       // the standby has the complete log
}

func (r replacement) compare(other replacement) int {
	return cmp.Or(r.resilience.compare(other.resilience), compareBool(r.sameDomain, other.sameDomain), compareBool(r.caughtUp, other.caughtUp))
}

// bestReplacement is the lost member and the standby whose exchange makes the best membership; of equal ones the
// first.
func (c *Controller) bestReplacement(now time.Duration, review *membershipReview) (lost wire.Member, standby wire.Daemon, found bool) {
	var best replacement
	for _, member := range review.lost() {
		remaining := namesOf(withoutMember(review.members, member))
		for _, candidate := range review.standbys {
			option := replacement{
				resilience: c.resilienceOf(append(slices.Clone(remaining), candidate.Name)),
				sameDomain: c.domainOf(member.Name) == candidate.Domain,
				caughtUp:   c.caughtUp(now, candidate),
			}
			if !found || option.compare(best) > 0 {
				lost, standby, best, found = member, candidate, option, true
			}
		}
	}
	return lost, standby, found
}

// caughtUp says that a learner has the complete log.
func (c *Controller) caughtUp(now time.Duration, daemon wire.Daemon) bool {
	return c.node.CaughtUp(now, memberOf(daemon))
}

// replaceMember lets a standby that has caught up replace a lost member. A member that responds is removed after the
// standby is in, so that no step leaves fewer replicas. One that does not is removed before, so that no step needs a
// response of the standby's for a majority.
func (c *Controller) replaceMember(now time.Duration, review *membershipReview, lost wire.Member, standby wire.Daemon) {
	if !c.caughtUp(now, standby) {
		return
	}
	removesFirst := len(review.members) > 2 && !c.node.RecentlyActive(now, lost)
	if !removesFirst {
		c.admit(now, review.members, standby)
		return
	}
	if c.removeMember(now, review.members, lost, c.lossReason(now, lost)) {
		c.standbySince[standby.Name] = now - tuning.GrowAfter // it need not wait to take the free slot
	}
}

// nextMember is the standby that should become a member next, beside the healthy members: the first one of those that
// together make the best membership. One that is good enough already grows only by standbys that have been there for
// tuning.GrowAfter: while machines are replaced as planned, old and new ones are all there for some seconds.
func (c *Controller) nextMember(now time.Duration, review *membershipReview) (next wire.Daemon, found bool) {
	names, candidates := namesOf(review.healthy), slices.Clone(review.standbys)
	best := c.resilienceOf(names)
	if best.survivesDomainLoss && best.machineLosses >= c.toleratedLosses() {
		candidates = slices.DeleteFunc(candidates, func(d wire.Daemon) bool { return now-c.standbySince[d.Name] < tuning.GrowAfter })
	}
	var first wire.Daemon
	for len(names) < tuning.VotersMax && len(candidates) > 0 {
		candidate := c.spreadingStandby(now, names, candidates)
		candidates = withoutDaemon(candidates, candidate.Name)
		names = append(names, candidate.Name)
		if first.Name == "" {
			first = candidate
		}
		if enlarged := c.resilienceOf(names); enlarged.compare(best) > 0 {
			best, next, found = enlarged, first, true
		}
	}
	return next, found
}

// spreadingStandby is the standby of the failure domain that has the fewest of some members; of equal ones one that has
// caught up, and else the first by name.
func (c *Controller) spreadingStandby(now time.Duration, members []string, standbys []wire.Daemon) wire.Daemon {
	perDomain := map[string]int{}
	for _, name := range members {
		perDomain[c.domainOf(name)]++
	}
	return slices.MinFunc(standbys, func(a, b wire.Daemon) int {
		return cmp.Or(
			cmp.Compare(perDomain[a.Domain], perDomain[b.Domain]),
			compareBool(c.caughtUp(now, b), c.caughtUp(now, a)),
			cmp.Compare(a.Name, b.Name))
	})
}

// rebalanceCandidate is the standby that would make the membership better in the place of a member, while all members
// are healthy.
func (c *Controller) rebalanceCandidate(review *membershipReview) (next wire.Daemon, found bool) {
	if len(review.healthy) < len(review.members) {
		return next, false
	}
	best := c.resilienceOf(namesOf(review.members))
	for _, standby := range review.standbys {
		for _, member := range review.members {
			exchanged := c.resilienceOf(append(namesOf(withoutMember(review.members, member)), standby.Name))
			if member.Name != c.settings.Self.Name && exchanged.compare(best) > 0 {
				next, best, found = standby, exchanged, true
			}
		}
	}
	return next, found
}

// removeSurplus removes a member without which the membership is better, if all are healthy; else a lost one for which
// there is no standby, if it is of no use.
func (c *Controller) removeSurplus(now time.Duration, review *membershipReview) {
	if len(review.healthy) == len(review.members) {
		if member, ok := c.surplusMember(review.members); ok {
			c.removeMember(now, review.members, member, "the others withstand as much without it")
		}
		return
	}
	for _, member := range review.unreachable {
		if c.isExpendable(now, review, member) && c.removeMember(now, review.members, member, c.lossReason(now, member)) {
			return
		}
	}
}

// isExpendable says that the healthy members withstand as much without an unreachable one if it came back; or that it
// has been away for tuning.MemberExpiry, and that without all such members fewer make a majority.
func (c *Controller) isExpendable(now time.Duration, review *membershipReview, member wire.Member) bool {
	healthy := namesOf(review.healthy)
	without, with := c.resilienceOf(healthy), c.resilienceOf(append(slices.Clone(healthy), member.Name))
	if with.compare(without) <= 0 {
		return true
	}
	hasExpired := func(m wire.Member) bool { return c.sinceLastContact(now, m.Name) > tuning.MemberExpiry }
	if !hasExpired(member) {
		return false
	}
	expired := 0
	for _, lost := range review.lost() {
		if hasExpired(lost) {
			expired++
		}
	}
	return (len(review.members)-expired)/2 < len(review.members)/2
}

// surplusMember is the member without which the membership is best, if that is better than with it.
func (c *Controller) surplusMember(members []wire.Member) (surplus wire.Member, found bool) {
	best := c.resilienceOf(namesOf(members))
	for _, member := range members {
		remaining := c.resilienceOf(namesOf(withoutMember(members, member)))
		if member.Name != c.settings.Self.Name && remaining.compare(best) > 0 {
			surplus, best, found = member, remaining, true
		}
	}
	return surplus, found
}

// readyLearners are the standbys that are kept up to date before any member is lost: as many as may be lost at once,
// spread over failure domains.
func (c *Controller) readyLearners(review *membershipReview) []wire.Daemon {
	var ready []wire.Daemon
	candidates := append(slices.Clone(review.standbys), review.stalled...)
	perDomain := map[string]int{}
	for len(ready) < c.toleratedLosses() && len(candidates) > 0 {
		learner := slices.MinFunc(candidates, func(a, b wire.Daemon) int {
			return cmp.Or(cmp.Compare(perDomain[a.Domain], perDomain[b.Domain]), cmp.Compare(a.Name, b.Name))
		})
		candidates = withoutDaemon(candidates, learner.Name)
		perDomain[learner.Domain]++
		ready = append(ready, learner)
	}
	return ready
}

// retainLearners has some daemons learn, and the removed ones until they know that they are removed. All others stop
// learning, but for those that an operator asked for.
func (c *Controller) retainLearners(learners, removed []wire.Daemon) {
	retained := map[string]bool{}
	for _, daemon := range append(learners, removed...) {
		retained[daemon.Name] = true
		c.node.AddLearner(memberOf(daemon))
	}
	c.node.RetainLearners(func(m wire.Member) bool { return retained[m.Name] || c.requestedMembers[m.Name] })
}

// withoutDaemon removes a daemon from a list in place.
func withoutDaemon(daemons []wire.Daemon, name string) []wire.Daemon {
	return slices.DeleteFunc(daemons, func(d wire.Daemon) bool { return d.Name == name })
}
