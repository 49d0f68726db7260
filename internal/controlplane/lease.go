// This file leases leases to the proxies that pull from the leader, and sends each
// the part of the table that it lacks.

package controlplane

import (
	"myrtlefold/internal/shared/state"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

type proxyState struct {
	incarnation          uint64
	pastIncarnations     []uint64 // incarnations that this one replaced
	tableKey             wire.TableKey
	pullTimestamp        int64
	lastPullAt           time.Duration
	leaseGrantedAt       time.Duration
	progressAt           time.Duration // when it last stood on the table of the time, or came on
	revision, stateIndex uint64        // of the document and state that it holds
	tableMerged          bool          // its table of before this lead is merged
	sentKey              wire.TableKey // the latest table that it was sent and has not confirmed yet
	sentAt               time.Duration
	bytesInFlight        int // bytes of tables sent and not confirmed, about
}

// deltaKey tells which deltaKey to a table is meant, and whether it needs the state or the document too; with
// no base all rows of the table.
type deltaKey struct {
	baseTerm, baseVersion   uint64
	withState, withDocument bool
}

func (c *Controller) isProxyMember(name string) bool {
	return slices.ContainsFunc(c.state.Proxies, func(g state.ProxyEntry) bool { return g.Name == name })
}

func (c *Controller) handlePull(now time.Duration, m *wire.Message) {
	if m.Pull == nil {
		return
	}
	k, inc := c.directory[m.From], m.Pull.Self.Incarnation
	switch {
	case m.Pull.Self.Name == "": // it goes on as it said before
		if k == nil || k.Incarnation != m.Disk {
			return // and tells all of itself when it hears nothing
		}
		k.LastContact, inc = now, m.Disk
	case k == nil || k.Incarnation != inc:
		c.directory.Merge(now, c.settings.Self.Name, &wire.Hello{Self: m.Pull.Self})
	default:
		k.LastContact, k.Daemon = now, m.Pull.Self
	}
	if t := m.Pull.Table; t != nil && c.leadership == Recovering && t.Key.Epoch < c.node.Epoch() {
		if l, ok := state.RecoveredFrom(t); ok {
			c.addRecovered(l)
		}
	}
	if c.leadership == NotLeading {
		return
	}
	g := c.proxies[m.From]
	if g == nil {
		g = &proxyState{}
		c.proxies[m.From] = g
	}
	if inc != g.incarnation {
		if slices.Contains(g.pastIncarnations, inc) {
			return // a late word of a process that is gone
		}
		g.pastIncarnations = append(g.pastIncarnations, g.incarnation)
		g.incarnation, g.tableKey, g.pullTimestamp, g.revision, g.stateIndex = inc, wire.TableKey{}, 0, 0, 0
		g.sentKey, g.bytesInFlight = wire.TableKey{}, 0
	}
	g.lastPullAt = now
	g.pullTimestamp = max(g.pullTimestamp, m.Timestamp)
	if c.table == nil || g.tableKey != m.Pull.Key || m.Pull.Key == c.table.Key {
		g.progressAt = now
	}
	g.tableKey = m.Pull.Key
	if !g.tableKey.Less(g.sentKey) || now-g.sentAt > flightTime(g.bytesInFlight) {
		g.sentKey, g.bytesInFlight = wire.TableKey{}, 0
	}
	if t := m.Pull.Table; t != nil && c.leadership >= Gathering && !g.tableMerged {
		g.tableMerged = true
		c.mergeTable(now, t)
		c.rebuildTable(now, false)
	}
	g.revision, g.stateIndex = m.Pull.Revision, m.Pull.StateIndex
	if m.Pull.Key == (wire.TableKey{}) {
		g.tableMerged = true // nothing to tell
	}
	for _, s := range m.Pull.Stats {
		if t := c.targets[wire.TargetID{Service: s.Service, Name: s.Name, Incarnation: s.Incarnation}]; t != nil {
			if s.Successes > 0 || s.ProbeAnswered {
				t.lastSuccessAt, t.unconfirmed, t.consecutiveMisses = now, false, 0
			}
			t.stats.Successes += s.Successes
			t.stats.Errors += s.Errors
			t.stats.Slow += s.Slow
			t.stats.TotalMs += s.TotalMs
			if s.HasDemand {
				t.Demand, t.HasDemand = s.Demand, true
			}
		}
	}
	if c.leadership != Leading {
		c.sendPush(m.From, g, false)
		return
	}
	// One that asks but does not take what it is sent hears nothing: it must not hold up
	// what is to be in force, so it is granted nothing more.
	c.sendPush(m.From, g, c.isProxyMember(m.From) && now-g.progressAt < tuning.TableAckTimeout && !c.isLagging(now, g.tableKey))
}

// lags says that a proxy stands on a table of this lead that has not been the latest for too long.
func (c *Controller) isLagging(now time.Duration, k wire.TableKey) bool {
	if !c.isOwnTable(k) || k.Version >= c.tableVersion {
		return false
	}
	return c.tableVersion-k.Version >= tuning.TablesKept || now-c.tableMadeAt[(k.Version+1)%tuning.TablesKept] >= tuning.TableAckTimeout
}

// isOwnTable says that a key is one of this lead's tables, of its present term or of an earlier one.
func (c *Controller) isOwnTable(k wire.TableKey) bool {
	return c.table != nil && k.Epoch == c.table.Key.Epoch && k.Version != 0 && slices.Contains(c.leadershipTerms, k.Term)
}

// flight is how long tables of so many bytes may be under way.
func flightTime(bytes int) time.Duration {
	return tuning.PullEvery + time.Duration(bytes)*time.Second/tuning.SlowLink
}

// weight is about how many bytes a table takes on its way.
func tableBytes(t *wire.Table) int {
	return len(t.Document) + len(t.State) + tuning.TableRowBytes*(len(t.Targets)+len(t.Proxies)+len(t.RemovedTargets)+1)
}

// sendPush sends a proxy what it lacks, unless enough is under way to it: it asks again when it
// has that. A lease runs from the proxy's own stamp, and is for the table that it names or
// that comes with it.
func (c *Controller) sendPush(name string, g *proxyState, grant bool) {
	p := &wire.Push{LeaseGranted: grant, WantTable: !g.tableMerged}
	if c.leadership == Leading && c.table != nil {
		p.Key = c.table.Key
		if g.tableKey != c.table.Key {
			p.Table = c.tableFor(g)
			if n := tableBytes(p.Table); g.bytesInFlight == 0 || g.bytesInFlight+n <= tuning.TableBytesInFlight {
				g.sentKey, g.sentAt = p.Key, g.lastPullAt
				g.bytesInFlight += n
			} else {
				p.Table = nil
				if c.isOwnTable(g.tableKey) {
					p.Key = g.tableKey
				}
			}
		}
		if grant {
			g.leaseGrantedAt = max(g.leaseGrantedAt, g.lastPullAt)
		}
	}
	// The stamp is the proxy's own and means nothing to a later process of its name.
	c.send(name, &wire.Message{Kind: wire.KindPush, Epoch: c.node.Epoch(), Term: c.node.Term(), Timestamp: g.pullTimestamp, Disk: g.incarnation, Push: p})
}

// tableFor is the table for a proxy: only what changed since the one that it holds, if that
// is of this lead; else all, but for a document and state that it has.
func (c *Controller) tableFor(g *proxyState) *wire.Table {
	doc, state := g.revision != c.table.Revision, g.stateIndex != c.table.StateIndex
	if c.isOwnTable(g.tableKey) && g.tableKey.Version >= c.oldestDeltaBase && g.stateIndex != 0 {
		k := deltaKey{g.tableKey.Term, g.tableKey.Version, state, doc}
		if c.deltas[k] == nil {
			c.cacheDelta(k, c.makeDelta(k))
		}
		return c.deltas[k]
	}
	if g.tableKey.Epoch == c.table.Key.Epoch && !doc && g.stateIndex != 0 {
		k := deltaKey{withState: state}
		if c.deltas[k] == nil {
			t := *c.table
			if t.Document = nil; !state {
				t.State = nil
			}
			c.cacheDelta(k, &t)
		}
		return c.deltas[k]
	}
	return c.table
}

// cacheDelta keeps a form of the present table for all who need that.
func (c *Controller) cacheDelta(k deltaKey, t *wire.Table) {
	if c.deltas == nil {
		c.deltas = map[deltaKey]*wire.Table{}
	}
	c.deltas[k] = t
}

// makeDelta is the table as a change to an earlier one.
func (c *Controller) makeDelta(k deltaKey) *wire.Table {
	t := *c.table
	t.DeltaBase, t.Targets, t.RemovedTargets = wire.TableKey{Epoch: t.Key.Epoch, Term: k.baseTerm, Version: k.baseVersion}, nil, nil
	if !k.withDocument {
		t.Document = nil
	}
	if !k.withState {
		t.State = nil
	}
	if c.proxiesChangedInVersion <= k.baseVersion {
		t.Proxies = nil
	}
	for i := range c.table.Targets {
		if w := &c.table.Targets[i]; c.targets[w.ID()] == nil || c.targets[w.ID()].changedInVersion > k.baseVersion {
			t.Targets = append(t.Targets, *w)
		}
	}
	for _, o := range c.removedTargets {
		if o.version > k.baseVersion {
			t.RemovedTargets = append(t.RemovedTargets, o.id)
		}
	}
	return &t
}

func (c *Controller) isProxyLive(now time.Duration, name string) bool {
	g := c.proxies[name]
	return g != nil && g.lastPullAt != 0 && now-g.lastPullAt < tuning.ProxyLive
}
