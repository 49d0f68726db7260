// This file keeps cold targets to their rate, which is dealt over the whole roster.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// warmupTime is how long a target of a service is cold from its start.
func (p *Proxy) warmupTime(svc string) time.Duration {
	s := p.configuration.Services[svc]
	if s.WarmupRate <= 0 {
		return 0
	}
	return s.Warmup()
}

// extendWarmup takes in how much longer a target is cold; of two words the later end holds.
func (t *targetState) extendWarmup(now time.Duration, left int64) {
	if left > 0 {
		t.warmupUntil = max(t.warmupUntil, now+time.Duration(left))
	}
}

// warmupIntervalOf is how far apart this proxy's requests at a cold target are, 0: it sends
// none. The rate is dealt among some proxies of the roster, so few that one request of
// each beyond the rate stays within half of it; while a change of the roster is under
// way, only those that both rosters draw have a part, and the smaller one. Of a target
// that is still warming too only those are drawn that have a part of its warming cap.
func (p *Proxy) warmupIntervalOf(t *targetState, set config.Service) time.Duration {
	perS := set.WarmupRate
	if perS <= 0 {
		return 0
	}
	var gap time.Duration
	k := targetHash(t.ID())
	for _, names := range [][]string{p.memberProxies, p.table.PreviousProxies} {
		if len(names) == 0 {
			continue
		}
		if t.State == wire.TargetWarming {
			names = namesWithShare(set.WarmCap, t.remainderOffset(set.WarmCap, names), names)
		}
		n := min(max(1, int(perS/2)), len(names))
		if !isAmongFirst(k, p.settings.Self.Name, names, n) {
			return 0
		}
		gap = max(gap, time.Duration(float64(n)/perS*float64(time.Second)))
	}
	return gap
}

// warmingUp says that a target bears only its service's warmingUp rate now.
func (t *targetState) warmingUp(now time.Duration, x *request) bool {
	return t.warmupUntil > now && x.serviceConfig.WarmupRate > 0
}
