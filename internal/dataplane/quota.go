// Division of limits that hold for all proxies together. Targets may report their slots: how many requests they
// process concurrently. Each slot is then assigned to one live proxy, and the slots of a target that are assigned
// to a proxy are its quota there. As long as every proxy keeps to its quotas, no request waits at a target,
// without any communication among proxies. If targets don't report slots, a configured cap is divided evenly.

package dataplane

import (
	"cmp"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// reindex rebuilds the data that target selection depends on: live proxies, the targets of each service, quotas
// and warm-up intervals. It must be called after each change of the table, the targets or the state.
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

// indexProxies lists the proxies of the table and returns the domains of the live ones.
func (p *Proxy) indexProxies() (liveDomains []string) {
	for _, proxy := range p.table.Proxies {
		p.memberProxies = append(p.memberProxies, proxy.Name)
		// Quotas are divided among the proxies that the leader reports as live, or among all proxies if there is
		// no lease: the report may then be out of date.
		if proxy.Live || proxy.Name == p.settings.Self.Name || p.state != Leased {
			p.liveProxies = append(p.liveProxies, proxy.Name)
			liveDomains = append(liveDomains, proxy.Domain)
		}
	}
	return liveDomains
}

// prepareService computes a service's quotas, the limits of its targets and its window.
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
			ejected = append(ejected, newSlotPool(target))
		case target.State == wire.TargetWarming:
			total += target.slots
		default:
			total += target.slots
			pools = append(pools, newSlotPool(target))
		}
	}
	if !service.reportsSlots {
		return
	}
	if total == 0 {
		pools = ejected // targets of last resort have quotas too
		for _, pool := range pools {
			total += pool.slots
		}
	}
	p.assignQuotas(service, pools, liveDomains)
	service.evenQuota = float64(total) / float64(max(1, len(p.liveProxies)))
	service.window = min(max(service.window, service.minWindow()), service.maxWindow())
}

// prepareTarget sets the limits of a target: its slots, its warm-up interval and, in the state warming, this
// proxy's share of its cap.
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

// scheduleReindex makes sure that reindex is called at the given time at the latest.
func (p *Proxy) scheduleReindex(at time.Duration) {
	if p.reindexAt == 0 || at < p.reindexAt {
		p.reindexAt = at
	}
}

// assignQuotas distributes the slots of a service's targets among the live proxies and stores this proxy's
// quotas.
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

// slotPool describes the slots of one target that are to be distributed.
type slotPool struct {
	hash   uint64 // targetHash of the target
	domain string
	slots  int
	target *targetState
}

func newSlotPool(target *targetState) slotPool {
	return slotPool{hash: targetHash(target.ID()), domain: target.Domain, slots: target.slots, target: target}
}

// distributeSlots distributes the slots of all pools among the proxies. The result has, for each pool, the
// number of its slots that each proxy gets. The totals of any two proxies differ by at most one slot. Slots of a
// pool go first to proxies of its own domain, up to their totals, then to any proxy. They are assigned one at a
// time by rendezvous hashing, so few slots move when a target or a proxy is added or removed, and each proxy
// has slots at many targets, some of which are fast.
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
		hashes[i] = hashString(proxy)
	}
	remaining := evenTotals(total, proxies, hashes)
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

// evenTotals returns how many of total slots each proxy gets if they are divided evenly. Those with the lowest
// hashes get the remainder.
func evenTotals(total int, proxies []string, hashes []uint64) []int {
	totals, order := make([]int, len(proxies)), make([]int, len(proxies))
	for i := range proxies {
		totals[i], order[i] = total/len(proxies), i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(proxies[a], proxies[b]))
	})
	for _, i := range order[:total%len(proxies)] {
		totals[i]++
	}
	return totals
}

// poolOrder returns the indexes of the pools in the order in which they are distributed, which is by hash.
func poolOrder(pools []slotPool) []int {
	order := make([]int, len(pools))
	for i := range pools {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(pools[a].hash, pools[b].hash), cmp.Compare(a, b)) })
	return order
}

// nextRecipient returns the index of the proxy that gets the next slot of a pool, or -1 if there is none. Of
// the proxies that may get a slot and have part of their total remaining, it is the one with the fewest slots
// of this pool, and among equals the one whose hash together with the pool's is highest.
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

// shareOf returns this proxy's share of a limit for all proxies together. The shares of all live proxies add up
// to the limit. Which proxies get the remainder depends on the key.
func (p *Proxy) shareOf(total int, key string) int {
	return evenShare(total, int(hash32(key)>>1), p.settings.Self.Name, p.liveProxies)
}

// evenShare returns the share of name when total is divided evenly among names. The remainder goes to the names
// from index offset on. A name that is not in the list gets 0.
func evenShare(total, offset int, name string, names []string) int {
	index := slices.Index(names, name)
	if index < 0 {
		return 0
	}
	return shareAt(total, offset, index, len(names))
}

// shareAt returns the share of the name at an index when total is divided evenly among count names.
func shareAt(total, offset, index, count int) int {
	share := total / count
	if (index-offset%count+count)%count < total%count {
		share++
	}
	return share
}

// namesWithShare returns the names whose even share is not 0.
func namesWithShare(total, offset int, names []string) (sharing []string) {
	for i, name := range names {
		if shareAt(total, offset, i, len(names)) > 0 {
			sharing = append(sharing, name)
		}
	}
	return sharing
}
