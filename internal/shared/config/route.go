package config

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// RouteKind is whether the requests of a route are idempotent. The values appear in configurations.
type RouteKind string

// Kinds of routes.
const (
	KindRepeatable RouteKind = "repeatable" // idempotent: a request may run more than once
	KindOnce       RouteKind = "once"       // not idempotent: a request must not run more than once
	KindDownload   RouteKind = "download"   // idempotent, with large responses
)

// Route defines how requests to a host and path prefix are handled. They are sent to one service or split over several
// by weight.
type Route struct {
	// Host is the host, in lower case and without port. Default: "", any host.
	Host string `json:"host"`
	// Prefix is the prefix of the path. It begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Kind is whether requests are idempotent.
	Kind RouteKind `json:"kind"`
	// TimeoutMs is the deadline of a request, counted from its arrival, in ms. No default: it must be set.
	TimeoutMs int `json:"timeout_ms"`
	// LatencyTargetMs is the target for the response time, in ms. Queueing and Retry-After depend on it.
	// Default: 0, none.
	LatencyTargetMs int `json:"aim_ms,omitempty"`
	// Priority is the priority of requests when capacity is insufficient; 0 is the highest. Default: 0.
	Priority int `json:"priority,omitempty"`
	// Attempts is the maximum number of targets that one request is sent to. No default: it must be set.
	Attempts int `json:"attempts"`
	// Service is the name of the route's service. Default: "", in which case Split must be set.
	Service string `json:"service,omitempty"`
	// Split holds the services over which requests are split. Default: none, in which case Service must be set.
	Split []Share `json:"split,omitempty"`
}

// Share is a service's share of a split.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // relative to the other weights of the split; 0 for no requests
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind != KindOnce }

// Timeout returns the deadline of a request, counted from its arrival.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMs) * time.Millisecond }

// LatencyTarget returns the target for the response time, 0 if none is set.
func (r *Route) LatencyTarget() time.Duration {
	return time.Duration(r.LatencyTargetMs) * time.Millisecond
}

// Shares returns the services to which the route may send requests, each with a positive weight.
func (r *Route) Shares() []Share {
	if r.Service != "" {
		return []Share{{Service: r.Service, Weight: 1}}
	}
	return slices.DeleteFunc(slices.Clone(r.Split), func(s Share) bool { return s.Weight <= 0 })
}

// routeIndex maps host and prefix to the name of the route. The number of steps of a lookup depends on the number of
// segments in the request's path, not on the number of routes.
type routeIndex map[string]map[string]string

func (c *Config) indexRoutes() {
	c.routeIndex = routeIndex{}
	for name, r := range c.Routes {
		if c.routeIndex[r.Host] == nil {
			c.routeIndex[r.Host] = map[string]string{}
		}
		c.routeIndex[r.Host][r.Prefix] = name
	}
}

// FindRoute returns the route for a request: the one with the longest matching prefix among the routes for its host or,
// if none matches, among the routes for any host.
func (c *Config) FindRoute(host, path string) (name string, r Route, ok bool) {
	for _, h := range []string{normalizeHost(host), ""} {
		if name, ok := longestPrefix(c.routeIndex[h], path); ok {
			return name, c.Routes[name], true
		}
	}
	return "", Route{}, false
}

// longestPrefix returns the name in names whose key is the longest prefix of path. All keys end with a slash.
func longestPrefix(names map[string]string, path string) (name string, ok bool) {
	if names == nil {
		return "", false
	}
	for {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return "", false
		}
		if name, ok = names[path[:slash+1]]; ok {
			return name, true
		}
		path = path[:slash]
	}
}

var routeFields = fields[Route]{
	"host":       textField(func(r *Route) *string { return &r.Host }),
	"prefix":     textField(func(r *Route) *string { return &r.Prefix }),
	"kind":       textField(func(r *Route) *RouteKind { return &r.Kind }),
	"timeout_ms": intField(func(r *Route) *int { return &r.TimeoutMs }),
	"aim_ms":     intField(func(r *Route) *int { return &r.LatencyTargetMs }),
	"priority":   intField(func(r *Route) *int { return &r.Priority }),
	"attempts":   intField(func(r *Route) *int { return &r.Attempts }),
	"service":    textField(func(r *Route) *string { return &r.Service }),
	"split":      readSplit,
}

