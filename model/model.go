// Package model is the operator's configuration: services, routes, rules and
// policies, read from JSON and checked as a whole. A check lists every fault by
// its path, unknown fields included, so that nothing unread ever takes effect.
package model

import (
	"encoding/json"
	"fmt"
	"iter"
	"maps"
	"math"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/go-viper/mapstructure/v2"
	kjson "github.com/knadh/koanf/parsers/json"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"

	"myrtlefold/limit"
	"myrtlefold/wire"
)

type Service struct {
	Cap       int `koanf:"cap" json:"cap"`
	WarmCap   int `koanf:"warm_cap" json:"warm_cap"`
	InFlight  int `koanf:"in_flight" json:"in_flight,omitempty"`
	TimeoutMs int `koanf:"timeout_ms" json:"timeout_ms"`
	WaitMs    int `koanf:"wait_ms" json:"wait_ms,omitempty"`
	WaitLen   int `koanf:"wait_len" json:"wait_len,omitempty"`
	BodyMax   int `koanf:"body_max" json:"body_max"`
	Tries     int `koanf:"tries" json:"tries"`
	SlowMs    int `koanf:"slow_ms" json:"slow_ms,omitempty"`
	// HealthPath is where targets are asked for their health; "": the identity request instead.
	HealthPath string `koanf:"health_path" json:"health_path,omitempty"`
	// ConnCap is how many connections a target takes from all callers together, 0: not said.
	ConnCap int `koanf:"conn_cap" json:"conn_cap,omitempty"`
	// ColdS is how many seconds a target is cold after its start, ColdPerS the requests a second
	// that it bears meanwhile from all proxies together; 0: no such bound.
	ColdS    float64 `koanf:"cold_s" json:"cold_s,omitempty"`
	ColdPerS float64 `koanf:"cold_per_s" json:"cold_per_s,omitempty"`
	// Proto and Tls are how targets are spoken to: h1 without TLS is what there is.
	Proto string `koanf:"proto" json:"proto,omitempty"`
	Tls   bool   `koanf:"tls" json:"tls,omitempty"`
}

type Rule struct {
	Host    string   `koanf:"host" json:"host,omitempty"`
	Path    string   `koanf:"path" json:"path"`
	Methods []string `koanf:"methods" json:"methods,omitempty"`
	Service string   `koanf:"service" json:"service"`
}

// Policy is an operator's small judge over one slice of what is known.
type Policy struct {
	Slice  string `koanf:"slice" json:"slice"`
	When   string `koanf:"when" json:"when"`
	Clear  string `koanf:"clear" json:"clear,omitempty"`
	Decide string `koanf:"decide" json:"decide"`
	TtlMs  int    `koanf:"ttl_ms" json:"ttl_ms,omitempty"`
	Mode   string `koanf:"mode" json:"mode,omitempty"`
	Note   string `koanf:"note" json:"note,omitempty"`
}

// DefaultPolicy is the name of the policy that holds the given design; a
// configuration that does not name it has it all the same.
const DefaultPolicy = "default"

// Default is the given design: two misses in a row ejection, an answer clears.
func Default() Policy {
	return Policy{Slice: "probe", When: fmt.Sprintf("misses_in_row >= %d", limit.ProbeMisses), Clear: "ok_in_row >= 1",
		Decide: "bar", TtlMs: int(limit.EjectionTTL.Milliseconds()), Mode: "live", Note: "two missed probes in a row"}
}

// Aim is a service-level aim: of a service's requests in the window, this part
// is to be answered below 500 within under_ms. Refusals count against it.
type Aim struct {
	Service   string  `koanf:"service" json:"service"`
	Part      float64 `koanf:"part" json:"part"`
	UnderMs   int     `koanf:"under_ms" json:"under_ms,omitempty"`
	WindowMin int     `koanf:"window_min" json:"window_min"`
}

type Config struct {
	// Revision is the operator's own number for the document, 0: the next one.
	Revision uint64             `json:"revision,omitempty"`
	Services map[string]Service `json:"services"`
	Rules    []Rule             `json:"rules"`
	Routes   map[string]Route   `json:"routes,omitempty"`
	Limits   *Limits            `json:"limits,omitempty"`
	Policies map[string]Policy  `json:"policies,omitempty"`
	Aims     map[string]Aim     `json:"aims,omitempty"`
	byHost   hosts
}

type Fault struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// ErrNotJSON marks a document that cannot be read at all.
var ErrNotJSON = errors.New("not a JSON object")

// All yields the policies in force by name, the default one included.
func (c *Config) All() iter.Seq2[string, Policy] {
	ps := maps.Clone(c.Policies)
	if ps == nil {
		ps = map[string]Policy{}
	}
	if _, ok := ps[DefaultPolicy]; !ok {
		ps[DefaultPolicy] = Default()
	}
	return func(yield func(string, Policy) bool) {
		for _, n := range slices.Sorted(maps.Keys(ps)) {
			if !yield(n, ps[n]) {
				return
			}
		}
	}
}

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

// Merge applies an RFC 7396 merge patch.
func Merge(doc, patch []byte) ([]byte, error) {
	if _, err := object(patch); err != nil {
		return nil, err
	}
	out, err := jsonpatch.MergePatch(doc, patch)
	return out, errors.Mark(err, ErrNotJSON)
}

