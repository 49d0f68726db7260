// This file keeps the least urgent requests of a service from starving: urgent ones go
// first, but a priority that has been given targets far less often than the service's
// requests together takes part as the most urgent does until it has caught up.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// rankCounts are requests by priority: how many came, and how many were given a target.
type rankCounts struct {
	asked, given [tuning.PriorityLevels]float64
}

// fairness counts a service's requests over the present span of tuning.FairSpan and the one before.
type fairness struct {
	span          int64
	current, past rankCounts
}

// turn moves on to the span that now lies in.
func (f *fairness) turn(now time.Duration) {
	span := int64(now / tuning.FairSpan)
	switch span - f.span {
	case 0:
		return
	case 1:
		f.past = f.current
	default:
		f.past = rankCounts{}
	}
	f.current, f.span = rankCounts{}, span
}

func (f *fairness) ask(now time.Duration, rank int) {
	f.turn(now)
	f.current.asked[rank]++
}

func (f *fairness) give(now time.Duration, rank int) {
	f.turn(now)
	f.current.given[rank]++
}

// starved says that a priority got less than tuning.FairPart of what the service's requests got
// on average. Without a whole span before this one nothing is said.
func (f *fairness) starved(now time.Duration, rank int) bool {
	f.turn(now)
	if f.past.asked[rank] < tuning.FairLeast {
		return false
	}
	asked, given := 0.0, 0.0
	for r := range tuning.PriorityLevels {
		asked += f.past.asked[r] + f.current.asked[r]
		given += f.past.given[r] + f.current.given[r]
	}
	own := (f.past.given[rank] + f.current.given[rank]) / (f.past.asked[rank] + f.current.asked[rank])
	return own < tuning.FairPart*given/asked
}

// rankOf is a priority's place among those that are told apart.
func rankOf(priority int) int { return min(priority, tuning.PriorityLevels-1) }

// enroll counts a request that came and sets what it goes by: its route's priority, or
// the most urgent if that starves.
func (s *service) enroll(now time.Duration, x *request) {
	x.priority, x.askedAt = x.route.Priority, s
	rank := rankOf(x.priority)
	s.ranks[rank] = now
	if s.fair.starved(now, rank) {
		x.priority = 0
	}
	s.fair.ask(now, rank)
}
