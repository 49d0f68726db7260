// This file deals what holds for all proxies together among them. Where targets tell how many requests they
// work on at once, those slots are dealt among the live proxies, each slot to one, so that with no
// talk at all nobody queues while every proxy keeps to its own. Where they do not, a configured cap is
// shared out. Draws are made so that few parts move when a proxy or a target comes or goes.

package dataplane

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return mix(h.Sum64(), 0)
}

// mix draws one number for two: what a proxy is worth to a target.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func key(id wire.TargetID) uint64 {
	return mix(mix(hash(id.Service), hash(id.Name)), id.Incarnation)
}

// drawn says whether a name is among the n that a draw by key puts first.
func drawn(k uint64, name string, among []string, n int) bool {
	if !slices.Contains(among, name) {
		return false
	}
	own, before := mix(k, hash(name)), 0
	for _, o := range among {
		if v := mix(k, hash(o)); v < own || v == own && o < name {
			before++
		}
	}
	return before < n
}

// share is this proxy's part of a number that holds for all proxies together: the
// parts of the live proxies add up to it, and the remainder falls on other proxies
// for other keys.
func (g *Proxy) share(total int, key string) int {
	h := fnv.New32a()
	h.Write([]byte(key))
	return deal(total, int(h.Sum32()>>1), g.settings.Self.Name, g.alive)
}

// index prepares what choices go by, when table, targets or state have changed.
func (g *Proxy) index(now time.Duration) {
	g.alive, g.listed, g.coldEnd = nil, nil, 0
	for _, s := range g.services {
		s.targets, s.own = nil, nil
	}
	if g.table == nil {
		return
	}
	var doms []string
	for _, r := range g.table.Proxies {
		g.listed = append(g.listed, r.Name)
		// The proxies that the leader hears share caps, or all of them if there is no leader to say.
		if r.Live || r.Name == g.settings.Self.Name || g.state != Leased {
			g.alive = append(g.alive, r.Name)
			doms = append(doms, r.Domain)
		}
	}
	ts := make([]*target, 0, len(g.targets))
	for _, t := range g.targets {
		ts = append(ts, t)
	}
	slices.SortFunc(ts, func(a, b *target) int { return a.ID().Compare(b.ID()) })
	for len(ts) > 0 {
		n := slices.IndexFunc(ts, func(t *target) bool { return t.Service != ts[0].Service })
		if n < 0 {
			n = len(ts)
		}
		s := g.service(ts[0].Service)
		s.targets, ts = ts[:n:n], ts[n:]
		g.prepare(now, s, doms)
	}
	for n, s := range g.services {
		s.budget.part = g.settings.Retry.slack(hash(n), g.settings.Self.Name, g.listed, g.table.PreviousProxies)
	}
}

// prepare readies a service's targets: who is cold and what this proxy may send there,
// and which slots are its own.
func (g *Proxy) prepare(now time.Duration, s *service, doms []string) {
	s.slotted, s.own = false, nil
	total := 0
	set := g.cfg.Services[s.targets[0].Service]
	lots, barred := make([]lot, 0, len(s.targets)), []lot(nil)
	for _, t := range s.targets {
		s.slotted = s.slotted || t.Slots > 0
		g.prepareTarget(now, t, set)
		switch {
		case t.coldUntil > now:
		case t.Draining || t.Pending || t.State == config.Leaving || slices.Contains(g.table.EmptiedDomains, t.Domain):
		case t.EjectionLeft > 0:
			barred = append(barred, lot{key(t.ID()), t.Domain, t.slots, t})
		case t.State == config.Warming:
			total += t.slots
		default:
			total += t.slots
			lots = append(lots, lot{key(t.ID()), t.Domain, t.slots, t})
		}
	}
	if !s.slotted {
		return
	}
	if total == 0 {
		lots = barred // the last resort is dealt as well
		for _, l := range lots {
			total += l.slots
		}
	}
	g.dealOwn(s, lots, doms)
	s.even = float64(total) / float64(max(1, len(g.alive)))
	s.window = min(max(s.window, s.least()), s.most())
}

