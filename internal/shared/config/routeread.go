// This file reads routes and limits from parsed JSON, field by field, and checks them.

package config

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"myrtlefold/internal/shared/tuning"
)

// kindOf names a parsed value's kind.
func kindOf(v any) string {
	switch v.(type) {
	case nil:
		return "null"
	case bool:
		return "bool"
	case float64:
		return "number"
	case string:
		return "string"
	case []any:
		return "array"
	}
	return "object"
}

// text, number and whole read a field's value; one of another kind is a fault.
func (c *checker) text(path, field string, v any, to *string) {
	s, ok := v.(string)
	if !ok {
		c.add(join(path, field), "is a %s, wants string", kindOf(v))
	}
	*to = s
}

func (c *checker) number(path, field string, v any, to *float64) {
	f, ok := v.(float64)
	if !ok {
		c.add(join(path, field), "is a %s, wants number", kindOf(v))
	}
	*to = f
}

func (c *checker) whole(path, field string, v any, to *int) {
	f, ok := v.(float64)
	switch {
	case !ok:
		c.add(join(path, field), "is a %s, wants int", kindOf(v))
	case f != math.Trunc(f) || math.Abs(f) > tuning.ExactMax:
		c.add(join(path, field), "%v is not a whole number", f)
	default:
		*to = int(f)
	}
}

// members passes an object's fields to take, in no order; those that it refuses are unknown
// fields. The faults of all of them are sorted by path.
func (c *checker) members(path string, v any, take func(field string, v any) bool) {
	m, ok := v.(map[string]any)
	if !ok {
		c.add(path, "is a %s, wants object", kindOf(v))
		return
	}
	was := len(c.faults)
	for k, f := range m {
		if !take(k, f) {
			c.add(join(path, k), "unknown field")
		}
	}
	slices.SortStableFunc(c.faults[was:], func(a, b Fault) int { return strings.Compare(a.Path, b.Path) })
}

// limits reads the bounds of what callers may send.
func (c *checker) limits(at string, v any, l *Limits) {
	c.members(at, v, func(k string, v any) bool {
		switch k {
		case "header_bytes":
			c.whole(at, k, v, &l.HeaderBytes)
		case "body_bytes":
			c.whole(at, k, v, &l.BodyBytes)
		case "header_ms":
			c.whole(at, k, v, &l.HeaderMs)
		case "idle_ms":
			c.whole(at, k, v, &l.IdleMs)
		default:
			return false
		}
		return true
	})
}

// routes reads all routes; those with faults are left out.
func (c *checker) routes(cfg *Config, v any) {
	m, ok := v.(map[string]any)
	if !ok {
		c.add("routes", "must be an object")
	}
	cfg.Routes = make(map[string]Route, len(m))
	for _, n := range slices.Sorted(maps.Keys(m)) {
		at := join("routes", n)
		var r Route
		was := len(c.faults)
		c.readRoute(at, m[n], &r)
		c.name(at, n)
		if len(c.faults) == was {
			cfg.Routes[n] = r
		}
	}
}

// readRoute reads one route.
func (c *checker) readRoute(at string, v any, r *Route) {
	c.members(at, v, func(k string, v any) bool {
		switch k {
		case "host":
			c.text(at, k, v, &r.Host)
		case "prefix":
			c.text(at, k, v, &r.Prefix)
		case "kind":
			c.text(at, k, v, (*string)(&r.Kind))
		case "timeout_ms":
			c.whole(at, k, v, &r.TimeoutMs)
		case "aim_ms":
			c.whole(at, k, v, &r.LatencyTargetMs)
		case "priority":
			c.whole(at, k, v, &r.Priority)
		case "attempts":
			c.whole(at, k, v, &r.Attempts)
		case "service":
			c.text(at, k, v, &r.Service)
		case "split":
			r.Split = c.readSplit(join(at, k), v)
		default:
			return false
		}
		return true
	})
}

// readSplit reads the shares of a weighted split.
func (c *checker) readSplit(at string, v any) []Share {
	l, ok := v.([]any)
	if !ok {
		c.add(at, "is a %s, wants array", kindOf(v))
	}
	var shares []Share
	for i, e := range l {
		var s Share
		part := fmt.Sprintf("%s[%d]", at, i)
		c.members(part, e, func(k string, v any) bool {
			switch k {
			case "service":
				c.text(part, k, v, &s.Service)
			case "weight":
				c.number(part, k, v, &s.Weight)
			default:
				return false
			}
			return true
		})
		shares = append(shares, s)
	}
	return shares
}

// bound is within for a field, whose path is put together only if it is wrong.
func (c *checker) bound(at, field string, v, lo, hi int) {
	if v < lo || v > hi {
		c.within(join(at, field), v, lo, hi)
	}
}

// route checks one route; services are known by then.
func (c *checker) route(at string, r *Route, cfg *Config) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(at+".prefix", "must begin and end with /")
	}
	if !isPlainPath(r.Prefix) {
		c.add(at+".prefix", notPlainPath)
	}
	if !isHost(r.Host) {
		c.add(at+".host", notHost)
	}
	if !slices.Contains([]RouteKind{KindRepeatable, KindOnce, KindDownload}, r.Kind) {
		c.add(at+".kind", "%s, %s or %s, not %q", KindRepeatable, KindOnce, KindDownload, r.Kind)
	}
	c.bound(at, "timeout_ms", r.TimeoutMs, 1, tuning.TimeoutMaxMs)
	c.bound(at, "aim_ms", r.LatencyTargetMs, 0, tuning.TimeoutMaxMs)
	c.bound(at, "attempts", r.Attempts, 1, tuning.RouteAttemptsMax)
	c.bound(at, "priority", r.Priority, 0, tuning.PriorityMax)
	if (r.Service == "") == (len(r.Split) == 0) {
		c.add(at, "wants either service or split")
	}
	if r.Service != "" {
		if _, ok := cfg.Services[r.Service]; !ok {
			c.add(at+".service", "no service %q", r.Service)
		}
	}
	sum := 0.0
	for i, s := range r.Split {
		if _, ok := cfg.Services[s.Service]; !ok {
			c.add(fmt.Sprintf("%s.split[%d].service", at, i), "no service %q", s.Service)
		}
		if s.Weight < 0 || math.IsNaN(s.Weight) || math.IsInf(s.Weight, 0) {
			c.add(fmt.Sprintf("%s.split[%d].weight", at, i), "%v is below 0", s.Weight)
		}
		sum += s.Weight
	}
	if len(r.Split) > 0 && sum <= 0 {
		c.add(at+".split", "the weights add up to 0")
	}
}

// checkRoutes checks the routes against services and one another, and the limits.
func (c *checker) checkRoutes(cfg *Config) {
	type place struct{ host, prefix string }
	at := make(map[place]string, len(cfg.Routes))
	for _, n := range slices.Sorted(maps.Keys(cfg.Routes)) {
		r := cfg.Routes[n]
		c.route(join("routes", n), &r, cfg)
		p := place{r.Host, r.Prefix}
		if o, ok := at[p]; ok {
			c.add(join("routes", n), "same host and prefix as routes.%s", o)
		}
		at[p] = n
	}
	if l := cfg.Limits; l != nil {
		c.within("limits.header_bytes", l.HeaderBytes, 0, tuning.LimitsHeaderMax)
		c.within("limits.body_bytes", l.BodyBytes, 0, tuning.LimitsBodyMax)
		c.within("limits.header_ms", l.HeaderMs, 0, tuning.TimeoutMaxMs)
		c.within("limits.idle_ms", l.IdleMs, 0, tuning.TimeoutMaxMs)
	}
}
