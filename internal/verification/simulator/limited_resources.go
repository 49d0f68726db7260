package simulator

import (
	"io"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// LimitedResources limits the processors of daemons and the bandwidth of the proxies' links.
type LimitedResources struct {
	ControlShare, ProxyShare float64 // fraction of a processor that a control daemon and a proxy have
	ProxyLink                float64 // bandwidth of a proxy's link in bytes per second, in each direction
}

// Processor time for one message or event and for each byte of it, on a whole processor: system calls, reading and writing, and
// the state machine's step.
const (
	eventCost = 60 * time.Microsecond
	byteCost  = 10 * time.Nanosecond
	// callCost is the processor time for an HTTP call of a target or an operator, including the reply.
	callCost = 3 * eventCost
	// dialCost is the processor time for opening and closing a connection to a target.
	dialCost = 3 * eventCost
)

// task is a kind of work that takes processor time. For messages it is "send" or "receive" and the kind of message.
type task string

const (
	taskTick        task = "tick"
	taskCall        task = "call"
	taskHealthCheck task = "probe"
)

func sendTask(m *wire.Message) task    { return task("send " + m.Kind.String()) }
func receiveTask(m *wire.Message) task { return task("receive " + m.Kind.String()) }

// usage is a process's use of its processor and link, where these are limited.
type usage struct {
	processorUntil time.Duration // when its processor becomes free
	outboundUntil  time.Duration // when its outbound link becomes free
	inboundUntil   time.Duration // when its inbound link becomes free
	tickWaiting    bool          // a tick waits for the processor
	processorTime  map[task]time.Duration
	// healthCheckConnections marks the targets to which it has an open connection for health checks.
	healthCheckConnections map[wire.TargetID]bool
}

// share returns the fraction of a processor that a process has.
func (l *LimitedResources) share(p *Process) float64 {
	if p.kind == wire.ControlDaemon {
		return l.ControlShare
	}
	return l.ProxyShare
}

// messageSize returns the encoded size of a message in bytes.
func messageSize(m *wire.Message) int {
	size, err := wire.NewWriter(io.Discard).Put(m)
	if err != nil {
		panic(err)
	}
	return size
}

// messageCost returns the processor time for sending or receiving a message of the given size.
func messageCost(bytes int) time.Duration { return eventCost + time.Duration(bytes)*byteCost }

// useProcessor queues a task of a process behind its earlier tasks, and returns the time at which the task is done.
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

// healthCheckCost returns the processor time of a health check: request and response, and opening a connection unless one is
// open.
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

// transmit queues a message of the given size on a proxy's link at the time ready, behind earlier messages. It returns the time
// at which the message is transmitted and the link is free again, and stores it in linkUntil.
func (w *World) transmit(ready time.Duration, linkUntil *time.Duration, bytes int) time.Duration {
	*linkUntil = max(*linkUntil, ready) + time.Duration(float64(bytes)*float64(time.Second)/w.Plan.Resources.ProxyLink)
	return *linkUntil
}

// linkIsFull reports whether a message would wait longer than tuning.SendQueueTTL for a link, so that a shell drops it.
func (w *World) linkIsFull(linkUntil time.Duration) bool {
	return linkUntil-w.now > tuning.SendQueueTTL
}

// sendOverLimitedLinks sends a message using processor time and bandwidth. delay is added to the time that these take.
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
