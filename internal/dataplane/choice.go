// This file is the choice of a target. Beyond the slots that are dealt to it a proxy borrows where little
// load is known, within a window that shrinks when a target says that it is full.

package dataplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// standing of a target before a request.
type eligibility int

const (
	ineligible eligibility = iota // never
	lastResort                    // ejected, but it beats: if there is no other
	eligible
)

func (p *Proxy) eligibility(now time.Duration, t *targetState, x *request) eligibility {
	if t.leaving || t.Draining || t.Pending || t.State == wire.TargetLeaving ||
		slices.Contains(p.table.EmptiedDomains, t.Domain) || len(x.triedTargets) > 0 && slices.Contains(x.triedTargets, t.ID()) {
		return ineligible
	}
	if t.ejectedUntil > now || t.ownEjectionUntil > now {
		if p.isHeartbeating(now, t) && t.ownEjectionUntil <= now {
			return lastResort
		}
		return ineligible
	}
	return eligible
}

// chooseTarget finds a target that takes the request now; any says that one may later.
func (p *Proxy) chooseTarget(now time.Duration, x *request) (t *targetState, any bool) {
	s := p.service(x.serviceName)
	if s.reportsSlots {
		return p.chooseBySlots(now, x, s)
	}
	return p.chooseLeastLoaded(now, x, s)
}

// spread picks the less burdened of two admitted targets, met in a turn that
// goes round them all, or the least burdened of all if both are full. A target
// whose ejection was lifted starts at the back, so that its return moves nothing.
func (p *Proxy) chooseLeastLoaded(now time.Duration, x *request, s *serviceState) (t *targetState, any bool) {
	open, barred := p.eligibleBuffer[:0], p.lastResortBuffer[:0]
	defer func() { p.eligibleBuffer, p.lastResortBuffer = open[:0], barred[:0] }()
	for _, t := range s.targets {
		if t.warmingUp(now, x) && t.warmupInterval == 0 {
			continue
		}
		switch p.eligibility(now, t, x) {
		case eligible:
			open = append(open, t)
		case lastResort:
			barred = append(barred, t)
		}
	}
	if len(open) == 0 {
		open, barred = barred, open
	}
	if len(open) == 0 {
		return nil, false
	}
	p.rotation++
	n := uint64(len(open))
	a, b := open[p.rotation%n], open[0]
	if n > 1 {
		b = open[(p.rotation+1+p.rotation/n%(n-1))%n] // never a itself
	}
	best := p.lessLoaded(now, a, b, x)
	if best == nil || best.avoidedUntil > now {
		best = nil
		for _, t := range open {
			best = p.lessLoaded(now, best, t, x)
		}
	}
	return best, true
}

// beats says whether a target is known to beat: by the table while the leader
// keeps it fresh, else by what was heard here, straight or through a peer.
func (p *Proxy) isHeartbeating(now time.Duration, t *targetState) bool {
	if p.state == Leased {
		return t.Heartbeating
	}
	return t.heartbeats.IsSteady(now)
}

func (p *Proxy) lessLoaded(now time.Duration, a, b *targetState, x *request) *targetState {
	sa, sb := p.relativeLoad(now, a, x), p.relativeLoad(now, b, x)
	switch {
	case sa < 0 && sb < 0:
		return nil
	case sa < 0 || sb >= 0 && sb < sa:
		return b
	}
	return a
}

// relativeLoad is under 0 for a target without room.
func (p *Proxy) relativeLoad(now time.Duration, t *targetState, x *request) float64 {
	if t == nil {
		return -1
	}
	room := p.capacity(now, t, x.serviceConfig)
	if t.inFlight >= room || t.fullUntil > now || t.warmingUp(now, x) && now < t.nextWarmupAt {
		return -1
	}
	b := float64(t.inFlight)/float64(room) + t.Demand
	if t.reinstatedAt > 0 && now-t.reinstatedAt < tuning.ReconcileEvery {
		b++
	}
	if t.avoidedUntil > now {
		b += 100
	}
	return b
}

// tier is what a choice goes by first.
type tier int

