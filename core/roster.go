// This file keeps the roster, which is the agreed list of proxies.
package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"myrtlefold/limit"
)

// roster admits and drops proxies, all that wait in one step. The roster before counts
// with it until it is in force everywhere, so that majorities always meet.
func (c *Core) roster(now time.Duration) {
	if slices.ContainsFunc(c.forces, func(f *force) bool { return f.wide }) || c.wideUntil > c.state.Seq || !c.node.Settled() {
		return
	}
	o := order{Op: "roster"}
	for _, n := range slices.Sorted(maps.Keys(c.gates)) {
		k := c.known[n]
		if k == nil || now-c.gates[n].pullAt > limit.GateLive || c.gates[n].pullAt == 0 {
			continue
		}
		i, ok := slices.BinarySearchFunc(c.state.Roster, n, func(r Gate, n string) int { return cmp.Compare(r.Name, n) })
		if r := (Gate{n, k.Addr, k.Domain}); !ok || c.state.Roster[i] != r {
			o.Gates = append(o.Gates, r)
		}
	}
	if len(o.Gates) > 0 && len(c.state.Roster) == 0 && now-c.leadAt < limit.FirstRoster {
		return
	}
	for _, r := range c.state.Roster {
		if g := c.gates[r.Name]; now-c.leadAt > limit.GateForget && (g == nil || now-g.pullAt > limit.GateForget) {
			o.Gone = append(o.Gone, r.Name)
		}
	}
	if len(o.Gates)+len(o.Gone) > 0 {
		c.wide(now, o)
	}
}

func (c *Core) wide(now time.Duration, o order) { c.wideUntil = c.propose(now, o) }
