// This file makes the forwarding table that all proxies choose targets from, when
// it has something new to say.

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

type removedTarget struct {
	version uint64
	id      wire.TargetID
}

// rebuildTable makes the table anew and sends it everywhere, if it says anything new
// (the signature decides) or if the regular refresh is due.
func (c *Controller) rebuildTable(now time.Duration, refresh bool) {
	if c.leadership != Leading {
		return
	}
	if !refresh {
		age := now - c.tableMadeAt[c.tableVersion%tuning.TablesKept]
		if age < c.tableSpacing(urgent) {
			return // the next tick sees whatever it is
		}
		news := c.pendingUpdate(now)
		if news == unchanged {
			c.counts.TablesUnchanged++
			return
		}
		if age < c.tableSpacing(news) {
			return
		}
	}
	t := &wire.Table{PreviousProxies: c.state.PreviousProxies, StateIndex: c.state.Index, Revision: c.state.Revision, Document: c.compressedDocument(), State: c.state.EncodeForProxies(c.node.Members()), EmptiedDomains: c.state.EmptiedDomains}
	c.tableVersion++
	c.tableMadeAt[c.tableVersion%tuning.TablesKept] = now
	for _, r := range c.state.Proxies {
		t.Proxies = append(t.Proxies, wire.Proxy{Name: r.Name, Addr: r.Addr, Domain: r.Domain, Live: c.isProxyLive(now, r.Name)})
	}
	if c.table == nil || !slices.Equal(t.Proxies, c.table.Proxies) {
		c.proxiesChangedInVersion = c.tableVersion
	}
	t.Targets = make([]wire.Target, 0, len(c.targets))
	for _, id := range c.targetIDs() {
		w, o := c.tableRow(now, c.targets[id]), c.targets[id]
		moved := func(was, left int64) bool { return left > 0 && max(was-left, left-was) > int64(tuning.TimeLeftStep) }
		if f := routingFactsOf(&w); f != o.publishedFacts || math.Abs(w.Demand-o.publishedDemand) >= tuning.DemandStep/4 ||
			moved(int64(o.publishedEjectionEnd-now), w.EjectionLeft) || moved(int64(o.publishedWarmupEnd-now), w.WarmupLeft) {
			o.publishedFacts, o.publishedDemand, o.changedInVersion = f, w.Demand, c.tableVersion
			o.publishedEjectionEnd, o.publishedWarmupEnd = now+time.Duration(w.EjectionLeft), now+time.Duration(w.WarmupLeft)
		}
		t.Targets = append(t.Targets, w)
	}
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
	c.counts.TablesMade++
	c.demandPublishedAt = now
	if refresh {
		c.tableRefreshedAt = now
	}
	t.Key = wire.TableKey{Epoch: c.node.Epoch(), Term: c.node.Term(), Version: c.tableVersion}
	c.table, c.deltas = t, nil
	for _, n := range slices.Sorted(maps.Keys(c.proxies)) {
		if g := c.proxies[n]; c.isProxyMember(n) && now-g.lastPullAt < tuning.ProxyLive {
			if now-g.sentAt > flightTime(g.bytesInFlight) {
				g.sentKey, g.bytesInFlight = wire.TableKey{}, 0
			}
			if g.bytesInFlight == 0 || g.bytesInFlight < tuning.TableBytesInFlight {
				c.sendPush(n, g, now-g.progressAt < tuning.TableAckTimeout && !c.isLagging(now, g.tableKey))
				g.sentAt = max(g.sentAt, now)
			}
		}
	}
}

// tableSpacing is the least time between two tables. What is urgent has one at once after a pause, and
// where it comes again and again, as in a release, one table tells of all that came meanwhile: a table
// costs the leader messages to and from every proxy, and may not take more of it the more there is to say.
func (c *Controller) tableSpacing(news urgency) time.Duration {
	proxies := len(c.state.Proxies)
	if news == urgent {
		return min(time.Duration(proxies)*tuning.UrgentTableDelayPerProxy, tuning.UrgentTableDelayMax)
	}
	return tuning.TableEvery + time.Duration(len(c.targets)*proxies)*tuning.TableDelayPerRow
}

