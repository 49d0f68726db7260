// This file shares out what holds for all proxies together. Where targets report how many requests they work on at
// once, those slots are distributed among the live proxies, each slot to one: without any communication no request
// waits at a target while every proxy keeps to its quota. Where they don't, a configured cap is divided evenly.

package dataplane

import (
	"cmp"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// reindex prepares what choices go by. It follows each change of the table, the targets or the state.
func (p *Proxy) reindex(now time.Duration) {
	p.liveProxies, p.memberProxies, p.reindexAt = nil, nil, 0
	for _, service := range p.services {
		service.targets, service.quotaTargets = nil, nil
	}
	if p.table == nil {
		return
	}
	liveDomains := p.indexProxies()
	targets := make([]*targetState, 0, len(p.targets))
	for _, target := range p.targets {
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b *targetState) int { return a.ID().Compare(b.ID()) })
	for len(targets) > 0 {
		name := targets[0].Service
		count := slices.IndexFunc(targets, func(t *targetState) bool { return t.Service != name })
		if count < 0 {
			count = len(targets)
		}
		service := p.service(name)
		service.targets, targets = targets[:count:count], targets[count:]
		p.prepareService(now, service, p.configuration.Services[name], liveDomains)
	}
	for name, service := range p.services {
		service.retryCredit.slack = p.retryBudgetSlack(name)
	}
}

// indexProxies lists the table's proxies, and returns the domains of the live ones.
func (p *Proxy) indexProxies() (liveDomains []string) {
	for _, proxy := range p.table.Proxies {
		p.memberProxies = append(p.memberProxies, proxy.Name)
		// Quotas are shared by the proxies that the leader hears, or by all if there is no leader to say which.
		if proxy.Live || proxy.Name == p.settings.Self.Name || p.state != Leased {
			p.liveProxies = append(p.liveProxies, proxy.Name)
			liveDomains = append(liveDomains, proxy.Domain)
		}
	}
	return liveDomains
}

// prepareService prepares a service's targets: which are warming up and what this proxy may send there, and
// which slots are its own.
func (p *Proxy) prepareService(now time.Duration, service *serviceState, serviceConfig config.Service, liveDomains []string) {
	service.reportsSlots, service.quotaTargets = false, nil
	total := 0
	pools, ejected := make([]slotPool, 0, len(service.targets)), []slotPool(nil)
	for _, target := range service.targets {
		service.reportsSlots = service.reportsSlots || target.Slots > 0
		p.prepareTarget(now, target, serviceConfig)
		switch {
		case target.warmupUntil > now || p.takesNoRequests(target):
		case target.EjectionLeft > 0:
			ejected = append(ejected, poolOf(target))
		case target.State == wire.TargetWarming:
			total += target.slots
		default:
			total += target.slots
			pools = append(pools, poolOf(target))
		}
	}
	if !service.reportsSlots {
		return
	}
	if total == 0 {
		pools = ejected // those of last resort have quotas too
		for _, pool := range pools {
			total += pool.slots
		}
	}
	p.assignQuotas(service, pools, liveDomains)
	service.evenQuota = float64(total) / float64(max(1, len(p.liveProxies)))
	service.window = min(max(service.window, service.minWindow()), service.maxWindow())
}

// prepareTarget sets the bounds that hold for a target: its slots, the interval of its warm-up and, in the state
// warming, this proxy's share of its cap.
func (p *Proxy) prepareTarget(now time.Duration, target *targetState, serviceConfig config.Service) {
	target.quota, target.slots, target.local = 0, int(target.Slots), target.Domain == p.settings.Self.Domain
	target.capped = target.slots == 0 || serviceConfig.Cap < target.slots
	if target.capped {
		target.slots = serviceConfig.Cap
	}
	p.limitWarmingShare(now, target, serviceConfig)
	p.setWarmupInterval(now, target, serviceConfig)
	takesRequests := !p.takesNoRequests(target) && target.EjectionLeft <= 0
	if target.State == wire.TargetWarming && (target.warmupUntil > now || takesRequests) {
		target.quota = p.capacity(now, target, serviceConfig)
	}
}

// reindexBy has the index made anew at a time, unless that happens earlier anyway.
func (p *Proxy) reindexBy(at time.Duration) {
	if p.reindexAt == 0 || at < p.reindexAt {
		p.reindexAt = at
	}
}

