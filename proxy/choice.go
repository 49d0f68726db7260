// This file is the choice of a target. Where targets tell how many requests they
// work on at once, those slots are dealt among the live proxies, each slot to one, so
// that with no talk at all nobody queues while every proxy keeps to its own; beyond
// them a proxy borrows where little load is known, within a window that shrinks when
// a target says that it is full. Where they do not, a configured cap is shared out.
// A cold target's rate is dealt as well, over the whole roster.

package proxy

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/wire"
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

func key(id wire.ID) uint64 {
	return mix(mix(hash(id.Service), hash(id.Name)), id.Inc)
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
	for _, r := range g.table.Gates {
		g.listed = append(g.listed, r.Name)
		// The proxies that the leader hears share caps, or all of them if there is no leader to say.
		if r.Live || r.Name == g.settings.Self.Name || g.state != Granted {
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
		s.budget.part = g.settings.Retry.slack(hash(n), g.settings.Self.Name, g.listed, g.table.Was)
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
		if t.coldUntil > now {
			if g.coldEnd == 0 || t.coldUntil < g.coldEnd {
				g.coldEnd = t.coldUntil
			}
			if t.State == model.Warming {
				t.part = g.room(now, t, set)
			}
			continue
		}
		if t.Held || t.Pending || t.State == model.Leaving || slices.Contains(g.table.Emptied, t.Domain) {
			continue
		}
		if t.BarLeft > 0 {
			barred = append(barred, lot{key(t.ID()), t.Domain, t.slots, t})
			continue
		}
		total += t.slots
		if t.State == model.Warming {
			t.part = g.room(now, t, set)
			continue
		}
		lots = append(lots, lot{key(t.ID()), t.Domain, t.slots, t})
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
	s.even = float64(total) / float64(max(1, len(g.alive)))
	s.window = min(max(s.window, s.least()), s.most())
}

func (s *service) least() float64 { return limit.BorrowParts*s.even + limit.BorrowMore }
func (s *service) most() float64  { return limit.BorrowMost*s.even + limit.BorrowMore }

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
				best, most := -1, uint64(0)
				for j := range names {
					if quota[j] == 0 || own && doms[j] != lots[i].domain || best >= 0 && parts[i][j] > parts[i][best] {
						continue
					}
					if v := mix(lots[i].key, salts[j]); best < 0 || parts[i][j] < parts[i][best] || v > most {
						best, most = j, v
					}
				}
				if best < 0 {
					break
				}
				parts[i][best], left[i], quota[best] = parts[i][best]+1, left[i]-1, quota[best]-1
			}
		}
	}
	return parts
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
func (g *Proxy) room(now time.Duration, t *target, set model.Service) int {
	part := func(c int, among []string) int {
		return deal(c, t.place(c, among), g.settings.Self.Name, among)
	}
	if t.State == model.Warming {
		n := part(set.WarmCap, g.listed)
		if len(g.table.Was) > 0 {
			n = min(n, part(set.WarmCap, g.table.Was))
		}
		if t.riseAt > now {
			n = min(n, t.warmPart)
		}
		return n
	}
	c := set.Cap
	if since := now - t.warmAt; t.warmAt > 0 && since < limit.RampUp && set.WarmCap < c {
		c = set.WarmCap + int(float64(c-set.WarmCap)*float64(since)/float64(limit.RampUp))
	}
	return part(c, g.alive)
}

// place is from where on among names the remainder of a target's cap is dealt.
func (t *target) place(c int, among []string) int {
	h := fnv.New32a()
	h.Write([]byte(t.Service))
	return int(h.Sum32()>>8) + int(t.Turn)*(c%max(1, len(among)))
}

// rise keeps this proxy's part of a warming target's cap from growing before all that
// others sent there under the parts of an earlier roster must be over: the parts of one
// table add up to the cap, those of two tables that follow one another need not.
func (g *Proxy) rise(now time.Duration, t *target, set model.Service) {
	if t.State != model.Warming {
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
		t.warmNext, t.riseAt = n, now+g.longest(t.Service)+limit.ChoiceLife
	}
	if g.coldEnd == 0 || t.riseAt < g.coldEnd {
		g.coldEnd = t.riseAt
	}
}

// longest is how long a request of a service may take.
func (g *Proxy) longest(svc string) time.Duration {
	d := time.Duration(g.cfg.Services[svc].TimeoutMs) * time.Millisecond
	for _, r := range g.cfg.Routes {
		if r.Service == svc || slices.ContainsFunc(r.Split, func(s model.Share) bool { return s.Service == svc }) {
			d = max(d, r.Timeout())
		}
	}
	return d
}

// ---- cold targets ----

// coldOf is how long a target of a service is cold from its start.
func (g *Proxy) coldOf(svc string) time.Duration {
	s := g.cfg.Services[svc]
	if s.ColdPerS <= 0 {
		return 0
	}
	return s.Cold()
}

// chill takes in how much longer a target is cold; of two words the later end holds.
func (t *target) chill(now time.Duration, left int64) {
	if left > 0 {
		t.coldUntil = max(t.coldUntil, now+time.Duration(left))
	}
}

