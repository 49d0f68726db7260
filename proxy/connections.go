// This file deals the connections that a target takes among the proxies.

package proxy

import (
	"myrtlefold/limit"
	"myrtlefold/model"
)

// idleConns is how many unused connections to a target this proxy may keep. A target that bounds its
// connections is left half of them for requests under way and for probes; of the others each proxy may keep one for
// each slot that is dealt to it, and what is left over is shared evenly. So all proxies together
// keep no more than half, also when there are more proxies than connections.
func (g *Proxy) idleConns(t *target, set model.Service) int {
	if set.ConnCap <= 0 {
		return limit.IdleConnsMax
	}
	room := set.ConnCap / limit.IdleConnParts
	spare := max(0, room-t.slots) / max(1, len(g.alive))
	return min(limit.IdleConnsMax, room, t.part+spare)
}