// Match finds the rule for a request: an exact host before any host, then the
// longest path, whose end must fall on a segment. Allowed lists the methods
// of that path when only the method is wrong.
func (c *Config) Match(host, path, method string) (svc string, allowed []string, ok bool) {
	host = bare(host)
	best := -1
	for _, r := range c.Rules {
		if r.Host != "" && r.Host != host || !under(r.Path, path) {
			continue
		}
		rank := len(r.Path) * 2
		if r.Host != "" {
			rank += 1 << 20
		}
		if rank < best {
			continue
		}
		if rank > best {
			best, svc, allowed, ok = rank, "", nil, false
		}
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			svc, ok = r.Service, true
		}
		allowed = append(allowed, r.Methods...)
	}
	return svc, allowed, ok
}

func under(rule, path string) bool {
	if !strings.HasPrefix(path, rule) {
		return false
	}
	return len(path) == len(rule) || strings.HasSuffix(rule, "/") || path[len(rule)] == '/'
}

// IdentityPath is where a back end says who it is, how it is and what it bears.
const IdentityPath = "/.myrtlefold/identity"

// States of a back end, in the only order in which they follow each other.
const (
	Warming = "warming"
	Ready   = "ready"
	Leaving = "leaving"
	Gone    = "gone"
)

// Beat is what a back end says of itself, in beats and at IdentityPath.
type Beat struct {
	Service     string   `json:"service"`
	Name        string   `json:"name"`
	Incarnation uint64   `json:"incarnation"`
	Address     string   `json:"address,omitempty"`
	Domain      string   `json:"domain,omitempty"`
	State       string   `json:"state"`
	Demand      *float64 `json:"demand,omitempty"`
	// Slots are the requests that it works on at once, 0: not said. ColdLeftMs is how much longer
	// it bears only its service's cold rate. Number rises with each word, 0: not numbered.
	Slots      int64  `json:"slots,omitempty"`
	ColdLeftMs int64  `json:"cold_left_ms,omitempty"`
	Number     uint64 `json:"number,omitempty"`
}

// ID is who speaks.
func (b *Beat) ID() wire.ID {
	return wire.ID{Service: b.Service, Name: b.Name, Inc: b.Incarnation}
}

// Target checks a beat and gives it the form that travels.
func (b *Beat) Target() (wire.Target, []Fault) {
	c := &checker{}
	c.name("service", b.Service)
	c.name("name", b.Name)
	if b.Incarnation == 0 {
		c.add("incarnation", "must be over 0 and grow with each start")
	}
	if ap, err := netip.ParseAddrPort(b.Address); err != nil || ap.Port() == 0 {
		c.add("address", "must be IP:port")
	}
	if !slices.Contains([]string{Warming, Ready, Leaving, Gone}, b.State) {
		c.add("state", "warming, ready, leaving or gone, not %q", b.State)
	}
	if len(b.Domain) > limit.NameMax {
		c.add("domain", "at most %d bytes", limit.NameMax)
	}
	if b.Slots < 0 || b.Slots > limit.SlotsMax {
		c.add("slots", "%d is not between 0 and %d", b.Slots, limit.SlotsMax)
	}
	if most := limit.ColdMax.Milliseconds(); b.ColdLeftMs < 0 || b.ColdLeftMs > most {
		c.add("cold_left_ms", "%d is not between 0 and %d", b.ColdLeftMs, most)
	}
	t := wire.Target{Service: b.Service, Name: b.Name, Inc: b.Incarnation, Addr: b.Address, Domain: b.Domain, State: b.State,
		Slots: uint32(b.Slots), ColdLeft: b.ColdLeftMs * int64(time.Millisecond), Number: b.Number}
	if b.Demand != nil {
		if *b.Demand < 0 || math.IsNaN(*b.Demand) || math.IsInf(*b.Demand, 0) {
			c.add("demand", "must be 0 or more")
		}
		t.Demand, t.HasDemand = *b.Demand, true
	}
	return t, c.faults
}

// ParseBeat reads a beat's body; fields that it does not know may say more.
func ParseBeat(body []byte) (wire.Target, []Fault) {
	b, faults := readBeat(body, Beat{})
	if len(faults) > 0 {
		return wire.Target{}, faults
	}
	return b.Target()
}

// ParseNamedBeat reads a word whose name stands in the path of its call. Names in this
// form are used once, so a word needs no incarnation.
func ParseNamedBeat(name string, body []byte) (wire.Target, []Fault) {
	b, faults := readBeat(body, Beat{Incarnation: 1})
	if len(faults) > 0 {
		return wire.Target{}, faults
	}
	b.Name = name
	return b.Target()
}

func readBeat(body []byte, b Beat) (Beat, []Fault) {
	if err := json.Unmarshal(body, &b); err != nil {
		at := ""
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			at = te.Field
		}
		return b, []Fault{{at, err.Error()}}
	}
	return b, nil
}

// Trouble is the one shape of every error that a daemon answers with. Ran says
// whether the request reached a back end: no, or unknown.
type Trouble struct {
	Code     string  `json:"code"`
	Refusal  Refusal `json:"refusal,omitempty"` // set on the operators' interface
	Message  string  `json:"message"`
	Ran      string  `json:"ran"`
	Faults   []Fault `json:"faults,omitempty"`
	Revision uint64  `json:"revision,omitempty"`
	Id       string  `json:"id,omitempty"`
}

// JSON wraps t as the body of an answer.
func (t Trouble) JSON() []byte {
	if t.Ran == "" {
		t.Ran = "no"
	}
	b, _ := json.Marshal(struct {
		Error Trouble `json:"error"`
	}{t})
	return append(b, '\n')
}
