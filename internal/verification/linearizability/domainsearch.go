// This file decides whether the calls about one domain are linearizable. It passes through the calls' times once and keeps all
// combinations of a state and of the calls under way that have taken effect ("just-in-time linearization", Lowe, "Testing for
// linearizability", 2017). Their number depends on how many calls overlap, not on the length of the history.

package linearizability

import (
	"cmp"
	"math"
	"slices"
)

// searchResult is the result of a search.
type searchResult int

// Results of a search.
const (
	linearizable searchResult = iota
	notLinearizable
	notDecided // the limit of combinations was exceeded
)

// maxOverlapping is the number of calls that may be under way at the same time, the bits of combination.effective.
const maxOverlapping = 64

// combination is a state that a domain may have, and the calls under way that have taken effect then, by their slots.
type combination struct {
	emptied   bool
	effective uint64
}

// callEvent is the invocation of a call, or the time after which it must not take effect.
type callEvent struct {
	at        int64
	ends      bool
	operation *DomainOperation
}

// domainSearch is a search under way.
type domainSearch struct {
	limit        int // of combinations
	combinations map[combination]bool
	slots        [maxOverlapping]*DomainOperation // calls under way, nil for a free slot
}

// search decides whether the calls of a domain are linearizable, with at most limit combinations at a time. The domain is not
// emptied at first, or in any state if startUnknown is set.
func search(operations []*DomainOperation, startUnknown bool, limit int) searchResult {
	s := &domainSearch{limit: limit, combinations: map[combination]bool{{emptied: false}: true}}
	if startUnknown {
		s.combinations[combination{emptied: true}] = true
	}
	for _, event := range eventsOf(operations) {
		decided := true
		if event.ends {
			decided = s.end(event.operation)
		} else {
			decided = s.begin(event.operation)
		}
		if !decided {
			return notDecided
		}
		if len(s.combinations) == 0 {
			return notLinearizable
		}
	}
	return linearizable
}

// eventsOf returns the events of all calls that may have had an effect, in the order of their times. Calls that touch overlap.
func eventsOf(operations []*DomainOperation) (events []callEvent) {
	for _, o := range operations {
		if o.outcome == noEffect {
			continue
		}
		events = append(events, callEvent{at: int64(o.sentAt), operation: o})
		if end := lastEffect(o, operations); end < math.MaxInt64 {
			events = append(events, callEvent{at: end, ends: true, operation: o})
		}
	}
	slices.SortStableFunc(events, func(a, b callEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(boolRank(a.ends), boolRank(b.ends)))
	})
	return events
}

// boolRank orders false before true.
func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// begin adds a call to those under way. It returns false if too many are.
func (s *domainSearch) begin(operation *DomainOperation) bool {
	slot := slices.Index(s.slots[:], nil)
	if slot < 0 {
		return false
	}
	s.slots[slot] = operation
	return true
}

// end removes a call from those under way. What remains are the combinations in which it has taken effect or, for a change
// without a definite reply, may have none. It returns false if there are too many combinations.
func (s *domainSearch) end(operation *DomainOperation) bool {
	if !s.expand() {
		return false
	}
	slot := slices.Index(s.slots[:], operation)
	bit := uint64(1) << slot
	remaining := map[combination]bool{}
	for c := range s.combinations {
		if c.effective&bit != 0 || operation.outcome == open {
			remaining[combination{c.emptied, c.effective &^ bit}] = true
		}
	}
	s.combinations, s.slots[slot] = remaining, nil
	return true
}

// expand replaces the combinations by all that follow when calls under way take effect. It returns false if there are too many.
func (s *domainSearch) expand() bool {
	expanded := map[combination]bool{}
	var unexpanded []combination
	add := func(c combination) {
		if c = s.withReads(c); !expanded[c] {
			expanded[c] = true
			unexpanded = append(unexpanded, c)
		}
	}
	for c := range s.combinations {
		add(c)
	}
	for len(unexpanded) > 0 && len(expanded) <= s.limit {
		c := unexpanded[len(unexpanded)-1]
		unexpanded = unexpanded[:len(unexpanded)-1]
		for slot, operation := range s.slots {
			bit := uint64(1) << slot
			if operation != nil && !operation.read && c.effective&bit == 0 {
				add(combination{operation.emptied, c.effective | bit})
			}
		}
	}
	s.combinations = expanded
	return len(expanded) <= s.limit
}

// withReads returns a combination with all reads under way that return its state. A read changes nothing, so it may as well take
// effect as soon as it can.
func (s *domainSearch) withReads(c combination) combination {
	for slot, operation := range s.slots {
		if operation != nil && operation.read && operation.emptied == c.emptied {
			c.effective |= 1 << slot
		}
	}
	return c
}