const (
	ownLocal     tier = iota // a slot of this proxy's own in its domain
	offeredLocal             // one of its domain says that there is room
	ownRemote
	offeredRemote // another says so
	warmupTurn    // a cold target's next turn for this proxy
	borrowed
	avoided
	noTier
)

// chooseBySlots goes by tier, then by load, speed and open connections; a turn that begins
// elsewhere at each proxy breaks ties, so that not all go to the same.
func (p *Proxy) chooseBySlots(now time.Duration, x *request, s *serviceState) (t *targetState, any bool) {
	room := p.priorityAllows(now, x, s)
	p.rotation++
	// Its own slots nearby come first: mostly there is no need to look further.
	if t, at, any := p.bestAmong(now, x, s, s.quotaTargets, eligible, room); t != nil && at == ownLocal {
		p.countChoice(at)
		return t, any
	}
	for _, as := range []eligibility{eligible, lastResort} {
		if t, at, any := p.bestAmong(now, x, s, s.targets, as, room); any {
			if t != nil {
				p.countChoice(at)
			}
			return t, true
		}
	}
	return nil, false
}

func (p *Proxy) bestAmong(now time.Duration, x *request, s *serviceState, ts []*targetState, as eligibility, room bool) (best *targetState, at tier, any bool) {
	at = noTier
	load, n := 0.0, len(ts)
	for i := range ts {
		c := ts[(int((p.nameHash+p.rotation)%uint64(n))+i)%n]
		if p.eligibility(now, c, x) != as || c.warmingUp(now, x) && c.warmupInterval == 0 || c.slots == 0 {
			continue
		}
		any = true
		k := p.tier(now, c, x, s)
		if k == noTier || k > at || !room && !c.hasFreeSlot(now) {
			continue
		}
		if l := c.selectionCost(now); k < at || l < load {
			best, at, load = c, k, l
		}
	}
	return best, at, any
}

func (p *Proxy) countChoice(k tier) {
	switch k {
	case ownLocal, ownRemote:
		p.Counts.WithinQuota++
	case warmupTurn:
		p.Counts.ToWarmingUp++
	default:
		p.Counts.Borrowed++
	}
}

// priorityAllows says whether a request of its priority may go to a target now: while the
// service is under pressure and higher ones come, each leaves a part to those before
// it, unless a target offers more.
func (p *Proxy) priorityAllows(now time.Duration, x *request, s *serviceState) bool {
	r := priorityLevel(x.priority)
	if r == 0 || !s.underPressure(now) {
		return true
	}
	higher := 0
	for _, at := range s.lastArrivals[:r] {
		if at > 0 && now-at < tuning.PressureTTL {
			higher++
		}
	}
	if higher == 0 || float64(s.inFlight+1) <= s.window*(1-tuning.PriorityReserve*float64(higher)) {
		return true
	}
	p.Counts.LowPriority++
	return false
}

func (s *serviceState) underPressure(now time.Duration) bool {
	return s.pressureAt > 0 && now-s.pressureAt < tuning.PressureTTL
}

func (p *Proxy) tier(now time.Duration, t *targetState, x *request, s *serviceState) tier {
	switch {
	case t.fullUntil > now || t.inFlight >= t.slots:
		return noTier
	case t.State == wire.TargetWarming && t.inFlight >= t.quota:
		return noTier
	case t.warmingUp(now, x):
		if now < t.nextWarmupAt {
			return noTier
		}
		return warmupTurn
	case t.capped && t.inFlight >= t.quota:
		return noTier
	case t.avoidedUntil > now:
		return avoided
	case t.inFlight < t.quota && t.utilization(now) >= 1:
		return borrowed // others have borrowed it meanwhile
	case t.inFlight < t.quota && t.local:
		return ownLocal
	case t.inFlight < t.quota:
		return ownRemote
	}
	switch {
	case t.hasFreeSlot(now) && t.local:
		return offeredLocal
	case t.hasFreeSlot(now):
		return offeredRemote
	case float64(s.inFlight)+1 <= s.window && t.utilization(now) < 1:
		return borrowed
	}
	return noTier
}
