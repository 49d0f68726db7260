// Package model is the operator's configuration: services, routes, rules and
// policies, read from JSON and checked as a whole. A check lists every fault by
// its path, unknown fields included, so that nothing unread ever takes effect.
package model

import (
	"fmt"
	"iter"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"myrtlefold/limit"
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

// Merge applies an RFC 7396 merge patch.
func Merge(doc, patch []byte) ([]byte, error) {
	if _, err := object(patch); err != nil {
		return nil, err
	}
	out, err := jsonpatch.MergePatch(doc, patch)
	return out, errors.Mark(err, ErrNotJSON)
}
