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
func (p *Proxy) hasPeerMajority(now time.Duration) bool {
	most := func(n int, name func(int) string) bool {
		k := 0
		for i := range n {
			if name(i) == p.settings.Self.Name {
				if p.joined {
					k++
				}
			} else if at, ok := p.peerConfirmedAt[name(i)]; ok && now < at+tuning.PeerLease {
				k++
			}
		}
		return 2*k > n
	}
	return most(len(p.table.Proxies), func(i int) string { return p.table.Proxies[i].Name }) &&
		(len(p.table.PreviousProxies) == 0 || most(len(p.table.PreviousProxies), func(i int) string { return p.table.PreviousProxies[i] }))
}

// leader is the one that the core members last heard name in the latest epoch and term.
func (p *Proxy) leader(now time.Duration) string { return p.directory.Leader(now) }

// sendHellos tells the core daemons of this proxy. What it remembers is long: it is told to those
// that were heard lately, once to each process and then now and again.
func (p *Proxy) sendHellos(now time.Duration) {
	p.lastHelloAt = now
	self, memory := p.selfReport(), []byte(nil)
	sent := map[string]bool{}
	for _, n := range slices.Sorted(maps.Keys(p.directory)) {
		k := p.directory[n]
		if now-k.LastContact > tuning.DaemonExpiry {
			delete(p.directory, n)
		} else if k.Kind == wire.ControlDaemon {
			sent[k.Addr] = true
			h := &wire.Hello{Self: self}
			who := fmt.Sprint(n, " ", k.Incarnation)
			if at, ok := p.recoveredStateSentAt[who]; p.state != Leased && now-k.LastContact < 4*tuning.HelloEvery && (!ok || now-at >= tuning.RecoveredStateEvery) {
				if memory == nil {
					memory = p.recoveredState()
				}
				if h.RecoveredState = memory; len(memory) > 0 {
					p.recoveredStateSentAt[who] = now
				}
			}
			p.emit(statemachine.Send{Addr: k.Addr, Message: &wire.Message{Kind: wire.KindHello, From: p.settings.Self.Name, Hello: h}})
		}
	}
	maps.DeleteFunc(p.recoveredStateSentAt, func(_ string, at time.Duration) bool { return now-at >= tuning.RecoveredStateEvery })
	for _, a := range p.settings.Seeds {
		if !sent[a] && a != p.settings.Self.Addr {
			p.emit(statemachine.Send{Addr: a, Message: &wire.Message{Kind: wire.KindHello, From: p.settings.Self.Name, Hello: &wire.Hello{Self: self}}})
		}
	}
}

// touch asks peers whether they still stand on no later table: a part of the roster at
// each turn, those first who were asked longest ago, so that all are within a touch lease
// and no proxy's work grows with more than the roster.
func (p *Proxy) pollPeers(now time.Duration) {
	for n := range p.peerAskedAt {
		if !slices.ContainsFunc(p.table.Proxies, func(r wire.Proxy) bool { return r.Name == n }) {
			delete(p.peerAskedAt, n)
		}
	}
	var who []*wire.Proxy
	for i := range p.table.Proxies {
		if r := &p.table.Proxies[i]; r.Name != p.settings.Self.Name {
			who = append(who, r)
		}
	}
	if len(who) > 0 { // each begins elsewhere, so that not all ask the same ones at once
		k := int(p.nameHash % uint64(len(who)))
		who = append(who[k:], who[:k]...)
	}
	slices.SortStableFunc(who, func(a, b *wire.Proxy) int { return cmp.Compare(p.peerAskedAt[a.Name], p.peerAskedAt[b.Name]) })
	n := max(tuning.PeerLeaseFanout, (len(who)+tuning.PeerLeaseTurns-1)/tuning.PeerLeaseTurns)
	self := p.selfReport()
	for i, r := range who[:min(n, len(who))] {
		if k := p.directory[r.Name]; k == nil {
			p.directory[r.Name] = &discovery.Peer{Daemon: wire.Daemon{Name: r.Name, Kind: wire.ProxyDaemon, Addr: r.Addr, Domain: r.Domain}, LastContact: now}
		}
		p.peerAskedAt[r.Name] = now
		// Back from a freeze or a cut, what peers hold against targets is wanted too.
		m := wire.Pull{Self: self, Key: p.table.Key, WantTable: !p.Serving() && (len(who) <= tuning.PeerLeaseFanout || i < tuning.PeerTableFanout)}
		p.send(r.Name, &wire.Message{Kind: wire.KindPull, Timestamp: int64(now), Disk: p.settings.Self.Incarnation, Pull: &m})
	}
}

