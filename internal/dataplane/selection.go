// Eligibility of targets for a request, and the selection policy for targets that don't report their slots. The
// policy for those that do is in slotselection.go.

package dataplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// eligibility tells whether a target may get a request.
type eligibility int

// Levels of eligibility, in ascending order.
const (
	ineligible eligibility = iota // may not be chosen
	lastResort                    // ejected, but its heartbeats arrive: chosen only if no target is eligible
	eligible
)

// avoidedPenalty is added to the load of avoided targets, so that they come after all others.
const avoidedPenalty = 100

// eligibility returns whether the target may get the request, regardless of its load.
func (p *Proxy) eligibility(now time.Duration, target *targetState, req *request) eligibility {
	if target.leaving || p.takesNoRequests(target) || len(req.triedTargets) > 0 && slices.Contains(req.triedTargets, target.ID()) {
		return ineligible
	}
	if target.ejectedUntil <= now && target.ownEjectionUntil <= now {
		return eligible
	}
	if p.isHeartbeating(now, target) && target.ownEjectionUntil <= now {
		return lastResort
	}
	return ineligible
}

// takesNoRequests reports whether the table excludes a target from new requests for a reason other than an
// ejection.
func (p *Proxy) takesNoRequests(target *targetState) bool {
	return target.Draining || target.Pending || target.State == wire.TargetLeaving || slices.Contains(p.table.EmptiedDomains, target.Domain)
}

// isHeartbeating reports whether a target's heartbeats arrive. With a lease it goes by the table, which the
// leader keeps up to date; otherwise by the heartbeats received here, directly or through a peer.
func (p *Proxy) isHeartbeating(now time.Duration, target *targetState) bool {
	if p.state == Leased {
		return target.Heartbeating
	}
	return target.heartbeats.IsSteady(now)
}

// chooseTarget returns a target that can take the request now, or nil if there is none. hasCandidates is true
// if there is a target that may take it later.
func (p *Proxy) chooseTarget(now time.Duration, req *request) (target *targetState, hasCandidates bool) {
	service := p.service(req.serviceName)
	if service.reportsSlots {
		return p.chooseBySlots(now, req, service)
	}
	return p.chooseLeastLoaded(now, req, service)
}

// chooseLeastLoaded is the selection policy for targets that don't report slots. It compares two targets,
// chosen in rotation, and returns the less loaded one. If both are full or avoided, it returns the least loaded
// of all. A target whose ejection was lifted recently counts as loaded, so that its return draws no requests
// away from working targets.
func (p *Proxy) chooseLeastLoaded(now time.Duration, req *request, service *serviceState) (target *targetState, hasCandidates bool) {
	candidates := p.candidates(now, req, service)
	if len(candidates) == 0 {
		return nil, false
	}
	p.rotation++
	first, second := candidates[0], candidates[0]
	if n := uint64(len(candidates)); n > 1 {
		first = candidates[p.rotation%n]
		second = candidates[(p.rotation+1+p.rotation/n%(n-1))%n] // never equal to first
	}
	best := p.lessLoaded(now, first, second, req)
	if best != nil && best.avoidedUntil <= now {
		return best, true
	}
	best = nil
	for _, candidate := range candidates {
		best = p.lessLoaded(now, best, candidate, req)
	}
	return best, true
}

// candidates returns the service's eligible targets, or those of last resort if none is eligible. It omits
// targets that are warming up at a rate of which this proxy has no share. The slice is valid until the next call.
func (p *Proxy) candidates(now time.Duration, req *request, service *serviceState) []*targetState {
	p.eligibleBuffer, p.lastResortBuffer = p.eligibleBuffer[:0], p.lastResortBuffer[:0]
	for _, target := range service.targets {
		if target.warmingUp(now, req) && target.warmupInterval == 0 {
			continue
		}
		switch p.eligibility(now, target, req) {
		case eligible:
			p.eligibleBuffer = append(p.eligibleBuffer, target)
		case lastResort:
			p.lastResortBuffer = append(p.lastResortBuffer, target)
		}
	}
	if len(p.eligibleBuffer) == 0 {
		return p.lastResortBuffer
	}
	return p.eligibleBuffer
}

// lessLoaded returns the less loaded of two targets, a if they are equal, or nil if neither has capacity.
func (p *Proxy) lessLoaded(now time.Duration, a, b *targetState, req *request) *targetState {
	loadA, hasCapacityA := p.relativeLoad(now, a, req)
	loadB, hasCapacityB := p.relativeLoad(now, b, req)
	switch {
	case !hasCapacityA && !hasCapacityB:
		return nil
	case !hasCapacityA || hasCapacityB && loadB < loadA:
		return b
	}
	return a
}

// relativeLoad returns a target's load relative to this proxy's capacity at it, and whether any capacity is
// left.
func (p *Proxy) relativeLoad(now time.Duration, target *targetState, req *request) (load float64, hasCapacity bool) {
	if target == nil {
		return 0, false
	}
	capacity := p.capacity(now, target, req.serviceConfig)
	if target.inFlight >= capacity || target.fullUntil > now || target.warmingUp(now, req) && now < target.nextWarmupAt {
		return 0, false
	}
	load = float64(target.inFlight)/float64(capacity) + target.Demand
	if target.wasReinstated(now) {
		load++
	}
	if target.avoidedUntil > now {
		load += avoidedPenalty
	}
	return load, true
}

// wasReinstated reports whether an ejection of the target was lifted within the last tuning.ReconcileEvery.
func (t *targetState) wasReinstated(now time.Duration) bool {
	return t.reinstatedAt > 0 && now-t.reinstatedAt < tuning.ReconcileEvery
}
