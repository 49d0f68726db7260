// Selection policy for targets that report how many slots they have. Beyond its own quota of slots, a proxy
// borrows slots at targets whose known load is low. Unless a target reports a free slot, it does so only while the
// number of its requests in flight is below a window, which grows while requests are served and shrinks when a
// target rejects a request because it is full.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// tier ranks targets in a choice. Cost is compared only between targets of the same tier.
type tier int

// Tiers, in order of preference.
const (
	quotaLocal  tier = iota // a slot of this proxy's quota, at a target in the proxy's domain
	freeLocal               // a free slot reported by a target in the proxy's domain
	quotaRemote             // a slot of its quota, at a target in another domain
	freeRemote              // a free slot reported by a target in another domain
	warmupDue               // the target is warming up, and the next request may be sent to it
	borrowed                // a slot of other proxies' quotas, or of its own quota while others use it
	avoided                 // a connection to the target failed recently
	noTier                  // the target can't be chosen now
)

// choice is the result of bestAmong: the best of the examined targets.
type choice struct {
	target        *targetState // nil if none can be chosen now
	tier          tier
	hasCandidates bool // there is a target that may be chosen later
}

// chooseBySlots chooses a target by tier, then by cost. Different proxies, and successive choices of one proxy,
// start at different targets, so that targets of equal cost share the requests.
func (p *Proxy) chooseBySlots(now time.Duration, req *request, service *serviceState) (target *targetState, hasCandidates bool) {
	anyTarget := p.priorityAllows(now, req, service)
	p.rotation++
	// In most cases a slot of this proxy's quota in its own domain is free, and no other target is examined.
	best := p.bestAmong(now, req, service, service.quotaTargets, eligible, anyTarget)
	if best.target != nil && best.tier == quotaLocal {
		p.countChoice(best.tier)
		return best.target, true
	}
	for _, class := range []eligibility{eligible, lastResort} {
		best = p.bestAmong(now, req, service, service.targets, class, anyTarget)
		if !best.hasCandidates {
			continue
		}
		if best.target != nil {
			p.countChoice(best.tier)
		}
		return best.target, true
	}
	return nil, false
}

// bestAmong returns the best of the targets with the given eligibility. If anyTarget is false, only targets that
// report a free slot are chosen.
func (p *Proxy) bestAmong(now time.Duration, req *request, service *serviceState, targets []*targetState, class eligibility, anyTarget bool) choice {
	best := choice{tier: noTier}
	cost, count := 0.0, len(targets)
	for i := range targets {
		candidate := targets[(int((p.nameHash+p.rotation)%uint64(count))+i)%count]
		if p.eligibility(now, candidate, req) != class || candidate.slots == 0 || candidate.warmingUp(now, req) && candidate.warmupInterval == 0 {
			continue
		}
		best.hasCandidates = true
		tier := candidate.tier(now, req, service)
		if tier == noTier || tier > best.tier || !anyTarget && !candidate.hasFreeSlot(now) {
			continue
		}
		if candidateCost := candidate.selectionCost(now); tier < best.tier || candidateCost < cost {
			best.target, best.tier, cost = candidate, tier, candidateCost
		}
	}
	return best
}

// countChoice counts a choice by its tier.
func (p *Proxy) countChoice(tier tier) {
	switch tier {
	case quotaLocal, quotaRemote:
		p.Counts.WithinQuota++
	case warmupDue:
		p.Counts.ToWarmingUp++
	default:
		p.Counts.Borrowed++
	}
}

// priorityAllows reports whether the request's priority allows any target. While the service is under pressure,
// each priority level leaves a part of the window to every higher level that had requests recently. A request
// that would use such a part may only go to targets that report a free slot.
func (p *Proxy) priorityAllows(now time.Duration, req *request, service *serviceState) bool {
	level := priorityLevel(req.priority)
	if level == 0 || !service.underPressure(now) {
		return true
	}
	higher := 0
	for _, arrivedAt := range service.lastArrivals[:level] {
		if arrivedAt > 0 && now-arrivedAt < tuning.PressureTTL {
			higher++
		}
	}
	if higher == 0 || float64(service.inFlight+1) <= service.window*(1-tuning.PriorityReserve*float64(higher)) {
		return true
	}
	p.Counts.LowPriority++
	return false
}

// tier returns the tier of the target for a request.
func (t *targetState) tier(now time.Duration, req *request, service *serviceState) tier {
	withinQuota := t.inFlight < t.quota
	switch {
	case t.fullUntil > now || t.inFlight >= t.slots:
		return noTier
	case t.State == wire.TargetWarming && !withinQuota:
		return noTier
	case t.warmingUp(now, req):
		if now < t.nextWarmupAt {
			return noTier
		}
		return warmupDue
	case t.capped && !withinQuota:
		return noTier
	case t.avoidedUntil > now:
		return avoided
	case withinQuota:
		return t.quotaTier(now)
	}
	return t.beyondQuotaTier(now, service)
}

// quotaTier returns the tier of a target where a slot of this proxy's quota is left.
func (t *targetState) quotaTier(now time.Duration) tier {
	switch {
	case t.utilization(now) >= 1:
		return borrowed // all slots are in use, so other proxies have borrowed those of this proxy's quota
	case t.local:
		return quotaLocal
	}
	return quotaRemote
}

// beyondQuotaTier returns the tier of a target where this proxy's quota is used up.
func (t *targetState) beyondQuotaTier(now time.Duration, service *serviceState) tier {
	switch {
	case t.hasFreeSlot(now) && t.local:
		return freeLocal
	case t.hasFreeSlot(now):
		return freeRemote
	case float64(service.inFlight)+1 <= service.window && t.utilization(now) < 1:
		return borrowed
	}
	return noTier
}
