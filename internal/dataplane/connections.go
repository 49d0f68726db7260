// This file deals the connections that a target takes among the proxies, and says how long one may
// take to open.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// maxIdleConnections is how many unused connections to a target this proxy may keep. A target that bounds its
// connections is left half of them for requests under way and for probes; of the others each proxy may keep one for
// each slot that is dealt to it, and what is left over is shared evenly. So all proxies together keep no more
// than half, or than the target has slots, also when there are more proxies than connections.
func (p *Proxy) maxIdleConnections(t *targetState, set config.Service) int {
	if set.ConnCap <= 0 {
		return tuning.IdleConnsMax
	}
	room := set.ConnCap / tuning.IdleConnParts
	spare := max(0, room-t.slots) / max(1, len(p.liveProxies))
	return min(tuning.IdleConnsMax, room, t.quota+spare)
}

// connectTimeout is how long a connection for a request of a route may take to open: a target that is full
// takes it up once one of its requests ends, which is soon by the measure of the route's own aim.
func connectTimeout(route *config.Route) time.Duration {
	return min(max(tuning.ConnectTimeoutMin, route.LatencyTarget()/tuning.ConnectParts), tuning.DialTimeout)
}
