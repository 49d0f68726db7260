// This file decides whether this member leads, and what a new leader does before
// it decides: it adopts the first state of an epoch, or gathers the proxies' tables.

package controlplane

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Leadership is a member's standing as the one who decides.
type Leadership int

// What a member may be doing as the one who decides.
const (
	NotLeading Leadership = iota
	Recovering            // a refounded core gathers what others remember
	Gathering             // a new leader gathers tables
	Leading
)

func (l Leadership) String() string { return [...]string{"idle", "adopting", "warming", "deciding"}[l] }

func (c *Controller) setLeadership(now time.Duration, l Leadership, why string) {
	if l == c.leadership {
		return
	}
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectLeadership, From: c.leadership.String(), To: l.String(), Reason: why})
	was := c.leadership
	c.leadership, c.leadershipSince = l, now
	switch l {
	case NotLeading:
		c.recordLostLeadership(now, was)
		c.counts.LeasesLost++
		c.retainWaiters(now)
	case Recovering:
		c.initialStateProposed = false
	case Gathering:
		kept := c.canResumeLeadership(now) && c.table != nil
		if kept {
			c.restoreLeadershipState(now)
		} else {
			c.resetLeadershipState(now)
		}
		c.beginTerm()
		// Whatever an earlier leader granted may still run.
		for _, g := range c.proxies {
			g.leaseGrantedAt, g.tableMerged = now, false
			if !kept {
				g.tableKey, g.revision, g.stateIndex = wire.TableKey{}, 0, 0
			}
			g.sentKey, g.bytesInFlight = wire.TableKey{}, 0
		}
		for _, n := range append(c.state.ProxyNames(), c.state.PreviousProxies...) {
			if c.proxies[n] == nil {
				c.proxies[n] = &proxyState{leaseGrantedAt: now}
			}
		}
		c.announceLeadership(now)
	}
}

// announceLeadership tells every daemon at once who leads now; the roster's proxies need not have
// been heard for that.
func (c *Controller) announceLeadership(now time.Duration) {
	for _, r := range c.state.Proxies {
		if c.directory[r.Name] == nil {
			c.directory[r.Name] = &discovery.Peer{Daemon: wire.Daemon{Name: r.Name, Kind: wire.ProxyDaemon, Addr: r.Addr, Domain: r.Domain}, LastContact: now - tuning.DaemonExpiry/2}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(c.directory)) {
		c.emit(statemachine.Send{Addr: c.directory[n].Addr, Message: c.helloTo(now, n, true)})
	}
}

func (c *Controller) updateLeadership(now time.Duration) {
	leads := c.node != nil && !c.stopping && !c.abstains() && c.node.HasLease(now)
	if !leads {
		c.setLeadership(now, NotLeading, "no grant from a majority")
		c.transferUnstableLeadership(now)
		return
	}
	if c.leadershipTerm != c.node.Term() {
		c.setLeadership(now, NotLeading, "new term")
		c.leadershipTerm = c.node.Term()
	}
	switch c.leadership {
	case NotLeading:
		if !c.state.Recovered {
			c.recoveredState, c.unreadableRecoveredState = state.RecoveredState{}, false
			if len(c.image.RecoveredState) > 0 {
				var l state.RecoveredState
				if err := json.Unmarshal(c.image.RecoveredState, &l); err != nil {
					c.unreadableRecoveredState = true
					c.reportDamage("memory of an earlier epoch on this disk", err)
				} else {
					c.addRecovered(l)
				}
			}
			c.decodeProxyStates()
			for _, n := range slices.Sorted(maps.Keys(c.proxyRecoveredStates)) {
				c.addRecovered(c.proxyRecoveredStates[n].RecoveredState)
			}
			c.setLeadership(now, Recovering, "elected in a new epoch")
		} else if c.canResumeAtOnce(now) {
			c.resumeLeadershipAtOnce(now)
		} else {
			c.setLeadership(now, Gathering, "elected")
		}
	case Recovering:
		if c.state.Recovered {
			c.setLeadership(now, Gathering, "epoch's first state agreed")
		} else if now-c.leadershipSince > tuning.RecoveryWait && !c.initialStateProposed && c.canRecover() {
			c.initialStateProposed = true
			c.propose(now, state.Command{Operation: state.OpRecover, State: c.recoveredState.State})
		}
	case Gathering:
		told, need := 0, 0
		for _, r := range c.state.Proxies {
			need++
			if g := c.proxies[r.Name]; g != nil && g.tableMerged {
				told++
			}
		}
		if told == need && (need > 0 || now-c.leadershipSince > tuning.FirstProxiesWait) || now-c.leadershipSince > tuning.GatherTablesWait ||
			2*told > need && now-c.leadershipSince > tuning.GatherTablesWait/3 {
			c.establishLeadership(now, fmt.Sprintf("heard %d of %d proxies", told, need), true)
		}
	}
}

func (c *Controller) applyPolicies() {
	if c.activeRevision == c.state.Revision && c.activeRevision != 0 {
		return
	}
	cfg := c.lastCheckedConfig.config
	if cfg == nil || !bytes.Equal(c.lastCheckedConfig.document, c.state.Document) {
		var err error
		if cfg, _, err = outlier.ParseConfig(c.state.Document); err != nil {
			c.cannotDecode(fmt.Sprintf("configuration %d", c.state.Revision), err)
			if c.activeConfig == nil {
				c.activeConfig = &config.Config{} // for the rest of this step, in which the lead ends
			}
			return
		}
	}
	c.activeConfig = cfg
	c.detector.Replace(cfg)
	c.activeRevision = c.state.Revision
}
