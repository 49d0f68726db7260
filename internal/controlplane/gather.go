// This file merges the tables that proxies have from before this leadership: targets, drains and ejections that are not
// in the log come back from them.

package controlplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// mergeTable merges a proxy's table: drains, warm-ups and ejections of any, and targets only of the latest.
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
			c.drainTarget(now, t, "a proxy's table holds it")
		}
		t.warmupEnd = max(t.warmupEnd, now+time.Duration(row.WarmupLeft))
		c.warmUpAfterRestore(t)
		// Once this member leads its own detector decides, and the proxy's ejection may be one that it has ended.
		if row.EjectionLeft > 0 && c.leadership == Gathering {
			c.detector.Restore(now, row.ID(), row.EjectedBy, time.Duration(row.EjectionLeft))
		}
	}
}

// removeUnconfirmedTargets removes the targets that are known only from an earlier table or the log. The later table
// has those that are still there.
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

// addGatheredTarget adds a target of a proxy's table, unless this member knows of it, or of one that came after it.
func (c *Controller) addGatheredTarget(now time.Duration, row wire.Target) {
	id := row.ID()
	if c.targets[id] != nil || c.tombstones[id] != 0 {
		return
	}
	if len(c.conflictingTargets(row)) > 0 {
		c.holdBackSuccessors(row)
		return
	}
	t := newTarget(now, now-tuning.TargetHeartbeatTimeout/2, row)
	t.EjectionLeft, t.EjectedBy, t.Draining, t.WarmupLeft = 0, "", false, 0
	c.targets[id] = t
	if c.leavingTargets[id] != 0 {
		c.drainTarget(now, t, "it was leaving, as agreed")
	}
	c.recordShareOffset(row.Service, row.Name, row.ShareOffset)
}

// holdBackSuccessors has other targets at the address of a target get no requests until that is out of every table: a
// proxy that has this table would send them requests meant for it.
func (c *Controller) holdBackSuccessors(earlier wire.Target) {
	for _, t := range c.targets {
		if t.Addr == earlier.Addr && t.Name != earlier.Name {
			t.Pending = true
		}
	}
}
