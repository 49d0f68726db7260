// This file decides when a table is in force, which is when no proxy serves by an earlier one, and answers what waits
// for that.

package controlplane

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// inForceWaiter is something that waits until a table is in force, and for further conditions if they are set.
type inForceWaiter struct {
	version             uint64        // of the table
	waitingSince        time.Duration // when it was made
	majorityConfirmedAt time.Duration // when a majority of the proxies had confirmed the table, 0: not yet
	longWaitReported    bool          // a line in the log has said that it takes long

	// What is done once it is in force.

	call          *pendingCall // is answered with reply, nil: nobody waits for an answer
	reply         statemachine.Reply
	pendingTarget wire.TargetID // may be given requests from then on
	proxyChange   bool          // the proxy membership before counts no more from then on

	// Further conditions.

	member       string          // this member of the control plane has joined, or left
	joining      bool            // whether it has to join
	departures   []wire.TargetID // the leaving or sign-off of these targets is committed
	majorityOnly bool            // weaker: a majority of the proxies is enough, the others' leases may still run
}

// isInForce says whether what a waiter waits for is reached. A table is in force once a majority of the proxies has confirmed
// it, of the membership and of the one before while that counts, and each other proxy's lease has run out, be it from
// the leader or from a peer that had not confirmed it yet. Majorities of two tables share a proxy, and that proxy
// reports the later table to a new leader.
func (c *Controller) isInForce(now time.Duration, waiter *inForceWaiter) bool {
	if !c.memberChangeDone(waiter) {
		return false
	}
	if slices.ContainsFunc(waiter.departures, func(id wire.TargetID) bool { return !c.departureCommitted(id) }) {
		return false
	}
	if !c.majorityConfirmed(waiter.version) {
		waiter.majorityConfirmedAt = 0
		return false
	}
	if waiter.majorityOnly {
		return true
	}
	if waiter.majorityConfirmedAt == 0 {
		waiter.majorityConfirmedAt = now
	}
	for i := range c.state.Proxies {
		if c.mayServeEarlierTable(now, c.state.Proxies[i].Name, waiter) {
			return false
		}
	}
	for _, name := range c.state.PreviousProxies {
		if c.mayServeEarlierTable(now, name, waiter) {
			return false
		}
	}
	return true
}

// memberChangeDone says that the member that w waits for has joined or left, and that this is committed.
func (c *Controller) memberChangeDone(w *inForceWaiter) bool {
	if w.member == "" {
		return true
	}
	isMember := slices.ContainsFunc(c.node.Members(), func(m wire.Member) bool { return m.Name == w.member })
	return c.node.CanChangeMembers() && w.joining == isMember
}

// hasConfirmed says that a proxy has this table of the present term, or a later one.
func (c *Controller) hasConfirmed(name string, version uint64) bool {
	proxy := c.proxies[name]
	return proxy != nil && proxy.tableKey.Epoch == c.node.Epoch() && proxy.tableKey.Term == c.node.Term() && proxy.tableKey.Version >= version
}

// majorityConfirmed says that a majority of the proxies has confirmed a table, and of the membership before while that
// counts. Without proxies it is true. It makes no lists, since it is asked after each event for each waiter.
func (c *Controller) majorityConfirmed(version uint64) bool {
	confirmed := 0
	for i := range c.state.Proxies {
		if c.hasConfirmed(c.state.Proxies[i].Name, version) {
			confirmed++
		}
	}
	if total := len(c.state.Proxies); total > 0 && 2*confirmed <= total {
		return false
	}
	confirmed = 0
	for _, name := range c.state.PreviousProxies {
		if c.hasConfirmed(name, version) {
			confirmed++
		}
	}
	total := len(c.state.PreviousProxies)
	return total == 0 || 2*confirmed > total
}

// mayServeEarlierTable says that a proxy may still serve by a table before that of w: on a lease of this leader, or on
// leases of peers that had not confirmed the table either. Since those must be a majority, none is granted any more once a
// majority has confirmed it.
func (c *Controller) mayServeEarlierTable(now time.Duration, name string, w *inForceWaiter) bool {
	proxy := c.proxies[name]
	if proxy == nil || c.hasConfirmed(name, w.version) {
		return false
	}
	return now-proxy.leaseGrantedAt <= tuning.ProxyLease+tuning.LeaseMargin || now-w.majorityConfirmedAt <= tuning.PeerLease+tuning.LeaseMargin
}

