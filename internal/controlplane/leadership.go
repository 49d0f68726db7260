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

func (c *Controller) setLead(now time.Duration, l Leadership, why string) {
	if l == c.lead {
		return
	}
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectLeadership, From: c.lead.String(), To: l.String(), Reason: why})
	was := c.lead
	c.lead, c.leadAt = l, now
	switch l {
	case NotLeading:
		c.keepLead(now, was)
		c.counts.LeasesLost++
		c.keepWaiters(now)
	case Recovering:
		c.proposed = false
	case Gathering:
		kept := c.keepsLead(now) && c.table != nil
		if kept {
			c.resumeLead(now)
		} else {
			c.forgetLead(now)
		}
		c.beginTerm()
		// Whatever an earlier leader granted may still run.
		for _, g := range c.proxies {
			g.grantAt, g.tableMerged = now, false
			if !kept {
				g.key, g.revision, g.seq = wire.TableKey{}, 0, 0
			}
			g.sentKey, g.bytesInFlight = wire.TableKey{}, 0
		}
		for _, n := range append(c.state.ProxyNames(), c.state.PreviousProxies...) {
			if c.proxies[n] == nil {
				c.proxies[n] = &proxyState{grantAt: now}
			}
		}
		c.announce(now)
	}
}

// announce tells every daemon at once who leads now; the roster's proxies need not have
// been heard for that.
func (c *Controller) announce(now time.Duration) {
	for _, r := range c.state.Proxies {
		if c.directory[r.Name] == nil {
			c.directory[r.Name] = &discovery.Peer{Daemon: wire.Daemon{Name: r.Name, Kind: wire.ProxyDaemon, Addr: r.Addr, Domain: r.Domain}, LastContact: now - tuning.DaemonExpiry/2}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(c.directory)) {
		c.emit(statemachine.Send{Addr: c.directory[n].Addr, Message: c.helloMsg(now, n, true)})
	}
}

func (c *Controller) leadership(now time.Duration) {
	leads := c.node != nil && !c.stopping && !c.abstains() && c.node.HasLease(now)
	if !leads {
		c.setLead(now, NotLeading, "no grant from a majority")
		c.handOverIfLate(now)
		return
	}
	if c.leadTerm != c.node.Term() {
		c.setLead(now, NotLeading, "new term")
		c.leadTerm = c.node.Term()
	}
	switch c.lead {
	case NotLeading:
		if !c.state.Recovered {
			c.recovered, c.unreadableMemory = state.RecoveredState{}, false
			if len(c.image.RecoveredState) > 0 {
				var l state.RecoveredState
				if err := json.Unmarshal(c.image.RecoveredState, &l); err != nil {
					c.unreadableMemory = true
					c.reportDamage("memory of an earlier epoch on this disk", err)
				} else {
					c.addRecovered(l)
				}
			}
			c.readMemories()
			for _, n := range slices.Sorted(maps.Keys(c.proxyMemories)) {
				c.addRecovered(c.proxyMemories[n].RecoveredState)
			}
			c.setLead(now, Recovering, "elected in a new epoch")
		} else if c.resumesAtOnce(now) {
			c.resumeAtOnce(now)
		} else {
			c.setLead(now, Gathering, "elected")
		}
	case Recovering:
		if c.state.Recovered {
			c.setLead(now, Gathering, "epoch's first state agreed")
		} else if now-c.leadAt > tuning.RecoveryWait && !c.proposed && c.canAdopt() {
			c.proposed = true
			c.propose(now, state.Command{Operation: state.OpRecover, State: c.recovered.State})
		}
	case Gathering:
		told, need := 0, 0
		for _, r := range c.state.Proxies {
			need++
			if g := c.proxies[r.Name]; g != nil && g.tableMerged {
				told++
			}
		}
		if told == need && (need > 0 || now-c.leadAt > tuning.FirstProxiesWait) || now-c.leadAt > tuning.GatherTablesWait ||
			2*told > need && now-c.leadAt > tuning.GatherTablesWait/3 {
			c.decide(now, fmt.Sprintf("heard %d of %d proxies", told, need), true)
		}
	}
}

func (c *Controller) applyPolicies() {
	if c.policyRevision == c.state.Revision && c.policyRevision != 0 {
		return
	}
	cfg := c.checked.cfg
	if cfg == nil || !bytes.Equal(c.checked.doc, c.state.Document) {
		var err error
		if cfg, _, err = outlier.ParseConfig(c.state.Document); err != nil {
			c.cannotDecode(fmt.Sprintf("configuration %d", c.state.Revision), err)
			if c.cfg == nil {
				c.cfg = &config.Config{} // for the rest of this step, in which the lead ends
			}
			return
		}
	}
	c.cfg = cfg
	c.judge.Replace(cfg)
	c.policyRevision = c.state.Revision
}
