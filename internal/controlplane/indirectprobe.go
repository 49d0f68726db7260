package controlplane

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// indirectProber is a proxy that may probe a target on behalf of the leader.
type indirectProber struct {
	name, domain   string
	sortHash       uint32 // sort key: a hash of proxy, target and time, so that the order differs between probes
	rankInDomain   int    // position from 0 among the probers of its domain, in the order of sortHash
	inLeaderDomain bool   // whether it is in the leader's failure domain
}

// requestIndirectProbes asks tuning.IndirectProbes proxies to probe a target whose probe by the leader takes long, so that
// a fault in the leader's own network ejects no target. The proxies are from as many failure domains as possible, one of
// each domain before a second one of any. Among these, the one in the leader's own domain comes last, since the same fault
// may affect it.
func (c *Controller) requestIndirectProbes(now time.Duration, id wire.TargetID) {
	probers := c.indirectProbers(now, id)
	for _, prober := range probers[:min(len(probers), tuning.IndirectProbes)] {
		proxy := c.proxies[prober.name]
		c.send(prober.name, c.pushMessage(proxy, &wire.Push{Key: proxy.tableKey, ProbeTargets: []wire.TargetID{id}}))
	}
}

// indirectProbers returns the proxies that may probe a target, in order of preference.
func (c *Controller) indirectProbers(now time.Duration, id wire.TargetID) []indirectProber {
	var probers []indirectProber
	for i := range c.state.Proxies {
		entry := &c.state.Proxies[i]
		if proxy := c.proxies[entry.Name]; proxy == nil || !proxy.tableMerged || !c.isProxyLive(now, entry.Name) {
			continue
		}
		hash := fnv.New32a()
		fmt.Fprint(hash, entry.Name, id, now)
		probers = append(probers, indirectProber{
			name: entry.Name, domain: entry.Domain, sortHash: hash.Sum32(), inLeaderDomain: entry.Domain == c.settings.Self.Domain,
		})
	}
	slices.SortFunc(probers, func(a, b indirectProber) int {
		return cmp.Or(cmp.Compare(a.sortHash, b.sortHash), cmp.Compare(a.name, b.name))
	})
	perDomain := map[string]int{}
	for i := range probers {
		probers[i].rankInDomain = perDomain[probers[i].domain]
		perDomain[probers[i].domain]++
	}
	slices.SortStableFunc(probers, func(a, b indirectProber) int {
		return cmp.Or(cmp.Compare(a.rankInDomain, b.rankInDomain), compareFalseFirst(a.inLeaderDomain, b.inLeaderDomain))
	})
	return probers
}

func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
