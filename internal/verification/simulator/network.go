package simulator

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// network is the state of all links between machines.
type network struct {
	loss           float64       // part of messages that are lost
	delay          time.Duration // most of what a message takes, beyond a fifth of it that each takes
	reorderedShare float64       // part of messages that come seconds late and out of order

	blocked map[link]bool // links over which nothing goes
	// controlPartitionedUntil is until when control daemons are cut off from each other.
	controlPartitionedUntil time.Duration
	lastArrival             map[link]time.Duration  // of the last message that was not late
	resets                  map[link]linkReset      // the last reset of each link
	limited                 map[string]*limitedLink // links into daemons that carry few bytes, by the daemon's name
}

// usualDelay is the delay of an undisturbed network.
const usualDelay = time.Millisecond

func newNetwork() network {
	return network{delay: usualDelay, blocked: map[link]bool{}, lastArrival: map[link]time.Duration{}, resets: map[link]linkReset{}, limited: map[string]*limitedLink{}}
}

// link is the way from one machine to another, by their names.
type link struct{ source, destination string }

// bothDirections are the links between two machines.
func bothDirections(a, b string) []link { return []link{{a, b}, {b, a}} }

// linkReset is a connection between two daemons that was reset: what was sent on it before
// at and has not arrived is lost, and what is sent before until waits for the next connection.
type linkReset struct{ at, until time.Duration }

// message is a message on its way to a daemon.
type message struct {
	*wire.Message
	sender, receiver *Process
	incarnation      int // of the receiver: a message to an earlier start is lost
	sentAt           time.Duration
}

func (m *message) link() link { return link{m.sender.name, m.receiver.name} }

// send carries out a daemon's command to send a message.
func (w *World) send(from *Process, command statemachine.Send) {
	receiver := w.processes.byAddress[command.Addr]
	if receiver == nil || !w.reachable(from.name, receiver.name) || w.random.Float64() < w.network.loss {
		return
	}
	delay := w.network.delay/5 + time.Duration(w.random.Int64N(int64(w.network.delay)))
	sent := &message{Message: w.mutateMessage(from, receiver, command.Message), sender: from, receiver: receiver, incarnation: receiver.incarnation, sentAt: w.now}
	if sent.Message == nil {
		return
	}
	if limited := w.network.limited[receiver.name]; limited != nil {
		transmission, ok := limited.transmit(w.now, messageSize(sent.Message))
		if !ok {
			return
		}
		delay += transmission
	}
	if w.Plan.Resources != nil {
		w.sendOverLimitedLinks(sent, delay)
		return
	}
	arrival := max(w.now+delay, w.network.lastArrival[sent.link()]+1, w.network.resets[sent.link()].until) // a connection keeps its order
	if w.random.Float64() < w.network.reorderedShare {
		arrival = w.now + w.randomMilliseconds(200, 4000) // left over in an earlier connection
		w.Stats.ReorderedMessages++
		sent.Message = w.mutateReorderedMessage(from, sent.Message)
	} else {
		w.network.lastArrival[sent.link()] = arrival
	}
	w.schedule(arrival-w.now, func() { w.receive(sent) })
}

// receive delivers a message that has arrived, unless its connection or its receiver's process has ended.
func (w *World) receive(m *message) {
	if m.receiver.incarnation == m.incarnation && w.reachable(m.sender.name, m.receiver.name) && m.sentAt >= w.network.resets[m.link()].at {
		w.deliver(m.receiver, statemachine.Receive{Message: m.Message})
	}
}

// reachable says whether the link from one machine to another carries anything.
func (w *World) reachable(from, to string) bool { return !w.network.blocked[link{from, to}] }

// connected says whether two machines can speak to each other.
func (w *World) connected(a, b string) bool { return w.reachable(a, b) && w.reachable(b, a) }

// disturbNetwork has all links between daemons lose, delay and hold up messages.
func (w *World) disturbNetwork(loss float64, delay time.Duration, lateShare float64) {
	w.network.loss, w.network.delay, w.network.reorderedShare = loss, delay, lateShare
}

// calmNetwork ends what disturbNetwork began.
func (w *World) calmNetwork() { w.disturbNetwork(0, usualDelay, 0) }

// partition blocks links for a while.
func (w *World) partition(links []link, span time.Duration) {
	for _, l := range links {
		w.network.blocked[l] = true
		if w.isControlDaemon(l.source) && w.isControlDaemon(l.destination) {
			w.network.controlPartitionedUntil = max(w.network.controlPartitionedUntil, w.now+span)
		}
	}
	w.schedule(span, func() {
		for _, l := range links {
			delete(w.network.blocked, l)
		}
	})
}

// isolate cuts machines off from all others for a while, in what they send, in what they receive, or both.
// Among themselves they stay connected.
func (w *World) isolate(names []string, span time.Duration, outbound, inbound bool) {
	w.logf("cut off %v for %v (out %v, in %v)", names, span, outbound, inbound)
	others := slices.Clone(w.processes.names)
	for _, t := range w.targets.all {
		others = append(others, t.name)
	}
	var links []link
	for _, inside := range names {
		for _, outside := range others {
			if slices.Contains(names, outside) {
				continue
			}
			if outbound {
				links = append(links, link{inside, outside})
			}
			if inbound {
				links = append(links, link{outside, inside})
			}
		}
	}
	w.partition(links, span)
}

// isolateDomain cuts a domain's machines off from all others.
func (w *World) isolateDomain(domain string, span time.Duration) {
	var inside []string
	for _, name := range w.processes.names {
		if w.process(name).domain == domain {
			inside = append(inside, name)
		}
	}
	for _, t := range w.targets.all {
		if t.domain == domain {
			inside = append(inside, t.name)
		}
	}
	w.isolate(inside, span, true, true)
}

// randomDomain draws the name of a domain.
func (w *World) randomDomain() string { return fmt.Sprintf("d%d", 1+w.random.IntN(w.Plan.Domains)) }

// resetDaemonConnections breaks a daemon's connections with all others, both ways.
func (w *World) resetDaemonConnections(p *Process) {
	for _, name := range w.processes.names {
		if name == p.name {
			continue
		}
		reset := linkReset{w.now, w.now + w.randomMilliseconds(1, 60)}
		for _, l := range bothDirections(p.name, name) {
			w.network.resets[l] = reset
		}
	}
}
