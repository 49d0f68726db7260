// This file proposes commands and applies committed log entries. All members apply an entry to the replicated state in
// the same way; afterwards each member acts on the change according to its role.

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

// propose appends a command to the log of this leader and returns the index of the entry.
func (c *Controller) propose(now time.Duration, command state.Command) (index uint64) {
	return c.node.Propose(now, state.EncodeCommand(command))
}

// apply applies a committed entry. Once an entry could not be decoded, no later one is applied, since later entries
// assume the state that the undecodable one would have produced.
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
		c.abstainAfterDecodeError(fmt.Sprintf("entry %d", entry.Index), err)
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

// discardInitialState drops a committed initial state of the epoch that could not be decoded. The leader then proposes
// another recovered state; it proposes an empty one only if an operator allows that.
func (c *Controller) discardInitialState(index uint64) {
	c.ReportDamage("initial state proposed for this epoch", errors.Newf("entry %d cannot be decoded", index))
	c.initialStateProposed, c.recoveredState, c.unreadableRecoveredState = false, state.RecoveredState{}, true
}

// recordForNextLeader records what an operator's change requires of the leader and the replicated state does not hold.
// Every member records it, since any member may be the next leader.
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

// hasLeadershipState reports whether this member holds targets and tables that a change must be applied to: it is
// Gathering or Leading, or has been the leader and may resume.
func (c *Controller) hasLeadershipState() bool {
	switch c.leadership {
	case Recovering:
		return false
	case NotLeading:
		return c.lostLeadership.term != 0
	}
	return true
}

// applyAsLeader applies a committed change to the next table and answers its caller: immediately if the change was not
// accepted, otherwise once that table is in force.
func (c *Controller) applyAsLeader(now time.Duration, command state.Command, restoresDomain bool) {
	c.activateConfig()
	if c.undecodable != nil {
		return // a table must not be built from a configuration that could not be decoded
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

// awaitInForce registers a waiter that answers the caller of a committed change once the change is in force. A change
// of the proxy membership gets a waiter even without a caller, since the previous membership counts until the new one
// is in force.
func (c *Controller) awaitInForce(now time.Duration, command state.Command, call *pendingCall, revision uint64) {
	changesProxies := command.Operation == state.OpChangeProxies || command.Operation == state.OpForgetProxy
	if call == nil && !changesProxies {
		return
	}
	waiter := &inForceWaiter{version: c.tableVersion, waitingSince: now, proxyChange: changesProxies}
	if c.leadership != Leading {
		waiter.version++ // if leadership is resumed, its first table includes the change
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
