// This file keeps the requests of lower priority of a service from starving. Higher ones go first, but a priority whose
// requests have been forwarded far less often than the service's on average takes part as the highest one does until
// it has caught up.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// priorityCounts are requests by priority.
type priorityCounts struct {
	arrived, forwarded [tuning.PriorityLevels]float64
}

// fairness counts a service's requests over the present span of tuning.FairSpan and the one before.
type fairness struct {
	span              int64 // its index
	current, previous priorityCounts
}

// advance moves on to the span that now lies in.
func (f *fairness) advance(now time.Duration) {
	span := int64(now / tuning.FairSpan)
	switch span - f.span {
	case 0:
		return
	case 1:
		f.previous = f.current
	default:
		f.previous = priorityCounts{}
	}
	f.current, f.span = priorityCounts{}, span
}

func (f *fairness) countArrival(now time.Duration, level int) {
	f.advance(now)
	f.current.arrived[level]++
}

func (f *fairness) countForward(now time.Duration, level int) {
	f.advance(now)
	f.current.forwarded[level]++
}

// starved reports that of a priority's requests less than tuning.FairPart of the service's average were
// forwarded. Without a whole span before this one nothing is known.
func (f *fairness) starved(now time.Duration, level int) bool {
	f.advance(now)
	if f.previous.arrived[level] < tuning.FairLeast {
		return false
	}
	arrived, forwarded := 0.0, 0.0
	for each := range tuning.PriorityLevels {
		arrived += f.previous.arrived[each] + f.current.arrived[each]
		forwarded += f.previous.forwarded[each] + f.current.forwarded[each]
	}
	own := (f.previous.forwarded[level] + f.current.forwarded[level]) / (f.previous.arrived[level] + f.current.arrived[level])
	return own < tuning.FairPart*forwarded/arrived
}

// priorityLevel maps a priority to one of the tuning.PriorityLevels that are told apart; 0 is the highest.
func priorityLevel(priority int) int { return min(priority, tuning.PriorityLevels-1) }

// countArrival counts a request that came and sets its priority: its route's, or the highest if that starves.
func (s *serviceState) countArrival(now time.Duration, req *request) {
	req.priority, req.arrivedAt = req.route.Priority, s
	level := priorityLevel(req.priority)
	s.lastArrivals[level] = now
	if s.fairness.starved(now, level) {
		req.priority = 0
	}
	s.fairness.countArrival(now, level)
}