// alone says that the leader is out of reach, for one that has ever been part of the fleet;
// another waits for the leader while that speaks to it.
func (p *Proxy) hasNoLeader(now time.Duration) bool {
	return p.doubtsLeader(now) && (p.joined || p.leaderHeardAt == 0 || now-p.leaderHeardAt > tuning.ProxyLive)
}

// memory is what this proxy tells a core that has lost its own.
func (p *Proxy) recoveredState() []byte {
	if p.table == nil || p.state == Leased {
		return nil
	}
	l, ok := state.RecoveredFrom(p.table)
	if !ok {
		return nil
	}
	b, _ := json.Marshal(l)
	return wire.Compress(b)
}

// doubts says that the leader has been silent for over two pulls: peers are
// touched and targets probed from then on, so that both are known when the lease lapses.
func (p *Proxy) doubtsLeader(now time.Duration) bool {
	after := tuning.LeaderSuspectAfter
	if p.table != nil && len(p.table.Proxies) > tuning.PeerLeaseFanout {
		after = tuning.LeaderSuspectAfterLarge
	}
	return now > p.leaseUntil-tuning.ProxyLease+after
}

func (p *Proxy) pullTable(now time.Duration) {
	p.lastPullAt, p.pullAtNextTick = now, false
	l := p.leader(now)
	if l == "" {
		return
	}
	// The leader that leases knows this proxy; another is told all of it.
	pull := &wire.Pull{}
	if d := p.selfReport(); d != p.reportedSelf || l != p.reportedTo || p.state != Leased || p.doubtsLeader(now) {
		pull.Self, p.reportedSelf, p.reportedTo = d, d, l
	}
	if p.table != nil {
		pull.Key, pull.Revision, pull.StateIndex = p.table.Key, p.table.Revision, p.table.StateIndex
		if p.leaderWantsTable {
			pull.Table = p.exportTable(now)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(p.targets), wire.TargetID.Compare) {
		if t := p.targets[id]; t.statistics.Successes+t.statistics.Errors > 0 || t.statistics.ProbeAnswered {
			s := t.statistics
			s.Service, s.Name, s.Incarnation = id.Service, id.Name, id.Incarnation
			pull.Stats = append(pull.Stats, s)
			t.statistics = wire.TargetStats{}
		}
	}
	p.send(l, &wire.Message{Kind: wire.KindPull, Epoch: pull.Key.Epoch, Timestamp: int64(now), Disk: p.settings.Self.Incarnation, Pull: pull})
}

// exportTable is the table as it stands here now, with ejections' time left and holds
// that were heard here.
func (p *Proxy) exportTable(now time.Duration) *wire.Table {
	t := *p.table
	t.Targets = nil
	for _, id := range slices.SortedFunc(maps.Keys(p.targets), wire.TargetID.Compare) {
		l := p.targets[id]
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
func (p *Proxy) handlePush(now time.Duration, m *wire.Message) {
	push := m.Push
	mine := m.Disk == p.settings.Self.Incarnation && m.Timestamp > 0 && time.Duration(m.Timestamp) <= now
	if k := p.directory[m.From]; k != nil && k.Kind == wire.ProxyDaemon {
		if push.Table != nil && !p.applyTable(now, push.Table) && p.table != nil && p.table.Key == push.Table.Key && !p.Serving() {
			p.adoptPeerEjections(now, push.Table)
		}
		if push.LeaseGranted && mine && p.table != nil && !p.table.Key.Less(push.Key) {
			p.peerConfirmedAt[m.From] = max(p.peerConfirmedAt[m.From], time.Duration(m.Timestamp))
		}
		if push.LeaseGranted && p.table != nil && p.table.Key.Less(push.Key) && now-p.peerTableAskedAt >= p.peerTableInterval() {
			p.peerTableAskedAt = now // one at a time sends its table, without what this proxy has
			p.send(m.From, &wire.Message{Kind: wire.KindPull, Timestamp: int64(now), Disk: p.settings.Self.Incarnation,
				Pull: &wire.Pull{Self: p.selfReport(), Revision: p.table.Revision, StateIndex: p.table.StateIndex}})
		}
		return
	}
	if m.Epoch < p.leaderEpoch || m.Epoch == p.leaderEpoch && m.Term < p.leaderTerm {
		return
	}
	p.leaderEpoch, p.leaderTerm, p.leaderHeardAt = m.Epoch, m.Term, now
	if push.WantTable && p.table != nil && !p.leaderWantsTable {
		p.leaderWantsTable = true
		p.pullTable(now)
	}
	p.leaderWantsTable = push.WantTable
	for _, id := range push.ProbeTargets {
		if t := p.targets[id]; t != nil && mine {
			t.indirectProbe = true
			p.sendProbe(now, t)
		}
	}
	if push.Table != nil {
		fresh := p.applyTable(now, push.Table)
		if fresh {
			p.pullTable(now) // confirms at once
		}
	}
	// The lease is for the table that it names, and so for any later one of that leader too.
	if push.LeaseGranted && mine && p.table != nil && p.table.Key.Epoch == push.Key.Epoch && p.table.Key.Term == push.Key.Term && p.table.Key.Version >= push.Key.Version {
		p.joined = true
		p.leaseUntil = max(p.leaseUntil, time.Duration(m.Timestamp)+tuning.ProxyLease)
	}
}

// peerTableInterval is how often a proxy fetches a later table from a peer, which sends all of its rows: so
// seldom that, whatever the fleet's size, tables take no more than a part of a slow link. A proxy that is cut off
// from a leader which makes ever new tables would else fill its link, and its peers' links, with them.
func (p *Proxy) peerTableInterval() time.Duration {
	bytes := tuning.TableRowBytes * (len(p.table.Targets) + len(p.table.Proxies))
	return max(2*tuning.PullEvery, time.Duration(bytes)*time.Second*tuning.PeerTableParts/tuning.SlowLink)
}

// answerPeer answers another proxy's question.
func (p *Proxy) answerPeer(now time.Duration, m *wire.Message) {
	if m.Pull == nil {
		return
	}
	if m.Pull.Self.Kind == wire.ProxyDaemon {
		p.directory[m.From] = &discovery.Peer{Daemon: m.Pull.Self, LastContact: now}
	}
	push := &wire.Push{LeaseGranted: p.joined && p.table != nil}
	if p.table != nil {
		push.Key = p.table.Key
		switch {
		case !push.LeaseGranted:
		case m.Pull.Key == wire.TableKey{}:
			push.Table = p.exportTable(now)
			if m.Pull.Revision == push.Table.Revision && m.Pull.StateIndex != 0 {
				push.Table.Document = nil
				if m.Pull.StateIndex == push.Table.StateIndex {
					push.Table.State = nil
				}
			}
		case m.Pull.WantTable && m.Pull.Key == push.Key:
			push.Table = p.ejectionsAndDrains(now)
		}
	}
	p.send(m.From, &wire.Message{Kind: wire.KindPush, Timestamp: m.Timestamp, Disk: m.Disk, Push: push})
}

// holds is what stands here against targets beside the table, as a change to it.
func (p *Proxy) ejectionsAndDrains(now time.Duration) *wire.Table {
	all, t := p.exportTable(now), &wire.Table{Key: p.table.Key, DeltaBase: p.table.Key, StateIndex: p.table.StateIndex, Revision: p.table.Revision}
	listed := map[wire.TargetID]bool{}
	for i := range p.table.Targets {
		id := p.table.Targets[i].ID()
		listed[id] = true
		if p.targets[id] == nil {
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
func (p *Proxy) adoptPeerEjections(now time.Duration, b *wire.Table) {
	out := map[wire.TargetID]bool{}
	if b.DeltaBase == (wire.TableKey{}) {
		for id := range p.targets {
			out[id] = !slices.ContainsFunc(b.Targets, func(w wire.Target) bool { return w.ID() == id })
		}
	}
	for _, id := range b.RemovedTargets {
		out[id] = true
	}
	for _, w := range b.Targets {
		t := p.targets[w.ID()]
		if t == nil {
			for id := range p.targets {
				if id.Service == w.Service && id.Name == w.Name && out[id] && p.leavingSince[w.ID()] == 0 {
					t = &targetState{Target: w}
					p.replaceTarget(now, id, t)
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
func (p *Proxy) replaceTarget(now time.Duration, id wire.TargetID, h *targetState) {
	delete(p.targets, id)
	p.leavingSince[id] = now
	h.newToFleet = true
	p.targets[h.ID()] = h
	h.extendWarmup(now, max(h.WarmupLeft, int64(p.warmupTime(h.Service))))
	p.publishTargets(now)
}
