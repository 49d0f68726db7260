// Health checks of targets by a proxy. The proxy handles the heartbeats of targets, probes them while it suspects
// that the leader has failed or when the leader asks for it, and ejects targets that don't respond.

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

// handleCall answers a target's call of the HTTP API and forwards its report to the leader. Without a lease the
// report goes to all peers too.
func (p *Proxy) handleCall(now time.Duration, call statemachine.Call) {
	reply := targetreport.AnswerAtProxy(call, func(report wire.Target) {
		p.handleHeartbeat(now, report)
		if leader := p.leader(now); leader != "" {
			p.forwardHeartbeat(leader, &report)
		}
		if p.state != Leased && p.table != nil {
			for _, proxy := range p.table.Proxies {
				p.forwardHeartbeat(proxy.Name, &report)
			}
		}
	})
	reply.ID = call.ID
	p.emit(reply)
}

// forwardHeartbeat forwards a target's report to another daemon, marked as relayed, so that a control daemon doesn't
// relay it again.
func (p *Proxy) forwardHeartbeat(name string, report *wire.Target) {
	p.send(name, &wire.Message{Kind: wire.KindHeartbeat, Timestamp: wire.RelayedHeartbeatTimestamp, Heartbeat: report})
}

// handleHeartbeat records a target's heartbeat. Only a report that the target is leaving takes effect at once:
// it then gets no more requests. Otherwise only the arrival is recorded and, while this proxy serves on peer
// leases, a possible successor of a known target; the leader decides on everything else.
func (p *Proxy) handleHeartbeat(now time.Duration, report wire.Target) {
	id := report.ID()
	target := p.targets[id]
	if target != nil {
		target.heartbeats.RecordHeartbeat(now)
	} else if p.state == PeerServing && report.State != wire.TargetGone {
		p.recordSuccessor(now, &report)
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

// checkHealth probes the targets while there is no leader. An isolated proxy probes too, so that its view is up
// to date when it may serve again.
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

// isProberOf reports whether this proxy is one of those that probe the target. In a large fleet each target is
// probed by about tuning.ProbersPerTarget proxies, selected by hashing, so the number of probes from all
// proxies together depends only on the number of targets. The other proxies rely on the outcomes of their
// connections to it.
func (p *Proxy) isProberOf(id wire.TargetID) bool {
	proxies := uint64(max(1, len(p.table.Proxies)))
	return hashString(id.Service+" "+id.Name+" "+p.settings.Self.Name)%proxies < tuning.ProbersPerTarget
}

// probeIfDue probes a target if its interval has passed. If this proxy probes all targets, the interval is
// tuning.SuspectProbeEvery. Otherwise it is tuning.ProbeEvery, as for the leader's probes, and a request that the
// target served counts as a probe.
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

// handleProbeResult updates the target's health from the result of a probe. A result for an unknown target may
// be that of a successor, see takeOver.
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
	if target.ownEjectionUntil > now && (!indirect || p.suspectsLeader(now)) {
		target.ownEjectionUntil, target.reinstatedAt = 0, now
	}
	if result.Report.State == wire.TargetLeaving {
		p.handleHeartbeat(now, target.leavingReport())
	}
}

// countMissedProbe counts a probe that a target did not answer, and ejects the target after tuning.ProbeMisses
// in a row. While the leader is not suspected, the ejection is left to the leader. The argument indirect is true
// if the leader requested the probe.
func (p *Proxy) countMissedProbe(now time.Duration, target *targetState, indirect bool) {
	suspectsLeader := p.suspectsLeader(now)
	if indirect && !suspectsLeader {
		return
	}
	target.missedProbes++
	if target.missedProbes < tuning.ProbeMisses || !suspectsLeader {
		return
	}
	if target.ownEjectionUntil <= now {
		p.Counts.OwnEjections++
	}
	target.ownEjectionUntil = now + tuning.EjectionTTL
}

// reportUnreachable emits the set of targets that are ejected as unreachable if it has changed since the last
// report.
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

// isUnreachable reports whether the target is ejected because it missed probes, either the leader's or this
// proxy's.
func (t *targetState) isUnreachable(now time.Duration) bool {
	return t.ejectedUntil > now && t.ejectedAsUnreachable || t.ownEjectionUntil > now && t.missedProbes >= tuning.ProbeMisses
}
