package dataplane

import (
	"time"

	"myrtlefold/internal/shared/tuning"
)

// objectiveCounts counts the requests of a service-level objective by minute.
type objectiveCounts struct {
	minutes [tuning.ObjectiveMinutes]minuteCounts // a ring buffer, indexed by the minute modulo its length
}

// minuteCounts holds the numbers of all requests, and of good ones, that ended within one minute.
type minuteCounts struct{ minute, good, total int }

// countObjectives counts the end of a request for all objectives of its service. A successful request is good
// for an objective only if it also met its latency target.
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

// sum returns the numbers of good and of all requests in the last windowMinutes minutes, including the current
// one.
func (c *objectiveCounts) sum(now time.Duration, windowMinutes int) (good, total int) {
	for _, counts := range c.minutes {
		if int(now/time.Minute)-counts.minute < windowMinutes {
			good += counts.good
			total += counts.total
		}
	}
	return good, total
}
