// This file builds the table from which all proxies choose targets, and decides when a new one is due.

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

// rebuildTable makes a table and sends it to the proxies, if one is due or refresh is set. It does nothing unless this
// member is the leader.
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
	c.table, c.tableForms = table, nil
	c.sendTable(now)
}

// isTableDue reports whether the current table is out of date and old enough to be replaced. If it is out of date but not
// old enough yet, a later tick makes the next table.
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

// tableSpacing returns the minimum time between two tables. An urgent update is published at once if the last table is
// older than the minimum. Updates in quick succession, as during a rollout, are combined into one table: each table costs
// the leader messages to and from every proxy, and its load must not grow with the number of updates.
func (c *Controller) tableSpacing(update urgency) time.Duration {
	proxies := len(c.state.Proxies)
	if update == urgent {
		return min(time.Duration(proxies)*tuning.UrgentTableDelayPerProxy, tuning.UrgentTableDelayMax)
	}
	return tuning.TableEvery + time.Duration(len(c.targets)*proxies)*tuning.TableDelayPerRow
}

// makeTable returns the next version of the table. It records in which version each target and the list of proxies last
// changed.
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
		DepartedProxies: c.state.DepartedProxies,
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

// recordPublished records a target's row in a new table, if it differs from the row in the previous table. A remaining
// time counts as changed only if the end that it implies has moved by more than tuning.TimeLeftStep, not because time
// passes.
func (t *target) recordPublished(now time.Duration, row *wire.Target, version uint64) {
	moved := func(published time.Duration, left int64) bool {
		return left > 0 && (published-now-time.Duration(left)).Abs() > tuning.TimeLeftStep
	}
	routing := routingFieldsOf(row)
	if routing == t.publishedRouting && math.Abs(row.Demand-t.publishedDemand) < tuning.DemandStep/4 &&
		!moved(t.publishedEjectionEnd, row.EjectionLeft) && !moved(t.publishedWarmupEnd, row.WarmupLeft) {
		return
	}
	t.changedInVersion = version
	t.publishedRouting, t.publishedDemand = routing, row.Demand
	t.publishedEjectionEnd, t.publishedWarmupEnd = now+time.Duration(row.EjectionLeft), now+time.Duration(row.WarmupLeft)
}

// recordRemovedTargets records the targets of the previous table that no longer exist. It keeps at most
// tuning.RemovedTargetsKept of them: the oldest are dropped, and deltas that would have to name them can't be made any
// more.
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

// sendTable sends the latest table to the live proxies of the membership. Proxies with too many bytes in flight get it
// with the answer to a later pull instead.
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

// documentForTables returns the configuration document as tables carry it, compressed.
func (c *Controller) documentForTables() []byte {
	if !bytes.Equal(c.compressedDocument.plain, c.state.Document) {
		c.compressedDocument = compressedDocument{c.state.Document, wire.Compress(c.state.Document)}
	}
	return c.compressedDocument.compressed
}

// tableRow returns a target's row in a table made now.
func (c *Controller) tableRow(now time.Duration, t *target) wire.Target {
	row := t.Target
	// Targets of a service that is not in the configuration get neither requests nor probes, so an unconfirmed target
	// only becomes pending once its service is configured.
	if _, configured := c.activeConfig.Services[t.Service]; configured {
		row.Pending = row.Pending || t.unconfirmed
	}
	until, policy := c.detector.Ejected(now, t.ID())
	row.EjectionLeft, row.EjectedBy = max(0, int64(until-now)), policy
	// Proxies use Heartbeating only if all eligible targets are ejected. It is therefore published only for ejected
	// targets; otherwise every late heartbeat would cause a new table.
	row.Heartbeating = policy == "" || t.isHeartbeating(now)
	row.WarmupLeft = t.warmupLeft(now)
	return row
}

// routingFields are the parts of a target's row that affect proxies' routing. A change of any of them requires a new
// table.
type routingFields struct {
	addr, domain, ejectedBy      string
	state                        wire.TargetState
	draining, pending, warmingUp bool
	heartbeatingWhileEjected     bool
	slots                        uint32
	published                    bool // false in the zero value, which stands for a target that is in no table yet
}

// routingFieldsOf returns the fields of a row that affect proxies' routing.
func routingFieldsOf(row *wire.Target) routingFields {
	return routingFields{
		addr: row.Addr, domain: row.Domain, state: row.State, ejectedBy: row.EjectedBy,
		draining: row.Draining, pending: row.Pending, warmingUp: row.WarmupLeft > 0,
		heartbeatingWhileEjected: row.Heartbeating && row.EjectionLeft > 0,
		slots:                    row.Slots,
		published:                true,
	}
}

// needsUrgentUpdate reports whether requests that are routed by f may be misrouted now that the target has the later
// fields.
func (f routingFields) needsUrgentUpdate(later routingFields) bool {
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

// urgency is how soon a new table has to replace the current one.
type urgency int

const (
	unchanged  urgency = iota // no new table is needed
	deferrable                // it may wait briefly, so that one table combines several updates
	urgent                    // as soon as possible: requests are misrouted, or committed changes are not published
)

// pendingUpdate returns how soon a table has to be made for the changes since the current one.
func (c *Controller) pendingUpdate(now time.Duration) urgency {
	// Every committed change advances the state index, so the contents of the state need not be compared.
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
		if !t.publishedRouting.published {
			unpublished++
		}
	}
	if len(c.table.Targets)+unpublished != len(c.targets) {
		return urgent // a target in the table has been removed
	}
	return result
}

// pendingTargetUpdate returns how soon a table has to be made for the changes of one target. demandDue is set if
// changes of demand may be published again.
func (c *Controller) pendingTargetUpdate(now time.Duration, t *target, demandDue bool) urgency {
	row := c.tableRow(now, t)
	routing := routingFieldsOf(&row)
	switch {
	case t.publishedRouting.needsUrgentUpdate(routing):
		return urgent
	case routing != t.publishedRouting:
		return deferrable
	case t.warmupExtended(now):
		return urgent
	case demandDue && math.Abs(row.Demand-t.publishedDemand) >= tuning.DemandStep:
		return deferrable
	}
	return unchanged
}

// rebuildTableAfterTargetChange rebuilds the table, if one is due, after an event of one target. Unless the outlier
// policies have made a decision since all targets were last compared, only this target's routing fields can have changed,
// so the other targets are not compared. The next tick finds changes that are due to the passing of time.
func (c *Controller) rebuildTableAfterTargetChange(now time.Duration, t *target) {
	if c.leadership != Leading {
		return
	}
	row := c.tableRow(now, t)
	if c.table != nil && c.decisionCount == c.decisionCountAtTable && routingFieldsOf(&row) == t.publishedRouting && !t.warmupExtended(now) {
		c.counts.TablesUnchanged++
		return
	}
	c.decisionCountAtTable = c.decisionCount
	c.rebuildTable(now, false)
}
