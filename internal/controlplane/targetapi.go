// This file handles targets' reports at the leader: heartbeats, leave notices and sign-offs.

package controlplane

import (
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/targetreport"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// reportTarget handles a report and answers it: a heartbeat at once, and a leave notice or sign-off once it is
// committed and a majority of the proxies has confirmed a table that contains it. It does not wait until the leases of
// the other proxies have expired.
func (c *Controller) reportTarget(now time.Duration, call *pendingCall, report wire.Target) {
	ids := []wire.TargetID{report.ID()}
	if report.Service == "" {
		ids = c.targetIDsNamed(report.Name)
	}
	for _, id := range ids {
		identified := report
		identified.Service, identified.Incarnation = id.Service, id.Incarnation
		c.handleHeartbeat(now, identified, false)
	}
	if !targetreport.IsLeaving(report) {
		c.answer(call, targetreport.Acknowledgement(report))
		return
	}
	c.persistSoon = true
	c.persistRegistrations(now, tuning.RegistryEvery)
	c.waiters = append(c.waiters, &inForceWaiter{
		version:      c.recordWithdrawal(ids),
		waitingSince: now,
		call:         call,
		reply:        targetreport.Acknowledgement(report),
		quorumOnly:   true,
		departures:   ids,
	})
}

// recordWithdrawal records for each of the targets the first table version in which it is draining or absent, and
// returns the first version in which all of them are. It records nothing for a target that still gets requests: its
// report arrived late and was ignored.
func (c *Controller) recordWithdrawal(ids []wire.TargetID) (version uint64) {
	for _, id := range ids {
		withdrawnIn := c.withdrawnInVersion[id]
		if withdrawnIn == 0 {
			withdrawnIn = c.tableVersion
		}
		if t := c.targets[id]; t == nil || t.Draining {
			c.withdrawnInVersion[id] = withdrawnIn
		}
		version = max(version, withdrawnIn)
	}
	return version
}

// targetIDsNamed returns the sorted IDs of all targets of a name, including claimants and those that recently signed off.
func (c *Controller) targetIDsNamed(name string) []wire.TargetID {
	ids := map[wire.TargetID]bool{}
	add := func(id wire.TargetID) {
		if id.Name == name {
			ids[id] = true
		}
	}
	for id := range c.targets {
		add(id)
	}
	for id := range c.claims {
		add(id)
	}
	for id := range c.tombstones {
		add(id)
	}
	return slices.SortedFunc(maps.Keys(ids), wire.TargetID.Compare)
}
