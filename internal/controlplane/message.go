// This file sends messages to other daemons, and dispatches those received to their handlers.

package controlplane

import (
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// emit adds a command to those that the current step returns.
func (c *Controller) emit(command statemachine.Command) { c.commands = append(c.commands, command) }

// send sends a message to the named daemon. A message to a daemon that is not in the directory is dropped, which the
// protocols treat like loss on the network.
func (c *Controller) send(name string, message *wire.Message) {
	peer := c.directory[name]
	if peer == nil || name == c.settings.Self.Name {
		return
	}
	message.To, message.From = name, c.settings.Self.Name
	c.emit(statemachine.Send{Addr: peer.Addr, Message: message})
}

// recv handles a received message. It ignores one that lacks the field required by its kind.
func (c *Controller) recv(now time.Duration, message *wire.Message) {
	wire.DiscardNonFinite(message)
	switch message.Kind {
	case wire.KindHello:
		c.recvHello(now, message)
	case wire.KindVote, wire.KindAppend:
		c.recvConsensus(now, message)
	case wire.KindPull:
		c.handlePull(now, message)
	case wire.KindHeartbeat:
		if message.Heartbeat != nil { // with timestamp 0 it may be relayed, see wire.RelayedHeartbeatTimestamp
			c.handleHeartbeat(now, *message.Heartbeat, message.Timestamp == 0)
		}
	case wire.KindCall:
		c.recvCall(now, message)
	}
}

// recvConsensus passes a message to the consensus node, after entering the message's epoch if that is a later one.
func (c *Controller) recvConsensus(now time.Duration, message *wire.Message) {
	if message.Epoch < c.persistentState.BootstrapEpoch {
		// A member that has locked a bootstrap must not take part in an earlier epoch. Otherwise the locks would
		// not prove that the earlier epoch can't have a majority any more.
		return
	}
	isAppendRequest := message.Append != nil && !message.Append.Reply
	if isAppendRequest && (c.node == nil || message.Epoch > c.node.Epoch()) {
		c.enterEpoch(now, message.Epoch)
	}
	if c.node != nil && !c.declinesTransfer(message) {
		c.node.Step(now, message)
	}
}

// enterEpoch enters a later epoch that already has a leader. A founder that had not yet received all the locks enters it
// as a founder, so that the state on its disk can be recovered. Any other daemon gets the state from the leader.
func (c *Controller) enterEpoch(now time.Duration, epoch uint64) {
	if epoch == c.syncedLockEpoch() {
		c.beginEpoch(now)
		return
	}
	c.joinEpoch(now, epoch)
}

// recvCall handles a call that another daemon relayed, or the reply to a call that this daemon relayed.
func (c *Controller) recvCall(now time.Duration, message *wire.Message) {
	switch request := message.Call; {
	case request == nil:
	case request.Reply:
		c.recvCallReply(message.From, request)
	default:
		call := &pendingCall{token: request.Token, receivedAt: now, relayedFrom: message.From, relayedFromID: request.ID}
		c.executeCall(now, call, request)
	}
}
