// This file makes the form of the table that a proxy is sent: as a delta to the table that it has, or complete.

package controlplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// deltaKey is a form of the latest table: a delta to the table of baseTerm and baseVersion, or, with no base, complete
// but for the state and the document that a proxy may have already. All that lack the same share one form.
type deltaKey struct {
	baseTerm, baseVersion   uint64
	withState, withDocument bool
}

// removedTarget is a target that a table lacks and the one before had.
type removedTarget struct {
	version uint64 // of that table
	id      wire.TargetID
}

// tableFor returns the form of the table that a proxy needs: a delta if it has a table of this leadership and the
// changes since are still known; otherwise the complete table, without the document if it has that.
func (c *Controller) tableFor(proxy *proxyState) *wire.Table {
	needsDocument, needsState := proxy.revision != c.table.Revision, proxy.stateIndex != c.table.StateIndex
	if proxy.stateIndex == 0 {
		return c.table
	}
	switch {
	case c.isOwnTable(proxy.tableKey) && proxy.tableKey.Version >= c.oldestDeltaBase:
		return c.delta(deltaKey{proxy.tableKey.Term, proxy.tableKey.Version, needsState, needsDocument})
	case proxy.tableKey.Epoch == c.table.Key.Epoch && !needsDocument:
		return c.delta(deltaKey{withState: needsState})
	}
	return c.table
}

// delta returns a form of the latest table, which it makes once.
func (c *Controller) delta(key deltaKey) *wire.Table {
	if made := c.deltas[key]; made != nil {
		return made
	}
	if c.deltas == nil {
		c.deltas = map[deltaKey]*wire.Table{}
	}
	c.deltas[key] = c.makeDelta(key)
	return c.deltas[key]
}

func (c *Controller) makeDelta(key deltaKey) *wire.Table {
	delta := *c.table
	if !key.withDocument {
		delta.Document = nil
	}
	if !key.withState {
		delta.State = nil
	}
	if key.baseVersion != 0 {
		c.leaveOutUnchanged(&delta, key)
	}
	return &delta
}

// leaveOutUnchanged makes a delta of a complete table: without the proxies and targets that are as in its base.
func (c *Controller) leaveOutUnchanged(delta *wire.Table, key deltaKey) {
	delta.DeltaBase = wire.TableKey{Epoch: delta.Key.Epoch, Term: key.baseTerm, Version: key.baseVersion}
	delta.Targets, delta.RemovedTargets = nil, nil
	if c.proxiesChangedInVersion <= key.baseVersion {
		delta.Proxies = nil
	}
	for i := range c.table.Targets {
		row := &c.table.Targets[i]
		// One that isn't a target any more since the table was made goes along: its version of change is gone with it.
		if t := c.targets[row.ID()]; t == nil || t.changedInVersion > key.baseVersion {
			delta.Targets = append(delta.Targets, *row)
		}
	}
	for _, removed := range c.removedTargets {
		if removed.version > key.baseVersion {
			delta.RemovedTargets = append(delta.RemovedTargets, removed.id)
		}
	}
}

// inFlightTimeout is how long tables of so many bytes may be on their way to a proxy.
func inFlightTimeout(bytes int) time.Duration {
	return tuning.PullEvery + time.Duration(bytes)*time.Second/tuning.SlowLink
}

// tableBytes estimates how many bytes a table takes in a message.
func tableBytes(table *wire.Table) int {
	rows := len(table.Targets) + len(table.Proxies) + len(table.RemovedTargets) + 1
	return len(table.Document) + len(table.State) + tuning.TableRowBytes*rows
}
