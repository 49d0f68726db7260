// This file is the selection policy for targets that report how many slots they have. Beyond its own quota of
// slots a proxy borrows where little load is known of, within a window that shrinks when a target says that it is full.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// tier is what a choice goes by first.
type tier int

// The tiers, the preferred ones first.
const (
	ownLocal      tier = iota // a slot of this proxy's quota, at a target in its domain
	offeredLocal              // a target in its domain reports a free slot
	ownRemote                 // a slot of its quota, at a target elsewhere
	offeredRemote             // a target elsewhere reports a free slot
	warmupTurn                // the target is warming up, and this proxy may send it the next request
	borrowed                  // a slot of other proxies' quotas
	avoided                   // connections to the target failed a moment ago
	noTier                    // the target can't be chosen now
)

// choice is the best target that was found in a pass over some of them.
type choice struct {
	target *targetState // nil: none can be chosen now
	tier   tier
	usable bool // there is one that may be chosen later
}

// chooseBySlots chooses by tier, then by cost. Proxies begin at different targets, and each choice at another one, so
// that not all requests go to the same target if costs are equal.
func (p *Proxy) chooseBySlots(now time.Duration, req *request, service *serviceState) (target *targetState, usable bool) {
	mayBorrow := p.priorityAllows(now, req, service)
	p.rotation++
	// Mostly there is no need to look beyond the own slots in this domain.
	best := p.bestAmong(now, req, service, service.quotaTargets, eligible, mayBorrow)
	if best.target != nil && best.tier == ownLocal {
		p.countChoice(best.tier)
		return best.target, true
	}
	for _, class := range []eligibility{eligible, lastResort} {
		best = p.bestAmong(now, req, service, service.targets, class, mayBorrow)
		if !best.usable {
			continue
		}
		if best.target != nil {
			p.countChoice(best.tier)
		}
		return best.target, true
	}
	return nil, false
}

// bestAmong finds the best of the targets that have the given eligibility. Without mayBorrow only those are
// chosen that report a free slot.
func (p *Proxy) bestAmong(now time.Duration, req *request, service *serviceState, targets []*targetState, class eligibility, mayBorrow bool) choice {
	best := choice{tier: noTier}
	cost, count := 0.0, len(targets)
	for i := range targets {
		candidate := targets[(int((p.nameHash+p.rotation)%uint64(count))+i)%count]
		if p.eligibility(now, candidate, req) != class || candidate.slots == 0 || candidate.warmingUp(now, req) && candidate.warmupInterval == 0 {
			continue
		}
		best.usable = true
		tier := candidate.tier(now, req, service)
		if tier == noTier || tier > best.tier || !mayBorrow && !candidate.hasFreeSlot(now) {
			continue
		}
		if candidateCost := candidate.selectionCost(now); tier < best.tier || candidateCost < cost {
			best.target, best.tier, cost = candidate, tier, candidateCost
		}
	}
	return best
}

func (p *Proxy) countChoice(tier tier) {
	switch tier {
	case ownLocal, ownRemote:
		p.Counts.WithinQuota++
	case warmupTurn:
		p.Counts.ToWarmingUp++
	default:
		p.Counts.Borrowed++
	}
}

// priorityAllows reports whether a request of its priority may go to any target now. While the service is under
// pressure each priority leaves a part of the window to each higher one that has requests; a request beyond
// that goes only where a target reports a free slot.
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

// tier is the target's tier for a request.
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
		return warmupTurn
	case t.capped && !withinQuota:
		return noTier
	case t.avoidedUntil > now:
		return avoided
	case withinQuota:
		return t.ownTier(now)
	}
	return t.borrowedTier(now, service)
}

// ownTier is the tier of a target where the proxy's quota has a slot left.
func (t *targetState) ownTier(now time.Duration) tier {
	switch {
	case t.utilization(now) >= 1:
		return borrowed // other proxies have borrowed the slot meanwhile
	case t.local:
		return ownLocal
	}
	return ownRemote
}

// borrowedTier is the tier of a target where the proxy's quota is used up.
func (t *targetState) borrowedTier(now time.Duration, service *serviceState) tier {
	switch {
	case t.hasFreeSlot(now) && t.local:
		return offeredLocal
	case t.hasFreeSlot(now):
		return offeredRemote
	case float64(service.inFlight)+1 <= service.window && t.utilization(now) < 1:
		return borrowed
	}
	return noTier
}
