package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/outlier"
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
func (w *World) stepAt(process *Process, event statemachine.Event, now time.Duration) {
	if !process.alive {
		return
	}
	if process.frozen {
		process.heldEvents = append(process.heldEvents, event)
		return
	}
	commands := process.stateMachine().Step(now, event)
	if w.digest != nil {
		w.digest.step(process.name, now, event, commands)
	}
	if process.pauseAfterStep > 0 && slices.ContainsFunc(commands, revealsState) {
		w.pauseBeforeCommands(process, commands)
		return
	}
	for _, c := range commands {
		w.execute(process, c)
	}
	if process.controller != nil {
		w.checkSingleLeader(process)
	} else {
		w.checkRevisionNeverDecreases(process)
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
func (w *World) execute(process *Process, command statemachine.Command) {
	switch c := command.(type) {
	case statemachine.Send:
		w.send(process, c)
	case statemachine.Sync:
		w.write(process, c)
	case statemachine.Probe:
		w.startHealthCheck(process, c)
	case statemachine.Reply:
		w.reply(c)
	case statemachine.StateChange:
		w.noteStateChange(process, c)
	case statemachine.Publish:
		if c.Decision != nil && c.Decision.Kind != outlier.KindLapse {
			w.logf("%s %s %s %s/%s", process.name, c.Decision.Policy, c.Decision.Kind, c.Decision.Service, c.Decision.Name)
		}
	case statemachine.Exit:
		w.exit(process)
	case statemachine.TargetsChanged:
		process.targets = c.Addresses
		maps.DeleteFunc(process.idle, func(id wire.TargetID, _ []*connection) bool { _, listed := c.Addresses[id]; return !listed })
	case statemachine.UnreachableTargets: // requests here wait for their deadlines
	case statemachine.CloseAfterResponse: // persistent connections are closed by the process's state, see closeAfterResponse
	case statemachine.StopAccepting:
		process.rejectsConnections = true
	case statemachine.Forward:
		w.forward(process, c)
	case statemachine.Reject:
		w.rejectRequest(c)
	default:
		panic(fmt.Sprintf("the simulator carries out no command %T", command))
	}
}

// noteStateChange logs a change of a daemon's state and keeps what the checks need to know of it.
func (w *World) noteStateChange(p *Process, c statemachine.StateChange) {
	w.logf("%s %s %s -> %s (%s)", p.name, c.Subject, c.From, c.To, c.Reason)
	if w.disabledGuard == guardReplyInForce && c.Subject == statemachine.SubjectRevision && p.controller != nil {
		w.checks.acknowledged = max(w.checks.acknowledged, p.controller.Revision())
	}
	leaseLost := c.Subject == statemachine.SubjectLeadership && c.To == controlplane.NotLeading.String()
	if leaseLost || c.To == dataplane.Isolated.String() || c.To == dataplane.PeerServing.String() {
		w.checks.leadershipLostAt = w.now
	}
	if c.To == dataplane.PeerServing.String() {
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