// answerWaiters does what waits for tables that are in force now. It runs after each event, so it has to do little for
// what goes on waiting.
func (c *Controller) answerWaiters(now time.Duration) {
	var done []*inForceWaiter
	c.waiters = slices.DeleteFunc(c.waiters, func(w *inForceWaiter) bool {
		if c.isInForce(now, w) {
			done = append(done, w)
			return true
		}
		c.reportLongWait(now, w)
		return c.expireWaiter(now, w)
	})
	for _, w := range done {
		if w.call != nil {
			c.answer(w.call, w.reply)
		}
		if w.proxyChange {
			c.endPreviousProxies(now)
		}
		if t := c.targets[w.pendingTarget]; t != nil && t.Pending {
			t.Pending = false
			c.rebuildTable(now, false)
		}
	}
}

// reportLongWait logs once why a change is not in force by the time that it usually takes.
func (c *Controller) reportLongWait(now time.Duration, w *inForceWaiter) {
	if w.call == nil || w.longWaitReported || now-w.waitingSince <= tuning.InForceUsual {
		return
	}
	w.longWaitReported = true
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectConfiguration, From: "proposed", To: "waiting", Reason: c.describeWait(now, w)})
}

// describeWait says what a waiter waits for, in words for the log.
func (c *Controller) describeWait(now time.Duration, waiter *inForceWaiter) string {
	if !c.majorityConfirmed(waiter.version) {
		return fmt.Sprintf("table %d is not confirmed by a majority of %d proxies, and of %d in the membership before",
			waiter.version, len(c.state.Proxies), len(c.state.PreviousProxies))
	}
	var lagging []string
	for i := range c.state.Proxies {
		name := c.state.Proxies[i].Name
		if !c.mayServeEarlierTable(now, name, waiter) {
			continue
		}
		proxy := c.proxies[name]
		leasedFor := (now - proxy.leaseGrantedAt).Round(time.Millisecond)
		lagging = append(lagging, fmt.Sprintf("%s on table %d of term %d, leased %v ago", name, proxy.tableKey.Version, proxy.tableKey.Term, leasedFor))
	}
	if len(lagging) == 0 {
		return fmt.Sprintf("table %d waits for members, targets or proxies of the membership before", waiter.version)
	}
	return fmt.Sprintf("table %d waits for %d proxies, such as %s", waiter.version, len(lagging), lagging[0])
}

// expireWaiter answers a caller that has waited for long enough, and says whether nothing is left to wait for.
func (c *Controller) expireWaiter(now time.Duration, w *inForceWaiter) bool {
	if w.call == nil {
		return false
	}
	reportExpired := w.call.targetReport && now-w.call.receivedAt > tuning.TargetReportWait
	if now-w.waitingSince <= tuning.CallWait && !reportExpired {
		return false
	}
	c.answerUnknown(w.call)
	w.call = nil
	return !w.proxyChange
}

// retainWaiters lets callers go on waiting when leadership is lost, if it may be resumed: mostly that takes a moment,
// and they get an answer then. Which proxies have confirmed is counted anew, since another term may begin.
func (c *Controller) retainWaiters(now time.Duration) {
	if c.stopping || !c.mayResumeLeadership(now) {
		c.abandonWaiters()
		return
	}
	for _, w := range c.waiters {
		w.majorityConfirmedAt = 0
	}
}

// mayResumeLeadership says that this member may soon resume the leadership that it lost: that is not longer ago than an
// election takes, and it knows of no other leader.
func (c *Controller) mayResumeLeadership(now time.Duration) bool {
	lost := c.lostLeadership
	if lost.term == 0 || lost.epoch != c.node.Epoch() || now-lost.lostAt >= tuning.PendingCallsKept || c.abstains() {
		return false
	}
	leader := c.node.Leader()
	return leader == "" || leader == c.settings.Self.Name
}

// abandonWaiters answers all callers whose change is proposed or waits for a table that its outcome is unknown.
func (c *Controller) abandonWaiters() {
	for _, token := range slices.Sorted(maps.Keys(c.pendingChanges)) {
		c.answerUnknown(c.pendingChanges[token])
	}
	for _, w := range c.waiters {
		if w.call != nil {
			c.answerUnknown(w.call)
		}
	}
	c.waiters = nil
	clear(c.pendingChanges)
}

// tickWaiters expires waiters while this member does not lead. A leader does so in answerWaiters.
func (c *Controller) tickWaiters(now time.Duration) {
	if c.leadership == Leading || len(c.waiters)+len(c.pendingChanges) == 0 {
		return
	}
	if c.leadership == NotLeading && !c.mayResumeLeadership(now) {
		c.abandonWaiters()
		return
	}
	c.waiters = slices.DeleteFunc(c.waiters, func(w *inForceWaiter) bool { return c.expireWaiter(now, w) })
}
