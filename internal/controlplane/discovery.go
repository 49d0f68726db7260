// This file keeps track of the other daemons: which exist, which this daemon has contact with, and which is the leader.
// The information comes from hello messages (hello.go).

package controlplane

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// contactTimeout is how long after its last hello a daemon counts as visible. It tolerates the loss of three hellos.
const contactTimeout = 4 * tuning.HelloEvery

// contact is the last contact with a control daemon. It is kept after the daemon has expired from the directory.
type contact struct {
	lastAt   time.Duration // when its last hello arrived
	domain   string        // its failure domain
	stopping bool          // it announced that it is stopping, and is expected to come back
	// repliedAt is when it last replied to a hello, which shows that messages from this daemon arrive there.
	repliedAt time.Duration
}

// States that a control daemon reports in place of its role in consensus.
const (
	emptyState    = "empty"    // has no epoch and may bootstrap the first control plane
	waitingState  = "waiting"  // has no epoch, may not bootstrap, and waits to become a learner
	stoppingState = "stopping" // is stopping and expected to come back
)

// self returns this daemon as it introduces itself to others. A bootstrap lock is included only once it is synced to
// disk, since until then a crash could lose it.
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

// activeLeader returns the leader that this member is or has contact with, "" if there is none.
func (c *Controller) activeLeader(now time.Duration) string {
	if c.node == nil || c.abstains() || !c.node.HasLeader(now) {
		return ""
	}
	return c.node.Leader()
}

// leader returns the daemon to forward calls and reports to, "" if no leader is known. A voting member uses the leader
// that its consensus node knows, which no other daemon may have announced yet. Any other daemon uses the leader that members
// announce in their hellos.
func (c *Controller) leader(now time.Duration) string {
	if leader := c.activeLeader(now); leader != "" {
		return leader
	}
	if !c.isNonVoter() {
		return c.node.Leader()
	}
	return c.directory.Leader(now)
}

// relayDestination returns the leader to which a waiting call may be relayed again, "" if there is none. A voting
// member relays again only to a leader that it has contact with.
func (c *Controller) relayDestination(now time.Duration) string {
	if !c.isNonVoter() {
		return c.activeLeader(now)
	}
	return c.leader(now)
}

// daemonWithLeader returns the name of a visible daemon that has contact with a leader, "" if none has.
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

// orderedDaemonNames returns the names in the directory, sorted. The list is cached until a daemon is added or removed,
// since every hello needs it.
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

// visibleControlDaemons returns the control daemons that this one has contact with, itself included, sorted by name.
func (c *Controller) visibleControlDaemons(now time.Duration) []wire.Daemon {
	return slices.DeleteFunc(c.controlDaemons(), func(d wire.Daemon) bool { return !c.isVisible(now, d.Name) })
}

// controlDaemons returns all control daemons in the directory and this one, sorted by name.
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

// isVisible reports whether hellos of a daemon arrive here.
func (c *Controller) isVisible(now time.Duration, name string) bool {
	if name == c.settings.Self.Name {
		return true
	}
	peer := c.directory[name]
	return peer != nil && now-peer.LastContact < contactTimeout
}

// reaches reports whether messages from this daemon arrive at another control daemon, as shown by its replies to hellos.
// Messages that arrive from it do not prove that, since a network fault may affect one direction only. After this
// process starts, every daemon counts as reachable until it has had time to reply.
func (c *Controller) reaches(now time.Duration, name string) bool {
	if name == c.settings.Self.Name {
		return true
	}
	return now-max(c.peerContacts[name].repliedAt, c.startedAt) < contactTimeout
}
