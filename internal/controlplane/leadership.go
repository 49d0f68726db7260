// This file decides whether this member leads, and takes it through the states of Leadership. Leadership begins with
// a lease of a majority and ends with it; establishLeadership and revokeLeadership undo one another.

package controlplane

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Leadership is how far a member with a lease has come as the leader.
type Leadership int

// The states of leadership, in the order in which a member goes through them. Each but the first needs the lease.
const (
	// NotLeading is a member without a lease.
	NotLeading Leadership = iota
	// Recovering is the leader of a new epoch that collects what others remember of earlier epochs, to begin with the latest.
	Recovering
	// Gathering is a new leader that collects the proxies' tables. It knows targets and grants no leases yet.
	Gathering
	// Leading is a leader that makes tables, grants leases and accepts changes.
	Leading
)

// String returns the state's name in a member's status.
func (l Leadership) String() string { return [...]string{"idle", "adopting", "warming", "deciding"}[l] }

// updateLeadership begins, continues or revokes leadership. It runs before and after each event, so that nothing is
// decided on a lease that has run out.
func (c *Controller) updateLeadership(now time.Duration) {
	if !c.canBeLeader(now) {
		c.revokeLeadership(now, "no lease of a majority")
		c.transferUnstableLeadership(now)
		return
	}
	// In a new term the lease was lost in between, if only within one event: another member may have led.
	if c.leadershipTerm != c.node.Term() {
		c.revokeLeadership(now, "new term")
		c.leadershipTerm = c.node.Term()
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

func (c *Controller) canBeLeader(now time.Duration) bool {
	return c.node != nil && !c.stopping && !c.abstains() && c.node.HasLease(now)
}

// setLeadership enters a state. Its callers do what goes with that.
func (c *Controller) setLeadership(now time.Duration, next Leadership, reason string) {
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectLeadership, From: c.leadership.String(), To: next.String(), Reason: reason})
	c.leadership, c.leadershipSince = next, now
}

// revokeLeadership ends leadership, if this member has any. What the leader keeps in memory stays as it is, since a
// member that leads again soon may go on with it.
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

// beginLeadership takes a member that got a lease into its first state.
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

// beginRecovering collects what is remembered of earlier epochs: here on disk, and by proxies so far. More may come
// until RecoveryWait is over.
func (c *Controller) beginRecovering(now time.Duration) {
	c.recoveredState, c.unreadableRecoveredState = state.RecoveredState{}, false
	c.addRecoveredFromImage()
	c.decodeProxyStates()
	for _, name := range slices.Sorted(maps.Keys(c.proxyRecoveredStates)) {
		c.addRecovered(c.proxyRecoveredStates[name].RecoveredState)
	}
	c.setLeadership(now, Recovering, "elected in a new epoch")
	c.initialStateProposed = false
}

// addRecoveredFromImage adds what this member's disk holds of an earlier epoch.
func (c *Controller) addRecoveredFromImage() {
	if len(c.persistentState.RecoveredState) == 0 {
		return
	}
	var recovered state.RecoveredState
	if err := json.Unmarshal(c.persistentState.RecoveredState, &recovered); err != nil {
		c.unreadableRecoveredState = true
		c.ReportDamage("memory of an earlier epoch on this disk", err)
		return
	}
	c.addRecovered(recovered)
}

// tickRecovering proposes the first state of the epoch once everybody had the time to send one, and goes on once one
// is committed, which may be another leader's.
func (c *Controller) tickRecovering(now time.Duration) {
	if c.state.Recovered {
		c.beginGathering(now, "the epoch's first state is committed")
		return
	}
	if now-c.leadershipSince > tuning.RecoveryWait && !c.initialStateProposed && c.canRecover() {
		c.initialStateProposed = true
		c.propose(now, state.Command{Operation: state.OpRecover, State: c.recoveredState.State})
	}
}

// beginGathering begins a leadership from what this member remembers of its last one, if nobody led in between, or
// else from the log alone, and asks the proxies for their tables.
func (c *Controller) beginGathering(now time.Duration, reason string) {
	c.setLeadership(now, Gathering, reason)
	resumed := c.canResumeLeadership(now) && c.table != nil
	if resumed {
		c.restoreLeadershipState(now)
	} else {
		c.resetLeadershipState(now)
	}
	c.beginTerm()
	// An earlier leader may have granted any proxy a lease until just now. A table is in force only after such leases
	// have run out, so each proxy counts as leased now: those met already, and those that only the log names.
	for _, proxy := range c.proxies {
		proxy.leaseGrantedAt, proxy.tableMerged = now, false
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

// tickGathering begins to lead once the proxies' tables are merged.
func (c *Controller) tickGathering(now time.Duration) {
	merged, total := 0, len(c.state.Proxies)
	for i := range c.state.Proxies {
		if proxy := c.proxies[c.state.Proxies[i].Name]; proxy != nil && proxy.tableMerged {
			merged++
		}
	}
	if hasGathered(merged, total, now-c.leadershipSince) {
		c.establishLeadership(now, fmt.Sprintf("merged the tables of %d of %d proxies", merged, total), true)
	}
}

// hasGathered says that enough proxies' tables are merged, of all in the membership. A majority of the
// proxies has any table that was in force, so a majority is enough to know of all that was. The wait beyond that is for ejections and
// drains that only the other proxies know of, and with no proxy in the membership for the first ones to come.
func hasGathered(merged, total int, waited time.Duration) bool {
	switch {
	case waited > tuning.GatherTablesWait:
		return true
	case total == 0:
		return waited > tuning.FirstProxiesWait
	case merged == total:
		return true
	}
	return 2*merged > total && waited > tuning.GatherTablesWait/3
}

// establishLeadership begins to lead, with a first table: a new one, or the present one again if refresh is false and
// nothing has changed.
func (c *Controller) establishLeadership(now time.Duration, reason string, refresh bool) {
	c.setLeadership(now, Leading, reason)
	c.rebuildTable(now, refresh)
	c.restartWaiters(now)
}

// restartWaiters has all that waits for a table without a caller wait for the present one: tables of an earlier term are
// confirmed by nobody any more.
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

// announceLeadership sends every daemon a hello with the new leader, also proxies that only the log names.
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

// resetLeadershipState begins a leadership with the targets registered in the log and nothing else. The table's
// version goes on, since a version must not come twice in a term.
func (c *Controller) resetLeadershipState(now time.Duration) {
	c.abandonWaiters()
	c.targets, c.claims = map[wire.TargetID]*target{}, map[wire.TargetID]*target{}
	c.sortedTargetIDs = nil
	c.tombstones, c.leavingTargets = map[wire.TargetID]time.Duration{}, map[wire.TargetID]time.Duration{}
	c.withdrawnInVersion = map[wire.TargetID]uint64{}
	c.lastShareOffset, c.shareOffsetByName = map[string]uint32{}, map[serviceTarget]uint32{}
	c.detector, c.activeRevision = outlier.New(), 0
	c.scorer = outlier.NewScorer(c.detector)
	c.table, c.deltas, c.removedTargets = nil, nil, nil
	c.latestMergedKey = wire.TableKey{}
	c.proxiesChangedInVersion, c.oldestDeltaBase = c.tableVersion+1, c.tableVersion+1
	c.leadershipTerms = nil
	c.proxyChangeIndex = 0
	c.activateConfig()
	c.loadRegistrations(now)
}
