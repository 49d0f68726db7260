// This file is routes: requests chosen by host and longest prefix, each with what
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

// Kinds of routes: what a request on one may be subjected to.
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

// Route is what holds for requests under a host and prefix. Times are in ms.
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

// Repeats says whether a request of the route may run more than once.
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
// identity that is expected of them with each request; others are asked for it on
// each new connection.
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
	case f != math.Trunc(f) || math.Abs(f) > 1<<53:
		c.add(join(path, field), "%v is not a whole number", f)
	default:
		*to = int(f)
	}
}

// members gives an object's fields to take, in no order; those that it refuses are
// unknown. Faults come by place.
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

func (c *checker) readRoute(at string, v any, r *Route) {
	c.members(at, v, func(k string, v any) bool {
		switch k {
		case "host":
			c.text(at, k, v, &r.Host)
		case "prefix":
			c.text(at, k, v, &r.Prefix)
		case "kind":
			c.text(at, k, v, &r.Kind)
		case "timeout_ms":
			c.whole(at, k, v, &r.TimeoutMs)
		case "aim_ms":
			c.whole(at, k, v, &r.AimMs)
		case "priority":
			c.whole(at, k, v, &r.Priority)
		case "attempts":
			c.whole(at, k, v, &r.Attempts)
		case "service":
			c.text(at, k, v, &r.Service)
		case "split":
			l, ok := v.([]any)
			if !ok {
				c.add(join(at, k), "is a %s, wants array", kindOf(v))
			}
			for i, e := range l {
				var s Share
				part := fmt.Sprintf("%s.split[%d]", at, i)
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
				r.Split = append(r.Split, s)
			}
		default:
			return false
		}
		return true
	})
}

// bound is within for a field, whose place is put together only if it is wrong.
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
	if strings.ContainsAny(r.Prefix, "?#* ") || strings.Contains(r.Prefix, "//") || strings.Contains(r.Prefix, "/.") {
		c.add(at+".prefix", "must be a plain path")
	}
	if strings.ContainsAny(r.Host, "/:* ") || r.Host != strings.ToLower(r.Host) {
		c.add(at+".host", "must be a lower-case host name without port, or empty for all")
	}
	if !slices.Contains([]string{Repeatable, Once, Download}, r.Kind) {
		c.add(at+".kind", "%s, %s or %s, not %q", Repeatable, Once, Download, r.Kind)
	}
	c.bound(at, "timeout_ms", r.TimeoutMs, 1, limit.TimeoutMaxMs)
	c.bound(at, "aim_ms", r.AimMs, 0, limit.TimeoutMaxMs)
	c.bound(at, "attempts", r.Attempts, 1, 100)
	c.bound(at, "priority", r.Priority, 0, 1000)
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
	delete(parts, "revision") // the earlier document's own
	if n.Revision != 0 {
		parts["revision"] = json.RawMessage(fmt.Sprint(n.Revision))
	}
	out, err := json.Marshal(parts)
	return out, faults, err
}

// ParseNamed reads a partial change by names; anything that is not one is a fault.
func ParseNamed(patch []byte) (*Named, []Fault, error) {
	if _, err := object(patch); err != nil {
		return nil, nil, err
	}
	c, n := &checker{}, &Named{}
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(patch, &parts); err != nil {
		return nil, nil, errors.Mark(err, ErrNotJSON)
	}
	read := func(at string, raw []byte, out any, wants string) {
		if err := json.Unmarshal(raw, out); err != nil || string(raw) == "null" {
			c.add(at, "must be %s", wants)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(parts)) {
		switch k {
		case "revision":
			if read(k, parts[k], &n.Revision, "a whole number over 0"); len(c.faults) == 0 && n.Revision == 0 {
				c.add(k, "must be a whole number over 0")
			}
		case "set":
			var kinds map[string]json.RawMessage
			read(k, parts[k], &kinds, "an object of kinds")
			n.Set = map[string]map[string]json.RawMessage{}
			for _, kind := range slices.Sorted(maps.Keys(kinds)) {
				var items map[string]json.RawMessage
				read(join(k, kind), kinds[kind], &items, "an object of named items")
				n.Set[kind] = items
			}
		case "drop":
			var kinds map[string]json.RawMessage
			read(k, parts[k], &kinds, "an object of kinds")
			n.Drop = map[string][]string{}
			for _, kind := range slices.Sorted(maps.Keys(kinds)) {
				var names []string
				read(join(k, kind), kinds[kind], &names, "a list of names")
				n.Drop[kind] = names
			}
		default:
			c.add(k, "unknown field")
		}
	}
	return n, c.faults, nil
}

// Unnumbered is a document without its own revision, for one that is made from another.
func Unnumbered(doc []byte) ([]byte, error) {
	return renumber(doc, func(parts map[string]json.RawMessage) { delete(parts, "revision") })
}

// Numbered is a document with a revision inside: its own, or else rev.
func Numbered(doc []byte, rev uint64) ([]byte, error) {
	return renumber(doc, func(parts map[string]json.RawMessage) {
		if parts["revision"] == nil {
			parts["revision"] = json.RawMessage(fmt.Sprint(rev))
		}
	})
}

func renumber(doc []byte, change func(map[string]json.RawMessage)) ([]byte, error) {
	parts := map[string]json.RawMessage{}
	if err := json.Unmarshal(doc, &parts); err != nil {
		return nil, errors.Mark(err, ErrNotJSON)
	}
	n, was := len(parts), parts["revision"]
	change(parts)
	if len(parts) == n && string(was) == string(parts["revision"]) {
		return doc, nil
	}
	return json.Marshal(parts)
}
