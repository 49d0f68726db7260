// This file handles committed data that a member can't decode: a log entry, a snapshot or a configuration. If the
// process exited, it would exit again on the same data at each start. Instead the member reports the damage and
// abstains for the rest of the epoch: it neither leads nor makes decisions, and answers calls with 503. Its log is
// intact, so it continues to vote and to acknowledge entries. At the next start CheckPersistentState finds the disk
// damaged; the disk then counts as lost, and the member gets the state from the others under a new disk number.

package controlplane

import (
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/wire"
)

// abstainAfterDecodeError reports committed data that could not be decoded, and makes this member abstain.
func (c *Controller) abstainAfterDecodeError(subject string, err error) {
	c.ReportDamage("committed "+subject, err)
	if c.undecodable == nil {
		c.undecodable = errors.Mark(errors.Wrap(err, subject), state.ErrDamaged)
	}
}

// abstains reports whether this member must neither lead nor make decisions in its node's epoch: it can't decode
// committed data, or it has locked a later epoch.
func (c *Controller) abstains() bool { return c.undecodable != nil || c.superseded() }

// resign transfers leadership of the log to another member, which may be able to decode it. If there is none, it ticks
// this member's node until the node steps down by itself. A follower's node is not ticked, so it never campaigns.
func (c *Controller) resign(now time.Duration) {
	if c.node.Role() == consensus.Leader && !c.node.TransferLeadership(now) {
		c.node.Tick(now)
	}
}

// declinesTransfer reports whether a message transfers leadership to this member although it can't decode committed data.
// Otherwise, if no member could decode it, leadership would be transferred among them forever.
func (c *Controller) declinesTransfer(message *wire.Message) bool {
	return c.undecodable != nil && message.Vote != nil && message.Vote.Transfer && message.Vote.Reply
}
