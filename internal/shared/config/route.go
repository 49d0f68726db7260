// This file is routes: requests chosen by host and longest prefix, each with what
// holds for it (whether it may be repeated, tries, times, priority) and one service
// or a weighted split over several. An index by host and prefix makes a lookup cost
// the path's depth, however many routes there are.

package config

import (
	"slices"
	"strings"
	"time"
)

// RouteKind says whether a route's requests are idempotent. The texts stand in configurations.
type RouteKind string

// The kinds of routes.
const (
	KindRepeatable RouteKind = "repeatable" // may run more than once
	KindOnce       RouteKind = "once"       // may run at most once for each call
	KindDownload   RouteKind = "download"   // as repeatable, with large answers
)

// Share is a service's part in a split.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route is what holds for requests under a host and prefix. Times are in ms.
type Route struct {
	Host            string    `json:"host"`
	Prefix          string    `json:"prefix"`
	Kind            RouteKind `json:"kind"`
	TimeoutMs       int       `json:"timeout_ms"`
	LatencyTargetMs int       `json:"aim_ms,omitempty"`   // an answer within it is worth most to the caller; 0: none
	Priority        int       `json:"priority,omitempty"` // 0 is the highest
	Attempts        int       `json:"attempts"`           // targets that one request may be sent to
	Service         string    `json:"service,omitempty"`
	Split           []Share   `json:"split,omitempty"`
}

// Limits bound what callers may send. Bytes and ms; 0: the program's own bound.
type Limits struct {
	HeaderBytes int `json:"header_bytes,omitempty"`
	BodyBytes   int `json:"body_bytes,omitempty"`
	HeaderMs    int `json:"header_ms,omitempty"`
	IdleMs      int `json:"idle_ms,omitempty"`
}

// Repeats reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind != KindOnce }

// Timeout is a request's deadline from when it came.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMs) * time.Millisecond }

// LatencyTarget is the time within which an answer is worth most, 0: none is set.
func (r *Route) LatencyTarget() time.Duration {
	return time.Duration(r.LatencyTargetMs) * time.Millisecond
}

// Shares returns the services that the route may go to, each with a weight over 0.
func (r *Route) Shares() []Share {
	if r.Service != "" {
		return []Share{{r.Service, 1}}
	}
	return slices.DeleteFunc(slices.Clone(r.Split), func(s Share) bool { return s.Weight <= 0 })
}

// Warmup is how long after its start a target of the service counts as cold.
func (s *Service) Warmup() time.Duration {
	return time.Duration(s.WarmupSeconds * float64(time.Second))
}

// HasHealthCheck reports whether the service's targets are asked for their health, and take with each request
// the identity that is expected of them; other targets are asked for their identity on each new
// connection.
func (s *Service) HasHealthCheck() bool { return s.HealthPath != "" }

// hosts is the index of a configuration's routes: names by host and prefix.
type hosts map[string]map[string]string

// index makes the index of routes.
func (c *Config) index() {
	c.byHost = hosts{}
	for n, r := range c.Routes {
		if c.byHost[r.Host] == nil {
			c.byHost[r.Host] = map[string]string{}
		}
		c.byHost[r.Host][r.Prefix] = n
	}
}

// FindRoute finds the route for a request: the longest prefix of path among the routes of its host, and
// without one among those for any host.
func (c *Config) FindRoute(host, path string) (name string, r Route, ok bool) {
	host = bare(host)
	for _, h := range []string{host, ""} {
		ps := c.byHost[h]
		if ps == nil {
			continue
		}
		for p := path; p != ""; {
			if i := strings.LastIndexByte(p, '/'); i >= 0 {
				p = p[:i+1]
			} else {
				break
			}
			if n, found := ps[p]; found {
				return n, c.Routes[n], true
			}
			p = p[:len(p)-1]
		}
	}
	return "", Route{}, false
}

// bare returns a host in lower case and without its port.
func bare(host string) string {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return host
}
