// This file keeps the least urgent requests of a service from starving: urgent ones go
// first, but a priority that has been given targets far less often than the service's
// requests together takes part as the most urgent does until it has caught up.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// priorityCounts are requests by priority: how many came, and how many were given a target.
type priorityCounts struct {
	arrived, forwarded [tuning.PriorityLevels]float64
}

// fairness counts a service's requests over the present span of tuning.FairSpan and the one before.
type fairness struct {
	span              int64
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

func (f *fairness) countArrival(now time.Duration, rank int) {
	f.advance(now)
	f.current.arrived[rank]++
}

func (f *fairness) countForward(now time.Duration, rank int) {
	f.advance(now)
	f.current.forwarded[rank]++
}

// starved says that a priority got less than tuning.FairPart of what the service's requests got
// on average. Without a whole span before this one nothing is said.
func (f *fairness) starved(now time.Duration, rank int) bool {
	f.advance(now)
	if f.previous.arrived[rank] < tuning.FairLeast {
		return false
	}
	asked, given := 0.0, 0.0
	for r := range tuning.PriorityLevels {
		asked += f.previous.arrived[r] + f.current.arrived[r]
		given += f.previous.forwarded[r] + f.current.forwarded[r]
	}
	own := (f.previous.forwarded[rank] + f.current.forwarded[rank]) / (f.previous.arrived[rank] + f.current.arrived[rank])
	return own < tuning.FairPart*given/asked
}

// priorityLevel is a priority's place among those that are told apart.
func priorityLevel(priority int) int { return min(priority, tuning.PriorityLevels-1) }

// countArrival counts a request that came and sets what it goes by: its route's priority, or
// the most urgent if that starves.
func (s *serviceState) countArrival(now time.Duration, x *request) {
	x.priority, x.arrivedAt = x.route.Priority, s
	rank := priorityLevel(x.priority)
	s.lastArrivals[rank] = now
	if s.fairness.starved(now, rank) {
		x.priority = 0
	}
	s.fairness.countArrival(now, rank)
}
