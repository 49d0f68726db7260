package simulator

import (
	"io"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// LimitedResources has processes take time for what they handle, and links for what goes over them.
type LimitedResources struct {
	ControlShare, ProxyShare float64 // parts of a processor that a control daemon and a proxy have
	ProxyLink                float64 // bytes a second of a proxy's link, each way
}

// What a process that has a processor of its own takes for one message or event, and for a
// byte: system calls, reading and writing, and the state machine's step.
const (
	eventCost = 60 * time.Microsecond
	byteCost  = 10 * time.Nanosecond
	// callCost is an HTTP call of a target or an operator, with its reply.
	callCost = 3 * eventCost
	// dialCost is a new connection to a target, with its end.
	dialCost = 3 * eventCost
)

// task is what processor time is spent on; messages are "send" or "receive" and their kind.
type task string

const (
	taskTick        task = "tick"
	taskCall        task = "call"
	taskHealthCheck task = "probe"
)

func sendTask(m *wire.Message) task    { return task("send " + m.Kind.String()) }
func receiveTask(m *wire.Message) task { return task("receive " + m.Kind.String()) }

// usage is what a process uses of its processor and link, where these are limited.
type usage struct {
	processorUntil time.Duration // until when its processor is taken
	outboundUntil  time.Duration // until when its link out is taken
	inboundUntil   time.Duration // until when its link in is taken
	tickWaiting    bool          // a tick waits for the processor
	processorTime  map[task]time.Duration
	// healthCheckConnections are the targets to which it has a connection for health checks.
	healthCheckConnections map[wire.TargetID]bool
}

// share is the part of a processor that a process has.
func (l *LimitedResources) share(p *Process) float64 {
	if p.kind == wire.ControlDaemon {
		return l.ControlShare
	}
	return l.ProxyShare
}

// messageSize is how many bytes a message takes on a connection.
func messageSize(m *wire.Message) int {
	size, err := wire.NewWriter(io.Discard).Put(m)
	if err != nil {
		panic(err)
	}
	return size
}

// messageCost is what sending or receiving so many bytes takes.
func messageCost(bytes int) time.Duration { return eventCost + time.Duration(bytes)*byteCost }

// useProcessor has a process spend processor time on a task, after all that it has to do before. It returns
// the moment when that is done.
func (w *World) useProcessor(p *Process, t task, cost time.Duration) time.Duration {
	u := &p.usage
	if u.processorTime == nil {
		u.processorTime = map[task]time.Duration{}
	}
	u.processorTime[t] += cost
	u.processorUntil = max(u.processorUntil, w.now) + time.Duration(float64(cost)/w.Plan.Resources.share(p)*max(1, p.slowdown))
	return u.processorUntil
}

// tickOnLimitedProcessor gives a process a tick once its processor is free, unless an earlier one still waits.
func (w *World) tickOnLimitedProcessor(p *Process) {
	if p.usage.tickWaiting {
		return
	}
	p.usage.tickWaiting = true
	incarnation := p.incarnation
	w.schedule(w.useProcessor(p, taskTick, eventCost)-w.now, func() {
		if p.incarnation == incarnation {
			p.usage.tickWaiting = false
			w.deliver(p, statemachine.Tick{})
		}
	})
}

// healthCheckCost is what a health check takes: request and response, and a new connection unless there is one.
func (w *World) healthCheckCost(p *Process, c statemachine.Probe) time.Duration {
	if p.usage.healthCheckConnections == nil {
		p.usage.healthCheckConnections = map[wire.TargetID]bool{}
	}
	t := w.targets.listening[c.Addr]
	answers := t != nil && !t.hanging && !t.ignoresHealthChecks && t.incarnation == c.ID.Incarnation
	connected := p.usage.healthCheckConnections[c.ID]
	p.usage.healthCheckConnections[c.ID] = answers
	if connected && answers {
		return 2 * eventCost
	}
	return 2*eventCost + dialCost
}

// transmit has bytes that are ready at a moment go over a proxy's link, after all that is on it. It returns the
// moment when they have, which is also when the link is free again.
func (w *World) transmit(ready time.Duration, linkUntil *time.Duration, bytes int) time.Duration {
	*linkUntil = max(*linkUntil, ready) + time.Duration(float64(bytes)*float64(time.Second)/w.Plan.Resources.ProxyLink)
	return *linkUntil
}

// linkIsFull says whether a shell drops a message to or from a proxy, since it would wait for too long.
func (w *World) linkIsFull(linkUntil time.Duration) bool {
	return linkUntil-w.now > tuning.SendQueueTTL
}

// sendOverLimitedLinks sends a message where that takes processor time and bandwidth; delay is what it takes besides.
func (w *World) sendOverLimitedLinks(message *message, delay time.Duration) {
	bytes := messageSize(message.Message)
	arrival := w.useProcessor(message.sender, sendTask(message.Message), messageCost(bytes))
	if message.sender.kind == wire.ProxyDaemon {
		if w.linkIsFull(message.sender.usage.outboundUntil) {
			return
		}
		arrival = w.transmit(arrival, &message.sender.usage.outboundUntil, bytes)
	}
	arrival += delay
	if message.receiver.kind == wire.ProxyDaemon {
		if w.linkIsFull(message.receiver.usage.inboundUntil) {
			return
		}
		arrival = w.transmit(arrival, &message.receiver.usage.inboundUntil, bytes)
	}
	arrival = max(arrival, w.network.resets[message.link()].until)
	w.schedule(arrival-w.now, func() {
		if message.receiver.incarnation != message.incarnation || !message.receiver.alive {
			return
		}
		handled := w.useProcessor(message.receiver, receiveTask(message.Message), messageCost(bytes))
		w.schedule(handled-w.now, func() { w.receive(message) })
	})
}
