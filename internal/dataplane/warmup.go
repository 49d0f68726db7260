// This file bounds what targets get that have started a short while ago. Two bounds are independent of each other. In the
// state warming a target has a smaller cap, which afterwards rises to the usual one (slow start). During its warm-up
// time it gets requests at a bounded rate only. Both hold for all proxies together, also while the
// proxy membership changes.

package dataplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// capacity is how many requests this proxy may have at a target that reports no slots: its share of the cap. A target in
// the state warming must never get more than its cap, whichever tables the proxies have: the cap is divided among
// all member proxies, and while a change of these is not in force everywhere, the smaller of both shares counts.
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

// slowStartCap is the cap of a ready target: it rises from that of the state warming to the usual one.
func (t *targetState) slowStartCap(now time.Duration, serviceConfig config.Service) int {
	since := now - t.readyAt
	if t.readyAt <= 0 || since >= tuning.SlowStart || serviceConfig.WarmCap >= serviceConfig.Cap {
		return serviceConfig.Cap
	}
	rise := float64(serviceConfig.Cap-serviceConfig.WarmCap) * float64(since) / float64(tuning.SlowStart)
	return serviceConfig.WarmCap + int(rise)
}

// remainderOffset is from where on among the proxies the remainder of a target's cap is given out: from where that of
// the service's target before it ended, so that every proxy has a share of some targets.
func (t *targetState) remainderOffset(total int, proxies []string) int {
	return int(hash32(t.Service)>>8) + int(t.ShareOffset)*(total%max(1, len(proxies)))
}

// limitWarmingShare keeps this proxy's share of the cap of a target in the state warming from growing before all
// requests are over that others sent there within their shares under an earlier membership. The shares by one table
// add up to the cap; those by two tables that follow one another need not.
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
	p.reindexBy(target.warmingShareRisesAt)
}

// maxRequestTime is how long a request of a service may take.
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

// warmupTime is how long a target of a service warms up from its start.
func (p *Proxy) warmupTime(serviceName string) time.Duration {
	serviceConfig := p.configuration.Services[serviceName]
	if serviceConfig.WarmupRate <= 0 {
		return 0
	}
	return serviceConfig.Warmup()
}

// extendWarmup takes in how much longer the target warms up, in ns. Of several reports the latest end counts.
func (t *targetState) extendWarmup(now time.Duration, left int64) {
	if left > 0 {
		t.warmupUntil = max(t.warmupUntil, now+time.Duration(left))
	}
}

// warmingUp reports that the target takes requests at its service's warm-up rate only.
func (t *targetState) warmingUp(now time.Duration, req *request) bool {
	return t.warmupUntil > now && req.serviceConfig.WarmupRate > 0
}

// setWarmupInterval sets how far apart this proxy's requests at a target are that warms up.
func (p *Proxy) setWarmupInterval(now time.Duration, target *targetState, serviceConfig config.Service) {
	interval := p.warmupIntervalOf(target, serviceConfig)
	if interval > 0 && target.warmupInterval == 0 {
		target.nextWarmupAt = now + interval // an earlier process of this proxy may just have sent one
	}
	target.warmupInterval = interval
	if target.warmupUntil > now {
		p.reindexBy(target.warmupUntil)
	}
}

// warmupIntervalOf is how far apart this proxy's requests at a target are that warms up, 0: it sends none. Some of the
// member proxies are drawn to share the rate, so few that one request of each beyond it stays within half
// of it. While a change of the membership is under way, only a proxy that both memberships draw has a share,
// the smaller one. If the target is in the state warming too, only proxies are drawn that have a share of its cap.
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
		if !isDrawn(hash, p.settings.Self.Name, proxies, sharing) {
			return 0
		}
		interval = max(interval, time.Duration(float64(sharing)/rate*float64(time.Second)))
	}
	return interval
}
