// Limits on connections to targets: each proxy's share of idle connections, and the connect timeout.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// maxIdleConnections returns how many idle connections this proxy may keep to a target. Half of the target's
// connection limit is reserved for requests in flight and for probes. Of the other half, each proxy may keep
// one connection for each slot of its quota; the rest is divided evenly. All proxies together therefore keep at
// most half of the limit, or one connection per slot if the target has more slots than that, even if there are
// more proxies than connections.
func (p *Proxy) maxIdleConnections(target *targetState, serviceConfig config.Service) int {
	if serviceConfig.ConnCap <= 0 {
		return tuning.IdleConnsMax
	}
	idle := serviceConfig.ConnCap / tuning.IdleConnDivisor
	spare := max(0, idle-target.slots) / max(1, len(p.liveProxies))
	return min(tuning.IdleConnsMax, idle, target.quota+spare)
}

// connectTimeout returns how long a connection for a request of the route may take to open. A target whose
// connections are all in use accepts a new one when one of its requests ends, so the wait is a fraction of the
// route's latency target.
func connectTimeout(route *config.Route) time.Duration {
	return min(max(tuning.ConnectTimeoutMin, route.LatencyTarget()/tuning.ConnectTimeoutDivisor), tuning.DialTimeout)
}
