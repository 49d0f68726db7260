// This file answers proxies' pulls: the leader grants each proxy a lease and sends it the parts of the table that it
// lacks.

package controlplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// proxyState is what the leader keeps about a proxy.
type proxyState struct {
	incarnation      uint64
	pastIncarnations []uint64      // incarnations that the current one replaced
	lastPullAt       time.Duration // 0: it has not pulled yet
	pullTimestamp    int64         // of the latest pull, by the proxy's own clock; its lease runs from this time
	leaseGrantedAt   time.Duration // when its latest lease began, or may have begun under an earlier leader

	tableKey             wire.TableKey // the latest table that it has confirmed
	revision, stateIndex uint64        // of the configuration and of the state that it has
	progressAt           time.Duration // when a pull last confirmed the latest table, or another one than the pull before
	tableMerged          bool          // its table from before this leadership has been merged, or it has none
	departed             bool          // it reports wire.ProxyDeparted: it gets no more leases
	signedOff            bool          // it has ended within the present term, see recordDeparture

	// Tables sent and not confirmed yet, see inFlightTimeout.

	sentKey       wire.TableKey // the latest of them
	sentAt        time.Duration // when it was sent
	bytesInFlight int           // of all of them, as estimated by tableBytes
}

// handlePull handles a proxy's pull, with which the proxy also confirms a table and reports targets' statistics.
func (c *Controller) handlePull(now time.Duration, message *wire.Message) {
	pull := message.Pull
	if pull == nil {
		return
	}
	incarnation, found := c.discoverProxy(now, message)
	if !found {
		return
	}
	if c.leadership == Recovering && pull.Table != nil && pull.Table.Key.Epoch < c.node.Epoch() {
		if recovered, ok := state.RecoveredFrom(pull.Table); ok {
			c.addRecovered(recovered)
		}
	}
	if c.leadership == NotLeading {
		return
	}
	proxy := c.proxies[message.From]
	if proxy == nil {
		proxy = &proxyState{}
		c.proxies[message.From] = proxy
	}
	if !proxy.acceptIncarnation(incarnation) {
		return
	}
	c.confirmTable(now, proxy, message)
	c.recordDeparture(message.From, proxy)
	if pull.Table != nil && c.leadership >= Gathering && !proxy.tableMerged {
		proxy.tableMerged = true
		c.mergeTable(now, pull.Table)
		c.rebuildTable(now, false)
	}
	proxy.revision, proxy.stateIndex = pull.Revision, pull.StateIndex
	if pull.Key == (wire.TableKey{}) {
		proxy.tableMerged = true // the proxy has no table
	}
	c.addTargetStats(now, pull.Stats)
	c.sendPush(message.From, proxy, c.leadership == Leading && c.mayGrantLease(now, message.From, proxy))
}

// discoverProxy records contact with a proxy in the directory, and returns the proxy's incarnation. A pull may omit the
// proxy's description if the directory has it under the incarnation that the message names in its Disk field. If the
// directory does not, found is false and the proxy gets no push, so that it sends its description with its next pull.
func (c *Controller) discoverProxy(now time.Duration, m *wire.Message) (incarnation uint64, found bool) {
	peer, self := c.directory[m.From], m.Pull.Self
	switch {
	case self.Name == "":
		if peer == nil || peer.Incarnation != m.Disk {
			return 0, false
		}
		peer.LastContact = now
		return m.Disk, true
	case peer == nil || peer.Incarnation != self.Incarnation:
		c.directory.Merge(now, c.settings.Self.Name, &wire.Hello{Self: self})
	default:
		peer.LastContact, peer.Daemon = now, self
	}
	return self.Incarnation, true
}

// acceptIncarnation reports whether a message is from the proxy's current incarnation or from a new one, which it makes
// the current one and for which it resets the proxy's state. It rejects replaced incarnations: a delayed message must not
// bring one back.
func (p *proxyState) acceptIncarnation(incarnation uint64) bool {
	if incarnation == p.incarnation {
		return true
	}
	if slices.Contains(p.pastIncarnations, incarnation) {
		return false
	}
	p.pastIncarnations = append(p.pastIncarnations, p.incarnation)
	p.incarnation, p.pullTimestamp = incarnation, 0
	p.tableKey, p.revision, p.stateIndex = wire.TableKey{}, 0, 0
	p.departed, p.signedOff = false, false
	p.sentKey, p.bytesInFlight = wire.TableKey{}, 0
	return true
}

// confirmTable records a pull and the table that the proxy confirms with it. If that is the latest table sent, or a later
// one, nothing is in flight any more.
func (c *Controller) confirmTable(now time.Duration, proxy *proxyState, m *wire.Message) {
	proxy.lastPullAt = now
	proxy.pullTimestamp = max(proxy.pullTimestamp, m.Timestamp)
	confirmed := m.Pull.Key
	if c.table == nil || confirmed != proxy.tableKey || confirmed == c.table.Key {
		proxy.progressAt = now
	}
	proxy.tableKey = confirmed
	if !confirmed.Less(proxy.sentKey) || now-proxy.sentAt > inFlightTimeout(proxy.bytesInFlight) {
		proxy.sentKey, proxy.bytesInFlight = wire.TableKey{}, 0
	}
}

