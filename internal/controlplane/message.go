// This file takes in messages from other daemons and hands each to the part of
// the core that it concerns.

package controlplane

import (
	"myrtlefold/internal/shared/statemachine"
	"time"

	"myrtlefold/internal/shared/wire"
)

func (c *Controller) emit(cmd statemachine.Command) { c.commands = append(c.commands, cmd) }

func (c *Controller) send(name string, m *wire.Message) {
	k := c.directory[name]
	if k == nil || name == c.settings.Self.Name {
		return
	}
	m.To, m.From = name, c.settings.Self.Name
	c.emit(statemachine.Send{Addr: k.Addr, Message: m})
}

func (c *Controller) recv(now time.Duration, m *wire.Message) {
	wire.DiscardNonFinite(m)
	switch m.Kind {
	case wire.KindHello:
		if m.Hello == nil {
			return
		}
		c.directory.Merge(now, c.settings.Self.Name, m.Hello)
		if d := m.Hello.Self; d.Kind == wire.ControlDaemon && d.Name != c.settings.Self.Name {
			h := contact{lastAt: now, domain: d.Domain, stopping: d.State == stoppingState, repliedAt: c.peerContacts[d.Name].repliedAt}
			if m.Hello.Reply {
				h.repliedAt = now
			}
			c.peerContacts[d.Name] = h
		}
		c.recvRecoveredState(m)
		if !m.Hello.Reply {
			c.send(m.From, c.helloTo(now, m.From, true))
		}
	case wire.KindVote, wire.KindAppend:
		if m.Epoch < c.persistentState.BootstrapEpoch {
			return // this member has promised to found a later epoch and takes no more part in this one
		}
		if m.Append != nil && !m.Append.Reply && (c.node == nil || m.Epoch > c.node.Epoch()) {
			// An empty member, or one of an older epoch that has been passed by, learns from a leader.
			if m.Epoch == c.syncedLockEpoch() {
				c.beginEpoch(now) // a founder that had not seen all the locks: what it remembers counts
			} else {
				c.joinEpoch(now, m.Epoch)
			}
		}
		if c.node != nil && !c.declinesTransfer(m) {
			c.node.Step(now, m)
		}
	case wire.KindPull:
		c.handlePull(now, m)
	case wire.KindHeartbeat:
		if m.Heartbeat != nil {
			c.handleHeartbeat(now, *m.Heartbeat, m.Timestamp == 0)
		}
	case wire.KindCall:
		if m.Call == nil {
			return
		}
		if m.Call.Reply {
			if p := c.relayedCalls[m.Call.ID]; p != nil && p.relayedTo == m.From {
				if p.targetReport && m.Call.Status == 503 {
					return // it is passed on again while it may wait
				}
				if p.relayCount > 1 && m.Call.Status == 503 {
					p.relayedTo = "" // an earlier leader may have agreed it: the next that decides will know
					return
				}
				delete(c.relayedCalls, m.Call.ID)
				c.deliver(p, statemachine.Reply{ID: p.callID, Status: int(m.Call.Status), RetryAfter: time.Duration(m.Call.RetryAfterMs) * time.Millisecond, Body: m.Call.Body})
			}
			return
		}
		c.executeCall(now, &pendingCall{token: m.Call.Token, receivedAt: now, relayedFrom: m.From, relayedFromID: m.Call.ID}, m.Call)
	}
}
