// This file checks a document and collects its faults by their paths.

package config

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

	"myrtlefold/internal/shared/tuning"
)

// checker collects the faults of a document.
type checker struct {
	faults      []Fault
	checkPolicy func(Policy) []Fault // how package outlier checks one; only Parse needs it
}

func (c *checker) add(path, format string, a ...any) {
	if path == "" { // the name itself is empty
		path = `""`
	}
	c.faults = append(c.faults, Fault{path, fmt.Sprintf(format, a...)})
}

// wholeNumbers is a hook that refuses fractions where the field is an int.
func wholeNumbers(_, to reflect.Type, v any) (any, error) {
	if f, ok := v.(float64); ok && to.Kind() == reflect.Int && (f != math.Trunc(f) || math.Abs(f) > tuning.ExactMax) {
		return nil, errors.Newf("%v is not a whole number", f)
	}
	return v, nil
}

// decode reads a parsed value into the struct at out, and adds a fault for each unknown field.
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

// Decode reads a JSON object into the struct at out by its koanf tags; fields that the object does
// not have keep their values. It returns every fault by its path. An error marked ErrNotJSON says
// that the document cannot be read at all.
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

// join puts together two parts of a path, either of which may be empty.
func join(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "." + b
}

// explain adds a fault for each of the errors that the decoder has joined.
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

// name checks the name of an item.
func (c *checker) name(path, n string) {
	if n == "" || len(n) > tuning.ItemNameMax || strings.ContainsFunc(n, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '_')
	}) {
		c.add(path, "a name is 1 to %d of a-z, 0-9, - and _", tuning.ItemNameMax)
	}
}

// within checks that v is between lo and hi, both included.
func (c *checker) within(path string, v, lo, hi int) {
	if v < lo || v > hi {
		c.add(path, "%d is not between %d and %d", v, lo, hi)
	}
}

// service checks a service by itself.
func (c *checker) service(path, n string, s Service) {
	c.name(path, n)
	c.within(path+".cap", s.Cap, 1, tuning.CapMax)
	c.within(path+".warm_cap", s.WarmCap, 1, tuning.CapMax)
	c.within(path+".in_flight", s.MaxInFlight, 0, tuning.InFlightMax)
	c.within(path+".timeout_ms", s.TimeoutMs, tuning.TimeoutMinMs, tuning.TimeoutMaxMs)
	c.within(path+".wait_ms", s.QueueTimeoutMs, 0, tuning.QueueTimeoutMaxMs)
	c.within(path+".wait_len", s.QueueLength, 0, tuning.QueueLengthMax)
	c.within(path+".body_max", s.BodyMax, 0, tuning.ServiceBodyMax)
	c.within(path+".tries", s.Attempts, 1, tuning.ServiceAttemptsMax)
	c.within(path+".slow_ms", s.SlowMs, 0, tuning.TimeoutMaxMs)
	if s.WarmCap > s.Cap {
		c.add(path+".warm_cap", "%d is over cap %d", s.WarmCap, s.Cap)
	}
	if s.HealthPath != "" && (!strings.HasPrefix(s.HealthPath, "/") || strings.ContainsAny(s.HealthPath, "?#* ")) {
		c.add(path+".health_path", "must be a plain path")
	}
	c.within(path+".conn_cap", s.ConnCap, 0, tuning.ConnCapMax)
	if !(s.WarmupSeconds >= 0 && s.WarmupSeconds <= tuning.WarmupMax.Seconds()) {
		c.add(path+".cold_s", "%v is not between 0 and %v", s.WarmupSeconds, tuning.WarmupMax.Seconds())
	}
	if !(s.WarmupRate >= 0 && s.WarmupRate <= tuning.WarmupRateMax) {
		c.add(path+".cold_per_s", "%v is not between 0 and %d", s.WarmupRate, int(tuning.WarmupRateMax))
	}
	if s.Proto != "" && s.Proto != "h1" || s.TLS {
		c.add(path+".proto", "targets are spoken to by h1 without TLS")
	}
	if (s.QueueTimeoutMs > 0) != (s.QueueLength > 0) {
		c.add(path+".wait_ms", "wait_ms and wait_len go together")
	}
}

// Texts of faults that rules and routes have in common.
const (
	notPlainPath = "must be a plain path"
	notHost      = "must be a lower-case host name without port, or empty for all"
)

// isPlainPath reports whether a path is without queries, wildcards, and parts that have other forms.
func isPlainPath(path string) bool {
	return !strings.ContainsAny(path, "?#* ") && !strings.Contains(path, "//") && !strings.Contains(path, "/.")
}

// isHost reports whether a rule or route may be for that host.
func isHost(host string) bool {
	return !strings.ContainsAny(host, "/:* ") && host == strings.ToLower(host)
}

// rule checks a rule; the services are known by then.
func (c *checker) rule(path string, r Rule, cfg *Config) {
	if !strings.HasPrefix(r.Path, "/") {
		c.add(path+".path", "must start with /")
	}
	if !isPlainPath(r.Path) {
		c.add(path+".path", notPlainPath)
	}
	if !isHost(r.Host) {
		c.add(path+".host", notHost)
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