// recordDeparture records that a proxy has ended as planned. It has signed off once it reports so and has confirmed a table of the
// present term: it was then alive in this term, so no later process of that name can have a lease from an earlier leader.
func (c *Controller) recordDeparture(name string, proxy *proxyState) {
	proxy.departed = proxy.departed || c.directory[name].State == wire.ProxyDeparted
	proxy.signedOff = proxy.signedOff || proxy.departed && c.hasConfirmed(name, 1)
}

// hasSignedOff reports whether the latest process of a proxy has ended as planned, as far as this leader knows.
func (c *Controller) hasSignedOff(name string) bool {
	proxy := c.proxies[name]
	return proxy != nil && proxy.signedOff
}

// mayGrantLease reports whether a proxy gets a lease with its push. A proxy that pulls but does not confirm the tables
// that it is sent gets none: a change is in force only once the leases of all proxies without it have run out. Neither does a
// new process of a proxy whose removal is proposed: once that is committed, no change waits for it any more.
func (c *Controller) mayGrantLease(now time.Duration, name string, proxy *proxyState) bool {
	return c.isProxyMember(name) && !proxy.departed && !c.removalProposed(name) && now-proxy.progressAt < tuning.TableAckTimeout && !c.isLagging(now, proxy.tableKey)
}

// isLagging reports whether a table of this leadership was superseded tuning.TableAckTimeout ago or earlier, which is the
// time that a proxy has to confirm the next one.
func (c *Controller) isLagging(now time.Duration, key wire.TableKey) bool {
	if !c.isOwnTable(key) || key.Version >= c.tableVersion {
		return false
	}
	if c.tableVersion-key.Version >= tuning.TablesKept {
		return true // tableMadeAt no longer has the time of the table after it
	}
	return now-c.tableMadeAt[(key.Version+1)%tuning.TablesKept] >= tuning.TableAckTimeout
}

// isOwnTable reports whether a key is of a table of this leadership, in its current term or an earlier one.
func (c *Controller) isOwnTable(key wire.TableKey) bool {
	return c.table != nil && key.Epoch == c.table.Key.Epoch && key.Version != 0 && slices.Contains(c.leadershipTerms, key.Term)
}

// isProxyLive reports whether a proxy has pulled recently. Only live proxies get a share of the targets' capacities.
func (c *Controller) isProxyLive(now time.Duration, name string) bool {
	proxy := c.proxies[name]
	return proxy != nil && proxy.lastPullAt != 0 && now-proxy.lastPullAt < tuning.ProxyLive
}

// sendPush sends a proxy the table if it lacks that, and a lease if grant is set. The lease is valid for the table that
// the push names. It runs from the timestamp that the proxy put into its pull, so it can't end later at the proxy than
// this leader assumes.
func (c *Controller) sendPush(name string, proxy *proxyState, grant bool) {
	push := &wire.Push{LeaseGranted: grant, WantTable: !proxy.tableMerged}
	if c.leadership == Leading && c.table != nil {
		c.addTable(push, proxy)
		if grant {
			proxy.leaseGrantedAt = max(proxy.leaseGrantedAt, proxy.lastPullAt)
		}
	}
	c.send(name, c.pushMessage(proxy, push))
}

// addTable adds the latest table to a push if the proxy lacks it. If too many bytes are in flight to the proxy, a later
// push carries the table, and this one names the table that the proxy has, if that is of this leadership.
func (c *Controller) addTable(push *wire.Push, proxy *proxyState) {
	push.Key = c.table.Key
	if proxy.tableKey == c.table.Key {
		return
	}
	table := c.tableFor(proxy)
	size := tableBytes(table)
	if proxy.bytesInFlight != 0 && proxy.bytesInFlight+size > tuning.TableBytesInFlight {
		if c.isOwnTable(proxy.tableKey) {
			push.Key = proxy.tableKey
		}
		return
	}
	push.Table = table
	proxy.sentKey, proxy.sentAt = push.Key, proxy.lastPullAt
	proxy.bytesInFlight += size
}

// pushMessage returns the message that carries a push to the current incarnation of a proxy, which its Disk field names.
// Its timestamp is from that incarnation's clock.
func (c *Controller) pushMessage(proxy *proxyState, push *wire.Push) *wire.Message {
	return &wire.Message{Kind: wire.KindPush, Epoch: c.node.Epoch(), Term: c.node.Term(), Timestamp: proxy.pullTimestamp, Disk: proxy.incarnation, Push: push}
}
