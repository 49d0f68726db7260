// This file is the simulated callers and their requests, from the proxy's choice to
// the last answer.

package simulator

import (
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
)

type request struct {
	id     uint64
	svc    string
	unsafe bool
	gate   *Process
	gen    int
	ran    int
	sent   bool
	retry  bool
	final  string
	hard   int
	rev    uint64          // the proxy's when it chose
	kept   *keptConnection // the connection that it came on, nil: one of its own
}

type tick struct {
	at    time.Duration
	retry bool
}

// Callers sends requests at the plan's rate until the world is quiet.
func (w *World) StartCallers() {
	var next func()
	next = func() {
		if w.quiet {
			return
		}
		svcs := slices.Sorted(maps.Keys(w.Plan.Services))
		svc, unsafe := svcs[w.rnd.IntN(len(svcs))], w.rnd.Float64() < w.Plan.NonIdempotent
		if w.Plan.PersistentConnections > 0 {
			w.requestOnKept(svc, unsafe)
		} else {
			w.request(svc, unsafe, 0)
		}
		w.at(time.Duration(w.rnd.ExpFloat64()*float64(time.Second)/w.Plan.Rate), next)
	}
	w.at(0, next)
}

func (w *World) request(svc string, unsafe bool, hard int) {
	if p := w.pickProxy(); p != nil {
		w.requestAt(p, svc, unsafe, hard)
	}
}