// compressed is the document as tables carry it.
func (c *Controller) compressedDocument() []byte {
	if !bytes.Equal(c.compressedDocumentCache.plain, c.state.Document) {
		c.compressedDocumentCache.plain, c.compressedDocumentCache.doc = c.state.Document, wire.Compress(c.state.Document)
	}
	return c.compressedDocumentCache.doc
}

// facts are what decides in a table about one target; the rest is carried along.
type routingFacts struct {
	addr, domain, ejectedBy                                           string
	state                                                             wire.TargetState
	draining, pending, heartbeatingWhileEjected, warmingUp, published bool
	slots                                                             uint32
}

func routingFactsOf(w *wire.Target) routingFacts {
	return routingFacts{w.Addr, w.Domain, w.EjectedBy, w.State, w.Draining, w.Pending, w.Heartbeating && w.EjectionLeft > 0, w.WarmupLeft > 0, true, w.Slots}
}

// colder says that a target is cold for longer than the last table said; each word's
// own way here moves the end a little, which is none.
func (t *target) warmupExtended(now time.Duration) bool {
	return t.warmupEnd > now && t.warmupEnd > t.publishedWarmupEnd+tuning.TimeLeftStep
}

// tabled is a target as a table made now says it.
func (c *Controller) tableRow(now time.Duration, t *target) wire.Target {
	w := t.Target
	if _, named := c.activeConfig.Services[t.Service]; named { // else it is told once that matters
		w.Pending = w.Pending || t.unconfirmed
	}
	until, why := c.detector.Ejected(now, t.ID())
	w.EjectionLeft, w.EjectedBy = max(0, int64(until-now)), why
	w.Heartbeating = why == "" || t.isHeartbeating(now) // asked only where all that could be used are barred
	w.WarmupLeft = t.warmupLeft(now)
	return w
}

// news are how pressing it is to say something else than the present table.
type urgency int

const (
	unchanged  urgency = iota
	deferrable         // it may wait a moment, so that much is said at once
	urgent
)

// news is what a table made now would say that the present one does not. All that is agreed
// shows in the log's index. What takes something away from requests is pressing.
func (c *Controller) pendingUpdate(now time.Duration) urgency {
	if c.table == nil || c.table.StateIndex != c.state.Index || c.table.Revision != c.state.Revision || len(c.table.Proxies) != len(c.state.Proxies) {
		return urgent
	}
	r, fresh := unchanged, 0
	for i := range c.table.Proxies {
		if g := &c.table.Proxies[i]; g.Live != c.isProxyLive(now, g.Name) {
			r = deferrable
		}
	}
	due := now-c.demandPublishedAt >= tuning.DemandEvery
	for _, t := range c.targets {
		w := c.tableRow(now, t)
		if f := routingFactsOf(&w); f != t.publishedFacts {
			if t.publishedFacts.worse(f) {
				return urgent
			}
			if r = deferrable; !t.publishedFacts.published {
				fresh++
			}
		} else if t.warmupExtended(now) {
			return urgent
		} else if due && math.Abs(w.Demand-t.publishedDemand) >= tuning.DemandStep {
			r = deferrable
		}
	}
	if len(c.table.Targets)+fresh != len(c.targets) {
		return urgent // one is gone
	}
	return r
}

// worse says that requests that were right by the facts before may be wrong by later ones.
func (f routingFacts) worse(o routingFacts) bool {
	return f.published && (f.addr != o.addr || f.domain != o.domain || o.draining && !f.draining || o.pending && !f.pending || o.warmingUp != f.warmingUp ||
		o.ejectedBy != "" && f.ejectedBy != o.ejectedBy || f.heartbeatingWhileEjected && !o.heartbeatingWhileEjected || f.state != o.state && o.state != wire.TargetReady)
}

// moved is rebuild after an event of one target: if nothing was decided, only its own
// facts can have changed, and what time changes is seen at the next tick.
func (c *Controller) targetChanged(now time.Duration, t *target) {
	if c.leadership != Leading {
		return
	}
	if w := c.tableRow(now, t); c.table != nil && c.decisionCount == c.decisionCountAtTable && routingFactsOf(&w) == t.publishedFacts && !t.warmupExtended(now) {
		c.counts.TablesUnchanged++
		return
	}
	c.decisionCountAtTable = c.decisionCount
	c.rebuildTable(now, false)
}
