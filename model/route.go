// This file is routes: exchanges chosen by host and longest prefix, each with what
// holds for it (whether it may be repeated, tries, times, priority) and one service
// or a weighted split over several. An index by host and prefix makes a choice cost
// the path's depth, however many routes there are.
package model

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/limit"
)

// Kinds of routes: what an exchange on one may be subjected to.
const (
	Repeatable = "repeatable" // may run more than once
	Once       = "once"       // may run at most once for each exchange
	Download   = "download"   // as repeatable, with large answers
)

// Share is a service's part in a split.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route is what holds for exchanges under a host and prefix. Times are in ms.
type Route struct {
	Host      string  `json:"host"`
	Prefix    string  `json:"prefix"`
	Kind      string  `json:"kind"`
	TimeoutMs int     `json:"timeout_ms"`
	AimMs     int     `json:"aim_ms,omitempty"`   // an answer within it has its full worth
	Priority  int     `json:"priority,omitempty"` // 0 is the highest
	Attempts  int     `json:"attempts"`           // targets that one exchange may be sent to
	Service   string  `json:"service,omitempty"`
	Split     []Share `json:"split,omitempty"`
}

// Limits bound what callers may send. Bytes and ms; 0: the program's own bound.
type Limits struct {
	HeaderBytes int `json:"header_bytes,omitempty"`
	BodyBytes   int `json:"body_bytes,omitempty"`
	HeaderMs    int `json:"header_ms,omitempty"`
	IdleMs      int `json:"idle_ms,omitempty"`
}

// Repeats says whether an exchange of the route may run more than once.
func (r *Route) Repeats() bool { return r.Kind != Once }

// Timeout and Aim are the route's times.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMs) * time.Millisecond }
func (r *Route) Aim() time.Duration     { return time.Duration(r.AimMs) * time.Millisecond }

// Shares are the services that the route may go to, with weights over 0.
func (r *Route) Shares() []Share {
	if r.Service != "" {
		return []Share{{r.Service, 1}}
	}
	return slices.DeleteFunc(slices.Clone(r.Split), func(s Share) bool { return s.Weight <= 0 })
}

// Cold is how long a target of the service counts as cold from its start.
func (s *Service) Cold() time.Duration { return time.Duration(s.ColdS * float64(time.Second)) }

// Asked says that the service's targets are asked for their health and take the
// identity that is expected of them with each exchange; others are asked for it on
// each new pipe.
func (s *Service) Asked() bool { return s.HealthPath != "" }

// hosts is the index of a configuration's routes.
type hosts map[string]map[string]string

func (c *Config) index() {
	c.byHost = hosts{}
	for n, r := range c.Routes {
		if c.byHost[r.Host] == nil {
			c.byHost[r.Host] = map[string]string{}
		}
		c.byHost[r.Host][r.Prefix] = n
	}
}

// Route finds the route for a host and path: the longest prefix among the host's
// routes, then among those for any host.
func (c *Config) Route(host, path string) (name string, r Route, ok bool) {
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

func bare(host string) string {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return host
}

// strict re-reads a parsed value into a struct with JSON tags; unknown fields are faults.
func (c *checker) strict(path string, in, out any) {
	b, err := json.Marshal(in)
	if err != nil {
		c.add(path, "%v", err)
		return
	}
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			c.add(join(path, te.Field), "is a %s, wants %s", te.Value, te.Type)
			return
		}
		if f, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			c.add(join(path, strings.Trim(f, `"`)), "unknown field")
			return
		}
		c.add(path, "%v", err)
	}
}

func (c *checker) routes(cfg *Config, v any) {
	m, ok := v.(map[string]any)
	if !ok {
		c.add("routes", "must be an object")
	}
	for _, n := range slices.Sorted(maps.Keys(m)) {
		at := join("routes", n)
		var r Route
		was := len(c.faults)
		c.strict(at, m[n], &r)
		c.name(at, n)
		if len(c.faults) == was {
			cfg.Routes[n] = r
		}
	}
}

