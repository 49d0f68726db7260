// Package config is the operator's configuration: services, routes, rules and
// policies, read from JSON and checked as a whole. A check lists every fault by
// its path, unknown fields included, so that nothing unread ever takes effect.
// It also has the other texts that daemons take from and give to their users:
// heartbeats of back ends and the body of an error answer.
package config

import (
	"fmt"
	"iter"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"myrtlefold/internal/shared/tuning"
)

// Service is what holds for a group of interchangeable targets. Fields that end in Ms are
// milliseconds, those in S seconds.
type Service struct {
	// Cap is how many requests may be in flight to a target over all proxies, WarmCap the same for
	// one that is warming up, InFlight the most in flight to the service at one proxy, 0: not bounded.
	Cap         int `koanf:"cap" json:"cap"`
	WarmCap     int `koanf:"warm_cap" json:"warm_cap"`
	MaxInFlight int `koanf:"in_flight" json:"in_flight,omitempty"`
	// TimeoutMs is a request's deadline.
	TimeoutMs int `koanf:"timeout_ms" json:"timeout_ms"`
	// QueueTimeoutMs and WaitLen are how long, and how many, requests may wait for a target; 0: none waits.
	QueueTimeoutMs int `koanf:"wait_ms" json:"wait_ms,omitempty"`
	QueueLength    int `koanf:"wait_len" json:"wait_len,omitempty"`
	// BodyMax bounds a request's body in bytes.
	BodyMax int `koanf:"body_max" json:"body_max"`
	// Tries is how often a request that may be repeated is sent in all.
	Attempts int `koanf:"tries" json:"tries"`
	// SlowMs is from when on an answer counts as slow for the policies; 0: none does.
	SlowMs int `koanf:"slow_ms" json:"slow_ms,omitempty"`
	// HealthPath is where targets are asked for their health; "": the identity request instead.
	HealthPath string `koanf:"health_path" json:"health_path,omitempty"`
	// ConnCap is how many connections a target takes from all callers together, 0: not said.
	ConnCap int `koanf:"conn_cap" json:"conn_cap,omitempty"`
	// WarmupSeconds is how many seconds a target is cold after its start, ColdPerS the requests a second
	// that it bears meanwhile from all proxies together; 0: no such bound.
	WarmupSeconds float64 `koanf:"cold_s" json:"cold_s,omitempty"`
	WarmupRate    float64 `koanf:"cold_per_s" json:"cold_per_s,omitempty"`
	// Proto and Tls are how targets are spoken to: h1 without TLS is what there is.
	Proto string `koanf:"proto" json:"proto,omitempty"`
	TLS   bool   `koanf:"tls" json:"tls,omitempty"`
}

// Rule sends requests by host, path and method to one service. A path takes all paths below it.
type Rule struct {
	Host    string   `koanf:"host" json:"host,omitempty"` // "": any
	Path    string   `koanf:"path" json:"path"`
	Methods []string `koanf:"methods" json:"methods,omitempty"` // none: any
	Service string   `koanf:"service" json:"service"`
}

// Slice is a part of what is known of a target, of which a policy sees one. The texts stand in
// configurations, recordings and streams of events.
type Slice string

// The slices.
const (
	SliceProbe     Slice = "probe"    // answers to health probes
	SliceHeartbeat Slice = "beat"     // the target's heartbeats
	SliceRequest   Slice = "exchange" // outcomes of callers' requests
	SliceDemand    Slice = "demand"   // what the target says of its load
)

// DecisionKind is what a decision of a policy does. The texts stand in configurations and streams.
type DecisionKind string

// Decisions that a policy may make.
const (
	DecideEject DecisionKind = "bar"  // ejection: no requests, until a time to live has passed
	DecideDrain DecisionKind = "hold" // draining: no new requests, until a condition clears it
)

// PolicyMode says whether a policy is evaluated and its decisions take effect. The texts stand in configurations.
type PolicyMode string

