// This file is what a control daemon knows of the others: which are there, which it has contact with, and
// who leads. Hellos bring it (hello.go).

package controlplane

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// contactTimeout is how long after its last hello a daemon still counts as visible: as long as three are lost.
const contactTimeout = 4 * tuning.HelloEvery

// contact is what is kept of a control daemon, also after it has left the directory.
type contact struct {
	lastAt   time.Duration // when its last hello arrived
	domain   string        // its failure domain
	stopping bool          // it said that it stops, so it is to come back
	// repliedAt is when it last replied to a hello: then messages arrive there, and not only from there.
	repliedAt time.Duration
}

// States that a control daemon reports in place of its role in consensus.
const (
	emptyState    = "empty"    // it may bootstrap the first control plane
	waitingState  = "waiting"  // it may not, and waits to become a learner
	stoppingState = "stopping" // it stops, and is to come back
)

// self is what this daemon reports of itself. It reports no lock that could still be lost with a crash.
func (c *Controller) self() wire.Daemon {
	self := c.settings.Self
	self.Disk, self.BootstrapOffer = c.persistentState.Disk, c.currentOffer
	if c.syncedSeq >= c.bootstrapLockSeq {
		self.BootstrapLock = c.persistentState.BootstrapLock
	}
	switch {
	case c.node != nil:
		self.Epoch = c.node.Epoch()
		self.Ready = c.node.Leader() != ""
		self.State = c.node.Role().String()
	case c.bootstrapSize > 0:
		self.State = emptyState
	default:
		self.State = waitingState
		self.Ready = c.leaderHint != ""
	}
	if c.stopping {
		self.State = stoppingState
	}
	return self
}

// activeLeader is the leader that this member has contact with or is, "" if there is none.
func (c *Controller) activeLeader(now time.Duration) string {
	if c.node == nil || c.abstains() || !c.node.HasLeader(now) {
		return ""
	}
	return c.node.Leader()
}

// leader is where calls and reports are forwarded to, "" if no leader is known. A voting member goes by its own
// log, as it may be the only one that knows; any other by what the members' hellos say.
func (c *Controller) leader(now time.Duration) string {
	if leader := c.activeLeader(now); leader != "" {
		return leader
	}
	if !c.isNonVoter() {
		return c.node.Leader()
	}
	return c.directory.Leader(now)
}

// relayTo is where a call that waits may be relayed to again: from a voting member only to a leader that it has
// contact with.
func (c *Controller) relayTo(now time.Duration) string {
	if !c.isNonVoter() {
		return c.activeLeader(now)
	}
	return c.leader(now)
}

// daemonWithLeader is one of the visible daemons that has contact with a leader, "" if none does.
func (c *Controller) daemonWithLeader(now time.Duration, visible []wire.Daemon) string {
	if c.activeLeader(now) != "" {
		return c.settings.Self.Name
	}
	for _, daemon := range visible {
		if daemon.Name != c.settings.Self.Name && c.directory[daemon.Name].Leader != "" {
			return daemon.Name
		}
	}
	return ""
}

// orderedDaemonNames are the names in the directory, sorted. They are sorted again only when a daemon came or went,
// since each hello needs them.
func (c *Controller) orderedDaemonNames() []string {
	isCurrent := len(c.sortedDaemonNames) == len(c.directory)
	for i := 0; isCurrent && i < len(c.sortedDaemonNames); i++ {
		isCurrent = c.directory[c.sortedDaemonNames[i]] != nil
	}
	if !isCurrent {
		c.sortedDaemonNames = slices.Sorted(maps.Keys(c.directory))
	}
	return c.sortedDaemonNames
}

// visibleControlDaemons are the control daemons that this one has contact with, itself included, sorted by name.
func (c *Controller) visibleControlDaemons(now time.Duration) []wire.Daemon {
	return slices.DeleteFunc(c.controlDaemons(), func(d wire.Daemon) bool { return !c.isVisible(now, d.Name) })
}

// controlDaemons are all control daemons that are known, this one included, sorted by name.
func (c *Controller) controlDaemons() []wire.Daemon {
	daemons := []wire.Daemon{c.self()}
	for _, peer := range c.directory {
		if peer.Kind == wire.ControlDaemon {
			daemons = append(daemons, peer.Daemon)
		}
	}
	slices.SortFunc(daemons, func(a, b wire.Daemon) int { return cmp.Compare(a.Name, b.Name) })
	return daemons
}

// isVisible says that hellos of a daemon arrive here.
func (c *Controller) isVisible(now time.Duration, name string) bool {
	if name == c.settings.Self.Name {
		return true
	}
	peer := c.directory[name]
	return peer != nil && now-peer.LastContact < contactTimeout
}

// reaches says that messages to another control daemon arrive there, as far as its replies show: that its own
// arrive here does not mean so. A process that has just started gives the others the time for a reply.
func (c *Controller) reaches(now time.Duration, name string) bool {
	if name == c.settings.Self.Name {
		return true
	}
	return now-max(c.peerContacts[name].repliedAt, c.startedAt) < contactTimeout
}
