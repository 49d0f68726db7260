// This file maintains the proxy membership, the list of proxies in the replicated log. A table is in force only once a
// quorum of these proxies has confirmed it.

package controlplane

import (
	"cmp"
	"slices"
	"time"

	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/tuning"
)

// isProxyMember reports whether a proxy is in the membership.
func (c *Controller) isProxyMember(name string) bool {
	return slices.ContainsFunc(c.state.Proxies, func(p state.ProxyEntry) bool { return p.Name == name })
}

// updateProxyMembership proposes a single change that admits all live proxies and removes all expired ones and those that have
// signed off. Until it is in force a table needs quorums of both the previous and the new membership. Therefore only one such
// change is made at a time. A removal of proxies that have signed off needs no quorum of them, so it does not wait for that.
func (c *Controller) updateProxyMembership(now time.Duration) {
	if c.proxyChangeIndex > c.state.Index || !c.node.CanChangeMembers() {
		return
	}
	command := state.Command{Operation: state.OpChangeProxies, DepartedProxies: c.departedProxies()}
	command.RemovedProxies = command.DepartedProxies
	if !c.proxyChangePending() {
		command.Proxies = c.changedProxyEntries(now)
		// The first proxies usually start together. Waiting admits them in one change.
		if len(command.Proxies) > 0 && len(c.state.Proxies) == 0 && now-c.leadershipSince < tuning.FirstProxiesWait {
			return
		}
		command.RemovedProxies = append(c.expiredProxies(now), command.DepartedProxies...)
	}
	if len(command.Proxies)+len(command.RemovedProxies) > 0 {
		c.proposeProxyChange(now, command)
	}
}

// proxyChangePending reports whether a change of the membership is not yet committed or not yet in force.
func (c *Controller) proxyChangePending() bool {
	return c.proxyChangeIndex > c.state.Index || slices.ContainsFunc(c.waiters, func(w *inForceWaiter) bool { return w.proxyChange })
}

// removalProposed reports whether the removal of a proxy is proposed and not committed yet.
func (c *Controller) removalProposed(name string) bool {
	return c.proxyChangeIndex > c.state.Index && slices.Contains(c.proxiesRemoved, name)
}

// departedProxies returns the proxies in the membership that have signed off, once no table depends on them: a quorum of the others
// has every table that any of them has. Until then their processes wait, so that a new leader could still get it from them.
func (c *Controller) departedProxies() (names []string) {
	latest := uint64(0)
	for i := range c.state.Proxies {
		if name := c.state.Proxies[i].Name; c.hasSignedOff(name) {
			names = append(names, name)
			latest = max(latest, c.proxies[name].tableKey.Version)
		}
	}
	if len(names) == 0 {
		return nil
	}
	if current := c.currentConfirmation(latest); !current.IsQuorumOfRunning() {
		return nil
	}
	return names
}

// changedProxyEntries returns the entries of live proxies that the membership lacks or has with another address or
// failure domain, sorted by name.
func (c *Controller) changedProxyEntries(now time.Duration) (entries []state.ProxyEntry) {
	for name, proxy := range c.proxies {
		peer := c.directory[name]
		if peer == nil || proxy.departed || proxy.lastPullAt == 0 || now-proxy.lastPullAt > tuning.ProxyLive {
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

// expiredProxies returns the names of the proxies in the membership that have not pulled for tuning.ProxyExpiry and have not signed
// off. A leader can't tell before it has led for that long itself.
func (c *Controller) expiredProxies(now time.Duration) (names []string) {
	if now-c.leadershipSince <= tuning.ProxyExpiry {
		return nil
	}
	for i := range c.state.Proxies {
		name := c.state.Proxies[i].Name
		if proxy := c.proxies[name]; proxy == nil || !proxy.signedOff && now-proxy.lastPullAt > tuning.ProxyExpiry {
			names = append(names, name)
		}
	}
	return names
}

// retirePreviousProxies proposes that quorums of the previous membership are no longer required, unless a further change
// is not in force yet.
func (c *Controller) retirePreviousProxies(now time.Duration) {
	if len(c.state.PreviousProxies) == 0 || slices.ContainsFunc(c.waiters, func(w *inForceWaiter) bool { return w.proxyChange }) {
		return
	}
	c.proposeProxyChange(now, state.Command{Operation: state.OpProxiesInForce, Base: c.state.ProxiesIndex})
}

// proposeProxyChange proposes a change of the membership. An operator's request to forget a proxy that was made before the proxy
// was admitted is overtaken by that.
func (c *Controller) proposeProxyChange(now time.Duration, command state.Command) {
	c.proxyChangeIndex, c.proxiesRemoved = c.propose(now, command), command.RemovedProxies
	for _, proxy := range command.Proxies {
		c.order.record(apiPath{resource: proxiesResource, name: proxy.Name}, c.proxyChangeIndex)
	}
}
