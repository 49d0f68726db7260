package simulator

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// attempt is one attempt to send a request to a target. Like the reverse proxy, it takes an idle connection or opens a new
// one and checks the target's identity, writes the request, and maps the result to an outcome.
type attempt struct {
	world      *World
	process    *Process
	request    *request
	command    statemachine.Forward
	connection *connection
	reused     bool // the connection has carried a request before
	done       bool // the response was read or lost
}

// failure describes how an attempt failed.
type failure struct {
	outcome  statemachine.Outcome
	sent     bool // the target may have run the request
	timedOut bool // the request's deadline has passed, so it isn't retried
}

// forward executes a proxy's command to send a request to a target.
func (w *World) forward(process *Process, command statemachine.Forward) {
	request := w.callers.open[command.ID]
	if request == nil || !request.isAt(process) {
		return
	}
	a := &attempt{world: w, process: process, request: request, command: command}
	w.checkChoice(a)
	maxIdle := tuning.ConnIdleTimeout
	if request.nonIdempotent && w.Plan.ConnectionLimit > 0 {
		maxIdle = tuning.NonIdempotentIdleMax
	}
	a.connection = w.takeConnection(process, command.Target.ID(), maxIdle)
	a.reused = a.connection != nil
	if !a.reused {
		a.connection = &connection{target: w.targets.listening[command.Target.Addr]}
		w.Stats.OpenedConnections++
	}
	a.connect()
}

// connect opens the connection if it is new, then writes the request.
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

// targetAnswers reports whether the target of the connection is reachable and not hanging.
func (a *attempt) targetAnswers() bool {
	return !a.connection.target.hanging && a.world.connected(a.process.name, a.connection.target.name)
}

// write writes the first byte of the request. If the process is frozen, it does so after the thaw.
func (a *attempt) write() {
	world, process, request := a.world, a.process, a.request
	if !process.alive || process.incarnation != request.incarnation {
		return
	}
	if process.frozen {
		process.afterThaw = append(process.afterThaw, a.write)
		return
	}
	if process.localTime() > a.command.WriteBy {
		a.fail(0, failure{outcome: statemachine.ChoiceExpired})
		return
	}
	world.checkWrite(a)
	if request.nextIsRetry {
		world.Stats.Retries++
	}
	world.callers.attempts[request.service] = append(world.callers.attempts[request.service], attemptRecord{world.now, request.nextIsRetry})
	request.nextIsRetry = false
	world.schedule(0, a.arrive)
}

// arrive delivers the request to its target, which rejects or runs it.
func (a *attempt) arrive() {
	world, request, target := a.world, a.request, a.connection.target
	if target.service != request.service {
		world.violated(ruleRightService, "request %d for service %s reached target %s", request.id, request.service, target.fullName())
	}
	lost := failure{outcome: statemachine.ResponseLost, sent: true}
	switch {
	case !target.alive:
		a.fail(0, lost)
		return
	case !a.targetAnswers():
		request.sent = true
		a.fail(a.command.TimeLeft, failure{outcome: statemachine.ResponseLost, sent: true, timedOut: true})
		return
	}
	world.checkWarmupRate(target)
	if !a.reused && world.overConnectionLimit(target, a.command.Target.ID()) {
		request.sent = true
		a.fail(0, lost)
		return
	}
	if world.targetRejects(target) {
		if target.resetsWhenFull {
			a.fail(0, lost)
		} else {
			a.fail(0, failure{outcome: statemachine.TargetRejected, sent: true})
		}
		return
	}
	a.run()
}

// targetRejects reports whether a target is full: all its slots and its whole queue are in use.
func (w *World) targetRejects(t *Target) bool {
	if w.Plan.Slots == 0 || len(t.inFlight) < w.Plan.Slots+targetQueueLength {
		return false
	}
	w.Stats.TargetRejections++
	return true
}