// coldGapOf is how far apart this proxy's requests at a cold target are, 0: it sends
// none. The rate is dealt among some proxies of the roster, so few that one request of
// each beyond the rate stays within half of it; while a change of the roster is under
// way, only those that both rosters draw have a part, and the smaller one. Of a target
// that is still warming too only those are drawn that have a part of its warming cap.
func (g *Proxy) coldGapOf(t *target, set model.Service) time.Duration {
	perS := set.ColdPerS
	if perS <= 0 {
		return 0
	}
	var gap time.Duration
	k := key(t.ID())
	for _, names := range [][]string{g.listed, g.table.Was} {
		if len(names) == 0 {
			continue
		}
		if t.State == model.Warming {
			names = holders(set.WarmCap, t.place(set.WarmCap, names), names)
		}
		n := min(max(1, int(perS/2)), len(names))
		if !drawn(k, g.settings.Self.Name, names, n) {
			return 0
		}
		gap = max(gap, time.Duration(float64(n)/perS*float64(time.Second)))
	}
	return gap
}

// ---- the choice ----

// standing of a target before a request.
type standing int

const (
	out  standing = iota // never
	last                 // ejected, but it beats: if there is no other
	in
)

func (g *Proxy) standing(now time.Duration, t *target, x *request) standing {
	if t.held || t.Held || t.Pending || t.State == model.Leaving ||
		slices.Contains(g.table.Emptied, t.Domain) || len(x.tried) > 0 && slices.Contains(x.tried, t.ID()) {
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

// cold says that a target bears only its service's cold rate now.
func (t *target) cold(now time.Duration, x *request) bool {
	return t.coldUntil > now && x.set.ColdPerS > 0
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
	if g.state == Granted {
		return t.Beating
	}
	return t.streak.Speaks(now)
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
	if t.backAt > 0 && now-t.backAt < limit.ReconcileEvery {
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
		g.Counts.Dealt++
	case coldRate:
		g.Counts.ToCold++
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
		if at > 0 && now-at < limit.PressLife {
			higher++
		}
	}
	if higher == 0 || float64(s.inflight+1) <= s.window*(1-limit.RankRoom*float64(higher)) {
		return true
	}
	g.Counts.LowRank++
	return false
}

func (s *service) pressed(now time.Duration) bool {
	return s.pressAt > 0 && now-s.pressAt < limit.PressLife
}

func (g *Proxy) tier(now time.Duration, t *target, x *request, s *service) tier {
	switch {
	case t.fullTill > now || t.inflight >= t.slots:
		return none
	case t.State == model.Warming && t.inflight >= t.part:
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

// offers says that a target told lately of a free slot.
func (t *target) offers(now time.Duration) bool {
	return t.loadAt > 0 && now-t.loadAt < limit.LoadLife && t.used(now)+1/float64(t.slots) <= 1
}

// used is what part of a target's slots is taken, as far as is known here.
func (t *target) used(now time.Duration) float64 {
	n := float64(t.inflight)
	if age := now - t.loadAt; t.loadAt > 0 && age < limit.LoadLife {
		n += t.others * (1 - float64(age)/float64(limit.LoadLife))
	}
	return n / float64(max(1, t.slots))
}

// slowness is how a target's times compare with others', forgotten with time so that
// it is tried again.
func (t *target) slowness(now time.Duration) float64 {
	if age := now - t.paceAt; t.paceAt > 0 && age < limit.PaceLife {
		return (t.pace - 1) * (1 - float64(age)/float64(limit.PaceLife))
	}
	return 0
}

func (t *target) load(now time.Duration) float64 {
	l := t.used(now) + t.Demand + min(limit.PaceUrge*t.slowness(now), limit.PaceMost)
	if t.usedAt > 0 && now-t.usedAt < limit.ConnIdle {
		l -= limit.ConnUrge
	}
	if t.backAt > 0 && now-t.backAt < limit.ReconcileEvery {
		l++
	}
	return l
}

// learn takes in what an answer tells of its target.
func (g *Proxy) learn(now time.Duration, t *target, x *request, s *service, e Done) {
	if e.Load != nil {
		t.others, t.loadAt = max(0, float64(e.Load.Running+e.Load.Waiting-t.inflight)), now
	}
	switch e.Outcome {
	case NotRun:
		t.fullTill = now + limit.FullPause
		s.window = max(s.least(), s.window*limit.WindowCut)
		s.pressAt = now
		g.Counts.Full++
	case Served:
		if float64(s.inflight)+1 >= s.window {
			s.window = min(s.most(), s.window+1/max(1, s.window))
		}
		if x.way == nil || e.Ms <= 0 {
			return
		}
		usual := x.way.see(e.Ms)
		if s.mean == 0 {
			s.mean = e.Ms
		}
		s.mean += limit.MeanWeight * (e.Ms - s.mean)
		t.pace = 1 + t.slowness(now)
		if t.pace == 1 {
			t.paces = 0
		}
		t.paces++
		t.pace += max(limit.PaceWeight, 1/float64(t.paces+1)) * (e.Ms/usual - t.pace)
		t.paceAt = now
	}
}
