// This file decides whether this member is the leader and drives it through the states of Leadership. Leadership begins
// when a majority grants the lease and ends with the lease. revokeLeadership reverses establishLeadership.

package controlplane

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/proxyquorum"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Leadership is the phase of leadership that a member is in.
type Leadership int

// The states of leadership, in the order in which a member passes through them. All but NotLeading require the lease.
const (
	// NotLeading is a member without a lease.
	NotLeading Leadership = iota
	// Recovering is the leader of a new epoch that collects recovered states of earlier epochs, to begin with the latest.
	Recovering
	// Gathering is a new leader that collects the proxies' tables. It tracks targets but grants no leases yet.
	Gathering
	// Leading is a leader that builds tables, grants leases and accepts changes.
	Leading
)

// String returns the name of the state in a member's status.
func (l Leadership) String() string { return [...]string{"idle", "adopting", "warming", "deciding"}[l] }

// updateLeadership begins, continues or revokes leadership. It runs before and after each event, so that no decision is
// based on an expired lease.
func (c *Controller) updateLeadership(now time.Duration) {
	if !c.canBeLeader(now) {
		c.revokeLeadership(now, "the lease was lost, or this member stops or abstains")
		c.transferUnstableLeadership(now)
		return
	}
	// A new term means that the lease was lost in between, even if only within one event: another member may have led.
	// Terms begin again in each epoch.
	if c.leadershipEpoch != c.node.Epoch() || c.leadershipTerm != c.node.Term() {
		c.revokeLeadership(now, "new term")
		c.leadershipEpoch, c.leadershipTerm = c.node.Epoch(), c.node.Term()
		c.order = newChangeOrder(c.node.LastIndexBeforeTerm())
	}
	switch c.leadership {
	case NotLeading:
		c.beginLeadership(now)
	case Recovering:
		c.tickRecovering(now)
	case Gathering:
		c.tickGathering(now)
	case Leading:
	}
}

// canBeLeader reports whether this member has the lease, is not stopping, and does not have to abstain (see abstains).
func (c *Controller) canBeLeader(now time.Duration) bool {
	return c.node != nil && !c.stopping && !c.abstains() && c.node.HasLease(now)
}

// setLeadership enters a state and logs it. Its callers carry out the actions that belong to the transition.
func (c *Controller) setLeadership(now time.Duration, next Leadership, reason string) {
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectLeadership, From: c.leadership.String(), To: next.String(), Reason: reason})
	c.leadership, c.leadershipSince = next, now
}

// revokeLeadership ends leadership, if this member has any. The leader's state in memory is kept, since a member that
// becomes leader again soon may continue with it.
func (c *Controller) revokeLeadership(now time.Duration, reason string) {
	if c.leadership == NotLeading {
		return
	}
	ended := c.leadership
	c.setLeadership(now, NotLeading, reason)
	if ended == Leading {
		c.recordLostLeadership(now)
	}
	c.counts.LeasesLost++
	c.retainWaiters(now)
}

// beginLeadership enters the first state of leadership after this member got the lease.
func (c *Controller) beginLeadership(now time.Duration) {
	switch {
	case !c.state.Recovered:
		c.beginRecovering(now)
	case c.canResumeAtOnce(now):
		c.resumeLeadershipAtOnce(now)
	default:
		c.beginGathering(now, "elected")
	}
}

// beginRecovering starts to collect recovered states of earlier epochs, with those on this member's disk and those
// received from proxies so far. More may arrive until tuning.RecoveryWait is over.
func (c *Controller) beginRecovering(now time.Duration) {
	c.recoveredState, c.unreadableRecoveredState = state.RecoveredState{}, false
	c.addRecoveredFromDisk()
	c.decodeProxyStates()
	for _, name := range slices.Sorted(maps.Keys(c.proxyRecoveredStates)) {
		c.addRecovered(c.proxyRecoveredStates[name].RecoveredState)
	}
	c.setLeadership(now, Recovering, "elected in a new epoch")
	c.initialStateProposed = false
}

// addRecoveredFromDisk adds the recovered state of an earlier epoch on this member's disk, if there is one.
func (c *Controller) addRecoveredFromDisk() {
	if len(c.persistentState.RecoveredState) == 0 {
		return
	}
	var recovered state.RecoveredState
	if err := json.Unmarshal(c.persistentState.RecoveredState, &recovered); err != nil {
		c.unreadableRecoveredState = true
		c.ReportDamage("recovered state of an earlier epoch on this disk", err)
		return
	}
	c.addRecovered(recovered)
}

// tickRecovering proposes the initial state of the epoch once all daemons have had time to send theirs. Once an initial
// state is committed, which may be one that an earlier leader proposed, it begins Gathering.
func (c *Controller) tickRecovering(now time.Duration) {
	if c.state.Recovered {
		c.beginGathering(now, "the initial state of the epoch is committed")
		return
	}
	if now-c.leadershipSince > tuning.RecoveryWait && !c.initialStateProposed && c.canRecover() {
		c.initialStateProposed = true
		c.propose(now, state.Command{Operation: state.OpRecover, State: c.recoveredState.State})
	}
}

