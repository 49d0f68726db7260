// This file is the durable state that the members agree on, and the one function
// that changes it by an agreed log entry.

package controlplane

import (
	"fmt"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

// survived is the state that a disk leads to when nobody can say any more what
// of its log was agreed: all of it, since any of it may have been acknowledged. With
// an error it is what comes before the damage.
func stateFromDisk(im *consensus.PersistentState) (s state.State, term uint64, err error) {
	if s, err = state.Decode(im.Snapshot.Data); err != nil {
		return s, 0, errors.Wrapf(err, "snapshot %d", im.Snapshot.Index)
	}
	term = im.Snapshot.Term
	for _, e := range im.Log {
		if e.Kind == consensus.EntryData {
			o, err := state.DecodeCommand(e.Data)
			if err != nil {
				return s, term, errors.Wrapf(err, "entry %d", e.Index)
			}
			adopted := s.Recovered
			if s.Apply(e.Index, o); o.Operation == state.OpRecover && !adopted && !s.Recovered {
				return s, term, errors.Mark(errors.Newf("entry %d: the epoch's first state does not decode", e.Index), state.ErrDamaged)
			}
		}
		term = e.Term
	}
	return s, term, nil
}

func (c *Controller) propose(now time.Duration, o state.Command) uint64 {
	return c.node.Propose(now, state.EncodeCommand(o))
}

func (c *Controller) apply(now time.Duration, e wire.Entry) {
	if c.undecodable != nil {
		return // the state before the damage is no base for what comes after it
	}
	if e.Kind != consensus.EntryData {
		c.state.Index = e.Index
		return
	}
	o, err := state.DecodeCommand(e.Data)
	if err != nil {
		c.cannotDecode(fmt.Sprintf("entry %d", e.Index), err)
		return
	}
	was, emptied := c.state.Revision, slices.Contains(c.state.EmptiedDomains, o.Name)
	c.state.Apply(e.Index, o)
	if o.Operation == state.OpRegisterTargets {
		return
	}
	if o.Operation == state.OpRecover && !c.state.Recovered {
		c.reportDamage("state offered for this epoch", errors.Newf("entry %d does not decode", e.Index))
		c.initialStateProposed, c.recoveredState, c.unreadableRecoveredState = false, state.RecoveredState{}, true
		return
	}
	if c.state.Revision != was {
		c.emit(statemachine.StateChange{Subject: statemachine.SubjectRevision, From: fmt.Sprint(was), To: fmt.Sprint(c.state.Revision), Reason: o.Description})
	}
	switch o.Operation { // whoever leads next goes on with it
	case state.OpAddMember:
		c.requestedMembers[o.Name] = true
	case state.OpRemoveMember:
		delete(c.requestedMembers, o.Name)
	case state.OpRestoreDomain:
		if emptied {
			c.domainRestoredAt[o.Name] = now
		}
	}
	if c.leadership == Recovering || c.leadership == NotLeading && c.lostLeadership.term == 0 {
		return
	}
	c.activateConfig()
	if c.undecodable != nil {
		return // no table is made of it
	}
	if o.Operation == state.OpRestoreDomain && emptied {
		for _, t := range c.targets {
			c.warmUpAfterRestore(t)
		}
	}
	p := c.pendingChanges[o.Token]
	delete(c.pendingChanges, o.Token)
	rev := c.state.Revision
	r := c.state.FindRecord(o.Token)
	if r != nil {
		rev = r.Revision
	}
	if r != nil && r.Outcome != state.OutcomeAccepted {
		c.counts.Rejected++
		if p != nil {
			c.answerNotAccepted(p, r)
		}
		return
	}
	c.rebuildTable(now, true)
	c.awaitInForce(now, o, p, rev)
}

// awaitInForce has who asked for a change that is agreed wait until it is in force, and a change of the
// roster until it is, whoever asked.
func (c *Controller) awaitInForce(now time.Duration, o state.Command, p *pendingCall, revision uint64) {
	version := c.tableVersion
	if c.leadership != Leading {
		version++ // the first table of a lead that goes on has it
	}
	f := &inForceWaiter{version: version, waitingSince: now, proxyChange: o.Operation == state.OpChangeProxies || o.Operation == state.OpForgetProxy}
	if o.Operation == state.OpAddMember || o.Operation == state.OpRemoveMember {
		f.member, f.joining = o.Name, o.Operation == state.OpAddMember
	}
	if p != nil {
		c.counts.ChangesCommitted++
		f.call, f.reply = p, acceptedReply(p.token, revision)
	}
	if f.proxyChange || p != nil {
		c.waiters = append(c.waiters, f)
	}
}
