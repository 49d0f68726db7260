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

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// Scene is a rule's own run.
type Scene struct {
	Name     string
	Rule     string // the rules that show it, should it come
	Threat   string
	Kinds    []string // faults drawn, several times each
	Times    int
	Plan     func(*Plan)
	Play     func(w *World) // instead of faults
	Planned  bool
	Caused   func(s *Stats) int
	Sabotage string
}

// Scenes are all of them; what only HTTP can show (altered, foreign and cut answers)
// is caused in package reverseproxy.
var Scenes = []Scene{
	{Name: "twice", Rule: "ran twice", Threat: "back ends run an exchange and lose its answer, proxies die with it",
		Kinds: []string{"service loses answers", "target loses answers", "gate killed"}, Times: 2,
		Caused: func(s *Stats) int { return s.LostUnsafe }, Sabotage: "resend"},
	{Name: "surplus", Rule: "another's answer", Threat: "targets send answers that nobody waits for, connections are reset and callers leave",
		Kinds: []string{"targets send surplus answers", "connections reset", "callers leave", "service loses answers"}, Times: 2, Plan: func(p *Plan) { p.Rate = 250 },
		Caused: func(s *Stats) int { return min(s.Surplus, s.Strange, s.Resets, s.Left) }, Sabotage: "ids"},
	{Name: "reset", Rule: "ran twice", Threat: "connections are reset and surplus answers come while requests that may run once are at their targets",
		Kinds: []string{"connections reset", "targets send surplus answers"}, Times: 3, Plan: func(p *Plan) { p.Rate, p.Unsafe = 250, 0.7 },
		Caused: func(s *Stats) int { return min(s.Resets, s.Strange) }, Sabotage: "resend"},
	{Name: "refused", Rule: "refused but ran", Threat: "refusals after a try, when answers are lost and targets hang",
		Kinds: []string{"service loses answers", "target hangs", "service slow"}, Times: 2, Plan: func(p *Plan) { p.Rate = 700 },
		Caused: func(s *Stats) int { return min(s.NotRun, s.Lost) }, Sabotage: "say no"},
	{Name: "wrong-service", Rule: "wrong service", Threat: "addresses go to another service while proxies are cut off",
		Kinds: []string{"address handed over", "address handed over", "service removed, its addresses handed over"}, Times: 3,
		Plan:   func(p *Plan) { p.Rate = 250 },
		Caused: func(s *Stats) int { return s.Foreign }, Sabotage: "identity"},
	{Name: "leaving", Rule: "leaving", Threat: "targets leave while leaders die and proxies are cut off",
		Kinds: []string{"target leaves", "leader killed", "gate isolated", "gate frozen with work in hand"}, Times: 2,
		Caused: func(s *Stats) int { return s.Leaves }, Sabotage: "holds"},
	{Name: "gone", Rule: "gone", Threat: "targets die without a word, also with their leader",
		Kinds: []string{"target vanishes", "target crash", "leader killed", "late words"}, Times: 2,
		Caused: func(s *Stats) int { return s.Deaths }, Sabotage: "probes"},
	{Name: "emptied", Rule: "emptied domain", Threat: "a domain is emptied while proxies are cut off, frozen and led anew",
		Kinds: []string{"domain emptied and restored", "gate isolated", "gate frozen with work in hand", "leader killed"}, Times: 2,
		Caused: func(s *Stats) int { return s.Empties }, Sabotage: "emptied"},
	{Name: "in-force", Rule: "not in force", Threat: "configurations change while proxies are cut off, frozen and orphaned",
		Kinds: []string{"config", "config patch", "gate isolated", "gate frozen", "leader isolated"}, Times: 2,
		Caused: func(s *Stats) int { return s.Accepted }, Sabotage: "early answer"},
	{Name: "slip", Rule: "slipped back", Threat: "messages of earlier tables and leaders come late",
		Kinds: []string{"net loses and delays", "config", "leader killed"}, Times: 3,
		Caused: func(s *Stats) int { return min(s.Accepted, s.Slips) }, Sabotage: "old tables"},
	{Name: "one-base", Rule: "one base", Threat: "two changes are built on one revision; invalid ones come between",
		Kinds: []string{"config pair", "config pair", "config invalid", "config rolled back"}, Times: 3,
		Caused: func(s *Stats) int { return s.Refused }, Sabotage: "base"},
	{Name: "forgotten", Rule: "forgotten|not in force|slipped back", Threat: "power goes and disks are lost just after an acknowledgement",
		Kinds: []string{"power fails everywhere", "core herd killed", "config and leader killed"}, Times: 2,
		Caused: func(s *Stats) int { return s.Accepted }, Sabotage: "sync"},
	{Name: "warming", Rule: "warming", Threat: "a whole service comes back cold under its full load, proxies come and go",
		Kinds: []string{"config", "service comes back cold", "gate added, another gone for good", "gate killed"}, Times: 2, Plan: func(p *Plan) { p.Rate = 300 },
		Caused: func(s *Stats) int { return s.MaxWarm }, Sabotage: "warm cap"},
	{Name: "cold", Rule: "cold rate", Threat: "a whole service comes back cold on routes under load, proxies come and go and orphan",
		Kinds: []string{"config", "service comes back cold", "target turns cold", "domain emptied and restored", "gate added, another gone for good", "gate killed", "gate isolated"}, Times: 2,
		Plan:   func(p *Plan) { p.Rate, p.Slots, p.ColdPerS = 300, 6, 8 },
		Caused: func(s *Stats) int { return s.Cold }, Sabotage: "cold"},
	{Name: "slots", Rule: "ran twice", Threat: "targets of few slots turn exchanges away and lose answers under load",
		Kinds: []string{"service loses answers", "target loses answers", "service slow", "gate killed"}, Times: 2,
		Plan:   func(p *Plan) { p.Rate, p.Slots = 500, 3 },
		Caused: func(s *Stats) int { return min(s.TurnedAway, s.LostUnsafe) }, Sabotage: "resend"},
	{Name: "retries", Rule: "retry budget", Threat: "a service loses all answers to exchanges that may be sent again",
		Kinds: []string{"service loses answers"}, Times: 3, Plan: func(p *Plan) { p.Unsafe, p.Rate = 0, 300 },
		Caused: func(s *Stats) int { return s.Retries }, Sabotage: "budget"},
	{Name: "in-flight", Rule: "in flight", Threat: "proxies, leaders, members, targets, configurations and domains change by plan under load",
		Kinds: []string{"gate restarted", "service rolled", "leader stopped", "config", "config patch", "domain emptied and restored", "member swapped", "policy replaced"}, Times: 1,
		Planned: true, Caused: func(s *Stats) int { return s.Stops }, Sabotage: "stop"},
	{Name: "back", Rule: "back in 15 s", Threat: "everything is lost at once and one core machine never returns",
		Play: func(w *World) {
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
			w.Back(end - w.now)
			w.Finish()
		}, Caused: func(*Stats) int { return 1 }, Sabotage: "hellos"},
	{Name: "one-leader", Rule: "one leader", Threat: "leaders freeze, are isolated, stall and hand over",
		Kinds: []string{"leader frozen", "leader isolated", "core split", "leader's disk stalls", "leader stopped"}, Times: 2,
		Caused: func(s *Stats) int { return s.Steps }, Sabotage: "clocks"},
}

