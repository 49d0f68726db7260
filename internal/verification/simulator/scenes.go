// This file holds a scene for each rule: a run that brings that very failure about,
// counts how often it did, and names a guard which, taken out of the simulated
// shell, makes the rule's check fail. It also measures what is left of the service
// under each kind of fault, since a system that refuses everything breaks no rule.

package simulator

import (
	"fmt"
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/shared/wire"
)

// Scene is a rule's own run.
type Scene struct {
	Name          string
	Rule          string // the rules that show it, should it come
	Threat        string
	Faults        []string // faults drawn, several times each
	Repeats       int
	AdjustPlan    func(*Plan)
	Script        func(w *World) // instead of faults
	Planned       bool
	Occurrences   func(s *Stats) int
	DisabledGuard string
}

// Scenes are all of them; what only HTTP can show (altered, foreign and cut answers)
// is caused in package reverseproxy.
var Scenes = []Scene{
	{Name: "twice", Rule: "ran twice", Threat: "back ends run an exchange and lose its answer, proxies die with it",
		Faults: []string{"service loses answers", "target loses answers", "gate killed"}, Repeats: 2,
		Occurrences: func(s *Stats) int { return s.LostNonIdempotent }, DisabledGuard: "resend"},
	{Name: "surplus", Rule: "another's answer", Threat: "targets send answers that nobody waits for, connections are reset and callers leave",
		Faults: []string{"targets send surplus answers", "connections reset", "callers leave", "service loses answers"}, Repeats: 2, AdjustPlan: func(p *Plan) { p.Rate = 250 },
		Occurrences: func(s *Stats) int { return min(s.SurplusResponses, s.MismatchedResponses, s.ResetAttempts, s.Canceled) }, DisabledGuard: "ids"},
	{Name: "reset", Rule: "ran twice", Threat: "connections are reset and surplus answers come while requests that may run once are at their targets",
		Faults: []string{"connections reset", "targets send surplus answers"}, Repeats: 3, AdjustPlan: func(p *Plan) { p.Rate, p.NonIdempotent = 250, 0.7 },
		Occurrences: func(s *Stats) int { return min(s.ResetAttempts, s.MismatchedResponses) }, DisabledGuard: "resend"},
	{Name: "refused", Rule: "refused but ran", Threat: "refusals after a try, when answers are lost and targets hang",
		Faults: []string{"service loses answers", "target hangs", "service slow"}, Repeats: 2, AdjustPlan: func(p *Plan) { p.Rate = 700 },
		Occurrences: func(s *Stats) int { return min(s.Rejected, s.LostResponses) }, DisabledGuard: "say no"},
	{Name: "wrong-service", Rule: "wrong service", Threat: "addresses go to another service while proxies are cut off",
		Faults: []string{"address handed over", "address handed over", "service removed, its addresses handed over"}, Repeats: 3,
		AdjustPlan:  func(p *Plan) { p.Rate = 250 },
		Occurrences: func(s *Stats) int { return s.WrongIdentities }, DisabledGuard: "identity"},
	{Name: "leaving", Rule: "leaving", Threat: "targets leave while leaders die and proxies are cut off",
		Faults: []string{"target leaves", "leader killed", "gate isolated", "gate frozen with work in hand"}, Repeats: 2,
		Occurrences: func(s *Stats) int { return s.Drains }, DisabledGuard: "holds"},
	{Name: "gone", Rule: "gone", Threat: "targets die without a word, also with their leader",
		Faults: []string{"target vanishes", "target crash", "leader killed", "late words"}, Repeats: 2,
		Occurrences: func(s *Stats) int { return s.TargetCrashes }, DisabledGuard: "probes"},
	{Name: "emptied", Rule: "emptied domain", Threat: "a domain is emptied while proxies are cut off, frozen and led anew",
		Faults: []string{"domain emptied and restored", "gate isolated", "gate frozen with work in hand", "leader killed"}, Repeats: 2,
		Occurrences: func(s *Stats) int { return s.EmptiedDomains }, DisabledGuard: "emptied"},
	{Name: "in-force", Rule: "not in force", Threat: "configurations change while proxies are cut off, frozen and orphaned",
		Faults: []string{"config", "config patch", "gate isolated", "gate frozen", "leader isolated"}, Repeats: 2,
		Occurrences: func(s *Stats) int { return s.AcceptedChanges }, DisabledGuard: "early answer"},
	{Name: "slip", Rule: "slipped back", Threat: "messages of earlier tables and leaders come late",
		Faults: []string{"net loses and delays", "config", "leader killed"}, Repeats: 3,
		Occurrences: func(s *Stats) int { return min(s.AcceptedChanges, s.LateMessages) }, DisabledGuard: "old tables"},
	{Name: "one-base", Rule: "one base", Threat: "two changes are built on one revision; invalid ones come between",
		Faults: []string{"config pair", "config pair", "config invalid", "config rolled back"}, Repeats: 3,
		Occurrences: func(s *Stats) int { return s.RejectedChanges }, DisabledGuard: "base"},
	{Name: "forgotten", Rule: "forgotten|not in force|slipped back", Threat: "power goes and disks are lost just after an acknowledgement",
		Faults: []string{"power fails everywhere", "core herd killed", "config and leader killed"}, Repeats: 2,
		Occurrences: func(s *Stats) int { return s.AcceptedChanges }, DisabledGuard: "sync"},
	{Name: "warming", Rule: "warming", Threat: "a whole service comes back cold under its full load, proxies come and go",
		Faults: []string{"config", "service comes back cold", "gate added, another gone for good", "gate killed"}, Repeats: 2, AdjustPlan: func(p *Plan) { p.Rate = 300 },
		Occurrences: func(s *Stats) int { return s.MostWhileWarming }, DisabledGuard: "warm cap"},
	{Name: "cold", Rule: "cold rate", Threat: "a whole service comes back cold on routes under load, proxies come and go and orphan",
		Faults: []string{"config", "service comes back cold", "target turns cold", "domain emptied and restored", "gate added, another gone for good", "gate killed", "gate isolated"}, Repeats: 2,
		AdjustPlan:  func(p *Plan) { p.Rate, p.Slots, p.WarmupRate = 300, 6, 8 },
		Occurrences: func(s *Stats) int { return s.WarmupArrivals }, DisabledGuard: "cold"},
	{Name: "slots", Rule: "ran twice", Threat: "targets of few slots turn exchanges away and lose answers under load",
		Faults: []string{"service loses answers", "target loses answers", "service slow", "gate killed"}, Repeats: 2,
		AdjustPlan:  func(p *Plan) { p.Rate, p.Slots = 500, 3 },
		Occurrences: func(s *Stats) int { return min(s.TargetRejections, s.LostNonIdempotent) }, DisabledGuard: "resend"},
	{Name: "retries", Rule: "retry budget", Threat: "a service loses all answers to exchanges that may be sent again",
		Faults: []string{"service loses answers"}, Repeats: 3, AdjustPlan: func(p *Plan) { p.NonIdempotent, p.Rate = 0, 300 },
		Occurrences: func(s *Stats) int { return s.Retries }, DisabledGuard: "budget"},
	{Name: "in-flight", Rule: "in flight", Threat: "proxies, leaders, members, targets, configurations and domains change by plan under load",
		Faults: []string{"gate restarted", "service rolled", "leader stopped", "config", "config patch", "domain emptied and restored", "member swapped", "policy replaced"}, Repeats: 1,
		Planned: true, Occurrences: func(s *Stats) int { return s.GracefulStops }, DisabledGuard: "stop"},
	{Name: "back", Rule: "back in 15 s", Threat: "everything is lost at once and one core machine never returns",
		Script: func(w *World) {
			for i, n := range w.names {
				p := w.procs[n]
				w.Kill(p)
				if p.kind == wire.ControlDaemon {
					w.WipeDisk(p)
				}
				if i > 0 {
					w.at(w.ms(200, 2000), func() { w.Restart(p) })
				}
			}
			w.acked, w.changes = 0, nil
			clear(w.ackedAt)
			w.history.Reset()
			end := w.now + 15*time.Second
			for w.Leader() == nil && w.now < end {
				w.Run(w.now + 100*time.Millisecond)
			}
			if l := w.Leader(); l != nil {
				w.PutConfig(l, 0, 3)
			}
			w.AwaitRecovery(end - w.now)
			w.Finish()
		}, Occurrences: func(*Stats) int { return 1 }, DisabledGuard: "hellos"},
	{Name: "one-leader", Rule: "one leader", Threat: "leaders freeze, are isolated, stall and hand over",
		Faults: []string{"leader frozen", "leader isolated", "core split", "leader's disk stalls", "leader stopped"}, Repeats: 2,
		Occurrences: func(s *Stats) int { return s.Steps }, DisabledGuard: "clocks"},
}

