// This file makes the form of the table that is sent to a proxy: a delta to a table that the proxy has, or a complete
// table.

package controlplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// tableFormKey identifies a form of the latest table: a delta to the table of baseTerm and baseVersion or, if these are 0,
// all proxies and targets. The state and the document are included only if set. Proxies that lack the same parts share
// a form.
type tableFormKey struct {
	baseTerm, baseVersion   uint64
	withState, withDocument bool
}

// removedTarget is a target that was in one table and is no longer in the next one.
type removedTarget struct {
	version uint64 // of the first table without the target
	id      wire.TargetID
}

// tableFor returns the form of the table that a proxy needs: a delta, if the proxy has a table of this leadership and the
// removals since then are still known; otherwise all proxies and targets, without the document if the proxy has it.
func (c *Controller) tableFor(proxy *proxyState) *wire.Table {
	needsDocument, needsState := proxy.revision != c.table.Revision, proxy.stateIndex != c.table.StateIndex
	if proxy.stateIndex == 0 {
		return c.table
	}
	switch {
	case c.isOwnTable(proxy.tableKey) && proxy.tableKey.Version >= c.oldestDeltaBase:
		return c.tableForm(tableFormKey{proxy.tableKey.Term, proxy.tableKey.Version, needsState, needsDocument})
	case proxy.tableKey.Epoch == c.table.Key.Epoch && !needsDocument:
		return c.tableForm(tableFormKey{withState: needsState})
	}
	return c.table
}

// tableForm returns a form of the latest table. It makes each form once per table.
func (c *Controller) tableForm(key tableFormKey) *wire.Table {
	if made := c.tableForms[key]; made != nil {
		return made
	}
	if c.tableForms == nil {
		c.tableForms = map[tableFormKey]*wire.Table{}
	}
	c.tableForms[key] = c.makeTableForm(key)
	return c.tableForms[key]
}

func (c *Controller) makeTableForm(key tableFormKey) *wire.Table {
	form := *c.table
	if !key.withDocument {
		form.Document = nil
	}
	if !key.withState {
		form.State = nil
	}
	if key.baseVersion != 0 {
		c.omitUnchanged(&form, key)
	}
	return &form
}

// omitUnchanged turns a complete table into a delta: it omits proxies and targets that are the same as in the base, and
// adds the targets removed since.
func (c *Controller) omitUnchanged(delta *wire.Table, key tableFormKey) {
	delta.DeltaBase = wire.TableKey{Epoch: delta.Key.Epoch, Term: key.baseTerm, Version: key.baseVersion}
	delta.Targets, delta.RemovedTargets = nil, nil
	if c.proxiesChangedInVersion <= key.baseVersion {
		delta.Proxies = nil
	}
	for i := range c.table.Targets {
		row := &c.table.Targets[i]
		// A target removed after the table was made is included: the version of its last change is no longer known.
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

// inFlightTimeout returns how long unconfirmed tables of a total size count as in flight to a proxy, after which they are
// considered lost. It allows for the transfer over a link of tuning.SlowLink.
func inFlightTimeout(bytes int) time.Duration {
	return tuning.PullEvery + time.Duration(bytes)*time.Second/tuning.SlowLink
}

// tableBytes estimates the size of a table in a message, in bytes.
func tableBytes(table *wire.Table) int {
	rows := len(table.Targets) + len(table.Proxies) + len(table.RemovedTargets) + 1
	return len(table.Document) + len(table.State) + tuning.TableRowBytes*rows
}
