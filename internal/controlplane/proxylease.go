// This file answers the pulls of proxies: the leader grants each a lease and sends it what it lacks of the table.

package controlplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// proxyState is what the leader keeps of a proxy.
type proxyState struct {
	incarnation      uint64
	pastIncarnations []uint64      // those that the present one replaced
	lastPullAt       time.Duration // 0: it has not pulled
	pullTimestamp    int64         // the latest by the proxy's own clock, which a lease is counted from
	leaseGrantedAt   time.Duration // when its latest lease began, or may have begun under an earlier leader

	tableKey             wire.TableKey // the table that it has confirmed
	revision, stateIndex uint64        // of the configuration and state that it has
	progressAt           time.Duration // when it last had the latest table, or another one than before
	tableMerged          bool          // its table from before this leadership is merged, or it has none

	// Tables sent and not confirmed yet.

	sentKey       wire.TableKey // the latest
	sentAt        time.Duration
	bytesInFlight int // estimated, see tableBytes
}

// handlePull takes a proxy's pull. It is also how a proxy confirms a table and reports the statistics of targets.
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
	if !proxy.enterIncarnation(incarnation) {
		return
	}
	c.confirmTable(now, proxy, message)
	if pull.Table != nil && c.leadership >= Gathering && !proxy.tableMerged {
		proxy.tableMerged = true
		c.mergeTable(now, pull.Table)
		c.rebuildTable(now, false)
	}
	proxy.revision, proxy.stateIndex = pull.Revision, pull.StateIndex
	if pull.Key == (wire.TableKey{}) {
		proxy.tableMerged = true // it has none
	}
	c.addTargetStats(now, pull.Stats)
	c.sendPush(message.From, proxy, c.leadership == Leading && c.mayGrantLease(now, message.From, proxy))
}

// discoverProxy notes in the directory that a proxy is there, and returns its incarnation. One that leaves itself out
// of a pull must be there already, under the incarnation that the message names; otherwise it gets no push, and
// introduces itself in its next pull.
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

// enterIncarnation says whether a message is from the present incarnation of a proxy, or from a new one, which begins
// with nothing then. A late message of one that was replaced must not bring it back.
func (p *proxyState) enterIncarnation(incarnation uint64) bool {
	if incarnation == p.incarnation {
		return true
	}
	if slices.Contains(p.pastIncarnations, incarnation) {
		return false
	}
	p.pastIncarnations = append(p.pastIncarnations, p.incarnation)
	p.incarnation, p.pullTimestamp = incarnation, 0
	p.tableKey, p.revision, p.stateIndex = wire.TableKey{}, 0, 0
	p.sentKey, p.bytesInFlight = wire.TableKey{}, 0
	return true
}

// confirmTable notes a pull and the table that the proxy has by now. With that, what was sent up to this table is in
// flight no more.
func (c *Controller) confirmTable(now time.Duration, proxy *proxyState, m *wire.Message) {
	proxy.lastPullAt = now
	proxy.pullTimestamp = max(proxy.pullTimestamp, m.Timestamp)
	confirmed := m.Pull.Key
	if c.table == nil || confirmed != proxy.tableKey || confirmed == c.table.Key {
		proxy.progressAt = now
	}
	proxy.tableKey = confirmed
	if !confirmed.Less(proxy.sentKey) || now-proxy.sentAt > flightTime(proxy.bytesInFlight) {
		proxy.sentKey, proxy.bytesInFlight = wire.TableKey{}, 0
	}
}

// mayGrantLease says that a proxy gets a lease with its push. One that pulls but does not take the tables that it is
// sent gets none: a change waits for its lease to run out before it is in force.
func (c *Controller) mayGrantLease(now time.Duration, name string, proxy *proxyState) bool {
	return c.isProxyMember(name) && now-proxy.progressAt < tuning.TableAckTimeout && !c.isLagging(now, proxy.tableKey)
}

// isLagging says that a table of this leadership has not been the latest for longer than a proxy may take to confirm
// the next one.
func (c *Controller) isLagging(now time.Duration, key wire.TableKey) bool {
	if !c.isOwnTable(key) || key.Version >= c.tableVersion {
		return false
	}
	if c.tableVersion-key.Version >= tuning.TablesKept {
		return true // so old that it isn't known any more when the next one was made
	}
	return now-c.tableMadeAt[(key.Version+1)%tuning.TablesKept] >= tuning.TableAckTimeout
}

// isOwnTable says that a key is of a table of this leadership, in its present term or an earlier one.
func (c *Controller) isOwnTable(key wire.TableKey) bool {
	return c.table != nil && key.Epoch == c.table.Key.Epoch && key.Version != 0 && slices.Contains(c.leadershipTerms, key.Term)
}

// isProxyLive says that a proxy has pulled lately. Only live ones get a share of targets' capacities.
func (c *Controller) isProxyLive(now time.Duration, name string) bool {
	proxy := c.proxies[name]
	return proxy != nil && proxy.lastPullAt != 0 && now-proxy.lastPullAt < tuning.ProxyLive
}

// sendPush sends a proxy the table if it lacks that, and a lease if grant is set. The lease runs from the proxy's own
// timestamp of its pull, which is before it was granted here, and is for the table that the push names.
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

// addTable adds the latest table to a push if the proxy lacks it. With too much in flight the push names the table that
// the proxy has, if that is of this leadership, and the table goes with a later push.
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

// pushMessage returns a push to the present incarnation of a proxy: the timestamp is of that one's clock.
func (c *Controller) pushMessage(proxy *proxyState, push *wire.Push) *wire.Message {
	return &wire.Message{Kind: wire.KindPush, Epoch: c.node.Epoch(), Term: c.node.Term(), Timestamp: proxy.pullTimestamp, Disk: proxy.incarnation, Push: push}
}
