// This file keeps the roster, which is the agreed list of proxies.

package controlplane

import (
	"cmp"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// roster admits and drops proxies, all that wait in one step. The roster before counts
// with it until it is in force everywhere, so that majorities always meet.
func (c *Core) roster(now time.Duration) {
	if slices.ContainsFunc(c.waiters, func(f *commitWaiter) bool { return f.rosterChange }) || c.rosterPendingAt > c.state.Seq || !c.node.CanChangeMembers() {
		return
	}
	o := command{Op: "roster"}
	for n, g := range c.proxies {
		k := c.directory[n]
		if k == nil || now-g.pullAt > tuning.ProxyLive || g.pullAt == 0 {
			continue
		}
		i, ok := slices.BinarySearchFunc(c.state.Roster, n, func(r RosterEntry, n string) int { return cmp.Compare(r.Name, n) })
		if r := (RosterEntry{n, k.Addr, k.Domain}); !ok || c.state.Roster[i] != r {
			o.Gates = append(o.Gates, r)
		}
	}
	slices.SortFunc(o.Gates, func(a, b RosterEntry) int { return cmp.Compare(a.Name, b.Name) })
	if len(o.Gates) > 0 && len(c.state.Roster) == 0 && now-c.leadAt < tuning.FirstRoster {
		return
	}
	for _, r := range c.state.Roster {
		if g := c.proxies[r.Name]; now-c.leadAt > tuning.ProxyForget && (g == nil || now-g.pullAt > tuning.ProxyForget) {
			o.Gone = append(o.Gone, r.Name)
		}
	}
	if len(o.Gates)+len(o.Gone) > 0 {
		c.proposeRoster(now, o)
	}
}

func (c *Core) proposeRoster(now time.Duration, o command) { c.rosterPendingAt = c.propose(now, o) }
