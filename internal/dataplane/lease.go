// Communication with the control plane: hellos to all its daemons, and pulls that bring the leader's table and
// lease.

package dataplane

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// leader returns the member that the control daemons last named as their leader, or "" if none is known.
func (p *Proxy) leader(now time.Duration) string { return p.directory.Leader(now) }

// suspectsLeader reports whether no pull sent within the last tuning.LeaderSuspectAfter, slightly more than two
// pull intervals, has renewed the lease; in a large fleet the time is longer. From then on the proxy polls its
// peers and probes the targets, so that the state of both is known when the lease expires.
func (p *Proxy) suspectsLeader(now time.Duration) bool {
	after := tuning.LeaderSuspectAfter
	if p.table != nil && len(p.table.Proxies) > tuning.PeerLeaseFanout {
		after = tuning.LeaderSuspectAfterLarge
	}
	leaseBegan := p.leaseUntil - tuning.ProxyLease
	return now > leaseBegan+after
}

// leaderUnreachable reports whether this proxy must rely on its peers instead of the leader. A proxy that has never
// had the right to serve waits for the leader as long as the leader's pushes still arrive.
func (p *Proxy) leaderUnreachable(now time.Duration) bool {
	return p.suspectsLeader(now) && (p.hasServed || p.lastLeaderPushAt == 0 || now-p.lastLeaderPushAt > tuning.ProxyLive)
}

// handleHello merges a daemon's hello into the directory and replies to it.
func (p *Proxy) handleHello(now time.Duration, from string, hello *wire.Hello) {
	before := p.leader(now)
	p.directory.Merge(now, p.settings.Self.Name, hello)
	if leader := p.leader(now); leader != before && leader == from && now > p.lastPullAt {
		// Tells the new leader which table this proxy has and asks it for a lease, before the next pull is due.
		p.pullTable(now)
	}
	if !hello.Reply {
		reply := &wire.Hello{Self: p.selfReport(), Reply: true, Daemons: p.directory.Daemons()}
		p.send(from, &wire.Message{Kind: wire.KindHello, Hello: reply})
	}
}

// sendHellos sends a description of this proxy to all control daemons and seeds. It removes daemons from the
// directory that have been silent for tuning.DaemonExpiry.
func (p *Proxy) sendHellos(now time.Duration) {
	p.lastHelloAt = now
	self := p.selfReport()
	var recovered []byte // encoded for the first daemon that needs it
	sent := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(p.directory)) {
		peer := p.directory[name]
		if now-peer.LastContact > tuning.DaemonExpiry {
			delete(p.directory, name)
			continue
		}
		if peer.Kind != wire.ControlDaemon {
			continue
		}
		hello := &wire.Hello{Self: self}
		if process := processKey(peer); p.recoveredStateDue(now, peer, process) {
			if recovered == nil {
				recovered = p.recoveredState()
			}
			hello.RecoveredState = recovered
			if len(recovered) > 0 {
				p.recoveredStateSentAt[process] = now
			}
		}
		sent[peer.Addr] = true
		p.sendHello(peer.Addr, hello)
	}
	maps.DeleteFunc(p.recoveredStateSentAt, func(_ string, at time.Duration) bool { return now-at >= tuning.RecoveredStateEvery })
	for _, addr := range p.settings.Seeds {
		if !sent[addr] && addr != p.settings.Self.Addr {
			p.sendHello(addr, &wire.Hello{Self: self})
		}
	}
}

func (p *Proxy) sendHello(addr string, hello *wire.Hello) {
	message := &wire.Message{Kind: wire.KindHello, From: p.settings.Self.Name, Hello: hello}
	p.emit(statemachine.Send{Addr: addr, Message: message})
}

// processKey identifies a daemon's current process by its name and incarnation.
func processKey(peer *discovery.Peer) string { return fmt.Sprint(peer.Name, " ", peer.Incarnation) }

// recoveredStateDue reports whether the next hello to a control daemon should carry the recovered state. The
// state is large, so it is sent only to daemons that sent a message recently: once to each process, then at
// most every tuning.RecoveredStateEvery.
func (p *Proxy) recoveredStateDue(now time.Duration, peer *discovery.Peer, process string) bool {
	if p.state == Leased || now-peer.LastContact >= 4*tuning.HelloEvery {
		return false
	}
	sentAt, ok := p.recoveredStateSentAt[process]
	return !ok || now-sentAt >= tuning.RecoveredStateEvery
}

