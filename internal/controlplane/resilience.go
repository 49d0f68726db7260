// This file compares sets of members by the failures that they withstand.

package controlplane

import (
	"cmp"

	"myrtlefold/internal/shared/tuning"
)

// resilience is what failures a set of members withstands. Its fields count in their order.
type resilience struct {
	anyDomain bool // a majority is left when any one failure domain is lost
	machines  int  // how many machines may be lost with a majority left
	cost      int  // how many members that takes: the fewer the better
}

// resilienceOf is the resilience of a set of members. Members beyond tuning.VotersMax add nothing to it. Two members
// cost nothing: they withstand no more than one does, but their data is on a second disk.
func (c *Controller) resilienceOf(names []string) resilience {
	perDomain, mostInDomain := map[string]int{}, 0
	for _, name := range names {
		domain := c.domainOf(name)
		perDomain[domain]++
		mostInDomain = max(mostInDomain, perDomain[domain])
	}
	set := resilience{
		anyDomain: 2*mostInDomain < len(names),
		machines:  (min(len(names), tuning.VotersMax) - 1) / 2,
		cost:      len(names),
	}
	if len(names) == 2 {
		set.cost = 0
	}
	return set
}

// compare is over 0 if r is better than other, and below 0 if it is worse.
func (r resilience) compare(other resilience) int {
	return cmp.Or(compareBool(r.anyDomain, other.anyDomain), cmp.Compare(r.machines, other.machines), cmp.Compare(other.cost, r.cost))
}

// compareBool compares two conditions; one that holds is greater.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// domainOf is the failure domain of a control daemon. One that is unknown counts as a domain of its own.
func (c *Controller) domainOf(name string) string {
	if name == c.settings.Self.Name {
		return c.settings.Self.Domain
	}
	if contact, ok := c.peerContacts[name]; ok {
		return contact.domain
	}
	return "? " + name
}

// toleratedLosses is how many machines of the control plane may be lost at once.
func (c *Controller) toleratedLosses() int { return max(c.settings.MachineLosses, 1) }
