package controlplane

import (
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/shared/wire"
)

// DaemonView is a daemon as operators see it in the API.
type DaemonView struct {
	wire.Daemon
	// ProxyMember reports whether the daemon is in the proxy membership, Member whether it is a member of the control plane.
	ProxyMember bool `json:"in_roster"`
	Member      bool `json:"member"`
	// LastContactMs is the time since this member last had contact with the daemon, in milliseconds.
	LastContactMs float64 `json:"last_heard_ms"`
	// TableVersion is the version of the table that a proxy has confirmed, 0 if none is known.
	TableVersion uint64 `json:"table,omitempty"`
}

// daemonViews returns the known control daemons, this one included, followed by the proxies in the directory.
func (c *Controller) daemonViews(now time.Duration) []DaemonView {
	views := []DaemonView{}
	members := c.node.Members()
	for _, daemon := range append(c.controlDaemons(), c.proxyDaemons()...) {
		view := DaemonView{Daemon: daemon, ProxyMember: c.isProxyMember(daemon.Name)}
		view.Member = slices.ContainsFunc(members, func(m wire.Member) bool { return m.Name == daemon.Name })
		if peer := c.directory[daemon.Name]; peer != nil {
			view.LastContactMs = milliseconds(now - peer.LastContact)
		}
		if proxy := c.proxies[daemon.Name]; proxy != nil {
			view.TableVersion = proxy.tableKey.Version
		}
		views = append(views, view)
	}
	return views
}

// proxyDaemons returns the proxies in the directory, sorted by name.
func (c *Controller) proxyDaemons() []wire.Daemon {
	var proxies []wire.Daemon
	for _, name := range slices.Sorted(maps.Keys(c.directory)) {
		if c.directory[name].Kind != wire.ControlDaemon {
			proxies = append(proxies, c.directory[name].Daemon)
		}
	}
	return proxies
}

// failureDomains returns the failure domains of targets and proxies and those named in the settings, sorted.
func (c *Controller) failureDomains() []string {
	domains := map[string]bool{}
	for _, t := range c.targets {
		domains[t.Domain] = true
	}
	for i := range c.state.Proxies {
		domains[c.state.Proxies[i].Domain] = true
	}
	for _, domain := range c.settings.Domains {
		domains[domain] = true
	}
	delete(domains, "")
	return slices.Sorted(maps.Keys(domains))
}
