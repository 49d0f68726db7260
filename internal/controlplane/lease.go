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
	incarnation      uint64
	pastIncarnations []uint64 // incarnations that this one replaced
	key              wire.TableKey
	stamp            int64
	pullAt           time.Duration
	grantAt          time.Duration
	movedAt          time.Duration // when it last stood on the table of the time, or came on
	revision, seq    uint64        // of the document and state that it holds
	tableMerged      bool          // its table of before this lead is merged
	sentKey          wire.TableKey // the latest table that it was sent and has not confirmed yet
	sentAt           time.Duration
	bytesInFlight    int // bytes of tables sent and not confirmed, about
}

// change tells which change to a table is meant, and whether it needs the state or the document too; with
// no base all rows of the table.
type change struct {
	term, base uint64
	state, doc bool
}

func (c *Controller) inRoster(name string) bool {
	return slices.ContainsFunc(c.state.Proxies, func(g state.ProxyEntry) bool { return g.Name == name })
}

func (c *Controller) pull(now time.Duration, m *wire.Message) {
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
	if t := m.Pull.Table; t != nil && c.lead == Recovering && t.Key.Epoch < c.node.Epoch() {
		if l, ok := state.RecoveredFrom(t); ok {
			c.addRecovered(l)
		}
	}
	if c.lead == NotLeading {
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
		g.incarnation, g.key, g.stamp, g.revision, g.seq = inc, wire.TableKey{}, 0, 0, 0
		g.sentKey, g.bytesInFlight = wire.TableKey{}, 0
	}
	g.pullAt = now
	g.stamp = max(g.stamp, m.Timestamp)
	if c.table == nil || g.key != m.Pull.Key || m.Pull.Key == c.table.Key {
		g.movedAt = now
	}
	g.key = m.Pull.Key
	if !g.key.Less(g.sentKey) || now-g.sentAt > flightTime(g.bytesInFlight) {
		g.sentKey, g.bytesInFlight = wire.TableKey{}, 0
	}
	if t := m.Pull.Table; t != nil && c.lead >= Gathering && !g.tableMerged {
		g.tableMerged = true
		c.merge(now, t)
		c.rebuild(now, false)
	}
	g.revision, g.seq = m.Pull.Revision, m.Pull.StateIndex
	if m.Pull.Key == (wire.TableKey{}) {
		g.tableMerged = true // nothing to tell
	}
	for _, s := range m.Pull.Stats {
		if t := c.targets[wire.TargetID{Service: s.Service, Name: s.Name, Incarnation: s.Incarnation}]; t != nil {
			if s.Successes > 0 || s.ProbeAnswered {
				t.okAt, t.unconfirmed, t.misses = now, false, 0
			}
			t.seen.Successes += s.Successes
			t.seen.Errors += s.Errors
			t.seen.Slow += s.Slow
			t.seen.TotalMs += s.TotalMs
			if s.HasDemand {
				t.Demand, t.HasDemand = s.Demand, true
			}
		}
	}
	if c.lead != Leading {
		c.push(m.From, g, false)
		return
	}
	// One that asks but does not take what it is sent hears nothing: it must not hold up
	// what is to be in force, so it is granted nothing more.
	c.push(m.From, g, c.inRoster(m.From) && now-g.movedAt < tuning.TableAckTimeout && !c.isLagging(now, g.key))
}

// lags says that a proxy stands on a table of this lead that has not been the latest for too long.
func (c *Controller) isLagging(now time.Duration, k wire.TableKey) bool {
	if !c.isOwnTable(k) || k.Version >= c.tableVersion {
		return false
	}
	return c.tableVersion-k.Version >= tuning.TablesKept || now-c.madeAt[(k.Version+1)%tuning.TablesKept] >= tuning.TableAckTimeout
}

// isOwnTable says that a key is one of this lead's tables, of its present term or of an earlier one.
func (c *Controller) isOwnTable(k wire.TableKey) bool {
	return c.table != nil && k.Epoch == c.table.Key.Epoch && k.Version != 0 && slices.Contains(c.leadTerms, k.Term)
}

