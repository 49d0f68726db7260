// This file makes the table that all proxies choose targets from, whenever there is something new to publish.

package controlplane

import (
	"bytes"
	"maps"
	"math"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// rebuildTable makes a table and sends it to the proxies, if that is due or refresh is set. Only the leader does.
func (c *Controller) rebuildTable(now time.Duration, refresh bool) {
	if c.leadership != Leading || !refresh && !c.isTableDue(now) {
		return
	}
	table := c.makeTable(now)
	c.recordRemovedTargets()
	c.counts.TablesMade++
	c.demandPublishedAt = now
	if refresh {
		c.tableRefreshedAt = now
	}
	c.table, c.deltas = table, nil
	c.sendTable(now)
}

// isTableDue says that the present table is out of date, and old enough to be replaced for that. If it is not old
// enough yet a later tick makes the table.
func (c *Controller) isTableDue(now time.Duration) bool {
	age := now - c.tableMadeAt[c.tableVersion%tuning.TablesKept]
	if age < c.tableSpacing(urgent) {
		return false
	}
	update := c.pendingUpdate(now)
	if update == unchanged {
		c.counts.TablesUnchanged++
		return false
	}
	return age >= c.tableSpacing(update)
}

// tableSpacing is the least time between two tables. An urgent update after a pause has one at once. Where updates come
// one after the other, as in a release, one table has all that came meanwhile: each costs the leader messages to and
// from every proxy, and those must not take a greater part of its time the more updates there are.
func (c *Controller) tableSpacing(update urgency) time.Duration {
	proxies := len(c.state.Proxies)
	if update == urgent {
		return min(time.Duration(proxies)*tuning.UrgentTableDelayPerProxy, tuning.UrgentTableDelayMax)
	}
	return tuning.TableEvery + time.Duration(len(c.targets)*proxies)*tuning.TableDelayPerRow
}

// makeTable returns the next version of the table, and notes for each part of it when it last changed.
func (c *Controller) makeTable(now time.Duration) *wire.Table {
	c.tableVersion++
	c.tableMadeAt[c.tableVersion%tuning.TablesKept] = now
	table := &wire.Table{
		Key:             wire.TableKey{Epoch: c.node.Epoch(), Term: c.node.Term(), Version: c.tableVersion},
		StateIndex:      c.state.Index,
		State:           c.state.EncodeForProxies(c.node.Members()),
		Revision:        c.state.Revision,
		Document:        c.documentForTables(),
		PreviousProxies: c.state.PreviousProxies,
		EmptiedDomains:  c.state.EmptiedDomains,
		Targets:         make([]wire.Target, 0, len(c.targets)),
	}
	for i := range c.state.Proxies {
		proxy := &c.state.Proxies[i]
		table.Proxies = append(table.Proxies, wire.Proxy{Name: proxy.Name, Addr: proxy.Addr, Domain: proxy.Domain, Live: c.isProxyLive(now, proxy.Name)})
	}
	if c.table == nil || !slices.Equal(table.Proxies, c.table.Proxies) {
		c.proxiesChangedInVersion = c.tableVersion
	}
	for _, id := range c.targetIDs() {
		t := c.targets[id]
		row := c.tableRow(now, t)
		t.recordPublished(now, &row, c.tableVersion)
		table.Targets = append(table.Targets, row)
	}
	return table
}

// recordPublished notes what a table says of a target, if that differs from the table before. A time left counts as
// different only if the end that it stands for has moved, and not as it passes.
func (t *target) recordPublished(now time.Duration, row *wire.Target, version uint64) {
	moved := func(published time.Duration, left int64) bool {
		return left > 0 && (published-now-time.Duration(left)).Abs() > tuning.TimeLeftStep
	}
	facts := routingFactsOf(row)
	if facts == t.publishedFacts && math.Abs(row.Demand-t.publishedDemand) < tuning.DemandStep/4 &&
		!moved(t.publishedEjectionEnd, row.EjectionLeft) && !moved(t.publishedWarmupEnd, row.WarmupLeft) {
		return
	}
	t.changedInVersion = version
	t.publishedFacts, t.publishedDemand = facts, row.Demand
	t.publishedEjectionEnd, t.publishedWarmupEnd = now+time.Duration(row.EjectionLeft), now+time.Duration(row.WarmupLeft)
}

// recordRemovedTargets notes which targets of the present table the one just made lacks. Where too many are noted the
// oldest are given up, and with them the deltas that would have to name them.
func (c *Controller) recordRemovedTargets() {
	if c.table != nil {
		for i := range c.table.Targets {
			if id := c.table.Targets[i].ID(); c.targets[id] == nil {
				c.removedTargets = append(c.removedTargets, removedTarget{c.tableVersion, id})
			}
		}
	}
	for len(c.removedTargets) > tuning.RemovedTargetsKept {
		c.oldestDeltaBase = max(c.oldestDeltaBase, c.removedTargets[0].version)
		c.removedTargets = c.removedTargets[1:]
	}
}

// sendTable sends the latest table to the live proxies of the membership, but for those with too much in flight, which
// get it once they pull.
func (c *Controller) sendTable(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(c.proxies)) {
		proxy := c.proxies[name]
		if !c.isProxyMember(name) || now-proxy.lastPullAt >= tuning.ProxyLive {
			continue
		}
		if now-proxy.sentAt > inFlightTimeout(proxy.bytesInFlight) {
			proxy.sentKey, proxy.bytesInFlight = wire.TableKey{}, 0
		}
		if proxy.bytesInFlight == 0 || proxy.bytesInFlight < tuning.TableBytesInFlight {
			c.sendPush(name, proxy, c.mayGrantLease(now, name, proxy))
			proxy.sentAt = max(proxy.sentAt, now)
		}
	}
}

