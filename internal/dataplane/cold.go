// This file keeps cold targets to their rate, which is dealt over the whole roster.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/config"
)

// coldOf is how long a target of a service is cold from its start.
func (g *Proxy) coldOf(svc string) time.Duration {
	s := g.cfg.Services[svc]
	if s.WarmupRate <= 0 {
		return 0
	}
	return s.Warmup()
}

// chill takes in how much longer a target is cold; of two words the later end holds.
func (t *target) chill(now time.Duration, left int64) {
	if left > 0 {
		t.coldUntil = max(t.coldUntil, now+time.Duration(left))
	}
}

// coldGapOf is how far apart this proxy's requests at a cold target are, 0: it sends
// none. The rate is dealt among some proxies of the roster, so few that one request of
// each beyond the rate stays within half of it; while a change of the roster is under
// way, only those that both rosters draw have a part, and the smaller one. Of a target
// that is still warming too only those are drawn that have a part of its warming cap.
func (g *Proxy) coldGapOf(t *target, set config.Service) time.Duration {
	perS := set.WarmupRate
	if perS <= 0 {
		return 0
	}
	var gap time.Duration
	k := key(t.ID())
	for _, names := range [][]string{g.listed, g.table.PreviousProxies} {
		if len(names) == 0 {
			continue
		}
		if t.State == config.Warming {
			names = holders(set.WarmCap, t.place(set.WarmCap, names), names)
		}
		n := min(max(1, int(perS/2)), len(names))
		if !drawn(k, g.settings.Self.Name, names, n) {
			return 0
		}
		gap = max(gap, time.Duration(float64(n)/perS*float64(time.Second)))
	}
	return gap
}

// cold says that a target bears only its service's cold rate now.
func (t *target) cold(now time.Duration, x *request) bool {
	return t.coldUntil > now && x.set.WarmupRate > 0
}
