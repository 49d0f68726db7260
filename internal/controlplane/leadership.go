// This file decides whether this member leads, and what a new leader does before
// it decides: it adopts the first state of an epoch, or gathers the proxies' tables.

package controlplane

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Lead is a member's standing as the one who decides.
type Lead int

// What a member may be doing as the one who decides.
const (
	Idle     Lead = iota
	Adopting      // a refounded core gathers what others remember
	Warming       // a new leader gathers tables
	Deciding
)

func (l Lead) String() string { return [...]string{"idle", "adopting", "warming", "deciding"}[l] }

// RecoveredState is what someone remembers of an earlier epoch.
type RecoveredState struct {
	Epoch uint64          `json:"epoch"`
	Term  uint64          `json:"term"`
	Seq   uint64          `json:"seq"`
	State json.RawMessage `json:"state"`
}

// Remembered is what a table remembers of its epoch.
func Remembered(t *wire.Table) (RecoveredState, bool) {
	var s State
	doc, err := wire.Decompress(t.Doc)
	if err != nil || json.Unmarshal(t.State, &s) != nil {
		return RecoveredState{}, false
	}
	s.Doc = doc
	b, _ := json.Marshal(s)
	return RecoveredState{t.Key.Epoch, t.Key.Term, t.Seq, b}, true
}

func (l RecoveredState) less(o RecoveredState) bool {
	return cmp.Or(cmp.Compare(l.Epoch, o.Epoch), cmp.Compare(l.Seq, o.Seq), cmp.Compare(l.Term, o.Term)) < 0
}

func (c *Core) setLead(now time.Duration, l Lead, why string) {
	if l == c.lead {
		return
	}
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectLeadership, From: c.lead.String(), To: l.String(), Reason: why})
	was := c.lead
	c.lead, c.leadAt = l, now
	switch l {
	case Idle:
		c.keepLead(now, was)
		c.counts.LeasesLost++
		c.keepWaiters(now)
	case Adopting:
		c.proposed = false
	case Warming:
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
				g.key, g.revision, g.seq = wire.Key{}, 0, 0
			}
			g.sentKey, g.bytesInFlight = wire.Key{}, 0
		}
		for _, n := range append(c.state.names(), c.state.PreviousRoster...) {
			if c.proxies[n] == nil {
				c.proxies[n] = &proxyState{grantAt: now}
			}
		}
		c.announce(now)
	}
}

// announce tells every daemon at once who leads now; the roster's proxies need not have
// been heard for that.
func (c *Core) announce(now time.Duration) {
	for _, r := range c.state.Roster {
		if c.directory[r.Name] == nil {
			c.directory[r.Name] = &Known{Daemon: wire.Daemon{Name: r.Name, Kind: "gate", Addr: r.Addr, Domain: r.Domain}, At: now - tuning.DaemonGone/2}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(c.directory)) {
		c.emit(statemachine.Send{Addr: c.directory[n].Addr, Message: c.helloMsg(now, n, true)})
	}
}

func (c *Core) leadership(now time.Duration) {
	leads := c.node != nil && !c.stopping && !c.abstains() && c.node.HasLease(now)
	if !leads {
		c.setLead(now, Idle, "no grant from a majority")
		c.handOverIfLate(now)
		return
	}
	if c.leadTerm != c.node.Term() {
		c.setLead(now, Idle, "new term")
		c.leadTerm = c.node.Term()
	}
	switch c.lead {
	case Idle:
		if !c.state.Adopted {
			c.recovered, c.unreadableMemory = RecoveredState{}, false
			if len(c.image.Legacy) > 0 {
				var l RecoveredState
				if err := json.Unmarshal(c.image.Legacy, &l); err != nil {
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
			c.setLead(now, Adopting, "elected in a new epoch")
		} else if c.resumesAtOnce(now) {
			c.resumeAtOnce(now)
		} else {
			c.setLead(now, Warming, "elected")
		}
	case Adopting:
		if c.state.Adopted {
			c.setLead(now, Warming, "epoch's first state agreed")
		} else if now-c.leadAt > tuning.RecoveryWait && !c.proposed && c.canAdopt() {
			c.proposed = true
			c.propose(now, command{Op: "adopt", State: c.recovered.State})
		}
	case Warming:
		told, need := 0, 0
		for _, r := range c.state.Roster {
			need++
			if g := c.proxies[r.Name]; g != nil && g.tableMerged {
				told++
			}
		}
		if told == need && (need > 0 || now-c.leadAt > tuning.FirstRoster) || now-c.leadAt > tuning.WarmLeader ||
			2*told > need && now-c.leadAt > tuning.WarmLeader/3 {
			c.decide(now, fmt.Sprintf("heard %d of %d proxies", told, need), true)
		}
	}
}

func (c *Core) applyPolicies() {
	if c.policyRevision == c.state.Revision && c.policyRevision != 0 {
		return
	}
	cfg := c.checked.cfg
	if cfg == nil || !bytes.Equal(c.checked.doc, c.state.Doc) {
		var err error
		if cfg, _, err = outlier.CheckConfig(c.state.Doc); err != nil {
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
