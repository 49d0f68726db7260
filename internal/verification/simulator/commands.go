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

// deliver delivers an event to a process: at once, or after the process's backlog if the process is slow.
func (w *World) deliver(p *Process, event statemachine.Event) {
	if !p.alive {
		return
	}
	if !w.delayedBySlowness(p, event) {
		w.step(p, event)
	}
}

// step lets a process's state machine handle one event, and executes the resulting commands.
func (w *World) step(p *Process, event statemachine.Event) { w.stepAt(p, event, p.localTime()) }

// stepAt is like step, with the given time of the process's own clock.
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

// stateMachine is the interface that the state machines of both daemon kinds implement.
type stateMachine interface {
	Step(now time.Duration, event statemachine.Event) []statemachine.Command
}

func (p *Process) stateMachine() stateMachine {
	if p.controller != nil {
		return p.controller
	}
	return p.proxy
}

// revealsState reports whether a command discloses a decision: a reply to an operator, or a push of a table or lease to a
// proxy.
func revealsState(command statemachine.Command) bool {
	switch c := command.(type) {
	case statemachine.Reply:
		return true
	case statemachine.Send:
		return c.Message.Push != nil
	}
	return false
}

// pauseBeforeCommands freezes a process between a step and the execution of its commands. They are executed when the process
// thaws, however late that is.
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

// execute executes a command, as package daemon does.
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
	case statemachine.CheckCaller:
		w.checkCaller(process, c)
	case statemachine.StateChange:
		w.recordStateChange(process, c)
	case statemachine.Publish:
		if c.Decision != nil && c.Decision.Kind != outlier.KindLapse {
			w.logf("%s %s %s %s/%s", process.name, c.Decision.Policy, c.Decision.Kind, c.Decision.Service, c.Decision.Name)
		}
	case statemachine.Exit:
		w.exit(process)
	case statemachine.TargetsChanged:
		process.targets = c.Addresses
		maps.DeleteFunc(process.idle, func(id wire.TargetID, _ []*connection) bool { _, listed := c.Addresses[id]; return !listed })
	case statemachine.UnreachableTargets: // the simulator lets requests wait for their deadlines
	case statemachine.CloseAfterResponse: // persistent connections are closed by the process's state, see closeAfterResponse
	case statemachine.StopAccepting:
		process.rejectsConnections = true
	case statemachine.Forward:
		w.forward(process, c)
	case statemachine.Reject:
		w.rejectRequest(c)
	default:
		panic(fmt.Sprintf("simulator: unknown command type %T", command))
	}
}

// recordStateChange logs a state change of a daemon and records what the checks need.
func (w *World) recordStateChange(p *Process, c statemachine.StateChange) {
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

// exit executes a process's command to exit at the end of its graceful stop.
func (w *World) exit(p *Process) {
	if !p.alive {
		return
	}
	w.logf("exit %s", p.name)
	if p.proxy != nil && p.proxy.InFlight() > 0 {
		w.violated(ruleGracefulStop, "%s exited with %d requests in flight after a planned stop", p.name, p.proxy.InFlight())
	}
	w.checkNoCallPending(p)
	w.Kill(p)
}
