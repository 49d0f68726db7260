// This file tells when a table binds every proxy, and answers those who wait for it.

package controlplane

import (
	"fmt"
	"maps"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// force is something that waits until a table is in force everywhere.
type inForceWaiter struct {
	version             uint64
	majorityConfirmedAt time.Duration
	waitingSince        time.Duration
	call                *pendingCall // who waits for reply, if any
	reply               statemachine.Reply
	pendingTarget       wire.TargetID // target that may be served from then on
	proxyChange         bool          // a change of the roster
	member              string        // a core member whose joining or leaving is waited for
	joining             bool
	majorityOnly        bool            // confirmed by a majority of the proxies is enough
	departures          []wire.TargetID // targets whose leaving or sign-off has to be agreed
	longWaitReported    bool            // that it waits long has been logged
}

// isInForce says whether a table binds every proxy: a majority of the roster, and of
// the one before while that still counts, has confirmed it, and each other one's lease, from the leader or from
// peers that had not confirmed yet, must have lapsed.
func (c *Controller) isInForce(now time.Duration, f *inForceWaiter) bool {
	if f.member != "" && (!c.node.CanChangeMembers() || f.joining != slices.ContainsFunc(c.node.Members(), func(m wire.Member) bool { return m.Name == f.member })) {
		return false
	}
	if slices.ContainsFunc(f.departures, func(id wire.TargetID) bool { return !c.departureCommitted(id) }) {
		return false
	}
	if !c.majorityConfirmed(f.version) {
		f.majorityConfirmedAt = 0
		return false
	}
	if f.majorityOnly {
		return true
	}
	if f.majorityConfirmedAt == 0 {
		f.majorityConfirmedAt = now
	}
	for i := range c.state.Proxies {
		if c.mayServeEarlierTable(now, c.state.Proxies[i].Name, f) {
			return false
		}
	}
	for _, n := range c.state.PreviousProxies {
		if c.mayServeEarlierTable(now, n, f) {
			return false
		}
	}
	return true
}

// hasConfirmed says that a proxy stands on a table or a later one.
func (c *Controller) hasConfirmed(name string, version uint64) bool {
	g := c.proxies[name]
	return g != nil && g.tableKey.Epoch == c.node.Epoch() && g.tableKey.Term == c.node.Term() && g.tableKey.Version >= version
}

// majorityConfirmed says that a majority of the roster, and of the one before while that counts, does.
func (c *Controller) majorityConfirmed(version uint64) bool {
	confirmed := 0
	for i := range c.state.Proxies {
		if c.hasConfirmed(c.state.Proxies[i].Name, version) {
			confirmed++
		}
	}
	if n := len(c.state.Proxies); n > 0 && 2*confirmed <= n {
		return false
	}
	confirmed = 0
	for _, name := range c.state.PreviousProxies {
		if c.hasConfirmed(name, version) {
			confirmed++
		}
	}
	n := len(c.state.PreviousProxies)
	return n == 0 || 2*confirmed > n
}

// mayServeEarlierTable says that a proxy may still serve by an earlier table than one that waits to be in force:
// on a lease of this leader's, or of a peer's that had not confirmed it either.
func (c *Controller) mayServeEarlierTable(now time.Duration, name string, f *inForceWaiter) bool {
	g := c.proxies[name]
	if g == nil || c.hasConfirmed(name, f.version) {
		return false
	}
	return now-g.leaseGrantedAt <= tuning.ProxyLease+tuning.LeaseMargin || now-f.majorityConfirmedAt <= tuning.PeerLease+tuning.LeaseMargin
}

// answerWaiters answers for what has come into force. It is called after each event, so what it does for
// one who still waits has to be little.
func (c *Controller) answerWaiters(now time.Duration) {
	var done []*inForceWaiter
	c.waiters = slices.DeleteFunc(c.waiters, func(f *inForceWaiter) bool {
		if c.isInForce(now, f) {
			done = append(done, f)
			return true
		}
		c.reportLongWait(now, f)
		return c.expireWaiter(now, f)
	})
	for _, f := range done {
		if f.call != nil {
			c.answer(f.call, f.reply)
		}
		if f.proxyChange && len(c.state.PreviousProxies) > 0 && !slices.ContainsFunc(c.waiters, func(f *inForceWaiter) bool { return f.proxyChange }) {
			c.proposeProxyChange(now, state.Command{Operation: state.OpProxiesInForce, Base: c.state.ProxiesIndex})
		}
		if t := c.targets[f.pendingTarget]; t != nil && t.Pending {
			t.Pending = false
			c.rebuildTable(now, false)
		}
	}
}

// reportLongWait logs once what a change waits for that is not in force when it should be.
func (c *Controller) reportLongWait(now time.Duration, f *inForceWaiter) {
	if f.call == nil || f.longWaitReported || now-f.waitingSince <= tuning.InForceUsual {
		return
	}
	f.longWaitReported = true
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectConfiguration, From: "asked", To: "waiting", Reason: c.describeWait(now, f)})
}

