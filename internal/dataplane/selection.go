// This file decides which targets a request may go to, and holds the selection policy for targets that don't
// report their slots. The policy for those that do is in slotselection.go.

package dataplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// eligibility is whether a target may get a request.
type eligibility int

// The eligibilities, the lowest first.
const (
	ineligible eligibility = iota // never
	lastResort                    // it is ejected, but its heartbeats arrive: only if there is no other
	eligible
)

// avoidedPenalty puts an avoided target behind all others.
const avoidedPenalty = 100

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

// takesNoRequests reports whether the table keeps new requests off a target, other than by an ejection.
func (p *Proxy) takesNoRequests(target *targetState) bool {
	return target.Draining || target.Pending || target.State == wire.TargetLeaving || slices.Contains(p.table.EmptiedDomains, target.Domain)
}

// isHeartbeating reports whether a target's heartbeats arrive: by the table while the leader keeps it fresh, else
// by those that were heard here, from the target itself or through a peer.
func (p *Proxy) isHeartbeating(now time.Duration, target *targetState) bool {
	if p.state == Leased {
		return target.Heartbeating
	}
	return target.heartbeats.IsSteady(now)
}

// chooseTarget finds a target that takes the request now, nil: none does. Usable says that there is one
// that may take it later.
func (p *Proxy) chooseTarget(now time.Duration, req *request) (target *targetState, usable bool) {
	service := p.service(req.serviceName)
	if service.reportsSlots {
		return p.chooseBySlots(now, req, service)
	}
	return p.chooseLeastLoaded(now, req, service)
}

// chooseLeastLoaded is the policy for targets without slots: of two targets, drawn in a rotation over all of
// them, the less loaded one, or the least loaded of all if both are full. A target whose ejection was
// lifted counts as loaded for a while, so that its return moves no requests.
func (p *Proxy) chooseLeastLoaded(now time.Duration, req *request, service *serviceState) (target *targetState, usable bool) {
	candidates := p.candidates(now, req, service)
	if len(candidates) == 0 {
		return nil, false
	}
	p.rotation++
	first, second := candidates[0], candidates[0]
	if n := uint64(len(candidates)); n > 1 {
		first = candidates[p.rotation%n]
		second = candidates[(p.rotation+1+p.rotation/n%(n-1))%n] // never the first itself
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

// candidates are the service's eligible targets, or if there are none those of last resort. The slice is good
// until the next call.
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

// lessLoaded returns the less loaded of two targets, a if they are equal, nil if neither has capacity.
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

// relativeLoad is a target's load as a part of what this proxy may use of it, and whether it has capacity at all.
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

// wasReinstated reports that an ejection of the target was lifted a short while ago.
func (t *targetState) wasReinstated(now time.Duration) bool {
	return t.reinstatedAt > 0 && now-t.reinstatedAt < tuning.ReconcileEvery
}