var shareFields = fields[Share]{
	"service": textField(func(s *Share) *string { return &s.Service }),
	"weight":  numberField(func(s *Share) *float64 { return &s.Weight }),
}

// readSplit decodes the field split of a route.
func readSplit(c *checker, at, key string, value any, to *Route) {
	path := joinPath(at, key)
	list, ok := value.([]any)
	if !ok {
		c.add(path, "is a %s, must be an array", typeName(value))
	}
	for i, item := range list {
		var s Share
		readFields(c, fmt.Sprintf("%s[%d]", path, i), item, shareFields, &s)
		to.Split = append(to.Split, s)
	}
}

// readRoutes decodes all routes. Routes with faults are not added to the configuration.
func (c *checker) readRoutes(cfg *Config, v any) {
	c.readItems("routes", v, func(at, name string, item any) {
		var r Route
		before := len(c.faults)
		readFields(c, at, item, routeFields, &r)
		c.checkName(at, name)
		if len(c.faults) == before {
			cfg.Routes[name] = r
		}
	})
}

// checkRoutes checks each route, and that no two have the same host and prefix. Services must have been decoded before.
func (c *checker) checkRoutes(cfg *Config) {
	type key struct{ host, prefix string }
	names := make(map[key]string, len(cfg.Routes))
	for _, name := range slices.Sorted(maps.Keys(cfg.Routes)) {
		r := cfg.Routes[name]
		c.checkRoute(joinPath("routes", name), &r, cfg)
		k := key{r.Host, r.Prefix}
		if earlier, ok := names[k]; ok {
			c.add(joinPath("routes", name), "same host and prefix as routes.%s", earlier)
		}
		names[k] = name
	}
}

func (c *checker) checkRoute(path string, route *Route, cfg *Config) {
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		c.add(path+".prefix", "must begin and end with /")
	}
	if !isPlainPath(route.Prefix) {
		c.add(path+".prefix", notPlainPath)
	}
	if !isHost(route.Host) {
		c.add(path+".host", notHost)
	}
	if !slices.Contains([]RouteKind{KindRepeatable, KindOnce, KindDownload}, route.Kind) {
		c.add(path+".kind", "must be %s, %s or %s, not %q", KindRepeatable, KindOnce, KindDownload, route.Kind)
	}
	c.checkRange(path, "timeout_ms", route.TimeoutMs, 1, tuning.TimeoutMaxMs)
	c.checkRange(path, "aim_ms", route.LatencyTargetMs, 0, tuning.TimeoutMaxMs)
	c.checkRange(path, "attempts", route.Attempts, 1, tuning.RouteAttemptsMax)
	c.checkRange(path, "priority", route.Priority, 0, tuning.PriorityMax)
	if (route.Service == "") == (len(route.Split) == 0) {
		c.add(path, "must have either service or split")
	}
	if route.Service != "" {
		if _, ok := cfg.Services[route.Service]; !ok {
			c.add(path+".service", "service %q does not exist", route.Service)
		}
	}
	c.checkSplit(path, route.Split, cfg)
}

func (c *checker) checkSplit(at string, split []Share, cfg *Config) {
	sum := 0.0
	for i, s := range split {
		if _, ok := cfg.Services[s.Service]; !ok {
			c.add(fmt.Sprintf("%s.split[%d].service", at, i), "service %q does not exist", s.Service)
		}
		if s.Weight < 0 || math.IsNaN(s.Weight) || math.IsInf(s.Weight, 0) {
			c.add(fmt.Sprintf("%s.split[%d].weight", at, i), "%v is below 0", s.Weight)
		}
		sum += s.Weight
	}
	if len(split) > 0 && sum <= 0 {
		c.add(at+".split", "the weights add up to 0")
	}
}
