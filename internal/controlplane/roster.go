// This file keeps the roster, which is the agreed list of proxies.

package controlplane

import (
	"cmp"
	"myrtlefold/internal/shared/state"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// roster admits and drops proxies, all that wait in one step. The roster before counts
// with it until it is in force everywhere, so that majorities always meet.
func (c *Controller) roster(now time.Duration) {
	if slices.ContainsFunc(c.waiters, func(f *commitWaiter) bool { return f.rosterChange }) || c.rosterPendingAt > c.state.Index || !c.node.CanChangeMembers() {
		return
	}
	o := state.Command{Operation: state.OpChangeProxies}
	for n, g := range c.proxies {
		k := c.directory[n]
		if k == nil || now-g.pullAt > tuning.ProxyLive || g.pullAt == 0 {
			continue
		}
		i, ok := slices.BinarySearchFunc(c.state.Proxies, n, func(r state.ProxyEntry, n string) int { return cmp.Compare(r.Name, n) })
		if r := (state.ProxyEntry{Name: n, Addr: k.Addr, Domain: k.Domain}); !ok || c.state.Proxies[i] != r {
			o.Proxies = append(o.Proxies, r)
		}
	}
	slices.SortFunc(o.Proxies, func(a, b state.ProxyEntry) int { return cmp.Compare(a.Name, b.Name) })
	if len(o.Proxies) > 0 && len(c.state.Proxies) == 0 && now-c.leadAt < tuning.FirstProxiesWait {
		return
	}
	for _, r := range c.state.Proxies {
		if g := c.proxies[r.Name]; now-c.leadAt > tuning.ProxyExpiry && (g == nil || now-g.pullAt > tuning.ProxyExpiry) {
			o.RemovedProxies = append(o.RemovedProxies, r.Name)
		}
	}
	if len(o.Proxies)+len(o.RemovedProxies) > 0 {
		c.proposeRoster(now, o)
	}
}

func (c *Controller) proposeRoster(now time.Duration, o state.Command) {
	c.rosterPendingAt = c.propose(now, o)
}
