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

// keptLead is what tells whether a lead that was lost can be gone on with.
type keptLead struct {
	epoch, term uint64        // of the lead, 0 if there is none to go on with
	lostAt      time.Duration // when this member last stopped deciding
}

// keepLead notes a lead that is lost.
func (c *Controller) keepLead(now time.Duration, was Leadership) {
	if was == Leading {
		c.kept = keptLead{c.table.Key.Epoch, c.leadTerm, now}
		c.leadsLostAt = append(c.leadsLostAt, now)
	}
}

// handOverIfLate gives leadership to another member after the lead was lost several times in a short while:
// a machine that can't keep it is slow or carries too much, and while it tries proxies get no leases. At most once
// in a while, so that members which are all late don't pass it around.
func (c *Controller) handOverIfLate(now time.Duration) {
	recent := func(at time.Duration) bool { return now-at < tuning.LeaseLossWindow }
	c.leadsLostAt = slices.DeleteFunc(c.leadsLostAt, func(at time.Duration) bool { return !recent(at) })
	if c.lead != NotLeading || c.stopping || len(c.leadsLostAt) < tuning.LeaseLossesMax || c.node == nil || c.node.Role() != consensus.Leader ||
		c.handedOverAt > 0 && now-c.handedOverAt < tuning.LeadershipTransferEvery {
		return
	}
	// A late leader hears late, so that one which answered a while ago may well be there.
	if c.node.TransferLeadershipTo(now, tuning.LeaderLease+tuning.ElectionTimeoutMin, func(m wire.Member) bool { return !c.isStopping(m.Name) }) {
		c.handedOverAt = now
		c.emit(statemachine.StateChange{Subject: statemachine.SubjectTransfer, From: c.settings.Self.Name, To: "", Reason: "the lease was lost again and again"})
	}
}

// keepsLead says that what was known when the lead was lost still holds: it is not long ago, and
// nobody else has decided since. Another leader would have had to agree on the entry that begins
// its term, which then stood in the log between this member's last lead and this one.
func (c *Controller) keepsLead(now time.Duration) bool {
	return c.kept.term != 0 && c.kept.epoch == c.node.Epoch() && now-c.kept.lostAt < tuning.LeadershipResumeWindow &&
		c.node.NobodyLedSince(c.kept.term)
}

// resumesAtOnce says that this member goes on deciding where it stopped: nobody else led, and no proxy's
// lease has lapsed for want of a leader, so none has anything to tell that this member does not know.
func (c *Controller) resumesAtOnce(now time.Duration) bool {
	return c.keepsLead(now) && c.table != nil && (c.kept.term == c.node.Term() || now-c.kept.lostAt < tuning.ResumeAtOnce)
}

// resumeAtOnce goes on with a lead that was lost for a moment, in the same term or in a later one. It costs
// as little as can be, since what costs the leader much costs it the next lease as well.
func (c *Controller) resumeAtOnce(now time.Duration) {
	c.applyPolicies()
	c.recheck(now)
	if c.kept.term == c.node.Term() {
		c.decide(now, "a majority answers again in the same term", false)
		return
	}
	c.beginTerm()
	for _, g := range c.proxies {
		if now-g.grantAt > tuning.ProxyLease {
			g.tableMerged = false // it may have served on its peers
		}
	}
	c.announce(now)
	c.decide(now, "elected again, and nobody led in between", true)
}

// resumeLead begins a lead with what this member knew in its last one, and has the proxies tell what
// they decided for themselves meanwhile.
func (c *Controller) resumeLead(now time.Duration) {
	c.latestMergedKey = c.table.Key // none is later: who made one would have led
	c.applyPolicies()
	c.recheck(now)
}

// beginTerm notes the term of a lead. One that goes on in a later term keeps numbering its tables, and
// tells them as changes to those of its earlier terms, which proxies hold.
func (c *Controller) beginTerm() {
	c.kept.epoch, c.kept.term = c.node.Epoch(), c.node.Term()
	c.leadTerms = append(c.leadTerms, c.node.Term())
	c.counts.Elections++
}

// recheck goes on with the targets that are known. Words that were missed meanwhile are no sign of
// silence. Each is probed anew, at the usual pace, unless the lead was lost for so short a time that
// its probe may still be out: a lead that is lost again and again must not probe the more for it.
func (c *Controller) recheck(now time.Duration) {
	probeAnew := now-c.kept.lostAt >= tuning.ProbeEvery
	for _, t := range c.targets {
		t.heardAtLeast(now - tuning.TargetHeartbeatTimeout/2)
		if probeAnew {
			t.probeAt, t.sentAt = now-tuning.ProbeEvery, 0
		}
	}
	for _, t := range c.claims {
		t.heardAtLeast(now - tuning.TargetHeartbeatTimeout/2)
	}
}

func (t *target) heardAtLeast(at time.Duration) {
	t.beatAt, t.aliveAt = max(t.beatAt, at), max(t.aliveAt, at)
}

// decide begins to decide, or goes on to.
func (c *Controller) decide(now time.Duration, why string, refresh bool) {
	c.setLead(now, Leading, why)
	c.rebuild(now, refresh)
	c.waiters = slices.DeleteFunc(c.waiters, func(f *commitWaiter) bool { return f.p == nil && f.member == "" }) // made again below
	if len(c.state.PreviousProxies) > 0 {
		c.waiters = append(c.waiters, &commitWaiter{version: c.tableVersion, since: now, rosterChange: true})
	}
	for _, id := range c.sorted() {
		if c.targets[id].Pending {
			c.waiters = append(c.waiters, &commitWaiter{version: c.tableVersion, since: now, clearPending: id})
		}
	}
}

// forgetLead begins a lead with the targets that are agreed, and nothing else.
func (c *Controller) forgetLead(now time.Duration) {
	c.abandonWaiters()
	c.targets, c.claims, c.judge, c.policyRevision = map[wire.TargetID]*target{}, map[wire.TargetID]*target{}, outlier.New(), 0
	c.scorer = outlier.NewScorer(c.judge)
	c.lastTurn, c.turnByName = map[string]uint32{}, map[[2]string]uint32{}
	c.tombstones, c.leaving = map[wire.TargetID]time.Duration{}, map[wire.TargetID]time.Duration{}
	c.withdrawnAt = map[wire.TargetID]uint64{}
	c.table, c.sortedIDs, c.latestMergedKey, c.rosterPendingAt = nil, nil, wire.TableKey{}, 0
	c.leadTerms = nil
	c.changes, c.withdrawnTargets, c.rosterTableVersion, c.oldestDeltaBase = nil, nil, c.tableVersion+1, c.tableVersion+1
	c.applyPolicies()
	c.loadRegistrations(now)
}
