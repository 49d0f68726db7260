package config

import (
	"maps"
	"math"
	"slices"

	"myrtlefold/internal/shared/tuning"
)

// sections maps the top-level keys of a configuration to the functions that decode their values.
var sections = map[string]func(*checker, *Config, any){
	"revision": (*checker).readRevision,
	"services": (*checker).readServices,
	"rules":    (*checker).readRules,
	"routes":   (*checker).readRoutes,
	"limits":   (*checker).readLimits,
	"policies": (*checker).readPolicies,
	"aims":     (*checker).readObjectives,
}

// Parse parses and validates a configuration document: each section on its own, then the references between sections.
// It returns the configuration together with the faults; if there are any, the configuration must not be used. An
// error, marked ErrNotJSON, means that the document is not exactly one JSON object. checkPolicy returns the faults of a
// policy, with paths relative to the policy: see outlier.ParseConfig.
func Parse(doc []byte, checkPolicy func(Policy) []Fault) (*Config, []Fault, error) {
	raw, err := parseObject(doc)
	if err != nil {
		return nil, nil, err
	}
	check := &checker{checkPolicy: checkPolicy}
	cfg := &Config{
		Services:   map[string]Service{},
		Routes:     map[string]Route{},
		Policies:   map[string]Policy{},
		Objectives: map[string]Objective{},
	}
	for _, key := range slices.Sorted(maps.Keys(raw)) {
		read, known := sections[key]
		if !known {
			check.add(key, "unknown field")
			continue
		}
		read(check, cfg, raw[key])
	}
	check.checkObjectives(cfg)
	check.checkRules(cfg)
	check.checkRoutes(cfg)
	check.checkLimits(cfg)
	cfg.indexRoutes()
	return cfg, check.faults, nil
}

// Decode decodes a JSON object into the struct that out points to, by its koanf tags. Fields that are missing in the
// object keep their values. It returns every fault, unknown fields included. An error, marked ErrNotJSON, means that the
// document is not exactly one JSON object.
func Decode(doc []byte, out any) ([]Fault, error) {
	raw, err := parseWithKoanf(doc)
	if err != nil {
		return nil, err
	}
	c := &checker{}
	c.decode("", raw, out)
	return c.faults, nil
}

// readItems calls read for each item of a section, sorted by name.
func (c *checker) readItems(section string, v any, read func(at, name string, item any)) {
	m, ok := v.(map[string]any)
	if !ok {
		c.add(section, "must be an object")
	}
	for _, name := range slices.Sorted(maps.Keys(m)) {
		read(joinPath(section, name), name, m[name])
	}
}

func (c *checker) readRevision(cfg *Config, v any) {
	f, ok := v.(float64)
	if !ok || f < 1 || f != math.Trunc(f) || f > tuning.ExactIntegerMax {
		c.add("revision", "must be a whole number greater than 0")
		return
	}
	cfg.Revision = uint64(f)
}
