// This file asks the leader for the table and a lease, and without one the other
// proxies.

package dataplane

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// hasPeerMajority says that a majority of the roster, and of the one before while that still
// counts, answers.
func (g *Proxy) hasPeerMajority(now time.Duration) bool {
	most := func(n int, name func(int) string) bool {
		k := 0
		for i := range n {
			if name(i) == g.settings.Self.Name {
				if g.joined {
					k++
				}
			} else if at, ok := g.peerConfirmedAt[name(i)]; ok && now < at+tuning.PeerLease {
				k++
			}
		}
		return 2*k > n
	}
	return most(len(g.table.Proxies), func(i int) string { return g.table.Proxies[i].Name }) &&
		(len(g.table.PreviousProxies) == 0 || most(len(g.table.PreviousProxies), func(i int) string { return g.table.PreviousProxies[i] }))
}

// leader is the one that the core members last heard name in the latest epoch and term.
func (g *Proxy) leader(now time.Duration) string { return g.directory.Leader(now) }

// sendHellos tells the core daemons of this proxy. What it remembers is long: it is told to those
// that were heard lately, once to each process and then now and again.
func (g *Proxy) sendHellos(now time.Duration) {
	g.lastHelloAt = now
	self, memory := g.selfReport(), []byte(nil)
	sent := map[string]bool{}
	for _, n := range slices.Sorted(maps.Keys(g.directory)) {
		k := g.directory[n]
		if now-k.LastContact > tuning.DaemonExpiry {
			delete(g.directory, n)
		} else if k.Kind == wire.ControlDaemon {
			sent[k.Addr] = true
			h := &wire.Hello{Self: self}
			who := fmt.Sprint(n, " ", k.Incarnation)
			if at, ok := g.recoveredStateSentAt[who]; g.state != Leased && now-k.LastContact < 4*tuning.HelloEvery && (!ok || now-at >= tuning.RecoveredStateEvery) {
				if memory == nil {
					memory = g.recoveredState()
				}
				if h.RecoveredState = memory; len(memory) > 0 {
					g.recoveredStateSentAt[who] = now
				}
			}
			g.emit(statemachine.Send{Addr: k.Addr, Message: &wire.Message{Kind: wire.KindHello, From: g.settings.Self.Name, Hello: h}})
		}
	}
	maps.DeleteFunc(g.recoveredStateSentAt, func(_ string, at time.Duration) bool { return now-at >= tuning.RecoveredStateEvery })
	for _, a := range g.settings.Seeds {
		if !sent[a] && a != g.settings.Self.Addr {
			g.emit(statemachine.Send{Addr: a, Message: &wire.Message{Kind: wire.KindHello, From: g.settings.Self.Name, Hello: &wire.Hello{Self: self}}})
		}
	}
}

// touch asks peers whether they still stand on no later table: a part of the roster at
// each turn, those first who were asked longest ago, so that all are within a touch lease
// and no proxy's work grows with more than the roster.
func (g *Proxy) pollPeers(now time.Duration) {
	for n := range g.peerAskedAt {
		if !slices.ContainsFunc(g.table.Proxies, func(r wire.Proxy) bool { return r.Name == n }) {
			delete(g.peerAskedAt, n)
		}
	}
	var who []*wire.Proxy
	for i := range g.table.Proxies {
		if r := &g.table.Proxies[i]; r.Name != g.settings.Self.Name {
			who = append(who, r)
		}
	}
	if len(who) > 0 { // each begins elsewhere, so that not all ask the same ones at once
		k := int(g.nameHash % uint64(len(who)))
		who = append(who[k:], who[:k]...)
	}
	slices.SortStableFunc(who, func(a, b *wire.Proxy) int { return cmp.Compare(g.peerAskedAt[a.Name], g.peerAskedAt[b.Name]) })
	n := max(tuning.PeerLeaseFanout, (len(who)+tuning.PeerLeaseTurns-1)/tuning.PeerLeaseTurns)
	self := g.selfReport()
	for i, r := range who[:min(n, len(who))] {
		if k := g.directory[r.Name]; k == nil {
			g.directory[r.Name] = &discovery.Peer{Daemon: wire.Daemon{Name: r.Name, Kind: wire.ProxyDaemon, Addr: r.Addr, Domain: r.Domain}, LastContact: now}
		}
		g.peerAskedAt[r.Name] = now
		// Back from a freeze or a cut, what peers hold against targets is wanted too.
		m := wire.Pull{Self: self, Key: g.table.Key, WantTable: !g.Serving() && (len(who) <= tuning.PeerLeaseFanout || i < tuning.PeerTableFanout)}
		g.send(r.Name, &wire.Message{Kind: wire.KindPull, Timestamp: int64(now), Disk: g.settings.Self.Incarnation, Pull: &m})
	}
}

