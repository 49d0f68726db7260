// This file is what a proxy has to do with the control plane: hellos to its daemons, and pulls that bring the
// leader's table and lease.

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

// leader is the member that the control daemons last named as their leader, "": none is known.
func (p *Proxy) leader(now time.Duration) string { return p.directory.Leader(now) }

// doubtsLeader reports that the leader has not answered for over two pulls. From then on peers are polled and targets
// are probed, so that both are known when the lease runs out.
func (p *Proxy) doubtsLeader(now time.Duration) bool {
	after := tuning.LeaderSuspectAfter
	if p.table != nil && len(p.table.Proxies) > tuning.PeerLeaseFanout {
		after = tuning.LeaderSuspectAfterLarge
	}
	leaseBegan := p.leaseUntil - tuning.ProxyLease
	return now > leaseBegan+after
}

// hasNoLeader reports that the leader is out of reach. A proxy that has never had the right to serve waits
// for the leader as long as that sends anything.
func (p *Proxy) hasNoLeader(now time.Duration) bool {
	return p.doubtsLeader(now) && (p.joined || p.lastLeaderPushAt == 0 || now-p.lastLeaderPushAt > tuning.ProxyLive)
}

func (p *Proxy) handleHello(now time.Duration, from string, hello *wire.Hello) {
	before := p.leader(now)
	p.directory.Merge(now, p.settings.Self.Name, hello)
	if leader := p.leader(now); leader != before && leader == from && now > p.lastPullAt {
		p.pullTable(now) // a new leader waits for the proxies' tables, and they for its lease
	}
	if !hello.Reply {
		reply := &wire.Hello{Self: p.selfReport(), Reply: true, Daemons: p.directory.Daemons()}
		p.send(from, &wire.Message{Kind: wire.KindHello, Hello: reply})
	}
}

// sendHellos describes this proxy to all control daemons and to the seeds, and drops daemons that have been silent
// for long.
func (p *Proxy) sendHellos(now time.Duration) {
	p.lastHelloAt = now
	self := p.selfReport()
	var recovered []byte // made for the first daemon that is to get it
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
		if process := processOf(peer); p.recoveredStateDue(now, peer, process) {
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

// processOf names a daemon's present process.
func processOf(peer *discovery.Peer) string { return fmt.Sprint(peer.Name, " ", peer.Incarnation) }

// recoveredStateDue reports whether a control daemon is to get the recovered state with the next hello. It is long, so
// it goes only to those that were heard a short while ago, once to each process and then at a bounded rate.
func (p *Proxy) recoveredStateDue(now time.Duration, peer *discovery.Peer, process string) bool {
	if p.state == Leased || now-peer.LastContact >= 4*tuning.HelloEvery {
		return false
	}
	sentAt, ok := p.recoveredStateSentAt[process]
	return !ok || now-sentAt >= tuning.RecoveredStateEvery
}

// recoveredState is the durable state in this proxy's table, for a control plane that has lost its own.
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

// pullTable asks the leader for the table and the lease, and reports what was seen of targets since the last pull.
func (p *Proxy) pullTable(now time.Duration) {
	p.lastPullAt, p.pullAtNextTick = now, false
	leader := p.leader(now)
	if leader == "" {
		return
	}
	pull := &wire.Pull{}
	// The leader that leases knows this proxy; another one needs its full description.
	if self := p.selfReport(); self != p.reportedSelf || leader != p.reportedTo || p.state != Leased || p.doubtsLeader(now) {
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

// takeStatistics returns the targets' statistics since the last call.
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

// handlePush takes in a push, which a leader sends, or a peer in answer to a poll.
func (p *Proxy) handlePush(now time.Duration, message *wire.Message) {
	// Only an answer to this very process says anything of when it was asked for.
	isAnswer := message.Disk == p.settings.Self.Incarnation && message.Timestamp > 0 && time.Duration(message.Timestamp) <= now
	if peer := p.directory[message.From]; peer != nil && peer.Kind == wire.ProxyDaemon {
		p.handlePeerPush(now, message, isAnswer)
		return
	}
	if message.Epoch < p.leaderEpoch || message.Epoch == p.leaderEpoch && message.Term < p.leaderTerm {
		return
	}
	p.leaderEpoch, p.leaderTerm, p.lastLeaderPushAt = message.Epoch, message.Term, now
	p.handleLeaderPush(now, message, isAnswer)
}

func (p *Proxy) handleLeaderPush(now time.Duration, message *wire.Message, isAnswer bool) {
	push := message.Push
	if push.WantTable && p.table != nil && !p.leaderWantsTable {
		p.leaderWantsTable = true
		p.pullTable(now)
	}
	p.leaderWantsTable = push.WantTable
	for _, id := range push.ProbeTargets {
		if target := p.targets[id]; target != nil && isAnswer {
			target.indirectProbe = true
			p.sendProbe(now, target)
		}
	}
	if push.Table != nil && p.applyTable(now, push.Table) {
		p.pullTable(now) // confirms the table at once
	}
	if push.LeaseGranted && isAnswer && p.table != nil && leaseCovers(push.Key, p.table.Key) {
		p.joined = true
		p.leaseUntil = max(p.leaseUntil, time.Duration(message.Timestamp)+tuning.ProxyLease)
	}
}

// leaseCovers reports whether a lease that was given for a table holds for the one in force here: for the same
// one, and for any later one of the same leader.
func leaseCovers(leased, inForce wire.TableKey) bool {
	return inForce.Epoch == leased.Epoch && inForce.Term == leased.Term && inForce.Version >= leased.Version
}

// exportTable is the table as it is in force here now, with the time that is left of ejections and warm-ups, and with
// drains and ejections of this proxy's own.
func (p *Proxy) exportTable(now time.Duration) *wire.Table {
	table := *p.table
	table.Targets = nil
	for _, id := range slices.SortedFunc(maps.Keys(p.targets), wire.TargetID.Compare) {
		table.Targets = append(table.Targets, p.targets[id].export(now))
	}
	return &table
}