// flight is how long tables of so many bytes may be under way.
func flightTime(bytes int) time.Duration {
	return tuning.PullEvery + time.Duration(bytes)*time.Second/tuning.SlowLink
}

// weight is about how many bytes a table takes on its way.
func tableBytes(t *wire.Table) int {
	return len(t.Document) + len(t.State) + tuning.TableRowBytes*(len(t.Targets)+len(t.Proxies)+len(t.RemovedTargets)+1)
}

// push sends a proxy what it lacks, unless enough is under way to it: it asks again when it
// has that. A lease runs from the proxy's own stamp, and is for the table that it names or
// that comes with it.
func (c *Controller) push(name string, g *proxyState, grant bool) {
	p := &wire.Push{LeaseGranted: grant, WantTable: !g.tableMerged}
	if c.lead == Leading && c.table != nil {
		p.Key = c.table.Key
		if g.key != c.table.Key {
			p.Table = c.tableFor(g)
			if n := tableBytes(p.Table); g.bytesInFlight == 0 || g.bytesInFlight+n <= tuning.TableBytesInFlight {
				g.sentKey, g.sentAt = p.Key, g.pullAt
				g.bytesInFlight += n
			} else {
				p.Table = nil
				if c.isOwnTable(g.key) {
					p.Key = g.key
				}
			}
		}
		if grant {
			g.grantAt = max(g.grantAt, g.pullAt)
		}
	}
	// The stamp is the proxy's own and means nothing to a later process of its name.
	c.send(name, &wire.Message{Kind: wire.KindPush, Epoch: c.node.Epoch(), Term: c.node.Term(), Timestamp: g.stamp, Disk: g.incarnation, Push: p})
}

// tableFor is the table for a proxy: only what changed since the one that it holds, if that
// is of this lead; else all, but for a document and state that it has.
func (c *Controller) tableFor(g *proxyState) *wire.Table {
	doc, state := g.revision != c.table.Revision, g.seq != c.table.StateIndex
	if c.isOwnTable(g.key) && g.key.Version >= c.oldestDeltaBase && g.seq != 0 {
		k := change{g.key.Term, g.key.Version, state, doc}
		if c.changes[k] == nil {
			c.keepChange(k, c.tableSince(k))
		}
		return c.changes[k]
	}
	if g.key.Epoch == c.table.Key.Epoch && !doc && g.seq != 0 {
		k := change{state: state}
		if c.changes[k] == nil {
			t := *c.table
			if t.Document = nil; !state {
				t.State = nil
			}
			c.keepChange(k, &t)
		}
		return c.changes[k]
	}
	return c.table
}

// keepChange keeps a form of the present table for all who need that.
func (c *Controller) keepChange(k change, t *wire.Table) {
	if c.changes == nil {
		c.changes = map[change]*wire.Table{}
	}
	c.changes[k] = t
}

// tableSince is the table as a change to an earlier one.
func (c *Controller) tableSince(k change) *wire.Table {
	t := *c.table
	t.DeltaBase, t.Targets, t.RemovedTargets = wire.TableKey{Epoch: t.Key.Epoch, Term: k.term, Version: k.base}, nil, nil
	if !k.doc {
		t.Document = nil
	}
	if !k.state {
		t.State = nil
	}
	if c.rosterTableVersion <= k.base {
		t.Proxies = nil
	}
	for i := range c.table.Targets {
		if w := &c.table.Targets[i]; c.targets[w.ID()] == nil || c.targets[w.ID()].changedInVersion > k.base {
			t.Targets = append(t.Targets, *w)
		}
	}
	for _, o := range c.withdrawnTargets {
		if o.ver > k.base {
			t.RemovedTargets = append(t.RemovedTargets, o.id)
		}
	}
	return &t
}

func (c *Controller) live(now time.Duration, name string) bool {
	g := c.proxies[name]
	return g != nil && g.pullAt != 0 && now-g.pullAt < tuning.ProxyLive
}
