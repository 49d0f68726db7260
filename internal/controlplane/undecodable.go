// This file is what a member does that can't decode agreed data, be it a log entry, a snapshot
// or a configuration. To end the process would end it again on the same data at each start, so
// the member reports the damage and abstains for the rest of the epoch: it neither leads nor
// decides, and answers that it cannot tell now. Its log stays sound, so it goes on to vote and
// to acknowledge entries. At the next start its disk is found damaged (see CheckImage), counts
// as lost, and the member learns all again under another disk number.

package controlplane

import (
	"myrtlefold/internal/shared/state"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/wire"
)

// cannotDecode reports agreed data that did not decode and has this member abstain.
func (c *Controller) cannotDecode(what string, err error) {
	c.reportDamage("agreed "+what, err)
	if c.undecodable == nil {
		c.undecodable = errors.Mark(errors.Wrap(err, what), state.ErrDamaged)
	}
}

// abstains says that this member must neither lead nor decide in its node's epoch.
func (c *Controller) abstains() bool { return c.undecodable != nil || c.superseded() }

// resign gives leadership of the log to another member, which may be able to decode it. One that
// reaches no other goes on until its node steps down by itself; it is not
// ticked as a follower, so it never stands for election.
func (c *Controller) resign(now time.Duration) {
	if c.node.Role() == consensus.Leader && !c.node.TransferLeadership(now) {
		c.node.Tick(now)
	}
}

// declines says that a message asks this member to stand for election at once, and that it must
// not: members none of which can decode the log would pass leadership around without end.
func (c *Controller) declinesTransfer(m *wire.Message) bool {
	return c.undecodable != nil && m.Vote != nil && m.Vote.Transfer && m.Vote.Reply
}
