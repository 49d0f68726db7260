// This file is how daemons find one another: hellos, who is known, and who leads.

package controlplane

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// contact is what is kept of a core daemon after its silence.
type contact struct {
	lastAt   time.Duration
	domain   string
	stopping bool // it said that it stops, so it is to come back
	// repliedAt is when it last answered a hello: then it heard this daemon, and not only
	// this daemon it.
	repliedAt time.Duration
}

// What a core daemon without a part in agreement says that it is.
const (
	emptyState    = "empty"    // it may found the first core
	waitingState  = "waiting"  // it founds none and waits to be learnt
	stoppingState = "stopping" // it goes, and is to come back
)

func (c *Controller) self() wire.Daemon {
	d := c.settings.Self
	d.Disk, d.BootstrapLock, d.BootstrapOffer = c.persistentState.Disk, c.persistentState.BootstrapLock, c.currentOffer
	if c.syncedSeq < c.bootstrapLockSeq {
		d.BootstrapLock = 0
	}
	if c.node != nil {
		d.Epoch = c.node.Epoch()
		d.Ready = c.node.Leader() != ""
		d.State = c.node.Role().String()
	} else if c.bootstrapSize > 0 {
		d.State = emptyState
	} else {
		d.State = waitingState
		d.Ready = c.leaderHint != ""
	}
	if c.stopping {
		d.State = stoppingState
	}
	return d
}

// led is the leader that this member hears or is, "" if there is none.
func (c *Controller) activeLeader(now time.Duration) string {
	if c.node == nil || c.abstains() || !c.node.HasLeader(now) {
		return ""
	}
	return c.node.Leader()
}

// leader is where calls and words are passed on to: who leads, as heard from it or, by
// a daemon that no leader speaks to, from those to whom one does.
func (c *Controller) leader(now time.Duration) string {
	if l := c.activeLeader(now); l != "" {
		return l
	}
	if !c.isNonVoter() {
		return c.node.Leader()
	}
	return c.directory.Leader(now)
}

// relayTo is whom a call may be passed on to again: a member's only while it is heard.
func (c *Controller) relayTo(now time.Duration) string {
	if !c.isNonVoter() {
		return c.activeLeader(now)
	}
	return c.leader(now)
}

// hearer is one of those seen that hears a leader, "" if none does.
func (c *Controller) daemonWithLeader(now time.Duration, all []wire.Daemon) string {
	if c.activeLeader(now) != "" {
		return c.settings.Self.Name
	}
	for _, d := range all {
		if k := c.directory[d.Name]; d.Name != c.settings.Self.Name && k.Leader != "" {
			return d.Name
		}
	}
	return ""
}

// listed is when and in which state a daemon was last told the list of those known.
type sentDirectory struct {
	sentAt time.Duration
	digest uint64
}

// orderedDaemonNames are the names of the daemons known, in order. They are sorted again only when one
// came or went, since they are asked for with each hello.
func (c *Controller) orderedDaemonNames() []string {
	ok := len(c.sortedDaemonNames) == len(c.directory)
	for i := 0; ok && i < len(c.sortedDaemonNames); i++ {
		ok = c.directory[c.sortedDaemonNames[i]] != nil
	}
	if !ok {
		c.sortedDaemonNames = slices.Sorted(maps.Keys(c.directory))
	}
	return c.sortedDaemonNames
}

// directoryFor is what a daemon is to be told of those known: proxies need the core daemons
// only, and nobody what it has been told lately.
func (c *Controller) directoryFor(now time.Duration, to string) (l []wire.Daemon) {
	k := c.directory[to]
	all := k == nil || k.Kind == wire.ControlDaemon
	h := fnv.New64a()
	if k != nil {
		fmt.Fprint(h, k.Incarnation) // another process of its name has been told nothing
	}
	names := c.orderedDaemonNames()
	for _, n := range names {
		if k := c.directory[n]; all || k.Kind == wire.ControlDaemon {
			io.WriteString(h, n)
			io.WriteString(h, " ")
			io.WriteString(h, k.Addr)
			io.WriteString(h, " ")
		}
	}
	if was, ok := c.sentDirectories[to]; ok && was.digest == h.Sum64() && now-was.sentAt < tuning.ListEvery {
		return nil
	}
	for _, n := range names {
		if k := c.directory[n]; all || k.Kind == wire.ControlDaemon {
			l = append(l, k.Daemon)
		}
	}
	c.sentDirectories[to] = sentDirectory{now, h.Sum64()}
	return l
}

