// This file decides whether this member leads, and what a new leader does before
// it decides: it adopts the first state of an epoch, or gathers the proxies' tables.
package core

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/judge"
	"myrtlefold/limit"
	"myrtlefold/wire"
)

// Lead is a member's standing as the one who decides.
type Lead int

const (
	Idle     Lead = iota
	Adopting      // a refounded core gathers what others remember
	Warming       // a new leader gathers tables
	Deciding
)

func (l Lead) String() string { return [...]string{"idle", "adopting", "warming", "deciding"}[l] }

// Legacy is what someone remembers of an earlier epoch.
type Legacy struct {
	Epoch uint64          `json:"epoch"`
	Term  uint64          `json:"term"`
	Seq   uint64          `json:"seq"`
	State json.RawMessage `json:"state"`
}

// Remembered is what a table remembers of its epoch.
func Remembered(t *wire.Table) (Legacy, bool) {
	var s State
	doc, err := wire.Open(t.Doc)
	if err != nil || json.Unmarshal(t.State, &s) != nil {
		return Legacy{}, false
	}
	s.Doc = doc
	b, _ := json.Marshal(s)
	return Legacy{t.Key.Epoch, t.Key.Term, t.Seq, b}, true
}

func (l Legacy) less(o Legacy) bool {
	return cmp.Or(cmp.Compare(l.Epoch, o.Epoch), cmp.Compare(l.Seq, o.Seq), cmp.Compare(l.Term, o.Term)) < 0
}

func (c *Core) setLead(now time.Duration, l Lead, why string) {
	if l == c.lead {
		return
	}
	c.do(Change{"lead", c.lead.String(), l.String(), why})
	c.lead, c.leadAt = l, now
	switch l {
	case Idle:
		for _, t := range slices.Sorted(maps.Keys(c.pend)) {
			c.unknown(c.pend[t])
		}
		for _, f := range c.forces {
			if f.p != nil {
				c.unknown(f.p)
			}
		}
		c.forces = nil
		clear(c.pend)
	case Adopting:
		c.proposed = false
	case Warming:
		c.targets, c.claims, c.judge, c.judged = map[wire.ID]*target{}, map[wire.ID]*target{}, judge.New(), 0
		c.scorer = judge.NewScorer(c.judge)
		c.turns, c.turnOf = map[string]uint32{}, map[[2]string]uint32{}
		c.tombs, c.left = map[wire.ID]time.Duration{}, map[wire.ID]time.Duration{}
		c.outVer = map[wire.ID]uint64{}
		c.table, c.slight, c.ids, c.best, c.wideUntil = nil, nil, nil, wire.Key{}, 0
		c.changes, c.gones, c.gatesVer, c.firstVer = nil, nil, c.ver+1, c.ver+1
		c.policies()
		c.recollect(now)
		// Whatever an earlier leader granted may still run.
		for _, g := range c.gates {
			g.grantAt, g.told, g.key, g.revision, g.seq = now, false, wire.Key{}, 0, 0
			g.sent, g.flying = wire.Key{}, 0
		}
		for _, n := range append(c.state.names(), c.state.Was...) {
			if c.gates[n] == nil {
				c.gates[n] = &gate{grantAt: now}
			}
		}
		c.counts.Elections++
		c.announce(now)
	}
}

// announce tells every daemon at once who leads now; the roster's proxies need not have
// been heard for that.
func (c *Core) announce(now time.Duration) {
	for _, r := range c.state.Roster {
		if c.known[r.Name] == nil {
			c.known[r.Name] = &Known{Daemon: wire.Daemon{Name: r.Name, Kind: "gate", Addr: r.Addr, Domain: r.Domain}, At: now - limit.DaemonGone/2}
		}
	}
	for _, n := range slices.Sorted(maps.Keys(c.known)) {
		c.do(Send{c.known[n].Addr, c.helloMsg(now, n, true)})
	}
}

func (c *Core) leadership(now time.Duration) {
	leads := c.node != nil && !c.stopping && !c.retired() && c.node.Leads(now)
	if !leads {
		c.setLead(now, Idle, "no grant from a majority")
		return
	}
	if c.leadTerm != c.node.Term() {
		c.setLead(now, Idle, "new term")
		c.leadTerm = c.node.Term()
	}
	switch c.lead {
	case Idle:
		if !c.state.Adopted {
			c.legacy = nil
			if len(c.img.Legacy) > 0 {
				var l Legacy
				if json.Unmarshal(c.img.Legacy, &l) == nil {
					c.remember(l)
				}
			}
			for _, n := range slices.Sorted(maps.Keys(c.memories)) {
				c.remember(c.memories[n].Legacy)
			}
			c.setLead(now, Adopting, "elected in a new epoch")
		} else {
			c.setLead(now, Warming, "elected")
		}
	case Adopting:
		if c.state.Adopted {
			c.setLead(now, Warming, "epoch's first state agreed")
		} else if now-c.leadAt > limit.LegacyWait && !c.proposed {
			best := Legacy{}
			for _, l := range c.legacy {
				if best.less(l) {
					best = l
				}
			}
			c.proposed = true
			c.propose(now, order{Op: "adopt", State: best.State})
		}
	case Warming:
		told, need := 0, 0
		for _, r := range c.state.Roster {
			need++
			if g := c.gates[r.Name]; g != nil && g.told {
				told++
			}
		}
		if told == need && (need > 0 || now-c.leadAt > limit.FirstRoster) || now-c.leadAt > limit.WarmLeader ||
			2*told > need && now-c.leadAt > limit.WarmLeader/3 {
			c.setLead(now, Deciding, fmt.Sprintf("heard %d of %d proxies", told, need))
			c.rebuild(now, true)
			if len(c.state.Was) > 0 {
				c.forces = append(c.forces, &force{ver: c.ver, since: now, wide: true})
			}
			for _, id := range slices.SortedFunc(maps.Keys(c.targets), wire.ID.Compare) {
				if c.targets[id].Pending {
					c.forces = append(c.forces, &force{ver: c.ver, since: now, clear: id})
				}
			}
		}
	}
}

func (c *Core) remember(l Legacy) {
	if c.node != nil && !c.state.Adopted && l.Epoch < c.node.Epoch() && len(l.State) > 0 {
		c.legacy = append(c.legacy, l)
	}
}

func (c *Core) policies() {
	if c.judged == c.state.Revision && c.judged != 0 {
		return
	}
	cfg := c.checked.cfg
	if cfg == nil || !bytes.Equal(c.checked.doc, c.state.Doc) {
		var err error
		if cfg, _, err = judge.CheckConfig(c.state.Doc); err != nil {
			panic(fmt.Sprintf("agreed configuration %d: %v", c.state.Revision, err))
		}
	}
	c.cfg = cfg
	c.judge.Replace(cfg)
	c.judged = c.state.Revision
}