// prepareTarget readies one target: the bounds that hold for it, its cold rate and, while it is warming, the
// part of its cap that this proxy has.
func (g *Proxy) prepareTarget(now time.Duration, t *target, set config.Service) {
	t.part, t.slots, t.near = 0, int(t.Slots), t.Domain == g.settings.Self.Domain
	if t.strict = t.slots == 0 || set.Cap < t.slots; t.strict {
		t.slots = set.Cap
	}
	g.rise(now, t, set)
	gap := g.coldGapOf(t, set)
	if gap > 0 && t.coldGap == 0 {
		t.coldNext = now + gap // another life of this proxy may just have sent one
	}
	t.coldGap = gap
	if t.coldUntil > now && (g.coldEnd == 0 || t.coldUntil < g.coldEnd) {
		g.coldEnd = t.coldUntil
	}
	isOut := t.Draining || t.Pending || t.State == config.Leaving || slices.Contains(g.table.EmptiedDomains, t.Domain) || t.EjectionLeft > 0
	if t.State == config.Warming && (t.coldUntil > now || !isOut) {
		t.part = g.room(now, t, set)
	}
}

// dealOwn deals the slots of a service's targets and notes those that are this proxy's own.
func (g *Proxy) dealOwn(s *service, lots []lot, doms []string) {
	for i, parts := range dealSlots(lots, g.alive, doms) {
		if at := slices.Index(g.alive, g.settings.Self.Name); at >= 0 {
			lots[i].t.part = parts[at]
		}
	}
	for _, t := range s.targets {
		if t.part > 0 {
			s.own = append(s.own, t)
		}
	}
}

func (s *service) least() float64 { return tuning.QuotaOvercommit*s.even + tuning.QuotaExtra }
func (s *service) most() float64  { return tuning.QuotaOvercommitMax*s.even + tuning.QuotaExtra }

// lot is a target whose slots are dealt.
type lot struct {
	key    uint64
	domain string
	slots  int
	t      *target
}

// dealSlots deals every slot of all lots to one of the names, evenly in sum: a
// target's go, as long as their quota lasts, one by one to the names of its own domain
// in the order that a draw by target and name gives, what is left to any. So few parts
// move when a target or a name comes or goes, and each name has slots at many targets,
// among which there are fast ones.
func dealSlots(lots []lot, names, doms []string) [][]int {
	parts := make([][]int, len(lots))
	if len(names) == 0 {
		return parts
	}
	total := 0
	for i, l := range lots {
		parts[i] = make([]int, len(names))
		total += l.slots
	}
	quota, salts, order := make([]int, len(names)), make([]uint64, len(names)), make([]int, len(names))
	for i, n := range names {
		quota[i], salts[i], order[i] = total/len(names), hash(n), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(salts[a], salts[b]), cmp.Compare(names[a], names[b])) })
	for _, i := range order[:total%len(names)] {
		quota[i]++
	}
	left := make([]int, len(lots))
	turns := make([]int, len(lots))
	for i, l := range lots {
		left[i], turns[i] = l.slots, i
	}
	slices.SortFunc(turns, func(a, b int) int { return cmp.Or(cmp.Compare(lots[a].key, lots[b].key), cmp.Compare(a, b)) })
	for _, own := range []bool{true, false} {
		for _, i := range turns {
			for left[i] > 0 {
				best := nextHolder(&lots[i], parts[i], quota, salts, func(j int) bool { return !own || doms[j] == lots[i].domain })
				if best < 0 {
					break
				}
				parts[i][best], left[i], quota[best] = parts[i][best]+1, left[i]-1, quota[best]-1
			}
		}
	}
	return parts
}

