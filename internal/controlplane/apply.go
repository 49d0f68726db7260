// This file proposes commands and applies committed log entries: to the state, which all members do alike,
// and to what this member does because of them.

package controlplane

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// propose appends a command to the log of a leader and returns its index.
func (c *Controller) propose(now time.Duration, command state.Command) (index uint64) {
	return c.node.Propose(now, state.EncodeCommand(command))
}

// apply applies a committed entry. After one that could not be decoded none is applied: the state before
// it is no base for what comes after.
func (c *Controller) apply(now time.Duration, entry wire.Entry) {
	if c.undecodable != nil {
		return
	}
	if entry.Kind != consensus.EntryData {
		c.state.Index = entry.Index
		return
	}
	command, err := state.DecodeCommand(entry.Data)
	if err != nil {
		c.cannotDecode(fmt.Sprintf("entry %d", entry.Index), err)
		return
	}
	revision := c.state.Revision
	wasEmptied := slices.Contains(c.state.EmptiedDomains, command.Name)
	c.state.Apply(entry.Index, command)
	switch {
	case command.Operation == state.OpRegisterTargets:
		return
	case command.Operation == state.OpRecover && !c.state.Recovered:
		c.discardInitialState(entry.Index)
		return
	}
	if c.state.Revision != revision {
		c.emit(statemachine.StateChange{Subject: statemachine.SubjectRevision, From: fmt.Sprint(revision), To: fmt.Sprint(c.state.Revision), Reason: command.Description})
	}
	restoresDomain := command.Operation == state.OpRestoreDomain && wasEmptied
	c.recordForNextLeader(now, command, restoresDomain)
	if c.hasLeadershipState() {
		c.applyAsLeader(now, command, restoresDomain)
	}
}

// discardInitialState goes on without a first state that did not decode: another one is proposed, or none
// while an operator has not allowed that.
func (c *Controller) discardInitialState(index uint64) {
	c.ReportDamage("state offered for this epoch", errors.Newf("entry %d does not decode", index))
	c.initialStateProposed, c.recoveredState, c.unreadableRecoveredState = false, state.RecoveredState{}, true
}

// recordForNextLeader keeps what an operator's change asks of the leader beyond the state. Each member keeps
// it, since any of them may lead next.
func (c *Controller) recordForNextLeader(now time.Duration, command state.Command, restoresDomain bool) {
	switch command.Operation {
	case state.OpAddMember:
		c.requestedMembers[command.Name] = true
	case state.OpRemoveMember:
		delete(c.requestedMembers, command.Name)
	case state.OpRestoreDomain:
		if restoresDomain {
			c.domainRestoredAt[command.Name] = now
		}
	}
}

// hasLeadershipState says that this member has targets and tables to which a change matters: it leads or will
// in a moment, or has led and may resume.
func (c *Controller) hasLeadershipState() bool {
	switch c.leadership {
	case Recovering:
		return false
	case NotLeading:
		return c.lostLeadership.term != 0
	}
	return true
}

// applyAsLeader puts a committed change into the next table, and answers its caller: at once if it was not
// accepted, else once that table is in force.
func (c *Controller) applyAsLeader(now time.Duration, command state.Command, restoresDomain bool) {
	c.activateConfig()
	if c.undecodable != nil {
		return // no table may be made from a configuration that does not decode
	}
	if restoresDomain {
		for _, target := range c.targets {
			c.warmUpAfterRestore(target)
		}
	}
	call := c.pendingChanges[command.Token]
	delete(c.pendingChanges, command.Token)
	revision, record := c.state.Revision, c.state.FindRecord(command.Token)
	if record != nil {
		revision = record.Revision
	}
	if record != nil && record.Outcome != state.OutcomeAccepted {
		c.counts.Rejected++
		if call != nil {
			c.answerNotAccepted(call, record)
		}
		return
	}
	c.rebuildTable(now, true)
	c.awaitInForce(now, command, call, revision)
}

// awaitInForce has the caller of a committed change, if there is one, wait until it is in force. A change of
// the proxy membership is waited for in any case, since the membership before counts until then.
func (c *Controller) awaitInForce(now time.Duration, command state.Command, call *pendingCall, revision uint64) {
	changesProxies := command.Operation == state.OpChangeProxies || command.Operation == state.OpForgetProxy
	if call == nil && !changesProxies {
		return
	}
	waiter := &inForceWaiter{version: c.tableVersion, waitingSince: now, proxyChange: changesProxies}
	if c.leadership != Leading {
		waiter.version++ // a leadership that is resumed has the change in its first table
	}
	if command.Operation == state.OpAddMember || command.Operation == state.OpRemoveMember {
		waiter.member, waiter.joining = command.Name, command.Operation == state.OpAddMember
	}
	if call != nil {
		c.counts.ChangesCommitted++
		waiter.call, waiter.reply = call, acceptedReply(call.token, revision)
	}
	c.waiters = append(c.waiters, waiter)
}
