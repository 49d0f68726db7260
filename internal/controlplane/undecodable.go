// This file is what a member does that can't decode committed data, be it a log entry, a snapshot or a
// configuration. To end the process would end it again on the same data at each start, so the member reports
// the damage and abstains for the rest of the epoch: it neither leads nor decides, and answers calls with a
// 503. Its log is sound, so it goes on to vote and to acknowledge entries. At the next start its disk is found
// damaged (see CheckImage) and counts as lost, and the member learns the state under another disk number.

package controlplane

import (
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/wire"
)

// cannotDecode reports committed data that did not decode and has this member abstain.
func (c *Controller) cannotDecode(subject string, err error) {
	c.ReportDamage("agreed "+subject, err)
	if c.undecodable == nil {
		c.undecodable = errors.Mark(errors.Wrap(err, subject), state.ErrDamaged)
	}
}

// abstains says that this member must neither lead nor decide in its node's epoch.
func (c *Controller) abstains() bool { return c.undecodable != nil || c.superseded() }

// resign gives leadership of the log to another member, which may be able to decode it. If there is none to
// give it to, this one's node goes on until it steps down by itself. A follower's node is not ticked, so it
// never stands for election.
func (c *Controller) resign(now time.Duration) {
	if c.node.Role() == consensus.Leader && !c.node.TransferLeadership(now) {
		c.node.Tick(now)
	}
}

// declinesTransfer says that a message transfers leadership to this member and that it must not take it:
// members none of which can decode the log would pass leadership around without end.
func (c *Controller) declinesTransfer(message *wire.Message) bool {
	return c.undecodable != nil && message.Vote != nil && message.Vote.Transfer && message.Vote.Reply
}