// Stage runs a scene by seed, with its guard taken out if broken is set.
func (s *Scene) Stage(seed uint64, p Plan, broken bool) *World {
	if s.Plan != nil {
		s.Plan(&p)
	}
	sabotage := ""
	if broken {
		sabotage = s.Sabotage
	}
	if s.Play != nil {
		w := Start(seed, p)
		w.sabotage = sabotage
		w.Run(w.now + 2*time.Second)
		s.Play(w)
		return w
	}
	var kinds []Fault
	for range s.Times {
		for _, k := range s.Kinds {
			f, ok := ByName(k)
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
func (s *Scene) Shows(w *World) bool {
	rule, _, _ := strings.Cut(w.Fail, ":")
	return w.Fail != "" && slices.Contains(strings.Split(s.Rule, "|"), rule)
}

// rate is how fast a process's clock runs.
func (w *World) rate() float64 {
	if w.sabotage == "clocks" {
		return 0.2 + 1.8*w.rnd.Float64()
	}
	return 0.98 + 0.04*w.rnd.Float64()
}

// heard is a target's state as daemons hear it.
func (w *World) heard(state string) string {
	if w.sabotage == "holds" && state == config.Leaving {
		return config.Ready
	}
	return state
}

// spoil takes a guard out of what one daemon says to another.
func (w *World) spoil(from, to *Proc, m *wire.Message) *wire.Message {
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
func (w *World) spoilLate(from *Proc, m *wire.Message) *wire.Message {
	if w.sabotage != "old tables" || m.Push == nil || from.core == nil || from.core.Table() == nil {
		return m
	}
	c, p, t := *m, *m.Push, *from.core.Table()
	t.Key.Version += 1000
	p.Table, c.Push = &t, &p
	return &c
}

// ---- availability ----

// Row is what a kind of fault, or two at once, left of the service.
type Row struct {
	Kinds                              []string
	Offered, Refused, Failed, NoAnswer int
	Gap                                time.Duration // longest time without an answer of some service
	Whole                              time.Duration // from the fault's beginning to full capacity
	Force                              time.Duration // a change asked for 0.5 s after it: until in force
	Outcome                            string
	Fail                               string
}

// Bad is the part of requests that were not served.
func (r *Row) Bad() float64 {
	return float64(r.Refused+r.Failed+r.NoAnswer) / float64(max(1, r.Offered))
}

// Measure brings faults about once, all at the same moment, and looks at the 25 s
// that follow, in which most end by themselves.
func Measure(seed uint64, p Plan, kinds ...Fault) Row {
	p.Hard = 0 // each request counts once
	var r Row
	for _, k := range kinds {
		r.Kinds = append(r.Kinds, k.Name)
	}
	w := Start(seed, p)
	w.Run(w.now + 3*time.Second)
	b, t0 := w.Stats, w.now
	w.Stats.Gap = 0
	for _, k := range kinds {
		w.log("fault: %s", k.Name)
		k.Do(w)
	}
	r.Outcome = "none"
	w.at(500*time.Millisecond, func() { w.insist(t0+500*time.Millisecond, 0, &r) })
	r.Whole = 0
	for w.now < t0+25*time.Second && w.Fail == "" {
		w.Run(w.now + 100*time.Millisecond)
		if w.missing() != "" || !w.Serves() {
			r.Whole = w.now - t0
		}
	}
	s := w.Stats
	r.Offered, r.Refused, r.Failed, r.NoAnswer = s.Exchanges-b.Exchanges, s.NotRun-b.NotRun, s.Unknown-b.Unknown, s.NoAnswer-b.NoAnswer
	r.Gap = s.Gap
	for _, at := range w.lastOk {
		r.Gap = max(r.Gap, w.now-at)
	}
	r.Fail = w.Fail
	return r
}

// insist asks for a change as mfctl does: under one id, of one member after another,
// for 8 s.
func (w *World) insist(from time.Duration, i int, r *Row) {
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
			r.Force, r.Outcome = w.now-from, "in force"
		case 504:
			r.Force, r.Outcome = w.now-from, "unknown"
		default:
			again("refused")
		}
	})
	w.at(6500*time.Millisecond, func() {
		if !done {
			done = true
			r.Force, r.Outcome = w.now-from, "no answer"
		}
	})
}