// alone says that the leader is out of reach, for one that has ever been part of the fleet;
// another waits for the leader while that speaks to it.
func (g *Proxy) hasNoLeader(now time.Duration) bool {
	return g.doubtsLeader(now) && (g.joined || g.leaderHeardAt == 0 || now-g.leaderHeardAt > tuning.ProxyLive)
}

// memory is what this proxy tells a core that has lost its own.
func (g *Proxy) recoveredState() []byte {
	if g.table == nil || g.state == Leased {
		return nil
	}
	l, ok := state.RecoveredFrom(g.table)
	if !ok {
		return nil
	}
	b, _ := json.Marshal(l)
	return wire.Compress(b)
}

// doubts says that the leader has been silent for over two pulls: peers are
// touched and targets probed from then on, so that both are known when the lease lapses.
func (g *Proxy) doubtsLeader(now time.Duration) bool {
	after := tuning.LeaderSuspectAfter
	if g.table != nil && len(g.table.Proxies) > tuning.PeerLeaseFanout {
		after = tuning.LeaderSuspectAfterLarge
	}
	return now > g.leaseUntil-tuning.ProxyLease+after
}

func (g *Proxy) pullTable(now time.Duration) {
	g.lastPullAt, g.pullAtNextTick = now, false
	l := g.leader(now)
	if l == "" {
		return
	}
	// The leader that leases knows this proxy; another is told all of it.
	p := &wire.Pull{}
	if d := g.selfReport(); d != g.reportedSelf || l != g.reportedTo || g.state != Leased || g.doubtsLeader(now) {
		p.Self, g.reportedSelf, g.reportedTo = d, d, l
	}
	if g.table != nil {
		p.Key, p.Revision, p.StateIndex = g.table.Key, g.table.Revision, g.table.StateIndex
		if g.leaderWantsTable {
			p.Table = g.exportTable(now)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(g.targets), wire.TargetID.Compare) {
		if t := g.targets[id]; t.statistics.Successes+t.statistics.Errors > 0 || t.statistics.ProbeAnswered {
			s := t.statistics
			s.Service, s.Name, s.Incarnation = id.Service, id.Name, id.Incarnation
			p.Stats = append(p.Stats, s)
			t.statistics = wire.TargetStats{}
		}
	}
	g.send(l, &wire.Message{Kind: wire.KindPull, Epoch: p.Key.Epoch, Timestamp: int64(now), Disk: g.settings.Self.Incarnation, Pull: p})
}

// exportTable is the table as it stands here now, with ejections' time left and holds
// that were heard here.
func (g *Proxy) exportTable(now time.Duration) *wire.Table {
	t := *g.table
	t.Targets = nil
	for _, id := range slices.SortedFunc(maps.Keys(g.targets), wire.TargetID.Compare) {
		l := g.targets[id]
		w := l.Target
		if w.EjectionLeft = max(0, int64(l.ejectedUntil-now)); l.ownEjectionUntil > now && w.EjectionLeft == 0 {
			w.EjectionLeft, w.EjectedBy = int64(l.ownEjectionUntil-now), config.DefaultPolicyName
		}
		w.Draining = w.Draining || l.leaving
		w.WarmupLeft = max(0, int64(l.warmupUntil-now))
		t.Targets = append(t.Targets, w)
	}
	return &t
}

// handlePush takes a leader's word, or a peer's answer to a touch.
func (g *Proxy) handlePush(now time.Duration, m *wire.Message) {
	p := m.Push
	mine := m.Disk == g.settings.Self.Incarnation && m.Timestamp > 0 && time.Duration(m.Timestamp) <= now
	if k := g.directory[m.From]; k != nil && k.Kind == wire.ProxyDaemon {
		if p.Table != nil && !g.applyTable(now, p.Table) && g.table != nil && g.table.Key == p.Table.Key && !g.Serving() {
			g.adoptPeerEjections(now, p.Table)
		}
		if p.LeaseGranted && mine && g.table != nil && !g.table.Key.Less(p.Key) {
			g.peerConfirmedAt[m.From] = max(g.peerConfirmedAt[m.From], time.Duration(m.Timestamp))
		}
		if p.LeaseGranted && g.table != nil && g.table.Key.Less(p.Key) && now-g.peerTableAskedAt >= g.peerTableInterval() {
			g.peerTableAskedAt = now // one at a time sends its table, without what this proxy has
			g.send(m.From, &wire.Message{Kind: wire.KindPull, Timestamp: int64(now), Disk: g.settings.Self.Incarnation,
				Pull: &wire.Pull{Self: g.selfReport(), Revision: g.table.Revision, StateIndex: g.table.StateIndex}})
		}
		return
	}
	if m.Epoch < g.leaderEpoch || m.Epoch == g.leaderEpoch && m.Term < g.leaderTerm {
		return
	}
	g.leaderEpoch, g.leaderTerm, g.leaderHeardAt = m.Epoch, m.Term, now
	if p.WantTable && g.table != nil && !g.leaderWantsTable {
		g.leaderWantsTable = true
		g.pullTable(now)
	}
	g.leaderWantsTable = p.WantTable
	for _, id := range p.ProbeTargets {
		if t := g.targets[id]; t != nil && mine {
			t.indirectProbe = true
			g.sendProbe(now, t)
		}
	}
	if p.Table != nil {
		fresh := g.applyTable(now, p.Table)
		if fresh {
			g.pullTable(now) // confirms at once
		}
	}
	// The lease is for the table that it names, and so for any later one of that leader too.
	if p.LeaseGranted && mine && g.table != nil && g.table.Key.Epoch == p.Key.Epoch && g.table.Key.Term == p.Key.Term && g.table.Key.Version >= p.Key.Version {
		g.joined = true
		g.leaseUntil = max(g.leaseUntil, time.Duration(m.Timestamp)+tuning.ProxyLease)
	}
}

// peerTableInterval is how often a proxy fetches a later table from a peer, which sends all of its rows: so
// seldom that, whatever the fleet's size, tables take no more than a part of a slow link. A proxy that is cut off
// from a leader which makes ever new tables would else fill its link, and its peers' links, with them.
func (g *Proxy) peerTableInterval() time.Duration {
	bytes := tuning.TableRowBytes * (len(g.table.Targets) + len(g.table.Proxies))
	return max(2*tuning.PullEvery, time.Duration(bytes)*time.Second*tuning.PeerTableParts/tuning.SlowLink)
}

// answerPeer answers another proxy's question.
func (g *Proxy) answerPeer(now time.Duration, m *wire.Message) {
	if m.Pull == nil {
		return
	}
	if m.Pull.Self.Kind == wire.ProxyDaemon {
		g.directory[m.From] = &discovery.Peer{Daemon: m.Pull.Self, LastContact: now}
	}
	p := &wire.Push{LeaseGranted: g.joined && g.table != nil}
	if g.table != nil {
		p.Key = g.table.Key
		switch {
		case !p.LeaseGranted:
		case m.Pull.Key == wire.TableKey{}:
			p.Table = g.exportTable(now)
			if m.Pull.Revision == p.Table.Revision && m.Pull.StateIndex != 0 {
				p.Table.Document = nil
				if m.Pull.StateIndex == p.Table.StateIndex {
					p.Table.State = nil
				}
			}
		case m.Pull.WantTable && m.Pull.Key == p.Key:
			p.Table = g.ejectionsAndDrains(now)
		}
	}
	g.send(m.From, &wire.Message{Kind: wire.KindPush, Timestamp: m.Timestamp, Disk: m.Disk, Push: p})
}

// holds is what stands here against targets beside the table, as a change to it.
func (g *Proxy) ejectionsAndDrains(now time.Duration) *wire.Table {
	all, t := g.exportTable(now), &wire.Table{Key: g.table.Key, DeltaBase: g.table.Key, StateIndex: g.table.StateIndex, Revision: g.table.Revision}
	listed := map[wire.TargetID]bool{}
	for i := range g.table.Targets {
		id := g.table.Targets[i].ID()
		listed[id] = true
		if g.targets[id] == nil {
			t.RemovedTargets = append(t.RemovedTargets, id)
		}
	}
	for _, w := range all.Targets {
		if w.Draining || w.EjectionLeft > 0 || w.WarmupLeft > 0 || !listed[w.ID()] {
			t.Targets = append(t.Targets, w)
		}
	}
	return t
}

// heed takes over what a peer holds against the targets of the same table, and
// the later starts that it has put in the place of some; a probe of this proxy's own
// soon says more.
func (g *Proxy) adoptPeerEjections(now time.Duration, b *wire.Table) {
	out := map[wire.TargetID]bool{}
	if b.DeltaBase == (wire.TableKey{}) {
		for id := range g.targets {
			out[id] = !slices.ContainsFunc(b.Targets, func(w wire.Target) bool { return w.ID() == id })
		}
	}
	for _, id := range b.RemovedTargets {
		out[id] = true
	}
	for _, w := range b.Targets {
		t := g.targets[w.ID()]
		if t == nil {
			for id := range g.targets {
				if id.Service == w.Service && id.Name == w.Name && out[id] && g.leavingSince[w.ID()] == 0 {
					t = &targetState{Target: w}
					g.replaceTarget(now, id, t)
					break
				}
			}
		}
		if t != nil {
			t.leaving = t.leaving || w.Draining
			t.extendWarmup(now, w.WarmupLeft)
			if w.EjectionLeft > 0 {
				t.ownEjectionUntil = max(t.ownEjectionUntil, now+time.Duration(w.EjectionLeft))
			}
		}
	}
}

// succeed puts a later start in a target's place.
func (g *Proxy) replaceTarget(now time.Duration, id wire.TargetID, h *targetState) {
	delete(g.targets, id)
	g.leavingSince[id] = now
	h.newToFleet = true
	g.targets[h.ID()] = h
	h.extendWarmup(now, max(h.WarmupLeft, int64(g.warmupTime(h.Service))))
	g.publishTargets(now)
}
