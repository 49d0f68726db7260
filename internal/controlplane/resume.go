// This file has a leader that was late keep what it knows: one that loses its lease for a moment
// and leads again, with nobody in between, goes on from the targets, ejections and holds that it
// had, where learning all of them anew would make it late again.

package controlplane

import (
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// lostLeadership is what tells whether a lead that was lost can be gone on with.
type lostLeadership struct {
	epoch, term uint64        // of the lead, 0 if there is none to go on with
	lostAt      time.Duration // when this member last stopped deciding
}

// recordLostLeadership notes a lead that is lost.
func (c *Controller) recordLostLeadership(now time.Duration, was Leadership) {
	if was == Leading {
		c.lostLeadership = lostLeadership{c.table.Key.Epoch, c.leadershipTerm, now}
		c.leadershipLosses = append(c.leadershipLosses, now)
	}
}

// transferUnstableLeadership gives leadership to another member after the lead was lost several times in a short while:
// a machine that can't keep it is slow or carries too much, and while it tries proxies get no leases. At most once
// in a while, so that members which are all late don't pass it around.
func (c *Controller) transferUnstableLeadership(now time.Duration) {
	recent := func(at time.Duration) bool { return now-at < tuning.LeaseLossWindow }
	c.leadershipLosses = slices.DeleteFunc(c.leadershipLosses, func(at time.Duration) bool { return !recent(at) })
	if c.leadership != NotLeading || c.stopping || len(c.leadershipLosses) < tuning.LeaseLossesMax || c.node == nil || c.node.Role() != consensus.Leader ||
		c.leadershipTransferredAt > 0 && now-c.leadershipTransferredAt < tuning.LeadershipTransferEvery {
		return
	}
	// A late leader hears late, so that one which answered a while ago may well be there.
	if c.node.TransferLeadershipTo(now, tuning.LeaderLease+tuning.ElectionTimeoutMin, func(m wire.Member) bool { return !c.isStopping(m.Name) }) {
		c.leadershipTransferredAt = now
		c.emit(statemachine.StateChange{Subject: statemachine.SubjectTransfer, From: c.settings.Self.Name, To: "", Reason: "the lease was lost again and again"})
	}
}

// canResumeLeadership says that what was known when the lead was lost still holds: it is not long ago, and
// nobody else has decided since. Another leader would have had to agree on the entry that begins
// its term, which then stood in the log between this member's last lead and this one.
func (c *Controller) canResumeLeadership(now time.Duration) bool {
	return c.lostLeadership.term != 0 && c.lostLeadership.epoch == c.node.Epoch() && now-c.lostLeadership.lostAt < tuning.LeadershipResumeWindow &&
		c.node.NoOtherLeaderSince(c.lostLeadership.term)
}

// canResumeAtOnce says that this member goes on deciding where it stopped: nobody else led, and no proxy's
// lease has lapsed for want of a leader, so none has anything to tell that this member does not know.
func (c *Controller) canResumeAtOnce(now time.Duration) bool {
	return c.canResumeLeadership(now) && c.table != nil && (c.lostLeadership.term == c.node.Term() || now-c.lostLeadership.lostAt < tuning.ResumeAtOnce)
}

// resumeLeadershipAtOnce goes on with a lead that was lost for a moment, in the same term or in a later one. It costs
// as little as can be, since what costs the leader much costs it the next lease as well.
func (c *Controller) resumeLeadershipAtOnce(now time.Duration) {
	c.applyPolicies()
	c.resumeTargets(now)
	if c.lostLeadership.term == c.node.Term() {
		c.establishLeadership(now, "a majority answers again in the same term", false)
		return
	}
	c.beginTerm()
	for _, g := range c.proxies {
		if now-g.leaseGrantedAt > tuning.ProxyLease {
			g.tableMerged = false // it may have served on its peers
		}
	}
	c.announceLeadership(now)
	c.establishLeadership(now, "elected again, and nobody led in between", true)
}

// restoreLeadershipState begins a lead with what this member knew in its last one, and has the proxies tell what
// they decided for themselves meanwhile.
func (c *Controller) restoreLeadershipState(now time.Duration) {
	c.latestMergedKey = c.table.Key // none is later: who made one would have led
	c.applyPolicies()
	c.resumeTargets(now)
}

// beginTerm notes the term of a lead. One that goes on in a later term keeps numbering its tables, and
// tells them as changes to those of its earlier terms, which proxies hold.
func (c *Controller) beginTerm() {
	c.lostLeadership.epoch, c.lostLeadership.term = c.node.Epoch(), c.node.Term()
	c.leadershipTerms = append(c.leadershipTerms, c.node.Term())
	c.counts.Elections++
}

// resumeTargets goes on with the targets that are known. Words that were missed meanwhile are no sign of
// silence. Each is probed anew, at the usual pace, unless the lead was lost for so short a time that
// its probe may still be out: a lead that is lost again and again must not probe the more for it.
func (c *Controller) resumeTargets(now time.Duration) {
	probeAnew := now-c.lostLeadership.lostAt >= tuning.ProbeEvery
	for _, t := range c.targets {
		t.assumeAliveAt(now - tuning.TargetHeartbeatTimeout/2)
		if probeAnew {
			t.lastProbeAt, t.probeSentAt = now-tuning.ProbeEvery, 0
		}
	}
	for _, t := range c.claims {
		t.assumeAliveAt(now - tuning.TargetHeartbeatTimeout/2)
	}
}

func (t *target) assumeAliveAt(at time.Duration) {
	t.lastHeartbeatAt, t.lastAliveAt = max(t.lastHeartbeatAt, at), max(t.lastAliveAt, at)
}

// establishLeadership begins to establishLeadership, or goes on to.
func (c *Controller) establishLeadership(now time.Duration, why string, refresh bool) {
	c.setLeadership(now, Leading, why)
	c.rebuildTable(now, refresh)
	c.waiters = slices.DeleteFunc(c.waiters, func(f *inForceWaiter) bool { return f.call == nil && f.member == "" }) // made again below
	if len(c.state.PreviousProxies) > 0 {
		c.waiters = append(c.waiters, &inForceWaiter{version: c.tableVersion, waitingSince: now, proxyChange: true})
	}
	for _, id := range c.targetIDs() {
		if c.targets[id].Pending {
			c.waiters = append(c.waiters, &inForceWaiter{version: c.tableVersion, waitingSince: now, pendingTarget: id})
		}
	}
}

// resetLeadershipState begins a lead with the targets that are agreed, and nothing else.
func (c *Controller) resetLeadershipState(now time.Duration) {
	c.abandonWaiters()
	c.targets, c.claims, c.detector, c.activeRevision = map[wire.TargetID]*target{}, map[wire.TargetID]*target{}, outlier.New(), 0
	c.scorer = outlier.NewScorer(c.detector)
	c.lastShareOffset, c.shareOffsetByName = map[string]uint32{}, map[[2]string]uint32{}
	c.tombstones, c.leavingTargets = map[wire.TargetID]time.Duration{}, map[wire.TargetID]time.Duration{}
	c.withdrawnInVersion = map[wire.TargetID]uint64{}
	c.table, c.sortedTargetIDs, c.latestMergedKey, c.proxyChangeIndex = nil, nil, wire.TableKey{}, 0
	c.leadershipTerms = nil
	c.deltas, c.removedTargets, c.proxiesChangedInVersion, c.oldestDeltaBase = nil, nil, c.tableVersion+1, c.tableVersion+1
	c.applyPolicies()
	c.loadRegistrations(now)
}