// assignQuotas distributes the slots of a service's targets and sets this proxy's quotas.
func (p *Proxy) assignQuotas(service *serviceState, pools []slotPool, liveDomains []string) {
	if self := slices.Index(p.liveProxies, p.settings.Self.Name); self >= 0 {
		for i, quotas := range distributeSlots(pools, p.liveProxies, liveDomains) {
			pools[i].target.quota = quotas[self]
		}
	}
	for _, target := range service.targets {
		if target.quota > 0 {
			service.quotaTargets = append(service.quotaTargets, target)
		}
	}
}

// slotPool is the slots of a target that are distributed.
type slotPool struct {
	hash   uint64
	domain string
	slots  int
	target *targetState
}

func poolOf(target *targetState) slotPool {
	return slotPool{hash: targetHash(target.ID()), domain: target.Domain, slots: target.slots, target: target}
}

// distributeSlots distributes the slots of all pools among the proxies, and returns by pool how many slots of it each
// proxy gets. In sum all proxies get the same, or one slot more. A pool's slots go to proxies of its own domain
// first, as far as those have not had their sum yet, then to any, one at a time by rendezvous hashing. So few
// slots move when a target or a proxy comes or goes, and each proxy has slots at many targets, among which
// there are fast ones.
func distributeSlots(pools []slotPool, proxies, domains []string) [][]int {
	quotas := make([][]int, len(pools))
	if len(proxies) == 0 {
		return quotas
	}
	total, free := 0, make([]int, len(pools))
	for i, pool := range pools {
		quotas[i] = make([]int, len(proxies))
		total += pool.slots
		free[i] = pool.slots
	}
	hashes := make([]uint64, len(proxies))
	for i, proxy := range proxies {
		hashes[i] = hashOf(proxy)
	}
	remaining := evenSums(total, proxies, hashes)
	order := poolOrder(pools)
	for _, sameDomain := range []bool{true, false} {
		for _, i := range order {
			pool := &pools[i]
			mayGet := func(proxy int) bool { return !sameDomain || domains[proxy] == pool.domain }
			for free[i] > 0 {
				recipient := nextRecipient(pool, quotas[i], remaining, hashes, mayGet)
				if recipient < 0 {
					break
				}
				quotas[i][recipient]++
				free[i]--
				remaining[recipient]--
			}
		}
	}
	return quotas
}

// evenSums divides a number of slots evenly among the proxies. The remainder goes to those with the lowest hashes.
func evenSums(total int, proxies []string, hashes []uint64) []int {
	sums, order := make([]int, len(proxies)), make([]int, len(proxies))
	for i := range proxies {
		sums[i], order[i] = total/len(proxies), i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(proxies[a], proxies[b]))
	})
	for _, i := range order[:total%len(proxies)] {
		sums[i]++
	}
	return sums
}

// poolOrder is the order in which the pools are distributed, by hash.
func poolOrder(pools []slotPool) []int {
	order := make([]int, len(pools))
	for i := range pools {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(pools[a].hash, pools[b].hash), cmp.Compare(a, b)) })
	return order
}

// nextRecipient is the proxy that gets the next slot of a pool: of those that may get one and have some of their sum
// remaining, one with the fewest slots of this pool, and among those the one with the highest hash; -1 if there is none.
func nextRecipient(pool *slotPool, quotas, remaining []int, hashes []uint64, mayGet func(proxy int) bool) int {
	best, highest := -1, uint64(0)
	for i := range quotas {
		if remaining[i] == 0 || !mayGet(i) || best >= 0 && quotas[i] > quotas[best] {
			continue
		}
		if hash := mixHashes(pool.hash, hashes[i]); best < 0 || quotas[i] < quotas[best] || hash > highest {
			best, highest = i, hash
		}
	}
	return best
}

// shareOf is this proxy's share of a number that holds for all proxies together: the shares of the live
// proxies add up to it, and the remainder goes to other proxies for other keys.
func (p *Proxy) shareOf(total int, key string) int {
	return evenShare(total, int(hash32(key)>>1), p.settings.Self.Name, p.liveProxies)
}

// evenShare is one name's share of a number that is divided evenly among names. The remainder goes to the names
// from an offset on; a name that is not among them gets nothing.
func evenShare(total, offset int, name string, names []string) int {
	index := slices.Index(names, name)
	if index < 0 {
		return 0
	}
	return shareAt(total, offset, index, len(names))
}

// shareAt is the share of the name at an index, of count names.
func shareAt(total, offset, index, count int) int {
	share := total / count
	if (index-offset%count+count)%count < total%count {
		share++
	}
	return share
}

// namesWithShare are the names whose even share is not 0.
func namesWithShare(total, offset int, names []string) (sharing []string) {
	for i, name := range names {
		if shareAt(total, offset, i, len(names)) > 0 {
			sharing = append(sharing, name)
		}
	}
	return sharing
}
