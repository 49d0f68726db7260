package config

import (
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
	"routes":   (*checker).readRoutes,
	"limits":   (*checker).readLimits,
	"policies": (*checker).readPolicies,
	"aims":     (*checker).readObjectives,
}

// Parse reads and checks a document: each section by itself, then what sections refer to in each other.
// The faults are returned beside the configuration, which must not be used if there are any. An error,
// marked ErrNotJSON, says that the document can't be read at all. checkPolicy returns the faults of one
// policy, with paths inside it: see outlier.ParseConfig.
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

// Decode reads a JSON object into the struct at out by its koanf tags; fields that the object does
// not have keep their values. It returns every fault by its path, unknown fields included. An error,
// marked ErrNotJSON, says that the document can't be read at all.
func Decode(doc []byte, out any) ([]Fault, error) {
	raw, err := parseWithKoanf(doc)
	if err != nil {
		return nil, err
	}
	c := &checker{}
	c.decode("", raw, out)
	return c.faults, nil
}

// items passes the items of a section to read, in order of their names.
func (c *checker) items(section string, v any, read func(at, name string, item any)) {
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
	if !ok || f < 1 || f != math.Trunc(f) || f > tuning.ExactMax {
		c.add("revision", "must be a whole number over 0")
		return
	}
	cfg.Revision = uint64(f)
}
