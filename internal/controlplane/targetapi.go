// This file takes the calls of targets: heartbeats, leavings and sign-offs.

package controlplane

import (
	"maps"
	"myrtlefold/internal/shared/targetreport"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// word takes a back end's word as leader. One that says leaving or gone is acknowledged
// when most proxies have a table that says so; the others' leases lapse by themselves.
func (c *Controller) reportTarget(now time.Duration, p *pendingCall, w wire.Target) {
	ids := []wire.TargetID{w.ID()}
	if w.Service == "" {
		ids = c.identitiesNamed(w.Name)
	}
	for _, id := range ids {
		t := w
		t.Service, t.Incarnation = id.Service, id.Incarnation
		c.handleHeartbeat(now, t, false)
	}
	if !targetreport.IsLeaving(w) {
		c.answer(p, targetreport.Acknowledgement(w))
		return
	}
	c.persistSoon = true
	c.persistRegistrations(now, tuning.RegistryEvery)
	ver := uint64(0)
	for _, id := range ids {
		out := c.withdrawnInVersion[id]
		if out == 0 {
			out = c.tableVersion
		}
		if t := c.targets[id]; t == nil || t.Draining { // an old word has changed nothing
			c.withdrawnInVersion[id] = out
		}
		ver = max(ver, out)
	}
	c.waiters = append(c.waiters, &inForceWaiter{version: ver, waitingSince: now, call: p, reply: targetreport.Acknowledgement(w), majorityOnly: true, departures: ids})
}

// identitiesNamed are the identities under a name, those that signed off lately included.
func (c *Controller) identitiesNamed(name string) []wire.TargetID {
	m := map[wire.TargetID]bool{}
	add := func(id wire.TargetID) {
		if id.Name == name {
			m[id] = true
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
	return slices.SortedFunc(maps.Keys(m), wire.TargetID.Compare)
}
