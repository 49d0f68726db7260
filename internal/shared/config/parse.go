// This file reads a configuration from JSON, section by section, and then checks what sections
// say of each other.

package config

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"myrtlefold/internal/shared/tuning"
)

// sections are the keys of a configuration, each with what reads its value.
var sections = map[string]func(*checker, *Config, any){
	"revision": (*checker).readRevision,
	"services": (*checker).readServices,
	"rules":    (*checker).readRules,
	"routes":   (*checker).routes,
	"limits":   (*checker).readLimits,
	"policies": (*checker).readPolicies,
	"aims":     (*checker).readAims,
}

// Parse reads and checks a document. What is wrong with it is returned as faults by their paths,
// beside the configuration; an error, marked ErrNotJSON, says that it cannot be read at all.
// checkPolicy checks a policy, with paths inside it: package outlier knows how.
func Parse(doc []byte, checkPolicy func(Policy) []Fault) (*Config, []Fault, error) {
	raw, err := object(doc)
	if err != nil {
		return nil, nil, err
	}
	c := &checker{checkPolicy: checkPolicy}
	cfg := &Config{Services: map[string]Service{}, Routes: map[string]Route{}, Policies: map[string]Policy{}, Objectives: map[string]Objective{}}
	for _, key := range slices.Sorted(maps.Keys(raw)) {
		read, known := sections[key]
		if !known {
			c.add(key, "unknown field")
			continue
		}
		read(c, cfg, raw[key])
	}
	c.checkAims(cfg)
	c.checkRules(cfg)
	c.checkRoutes(cfg)
	cfg.index()
	return cfg, c.faults, nil
}

// items passes the items of a section to read, in order of their names.
func (c *checker) items(section string, v any, read func(at, name string, item any)) {
	m, ok := v.(map[string]any)
	if !ok {
		c.add(section, "must be an object")
	}
	for _, name := range slices.Sorted(maps.Keys(m)) {
		read(join(section, name), name, m[name])
	}
}

func (c *checker) readRevision(cfg *Config, v any) {
	f, ok := v.(float64)
	if !ok || f < 1 || f != math.Trunc(f) || f > tuning.ExactMax {
		c.add("revision", "must be a whole number over 0")
		return
	}
	cfg.Revision = uint64(f)
}

func (c *checker) readServices(cfg *Config, v any) {
	c.items("services", v, func(at, name string, item any) {
		s := Service{Cap: tuning.CapDefault, WarmCap: tuning.WarmCapDefault, TimeoutMs: tuning.TimeoutDefaultMs, BodyMax: tuning.BodyMaxDefault, Attempts: tuning.AttemptsDefault}
		c.decode(at, item, &s)
		c.service(at, name, s)
		cfg.Services[name] = s
	})
}

func (c *checker) readRules(cfg *Config, v any) {
	l, ok := v.([]any)
	if !ok {
		c.add("rules", "must be a list")
	}
	for i, item := range l {
		var r Rule
		c.decode(rulePath(i), item, &r)
		cfg.Rules = append(cfg.Rules, r)
	}
}

func rulePath(i int) string { return fmt.Sprintf("rules[%d]", i) }

func (c *checker) readLimits(cfg *Config, v any) {
	cfg.Limits = &Limits{}
	c.limits("limits", v, cfg.Limits)
}

func (c *checker) readPolicies(cfg *Config, v any) {
	if m, ok := v.(map[string]any); ok && len(m) > tuning.PoliciesMax {
		c.add("policies", "%d policies, at most %d", len(m), tuning.PoliciesMax)
	}
	c.items("policies", v, func(at, name string, item any) {
		p := Policy{Mode: ModeLive}
		before := len(c.faults)
		c.decode(at, item, &p)
		if len(c.faults) == before {
			for _, f := range c.checkPolicy(p) {
				c.add(join(at, f.Path), "%s", f.Text)
			}
		}
		c.name(at, name)
		cfg.Policies[name] = p
	})
}

func (c *checker) readAims(cfg *Config, v any) {
	c.items("aims", v, func(at, name string, item any) {
		a := Objective{WindowMinutes: tuning.ObjectiveMinutes}
		c.decode(at, item, &a)
		c.name(at, name)
		cfg.Objectives[name] = a
	})
}

// checkAims checks the aims; the services are known by then.
func (c *checker) checkAims(cfg *Config) {
	for _, name := range slices.Sorted(maps.Keys(cfg.Objectives)) {
		a, at := cfg.Objectives[name], join("aims", name)
		if _, ok := cfg.Services[a.Service]; !ok {
			c.add(at+".service", "no service %q", a.Service)
		}
		if !(a.SuccessRatio > 0 && a.SuccessRatio < 1) {
			c.add(at+".part", "%v is not between 0 and 1", a.SuccessRatio)
		}
		c.within(at+".under_ms", a.LatencyTargetMs, 0, tuning.TimeoutMaxMs)
		c.within(at+".window_min", a.WindowMinutes, 1, tuning.ObjectiveMinutes)
	}
}

// checkRules checks each rule, and that no two take the same requests.
func (c *checker) checkRules(cfg *Config) {
	for i, r := range cfg.Rules {
		c.rule(rulePath(i), r, cfg)
	}
	for i, r := range cfg.Rules {
		for j, earlier := range cfg.Rules[:i] {
			if r.overlaps(earlier) {
				c.add(rulePath(i), "same host, path and method as %s", rulePath(j))
			}
		}
	}
}

// overlaps reports whether the rules have host, path and at least one method in common.
func (r Rule) overlaps(o Rule) bool {
	if r.Host != o.Host || r.Path != o.Path {
		return false
	}
	if len(r.Methods) == 0 || len(o.Methods) == 0 {
		return true
	}
	return slices.ContainsFunc(r.Methods, func(m string) bool { return slices.Contains(o.Methods, m) })
}
