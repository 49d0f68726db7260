package config

import "myrtlefold/internal/shared/tuning"

// Limits bound the requests and connections of callers, for all services.
type Limits struct {
	// HeaderBytes is the largest request header, in bytes. Default: 0, which means tuning.HeaderMax.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// BodyBytes is the largest request body, in bytes. Default: 0, which means the service's BodyMax and, for a
	// service with a health path, at least tuning.CallerBodyMax.
	BodyBytes int `json:"body_bytes,omitempty"`
	// HeaderMs is the time limit for receiving a request header, in ms. Default: 0, which means tuning.CallerHeaderTimeout.
	HeaderMs int `json:"header_ms,omitempty"`
	// IdleMs is how long an idle connection is kept, in ms. Default: 0, which means tuning.CallerIdleTimeout.
	IdleMs int `json:"idle_ms,omitempty"`
}

var limitFields = fields[Limits]{
	"header_bytes": intField(func(l *Limits) *int { return &l.HeaderBytes }),
	"body_bytes":   intField(func(l *Limits) *int { return &l.BodyBytes }),
	"header_ms":    intField(func(l *Limits) *int { return &l.HeaderMs }),
	"idle_ms":      intField(func(l *Limits) *int { return &l.IdleMs }),
}

func (c *checker) readLimits(cfg *Config, v any) {
	cfg.Limits = &Limits{}
	readFields(c, "limits", v, limitFields, cfg.Limits)
}

func (c *checker) checkLimits(cfg *Config) {
	if l := cfg.Limits; l != nil {
		c.checkRange("limits", "header_bytes", l.HeaderBytes, 0, tuning.LimitsHeaderMax)
		c.checkRange("limits", "body_bytes", l.BodyBytes, 0, tuning.LimitsBodyMax)
		c.checkRange("limits", "header_ms", l.HeaderMs, 0, tuning.TimeoutMaxMs)
		c.checkRange("limits", "idle_ms", l.IdleMs, 0, tuning.TimeoutMaxMs)
	}
}
