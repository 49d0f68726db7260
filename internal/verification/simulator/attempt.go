package simulator

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// attempt is one attempt of a request at a target, as the reverse proxy makes it: on an idle connection, or on a
// new one whose target's identity is checked, then the request, then what its end means.
type attempt struct {
	world      *World
	process    *Process
	request    *request
	command    statemachine.Forward
	connection *connection
	reused     bool // the connection has carried a request before
	ended      bool // its response was read or lost
}

// failure is how an attempt failed.
type failure struct {
	outcome  statemachine.Outcome
	sent     bool // the target may have run the request
	timedOut bool // the request's time is over: there is no further attempt
}

// forward carries out a proxy's command to send a request to a target.
func (w *World) forward(p *Process, c statemachine.Forward) {
	r := w.callers.open[c.ID]
	if r == nil || !r.isAt(p) {
		return
	}
	a := &attempt{world: w, process: p, request: r, command: c}
	w.checkChoice(a)
	maxIdle := tuning.ConnIdle
	if r.nonIdempotent && w.Plan.ConnectionLimit > 0 {
		maxIdle = tuning.NonIdempotentIdleMax
	}
	a.connection = w.takeConnection(p, c.Target.ID(), maxIdle)
	a.reused = a.connection != nil
	if !a.reused {
		a.connection = &connection{target: w.targets.listening[c.Target.Addr]}
		w.Stats.OpenedConnections++
	}
	a.connect()
}

// connect opens the connection if it is new, and goes on to write the request.
func (a *attempt) connect() {
	w, t, id := a.world, a.connection.target, a.command.Target.ID()
	switch {
	case t == nil:
		a.fail(w.randomMilliseconds(1, 3), failure{outcome: statemachine.ConnectFailed})
	case !a.reused && !a.targetAnswers():
		a.fail(min(a.command.ConnectTimeout, a.command.TimeLeft), failure{outcome: statemachine.ConnectFailed})
	case !a.reused && t.id() != id && w.disabledGuard != guardIdentity:
		w.Stats.WrongIdentities++
		a.fail(w.randomMilliseconds(1, 3), failure{outcome: statemachine.WrongIdentity})
	default:
		w.schedule(w.randomMilliseconds(0, 2), a.write)
	}
}

// targetAnswers says whether the target of the connection is reachable and not hanging.
func (a *attempt) targetAnswers() bool {
	return !a.connection.target.hanging && a.world.connected(a.process.name, a.connection.target.name)
}

// write is the moment at which a request's first byte goes out; a process that
// is frozen then goes on with it when it thaws.
func (a *attempt) write() {
	w, p, r := a.world, a.process, a.request
	if !p.alive || p.incarnation != r.incarnation {
		return
	}
	if p.frozen {
		p.afterThaw = append(p.afterThaw, a.write)
		return
	}
	if p.localTime() > a.command.WriteBy {
		a.fail(0, failure{outcome: statemachine.ChoiceExpired})
		return
	}
	w.checkWrite(a)
	if r.nextIsRetry {
		w.Stats.Retries++
	}
	w.callers.attempts[r.service] = append(w.callers.attempts[r.service], attemptRecord{w.now, r.nextIsRetry})
	r.nextIsRetry = false
	w.schedule(0, a.arrive)
}

// arrive is the moment at which a request reaches its target, which may reject it or run it.
func (a *attempt) arrive() {
	w, r, t := a.world, a.request, a.connection.target
	if t.service != r.service {
		w.violated(ruleRightService, "exchange %d for %s reached %s", r.id, r.service, t.fullName())
	}
	lost := failure{outcome: statemachine.ResponseLost, sent: true}
	switch {
	case !t.alive:
		a.fail(0, lost)
		return
	case !a.targetAnswers():
		r.sent = true
		a.fail(a.command.TimeLeft, failure{outcome: statemachine.ResponseLost, sent: true, timedOut: true})
		return
	}
	w.checkWarmupRate(t)
	if !a.reused && w.overConnectionLimit(t, a.command.Target.ID()) {
		r.sent = true
		a.fail(0, lost)
		return
	}
	if w.targetRejects(t) {
		if t.resetsWhenFull {
			a.fail(0, lost)
		} else {
			a.fail(0, failure{outcome: statemachine.TargetRejected, sent: true})
		}
		return
	}
	a.run()
}