// Modes of a policy.
const (
	ModeLive   PolicyMode = "live"   // its decisions take effect
	ModeShadow PolicyMode = "shadow" // it decides and is scored, without effect
	ModeOff    PolicyMode = "off"    // it is not evaluated
)

// Policy is an operator's health policy: one condition over one slice of what is known of a
// target, and one decision. Conditions are written in the language of package expr.
type Policy struct {
	Slice  Slice        `koanf:"slice" json:"slice"`
	When   string       `koanf:"when" json:"when"`
	Clear  string       `koanf:"clear" json:"clear,omitempty"` // ends the decision before its time
	Decide DecisionKind `koanf:"decide" json:"decide"`
	TTLMs  int          `koanf:"ttl_ms" json:"ttl_ms,omitempty"` // of an ejection, in ms
	Mode   PolicyMode   `koanf:"mode" json:"mode,omitempty"`
	Note   string       `koanf:"note" json:"note,omitempty"` // for people
}

// DefaultPolicyName is the name of the policy that holds the given design; a
// configuration that does not name it has it all the same.
const DefaultPolicyName = "default"

// DefaultPolicy returns the policy of the given design: two missed probes in a row eject a target for
// tuning.EjectionTTL, an answer clears it.
func DefaultPolicy() Policy {
	return Policy{Slice: SliceProbe, When: fmt.Sprintf("misses_in_row >= %d", tuning.ProbeMisses), Clear: "ok_in_row >= 1",
		Decide: DecideEject, TTLMs: int(tuning.EjectionTTL.Milliseconds()), Mode: ModeLive, Note: "two missed probes in a row"}
}

// Objective is a service-level objective: of a service's requests in the window of WindowMin minutes, this
// part (between 0 and 1) is to be answered with a status below 500 within UnderMs (0: in any time).
// Refusals count against it.
type Objective struct {
	Service         string  `koanf:"service" json:"service"`
	SuccessRatio    float64 `koanf:"part" json:"part"`
	LatencyTargetMs int     `koanf:"under_ms" json:"under_ms,omitempty"`
	WindowMinutes   int     `koanf:"window_min" json:"window_min"`
}

// Config is a configuration that Parse has read. It is not changed afterwards.
type Config struct {
	// Revision is the operator's own number for the document, 0: the one after the present one.
	Revision   uint64               `json:"revision,omitempty"`
	Services   map[string]Service   `json:"services"`
	Rules      []Rule               `json:"rules"`
	Routes     map[string]Route     `json:"routes,omitempty"`
	Limits     *Limits              `json:"limits,omitempty"`
	Policies   map[string]Policy    `json:"policies,omitempty"`
	Objectives map[string]Objective `json:"aims,omitempty"`
	byHost     hosts
}

// Fault is one thing wrong with a document, by its place, such as services.records.cap.
type Fault struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// ErrNotJSON marks the error for a document that cannot be read at all.
var ErrNotJSON = errors.New("not a JSON object")

// PoliciesInForce yields the policies in force by name, the default one included.
func (c *Config) PoliciesInForce() iter.Seq2[string, Policy] {
	ps := maps.Clone(c.Policies)
	if ps == nil {
		ps = map[string]Policy{}
	}
	if _, ok := ps[DefaultPolicyName]; !ok {
		ps[DefaultPolicyName] = DefaultPolicy()
	}
	return func(yield func(string, Policy) bool) {
		for _, n := range slices.Sorted(maps.Keys(ps)) {
			if !yield(n, ps[n]) {
				return
			}
		}
	}
}

// MergePatch applies an RFC 7396 merge patch.
func MergePatch(doc, patch []byte) ([]byte, error) {
	if _, err := object(patch); err != nil {
		return nil, err
	}
	out, err := jsonpatch.MergePatch(doc, patch)
	return out, errors.Mark(err, ErrNotJSON)
}
