// This file is what a proxy does about targets while it doubts its leader: it takes
// their words and probes them itself.

package dataplane

import (
	"fmt"
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/targetreport"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

func (p *Proxy) answerCall(now time.Duration, e statemachine.Call) {
	r := targetreport.AnswerAtProxy(e, func(t wire.Target) {
		p.handleHeartbeat(now, t)
		if l := p.leader(now); l != "" {
			p.send(l, &wire.Message{Kind: wire.KindHeartbeat, Timestamp: 1, Heartbeat: &t})
		}
		if p.state != Leased && p.table != nil {
			// No leader spreads it: tell the peers.
			for _, r := range p.table.Proxies {
				p.send(r.Name, &wire.Message{Kind: wire.KindHeartbeat, Timestamp: 1, Heartbeat: &t})
			}
		}
	})
	r.ID = e.ID
	p.emit(r)
}

// handleHeartbeat acts at once on a target that leaves; all else is the leader's, or
// kept for the time when there is none.
func (p *Proxy) handleHeartbeat(now time.Duration, w wire.Target) {
	if t := p.targets[w.ID()]; t != nil {
		t.heartbeats.RecordHeartbeat(now)
	} else if p.state == PeerServing && w.State != wire.TargetGone {
		p.noteSuccessor(now, w)
	}
	if w.State != wire.TargetLeaving && w.State != wire.TargetGone {
		return
	}
	if p.leavingSince[w.ID()] == 0 {
		p.leavingSince[w.ID()] = now
	}
	if t := p.targets[w.ID()]; t != nil {
		t.leaving = true
	}
}

// noteSuccessor notes a later start of a target that the table knows. No leader can take it
// in, so a proxy that serves on its peers does for itself, once it has answered for itself: a service that
// is rolled while the core is gone goes on. The same service and name, and an address
// that no other target of the table has; all else waits for a leader.
func (p *Proxy) noteSuccessor(now time.Duration, w wire.Target) {
	var at *targetState
	for id, t := range p.targets {
		switch {
		case id.Service == w.Service && id.Name == w.Name:
			at = t
		case t.Addr == w.Addr:
			return
		}
	}
	if at == nil || p.leavingSince[w.ID()] != 0 || at.successor != nil && at.successor.Incarnation != w.Incarnation && at.successor.heartbeats.IsSteady(now) {
		return
	}
	if at.successor == nil || at.successor.ID() != w.ID() || at.successor.Addr != w.Addr {
		at.successor = &targetState{Target: wire.Target{Service: w.Service, Name: w.Name, Incarnation: w.Incarnation, Addr: w.Addr, Domain: w.Domain, State: wire.TargetWarming, ShareOffset: at.ShareOffset, Slots: w.Slots, WarmupLeft: w.WarmupLeft}}
	}
	at.successor.heartbeats.RecordHeartbeat(now)
}

// takeOver puts an heir that has answered for itself in its place, unless who
// stands there still answers too.
func (p *Proxy) takeOver(now time.Duration, result statemachine.ProbeResult) {
	for id, t := range p.targets {
		h := t.successor
		if h == nil || h.ID() != result.ID {
			continue
		}
		h.probePendingSince = 0
		gone := t.leaving || t.Draining || t.missedProbes >= tuning.ProbeMisses || t.Addr == h.Addr
		if p.state != PeerServing || !gone || result.Report == nil || result.Report.ID() != result.ID || result.Report.State == wire.TargetLeaving {
			return
		}
		if result.Report.State == wire.TargetReady {
			h.State = wire.TargetReady
		}
		p.emit(statemachine.StateChange{Subject: statemachine.SubjectTarget, From: fmt.Sprint(id.Incarnation), To: fmt.Sprint(h.Incarnation), Reason: "a later start of " + id.Service + "/" + id.Name + " answers, and no leader is there"})
		p.replaceTarget(now, id, h)
		return
	}
}

// checkHealth is the watchdog of a proxy without a leader. A cut one keeps it up, so that
// it does not come back with an old opinion.
func (p *Proxy) checkHealth(now time.Duration) {
	few := len(p.targets) <= tuning.ProbeAllMax
	for _, id := range slices.SortedFunc(maps.Keys(p.targets), wire.TargetID.Compare) {
		t := p.targets[id]
		if few || p.isWatcher(id) {
			p.probeIfDue(now, t, few)
		}
		if t.successor != nil {
			p.probeIfDue(now, t.successor, few)
		}
	}
}

// watches deals many targets among the roster: each is probed by Watchers of the proxies, however many
// there are, so the probes of a fleet without a leader grow with its targets alone. Who watches one is
// drawn; the others see for themselves what connections to it tell.
func (p *Proxy) isWatcher(id wire.TargetID) bool {
	parts := uint64(max(1, len(p.table.Proxies)))
	return hashOf(id.Service+" "+id.Name+" "+p.settings.Self.Name)%parts < tuning.ProbersPerTarget
}

// probeIfDue probes a target that is due: of few targets each soon, of many at the leader's own interval and
// only those of which no answer to a request has told.
func (p *Proxy) probeIfDue(now time.Duration, t *targetState, few bool) {
	every, heard := tuning.SuspectProbeEvery, time.Duration(0)
	if !few {
		every, heard = tuning.ProbeEvery, t.lastServedAt
	}
	if last := max(t.probedAt, heard); last == 0 || now-last >= every {
		p.sendProbe(now, t)
	}
}

func (p *Proxy) sendProbe(now time.Duration, t *targetState) {
	if t.probePendingSince == 0 || now-t.probePendingSince > 2*tuning.ProbeTimeout {
		t.probedAt, t.probePendingSince = now, now
		p.emit(statemachine.Probe{ID: t.ID(), Addr: t.Addr, Path: p.configuration.Services[t.Service].HealthPath})
	}
}

func (p *Proxy) handleProbeResult(now time.Duration, result statemachine.ProbeResult) {
	t := p.targets[result.ID]
	if t == nil {
		p.takeOver(now, result)
		return
	}
	t.probePendingSince = 0
	b := result.Report
	asked := t.indirectProbe
	t.indirectProbe = false
	if b == nil || b.ID() != result.ID {
		if asked && !p.doubtsLeader(now) {
			return // the leader's to judge
		}
		if t.missedProbes++; t.missedProbes >= tuning.ProbeMisses && p.doubtsLeader(now) {
			if t.ownEjectionUntil <= now {
				p.Counts.OwnEjections++
			}
			t.ownEjectionUntil = now + tuning.EjectionTTL
		}
		return
	}
	t.missedProbes = 0
	if asked {
		t.statistics.ProbeAnswered, p.pullAtNextTick = true, true
	}
	if b.State == wire.TargetReady && t.State == wire.TargetWarming && p.state == PeerServing {
		t.State, t.readyAt = wire.TargetReady, now
	}
	if t.ownEjectionUntil > now && (!asked || p.doubtsLeader(now)) {
		t.ownEjectionUntil, t.reinstatedAt = 0, now
	}
	if b.State == wire.TargetLeaving {
		p.handleHeartbeat(now, t.leavingReport())
	}
}

func (t *targetState) leavingReport() wire.Target {
	w := t.Target
	w.State = wire.TargetLeaving
	return w
}
