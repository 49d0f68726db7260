// This file reads a configuration from JSON, section by section, and then checks what sections
// say of each other.

package model

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"myrtlefold/limit"
)

// Parse reads and checks a document. Faults are outcomes: err is only for what
// cannot be read at all. checkPolicy is the judge's own check.
func Parse(doc []byte, checkPolicy func(Policy) []Fault) (*Config, []Fault, error) {
	raw, err := object(doc)
	if err != nil {
		return nil, nil, err
	}
	c := &checker{}
	cfg := &Config{Services: map[string]Service{}, Routes: map[string]Route{}, Policies: map[string]Policy{}, Aims: map[string]Aim{}}
	for _, key := range slices.Sorted(maps.Keys(raw)) {
		switch v := raw[key]; key {
		case "services":
			m, ok := v.(map[string]any)
			if !ok {
				c.add(key, "must be an object")
			}
			for _, n := range slices.Sorted(maps.Keys(m)) {
				s := Service{Cap: limit.CapDefault, WarmCap: limit.WarmDefault, TimeoutMs: limit.TimeoutMs, BodyMax: limit.BodyMax, Tries: limit.TriesMax}
				c.decode(join(key, n), m[n], &s)
				c.service(join(key, n), n, s)
				cfg.Services[n] = s
			}
		case "revision":
			if f, ok := v.(float64); !ok || f < 1 || f != math.Trunc(f) || f > 1<<53 {
				c.add(key, "must be a whole number over 0")
			} else {
				cfg.Revision = uint64(f)
			}
		case "routes":
			c.routes(cfg, v)
		case "limits":
			cfg.Limits = &Limits{}
			c.limits(key, v, cfg.Limits)
		case "rules":
			l, ok := v.([]any)
			if !ok {
				c.add(key, "must be a list")
			}
			for i, e := range l {
				var r Rule
				c.decode(fmt.Sprintf("rules[%d]", i), e, &r)
				cfg.Rules = append(cfg.Rules, r)
			}
		case "policies":
			m, ok := v.(map[string]any)
			if !ok {
				c.add(key, "must be an object")
			}
			if len(m) > limit.PolicyMax {
				c.add(key, "%d policies, at most %d", len(m), limit.PolicyMax)
			}
			for _, n := range slices.Sorted(maps.Keys(m)) {
				p := Policy{Mode: "live"}
				at := join(key, n)
				was := len(c.faults)
				c.decode(at, m[n], &p)
				if len(c.faults) == was {
					for _, f := range checkPolicy(p) {
						c.add(join(at, f.Path), "%s", f.Text)
					}
				}
				c.name(at, n)
				cfg.Policies[n] = p
			}
		case "aims":
			m, ok := v.(map[string]any)
			if !ok {
				c.add(key, "must be an object")
			}
			for _, n := range slices.Sorted(maps.Keys(m)) {
				a := Aim{WindowMin: limit.AimMinutes}
				c.decode(join(key, n), m[n], &a)
				c.name(join(key, n), n)
				cfg.Aims[n] = a
			}
		default:
			c.add(key, "unknown field")
		}
	}
	for _, n := range slices.Sorted(maps.Keys(cfg.Aims)) {
		a, at := cfg.Aims[n], join("aims", n)
		if _, ok := cfg.Services[a.Service]; !ok {
			c.add(at+".service", "no service %q", a.Service)
		}
		if !(a.Part > 0 && a.Part < 1) {
			c.add(at+".part", "%v is not between 0 and 1", a.Part)
		}
		c.within(at+".under_ms", a.UnderMs, 0, 600000)
		c.within(at+".window_min", a.WindowMin, 1, limit.AimMinutes)
	}
	for i, r := range cfg.Rules {
		c.rule(fmt.Sprintf("rules[%d]", i), r, cfg)
	}
	for i, r := range cfg.Rules {
		for j, o := range cfg.Rules[:i] {
			if r.Host == o.Host && r.Path == o.Path && (len(r.Methods) == 0 || len(o.Methods) == 0 ||
				slices.ContainsFunc(r.Methods, func(m string) bool { return slices.Contains(o.Methods, m) })) {
				c.add(fmt.Sprintf("rules[%d]", i), "same host, path and method as rules[%d]", j)
			}
		}
	}
	c.checkRoutes(cfg)
	cfg.index()
	return cfg, c.faults, nil
}
