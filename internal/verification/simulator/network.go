package simulator

import (
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// network holds the state of all links between machines.
type network struct {
	loss           float64       // fraction of messages that are lost
	delay          time.Duration // a message takes from delay/5 to delay/5 + delay
	reorderedShare float64       // fraction of messages that arrive seconds late and out of order

	blocked map[link]bool // links that drop all messages
	// controlPartitionedUntil is the end of the last partition between control daemons.
	controlPartitionedUntil time.Duration
	lastArrival             map[link]time.Duration  // arrival time of the last message that wasn't reordered
	resets                  map[link]linkReset      // last reset of each link
	limited                 map[string]*limitedLink // links with limited bandwidth, by the name of the receiving daemon
}

// defaultDelay is the delay of a network without faults.
const defaultDelay = time.Millisecond

func newNetwork() network {
	return network{delay: defaultDelay, blocked: map[link]bool{}, lastArrival: map[link]time.Duration{}, resets: map[link]linkReset{}, limited: map[string]*limitedLink{}}
}

// link is the directed link from one machine to another, by name.
type link struct{ source, destination string }

// bothDirections returns the two links between two machines.
func bothDirections(a, b string) []link { return []link{{a, b}, {b, a}} }

// linkReset is a reset of the connection between two daemons. Messages sent before at that haven't arrived are lost. Messages
// sent from then on arrive no earlier than until, when a new connection is open.
type linkReset struct{ at, until time.Duration }

// message is a message in flight to a daemon.
type message struct {
	*wire.Message
	sender, receiver *Process
	incarnation      int // receiver's incarnation at the sending; the message is lost if the receiver restarts
	sentAt           time.Duration
}

func (m *message) link() link { return link{m.sender.name, m.receiver.name} }

// send executes a daemon's command to send a message.
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
	arrival := max(w.now+delay, w.network.lastArrival[sent.link()]+1, w.network.resets[sent.link()].until) // a connection preserves the order of messages
	if w.random.Float64() < w.network.reorderedShare {
		arrival = w.now + w.randomMilliseconds(200, 4000) // as if delayed on an earlier connection
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

// reachable reports whether the link from one machine to another is open.
func (w *World) reachable(from, to string) bool { return !w.network.blocked[link{from, to}] }

// connected reports whether the links between two machines are open in both directions.
func (w *World) connected(a, b string) bool { return w.reachable(a, b) && w.reachable(b, a) }

// degradeNetwork makes all links between daemons lose, delay and reorder messages.
func (w *World) degradeNetwork(loss float64, delay time.Duration, reorderedShare float64) {
	w.network.loss, w.network.delay, w.network.reorderedShare = loss, delay, reorderedShare
}

// restoreNetwork ends the effects of degradeNetwork.
func (w *World) restoreNetwork() { w.degradeNetwork(0, defaultDelay, 0) }

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

// isolate partitions machines from all others for a while: in the outbound direction, the inbound direction, or both. The
// machines stay connected with each other.
func (w *World) isolate(names []string, span time.Duration, outbound, inbound bool) {
	w.logf("isolate %v for %v (outbound %v, inbound %v)", names, span, outbound, inbound)
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

// isolateDomain partitions a domain's machines from all others for a while.
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

// randomDomain returns the name of a random domain.
func (w *World) randomDomain() string { return fmt.Sprintf("d%d", 1+w.random.IntN(w.Plan.Domains)) }

// resetDaemonConnections resets a daemon's connections with all other daemons, in both directions.
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