// beginGathering begins a leadership and asks the proxies for their tables. It starts from this member's own state in
// memory if no other member led since its last leadership, otherwise from the log alone.
func (c *Controller) beginGathering(now time.Duration, reason string) {
	c.setLeadership(now, Gathering, reason)
	resumed := c.canResumeLeadership(now) && c.table != nil
	if resumed {
		c.restoreLeadershipState(now)
	} else {
		c.resetLeadershipState(now)
	}
	c.beginTerm()
	// An earlier leader may have granted a lease to any proxy until just now, and a table is in force only after such
	// leases have expired. So every proxy, known in memory or only from the log, is treated as if it got a lease now.
	for _, proxy := range c.proxies {
		proxy.leaseGrantedAt, proxy.tableMerged, proxy.signedOff = now, false, false
		if !resumed {
			proxy.tableKey, proxy.revision, proxy.stateIndex = wire.TableKey{}, 0, 0
		}
		proxy.sentKey, proxy.bytesInFlight = wire.TableKey{}, 0
	}
	for _, name := range append(c.state.ProxyNames(), c.state.PreviousProxies...) {
		if c.proxies[name] == nil {
			c.proxies[name] = &proxyState{leaseGrantedAt: now}
		}
	}
	c.announceLeadership(now)
}

// tickGathering enters Leading once enough of the proxies' tables are merged.
func (c *Controller) tickGathering(now time.Duration) {
	var current, previous proxyquorum.Count
	for i := range c.state.Proxies {
		current.Add(c.isTableMerged(c.state.Proxies[i].Name), false)
	}
	for _, name := range c.state.PreviousProxies {
		if !slices.Contains(c.state.DepartedProxies, name) {
			previous.Add(c.isTableMerged(name), false)
		}
	}
	if hasGatheredEnough(current, previous, now-c.leadershipSince) {
		c.establishLeadership(now, fmt.Sprintf("merged the tables of %d of %d proxies", current.Confirmed(), current.Members()), true)
	}
}

// isTableMerged reports whether a proxy's table from before this leadership has been merged, or it has none.
func (c *Controller) isTableMerged(name string) bool {
	proxy := c.proxies[name]
	return proxy != nil && proxy.tableMerged
}

// hasGatheredEnough reports whether the tables of enough proxies are merged, of the membership and of the previous one. Any table
// that was in force is held by half of the proxies, so the tables of a majority include the latest such table. With
// a majority it still waits for the remaining proxies for some time, since only they may know of some ejections and
// drains. With an empty membership it waits for the first proxies. It waits no longer than tuning.GatherTablesWait.
func hasGatheredEnough(current, previous proxyquorum.Count, waited time.Duration) bool {
	switch {
	case waited > tuning.GatherTablesWait:
		return true
	case current.Members() == 0:
		return waited > tuning.FirstProxiesWait
	case previous.Members() > 0 && !previous.IsMajority():
		return false
	case current.Confirmed() == current.Members():
		return true
	}
	return current.IsMajority() && waited > tuning.GatherTablesWait/3
}

// establishLeadership enters Leading and publishes the first table. With refresh set it always builds a new one, otherwise
// it keeps the current table if nothing has changed.
func (c *Controller) establishLeadership(now time.Duration, reason string, refresh bool) {
	c.setLeadership(now, Leading, reason)
	c.rebuildTable(now, refresh)
	c.restartWaiters(now)
}

// restartWaiters replaces the waiters that have no caller by ones for the current table, since confirmations of tables
// of an earlier term no longer count.
func (c *Controller) restartWaiters(now time.Duration) {
	c.waiters = slices.DeleteFunc(c.waiters, func(w *inForceWaiter) bool { return w.call == nil && w.member == "" })
	if len(c.state.PreviousProxies) > 0 {
		c.waiters = append(c.waiters, &inForceWaiter{version: c.tableVersion, waitingSince: now, proxyChange: true})
	}
	for _, id := range c.targetIDs() {
		if c.targets[id].Pending {
			c.waiters = append(c.waiters, &inForceWaiter{version: c.tableVersion, waitingSince: now, pendingTarget: id})
		}
	}
}

// announceLeadership sends a hello with the new leader to every daemon, including proxies known only from the log.
func (c *Controller) announceLeadership(now time.Duration) {
	for _, proxy := range c.state.Proxies {
		if c.directory[proxy.Name] == nil {
			daemon := wire.Daemon{Name: proxy.Name, Kind: wire.ProxyDaemon, Addr: proxy.Addr, Domain: proxy.Domain}
			c.directory[proxy.Name] = &discovery.Peer{Daemon: daemon, LastContact: now - tuning.DaemonExpiry/2}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.directory)) {
		c.emit(statemachine.Send{Addr: c.directory[name].Addr, Message: c.helloTo(now, name, true)})
	}
}

// resetLeadershipState resets the leader's state in memory to the target registrations in the log. The table version is
// not reset, since a version must not be used twice in a term.
func (c *Controller) resetLeadershipState(now time.Duration) {
	c.abandonWaiters()
	c.targets, c.claims = map[wire.TargetID]*target{}, map[wire.TargetID]*target{}
	c.sortedTargetIDs = nil
	c.tombstones, c.leavingTargets = map[wire.TargetID]time.Duration{}, map[wire.TargetID]time.Duration{}
	c.withdrawnInVersion = map[wire.TargetID]uint64{}
	c.lastShareOffset, c.shareOffsetByName = map[string]uint32{}, map[serviceTarget]uint32{}
	c.detector, c.activeRevision = outlier.New(), 0
	c.scorer = outlier.NewScorer(c.detector)
	c.table, c.tableForms, c.removedTargets = nil, nil, nil
	c.latestMergedKey = wire.TableKey{}
	c.proxiesChangedInVersion, c.oldestDeltaBase = c.tableVersion+1, c.tableVersion+1
	c.leadershipTerms = nil
	c.proxyChangeIndex = 0
	c.activateConfig()
	c.loadRegistrations(now)
}
