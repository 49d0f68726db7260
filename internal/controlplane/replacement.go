// This file grows and repairs a control plane without a fixed size. Each review makes at most one change towards the
// membership that tolerates the most failures, and keeps learners ready to replace the next lost members.

package controlplane

import (
	"cmp"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// learnerProgress is a learner's replication progress.
type learnerProgress struct {
	since      time.Duration // when it became a learner
	matchIndex uint64        // index of the last entry that it was known to have at the latest review
	advancedAt time.Duration // when matchIndex last changed, or the learner was last seen caught up
}

// membershipReview classifies the members and the other visible control daemons at one time, as the leader sees them.
type membershipReview struct {
	members     []wire.Member
	healthy     []wire.Member // in contact, and not stopping
	unreachable []wire.Member // without contact for too long, or placeholders without a machine
	stopping    []wire.Member // in contact, and have announced that they are stopping
	standbys    []wire.Daemon // visible daemons that can become members
	stalled     []wire.Daemon // like standbys, but learners that make no progress
	removed     []wire.Daemon // former members that have to learn of their removal
}

// lost returns the members to be replaced, unreachable ones first.
func (r *membershipReview) lost() []wire.Member {
	return append(slices.Clone(r.unreachable), r.stopping...)
}

// reviewMembers classifies the members and the visible daemons that are not members.
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

// trackStandbys records since when each standby has been available, and drops those that are no longer available.
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

// isStalled reports whether a learner has made no progress for tuning.LearnerTimeout. It may remain a learner, but is not
// considered for a place in the membership.
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

// reconcileMembers makes the first of these changes that applies: it removes a lost member if that makes the majority
// smaller, replaces a lost member by a standby, adds a member, rebalances the membership over failure domains, or removes
// a member that adds nothing.
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

// faultMargin returns how many more of the members may be lost with a majority remaining, if lost of them already are. It
// is negative if there is no majority.
func faultMargin(members, lost int) int {
	majority := members/2 + 1
	return members - lost - majority
}

// shrinkQuorum removes a lost member if the remaining members then need a smaller majority, so that one more of them
// may be lost.
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

// replacement rates the exchange of a lost member for a standby. The fields are compared in their order.
type replacement struct {
	resilience resilience // of the resulting membership, if all its members are healthy
	sameDomain bool       // the standby is in the lost member's failure domain
	caughtUp   bool       // the standby has caught up with the log
}

// compare returns a positive number if r is better than other, and a negative one if it is worse.
func (r replacement) compare(other replacement) int {
	return cmp.Or(r.resilience.compare(other.resilience), compareBool(r.sameDomain, other.sameDomain), compareBool(r.caughtUp, other.caughtUp))
}

// bestReplacement returns the lost member and the standby whose exchange is the best replacement, the first of equally
// good ones.
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

// caughtUp reports whether a daemon responds as a learner and has caught up with the log.
func (c *Controller) caughtUp(now time.Duration, daemon wire.Daemon) bool {
	return c.node.CaughtUp(now, memberOf(daemon))
}

// replaceMember replaces a lost member by a standby once the standby has caught up. If the member still responds, the
// standby is added first, so that the number of replicas never drops. If it does not respond and there are more than two
// members, it is removed first, so that no majority depends on the standby.
func (c *Controller) replaceMember(now time.Duration, review *membershipReview, lost wire.Member, standby wire.Daemon) {
	if !c.caughtUp(now, standby) {
		return
	}
	removeFirst := len(review.members) > 2 && !c.node.RecentlyActive(now, lost)
	if !removeFirst {
		c.admit(now, review.members, standby)
		return
	}
	if c.removeMember(now, review.members, lost, c.lossReason(now, lost)) {
		c.standbySince[standby.Name] = now - tuning.GrowAfter // lets it fill the vacancy without a further wait
	}
}

// nextMember returns the standby that should be added next to the healthy members: the first of the standbys that
// together with them make the best membership. A membership that already tolerates enough failures only grows by
// standbys that have been available for tuning.GrowAfter, since during a planned replacement the old and new machines
// run side by side for some seconds.
func (c *Controller) nextMember(now time.Duration, review *membershipReview) (next wire.Daemon, found bool) {
	names, candidates := namesOf(review.healthy), slices.Clone(review.standbys)
	best := c.resilienceOf(names)
	if best.survivesDomainLoss && best.machineLosses >= c.toleratedLosses() {
		candidates = slices.DeleteFunc(candidates, func(d wire.Daemon) bool { return now-c.standbySince[d.Name] < tuning.GrowAfter })
	}
	var first wire.Daemon
	for len(names) < tuning.VotersMax && len(candidates) > 0 {
		candidate := c.standbyForSmallestDomain(now, names, candidates)
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

// standbyForSmallestDomain returns the standby whose failure domain has the fewest of the given members. Among equals it
// prefers one that has caught up, then the first by name.
func (c *Controller) standbyForSmallestDomain(now time.Duration, members []string, standbys []wire.Daemon) wire.Daemon {
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

// rebalanceCandidate returns the standby whose exchange for a member would improve the membership most. It finds one only
// while all members are healthy.
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

// removeSurplus removes a member that makes the membership worse, if all members are healthy, and otherwise an
// unreachable member that is expendable.
func (c *Controller) removeSurplus(now time.Duration, review *membershipReview) {
	if len(review.healthy) == len(review.members) {
		if member, ok := c.surplusMember(review.members); ok {
			c.removeMember(now, review.members, member, "the other members tolerate as many failures without it")
		}
		return
	}
	for _, member := range review.unreachable {
		if c.isExpendable(now, review, member) && c.removeMember(now, review.members, member, c.lossReason(now, member)) {
			return
		}
	}
}

// isExpendable reports whether an unreachable member can be removed without a replacement: its return would not improve
// the healthy members' resilience, or it has been without contact for tuning.MemberExpiry and removing all such members
// makes the majority smaller.
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

// surplusMember returns the member whose removal improves the membership most, if there is one.
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

// readyLearners returns the standbys that are kept up to date as learners before any member is lost: as many as members
// may be lost at once, spread over failure domains.
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

// retainLearners replicates the log to the given learners, and to removed members until they know of their removal. It
// ends replication to all other learners, except those that an operator requested as members.
func (c *Controller) retainLearners(learners, removed []wire.Daemon) {
	retained := map[string]bool{}
	for _, daemon := range append(learners, removed...) {
		retained[daemon.Name] = true
		c.node.AddLearner(memberOf(daemon))
	}
	c.node.RetainLearners(func(m wire.Member) bool { return retained[m.Name] || c.requestedMembers[m.Name] })
}

// withoutDaemon removes the named daemon from a list in place.
func withoutDaemon(daemons []wire.Daemon, name string) []wire.Daemon {
	return slices.DeleteFunc(daemons, func(d wire.Daemon) bool { return d.Name == name })
}
