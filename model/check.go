// This file checks a document and collects its faults by their paths.

package model

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-viper/mapstructure/v2"
	kjson "github.com/knadh/koanf/parsers/json"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
)

type checker struct{ faults []Fault }

func (c *checker) add(path, format string, a ...any) {
	if path == "" { // the name itself is empty
		path = `""`
	}
	c.faults = append(c.faults, Fault{path, fmt.Sprintf(format, a...)})
}

func wholeNumbers(from, to reflect.Type, v any) (any, error) {
	if f, ok := v.(float64); ok && to.Kind() == reflect.Int && (f != math.Trunc(f) || math.Abs(f) > 1<<53) {
		return nil, errors.Newf("%v is not a whole number", f)
	}
	return v, nil
}

func (c *checker) decode(path string, in, out any) {
	d, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{Result: out, TagName: "koanf",
		DecodeHook: wholeNumbers, MatchName: func(a, b string) bool { return a == b }})
	if err != nil {
		panic(err)
	}
	if in == nil {
		c.add(path, "must not be null")
		return
	}
	c.explain(path, d.Decode(in))
	known := map[string]bool{}
	for t, i := reflect.TypeOf(out).Elem(), 0; i < t.NumField(); i++ {
		known[t.Field(i).Tag.Get("koanf")] = true
	}
	m, _ := in.(map[string]any)
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if !known[k] {
			c.add(join(path, k), "unknown field")
		}
	}
}

// Decode reads a JSON object into a struct with koanf tags, over what stands in
// it already, and lists every fault by its path.
func Decode(doc []byte, out any) ([]Fault, error) {
	if _, err := object(doc); err != nil {
		return nil, err
	}
	k := koanf.New("\x00")
	if err := k.Load(rawbytes.Provider(doc), kjson.Parser()); err != nil {
		return nil, errors.Mark(err, ErrNotJSON)
	}
	c := &checker{}
	c.decode("", k.Raw(), out)
	return c.faults, nil
}

func join(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "." + b
}

func (c *checker) explain(path string, err error) {
	if err == nil {
		return
	}
	var de *mapstructure.DecodeError
	switch m := err.(type) {
	case *mapstructure.DecodeError:
		c.add(join(path, m.Name()), "%v", m.Unwrap())
	case interface{ Unwrap() []error }:
		for _, e := range m.Unwrap() {
			c.explain(path, e)
		}
	default:
		if u := errors.Unwrap(err); u != nil && errors.As(err, &de) {
			c.explain(path, u)
			return
		}
		c.add(path, "%v", err)
	}
}

func (c *checker) name(path, n string) {
	if n == "" || len(n) > 64 || strings.ContainsFunc(n, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '_')
	}) {
		c.add(path, "a name is 1 to 64 of a-z, 0-9, - and _")
	}
}

func (c *checker) within(path string, v, lo, hi int) {
	if v < lo || v > hi {
		c.add(path, "%d is not between %d and %d", v, lo, hi)
	}
}

func (c *checker) service(path, n string, s Service) {
	c.name(path, n)
	c.within(path+".cap", s.Cap, 1, 100000)
	c.within(path+".warm_cap", s.WarmCap, 1, 100000)
	c.within(path+".in_flight", s.InFlight, 0, 1000000)
	c.within(path+".timeout_ms", s.TimeoutMs, 10, 600000)
	c.within(path+".wait_ms", s.WaitMs, 0, 60000)
	c.within(path+".wait_len", s.WaitLen, 0, 10000)
	c.within(path+".body_max", s.BodyMax, 0, 1<<30)
	c.within(path+".tries", s.Tries, 1, 10)
	c.within(path+".slow_ms", s.SlowMs, 0, 600000)
	if s.WarmCap > s.Cap {
		c.add(path+".warm_cap", "%d is over cap %d", s.WarmCap, s.Cap)
	}
	if s.HealthPath != "" && (!strings.HasPrefix(s.HealthPath, "/") || strings.ContainsAny(s.HealthPath, "?#* ")) {
		c.add(path+".health_path", "must be a plain path")
	}
	c.within(path+".conn_cap", s.ConnCap, 0, 1000000)
	if !(s.ColdS >= 0 && s.ColdS <= 3600) {
		c.add(path+".cold_s", "%v is not between 0 and 3600", s.ColdS)
	}
	if !(s.ColdPerS >= 0 && s.ColdPerS <= 1e6) {
		c.add(path+".cold_per_s", "%v is not between 0 and 1000000", s.ColdPerS)
	}
	if s.Proto != "" && s.Proto != "h1" || s.Tls {
		c.add(path+".proto", "targets are spoken to by h1 without TLS")
	}
	if (s.WaitMs > 0) != (s.WaitLen > 0) {
		c.add(path+".wait_ms", "wait_ms and wait_len go together")
	}
}

func (c *checker) rule(path string, r Rule, cfg *Config) {
	if !strings.HasPrefix(r.Path, "/") {
		c.add(path+".path", "must start with /")
	}
	if strings.ContainsAny(r.Path, "?#* ") || strings.Contains(r.Path, "//") || strings.Contains(r.Path, "/.") {
		c.add(path+".path", "must be a plain path")
	}
	if strings.ContainsAny(r.Host, "/:* ") || r.Host != strings.ToLower(r.Host) {
		c.add(path+".host", "must be a lower-case host name without port, or empty for all")
	}
	if _, ok := cfg.Services[r.Service]; !ok {
		c.add(path+".service", "no service %q", r.Service)
	}
	for i, m := range r.Methods {
		if !slices.Contains([]string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}, m) {
			c.add(fmt.Sprintf("%s.methods[%d]", path, i), "unknown method %q", m)
		}
	}
}