// route checks one route; services are known by then.
func (c *checker) route(at string, r *Route, cfg *Config) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(at+".prefix", "must begin and end with /")
	}
	if strings.ContainsAny(r.Prefix, "?#* ") || strings.Contains(r.Prefix, "//") || strings.Contains(r.Prefix, "/.") {
		c.add(at+".prefix", "must be a plain path")
	}
	if strings.ContainsAny(r.Host, "/:* ") || r.Host != strings.ToLower(r.Host) {
		c.add(at+".host", "must be a lower-case host name without port, or empty for all")
	}
	if !slices.Contains([]string{Repeatable, Once, Download}, r.Kind) {
		c.add(at+".kind", "%s, %s or %s, not %q", Repeatable, Once, Download, r.Kind)
	}
	c.within(at+".timeout_ms", r.TimeoutMs, 1, limit.TimeoutMaxMs)
	c.within(at+".aim_ms", r.AimMs, 0, limit.TimeoutMaxMs)
	c.within(at+".attempts", r.Attempts, 1, 100)
	c.within(at+".priority", r.Priority, 0, 1000)
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

func (c *checker) checkRoutes(cfg *Config) {
	type place struct{ host, prefix string }
	at := map[place]string{}
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
		c.within("limits.header_bytes", l.HeaderBytes, 0, 1<<20)
		c.within("limits.body_bytes", l.BodyBytes, 0, 1<<40)
		c.within("limits.header_ms", l.HeaderMs, 0, limit.TimeoutMaxMs)
		c.within("limits.idle_ms", l.IdleMs, 0, limit.TimeoutMaxMs)
	}
}

// Named is a partial change by names: items to add or replace whole, and names to remove.
type Named struct {
	Revision uint64                                `json:"revision,omitempty"`
	Set      map[string]map[string]json.RawMessage `json:"set,omitempty"`
	Drop     map[string][]string                   `json:"drop,omitempty"`
}

// IsNamed says whether a partial change is one by names.
func IsNamed(patch []byte) bool {
	var probe struct{ Set, Drop json.RawMessage }
	return json.Unmarshal(patch, &probe) == nil && (probe.Set != nil || probe.Drop != nil)
}

// Apply makes the configuration that a partial change by names leads to. Names to
// remove that are not there are no fault: what is asked for holds already.
func (n *Named) Apply(doc []byte) ([]byte, []Fault, error) {
	parts := map[string]json.RawMessage{}
	if err := json.Unmarshal(doc, &parts); err != nil {
		return nil, nil, errors.Mark(err, ErrNotJSON)
	}
	var faults []Fault
	kinds := map[string]map[string]json.RawMessage{}
	part := func(k string) map[string]json.RawMessage {
		if kinds[k] == nil {
			m := map[string]json.RawMessage{}
			if raw, ok := parts[k]; ok && (json.Unmarshal(raw, &m) != nil || m == nil) {
				faults = append(faults, Fault{k, "is not a set of named items"})
				m = map[string]json.RawMessage{}
			}
			kinds[k] = m
		}
		return kinds[k]
	}
	for _, k := range slices.Sorted(maps.Keys(n.Drop)) {
		for _, name := range n.Drop[k] {
			delete(part(k), name)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(n.Set)) {
		maps.Copy(part(k), n.Set[k])
	}
	for k, m := range kinds {
		b, err := json.Marshal(m)
		if err != nil {
			return nil, nil, err
		}
		parts[k] = b
	}
	if n.Revision != 0 {
		parts["revision"] = json.RawMessage(fmt.Sprint(n.Revision))
	}
	out, err := json.Marshal(parts)
	return out, faults, err
}

// ParseNamed reads a partial change by names; anything that is not one is a fault.
func ParseNamed(patch []byte) (*Named, []Fault, error) {
	if err := object(patch); err != nil {
		return nil, nil, err
	}
	d := json.NewDecoder(strings.NewReader(string(patch)))
	d.DisallowUnknownFields()
	n := &Named{}
	if err := d.Decode(n); err != nil {
		return nil, []Fault{{"", err.Error()}}, nil
	}
	return n, nil, nil
}
