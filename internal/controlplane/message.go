// This file takes messages from other daemons and hands each to the file that it concerns.

package controlplane

import (
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// emit adds a command to those that the present step returns.
func (c *Controller) emit(command statemachine.Command) { c.commands = append(c.commands, command) }

// send sends a message to a daemon by its name; one that is unknown gets nothing, as from a network that
// lost it.
func (c *Controller) send(name string, message *wire.Message) {
	peer := c.directory[name]
	if peer == nil || name == c.settings.Self.Name {
		return
	}
	message.To, message.From = name, c.settings.Self.Name
	c.emit(statemachine.Send{Addr: peer.Addr, Message: message})
}

// recv takes a message. One without the part that its kind has does nothing.
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
		if message.Heartbeat != nil {
			c.handleHeartbeat(now, *message.Heartbeat, message.Timestamp == 0)
		}
	case wire.KindCall:
		c.recvCall(now, message)
	}
}

// recvConsensus hands a message to consensus, in the epoch that it belongs to.
func (c *Controller) recvConsensus(now time.Duration, message *wire.Message) {
	if message.Epoch < c.persistentState.BootstrapEpoch {
		// Who has locked a bootstrap takes part in no earlier epoch: only so do all locks together
		// show that the epoch before has no majority any more.
		return
	}
	isLeadersAppend := message.Append != nil && !message.Append.Reply
	if isLeadersAppend && (c.node == nil || message.Epoch > c.node.Epoch()) {
		c.enterEpoch(now, message.Epoch)
	}
	if c.node != nil && !c.declinesTransfer(message) {
		c.node.Step(now, message)
	}
}

// enterEpoch enters a later epoch, which has a leader. A founder that had not seen all the locks enters it
// as one, so that what its disk has can be recovered; any other learns the state from the leader.
func (c *Controller) enterEpoch(now time.Duration, epoch uint64) {
	if epoch == c.syncedLockEpoch() {
		c.beginEpoch(now)
		return
	}
	c.joinEpoch(now, epoch)
}

// recvCall takes a call that another daemon relayed, or the reply to one that this one relayed.
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
