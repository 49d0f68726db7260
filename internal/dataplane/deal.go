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

func hashOf(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return mixHashes(h.Sum64(), 0)
}

// mixHashes draws one number for two: what a proxy is worth to a target.
func mixHashes(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func targetHash(id wire.TargetID) uint64 {
	return mixHashes(mixHashes(hashOf(id.Service), hashOf(id.Name)), id.Incarnation)
}

// isAmongFirst says whether a name is among the n that a draw by key puts first.
func isAmongFirst(k uint64, name string, among []string, n int) bool {
	if !slices.Contains(among, name) {
		return false
	}
	own, before := mixHashes(k, hashOf(name)), 0
	for _, o := range among {
		if v := mixHashes(k, hashOf(o)); v < own || v == own && o < name {
			before++
		}
	}
	return before < n
}

// share is this proxy's part of a number that holds for all proxies together: the
// parts of the live proxies add up to it, and the remainder falls on other proxies
// for other keys.
func (p *Proxy) shareOf(total int, key string) int {
	h := fnv.New32a()
	h.Write([]byte(key))
	return evenShare(total, int(h.Sum32()>>1), p.settings.Self.Name, p.liveProxies)
}

// reindex prepares what choices go by, when table, targets or state have changed.
func (p *Proxy) reindex(now time.Duration) {
	p.liveProxies, p.memberProxies, p.reindexAt = nil, nil, 0
	for _, s := range p.services {
		s.targets, s.quotaTargets = nil, nil
	}
	if p.table == nil {
		return
	}
	var doms []string
	for _, r := range p.table.Proxies {
		p.memberProxies = append(p.memberProxies, r.Name)
		// The proxies that the leader hears share caps, or all of them if there is no leader to say.
		if r.Live || r.Name == p.settings.Self.Name || p.state != Leased {
			p.liveProxies = append(p.liveProxies, r.Name)
			doms = append(doms, r.Domain)
		}
	}
	ts := make([]*targetState, 0, len(p.targets))
	for _, t := range p.targets {
		ts = append(ts, t)
	}
	slices.SortFunc(ts, func(a, b *targetState) int { return a.ID().Compare(b.ID()) })
	for len(ts) > 0 {
		n := slices.IndexFunc(ts, func(t *targetState) bool { return t.Service != ts[0].Service })
		if n < 0 {
			n = len(ts)
		}
		s := p.service(ts[0].Service)
		s.targets, ts = ts[:n:n], ts[n:]
		p.prepareService(now, s, doms)
	}
	for n, s := range p.services {
		s.retryCredit.slack = p.settings.Retry.slackOf(hashOf(n), p.settings.Self.Name, p.memberProxies, p.table.PreviousProxies)
	}
}

// prepareService readies a service's targets: who is cold and what this proxy may send there,
// and which slots are its own.
func (p *Proxy) prepareService(now time.Duration, s *serviceState, doms []string) {
	s.reportsSlots, s.quotaTargets = false, nil
	total := 0
	set := p.configuration.Services[s.targets[0].Service]
	lots, barred := make([]slotPool, 0, len(s.targets)), []slotPool(nil)
	for _, t := range s.targets {
		s.reportsSlots = s.reportsSlots || t.Slots > 0
		p.prepareTarget(now, t, set)
		switch {
		case t.warmupUntil > now:
		case t.Draining || t.Pending || t.State == wire.TargetLeaving || slices.Contains(p.table.EmptiedDomains, t.Domain):
		case t.EjectionLeft > 0:
			barred = append(barred, slotPool{targetHash(t.ID()), t.Domain, t.slots, t})
		case t.State == wire.TargetWarming:
			total += t.slots
		default:
			total += t.slots
			lots = append(lots, slotPool{targetHash(t.ID()), t.Domain, t.slots, t})
		}
	}
	if !s.reportsSlots {
		return
	}
	if total == 0 {
		lots = barred // the last resort is dealt as well
		for _, l := range lots {
			total += l.slots
		}
	}
	p.assignQuotas(s, lots, doms)
	s.evenQuota = float64(total) / float64(max(1, len(p.liveProxies)))
	s.window = min(max(s.window, s.minWindow()), s.maxWindow())
}

// prepareTarget readies one target: the bounds that hold for it, its cold rate and, while it is warming, the
// part of its cap that this proxy has.
func (p *Proxy) prepareTarget(now time.Duration, t *targetState, set config.Service) {
	t.quota, t.slots, t.local = 0, int(t.Slots), t.Domain == p.settings.Self.Domain
	if t.capped = t.slots == 0 || set.Cap < t.slots; t.capped {
		t.slots = set.Cap
	}
	p.limitWarmingShare(now, t, set)
	gap := p.warmupIntervalOf(t, set)
	if gap > 0 && t.warmupInterval == 0 {
		t.nextWarmupAt = now + gap // another life of this proxy may just have sent one
	}
	t.warmupInterval = gap
	if t.warmupUntil > now && (p.reindexAt == 0 || t.warmupUntil < p.reindexAt) {
		p.reindexAt = t.warmupUntil
	}
	isOut := t.Draining || t.Pending || t.State == wire.TargetLeaving || slices.Contains(p.table.EmptiedDomains, t.Domain) || t.EjectionLeft > 0
	if t.State == wire.TargetWarming && (t.warmupUntil > now || !isOut) {
		t.quota = p.capacity(now, t, set)
	}
}

// assignQuotas deals the slots of a service's targets and notes those that are this proxy's own.
func (p *Proxy) assignQuotas(s *serviceState, lots []slotPool, doms []string) {
	for i, parts := range distributeSlots(lots, p.liveProxies, doms) {
		if at := slices.Index(p.liveProxies, p.settings.Self.Name); at >= 0 {
			lots[i].target.quota = parts[at]
		}
	}
	for _, t := range s.targets {
		if t.quota > 0 {
			s.quotaTargets = append(s.quotaTargets, t)
		}
	}
}

func (s *serviceState) minWindow() float64 {
	return tuning.QuotaOvercommit*s.evenQuota + tuning.QuotaExtra
}
func (s *serviceState) maxWindow() float64 {
	return tuning.QuotaOvercommitMax*s.evenQuota + tuning.QuotaExtra
}

// slotPool is a target whose slots are dealt.
type slotPool struct {
	hash   uint64
	domain string
	slots  int
	target *targetState
}

// distributeSlots deals every slot of all lots to one of the names, evenly in sum: a
// target's go, as long as their quota lasts, one by one to the names of its own domain
// in the order that a draw by target and name gives, what is left to any. So few parts
// move when a target or a name comes or goes, and each name has slots at many targets,
// among which there are fast ones.
func distributeSlots(lots []slotPool, names, doms []string) [][]int {
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
		quota[i], salts[i], order[i] = total/len(names), hashOf(n), i
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
	slices.SortFunc(turns, func(a, b int) int { return cmp.Or(cmp.Compare(lots[a].hash, lots[b].hash), cmp.Compare(a, b)) })
	for _, own := range []bool{true, false} {
		for _, i := range turns {
			for left[i] > 0 {
				best := nextRecipient(&lots[i], parts[i], quota, salts, func(j int) bool { return !own || doms[j] == lots[i].domain })
				if best < 0 {
					break
				}
				parts[i][best], left[i], quota[best] = parts[i][best]+1, left[i]-1, quota[best]-1
			}
		}
	}
	return parts
}

// nextRecipient is who gets the next slot of a lot: of those with quota left that may have it, one with the
// fewest of its slots, the one that the draw puts first; -1 if nobody may.
func nextRecipient(l *slotPool, parts, quota []int, salts []uint64, may func(int) bool) int {
	best, most := -1, uint64(0)
	for j := range parts {
		if quota[j] == 0 || !may(j) || best >= 0 && parts[j] > parts[best] {
			continue
		}
		if v := mixHashes(l.hash, salts[j]); best < 0 || parts[j] < parts[best] || v > most {
			best, most = j, v
		}
	}
	return best
}

// evenShare is one name's part of a number dealt among names: all get the same, and the
// remainder goes to those that follow a place.
func evenShare(total, place int, name string, among []string) int {
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
func namesWithShare(total, place int, among []string) (hs []string) {
	for i, n := range among {
		if m := len(among); total >= m || (i-place%m+m)%m < total {
			hs = append(hs, n)
		}
	}
	return hs
}

// capacity is how many requests this proxy may have at a target that tells no slots.
// Each target deals its remainder on from where its service's one before it ended, so
// that every proxy reaches some of them. A warming one must never get more than its
// cap, whatever tables the proxies stand on: its cap is dealt among the whole roster,
// and while a change of that is not in force everywhere, a proxy has the smaller of
// both parts.
func (p *Proxy) capacity(now time.Duration, t *targetState, set config.Service) int {
	part := func(c int, among []string) int {
		return evenShare(c, t.remainderOffset(c, among), p.settings.Self.Name, among)
	}
	if t.State == wire.TargetWarming {
		n := part(set.WarmCap, p.memberProxies)
		if len(p.table.PreviousProxies) > 0 {
			n = min(n, part(set.WarmCap, p.table.PreviousProxies))
		}
		if t.warmingShareRisesAt > now {
			n = min(n, t.warmingShare)
		}
		return n
	}
	c := set.Cap
	if since := now - t.readyAt; t.readyAt > 0 && since < tuning.SlowStart && set.WarmCap < c {
		c = set.WarmCap + int(float64(c-set.WarmCap)*float64(since)/float64(tuning.SlowStart))
	}
	return part(c, p.liveProxies)
}

// remainderOffset is from where on among names the remainder of a target's cap is dealt.
func (t *targetState) remainderOffset(c int, among []string) int {
	h := fnv.New32a()
	h.Write([]byte(t.Service))
	return int(h.Sum32()>>8) + int(t.ShareOffset)*(c%max(1, len(among)))
}

// limitWarmingShare keeps this proxy's part of a warming target's cap from growing before all that
// others sent there under the parts of an earlier roster must be over: the parts of one
// table add up to the cap, those of two tables that follow one another need not.
func (p *Proxy) limitWarmingShare(now time.Duration, t *targetState, set config.Service) {
	if t.State != wire.TargetWarming {
		t.warmingShare, t.nextWarmingShare, t.warmingShareRisesAt = 0, 0, 0
		return
	}
	at := t.warmingShareRisesAt
	t.warmingShareRisesAt = 0
	n := p.capacity(now, t, set)
	switch {
	case t.newToFleet, n <= t.warmingShare, n == t.nextWarmingShare && now >= at:
		t.newToFleet, t.warmingShare, t.nextWarmingShare = false, n, n
		return
	case n == t.nextWarmingShare:
		t.warmingShareRisesAt = at
	default:
		t.nextWarmingShare, t.warmingShareRisesAt = n, now+p.maxRequestTime(t.Service)+tuning.ChoiceTTL
	}
	if p.reindexAt == 0 || t.warmingShareRisesAt < p.reindexAt {
		p.reindexAt = t.warmingShareRisesAt
	}
}

// maxRequestTime is how long a request of a service may take.
func (p *Proxy) maxRequestTime(svc string) time.Duration {
	d := time.Duration(p.configuration.Services[svc].TimeoutMs) * time.Millisecond
	for _, r := range p.configuration.Routes {
		if r.Service == svc || slices.ContainsFunc(r.Split, func(s config.Share) bool { return s.Service == svc }) {
			d = max(d, r.Timeout())
		}
	}
	return d
}
