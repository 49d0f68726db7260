// This file keeps the proxy membership, which is the list of proxies that the log holds. Tables are in force by the
// confirmations of its majority.

package controlplane

import (
	"cmp"
	"slices"
	"time"

	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/tuning"
)

// isProxyMember says that a proxy is in the membership.
func (c *Controller) isProxyMember(name string) bool {
	return slices.ContainsFunc(c.state.Proxies, func(p state.ProxyEntry) bool { return p.Name == name })
}

// updateProxyMembership proposes to admit the proxies that are there and to remove those that are gone, all in one
// change. The membership before counts too until the change is in force: every majority of the one meets every
// majority of the other then. So there is one change at a time.
func (c *Controller) updateProxyMembership(now time.Duration) {
	if c.proxyChangePending() || !c.node.CanChangeMembers() {
		return
	}
	command := state.Command{Operation: state.OpChangeProxies, Proxies: c.newProxyEntries(now)}
	// The first proxies mostly start together: they are admitted together too.
	if len(command.Proxies) > 0 && len(c.state.Proxies) == 0 && now-c.leadershipSince < tuning.FirstProxiesWait {
		return
	}
	command.RemovedProxies = c.expiredProxies(now)
	if len(command.Proxies)+len(command.RemovedProxies) > 0 {
		c.proposeProxyChange(now, command)
	}
}

// proxyChangePending says that a change of the membership is not committed or not in force yet.
func (c *Controller) proxyChangePending() bool {
	return c.proxyChangeIndex > c.state.Index || slices.ContainsFunc(c.waiters, func(w *inForceWaiter) bool { return w.proxyChange })
}

// newProxyEntries returns the proxies that pull and are not in the membership as they are now, in order of their names.
func (c *Controller) newProxyEntries(now time.Duration) (entries []state.ProxyEntry) {
	for name, proxy := range c.proxies {
		peer := c.directory[name]
		if peer == nil || proxy.lastPullAt == 0 || now-proxy.lastPullAt > tuning.ProxyLive {
			continue
		}
		entry := state.ProxyEntry{Name: name, Addr: peer.Addr, Domain: peer.Domain}
		i, found := slices.BinarySearchFunc(c.state.Proxies, name, func(p state.ProxyEntry, name string) int { return cmp.Compare(p.Name, name) })
		if !found || c.state.Proxies[i] != entry {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b state.ProxyEntry) int { return cmp.Compare(a.Name, b.Name) })
	return entries
}

// expiredProxies returns the names of those members that have not pulled for too long. A leader has to
// lead for as long before it can say so.
func (c *Controller) expiredProxies(now time.Duration) (names []string) {
	if now-c.leadershipSince <= tuning.ProxyExpiry {
		return nil
	}
	for i := range c.state.Proxies {
		name := c.state.Proxies[i].Name
		if proxy := c.proxies[name]; proxy == nil || now-proxy.lastPullAt > tuning.ProxyExpiry {
			names = append(names, name)
		}
	}
	return names
}

// endPreviousProxies proposes that the membership before counts no more, unless a further change of it is not in force.
func (c *Controller) endPreviousProxies(now time.Duration) {
	if len(c.state.PreviousProxies) == 0 || slices.ContainsFunc(c.waiters, func(w *inForceWaiter) bool { return w.proxyChange }) {
		return
	}
	c.proposeProxyChange(now, state.Command{Operation: state.OpProxiesInForce, Base: c.state.ProxiesIndex})
}

func (c *Controller) proposeProxyChange(now time.Duration, command state.Command) {
	c.proxyChangeIndex = c.propose(now, command)
}