// nextHolder is who gets the next slot of a lot: of those with quota left that may have it, one with the
// fewest of its slots, the one that the draw puts first; -1 if nobody may.
func nextHolder(l *lot, parts, quota []int, salts []uint64, may func(int) bool) int {
	best, most := -1, uint64(0)
	for j := range parts {
		if quota[j] == 0 || !may(j) || best >= 0 && parts[j] > parts[best] {
			continue
		}
		if v := mix(l.key, salts[j]); best < 0 || parts[j] < parts[best] || v > most {
			best, most = j, v
		}
	}
	return best
}

// deal is one name's part of a number dealt among names: all get the same, and the
// remainder goes to those that follow a place.
func deal(total, place int, name string, among []string) int {
	n, at := len(among), slices.Index(among, name)
	if at < 0 {
		return 0
	}
	part := total / n
	if (at-place%n+n)%n < total%n {
		part++
	}
	return part
}

// holders are those names that have a part when a number is dealt among all of them.
func holders(total, place int, among []string) (hs []string) {
	for i, n := range among {
		if m := len(among); total >= m || (i-place%m+m)%m < total {
			hs = append(hs, n)
		}
	}
	return hs
}

// room is how many requests this proxy may have at a target that tells no slots.
// Each target deals its remainder on from where its service's one before it ended, so
// that every proxy reaches some of them. A warming one must never get more than its
// cap, whatever tables the proxies stand on: its cap is dealt among the whole roster,
// and while a change of that is not in force everywhere, a proxy has the smaller of
// both parts.
func (g *Proxy) room(now time.Duration, t *target, set config.Service) int {
	part := func(c int, among []string) int {
		return deal(c, t.place(c, among), g.settings.Self.Name, among)
	}
	if t.State == config.Warming {
		n := part(set.WarmCap, g.listed)
		if len(g.table.PreviousProxies) > 0 {
			n = min(n, part(set.WarmCap, g.table.PreviousProxies))
		}
		if t.riseAt > now {
			n = min(n, t.warmPart)
		}
		return n
	}
	c := set.Cap
	if since := now - t.warmAt; t.warmAt > 0 && since < tuning.SlowStart && set.WarmCap < c {
		c = set.WarmCap + int(float64(c-set.WarmCap)*float64(since)/float64(tuning.SlowStart))
	}
	return part(c, g.alive)
}

// place is from where on among names the remainder of a target's cap is dealt.
func (t *target) place(c int, among []string) int {
	h := fnv.New32a()
	h.Write([]byte(t.Service))
	return int(h.Sum32()>>8) + int(t.ShareOffset)*(c%max(1, len(among)))
}

// rise keeps this proxy's part of a warming target's cap from growing before all that
// others sent there under the parts of an earlier roster must be over: the parts of one
// table add up to the cap, those of two tables that follow one another need not.
func (g *Proxy) rise(now time.Duration, t *target, set config.Service) {
	if t.State != config.Warming {
		t.warmPart, t.warmNext, t.riseAt = 0, 0, 0
		return
	}
	at := t.riseAt
	t.riseAt = 0
	n := g.room(now, t, set)
	switch {
	case t.anew, n <= t.warmPart, n == t.warmNext && now >= at:
		t.anew, t.warmPart, t.warmNext = false, n, n
		return
	case n == t.warmNext:
		t.riseAt = at
	default:
		t.warmNext, t.riseAt = n, now+g.longest(t.Service)+tuning.ChoiceTTL
	}
	if g.coldEnd == 0 || t.riseAt < g.coldEnd {
		g.coldEnd = t.riseAt
	}
}

// longest is how long a request of a service may take.
func (g *Proxy) longest(svc string) time.Duration {
	d := time.Duration(g.cfg.Services[svc].TimeoutMs) * time.Millisecond
	for _, r := range g.cfg.Routes {
		if r.Service == svc || slices.ContainsFunc(r.Split, func(s config.Share) bool { return s.Service == svc }) {
			d = max(d, r.Timeout())
		}
	}
	return d
}
