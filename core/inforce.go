// This file tells when a table binds every proxy, and answers those who wait for it.
package core

import (
	"slices"
	"time"

	"myrtlefold/limit"
	"myrtlefold/wire"
)

// force is something that waits until a table is in force everywhere.
type force struct {
	ver    uint64
	majAt  time.Duration
	since  time.Duration
	p      *pending // who waits for reply, if any
	reply  Reply
	clear  wire.ID // target that may be served from then on
	wide   bool    // a change of the roster
	member string  // a core member whose joining or leaving is waited for
	joins  bool
	most   bool      // confirmed by a majority of the proxies is enough
	agreed []wire.ID // targets whose leaving or sign-off has to be agreed
}

// inForce says whether a table binds every proxy: a majority of the roster, and of
// the one before while that still counts, has confirmed it, and each other one's grant, from the leader or from
// partners that had not confirmed yet, must have lapsed.
func (c *Core) inForce(now time.Duration, f *force) bool {
	if f.member != "" && (!c.node.Settled() || f.joins != slices.ContainsFunc(c.node.Members(), func(m wire.Member) bool { return m.Name == f.member })) {
		return false
	}
	var rest []*gate
	confirmed := func(names []string) bool {
		conf := 0
		for _, n := range names {
			g := c.gates[n]
			if g != nil && g.key.Epoch == c.node.Epoch() && g.key.Term == c.node.Term() && g.key.Ver >= f.ver {
				conf++
			} else if g != nil {
				rest = append(rest, g)
			}
		}
		return 2*conf > len(names) || len(names) == 0
	}
	if slices.ContainsFunc(f.agreed, func(id wire.ID) bool { return !c.agreed(id) }) {
		return false
	}
	if now, was := confirmed(c.state.names()), confirmed(c.state.Was); !now || !was {
		f.majAt = 0
		return false
	}
	if f.most {
		return true
	}
	if f.majAt == 0 {
		f.majAt = now
	}
	for _, g := range rest {
		if now-g.grantAt <= limit.GateGrant+limit.GrantMargin || now-f.majAt <= limit.TouchGrant+limit.GrantMargin {
			return false
		}
	}
	return true
}

// settle answers for what has come into force.
func (c *Core) settle(now time.Duration) {
	var done []*force
	c.forces = slices.DeleteFunc(c.forces, func(f *force) bool {
		if c.inForce(now, f) {
			done = append(done, f)
			return true
		}
		if f.p != nil && (now-f.since > limit.AskWait || f.p.word && now-f.p.at > limit.WordWait) {
			c.unknown(f.p)
			f.p = nil
			return !f.wide
		}
		return false
	})
	for _, f := range done {
		if f.p != nil {
			c.answer(f.p, f.reply)
		}
		if f.wide && len(c.state.Was) > 0 && !slices.ContainsFunc(c.forces, func(f *force) bool { return f.wide }) {
			c.wide(now, order{Op: "enrolled", Base: c.state.RosterAt})
		}
		if t := c.targets[f.clear]; t != nil && t.Pending {
			t.Pending = false
			c.rebuild(now, false)
		}
	}
}
