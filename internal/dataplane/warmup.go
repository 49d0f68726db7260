// Limits for targets that started recently. There are two independent ones. In the state warming, a target has
// a smaller cap, which rises to the usual one afterwards (slow start). During its warm-up time, it gets
// requests at a limited rate. Both limits hold for all proxies together, also while the proxy membership
// changes.

package dataplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// capacity returns how many requests this proxy may have at a target that reports no slots, which is its share
// of the cap. A target in the state warming must never get more than its cap, whichever tables the proxies
// have. Its cap is therefore divided among all member proxies, and while a membership change is not in force
// everywhere, the smaller of the old and the new share applies.
func (p *Proxy) capacity(now time.Duration, target *targetState, serviceConfig config.Service) int {
	share := func(total int, proxies []string) int {
		return evenShare(total, target.remainderOffset(total, proxies), p.settings.Self.Name, proxies)
	}
	if target.State != wire.TargetWarming {
		return share(target.slowStartCap(now, serviceConfig), p.liveProxies)
	}
	capacity := share(serviceConfig.WarmCap, p.memberProxies)
	if len(p.table.PreviousProxies) > 0 {
		capacity = min(capacity, share(serviceConfig.WarmCap, p.table.PreviousProxies))
	}
	if target.warmingShareRisesAt > now {
		capacity = min(capacity, target.warmingShare)
	}
	return capacity
}

// slowStartCap returns the cap of a ready target, which rises from that of the state warming to the usual one.
func (t *targetState) slowStartCap(now time.Duration, serviceConfig config.Service) int {
	since := now - t.readyAt
	if t.readyAt <= 0 || since >= tuning.SlowStart || serviceConfig.WarmCap >= serviceConfig.Cap {
		return serviceConfig.Cap
	}
	rise := float64(serviceConfig.Cap-serviceConfig.WarmCap) * float64(since) / float64(tuning.SlowStart)
	return serviceConfig.WarmCap + int(rise)
}

// remainderOffset returns the index of the first proxy that gets a part of the remainder of a target's cap. It
// follows the last proxy that got one for the service's previous target, so that every proxy has a share of
// some targets.
func (t *targetState) remainderOffset(total int, proxies []string) int {
	return int(hash32(t.Service)>>8) + int(t.ShareOffset)*(total%max(1, len(proxies)))
}

// limitWarmingShare delays an increase of this proxy's share of the cap of a target in the state warming until
// all requests that other proxies sent within their shares of an earlier membership must have ended. The shares
// of one table add up to the cap, but shares of two successive tables may exceed it.
func (p *Proxy) limitWarmingShare(now time.Duration, target *targetState, serviceConfig config.Service) {
	if target.State != wire.TargetWarming {
		target.warmingShare, target.nextWarmingShare, target.warmingShareRisesAt = 0, 0, 0
		return
	}
	risesAt := target.warmingShareRisesAt
	target.warmingShareRisesAt = 0
	share := p.capacity(now, target, serviceConfig)
	switch {
	case target.newToFleet, share <= target.warmingShare, share == target.nextWarmingShare && now >= risesAt:
		target.newToFleet, target.warmingShare, target.nextWarmingShare = false, share, share
		return
	case share == target.nextWarmingShare:
		target.warmingShareRisesAt = risesAt
	default:
		target.nextWarmingShare = share
		target.warmingShareRisesAt = now + p.maxRequestTime(target.Service) + tuning.ChoiceTTL
	}
	p.scheduleReindex(target.warmingShareRisesAt)
}

// maxRequestTime returns the longest time that a request of a service may take.
func (p *Proxy) maxRequestTime(serviceName string) time.Duration {
	longest := time.Duration(p.configuration.Services[serviceName].TimeoutMs) * time.Millisecond
	for _, route := range p.configuration.Routes {
		inSplit := func(share config.Share) bool { return share.Service == serviceName }
		if route.Service == serviceName || slices.ContainsFunc(route.Split, inSplit) {
			longest = max(longest, route.Timeout())
		}
	}
	return longest
}

// warmupTime returns how long the targets of a service warm up after their start.
func (p *Proxy) warmupTime(serviceName string) time.Duration {
	serviceConfig := p.configuration.Services[serviceName]
	if serviceConfig.WarmupRate <= 0 {
		return 0
	}
	return serviceConfig.Warmup()
}

// extendWarmup extends the warm-up to last for another left nanoseconds, but never shortens it.
func (t *targetState) extendWarmup(now time.Duration, left int64) {
	if left > 0 {
		t.warmupUntil = max(t.warmupUntil, now+time.Duration(left))
	}
}

// warmingUp reports whether the target gets requests only at its service's warm-up rate.
func (t *targetState) warmingUp(now time.Duration, req *request) bool {
	return t.warmupUntil > now && req.serviceConfig.WarmupRate > 0
}

// setWarmupInterval sets the time between two of this proxy's requests at a target that is warming up.
func (p *Proxy) setWarmupInterval(now time.Duration, target *targetState, serviceConfig config.Service) {
	interval := p.warmupIntervalOf(target, serviceConfig)
	if interval > 0 && target.warmupInterval == 0 {
		target.nextWarmupAt = now + interval // an earlier process of this proxy may have just sent a request
	}
	target.warmupInterval = interval
	if target.warmupUntil > now {
		p.scheduleReindex(target.warmupUntil)
	}
}

// warmupIntervalOf returns the time between two of this proxy's requests at a target that is warming up, or 0
// if it sends none. Only some of the member proxies, selected by hashing, share the rate: so few that one extra
// request from each exceeds the rate by no more than half. While a membership change is under way, a proxy has
// a share only if it is selected from both memberships, and gets the smaller of the two shares. If the target
// is also in the state warming, only proxies with a share of its cap are selected.
func (p *Proxy) warmupIntervalOf(target *targetState, serviceConfig config.Service) time.Duration {
	rate := serviceConfig.WarmupRate
	if rate <= 0 {
		return 0
	}
	var interval time.Duration
	hash := targetHash(target.ID())
	for _, proxies := range [][]string{p.memberProxies, p.table.PreviousProxies} {
		if len(proxies) == 0 {
			continue
		}
		if target.State == wire.TargetWarming {
			proxies = namesWithShare(serviceConfig.WarmCap, target.remainderOffset(serviceConfig.WarmCap, proxies), proxies)
		}
		sharing := min(max(1, int(rate/2)), len(proxies))
		if !rendezvousSelects(hash, p.settings.Self.Name, proxies, sharing) {
			return 0
		}
		interval = max(interval, time.Duration(float64(sharing)/rate*float64(time.Second)))
	}
	return interval
}