// recoveredState returns the encoded durable state of this proxy's table, for a control plane that has lost its
// own. It returns nil if there is none or if this proxy has a lease.
func (p *Proxy) recoveredState() []byte {
	if p.table == nil || p.state == Leased {
		return nil
	}
	recovered, ok := state.RecoveredFrom(p.table)
	if !ok {
		return nil
	}
	encoded, _ := json.Marshal(recovered)
	return wire.Compress(encoded)
}

// pullTable asks the leader for the table and the lease. The pull also reports the statistics of the targets
// since the previous one.
func (p *Proxy) pullTable(now time.Duration) {
	p.lastPullAt, p.pullAtNextTick = now, false
	leader := p.leader(now)
	if leader == "" {
		return
	}
	pull := &wire.Pull{}
	// A leader that has granted the lease knows this proxy; any other needs its full description.
	if self := p.selfReport(); self != p.reportedSelf || leader != p.reportedTo || p.state != Leased || p.suspectsLeader(now) {
		pull.Self, p.reportedSelf, p.reportedTo = self, self, leader
	}
	if p.table != nil {
		pull.Key, pull.Revision, pull.StateIndex = p.table.Key, p.table.Revision, p.table.StateIndex
		if p.leaderWantsTable {
			pull.Table = p.exportTable(now)
		}
	}
	pull.Stats = p.takeStatistics()
	p.send(leader, &wire.Message{Kind: wire.KindPull, Epoch: pull.Key.Epoch, Timestamp: int64(now), Disk: p.settings.Self.Incarnation, Pull: pull})
}

// takeStatistics returns the targets' statistics and resets them.
func (p *Proxy) takeStatistics() (all []wire.TargetStats) {
	for _, id := range slices.SortedFunc(maps.Keys(p.targets), wire.TargetID.Compare) {
		target := p.targets[id]
		statistics := target.statistics
		if statistics.Successes+statistics.Errors == 0 && !statistics.ProbeAnswered {
			continue
		}
		statistics.Service, statistics.Name, statistics.Incarnation = id.Service, id.Name, id.Incarnation
		all = append(all, statistics)
		target.statistics = wire.TargetStats{}
	}
	return all
}

// handlePush handles a push from a leader, or from a peer in answer to a poll.
func (p *Proxy) handlePush(now time.Duration, message *wire.Message) {
	// A push repeats the timestamp and the incarnation (Disk) of the pull that it answers. The timestamp is from
	// this process's clock only if the incarnation is its own.
	isReply := message.Disk == p.settings.Self.Incarnation && message.Timestamp > 0 && time.Duration(message.Timestamp) <= now
	if peer := p.directory[message.From]; peer != nil && peer.Kind == wire.ProxyDaemon {
		p.handlePeerPush(now, message, isReply)
		return
	}
	if message.Epoch < p.leaderEpoch || message.Epoch == p.leaderEpoch && message.Term < p.leaderTerm {
		return
	}
	p.leaderEpoch, p.leaderTerm, p.lastLeaderPushAt = message.Epoch, message.Term, now
	p.handleLeaderPush(now, message, isReply)
}

// handleLeaderPush applies the leader's table, extends the lease and sends the probes that the leader asks for.
func (p *Proxy) handleLeaderPush(now time.Duration, message *wire.Message, isReply bool) {
	push := message.Push
	if push.WantTable && p.table != nil && !p.leaderWantsTable {
		p.leaderWantsTable = true
		p.pullTable(now)
	}
	p.leaderWantsTable = push.WantTable
	for _, id := range push.ProbeTargets {
		if target := p.targets[id]; target != nil && isReply {
			target.indirectProbe = true
			p.sendProbe(now, target)
		}
	}
	if push.Table != nil && p.applyTable(now, push.Table) {
		p.pullTable(now) // confirms the table without waiting for the next interval
	}
	if push.LeaseGranted && isReply && p.table != nil && leaseCovers(push.Key, p.table.Key) {
		p.hasServed = true
		p.leaseUntil = max(p.leaseUntil, time.Duration(message.Timestamp)+tuning.ProxyLease)
	}
}

// leaseCovers reports whether a lease that was granted for one table is valid for the current one: that table
// itself or any later one of the same leader.
func leaseCovers(leased, current wire.TableKey) bool {
	return current.Epoch == leased.Epoch && current.Term == leased.Term && current.Version >= leased.Version
}

// exportTable returns the current table with the remaining times of ejections and warm-ups, including the
// drains and ejections that only this proxy knows of.
func (p *Proxy) exportTable(now time.Duration) *wire.Table {
	table := *p.table
	table.Targets = nil
	for _, id := range slices.SortedFunc(maps.Keys(p.targets), wire.TargetID.Compare) {
		table.Targets = append(table.Targets, p.targets[id].export(now))
	}
	return &table
}