// targetRejects says whether a target is full: it has as many requests at work and waiting as it takes.
func (w *World) targetRejects(t *Target) bool {
	if w.Plan.Slots == 0 || len(t.inFlight) < w.Plan.Slots+targetQueueLength {
		return false
	}
	w.Stats.TargetRejections++
	return true
}

// run has the target run the request, and respond after its service time.
func (a *attempt) run() {
	w, p, t := a.world, a.process, a.connection.target
	w.checkExecution(t, a.request)
	t.inFlight = append(t.inFlight, a.request)
	p.attempts = append(p.attempts, a)
	if a.connection.surplusAt > 0 { // it is then read in place of the response
		w.schedule(a.connection.surplusAt-w.now, func() { w.readSurplusResponse(a) })
	}
	w.schedule(t.serviceTime, func() {
		a.leaveTarget()
		if a.end() { // else the proxy has given this connection up
			a.respond()
		}
	})
}

// respond is the moment at which the target has run the request.
func (a *attempt) respond() {
	w, r, t := a.world, a.request, a.connection.target
	if !t.alive || t.losesResponses {
		w.Stats.LostResponses++
		if r.nonIdempotent {
			w.Stats.LostNonIdempotent++
		}
		a.fail(0, failure{outcome: statemachine.ResponseLost, sent: true})
		return
	}
	outcome := statemachine.Served
	if t.fails {
		outcome = statemachine.ServerError
	}
	a.whileOpen(0, func() {
		w.returnConnection(a.process, a.command.Target.ID(), a.connection, a.command.MaxIdle)
		w.deliver(a.process, statemachine.AttemptDone{ID: r.id, Outcome: outcome, Milliseconds: milliseconds(t.serviceTime), Last: true})
		w.finishRequest(r, outcomeServed)
	})
}

// leaveTarget takes the request out of the target's work.
func (a *attempt) leaveTarget() {
	t := a.connection.target
	t.inFlight = slices.DeleteFunc(t.inFlight, func(r *request) bool { return r == a.request })
}

// end notes that the response was read or lost; it says whether the attempt had not ended before.
func (a *attempt) end() bool {
	if a.ended {
		return false
	}
	a.ended = true
	a.process.attempts = slices.DeleteFunc(a.process.attempts, func(other *attempt) bool { return other == a })
	return true
}

// loseResponse ends an attempt whose connection is closed: the target drops what has run so far.
func (a *attempt) loseResponse() {
	a.leaveTarget()
	a.fail(0, failure{outcome: statemachine.ResponseLost, sent: true})
}

// whileOpen runs a function after a delay if the request is still open then, at the same start of its proxy.
func (a *attempt) whileOpen(delay time.Duration, run func()) {
	w, p, r := a.world, a.process, a.request
	w.schedule(delay, func() {
		if p.alive && p.incarnation == r.incarnation && w.callers.open[r.id] == r {
			run()
		}
	})
}

// fail tells the proxy after a delay that the attempt failed, and either ends the request or asks for a retry.
func (a *attempt) fail(delay time.Duration, f failure) {
	w, r := a.world, a.request
	a.whileOpen(delay, func() {
		w.deliver(a.process, statemachine.AttemptDone{ID: r.id, Outcome: f.outcome, Milliseconds: milliseconds(delay)})
		if w.callers.open[r.id] == r {
			a.retryOrGiveUp(f)
		}
	})
}

func (a *attempt) retryOrGiveUp(f failure) {
	w, p, r := a.world, a.process, a.request
	budgeted := w.disabledGuard != guardRetryBudget
	if f.outcome == statemachine.TargetRejected {
		r.nextIsRetry = true
		w.deliver(p, statemachine.Retry{ID: r.id, Sent: budgeted})
		return
	}
	r.sent = r.sent || f.sent
	mayRunTwice := f.sent && r.nonIdempotent && w.disabledGuard != guardAtMostOnce
	switch {
	case !f.timedOut && !mayRunTwice:
		r.nextIsRetry = f.sent
		w.deliver(p, statemachine.Retry{ID: r.id, Sent: f.sent && budgeted})
	case r.sent:
		w.deliver(p, statemachine.Cancel{ID: r.id})
		w.finishRequest(r, outcomeUnknown)
	default:
		w.deliver(p, statemachine.Cancel{ID: r.id})
		w.finishRequest(r, outcomeRejected)
	}
}
