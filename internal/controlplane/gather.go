// This file merges the tables that proxies hold from before this leadership. A new leader recovers from them the targets,
// drains and ejections that are not in the log.

package controlplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// mergeTable merges a proxy's table. Drains and warm-ups are merged from every table. Ejections are merged only while
// Gathering, and targets only while Gathering from a table that is later than all merged so far.
func (c *Controller) mergeTable(now time.Duration, table *wire.Table) {
	if c.leadership == Gathering && c.latestMergedKey.Less(table.Key) {
		c.latestMergedKey = table.Key
		c.removeUnconfirmedTargets(now)
		for _, row := range table.Targets {
			c.addGatheredTarget(now, row)
		}
	}
	for _, row := range table.Targets {
		t := c.targets[row.ID()]
		if t == nil {
			continue
		}
		if row.Draining {
			c.drainTarget(now, t, "it is draining in a proxy's table")
		}
		t.warmupEnd = max(t.warmupEnd, now+time.Duration(row.WarmupLeft))
		c.warmUpAfterRestore(t)
		// Once this member is Leading, its own detector decides, and may already have ended the ejection in the proxy's table.
		if row.EjectionLeft > 0 && c.leadership == Gathering {
			c.detector.Restore(now, row.ID(), row.EjectedBy, time.Duration(row.EjectionLeft))
		}
	}
}

// removeUnconfirmedTargets removes the targets that are known only from an earlier table or the log, before a later table
// is merged, which lists those that still exist.
func (c *Controller) removeUnconfirmedTargets(now time.Duration) {
	for id, t := range c.targets {
		if !t.unconfirmed {
			continue
		}
		delete(c.targets, id)
		if t.Draining {
			c.leavingTargets[id] = now
		}
	}
}

// addGatheredTarget adds a target from a proxy's table, unless this member already knows it, knows that it is gone, or
// knows another target with its name or address.
func (c *Controller) addGatheredTarget(now time.Duration, row wire.Target) {
	id := row.ID()
	if c.targets[id] != nil || c.tombstones[id] != 0 {
		return
	}
	if len(c.conflictingTargets(row)) > 0 {
		c.markSuccessorsPending(row)
		return
	}
	t := newTarget(now, now-tuning.TargetHeartbeatTimeout/2, row)
	t.EjectionLeft, t.EjectedBy, t.Draining, t.WarmupLeft = 0, "", false, 0
	c.targets[id] = t
	if c.leavingTargets[id] != 0 {
		c.drainTarget(now, t, "it was recorded as leaving")
	}
	c.recordShareOffset(row.Service, row.Name, row.ShareOffset)
}

// markSuccessorsPending withholds requests from the other targets at the address of an earlier target until no table that
// lists the earlier one is in use: a proxy with such a table would send them requests meant for the earlier target.
func (c *Controller) markSuccessorsPending(earlier wire.Target) {
	for _, t := range c.targets {
		if t.Addr == earlier.Addr && t.Name != earlier.Name {
			t.Pending = true
		}
	}
}
