// This file lets a member that lost its lease briefly, and leads again with no other leader in between, keep the targets,
// ejections and drains that it had. Learning them again would delay it so much that it could lose the next lease too.

package controlplane

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// lostLeadership is the leadership that this member lost last and may resume. The zero value means none.
type lostLeadership struct {
	epoch, term uint64
	lostAt      time.Duration
}

// recordLostLeadership records the leadership that is being lost, for the later decision whether to resume it.
func (c *Controller) recordLostLeadership(now time.Duration) {
	c.lostLeadership = lostLeadership{c.table.Key.Epoch, c.leadershipTerm, now}
	c.leadershipLosses = append(c.leadershipLosses, now)
}

// transferUnstableLeadership transfers leadership of the log to another member after the lease was lost
// tuning.LeaseLossesMax times within tuning.LeaseLossWindow. A machine that can't keep the lease is slow or overloaded,
// and proxies get no leases while it doesn't hold one. It does so at most once per tuning.LeadershipTransferEvery, so
// that members that are all slow don't keep passing leadership on.
func (c *Controller) transferUnstableLeadership(now time.Duration) {
	c.leadershipLosses = slices.DeleteFunc(c.leadershipLosses, func(at time.Duration) bool { return now-at >= tuning.LeaseLossWindow })
	if len(c.leadershipLosses) < tuning.LeaseLossesMax || c.leadership != NotLeading || c.stopping {
		return
	}
	if c.node == nil || c.node.Role() != consensus.Leader {
		return
	}
	if c.leadershipTransferredAt > 0 && now-c.leadershipTransferredAt < tuning.LeadershipTransferEvery {
		return
	}
	// A slow leader processes messages late, so a member whose last acknowledgement is older than a lease may be healthy.
	maxAckAge := tuning.LeaderLease + tuning.ElectionTimeoutMin
	if c.node.TransferLeadershipTo(now, maxAckAge, func(m wire.Member) bool { return !c.isStopping(m.Name) }) {
		c.leadershipTransferredAt = now
		reason := fmt.Sprintf("the lease was lost %d times within %v", len(c.leadershipLosses), tuning.LeaseLossWindow)
		c.emit(statemachine.StateChange{Subject: statemachine.SubjectTransfer, From: c.settings.Self.Name, Reason: reason})
	}
}

// canResumeLeadership reports whether the state that this member had in memory when it lost its leadership is still
// valid: the loss was less than tuning.LeadershipResumeWindow ago, and no other member has led since. Another leader
// would have had to commit the entry that begins its term, and this member's log would have that entry between its own
// two terms.
func (c *Controller) canResumeLeadership(now time.Duration) bool {
	lost := c.lostLeadership
	return lost.term != 0 && lost.epoch == c.node.Epoch() && now-lost.lostAt < tuning.LeadershipResumeWindow && c.node.NoOtherLeaderSince(lost.term)
}

// canResumeAtOnce reports whether this member can lead again without gathering tables: no other member led in between,
// and it leads again either in the same term or within tuning.ResumeAtOnce. That time is shorter than the lease that a
// proxy got with its last pull, so a proxy that pulled just before the loss has since made no decisions of its own that
// this member would have to learn.
func (c *Controller) canResumeAtOnce(now time.Duration) bool {
	if !c.canResumeLeadership(now) || c.table == nil {
		return false
	}
	return c.lostLeadership.term == c.node.Term() || now-c.lostLeadership.lostAt < tuning.ResumeAtOnce
}

// resumeLeadershipAtOnce continues the lost leadership. It does as little as possible, since work that delays the leader
// may cost it the next lease as well.
func (c *Controller) resumeLeadershipAtOnce(now time.Duration) {
	c.activateConfig()
	c.resumeTargets(now)
	if c.lostLeadership.term == c.node.Term() {
		c.establishLeadership(now, "a majority answers again in the same term", false)
		return
	}
	c.beginTerm()
	for _, proxy := range c.proxies {
		if now-proxy.leaseGrantedAt > tuning.ProxyLease {
			proxy.tableMerged = false // it may have served on peer leases and made decisions of its own
		}
	}
	c.announceLeadership(now)
	c.establishLeadership(now, "elected again, and no other member led in between", true)
}

// restoreLeadershipState begins a leadership with the state that this member had in memory in its last one. The member
// still gathers the proxies' tables, for decisions that proxies made by themselves in between.
func (c *Controller) restoreLeadershipState(now time.Duration) {
	c.latestMergedKey = c.table.Key // no proxy has a later one, since no other member led
	c.activateConfig()
	c.resumeTargets(now)
}

// beginTerm records the current term as one of this leadership. A leadership that is resumed in a later term continues
// its table versions, so that deltas can be based on tables of its earlier terms, which proxies have.
func (c *Controller) beginTerm() {
	c.lostLeadership.epoch, c.lostLeadership.term = c.node.Epoch(), c.node.Term()
	c.leadershipTerms = append(c.leadershipTerms, c.node.Term())
	c.counts.Elections++
}

// resumeTargets adjusts the targets' times for the period in which this member did not lead. Heartbeats missed in it
// are no sign of a fault. All targets become due for a probe, unless the leadership was lost for less than
// tuning.ProbeEvery and their last probes may still be running: repeated losses of leadership must not cause more
// probes.
func (c *Controller) resumeTargets(now time.Duration) {
	restartProbes := now-c.lostLeadership.lostAt >= tuning.ProbeEvery
	for _, t := range c.targets {
		t.assumeContact(now - tuning.TargetHeartbeatTimeout/2)
		if restartProbes {
			t.lastProbeAt, t.probeSentAt = now-tuning.ProbeEvery, 0
		}
	}
	for _, t := range c.claims {
		t.assumeContact(now - tuning.TargetHeartbeatTimeout/2)
	}
}