// describeWait says for people what a waiter waits for.
func (c *Controller) describeWait(now time.Duration, f *inForceWaiter) string {
	if !c.majorityConfirmed(f.version) {
		return fmt.Sprintf("table %d is not confirmed by a majority of %d proxies, and of %d before", f.version, len(c.state.Proxies), len(c.state.PreviousProxies))
	}
	var past []string
	for i := range c.state.Proxies {
		name := c.state.Proxies[i].Name
		if !c.mayServeEarlierTable(now, name, f) {
			continue
		}
		g := c.proxies[name]
		past = append(past, fmt.Sprintf("%s on table %d of term %d, leased %v ago", name, g.tableKey.Version, g.tableKey.Term, (now-g.leaseGrantedAt).Round(time.Millisecond)))
	}
	if len(past) == 0 {
		return fmt.Sprintf("table %d: members, targets or proxies of the list before", f.version)
	}
	return fmt.Sprintf("table %d: %d proxies, such as %s", f.version, len(past), past[0])
}

// expireWaiter answers who has waited long enough, and says whether nothing waits any more.
func (c *Controller) expireWaiter(now time.Duration, f *inForceWaiter) bool {
	if f.call == nil || now-f.waitingSince <= tuning.CallWait && !(f.call.targetReport && now-f.call.receivedAt > tuning.TargetReportWait) {
		return false
	}
	c.answerUnknown(f.call)
	f.call = nil
	return !f.proxyChange
}

// retainWaiters has those who wait go on waiting when the lead is lost: mostly it is had back in a moment,
// and they get the answer that they wait for in place of none. What most proxies confirmed counts anew then.
func (c *Controller) retainWaiters(now time.Duration) {
	if c.stopping || !c.mayResumeLeadership(now) {
		c.abandonWaiters()
		return
	}
	for _, f := range c.waiters {
		f.majorityConfirmedAt = 0
	}
}

// mayResumeLeadership says that this member may soon go on with the lead that it lost: it is not longer ago than
// an election takes, and no other leader has been heard since.
func (c *Controller) mayResumeLeadership(now time.Duration) bool {
	l := c.node.Leader()
	return c.lostLeadership.term != 0 && c.lostLeadership.epoch == c.node.Epoch() && now-c.lostLeadership.lostAt < tuning.PendingCallsKept && (l == "" || l == c.settings.Self.Name) &&
		!c.abstains()
}

// abandonWaiters answers all who wait that it can't be told.
func (c *Controller) abandonWaiters() {
	for _, t := range slices.Sorted(maps.Keys(c.pendingChanges)) {
		c.answerUnknown(c.pendingChanges[t])
	}
	for _, f := range c.waiters {
		if f.call != nil {
			c.answerUnknown(f.call)
		}
	}
	c.waiters = nil
	clear(c.pendingChanges)
}

// tickWaiters looks after those who wait while this member does not decide.
func (c *Controller) tickWaiters(now time.Duration) {
	if c.leadership == Leading || len(c.waiters)+len(c.pendingChanges) == 0 {
		return
	}
	if c.leadership == NotLeading && !c.mayResumeLeadership(now) {
		c.abandonWaiters()
		return
	}
	c.waiters = slices.DeleteFunc(c.waiters, func(f *inForceWaiter) bool { return c.expireWaiter(now, f) })
}
