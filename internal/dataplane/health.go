// This file is what a proxy does about targets' health: it takes their reports, probes them while it doubts
// the leader or is asked to, and ejects those that don't answer.

package dataplane

import (
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/targetreport"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// answerCall answers a target's call of the HTTP API, and passes its report on to the leader, or without a lease to
// all peers too.
func (p *Proxy) answerCall(now time.Duration, call statemachine.Call) {
	reply := targetreport.AnswerAtProxy(call, func(report wire.Target) {
		p.handleHeartbeat(now, report)
		if leader := p.leader(now); leader != "" {
			p.sendHeartbeat(leader, &report)
		}
		if p.state != Leased && p.table != nil {
			for _, proxy := range p.table.Proxies {
				p.sendHeartbeat(proxy.Name, &report)
			}
		}
	})
	reply.ID = call.ID
	p.emit(reply)
}

func (p *Proxy) sendHeartbeat(name string, report *wire.Target) {
	p.send(name, &wire.Message{Kind: wire.KindHeartbeat, Timestamp: 1, Heartbeat: report})
}

// handleHeartbeat acts at once on a target that leaves. All else is up to the leader, or is kept for the time when
// there is none.
func (p *Proxy) handleHeartbeat(now time.Duration, report wire.Target) {
	id := report.ID()
	target := p.targets[id]
	if target != nil {
		target.heartbeats.RecordHeartbeat(now)
	} else if p.state == PeerServing && report.State != wire.TargetGone {
		p.noteSuccessor(now, &report)
	}
	if !targetreport.IsLeaving(report) {
		return
	}
	if p.leavingSince[id] == 0 {
		p.leavingSince[id] = now
	}
	if target != nil {
		target.leaving = true
	}
}

// checkHealth probes the targets while there is no leader. An isolated proxy does so too, so that its view is fresh when
// it may serve again.
func (p *Proxy) checkHealth(now time.Duration) {
	probeAll := len(p.targets) <= tuning.ProbeAllMax
	for _, id := range slices.SortedFunc(maps.Keys(p.targets), wire.TargetID.Compare) {
		target := p.targets[id]
		if probeAll || p.isProberOf(id) {
			p.probeIfDue(now, target, probeAll)
		}
		if target.successor != nil {
			p.probeIfDue(now, target.successor, probeAll)
		}
	}
}

// isProberOf reports whether this proxy is one of those that probe a target. Where there are many targets each is probed by
// about tuning.ProbersPerTarget proxies, which are drawn: so the probes of all proxies together grow with the
// number of targets alone. The other proxies go by what connections to it show.
func (p *Proxy) isProberOf(id wire.TargetID) bool {
	proxies := uint64(max(1, len(p.table.Proxies)))
	return hashOf(id.Service+" "+id.Name+" "+p.settings.Self.Name)%proxies < tuning.ProbersPerTarget
}

// probeIfDue probes a target: each often if all are probed, else at the leader's interval and only if
// no response to a request has shown meanwhile that it works.
func (p *Proxy) probeIfDue(now time.Duration, target *targetState, probeAll bool) {
	interval, last := tuning.SuspectProbeEvery, target.probedAt
	if !probeAll {
		interval, last = tuning.ProbeEvery, max(target.probedAt, target.lastServedAt)
	}
	if last == 0 || now-last >= interval {
		p.sendProbe(now, target)
	}
}

// sendProbe probes a target, unless an earlier probe is still pending.
func (p *Proxy) sendProbe(now time.Duration, target *targetState) {
	if target.probePendingSince == 0 || now-target.probePendingSince > 2*tuning.ProbeTimeout {
		target.probedAt, target.probePendingSince = now, now
		p.emit(statemachine.Probe{ID: target.ID(), Addr: target.Addr, Path: p.configuration.Services[target.Service].HealthPath})
	}
}

func (p *Proxy) handleProbeResult(now time.Duration, result statemachine.ProbeResult) {
	target := p.targets[result.ID]
	if target == nil {
		p.takeOver(now, &result)
		return
	}
	target.probePendingSince = 0
	indirect := target.indirectProbe
	target.indirectProbe = false
	if result.Report == nil || result.Report.ID() != result.ID {
		p.countMissedProbe(now, target, indirect)
		return
	}
	target.missedProbes = 0
	if indirect {
		target.statistics.ProbeAnswered, p.pullAtNextTick = true, true
	}
	if result.Report.State == wire.TargetReady && target.State == wire.TargetWarming && p.state == PeerServing {
		target.State, target.readyAt = wire.TargetReady, now
	}
	if target.ownEjectionUntil > now && (!indirect || p.doubtsLeader(now)) {
		target.ownEjectionUntil, target.reinstatedAt = 0, now
	}
	if result.Report.State == wire.TargetLeaving {
		p.handleHeartbeat(now, target.leavingReport())
	}
}

// countMissedProbe counts a probe that a target did not answer, and ejects the target after several in a row. As long as the
// leader is not in doubt that is its decision.
func (p *Proxy) countMissedProbe(now time.Duration, target *targetState, indirect bool) {
	doubtsLeader := p.doubtsLeader(now)
	if indirect && !doubtsLeader {
		return
	}
	target.missedProbes++
	if target.missedProbes < tuning.ProbeMisses || !doubtsLeader {
		return
	}
	if target.ownEjectionUntil <= now {
		p.Counts.OwnEjections++
	}
	target.ownEjectionUntil = now + tuning.EjectionTTL
}

// reportUnreachable says which targets are ejected because nothing reaches them, when that has changed.
func (p *Proxy) reportUnreachable(now time.Duration) {
	count, same := 0, true
	for id, target := range p.targets {
		if target.isUnreachable(now) {
			count++
			same = same && p.unreachable[id]
		}
	}
	if same && count == len(p.unreachable) {
		return
	}
	unreachable := make(map[wire.TargetID]bool, count)
	for id, target := range p.targets {
		if target.isUnreachable(now) {
			unreachable[id] = true
		}
	}
	p.unreachable = unreachable
	p.emit(statemachine.UnreachableTargets{IDs: unreachable})
}

// isUnreachable reports that the target is ejected because of missed probes, the leader's or this proxy's.
func (t *targetState) isUnreachable(now time.Duration) bool {
	return t.ejectedUntil > now && t.ejectedAsUnreachable || t.ownEjectionUntil > now && t.missedProbes >= tuning.ProbeMisses
}
