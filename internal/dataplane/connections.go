// This file divides the connections that a target takes among the proxies, and says how long one may
// take to open.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// maxIdleConnections is how many unused connections to a target this proxy may keep. Of the connections that a target
// takes, half is left to requests in flight and to probes. Of the others each proxy may keep one for each slot of its
// quota, and what remains is divided evenly. So all proxies together keep no more than half, or than the
// target has slots, also when there are more proxies than connections.
func (p *Proxy) maxIdleConnections(target *targetState, serviceConfig config.Service) int {
	if serviceConfig.ConnCap <= 0 {
		return tuning.IdleConnsMax
	}
	idle := serviceConfig.ConnCap / tuning.IdleConnParts
	spare := max(0, idle-target.slots) / max(1, len(p.liveProxies))
	return min(tuning.IdleConnsMax, idle, target.quota+spare)
}

// connectTimeout is how long a connection for a request of a route may take to open. A target whose connections are
// all in use accepts one when one of its requests ends, which is soon, measured by the route's latency target.
func connectTimeout(route *config.Route) time.Duration {
	return min(max(tuning.ConnectTimeoutMin, route.LatencyTarget()/tuning.ConnectParts), tuning.DialTimeout)
}