// Run runs a scene by seed, with its guard taken out if broken is set.
func (s *Scene) Run(seed uint64, p Plan, broken bool) *World {
	if s.AdjustPlan != nil {
		s.AdjustPlan(&p)
	}
	sabotage := ""
	if broken {
		sabotage = s.DisabledGuard
	}
	if s.Script != nil {
		w := Start(seed, p)
		w.sabotage = sabotage
		w.Run(w.now + 2*time.Second)
		s.Script(w)
		return w
	}
	var kinds []Fault
	for range s.Repeats {
		for _, k := range s.Faults {
			f, ok := FaultByName(k)
			if !ok {
				panic("no kind " + k)
			}
			kinds = append(kinds, f)
		}
	}
	return day(seed, p, kinds, len(kinds), 25*time.Second, func(w *World) {
		w.sabotage, w.planned = sabotage, s.Planned
		for _, n := range w.names {
			if p := w.procs[n]; sabotage == "clocks" {
				p.base, p.boot = p.local(), w.now
				p.rate = w.rate()
			}
		}
	})
}

// Shows says whether a world failed by the scene's rule.
func (s *Scene) ShownBy(w *World) bool {
	rule, _, _ := strings.Cut(w.Failure, ":")
	return w.Failure != "" && slices.Contains(strings.Split(s.Rule, "|"), rule)
}

