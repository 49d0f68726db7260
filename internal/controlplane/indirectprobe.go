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

// indirectProber is a proxy that may probe for the leader.
type indirectProber struct {
	name, domain   string
	random         uint32 // differs for each probe, and is the same for the same one
	nthInDomain    int    // its number among the probers of its domain, in order of random
	inLeaderDomain bool
}

// requestIndirectProbes has some proxies probe a target whose probe by the leader takes long, so that a fault of the
// leader's own network ejects nobody. They are from as many failure domains as can be, and from the leader's own last: a
// fault there may be theirs too.
func (c *Controller) requestIndirectProbes(now time.Duration, id wire.TargetID) {
	probers := c.indirectProbers(now, id)
	for _, prober := range probers[:min(len(probers), tuning.IndirectProbes)] {
		proxy := c.proxies[prober.name]
		c.send(prober.name, c.pushMessage(proxy, &wire.Push{Key: proxy.tableKey, ProbeTargets: []wire.TargetID{id}}))
	}
}

// indirectProbers returns the proxies that may probe a target, the best first.
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
			name: entry.Name, domain: entry.Domain, random: hash.Sum32(), inLeaderDomain: entry.Domain == c.settings.Self.Domain,
		})
	}
	slices.SortFunc(probers, func(a, b indirectProber) int {
		return cmp.Or(cmp.Compare(a.random, b.random), cmp.Compare(a.name, b.name))
	})
	perDomain := map[string]int{}
	for i := range probers {
		probers[i].nthInDomain = perDomain[probers[i].domain]
		perDomain[probers[i].domain]++
	}
	slices.SortStableFunc(probers, func(a, b indirectProber) int {
		return cmp.Or(cmp.Compare(a.nthInDomain, b.nthInDomain), compareFalseFirst(a.inLeaderDomain, b.inLeaderDomain))
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
