// This file determines when a table is in force, which means that no proxy routes requests by an earlier table any more,
// and answers the calls that wait for that.

package controlplane

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/proxyquorum"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// inForceWaiter holds what to do once a table is in force and the further conditions, if any are set, are met.
type inForceWaiter struct {
	version           uint64        // of the table
	waitingSince      time.Duration // when the waiter was created
	quorumConfirmedAt time.Duration // when a quorum of the proxies had confirmed the table, 0: not yet
	longWaitReported  bool          // reportLongWait has logged the delay

	// What to do once the table is in force.

	call          *pendingCall // to be answered with reply; nil if no caller waits
	reply         statemachine.Reply
	pendingTarget wire.TargetID // may get requests from then on
	proxyChange   bool          // the previous proxy membership is retired then

	// Further conditions.

	member     string          // this member of the control plane has joined or left, "": no condition
	joining    bool            // true: member has to join, false: it has to leave
	departures []wire.TargetID // the leave notices or sign-offs of these targets are committed
	quorumOnly bool            // waives a condition: the leases of proxies that have not confirmed the table need not have expired
}

// isInForce reports whether a waiter's table is in force and its further conditions are met. A table is in force once
// both of these hold:
//
//   - So many proxies have confirmed it that the others are no majority, see proxyquorum.Count. A majority grants each
//     peer lease and reports its tables to a new leader, so it has a proxy with the table.
//   - The lease of each proxy that has not confirmed it has expired, whether it was granted by the leader or by a peer
//     that had not confirmed the table either.
func (c *Controller) isInForce(now time.Duration, waiter *inForceWaiter) bool {
	if !c.memberChangeDone(waiter) {
		return false
	}
	if slices.ContainsFunc(waiter.departures, func(id wire.TargetID) bool { return !c.departureCommitted(id) }) {
		return false
	}
	if !c.quorumConfirmed(waiter.version) {
		waiter.quorumConfirmedAt = 0
		return false
	}
	if waiter.quorumOnly {
		return true
	}
	if waiter.quorumConfirmedAt == 0 {
		waiter.quorumConfirmedAt = now
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

// memberChangeDone reports whether the membership change that w waits for, if any, is committed.
func (c *Controller) memberChangeDone(w *inForceWaiter) bool {
	if w.member == "" {
		return true
	}
	isMember := slices.ContainsFunc(c.node.Members(), func(m wire.Member) bool { return m.Name == w.member })
	return c.node.CanChangeMembers() && w.joining == isMember
}

// hasConfirmed reports whether a proxy has confirmed the table of this version, or a later one, of the current term.
func (c *Controller) hasConfirmed(name string, version uint64) bool {
	proxy := c.proxies[name]
	return proxy != nil && proxy.tableKey.Epoch == c.node.Epoch() && proxy.tableKey.Term == c.node.Term() && proxy.tableKey.Version >= version
}

// currentConfirmation counts the confirmations of a table in the proxy membership.
func (c *Controller) currentConfirmation(version uint64) (count proxyquorum.Count) {
	for i := range c.state.Proxies {
		name := c.state.Proxies[i].Name
		count.Add(c.hasConfirmed(name, version), c.hasSignedOff(name))
	}
	return count
}

// previousConfirmation counts the confirmations of a table in the previous membership, without the proxies whose end is
// committed.
func (c *Controller) previousConfirmation(version uint64) (count proxyquorum.Count) {
	for _, name := range c.state.PreviousProxies {
		if !slices.Contains(c.state.DepartedProxies, name) {
			count.Add(c.hasConfirmed(name, version), c.hasSignedOff(name))
		}
	}
	return count
}

// quorumConfirmed reports whether a table is confirmed by a quorum of the proxies and, until the previous membership is
// retired, by a quorum of that too. It allocates no lists, since it runs after every event for every waiter.
func (c *Controller) quorumConfirmed(version uint64) bool {
	current, previous := c.currentConfirmation(version), c.previousConfirmation(version)
	return current.IsQuorum() && previous.IsQuorum()
}

// mayServeEarlierTable reports whether a proxy may still route requests by an earlier table than that of w, on a lease from
// this leader or on leases from peers that had not confirmed the table either. A proxy needs such leases from a majority of
// the proxies, so it can't get them any more once a quorum has confirmed the table.
func (c *Controller) mayServeEarlierTable(now time.Duration, name string, w *inForceWaiter) bool {
	proxy := c.proxies[name]
	if proxy == nil || proxy.signedOff || c.hasConfirmed(name, w.version) {
		return false
	}
	return now-proxy.leaseGrantedAt <= tuning.ProxyLease+tuning.LeaseMargin || now-w.quorumConfirmedAt <= tuning.PeerLease+tuning.LeaseMargin
}

// answerWaiters completes the waiters whose tables are in force now. It runs after every event, so it must be cheap for
// waiters that continue to wait.
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
			c.retirePreviousProxies(now)
		}
		if t := c.targets[w.pendingTarget]; t != nil && t.Pending {
			t.Pending = false
			c.rebuildTable(now, false)
		}
	}
}