// rate is how fast a process's clock runs.
func (w *World) rate() float64 {
	if w.sabotage == "clocks" {
		return 0.2 + 1.8*w.rnd.Float64()
	}
	return 0.98 + 0.04*w.rnd.Float64()
}

// heard is a target's state as daemons hear it.
func (w *World) heard(state wire.TargetState) wire.TargetState {
	if w.sabotage == "holds" && state == wire.TargetLeaving {
		return wire.TargetReady
	}
	return state
}

// spoil takes a guard out of what one daemon says to another.
func (w *World) spoil(from, to *Process, m *wire.Message) *wire.Message {
	switch {
	case w.sabotage == "hellos" && m.Hello != nil && from.kind == wire.ControlDaemon && to.kind == wire.ControlDaemon:
		return nil
	case w.sabotage == "emptied":
		return altered(m, func(t *wire.Table) { t.EmptiedDomains = nil })
	}
	return m
}

// altered is a message with a copy of its table changed, if it has one.
func altered(m *wire.Message, change func(*wire.Table)) *wire.Message {
	if m.Push == nil || m.Push.Table == nil {
		return m
	}
	c, p, t := *m, *m.Push, *m.Push.Table
	change(&t)
	p.Table, c.Push = &t, &p
	return &c
}

// spoilLate does the same to a leader's message that comes late: it brings all of the table
// of its time as if that were the latest.
func (w *World) spoilLate(from *Process, m *wire.Message) *wire.Message {
	if w.sabotage != "old tables" || m.Push == nil || from.core == nil || from.core.Table() == nil {
		return m
	}
	c, p, t := *m, *m.Push, *from.core.Table()
	t.Key.Version += 1000
	p.Table, c.Push = &t, &p
	return &c
}

// ---- availability ----

// Availability is what a kind of fault, or two at once, left of the service.
type Availability struct {
	Faults                                []string
	Requests, Rejected, Failed, Abandoned int
	LongestGap                            time.Duration // longest time without an answer of some service
	Recovery                              time.Duration // from the fault's beginning to full capacity
	ChangeLatency                         time.Duration // a change asked for 0.5 s after it: until in force
	Outcome                               string
	Failure                               string
}

// UnservedShare is the part of requests that were not served.
func (r *Availability) UnservedShare() float64 {
	return float64(r.Rejected+r.Failed+r.Abandoned) / float64(max(1, r.Requests))
}

// MeasureAvailability brings faults about once, all at the same moment, and looks at the 25 s
// that follow, in which most end by themselves.
func MeasureAvailability(seed uint64, p Plan, kinds ...Fault) Availability {
	p.Resubmitted = 0 // each request counts once
	var r Availability
	for _, k := range kinds {
		r.Faults = append(r.Faults, k.Name)
	}
	w := Start(seed, p)
	w.Run(w.now + 3*time.Second)
	b, t0 := w.Stats, w.now
	w.Stats.LongestGap = 0
	for _, k := range kinds {
		w.log("fault: %s", k.Name)
		k.Inject(w)
	}
	r.Outcome = "none"
	w.at(500*time.Millisecond, func() { w.insist(t0+500*time.Millisecond, 0, &r) })
	r.Recovery = 0
	for w.now < t0+25*time.Second && w.Failure == "" {
		w.Run(w.now + 100*time.Millisecond)
		if w.missing() != "" || !w.Serving() {
			r.Recovery = w.now - t0
		}
	}
	s := w.Stats
	r.Requests, r.Rejected, r.Failed, r.Abandoned = s.Requests-b.Requests, s.Rejected-b.Rejected, s.Unknown-b.Unknown, s.Abandoned-b.Abandoned
	r.LongestGap = s.LongestGap
	for _, at := range w.lastOk {
		r.LongestGap = max(r.LongestGap, w.now-at)
	}
	r.Failure = w.Failure
	return r
}

// insist asks for a change as mfctl does: under one id, of one member after another,
// for 8 s.
func (w *World) insist(from time.Duration, i int, r *Availability) {
	cores, svcs := w.all(wire.ControlDaemon), slices.Sorted(maps.Keys(w.Plan.Services))
	p := w.procs[cores[i%len(cores)]]
	again := func(o string) {
		if r.Outcome = o; w.now-from < 8*time.Second {
			w.at(200*time.Millisecond, func() { w.insist(from, i+1, r) })
		}
	}
	if !p.alive || p.frozen {
		again("refused")
		return
	}
	done := false
	w.call(p, "PATCH", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), fmt.Appendf(nil, `{"services":{"%s":{"timeout_ms":1777}}}`, svcs[len(svcs)-1]), "insisted", func(a statemachine.Reply) {
		if done {
			return
		}
		done = true
		switch a.Status {
		case 200:
			r.ChangeLatency, r.Outcome = w.now-from, "in force"
		case 504:
			r.ChangeLatency, r.Outcome = w.now-from, "unknown"
		default:
			again("refused")
		}
	})
	w.at(6500*time.Millisecond, func() {
		if !done {
			done = true
			r.ChangeLatency, r.Outcome = w.now-from, "no answer"
		}
	})
}
