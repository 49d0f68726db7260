package config

import (
	"maps"
	"slices"

	"myrtlefold/internal/shared/tuning"
)

// Objective is a service-level objective: the ratio of a service's requests that should succeed within a time window. A
// request succeeds if its response is complete, has a status below 500 and arrives in time. Rejected requests count as
// failed.
type Objective struct {
	// Service is the name of the service.
	Service string `koanf:"service" json:"service"`
	// SuccessRatio is the ratio of requests that should succeed, between 0 and 1, exclusive.
	SuccessRatio float64 `koanf:"part" json:"part"`
	// LatencyTargetMs is the longest response time of a successful request, in ms. Default: 0, no limit.
	LatencyTargetMs int `koanf:"under_ms" json:"under_ms,omitempty"`
	// WindowMinutes is the length of the window, in minutes. Default: 60, which is also the maximum.
	WindowMinutes int `koanf:"window_min" json:"window_min"`
}

func (c *checker) readObjectives(cfg *Config, v any) {
	c.readItems("aims", v, func(at, name string, item any) {
		o := Objective{WindowMinutes: tuning.ObjectiveMinutes}
		c.decode(at, item, &o)
		c.checkName(at, name)
		cfg.Objectives[name] = o
	})
}

// checkObjectives checks the objectives. Services must have been decoded before.
func (c *checker) checkObjectives(cfg *Config) {
	for _, name := range slices.Sorted(maps.Keys(cfg.Objectives)) {
		o, at := cfg.Objectives[name], joinPath("aims", name)
		if _, ok := cfg.Services[o.Service]; !ok {
			c.add(at+".service", "service %q does not exist", o.Service)
		}
		if !(o.SuccessRatio > 0 && o.SuccessRatio < 1) {
			c.add(at+".part", "%v is not between 0 and 1", o.SuccessRatio)
		}
		c.checkRange(at, "under_ms", o.LatencyTargetMs, 0, tuning.TimeoutMaxMs)
		c.checkRange(at, "window_min", o.WindowMinutes, 1, tuning.ObjectiveMinutes)
	}
}
