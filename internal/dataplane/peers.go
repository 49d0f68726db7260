// This file is how proxies serve without a leader. Each polls the others; as long as a majority confirms within
// a peer lease that it has no later table, the proxy may go on serving by its own.

package dataplane

import (
	"cmp"
	"slices"
	"time"

	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// hasPeerMajority reports that a majority of the member proxies has confirmed this proxy's table within a peer
// lease, and a majority of the members before them as long as those count too.
func (p *Proxy) hasPeerMajority(now time.Duration) bool {
	confirmed := 0
	for i := range p.table.Proxies {
		if p.confirms(now, p.table.Proxies[i].Name) {
			confirmed++
		}
	}
	if 2*confirmed <= len(p.table.Proxies) {
		return false
	}
	if len(p.table.PreviousProxies) == 0 {
		return true
	}
	confirmed = 0
	for _, name := range p.table.PreviousProxies {
		if p.confirms(now, name) {
			confirmed++
		}
	}
	return 2*confirmed > len(p.table.PreviousProxies)
}

// confirms reports whether a proxy counts in the majority: a peer that confirmed within the peer lease, or this
// proxy itself once it has had the right to serve.
func (p *Proxy) confirms(now time.Duration, name string) bool {
	if name == p.settings.Self.Name {
		return p.joined
	}
	at, ok := p.peerConfirmedAt[name]
	return ok && now < at+tuning.PeerLease
}

// pollPeers asks peers to confirm that they have no later table. In a large fleet some are asked at each turn, those
// first that were asked longest ago: so all are asked within a peer lease, and no proxy's work grows faster than the
// number of proxies.
func (p *Proxy) pollPeers(now time.Duration) {
	for name := range p.peerAskedAt {
		if !slices.ContainsFunc(p.table.Proxies, func(proxy wire.Proxy) bool { return proxy.Name == name }) {
			delete(p.peerAskedAt, name)
		}
	}
	peers := p.peersInPollOrder()
	count := max(tuning.PeerLeaseFanout, (len(peers)+tuning.PeerLeaseTurns-1)/tuning.PeerLeaseTurns)
	self := p.selfReport()
	for i, peer := range peers[:min(count, len(peers))] {
		if p.directory[peer.Name] == nil {
			daemon := wire.Daemon{Name: peer.Name, Kind: wire.ProxyDaemon, Addr: peer.Addr, Domain: peer.Domain}
			p.directory[peer.Name] = &discovery.Peer{Daemon: daemon, LastContact: now}
		}
		p.peerAskedAt[peer.Name] = now
		// After a pause or a network partition this proxy lacks the ejections that peers have decided on meanwhile.
		wantEjections := !p.Serving() && (len(peers) <= tuning.PeerLeaseFanout || i < tuning.PeerTableFanout)
		p.sendPeerPull(now, peer.Name, &wire.Pull{Self: self, Key: p.table.Key, WantTable: wantEjections})
	}
}

// peersInPollOrder are the other member proxies, those first that were asked longest ago.
func (p *Proxy) peersInPollOrder() (peers []*wire.Proxy) {
	for i := range p.table.Proxies {
		if peer := &p.table.Proxies[i]; peer.Name != p.settings.Self.Name {
			peers = append(peers, peer)
		}
	}
	if len(peers) > 0 {
		// Each proxy begins elsewhere, so that not all ask the same ones at once.
		first := int(p.nameHash % uint64(len(peers)))
		peers = append(peers[first:], peers[:first]...)
	}
	slices.SortStableFunc(peers, func(a, b *wire.Proxy) int { return cmp.Compare(p.peerAskedAt[a.Name], p.peerAskedAt[b.Name]) })
	return peers
}

func (p *Proxy) sendPeerPull(now time.Duration, peer string, pull *wire.Pull) {
	p.send(peer, &wire.Message{Kind: wire.KindPull, Timestamp: int64(now), Disk: p.settings.Self.Incarnation, Pull: pull})
}

// handlePeerPush takes in a peer's answer to a poll.
func (p *Proxy) handlePeerPush(now time.Duration, message *wire.Message, isAnswer bool) {
	push := message.Push
	if push.Table != nil && !p.applyTable(now, push.Table) && p.table != nil && p.table.Key == push.Table.Key && !p.Serving() {
		p.adoptPeerTargets(now, push.Table)
	}
	if !push.LeaseGranted || p.table == nil {
		return
	}
	peerHasLater := p.table.Key.Less(push.Key)
	if isAnswer && !peerHasLater {
		p.peerConfirmedAt[message.From] = max(p.peerConfirmedAt[message.From], time.Duration(message.Timestamp))
	}
	if peerHasLater && now-p.peerTableAskedAt >= p.peerTableInterval() {
		p.peerTableAskedAt = now // one peer at a time sends its table, without what this proxy has
		p.sendPeerPull(now, message.From, &wire.Pull{Self: p.selfReport(), Revision: p.table.Revision, StateIndex: p.table.StateIndex})
	}
}

// peerTableInterval is how often a proxy fetches a later table from a peer, which sends all of its rows: so rarely that
// tables take no more than a part of a slow link, however large the fleet is. Otherwise a proxy that is cut off from a
// leader which makes ever new tables would fill its link and its peers' links with them.
func (p *Proxy) peerTableInterval() time.Duration {
	bytes := tuning.TableRowBytes * (len(p.table.Targets) + len(p.table.Proxies))
	return max(2*tuning.PullEvery, time.Duration(bytes)*time.Second*tuning.PeerTableParts/tuning.SlowLink)
}

// answerPeer answers another proxy's poll, or its request for this proxy's table.
func (p *Proxy) answerPeer(now time.Duration, message *wire.Message) {
	pull := message.Pull
	if pull.Self.Kind == wire.ProxyDaemon {
		p.directory[message.From] = &discovery.Peer{Daemon: pull.Self, LastContact: now}
	}
	push := &wire.Push{LeaseGranted: p.joined && p.table != nil}
	if p.table != nil {
		push.Key = p.table.Key
	}
	if push.LeaseGranted {
		push.Table = p.tableForPeer(now, pull)
	}
	p.send(message.From, &wire.Message{Kind: wire.KindPush, Timestamp: message.Timestamp, Disk: message.Disk, Push: push})
}

// tableForPeer is the table that a peer's pull asks for, nil: none. A pull without a key asks for all of it, but for
// what that peer has.
func (p *Proxy) tableForPeer(now time.Duration, pull *wire.Pull) *wire.Table {
	if pull.Key == (wire.TableKey{}) {
		table := p.exportTable(now)
		if pull.Revision == table.Revision && pull.StateIndex != 0 {
			table.Document = nil
			if pull.StateIndex == table.StateIndex {
				table.State = nil
			}
		}
		return table
	}
	if pull.WantTable && pull.Key == p.table.Key {
		return p.targetChanges(now)
	}
	return nil
}

// targetChanges is how the targets differ here from the table in force, as a change to it: ejections, drains, warm-ups
// and successors.
func (p *Proxy) targetChanges(now time.Duration) *wire.Table {
	changes := &wire.Table{Key: p.table.Key, DeltaBase: p.table.Key, StateIndex: p.table.StateIndex, Revision: p.table.Revision}
	inTable := map[wire.TargetID]bool{}
	for i := range p.table.Targets {
		id := p.table.Targets[i].ID()
		inTable[id] = true
		if p.targets[id] == nil {
			changes.RemovedTargets = append(changes.RemovedTargets, id)
		}
	}
	for _, target := range p.exportTable(now).Targets {
		if target.Draining || target.EjectionLeft > 0 || target.WarmupLeft > 0 || !inTable[target.ID()] {
			changes.Targets = append(changes.Targets, target)
		}
	}
	return changes
}

// adoptPeerTargets takes over from a peer with the same table its ejections, drains, warm-ups and successors. Soon this
// proxy's own health checks say more.
func (p *Proxy) adoptPeerTargets(now time.Duration, table *wire.Table) {
	removed := p.removedAtPeer(table)
	for i := range table.Targets {
		row := &table.Targets[i]
		target := p.targets[row.ID()]
		if target == nil {
			target = p.adoptPeerSuccessor(now, row, removed)
		}
		if target == nil {
			continue
		}
		target.leaving = target.leaving || row.Draining
		target.extendWarmup(now, row.WarmupLeft)
		if row.EjectionLeft > 0 {
			target.ownEjectionUntil = max(target.ownEjectionUntil, now+time.Duration(row.EjectionLeft))
		}
	}
}

// removedAtPeer are the targets of this proxy that a peer's table lacks.
func (p *Proxy) removedAtPeer(table *wire.Table) map[wire.TargetID]bool {
	removed := map[wire.TargetID]bool{}
	if table.DeltaBase == (wire.TableKey{}) {
		for id := range p.targets {
			removed[id] = !slices.ContainsFunc(table.Targets, func(row wire.Target) bool { return row.ID() == id })
		}
	}
	for _, id := range table.RemovedTargets {
		removed[id] = true
	}
	return removed
}

// adoptPeerSuccessor puts a later incarnation in the place of a target that the peer has removed, and returns it; nil
// if there is no such target.
func (p *Proxy) adoptPeerSuccessor(now time.Duration, row *wire.Target, removed map[wire.TargetID]bool) *targetState {
	for id := range p.targets {
		if id.Service == row.Service && id.Name == row.Name && removed[id] && p.leavingSince[row.ID()] == 0 {
			successor := &targetState{Target: *row}
			p.replaceTarget(now, id, successor)
			return successor
		}
	}
	return nil
}
