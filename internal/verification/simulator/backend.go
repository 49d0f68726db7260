// This file is the simulated back ends: their words, probes, crashes and leavings.

package simulator

import (
	"encoding/json"
	"fmt"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// Target is one start of a back end; a restart is another Target.
type Target struct {
	service, name, domain, addr string
	inc                         uint64
	alive                       bool
	hang                        bool
	lose                        bool
	surplus                     bool // sends answers that nobody waits for
	fail                        bool
	deaf                        bool // misses probes, beats and serves
	state                       wire.TargetState
	leftAt                      time.Duration // when a daemon first took its word that it leaves
	goneAt                      time.Duration
	works                       []*request // those in work
	work, usual                 time.Duration
	coldTill                    time.Duration
	coldTold                    time.Duration // the end that a daemon has acknowledged, and when all must keep to it
	coldFrom                    time.Duration
	resets                      bool            // when full it resets connections and says nothing
	came                        []time.Duration // arrivals while it is cold, of the last second
	still                       bool            // says nothing, but serves and answers probes
	named                       bool            // its words go by PUT and are numbered
	number                      uint64
}

// AddTarget starts a back end, which is warming up for so long.
func (w *World) AddTarget(svc, name, domain, addr string, warm time.Duration) *Target {
	w.nextInc++
	t := &Target{service: svc, name: name, domain: domain, addr: addr, inc: w.nextInc + uint64(w.rnd.IntN(1000))*100000, alive: true,
		state: wire.TargetReady, usual: w.ms(5, 30)}
	t.work = t.usual
	t.named = w.nextInc%3 != 0
	if w.Plan.WarmupRate > 0 && w.now > coldSpan {
		t.coldTill = w.now + coldSpan
		t.coldTold = t.coldTill // a start is cold for its service's span, whoever has heard
	}
	t.resets = w.nextInc%5 == 0
	if warm > 0 && w.Plan.WarmupRate == 0 {
		t.state = wire.TargetWarming
		w.at(warm, func() {
			if t.state == wire.TargetWarming {
				t.state = wire.TargetReady
			}
		})
	}
	w.targets = append(w.targets, t)
	w.listen[addr] = t
	var beat func()
	beat = func() {
		if !t.alive {
			return
		}
		if !t.hang && !t.still {
			t.number++
			w.beat(t, 0)
		}
		w.at(w.beats(), beat)
	}
	w.at(w.ms(0, 300), beat)
	return t
}

func (w *World) beats() time.Duration {
	if w.Plan.HeartbeatEvery > 0 {
		return w.Plan.HeartbeatEvery
	}
	return tuning.TargetHeartbeatEvery
}

// beat goes to the first of three daemons, tried in turn, that takes it.
func (w *World) beat(t *Target, tries int) {
	if tries > 3 {
		return
	}
	names := w.names
	if w.Plan.ReportToControlOnly {
		names = w.all(wire.ControlDaemon)
	}
	p := w.procs[names[w.rnd.IntN(len(names))]]
	state, cold := t.state, t.coldTill
	done := false
	again := func() {
		if !done && t.alive {
			done = true
			w.beat(t, tries+1)
		}
	}
	if !p.alive || !w.reach(t.name, p.name) || !w.reach(p.name, t.name) {
		w.at(w.ms(0, 3), again)
		return
	}
	method, path, b := w.word(t, w.heard(state))
	w.call(p, method, path, "", b, "", func(r statemachine.Reply) {
		if r.Status >= 300 {
			again()
			return
		}
		done = true
		if cold > w.now && t.coldTold != cold {
			t.coldTold, t.coldFrom = cold, w.now+coldHeard
		}
		if state == wire.TargetLeaving && t.leftAt == 0 {
			t.leftAt = w.now
			w.Stats.Drains++
			w.log("%s/%s leaving, taken by %s", t.service, t.name, p.name)
		}
	})
	w.at(w.beats()/3, again) // not acknowledged: the next daemon hears it
}

// word is a call that says how a target is.
func (w *World) word(t *Target, state wire.TargetState) (method, path string, body []byte) {
	b := config.TargetReport{Service: t.service, Name: t.name, Incarnation: t.inc, Address: t.addr, Domain: t.domain, State: state, Slots: int64(w.Plan.Slots)}
	if t.coldTill > w.now && w.sabotage != "cold" {
		b.WarmupLeftMs = (t.coldTill - w.now).Milliseconds() + 1
	}
	if method, path = "POST", "/v1/targets"; t.named {
		method, path = "PUT", "/v1/targets/"+t.name
		b.Number = t.number
		if b.Slots == 0 {
			b.Slots = DefaultSlots
		}
	}
	body, _ = json.Marshal(b)
	return method, path, body
}

// say has a daemon hear a target's word, as a late or repeated one would be.
func (w *World) say(p *Process, t *Target, state wire.TargetState) {
	b, _ := json.Marshal(config.TargetReport{Service: t.service, Name: t.name, Incarnation: t.inc, Address: t.addr, Domain: t.domain, State: state})
	w.call(p, "POST", "/v1/targets", "", b, "", func(statemachine.Reply) {})
}

// CrashTarget ends a back end without a word.
func (w *World) CrashTarget(t *Target) {
	if !t.alive {
		return
	}
	w.log("crash %s/%s", t.service, t.name)
	t.alive, t.goneAt = false, w.now
	w.Stats.TargetCrashes++
	if w.listen[t.addr] == t {
		delete(w.listen, t.addr)
	}
}

// DrainTarget has a back end announce that it leaves, wait, sign off and end; then runs after.
func (w *World) DrainTarget(t *Target, after func()) {
	t.state = wire.TargetLeaving
	t.number++
	w.beat(t, 0)
	var end func()
	end = func() {
		if !t.alive {
			return
		}
		if len(t.works) > 0 || t.leftAt == 0 || w.now-t.leftAt < 2500*time.Millisecond {
			w.at(tuning.TargetHeartbeatEvery, end)
			return
		}
		p := w.procs[w.names[w.rnd.IntN(len(w.names))]]
		w.call(p, "DELETE", "/v1/targets/"+t.service+"/"+t.name, fmt.Sprintf("incarnation=%d", t.inc), nil, "", func(statemachine.Reply) {})
		w.at(w.ms(50, 100), func() {
			w.CrashTarget(t)
			after()
		})
	}
	w.at(3*time.Second, end)
}

func (w *World) probe(p *Process, c statemachine.Probe) {
	gen, sent := p.gen, p.local()
	answer := func(d time.Duration, b *config.TargetReport) {
		w.at(d, func() {
			if p.gen == gen {
				w.deliver(p, statemachine.ProbeResult{ID: c.ID, SentAt: sent, Milliseconds: float64(d) / 1e6, Report: b})
			}
		})
	}
	t := w.listen[c.Addr]
	switch {
	case w.sabotage == "probes":
		answer(w.ms(1, 5), &config.TargetReport{Service: c.ID.Service, Name: c.ID.Name, Incarnation: c.ID.Incarnation, State: wire.TargetReady})
	case t != nil && (t.hang || t.deaf || !w.reach(p.name, t.name) || !w.reach(t.name, p.name)):
		answer(tuning.ProbeTimeout, nil)
	case t == nil:
		if w.rnd.IntN(2) == 0 { // refused, or a machine that is gone
			answer(w.ms(1, 2), nil)
		} else {
			answer(tuning.ProbeTimeout, nil)
		}
	default:
		answer(w.ms(1, 5), &config.TargetReport{Service: t.service, Name: t.name, Incarnation: t.inc, Address: t.addr, Domain: t.domain, State: w.heard(t.state)})
	}
}

func (w *World) pickTarget() *Target {
	var l []*Target
	for _, t := range w.targets {
		if t.alive && t.state != wire.TargetLeaving {
			l = append(l, t)
		}
	}
	if len(l) == 0 {
		return nil
	}
	return l[w.rnd.IntN(len(l))]
}