// pickProxy draws one of the proxies that take new connections: those that are ready, or all that run if
// none is; nil: none runs.
func (w *World) pickProxy() *Process {
	var ready []*Process
	for _, n := range w.names {
		if p := w.procs[n]; p.kind == wire.ProxyDaemon && p.alive && !p.frozen && p.gate.Ready() {
			ready = append(ready, p)
		}
	}
	if len(ready) == 0 {
		for _, n := range w.names {
			if p := w.procs[n]; p.kind == wire.ProxyDaemon && p.alive && !p.intakeClosed {
				ready = append(ready, p)
			}
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[w.rnd.IntN(len(ready))]
}

func (w *World) requestAt(p *Process, svc string, unsafe bool, hard int) {
	w.nextEx++
	x := &request{id: w.nextEx, svc: svc, unsafe: unsafe, gate: p, gen: p.gen, hard: hard, kept: w.onKept}
	w.open[x.id] = x
	w.Stats.Requests++
	m := "GET"
	if unsafe && w.sabotage != "resend" { // that takes the owner's own guard out too
		m = "POST"
	}
	path := "/a"
	if m == "POST" {
		path = "/once/a"
	}
	w.deliver(p, statemachine.Admit{ID: x.id, Host: "x", Path: "/" + svc + path, Method: m})
}

func (w *World) end(x *request, final string) {
	x.final = final
	delete(w.open, x.id)
	w.closeAfterAnswer(x)
	switch final {
	case "served":
		w.Stats.Served++
		if !w.quiet {
			w.Stats.LongestGap = max(w.Stats.LongestGap, w.now-w.lastOk[x.svc])
		}
		w.lastOk[x.svc] = w.now
		w.okAt = append(w.okAt, w.now)
	case "no":
		w.Stats.Rejected++
		if x.ran > 0 {
			w.broken("refused but ran", "exchange %d had run %d times", x.id, x.ran)
		}
	case "unknown":
		w.Stats.Unknown++
		if w.planned {
			w.broken("in flight", "exchange %d at %s was lost during planned work", x.id, x.gate.name)
		}
	}
	if final != "served" && x.hard < 3 && w.rnd.Float64() < w.Plan.Resubmitted {
		w.at(w.ms(0, 5), func() { w.request(x.svc, x.unsafe, x.hard+1) })
	}
}

func (w *World) refused(c statemachine.Reject) {
	x := w.open[c.ID]
	if x == nil {
		return
	}
	if c.Status == 503 && c.RetryAfter == 0 {
		w.broken("come back when", "a refusal without Retry-After")
	}
	if x.sent && w.sabotage != "say no" {
		w.end(x, "unknown")
	} else {
		w.end(x, "no")
	}
}

// give plays the forwarder: a pooled connection or a new one with its identity checked,
// then the request, then what its end means.
func (w *World) give(p *Process, c statemachine.Forward) {
	x := w.open[c.ID]
	if x == nil || x.gate != p || x.gen != p.gen {
		return
	}
	w.checkGive(p, &c, x)
	id := c.Target.ID()
	idle := tuning.ConnIdle
	if x.unsafe && w.Plan.ConnectionLimit > 0 {
		idle = tuning.NonIdempotentIdleMax
	}
	conn := w.takeConnection(p, id, idle)
	pooled := conn != nil
	if !pooled {
		conn = &connection{target: w.listen[c.Target.Addr]}
		w.Stats.OpenedConnections++
	}
	t := conn.target
	back := func(d time.Duration, fn func()) {
		w.at(d, func() {
			if p.alive && p.gen == x.gen && w.open[x.id] == x {
				fn()
			}
		})
	}
	fail := func(d time.Duration, o statemachine.Outcome, sent, late bool) {
		back(d, func() {
			w.deliver(p, statemachine.AttemptDone{ID: x.id, Outcome: o, Milliseconds: float64(d) / 1e6})
			if w.open[x.id] != x {
				return
			}
			if o == statemachine.TargetRejected {
				x.retry = true
				w.deliver(p, statemachine.Retry{ID: x.id, Sent: w.sabotage != "budget"})
				return
			}
			x.sent = x.sent || sent
			if late || sent && x.unsafe && w.sabotage != "resend" {
				w.deliver(p, statemachine.Cancel{ID: x.id})
				if x.sent {
					w.end(x, "unknown")
				} else {
					w.end(x, "no")
				}
				return
			}
			x.retry = sent
			w.deliver(p, statemachine.Retry{ID: x.id, Sent: sent && w.sabotage != "budget"})
		})
	}
	switch {
	case t == nil:
		fail(w.ms(1, 3), statemachine.ConnectFailed, false, false)
		return
	case !pooled && (t.hang || !w.reach(p.name, t.name) || !w.reach(t.name, p.name)):
		fail(min(c.ConnectTimeout, c.TimeLeft), statemachine.ConnectFailed, false, false)
		return
	case !pooled && (t.service != id.Service || t.name != id.Name || t.inc != id.Incarnation) && w.sabotage != "identity":
		w.Stats.WrongIdentities++
		fail(w.ms(1, 3), statemachine.WrongIdentity, false, false)
		return
	}
	w.at(w.ms(0, 2), func() { w.write(p, c, x, conn, pooled, back, fail) })
}

// write is the moment at which a request's first byte goes out; a process that
// is frozen then goes on with it when it thaws.
func (w *World) write(p *Process, c statemachine.Forward, x *request, conn *connection, pooled bool, back func(time.Duration, func()), fail func(time.Duration, statemachine.Outcome, bool, bool)) {
	id, t := c.Target.ID(), conn.target
	if !p.alive || p.gen != x.gen {
		return
	}
	if p.frozen {
		p.thawed = append(p.thawed, func() { w.write(p, c, x, conn, pooled, back, fail) })
		return
	}
	if p.local() > c.WriteBy {
		fail(0, statemachine.ChoiceExpired, false, false)
		return
	}
	w.checkWrite(p, &c, x)
	if x.retry {
		w.Stats.Retries++
	}
	w.sends[x.svc] = append(w.sends[x.svc], tick{w.now, x.retry})
	x.retry = false
	w.at(0, func() {
		if t.service != x.svc {
			w.broken("wrong service", "exchange %d for %s reached %s/%s", x.id, x.svc, t.service, t.name)
		}
		switch {
		case !t.alive:
			fail(0, statemachine.ResponseLost, true, false)
			return
		case t.hang || !w.reach(p.name, t.name) || !w.reach(t.name, p.name):
			x.sent = true
			fail(c.TimeLeft, statemachine.ResponseLost, true, true)
			return
		}
		w.checkCold(t)
		if !pooled && w.overCap(t, id) {
			x.sent = true
			fail(0, statemachine.ResponseLost, true, false)
			return
		}
		if w.turnsAway(t) {
			how := statemachine.TargetRejected
			if t.resets {
				how = statemachine.ResponseLost
			}
			fail(0, how, true, false)
			return
		}
		w.runs(t, x)
		t.works = append(t.works, x)
		leave := func() { t.works = slices.DeleteFunc(t.works, func(o *request) bool { return o == x }) }
		try := w.beginAttempt(p, x, conn, func() {
			leave() // its connection is closed: the target drops what has run so far
			fail(0, statemachine.ResponseLost, true, false)
		})
		w.at(t.work, func() {
			leave()
			switch {
			case !w.endAttempt(p, try): // the proxy has given this connection up
			case !t.alive || t.lose:
				w.Stats.LostResponses++
				if x.unsafe {
					w.Stats.LostNonIdempotent++
				}
				fail(0, statemachine.ResponseLost, true, false)
			default:
				o := statemachine.Served
				if t.fail {
					o = statemachine.ServerError
				}
				back(0, func() {
					w.keepConnection(p, id, conn, c.MaxIdle)
					w.deliver(p, statemachine.AttemptDone{ID: x.id, Outcome: o, Milliseconds: float64(t.work) / 1e6, Last: true})
					w.end(x, "served")
				})
			}
		})
	})
}

// turnsAway says that a target is full: it has as many requests at work and waiting as it takes.
func (w *World) turnsAway(t *Target) bool {
	if w.Plan.Slots == 0 || len(t.works) < w.Plan.Slots+queued {
		return false
	}
	w.Stats.TargetRejections++
	return true
}
