package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// deliver gives a process an event, at once or, if the process is slow, once it has handled what came before.
func (w *World) deliver(p *Process, event statemachine.Event) {
	if !p.alive {
		return
	}
	if !w.delayedBySlowness(p, event) {
		w.step(p, event)
	}
}

// step has a process's state machine handle one event, and carries out its commands.
func (w *World) step(p *Process, event statemachine.Event) { w.stepAt(p, event, p.localTime()) }

// stepAt is the same by a time of the process's own clock.
func (w *World) stepAt(p *Process, event statemachine.Event, now time.Duration) {
	if !p.alive {
		return
	}
	if p.frozen {
		p.heldEvents = append(p.heldEvents, event)
		return
	}
	commands := p.stateMachine().Step(now, event)
	if w.digest != nil {
		w.digest.step(p.name, now, event, commands)
	}
	if p.pauseAfterStep > 0 && slices.ContainsFunc(commands, revealsState) {
		w.pauseBeforeCommands(p, commands)
		return
	}
	for _, c := range commands {
		w.execute(p, c)
	}
	if p.controller != nil {
		w.checkSingleLeader(p)
	} else {
		w.checkRevisionNeverDecreases(p)
	}
}

// stateMachine is what both kinds of daemons are run by.
type stateMachine interface {
	Step(now time.Duration, event statemachine.Event) []statemachine.Command
}

func (p *Process) stateMachine() stateMachine {
	if p.controller != nil {
		return p.controller
	}
	return p.proxy
}

// revealsState says whether a command tells anybody what was decided: a reply to an operator,
// or a table or lease for a proxy.
func revealsState(command statemachine.Command) bool {
	switch c := command.(type) {
	case statemachine.Reply:
		return true
	case statemachine.Send:
		return c.Message.Push != nil
	}
	return false
}

// pauseBeforeCommands freezes a process between a step and its commands: all of them are
// carried out when the process goes on, however late.
func (w *World) pauseBeforeCommands(p *Process, commands []statemachine.Command) {
	pause := p.pauseAfterStep
	p.pauseAfterStep = 0
	w.Freeze(p, pause)
	w.Stats.DelayedSteps++
	p.afterThaw = append(p.afterThaw, func() {
		for _, c := range commands {
			w.execute(p, c)
		}
	})
}

// execute carries out a command, as the daemon's shell does.
func (w *World) execute(p *Process, command statemachine.Command) {
	switch c := command.(type) {
	case statemachine.Send:
		w.send(p, c)
	case statemachine.Sync:
		w.write(p, c)
	case statemachine.Probe:
		w.startHealthCheck(p, c)
	case statemachine.Reply:
		w.reply(c)
	case statemachine.StateChange:
		w.noteStateChange(p, c)
	case statemachine.Publish:
		if c.Decision != nil && c.Decision.Kind != "lapse" {
			w.logf("%s %s %s %s/%s", p.name, c.Decision.Policy, c.Decision.Kind, c.Decision.Service, c.Decision.Name)
		}
	case statemachine.Exit:
		w.exit(p)
	case statemachine.TargetsChanged:
		p.targets = c.Addresses
		maps.DeleteFunc(p.idle, func(id wire.TargetID, _ []*connection) bool { _, listed := c.Addresses[id]; return !listed })
	case statemachine.UnreachableTargets: // requests here wait for their deadlines
	case statemachine.CloseAfterResponse: // persistent connections are closed by the process's state, see closeAfterResponse
	case statemachine.StopAccepting:
		p.rejectsConnections = true
	case statemachine.Forward:
		w.forward(p, c)
	case statemachine.Reject:
		w.rejectRequest(c)
	default:
		panic(fmt.Sprintf("the simulator carries out no command %T", command))
	}
}

// noteStateChange logs a change of a daemon's state and keeps what the checks need to know of it.
func (w *World) noteStateChange(p *Process, c statemachine.StateChange) {
	w.logf("%s %s %s -> %s (%s)", p.name, c.Subject, c.From, c.To, c.Reason)
	if w.disabledGuard == guardReplyInForce && c.Subject == "revision" && p.controller != nil {
		w.checks.acknowledged = max(w.checks.acknowledged, p.controller.Revision())
	}
	if c.Subject == "lead" && c.To == "idle" || c.To == "cut" || c.To == "orphan" {
		w.checks.leadershipLostAt = w.now
	}
	if c.To == "orphan" {
		w.Stats.PeerServing++
	}
}

// exit ends a process that has nothing left to do after its stop signal.
func (w *World) exit(p *Process) {
	if !p.alive {
		return
	}
	w.logf("exit %s", p.name)
	if p.proxy != nil && p.proxy.InFlight() > 0 {
		w.violated(ruleGracefulStop, "%s left %d exchanges behind at a planned stop", p.name, p.proxy.InFlight())
	}
	w.checkNoCallPending(p)
	w.Kill(p)
}
