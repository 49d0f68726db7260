// Package proxyquorum counts proxies for the decisions that need some of them: whether a table is in force, whether a proxy may
// serve without a leader, and whether a new leader has heard enough proxies. docs/control.md says why these counts suffice. Start
// with Count.
package proxyquorum

// Count counts the proxies of a membership, and those of them that have confirmed a table.
type Count struct {
	members, confirmed                 int
	departedMembers, departedConfirmed int // those of them that have ended as planned
}

// Add counts a proxy. Whether it has ended is counted only for tables in force.
func (c *Count) Add(confirmed, departed bool) {
	c.members++
	if departed {
		c.departedMembers++
	}
	if confirmed {
		c.confirmed++
	}
	if confirmed && departed {
		c.departedConfirmed++
	}
}

// Confirmed returns the number of proxies that have confirmed the table.
func (c *Count) Confirmed() int { return c.confirmed }

// Members returns the number of proxies.
func (c *Count) Members() int { return c.members }

// IsMajority reports whether more than half of the proxies have confirmed the table.
func (c *Count) IsMajority() bool { return 2*c.confirmed > c.members }

// IsQuorum reports whether the proxies that have not confirmed the table are no majority, neither of all members nor of those
// that have not ended. The latter alone would do for peer leases, which a proxy that has ended grants no more. The former is
// needed until the end is committed: the next leader may not know of it. A membership without proxies needs no confirmation.
func (c *Count) IsQuorum() bool { return 2*c.confirmed >= c.members && c.IsQuorumOfRunning() }

// IsQuorumOfRunning is IsQuorum for the members that have not ended only.
func (c *Count) IsQuorumOfRunning() bool {
	return 2*(c.confirmed-c.departedConfirmed) >= c.members-c.departedMembers
}
