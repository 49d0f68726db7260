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

func (g *Proxy) ask(now time.Duration, e statemachine.Call) {
	r := targetreport.AnswerAtProxy(e, func(t wire.Target) {
		g.heardBeat(now, t)
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

// heardBeat acts at once on a target that leaves; all else is the leader's, or
// kept for the time when there is none.
func (g *Proxy) heardBeat(now time.Duration, w wire.Target) {
	if t := g.targets[w.ID()]; t != nil {
		t.streak.RecordHeartbeat(now)
	} else if g.state == PeerServing && w.State != config.Gone {
		g.claim(now, w)
	}
	if w.State != config.Leaving && w.State != config.Gone {
		return
	}
	if g.leaving[w.ID()] == 0 {
		g.leaving[w.ID()] = now
	}
	if t := g.targets[w.ID()]; t != nil {
		t.held = true
	}
}

// claim notes a later start of a target that the table knows. No leader can take it
// in, so a proxy that serves on its peers does for itself, once it has answered for itself: a service that
// is rolled while the core is gone goes on. The same service and name, and an address
// that no other target of the table has; all else waits for a leader.
func (g *Proxy) claim(now time.Duration, w wire.Target) {
	var at *target
	for id, t := range g.targets {
		switch {
		case id.Service == w.Service && id.Name == w.Name:
			at = t
		case t.Addr == w.Addr:
			return
		}
	}
	if at == nil || g.leaving[w.ID()] != 0 || at.successor != nil && at.successor.Incarnation != w.Incarnation && at.successor.streak.IsSteady(now) {
		return
	}
	if at.successor == nil || at.successor.ID() != w.ID() || at.successor.Addr != w.Addr {
		at.successor = &target{Target: wire.Target{Service: w.Service, Name: w.Name, Incarnation: w.Incarnation, Addr: w.Addr, Domain: w.Domain, State: config.Warming, ShareOffset: at.ShareOffset, Slots: w.Slots, WarmupLeft: w.WarmupLeft}}
	}
	at.successor.streak.RecordHeartbeat(now)
}

// inherit puts an heir that has answered for itself in its place, unless who
// stands there still answers too.
func (g *Proxy) inherit(now time.Duration, p statemachine.ProbeResult) {
	for id, t := range g.targets {
		h := t.successor
		if h == nil || h.ID() != p.ID {
			continue
		}
		h.sentAt = 0
		gone := t.held || t.Draining || t.misses >= tuning.ProbeMisses || t.Addr == h.Addr
		if g.state != PeerServing || !gone || p.Report == nil || p.Report.ID() != p.ID || p.Report.State == config.Leaving {
			return
		}
		if p.Report.State == config.Ready {
			h.State = config.Ready
		}
		g.emit(statemachine.StateChange{Subject: statemachine.SubjectTarget, From: fmt.Sprint(id.Incarnation), To: fmt.Sprint(h.Incarnation), Reason: "a later start of " + id.Service + "/" + id.Name + " answers, and no leader is there"})
		g.succeed(now, id, h)
		return
	}
}

// watch is the watchdog of a proxy without a leader. A cut one keeps it up, so that
// it does not come back with an old opinion.
func (g *Proxy) watch(now time.Duration) {
	few := len(g.targets) <= tuning.ProbeAllMax
	for _, id := range slices.SortedFunc(maps.Keys(g.targets), wire.TargetID.Compare) {
		t := g.targets[id]
		if few || g.watches(id) {
			g.probe(now, t, few)
		}
		if t.successor != nil {
			g.probe(now, t.successor, few)
		}
	}
}

// watches deals many targets among the roster: each is probed by Watchers of the proxies, however many
// there are, so the probes of a fleet without a leader grow with its targets alone. Who watches one is
// drawn; the others see for themselves what connections to it tell.
func (g *Proxy) watches(id wire.TargetID) bool {
	parts := uint64(max(1, len(g.table.Proxies)))
	return hash(id.Service+" "+id.Name+" "+g.settings.Self.Name)%parts < tuning.ProbersPerTarget
}

// probe probes a target that is due: of few targets each soon, of many at the leader's own interval and
// only those of which no answer to a request has told.
func (g *Proxy) probe(now time.Duration, t *target, few bool) {
	every, heard := tuning.SuspectProbeEvery, time.Duration(0)
	if !few {
		every, heard = tuning.ProbeEvery, t.answeredAt
	}
	if last := max(t.probeAt, heard); last == 0 || now-last >= every {
		g.ping(now, t)
	}
}

func (g *Proxy) ping(now time.Duration, t *target) {
	if t.sentAt == 0 || now-t.sentAt > 2*tuning.ProbeTimeout {
		t.probeAt, t.sentAt = now, now
		g.emit(statemachine.Probe{ID: t.ID(), Addr: t.Addr, Path: g.cfg.Services[t.Service].HealthPath})
	}
}

func (g *Proxy) probed(now time.Duration, p statemachine.ProbeResult) {
	t := g.targets[p.ID]
	if t == nil {
		g.inherit(now, p)
		return
	}
	t.sentAt = 0
	b := p.Report
	asked := t.indirect
	t.indirect = false
	if b == nil || b.ID() != p.ID {
		if asked && !g.doubts(now) {
			return // the leader's to judge
		}
		if t.misses++; t.misses >= tuning.ProbeMisses && g.doubts(now) {
			if t.ownEjection <= now {
				g.Counts.OwnEjections++
			}
			t.ownEjection = now + tuning.EjectionTTL
		}
		return
	}
	t.misses = 0
	if asked {
		t.seen.ProbeAnswered, g.telling = true, true
	}
	if b.State == config.Ready && t.State == config.Warming && g.state == PeerServing {
		t.State, t.warmAt = config.Ready, now
	}
	if t.ownEjection > now && (!asked || g.doubts(now)) {
		t.ownEjection, t.backAt = 0, now
	}
	if b.State == config.Leaving {
		g.heardBeat(now, t.leavingWord())
	}
}

func (t *target) leavingWord() wire.Target {
	w := t.Target
	w.State = config.Leaving
	return w
}