// helloTo is a hello to a daemon, "" if only its address is known.
func (c *Controller) helloTo(now time.Duration, to string, reply bool) *wire.Message {
	h := &wire.Hello{Self: c.self(), Reply: reply, Daemons: c.directoryFor(now, to), Leader: c.activeLeader(now), BootstrapEpoch: c.syncedLockEpoch()}
	if c.node != nil {
		h.Term = c.node.Term()
	}
	if k := c.directory[to]; k != nil && k.Kind != wire.ControlDaemon {
		return &wire.Message{Kind: wire.KindHello, From: c.settings.Self.Name, Epoch: h.Self.Epoch, Hello: h}
	}
	m := c.latestMembership()
	h.Members, h.MembersEpoch, h.MembersIndex = m.Members, m.Epoch, m.Index
	h.RecoveryConsent, h.LostMembers = c.recoveryConsent.Granted, c.recoveryConsent.LostMembers
	if c.node != nil && !c.state.Recovered {
		h.RecoveredState = c.persistentState.RecoveredState
	}
	return &wire.Message{Kind: wire.KindHello, From: c.settings.Self.Name, Epoch: h.Self.Epoch, Hello: h}
}

// recvHello takes what a daemon says of itself and of others, and replies to a hello that is no reply.
func (c *Controller) recvHello(now time.Duration, message *wire.Message) {
	hello := message.Hello
	if hello == nil {
		return
	}
	c.directory.Merge(now, c.settings.Self.Name, hello)
	if sender := hello.Self; sender.Kind == wire.ControlDaemon && sender.Name != c.settings.Self.Name {
		contact := contact{lastAt: now, domain: sender.Domain, stopping: sender.State == stoppingState, repliedAt: c.peerContacts[sender.Name].repliedAt}
		if hello.Reply {
			contact.repliedAt = now
		}
		c.peerContacts[sender.Name] = contact
	}
	c.recvRecoveredState(message)
	if !hello.Reply {
		c.send(message.From, c.helloTo(now, message.From, true))
	}
}

func (c *Controller) sendHellos(now time.Duration) {
	maps.DeleteFunc(c.sentDirectories, func(n string, _ sentDirectory) bool { return n != "" && c.directory[n] == nil })
	done := map[string]bool{c.settings.Self.Addr: true}
	for _, n := range slices.Sorted(maps.Keys(c.directory)) {
		if k := c.directory[n]; k.Kind == wire.ControlDaemon && !done[k.Addr] {
			done[k.Addr] = true
			c.emit(statemachine.Send{Addr: k.Addr, Message: c.helloTo(now, n, false)})
		}
	}
	for _, a := range c.settings.Seeds {
		if !done[a] {
			done[a] = true
			delete(c.sentDirectories, "")
			c.emit(statemachine.Send{Addr: a, Message: c.helloTo(now, "", false)})
		}
	}
}

func (c *Controller) controlDaemons(now time.Duration, fresh bool) []wire.Daemon {
	l := []wire.Daemon{c.self()}
	for _, k := range c.directory {
		if k.Kind == wire.ControlDaemon && (!fresh || c.hadRecentContact(now, k.Name)) {
			l = append(l, k.Daemon)
		}
	}
	slices.SortFunc(l, func(a, b wire.Daemon) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// reaches says whether what is sent to another core daemon arrives there, as far as its
// answers tell: one that is heard need not hear. A process that has just started gives
// the others the time of an answer.
func (c *Controller) reaches(now time.Duration, name string) bool {
	return name == c.settings.Self.Name || now-max(c.peerContacts[name].repliedAt, c.startedAt) < 4*tuning.HelloEvery
}

func (c *Controller) hadRecentContact(now time.Duration, name string) bool {
	k := c.directory[name]
	return name == c.settings.Self.Name || k != nil && now-k.LastContact < 4*tuning.HelloEvery
}
