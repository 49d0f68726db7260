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

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

func (g *Proxy) answerCall(now time.Duration, e statemachine.Call) {
	r := targetreport.AnswerAtProxy(e, func(t wire.Target) {
		g.handleHeartbeat(now, t)
		if l := g.leader(now); l != "" {
			g.send(l, &wire.Message{Kind: wire.KindHeartbeat, Timestamp: 1, Heartbeat: &t})
		}
		if g.state != Leased && g.table != nil {
			// No leader spreads it: tell the peers.
			for _, r := range g.table.Proxies {
				g.send(r.Name, &wire.Message{Kind: wire.KindHeartbeat, Timestamp: 1, Heartbeat: &t})
			}
		}
	})
	r.ID = e.ID
	g.emit(r)
}

// handleHeartbeat acts at once on a target that leaves; all else is the leader's, or
// kept for the time when there is none.
func (g *Proxy) handleHeartbeat(now time.Duration, w wire.Target) {
	if t := g.targets[w.ID()]; t != nil {
		t.heartbeats.RecordHeartbeat(now)
	} else if g.state == PeerServing && w.State != config.Gone {
		g.noteSuccessor(now, w)
	}
	if w.State != config.Leaving && w.State != config.Gone {
		return
	}
	if g.leavingSince[w.ID()] == 0 {
		g.leavingSince[w.ID()] = now
	}
	if t := g.targets[w.ID()]; t != nil {
		t.leaving = true
	}
}

// noteSuccessor notes a later start of a target that the table knows. No leader can take it
// in, so a proxy that serves on its peers does for itself, once it has answered for itself: a service that
// is rolled while the core is gone goes on. The same service and name, and an address
// that no other target of the table has; all else waits for a leader.
func (g *Proxy) noteSuccessor(now time.Duration, w wire.Target) {
	var at *targetState
	for id, t := range g.targets {
		switch {
		case id.Service == w.Service && id.Name == w.Name:
			at = t
		case t.Addr == w.Addr:
			return
		}
	}
	if at == nil || g.leavingSince[w.ID()] != 0 || at.successor != nil && at.successor.Incarnation != w.Incarnation && at.successor.heartbeats.IsSteady(now) {
		return
	}
	if at.successor == nil || at.successor.ID() != w.ID() || at.successor.Addr != w.Addr {
		at.successor = &targetState{Target: wire.Target{Service: w.Service, Name: w.Name, Incarnation: w.Incarnation, Addr: w.Addr, Domain: w.Domain, State: config.Warming, ShareOffset: at.ShareOffset, Slots: w.Slots, WarmupLeft: w.WarmupLeft}}
	}
	at.successor.heartbeats.RecordHeartbeat(now)
}

// takeOver puts an heir that has answered for itself in its place, unless who
// stands there still answers too.
func (g *Proxy) takeOver(now time.Duration, p statemachine.ProbeResult) {
	for id, t := range g.targets {
		h := t.successor
		if h == nil || h.ID() != p.ID {
			continue
		}
		h.probePendingSince = 0
		gone := t.leaving || t.Draining || t.missedProbes >= tuning.ProbeMisses || t.Addr == h.Addr
		if g.state != PeerServing || !gone || p.Report == nil || p.Report.ID() != p.ID || p.Report.State == config.Leaving {
			return
		}
		if p.Report.State == config.Ready {
			h.State = config.Ready
		}
		g.emit(statemachine.StateChange{Subject: statemachine.SubjectTarget, From: fmt.Sprint(id.Incarnation), To: fmt.Sprint(h.Incarnation), Reason: "a later start of " + id.Service + "/" + id.Name + " answers, and no leader is there"})
		g.replaceTarget(now, id, h)
		return
	}
}

// checkHealth is the watchdog of a proxy without a leader. A cut one keeps it up, so that
// it does not come back with an old opinion.
func (g *Proxy) checkHealth(now time.Duration) {
	few := len(g.targets) <= tuning.ProbeAllMax
	for _, id := range slices.SortedFunc(maps.Keys(g.targets), wire.TargetID.Compare) {
		t := g.targets[id]
		if few || g.isWatcher(id) {
			g.probeIfDue(now, t, few)
		}
		if t.successor != nil {
			g.probeIfDue(now, t.successor, few)
		}
	}
}

// watches deals many targets among the roster: each is probed by Watchers of the proxies, however many
// there are, so the probes of a fleet without a leader grow with its targets alone. Who watches one is
// drawn; the others see for themselves what connections to it tell.
func (g *Proxy) isWatcher(id wire.TargetID) bool {
	parts := uint64(max(1, len(g.table.Proxies)))
	return hashOf(id.Service+" "+id.Name+" "+g.settings.Self.Name)%parts < tuning.ProbersPerTarget
}

// probeIfDue probes a target that is due: of few targets each soon, of many at the leader's own interval and
// only those of which no answer to a request has told.
func (g *Proxy) probeIfDue(now time.Duration, t *targetState, few bool) {
	every, heard := tuning.SuspectProbeEvery, time.Duration(0)
	if !few {
		every, heard = tuning.ProbeEvery, t.lastServedAt
	}
	if last := max(t.probedAt, heard); last == 0 || now-last >= every {
		g.sendProbe(now, t)
	}
}

func (g *Proxy) sendProbe(now time.Duration, t *targetState) {
	if t.probePendingSince == 0 || now-t.probePendingSince > 2*tuning.ProbeTimeout {
		t.probedAt, t.probePendingSince = now, now
		g.emit(statemachine.Probe{ID: t.ID(), Addr: t.Addr, Path: g.configuration.Services[t.Service].HealthPath})
	}
}

func (g *Proxy) handleProbeResult(now time.Duration, p statemachine.ProbeResult) {
	t := g.targets[p.ID]
	if t == nil {
		g.takeOver(now, p)
		return
	}
	t.probePendingSince = 0
	b := p.Report
	asked := t.indirectProbe
	t.indirectProbe = false
	if b == nil || b.ID() != p.ID {
		if asked && !g.doubtsLeader(now) {
			return // the leader's to judge
		}
		if t.missedProbes++; t.missedProbes >= tuning.ProbeMisses && g.doubtsLeader(now) {
			if t.ownEjectionUntil <= now {
				g.Counts.OwnEjections++
			}
			t.ownEjectionUntil = now + tuning.EjectionTTL
		}
		return
	}
	t.missedProbes = 0
	if asked {
		t.statistics.ProbeAnswered, g.pullAtNextTick = true, true
	}
	if b.State == config.Ready && t.State == config.Warming && g.state == PeerServing {
		t.State, t.readyAt = config.Ready, now
	}
	if t.ownEjectionUntil > now && (!asked || g.doubtsLeader(now)) {
		t.ownEjectionUntil, t.reinstatedAt = 0, now
	}
	if b.State == config.Leaving {
		g.handleHeartbeat(now, t.leavingReport())
	}
}

func (t *targetState) leavingReport() wire.Target {
	w := t.Target
	w.State = config.Leaving
	return w
}
