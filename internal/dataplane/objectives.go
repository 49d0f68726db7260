package dataplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// objectiveCounts counts the requests of a service-level objective by the minute.
type objectiveCounts struct {
	minutes [tuning.ObjectiveMinutes]minuteCounts // a ring, indexed by the minute
}

// minuteCounts are the requests that ended within one minute.
type minuteCounts struct{ minute, good, total int }

// countObjectives counts a request's end for all objectives of its service. A good one counts as such
// where it was fast enough.
func (p *Proxy) countObjectives(now time.Duration, req *request, good bool) {
	for name, objective := range p.configuration.Objectives {
		if objective.Service != req.serviceName {
			continue
		}
		if p.objectives[name] == nil {
			p.objectives[name] = &objectiveCounts{}
		}
		latencyTarget := time.Duration(objective.LatencyTargetMs) * time.Millisecond
		fastEnough := latencyTarget == 0 || now-req.startedAt <= latencyTarget
		p.objectives[name].count(now, good && fastEnough)
	}
}

func (c *objectiveCounts) count(now time.Duration, good bool) {
	minute := int(now / time.Minute)
	counts := &c.minutes[minute%tuning.ObjectiveMinutes]
	if counts.minute != minute {
		*counts = minuteCounts{minute: minute}
	}
	counts.total++
	if good {
		counts.good++
	}
}

// sum returns the good and all requests of the last minutes, the present one included.
func (c *objectiveCounts) sum(now time.Duration, windowMinutes int) (good, total int) {
	for _, counts := range c.minutes {
		if int(now/time.Minute)-counts.minute < windowMinutes {
			good += counts.good
			total += counts.total
		}
	}
	return good, total
}
