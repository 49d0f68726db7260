// This file keeps the roster, which is the agreed list of proxies.

package controlplane

import (
	"cmp"
	"myrtlefold/internal/shared/state"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// updateProxyMembership admits and drops proxies, all that wait in one step. The updateProxyMembership before counts
// with it until it is in force everywhere, so that majorities always meet.
func (c *Controller) updateProxyMembership(now time.Duration) {
	if slices.ContainsFunc(c.waiters, func(f *inForceWaiter) bool { return f.proxyChange }) || c.proxyChangeIndex > c.state.Index || !c.node.CanChangeMembers() {
		return
	}
	o := state.Command{Operation: state.OpChangeProxies}
	for n, g := range c.proxies {
		k := c.directory[n]
		if k == nil || now-g.lastPullAt > tuning.ProxyLive || g.lastPullAt == 0 {
			continue
		}
		i, ok := slices.BinarySearchFunc(c.state.Proxies, n, func(r state.ProxyEntry, n string) int { return cmp.Compare(r.Name, n) })
		if r := (state.ProxyEntry{Name: n, Addr: k.Addr, Domain: k.Domain}); !ok || c.state.Proxies[i] != r {
			o.Proxies = append(o.Proxies, r)
		}
	}
	slices.SortFunc(o.Proxies, func(a, b state.ProxyEntry) int { return cmp.Compare(a.Name, b.Name) })
	if len(o.Proxies) > 0 && len(c.state.Proxies) == 0 && now-c.leadershipSince < tuning.FirstProxiesWait {
		return
	}
	for _, r := range c.state.Proxies {
		if g := c.proxies[r.Name]; now-c.leadershipSince > tuning.ProxyExpiry && (g == nil || now-g.lastPullAt > tuning.ProxyExpiry) {
			o.RemovedProxies = append(o.RemovedProxies, r.Name)
		}
	}
	if len(o.Proxies)+len(o.RemovedProxies) > 0 {
		c.proposeProxyChange(now, o)
	}
}

func (c *Controller) proposeProxyChange(now time.Duration, o state.Command) {
	c.proxyChangeIndex = c.propose(now, o)
}
