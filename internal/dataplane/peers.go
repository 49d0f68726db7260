// Serving without a leader. Each proxy polls the others. If a peer confirms that it has no later table, this
// proxy holds a peer lease from it, which ends tuning.PeerLease after the poll was sent. With peer leases from a
// majority, the proxy may keep serving by its own table.

package dataplane

import (
	"cmp"
	"slices"
	"time"

	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/proxyquorum"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// hasPeerMajority reports whether a majority of the member proxies confirms this proxy's table, see confirms. While
// a membership change is under way, a majority of the previous members that have not ended is needed too.
func (p *Proxy) hasPeerMajority(now time.Duration) bool {
	var current, previous proxyquorum.Count
	for i := range p.table.Proxies {
		current.Add(p.confirms(now, p.table.Proxies[i].Name), false)
	}
	for _, name := range p.table.PreviousProxies {
		if !slices.Contains(p.table.DepartedProxies, name) {
			previous.Add(p.confirms(now, name), false)
		}
	}
	return current.IsMajority() && (previous.Members() == 0 || previous.IsMajority())
}

// confirms reports whether a proxy counts towards the majority: a peer whose peer lease is valid, or this proxy
// itself once it has had the right to serve.
func (p *Proxy) confirms(now time.Duration, name string) bool {
	if name == p.settings.Self.Name {
		return p.hasServed
	}
	at, ok := p.peerConfirmedAt[name]
	return ok && now < at+tuning.PeerLease
}

// pollPeers asks peers to confirm that they have no later table. In a large fleet each round asks only some of
// them, beginning with those that were asked longest ago. All peers are thus asked within a peer lease, and the
// work of one proxy grows no faster than the number of proxies.
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
		// After a pause or a network partition this proxy lacks the ejections that its peers decided on in the
		// meantime.
		wantEjections := !p.Serving() && (len(peers) <= tuning.PeerLeaseFanout || i < tuning.PeerTableFanout)
		p.sendPeerPull(now, peer.Name, &wire.Pull{Self: self, Key: p.table.Key, WantTable: wantEjections})
	}
}

// peersInPollOrder returns the other member proxies, beginning with those that were asked longest ago.
func (p *Proxy) peersInPollOrder() (peers []*wire.Proxy) {
	for i := range p.table.Proxies {
		if peer := &p.table.Proxies[i]; peer.Name != p.settings.Self.Name {
			peers = append(peers, peer)
		}
	}
	if len(peers) > 0 {
		// Each proxy starts at a different peer, so that they don't all ask the same ones at once.
		first := int(p.nameHash % uint64(len(peers)))
		peers = append(peers[first:], peers[:first]...)
	}
	slices.SortStableFunc(peers, func(a, b *wire.Proxy) int { return cmp.Compare(p.peerAskedAt[a.Name], p.peerAskedAt[b.Name]) })
	return peers
}

func (p *Proxy) sendPeerPull(now time.Duration, peer string, pull *wire.Pull) {
	p.send(peer, &wire.Message{Kind: wire.KindPull, Timestamp: int64(now), Disk: p.settings.Self.Incarnation, Pull: pull})
}

// handlePeerPush handles a peer's answer to a poll or to a request for its table.
func (p *Proxy) handlePeerPush(now time.Duration, message *wire.Message, isReply bool) {
	push := message.Push
	if push.Table != nil && !p.applyTable(now, push.Table) && p.table != nil && p.table.Key == push.Table.Key && !p.Serving() {
		p.adoptPeerTargets(now, push.Table)
	}
	if !push.LeaseGranted || p.table == nil {
		return
	}
	peerHasLater := p.table.Key.Less(push.Key)
	if isReply && !peerHasLater {
		p.peerConfirmedAt[message.From] = max(p.peerConfirmedAt[message.From], time.Duration(message.Timestamp))
	}
	if peerHasLater && now-p.peerTableAskedAt >= p.peerTableInterval() {
		p.peerTableAskedAt = now // ask one peer at a time for its table, without the parts that this proxy has
		p.sendPeerPull(now, message.From, &wire.Pull{Self: p.selfReport(), Revision: p.table.Revision, StateIndex: p.table.StateIndex})
	}
}

// peerTableInterval returns the minimum time between two fetches of a later table from a peer. A peer sends all
// rows of its table, so the interval grows with the table to use at most 1/tuning.PeerTableRateDivisor of a slow
// link, whatever the size of the fleet. Without this limit, a proxy that is cut off from a leader which keeps
// making new tables would saturate its own link and those of its peers.
func (p *Proxy) peerTableInterval() time.Duration {
	bytes := tuning.TableRowBytes * (len(p.table.Targets) + len(p.table.Proxies))
	return max(2*tuning.PullEvery, time.Duration(bytes)*time.Second*tuning.PeerTableRateDivisor/tuning.SlowLink)
}

// handlePeerPull answers another proxy's poll or its request for this proxy's table.
func (p *Proxy) handlePeerPull(now time.Duration, message *wire.Message) {
	pull := message.Pull
	if pull.Self.Kind == wire.ProxyDaemon {
		p.directory[message.From] = &discovery.Peer{Daemon: pull.Self, LastContact: now}
	}
	push := &wire.Push{LeaseGranted: p.hasServed && p.table != nil && !p.departed}
	if p.table != nil {
		push.Key = p.table.Key
	}
	if push.LeaseGranted {
		push.Table = p.tableForPeer(now, pull)
	}
	p.send(message.From, &wire.Message{Kind: wire.KindPush, Timestamp: message.Timestamp, Disk: message.Disk, Push: push})
}

// tableForPeer returns the table that a peer's pull asks for, or nil if it asks for none. A pull without a key
// asks for the full table, from which the parts that the peer already has are omitted.
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

// targetChanges returns the differences between this proxy's targets and those of its current table, as a delta
// of that table: ejections, drains, warm-ups and successors.
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

// adoptPeerTargets adopts ejections, drains, warm-ups and successors from a peer with the same table. They
// bridge the time until this proxy's own health checks have results.
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

// removedAtPeer returns the targets of this proxy that are missing from a peer's table.
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

// adoptPeerSuccessor adds the target of a row of a peer's table if the peer has put it in the place of another
// incarnation, which this proxy still has. It removes that incarnation and returns the added target, or nil if
// there is no such incarnation.
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