// reportLongWait logs, once per waiter, why a change is not in force after tuning.UsualInForceTime.
func (c *Controller) reportLongWait(now time.Duration, w *inForceWaiter) {
	if w.call == nil || w.longWaitReported || now-w.waitingSince <= tuning.UsualInForceTime {
		return
	}
	w.longWaitReported = true
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectConfiguration, From: "proposed", To: "waiting", Reason: c.describeWait(now, w)})
}

// describeWait returns a log text that describes what a waiter waits for.
func (c *Controller) describeWait(now time.Duration, waiter *inForceWaiter) string {
	if !c.quorumConfirmed(waiter.version) {
		return fmt.Sprintf("table %d is not confirmed by half of the %d proxies and of the %d in the previous membership",
			waiter.version, len(c.state.Proxies), len(c.state.PreviousProxies)-len(c.state.DepartedProxies))
	}
	var lagging []string
	for i := range c.state.Proxies {
		name := c.state.Proxies[i].Name
		if !c.mayServeEarlierTable(now, name, waiter) {
			continue
		}
		proxy := c.proxies[name]
		leaseAge := (now - proxy.leaseGrantedAt).Round(time.Millisecond)
		lagging = append(lagging, fmt.Sprintf("%s with table %d of term %d, last lease granted %v ago", name, proxy.tableKey.Version, proxy.tableKey.Term, leaseAge))
	}
	if len(lagging) == 0 {
		return fmt.Sprintf("table %d waits for control plane members, targets or proxies of the previous membership", waiter.version)
	}
	return fmt.Sprintf("table %d waits for %d proxies whose leases have not expired, for example %s", waiter.version, len(lagging), lagging[0])
}

// expireWaiter answers a caller that has waited too long, and reports whether the waiter is no longer needed.
func (c *Controller) expireWaiter(now time.Duration, w *inForceWaiter) bool {
	if w.call == nil {
		return false
	}
	reportExpired := w.call.targetReport && now-w.call.receivedAt > tuning.TargetReportWait
	if now-w.waitingSince <= tuning.ChangeTimeout && !reportExpired {
		return false
	}
	c.answerUnknown(w.call)
	w.call = nil
	return !w.proxyChange
}

// retainWaiters keeps the waiters when leadership is lost but may be resumed, which usually happens soon, so that
// callers still get a definite answer. Their quorumConfirmedAt is reset, since a new term may begin, in which earlier
// confirmations don't count.
func (c *Controller) retainWaiters(now time.Duration) {
	if c.stopping || !c.mayResumeLeadership(now) {
		c.abandonWaiters()
		return
	}
	for _, w := range c.waiters {
		w.quorumConfirmedAt = 0
	}
}

// mayResumeLeadership reports whether this member may still resume the leadership that it lost: the loss is less than
// tuning.PendingCallsKept ago, the time that an election takes, and it knows of no other leader.
func (c *Controller) mayResumeLeadership(now time.Duration) bool {
	lost := c.lostLeadership
	if lost.term == 0 || lost.epoch != c.node.Epoch() || now-lost.lostAt >= tuning.PendingCallsKept || c.abstains() {
		return false
	}
	leader := c.node.Leader()
	return leader == "" || leader == c.settings.Self.Name
}

// abandonWaiters removes all waiters and pending changes, and answers their callers that the outcome is unknown.
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

// tickWaiters expires waiters while this member is not Leading. A leader does so in answerWaiters.
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
