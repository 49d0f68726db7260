// Protection of low-priority requests from starvation. Requests of higher priority go first, but a priority
// level whose requests have been forwarded far less often than the service's average is treated as the highest
// level until it has caught up.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// priorityCounts holds the numbers of requests that arrived and were forwarded, by priority level.
type priorityCounts struct {
	arrived, forwarded [tuning.PriorityLevels]float64
}

// fairness counts a service's requests in the current time span of length tuning.FairnessWindow and in the previous
// one.
type fairness struct {
	span              int64 // index of the current time span
	current, previous priorityCounts
}

// advance moves the counts on to the time span that contains now.
func (f *fairness) advance(now time.Duration) {
	span := int64(now / tuning.FairnessWindow)
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

// starved reports whether the ratio of forwarded to arrived requests of a priority level is below
// tuning.FairnessMinRatio times that of all requests of the service. It returns false if fewer than
// tuning.FairnessMinRequests requests of the level arrived in the previous time span, since the level's ratio is
// then uncertain.
func (f *fairness) starved(now time.Duration, level int) bool {
	f.advance(now)
	if f.previous.arrived[level] < tuning.FairnessMinRequests {
		return false
	}
	arrived, forwarded := 0.0, 0.0
	for l := range tuning.PriorityLevels {
		arrived += f.previous.arrived[l] + f.current.arrived[l]
		forwarded += f.previous.forwarded[l] + f.current.forwarded[l]
	}
	levelRatio := (f.previous.forwarded[level] + f.current.forwarded[level]) / (f.previous.arrived[level] + f.current.arrived[level])
	return levelRatio < tuning.FairnessMinRatio*forwarded/arrived
}

// priorityLevel maps a priority to one of tuning.PriorityLevels levels. Level 0 is the highest; all lower
// priorities share the last one.
func priorityLevel(priority int) int { return min(priority, tuning.PriorityLevels-1) }

// countArrival counts an arriving request and sets its priority: that of its route, or the highest if its level
// is starved.
func (s *serviceState) countArrival(now time.Duration, req *request) {
	req.priority, req.arrivalService = req.route.Priority, s
	level := priorityLevel(req.priority)
	s.lastArrivals[level] = now
	if s.fairness.starved(now, level) {
		req.priority = 0
	}
	s.fairness.countArrival(now, level)
}
