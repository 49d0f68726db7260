// This file compares sets of members by the failures that they tolerate.

package controlplane

import (
	"cmp"

	"myrtlefold/internal/shared/tuning"
)

// resilience describes the failures that a set of members tolerates. The fields are compared in their order.
type resilience struct {
	survivesDomainLoss bool // a majority remains after the loss of any one failure domain
	machineLosses      int  // how many machines may be lost with a majority remaining
	cost               int  // the number of members, 0 if there are two; lower is better
}

// resilienceOf returns the resilience of a set of members. Members beyond tuning.VotersMax do not add to it. Two members
// tolerate no more failures than one does, but keep a second copy of the data. Their cost is 0 so that they are
// preferred to one.
func (c *Controller) resilienceOf(names []string) resilience {
	perDomain, mostInDomain := map[string]int{}, 0
	for _, name := range names {
		domain := c.domainOf(name)
		perDomain[domain]++
		mostInDomain = max(mostInDomain, perDomain[domain])
	}
	set := resilience{
		survivesDomainLoss: 2*mostInDomain < len(names),
		machineLosses:      (min(len(names), tuning.VotersMax) - 1) / 2,
		cost:               len(names),
	}
	if len(names) == 2 {
		set.cost = 0
	}
	return set
}

// compare returns a positive number if r is better than other, a negative one if it is worse, and 0 if they are equal.
func (r resilience) compare(other resilience) int {
	return cmp.Or(compareBool(r.survivesDomainLoss, other.survivesDomainLoss), cmp.Compare(r.machineLosses, other.machineLosses), cmp.Compare(other.cost, r.cost))
}

// compareBool compares two booleans like cmp.Compare, with false less than true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// domainOf returns the failure domain of a control daemon. An unknown daemon counts as a domain of its own.
func (c *Controller) domainOf(name string) string {
	if name == c.settings.Self.Name {
		return c.settings.Self.Domain
	}
	if contact, ok := c.peerContacts[name]; ok {
		return contact.domain
	}
	return "? " + name
}

// toleratedLosses returns how many machines of the control plane may fail at once without loss of service: at least one.
func (c *Controller) toleratedLosses() int { return max(c.settings.MachineLosses, 1) }
