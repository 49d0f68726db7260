// This file lets a member that lost its lease for a moment, and leads again with no other leader in between, go on with
// the targets, ejections and drains that it had. To learn them anew would make it late, and cost it the next lease too.

package controlplane

import (
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// lostLeadership is the leadership that this member had last and may resume. The zero value is none.
type lostLeadership struct {
	epoch, term uint64
	lostAt      time.Duration
}

// recordLostLeadership keeps by what it can be decided later whether to resume the leadership lost now.
func (c *Controller) recordLostLeadership(now time.Duration) {
	c.lostLeadership = lostLeadership{c.table.Key.Epoch, c.leadershipTerm, now}
	c.leadershipLosses = append(c.leadershipLosses, now)
}

// transferUnstableLeadership transfers leadership of the log to another member after the lease was lost several times
// in a short while: a machine that can't keep it is slow or overloaded, and meanwhile proxies get no leases. It does so
// at most once in LeadershipTransferEvery, so that members that are all slow don't pass leadership around.
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
	// A slow leader processes messages late, so a member whose last acknowledgement is older than a lease may be well.
	lastContact := tuning.LeaderLease + tuning.ElectionTimeoutMin
	if c.node.TransferLeadershipTo(now, lastContact, func(m wire.Member) bool { return !c.isStopping(m.Name) }) {
		c.leadershipTransferredAt = now
		reason := "the lease was lost several times in a short while"
		c.emit(statemachine.StateChange{Subject: statemachine.SubjectTransfer, From: c.settings.Self.Name, Reason: reason})
	}
}

// canResumeLeadership says that what this member had in memory when it lost its leadership still holds: that is not
// long ago, and no other member has led since. Another leader would have had to commit the entry that begins its term,
// which would then stand in this member's log between its two terms.
func (c *Controller) canResumeLeadership(now time.Duration) bool {
	lost := c.lostLeadership
	return lost.term != 0 && lost.epoch == c.node.Epoch() && now-lost.lostAt < tuning.LeadershipResumeWindow && c.node.NoOtherLeaderSince(lost.term)
}

// canResumeAtOnce says that this member can lead again without gathering tables: no other member led, and no proxy's
// lease ran out meanwhile, so no proxy has decided anything by itself that this member would have to learn.
func (c *Controller) canResumeAtOnce(now time.Duration) bool {
	if !c.canResumeLeadership(now) || c.table == nil {
		return false
	}
	return c.lostLeadership.term == c.node.Term() || now-c.lostLeadership.lostAt < tuning.ResumeAtOnce
}

// resumeLeadershipAtOnce goes on leading where the leadership was lost. It does as little as it can, since what takes
// the leader long costs it the next lease as well.
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
			proxy.tableMerged = false // it may have served on peer leases, and decided by itself
		}
	}
	c.announceLeadership(now)
	c.establishLeadership(now, "elected again, and no other member led in between", true)
}

// restoreLeadershipState begins a leadership with what this member had in memory in its last one. It still gathers the
// proxies' tables, for what they decided by themselves meanwhile.
func (c *Controller) restoreLeadershipState(now time.Duration) {
	c.latestMergedKey = c.table.Key // no proxy has a later one: whoever made it would have led
	c.activateConfig()
	c.resumeTargets(now)
}

// beginTerm notes the term of a leadership. One that is resumed in a later term goes on numbering its tables, so that
// deltas can be made from the tables of its earlier terms, which proxies have.
func (c *Controller) beginTerm() {
	c.lostLeadership.epoch, c.lostLeadership.term = c.node.Epoch(), c.node.Term()
	c.leadershipTerms = append(c.leadershipTerms, c.node.Term())
	c.counts.Elections++
}

// resumeTargets makes up for the time in which this member did not lead. Heartbeats that it missed then are no sign of
// a fault of the targets. Each target is probed anew at the usual pace, unless the leadership was lost for so short a time
// that its last probe may still be out: a leadership lost again and again must not cause more probes.
func (c *Controller) resumeTargets(now time.Duration) {
	probeAnew := now-c.lostLeadership.lostAt >= tuning.ProbeEvery
	for _, t := range c.targets {
		t.assumeContact(now - tuning.TargetHeartbeatTimeout/2)
		if probeAnew {
			t.lastProbeAt, t.probeSentAt = now-tuning.ProbeEvery, 0
		}
	}
	for _, t := range c.claims {
		t.assumeContact(now - tuning.TargetHeartbeatTimeout/2)
	}
}
