// This file sends and receives hello messages, by which daemons discover one another and learn who the leader is.

package controlplane

import (
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// sendHellos sends a hello to each control daemon in the directory and to each seed address that belongs to none of them.
func (c *Controller) sendHellos(now time.Duration) {
	maps.DeleteFunc(c.sentDirectories, func(name string, _ sentDirectory) bool { return name != "" && c.directory[name] == nil })
	sentTo := map[string]bool{c.settings.Self.Addr: true}
	for _, name := range slices.Sorted(maps.Keys(c.directory)) {
		peer := c.directory[name]
		if peer.Kind == wire.ControlDaemon && !sentTo[peer.Addr] {
			sentTo[peer.Addr] = true
			c.emit(statemachine.Send{Addr: peer.Addr, Message: c.helloTo(now, name, false)})
		}
	}
	for _, addr := range c.settings.Seeds {
		if !sentTo[addr] {
			sentTo[addr] = true
			delete(c.sentDirectories, "") // what one unknown daemon was sent does not apply to the next one
			c.emit(statemachine.Send{Addr: addr, Message: c.helloTo(now, "", false)})
		}
	}
}

// helloTo returns a hello to the named daemon. An empty name stands for a daemon of which only the address is known. A
// hello to a proxy leaves out what only control daemons need.
func (c *Controller) helloTo(now time.Duration, to string, isReply bool) *wire.Message {
	hello := &wire.Hello{
		Self:           c.self(),
		Reply:          isReply,
		Daemons:        c.directoryFor(now, to),
		Leader:         c.activeLeader(now),
		BootstrapEpoch: c.syncedLockEpoch(),
	}
	if c.node != nil {
		hello.Term = c.node.Term()
	}
	if c.needsMembership(to) {
		c.addMembership(hello)
	}
	return &wire.Message{Kind: wire.KindHello, From: c.settings.Self.Name, Epoch: hello.Self.Epoch, Hello: hello}
}

// needsMembership reports whether hellos to a daemon carry the membership: it is a control daemon or of unknown kind.
func (c *Controller) needsMembership(name string) bool {
	peer := c.directory[name]
	return peer == nil || peer.Kind == wire.ControlDaemon
}

// addMembership adds to a hello the data that a bootstrap or a recovery needs.
func (c *Controller) addMembership(hello *wire.Hello) {
	latest := c.latestMembership()
	hello.Members, hello.MembersEpoch, hello.MembersIndex = latest.Members, latest.Epoch, latest.Index
	hello.RecoveryConsent, hello.LostMembers = c.recoveryConsent.Granted, c.recoveryConsent.LostMembers
	if c.node != nil && !c.state.Recovered {
		hello.RecoveredState = c.persistentState.RecoveredState
	}
}

// sentDirectory records when a daemon was last sent the directory, and a digest of what it was sent.
type sentDirectory struct {
	sentAt time.Duration
	digest uint64
}

// directoryFor returns the daemons that a hello to another daemon lists: all for a control daemon, only control daemons
// for a proxy. It returns nil if the same list was sent within tuning.ListEvery.
func (c *Controller) directoryFor(now time.Duration, name string) []wire.Daemon {
	var listed []wire.Daemon
	receiver := c.directory[name]
	listsAll := receiver == nil || receiver.Kind == wire.ControlDaemon
	digest := fnv.New64a()
	if receiver != nil {
		fmt.Fprint(digest, receiver.Incarnation) // a new process under this name has not received the list
	}
	for _, peerName := range c.orderedDaemonNames() {
		peer := c.directory[peerName]
		if !listsAll && peer.Kind != wire.ControlDaemon {
			continue
		}
		io.WriteString(digest, peerName+" "+peer.Addr+" ")
		listed = append(listed, peer.Daemon)
	}
	sent, ok := c.sentDirectories[name]
	if ok && sent.digest == digest.Sum64() && now-sent.sentAt < tuning.ListEvery {
		return nil
	}
	c.sentDirectories[name] = sentDirectory{sentAt: now, digest: digest.Sum64()}
	return listed
}

// recvHello merges what a daemon reports about itself and others, and replies unless the hello is itself a reply.
func (c *Controller) recvHello(now time.Duration, message *wire.Message) {
	hello := message.Hello
	if hello == nil {
		return
	}
	c.directory.Merge(now, c.settings.Self.Name, hello)
	if sender := &hello.Self; sender.Kind == wire.ControlDaemon && sender.Name != c.settings.Self.Name {
		c.recordContact(now, sender, hello.Reply)
	}
	c.recvRecoveredState(message)
	if !hello.Reply {
		c.send(message.From, c.helloTo(now, message.From, true))
	}
}

// recordContact records a hello from another control daemon.
func (c *Controller) recordContact(now time.Duration, sender *wire.Daemon, isReply bool) {
	latest := contact{
		lastAt:    now,
		domain:    sender.Domain,
		stopping:  sender.State == stoppingState,
		repliedAt: c.peerContacts[sender.Name].repliedAt,
	}
	if isReply {
		latest.repliedAt = now
	}
	c.peerContacts[sender.Name] = latest
}