// compressedDocument is a configuration document and its compressed form.
type compressedDocument struct{ plain, compressed []byte }

// documentForTables returns the document in the form that tables carry.
func (c *Controller) documentForTables() []byte {
	if !bytes.Equal(c.compressedDocument.plain, c.state.Document) {
		c.compressedDocument = compressedDocument{c.state.Document, wire.Compress(c.state.Document)}
	}
	return c.compressedDocument.compressed
}

// tableRow returns what a table made now says of a target.
func (c *Controller) tableRow(now time.Duration, t *target) wire.Target {
	row := t.Target
	// Targets of a service that the configuration doesn't name get no requests and no probes. So one that is unconfirmed
	// is pending only once its service is named.
	if _, named := c.activeConfig.Services[t.Service]; named {
		row.Pending = row.Pending || t.unconfirmed
	}
	until, policy := c.detector.Ejected(now, t.ID())
	row.EjectionLeft, row.EjectedBy = max(0, int64(until-now)), policy
	// Proxies look at heartbeats only where all targets that they could use are ejected. So heartbeats are published of
	// ejected targets only: else each late heartbeat would make a table.
	row.Heartbeating = policy == "" || t.isHeartbeating(now)
	row.WarmupLeft = t.warmupLeft(now)
	return row
}

// routingFacts are the parts of a table's row that a proxy decides by. A change of any of them makes a table.
type routingFacts struct {
	addr, domain, ejectedBy      string
	state                        wire.TargetState
	draining, pending, warmingUp bool
	heartbeatingWhileEjected     bool
	slots                        uint32
	published                    bool // the zero value are those of a target that no table has yet
}

func routingFactsOf(row *wire.Target) routingFacts {
	return routingFacts{
		addr: row.Addr, domain: row.Domain, state: row.State, ejectedBy: row.EjectedBy,
		draining: row.Draining, pending: row.Pending, warmingUp: row.WarmupLeft > 0,
		heartbeatingWhileEjected: row.Heartbeating && row.EjectionLeft > 0,
		slots:                    row.Slots,
		published:                true,
	}
}

// urgentlyChangedTo says that requests that were right by these facts may be wrong by the later ones.
func (f routingFacts) urgentlyChangedTo(later routingFacts) bool {
	if !f.published {
		return false
	}
	return f.addr != later.addr || f.domain != later.domain ||
		f.state != later.state && later.state != wire.TargetReady ||
		!f.draining && later.draining || !f.pending && later.pending ||
		f.warmingUp != later.warmingUp ||
		later.ejectedBy != "" && f.ejectedBy != later.ejectedBy ||
		f.heartbeatingWhileEjected && !later.heartbeatingWhileEjected
}

// urgency is how soon a table has to replace the present one.
type urgency int

const (
	unchanged  urgency = iota // it need not
	deferrable                // it may wait a moment, so that one table has several updates
	urgent                    // at once: requests go where they should not, or what is committed waits
)

// pendingUpdate says how soon a table has to be made for what it would say and the present one does not.
func (c *Controller) pendingUpdate(now time.Duration) urgency {
	// All that is committed changes the index, so that it need not be compared.
	if c.table == nil || c.table.StateIndex != c.state.Index || c.table.Revision != c.state.Revision || len(c.table.Proxies) != len(c.state.Proxies) {
		return urgent
	}
	result := unchanged
	for i := range c.table.Proxies {
		if proxy := &c.table.Proxies[i]; proxy.Live != c.isProxyLive(now, proxy.Name) {
			result = deferrable
		}
	}
	demandDue, unpublished := now-c.demandPublishedAt >= tuning.DemandEvery, 0
	for _, t := range c.targets {
		update := c.pendingTargetUpdate(now, t, demandDue)
		if update == urgent {
			return urgent
		}
		result = max(result, update)
		if !t.publishedFacts.published {
			unpublished++
		}
	}
	if len(c.table.Targets)+unpublished != len(c.targets) {
		return urgent // a target of the table is no more
	}
	return result
}

func (c *Controller) pendingTargetUpdate(now time.Duration, t *target, demandDue bool) urgency {
	row := c.tableRow(now, t)
	facts := routingFactsOf(&row)
	switch {
	case t.publishedFacts.urgentlyChangedTo(facts):
		return urgent
	case facts != t.publishedFacts:
		return deferrable
	case t.warmupExtended(now):
		return urgent
	case demandDue && math.Abs(row.Demand-t.publishedDemand) >= tuning.DemandStep:
		return deferrable
	}
	return unchanged
}

// targetChanged is rebuildTable after an event of one target. Without a decision in between only this target's own
// facts can have changed, so the others are not compared. What changes with time is found by the next tick.
func (c *Controller) targetChanged(now time.Duration, t *target) {
	if c.leadership != Leading {
		return
	}
	row := c.tableRow(now, t)
	if c.table != nil && c.decisionCount == c.decisionCountAtTable && routingFactsOf(&row) == t.publishedFacts && !t.warmupExtended(now) {
		c.counts.TablesUnchanged++
		return
	}
	c.decisionCountAtTable = c.decisionCount
	c.rebuildTable(now, false)
}