// run lets the target run the request and respond after its service time.
func (a *attempt) run() {
	w, p, t := a.world, a.process, a.connection.target
	w.checkExecution(t, a.request)
	t.inFlight = append(t.inFlight, a.request)
	p.attempts = append(p.attempts, a)
	if a.connection.surplusAt > 0 { // the proxy reads the surplus response instead of this request's response
		w.schedule(a.connection.surplusAt-w.now, func() { w.readSurplusResponse(a) })
	}
	w.schedule(t.serviceTime, func() {
		a.leaveTarget()
		if a.end() { // otherwise the proxy has closed this connection already
			a.respond()
		}
	})
}

// respond handles the end of the request at the target: the response is lost or reaches the proxy.
func (a *attempt) respond() {
	world, request, target := a.world, a.request, a.connection.target
	if !target.alive || target.losesResponses {
		world.Stats.LostResponses++
		if request.nonIdempotent {
			world.Stats.LostNonIdempotent++
		}
		a.fail(0, failure{outcome: statemachine.ResponseLost, sent: true})
		return
	}
	outcome := statemachine.Served
	if target.fails {
		outcome = statemachine.ServerError
	}
	a.whileOpen(0, func() {
		world.returnConnection(a.process, a.command.Target.ID(), a.connection, a.command.MaxIdle)
		world.deliver(a.process, statemachine.AttemptDone{ID: request.id, Outcome: outcome, Milliseconds: milliseconds(target.serviceTime), Last: true})
		world.finishRequest(request, outcomeServed)
	})
}

// leaveTarget removes the request from the target's requests in flight.
func (a *attempt) leaveTarget() {
	t := a.connection.target
	t.inFlight = slices.DeleteFunc(t.inFlight, func(r *request) bool { return r == a.request })
}

// end marks the response as read or lost. It reports whether the attempt hadn't ended before.
func (a *attempt) end() bool {
	if a.done {
		return false
	}
	a.done = true
	a.process.attempts = slices.DeleteFunc(a.process.attempts, func(other *attempt) bool { return other == a })
	return true
}

// loseResponse ends an attempt whose connection was closed. The target aborts the request.
func (a *attempt) loseResponse() {
	a.leaveTarget()
	a.fail(0, failure{outcome: statemachine.ResponseLost, sent: true})
}

// whileOpen runs a function after a delay, unless the request has ended by then or its proxy has been killed or restarted.
func (a *attempt) whileOpen(delay time.Duration, run func()) {
	w, p, r := a.world, a.process, a.request
	w.schedule(delay, func() {
		if p.alive && p.incarnation == r.incarnation && w.callers.open[r.id] == r {
			run()
		}
	})
}

// fail reports a failed attempt to the proxy after a delay, and either ends the request or asks for a retry.
func (a *attempt) fail(delay time.Duration, f failure) {
	w, r := a.world, a.request
	a.whileOpen(delay, func() {
		w.deliver(a.process, statemachine.AttemptDone{ID: r.id, Outcome: f.outcome, Milliseconds: milliseconds(delay)})
		if w.callers.open[r.id] == r {
			a.retryOrGiveUp(f)
		}
	})
}

// retryOrGiveUp asks the proxy for a retry, or ends the request if a retry is not allowed.
func (a *attempt) retryOrGiveUp(failed failure) {
	world, process, request := a.world, a.process, a.request
	countRetries := world.disabledGuard != guardRetryBudget
	if failed.outcome == statemachine.TargetRejected {
		request.nextIsRetry = true
		world.deliver(process, statemachine.Retry{ID: request.id, Sent: countRetries})
		return
	}
	request.sent = request.sent || failed.sent
	mayRunTwice := failed.sent && request.nonIdempotent && world.disabledGuard != guardAtMostOnce
	switch {
	case !failed.timedOut && !mayRunTwice:
		request.nextIsRetry = failed.sent
		world.deliver(process, statemachine.Retry{ID: request.id, Sent: failed.sent && countRetries})
	case request.sent:
		world.deliver(process, statemachine.Cancel{ID: request.id})
		world.finishRequest(request, outcomeUnknown)
	default:
		world.deliver(process, statemachine.Cancel{ID: request.id})
		world.finishRequest(request, outcomeRejected)
	}
}
