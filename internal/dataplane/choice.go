// This file is the choice of a target. Beyond the slots that are dealt to it a proxy borrows where little
// load is known, within a window that shrinks when a target says that it is full.

package dataplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// standing of a target before a request.
type standing int

const (
	out  standing = iota // never
	last                 // ejected, but it beats: if there is no other
	in
)

func (g *Proxy) standing(now time.Duration, t *target, x *request) standing {
	if t.held || t.Draining || t.Pending || t.State == config.Leaving ||
		slices.Contains(g.table.EmptiedDomains, t.Domain) || len(x.tried) > 0 && slices.Contains(x.tried, t.ID()) {
		return out
	}
	if t.ejectedUntil > now || t.ownEjection > now {
		if g.beats(now, t) && t.ownEjection <= now {
			return last
		}
		return out
	}
	return in
}

// choose finds a target that takes the request now; any says that one may later.
func (g *Proxy) choose(now time.Duration, x *request) (t *target, any bool) {
	s := g.service(x.svc)
	if s.slotted {
		return g.pick(now, x, s)
	}
	return g.spread(now, x, s)
}

// spread picks the less burdened of two admitted targets, met in a turn that
// goes round them all, or the least burdened of all if both are full. A target
// whose ejection was lifted starts at the back, so that its return moves nothing.
func (g *Proxy) spread(now time.Duration, x *request, s *service) (t *target, any bool) {
	open, barred := g.open[:0], g.barred[:0]
	defer func() { g.open, g.barred = open[:0], barred[:0] }()
	for _, t := range s.targets {
		if t.cold(now, x) && t.coldGap == 0 {
			continue
		}
		switch g.standing(now, t, x) {
		case in:
			open = append(open, t)
		case last:
			barred = append(barred, t)
		}
	}
	if len(open) == 0 {
		open, barred = barred, open
	}
	if len(open) == 0 {
		return nil, false
	}
	g.turn++
	n := uint64(len(open))
	a, b := open[g.turn%n], open[0]
	if n > 1 {
		b = open[(g.turn+1+g.turn/n%(n-1))%n] // never a itself
	}
	best := g.better(now, a, b, x)
	if best == nil || best.avoidUntil > now {
		best = nil
		for _, t := range open {
			best = g.better(now, best, t, x)
		}
	}
	return best, true
}

// beats says whether a target is known to beat: by the table while the leader
// keeps it fresh, else by what was heard here, straight or through a peer.
func (g *Proxy) beats(now time.Duration, t *target) bool {
	if g.state == Leased {
		return t.Heartbeating
	}
	return t.streak.IsSteady(now)
}

func (g *Proxy) better(now time.Duration, a, b *target, x *request) *target {
	sa, sb := g.burden(now, a, x), g.burden(now, b, x)
	switch {
	case sa < 0 && sb < 0:
		return nil
	case sa < 0 || sb >= 0 && sb < sa:
		return b
	}
	return a
}

// burden is under 0 for a target without room.
func (g *Proxy) burden(now time.Duration, t *target, x *request) float64 {
	if t == nil {
		return -1
	}
	room := g.room(now, t, x.set)
	if t.inflight >= room || t.fullTill > now || t.cold(now, x) && now < t.coldNext {
		return -1
	}
	b := float64(t.inflight)/float64(room) + t.Demand
	if t.backAt > 0 && now-t.backAt < tuning.ReconcileEvery {
		b++
	}
	if t.avoidUntil > now {
		b += 100
	}
	return b
}

// tier is what a choice goes by first.
type tier int

const (
	dealtNear   tier = iota // a slot of this proxy's own in its domain
	offeredNear             // one of its domain says that there is room
	dealtFar
	offered  // another says so
	coldRate // a cold target's next turn for this proxy
	borrowed
	shunned
	none
)

// pick goes by tier, then by load, speed and open connections; a turn that begins
// elsewhere at each proxy breaks ties, so that not all go to the same.
func (g *Proxy) pick(now time.Duration, x *request, s *service) (t *target, any bool) {
	room := g.ranked(now, x, s)
	g.turn++
	// Its own slots nearby come first: mostly there is no need to look further.
	if t, at, any := g.among(now, x, s, s.own, in, room); t != nil && at == dealtNear {
		g.tell(at)
		return t, any
	}
	for _, as := range []standing{in, last} {
		if t, at, any := g.among(now, x, s, s.targets, as, room); any {
			if t != nil {
				g.tell(at)
			}
			return t, true
		}
	}
	return nil, false
}

func (g *Proxy) among(now time.Duration, x *request, s *service, ts []*target, as standing, room bool) (best *target, at tier, any bool) {
	at = none
	load, n := 0.0, len(ts)
	for i := range ts {
		c := ts[(int((g.salt+g.turn)%uint64(n))+i)%n]
		if g.standing(now, c, x) != as || c.cold(now, x) && c.coldGap == 0 || c.slots == 0 {
			continue
		}
		any = true
		k := g.tier(now, c, x, s)
		if k == none || k > at || !room && !c.offers(now) {
			continue
		}
		if l := c.load(now); k < at || l < load {
			best, at, load = c, k, l
		}
	}
	return best, at, any
}

func (g *Proxy) tell(k tier) {
	switch k {
	case dealtNear, dealtFar:
		g.Counts.WithinQuota++
	case coldRate:
		g.Counts.ToWarmingUp++
	default:
		g.Counts.Borrowed++
	}
}

// ranked says whether a request of its priority may go to a target now: while the
// service is under pressure and higher ones come, each leaves a part to those before
// it, unless a target offers more.
func (g *Proxy) ranked(now time.Duration, x *request, s *service) bool {
	r := rankOf(x.priority)
	if r == 0 || !s.pressed(now) {
		return true
	}
	higher := 0
	for _, at := range s.ranks[:r] {
		if at > 0 && now-at < tuning.PressureTTL {
			higher++
		}
	}
	if higher == 0 || float64(s.inflight+1) <= s.window*(1-tuning.PriorityReserve*float64(higher)) {
		return true
	}
	g.Counts.LowPriority++
	return false
}

func (s *service) pressed(now time.Duration) bool {
	return s.pressAt > 0 && now-s.pressAt < tuning.PressureTTL
}

func (g *Proxy) tier(now time.Duration, t *target, x *request, s *service) tier {
	switch {
	case t.fullTill > now || t.inflight >= t.slots:
		return none
	case t.State == config.Warming && t.inflight >= t.part:
		return none
	case t.cold(now, x):
		if now < t.coldNext {
			return none
		}
		return coldRate
	case t.strict && t.inflight >= t.part:
		return none
	case t.avoidUntil > now:
		return shunned
	case t.inflight < t.part && t.used(now) >= 1:
		return borrowed // others have borrowed it meanwhile
	case t.inflight < t.part && t.near:
		return dealtNear
	case t.inflight < t.part:
		return dealtFar
	}
	switch {
	case t.offers(now) && t.near:
		return offeredNear
	case t.offers(now):
		return offered
	case float64(s.inflight)+1 <= s.window && t.used(now) < 1:
		return borrowed
	}
	return none
}
