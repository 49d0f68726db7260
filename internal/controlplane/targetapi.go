// This file takes targets' reports at the leader: heartbeats, leavings and sign-offs.

package controlplane

import (
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/targetreport"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// reportTarget takes a report and answers it: a heartbeat at once, and a leaving or sign-off when a majority
// of the proxies has confirmed a table that says so. The leases of the others lapse by themselves.
func (c *Controller) reportTarget(now time.Duration, call *pendingCall, report wire.Target) {
	ids := []wire.TargetID{report.ID()}
	if report.Service == "" {
		ids = c.identitiesNamed(report.Name)
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
		version:      c.withdraw(ids),
		waitingSince: now,
		call:         call,
		reply:        targetreport.Acknowledgement(report),
		majorityOnly: true,
		departures:   ids,
	})
}

// withdraw notes the first table without some targets, or with them draining, and returns its version: of
// the earliest that has all. A late report, which has changed nothing, notes nothing.
func (c *Controller) withdraw(ids []wire.TargetID) (version uint64) {
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

// identitiesNamed are the targets of a name, those that signed off lately included, sorted.
func (c *Controller) identitiesNamed(name string) []wire.TargetID {
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
