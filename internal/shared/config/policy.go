package config

import (
	"fmt"

	"myrtlefold/internal/shared/tuning"
)

// Slice is a part of what is known of a target, of which a policy's condition sees one. The texts stand
// in configurations, recordings and streams of events.
type Slice string

// The slices.
const (
	SliceProbe     Slice = "probe"    // results of health checks
	SliceHeartbeat Slice = "beat"     // the target's heartbeats
	SliceRequest   Slice = "exchange" // outcomes of callers' requests
	SliceDemand    Slice = "demand"   // the load that the target reports
)

// DecisionKind is what a decision of a policy does. The texts stand in configurations and streams.
type DecisionKind string

// Decisions that a policy may make.
const (
	DecideEject DecisionKind = "bar"  // ejection: no requests, until a time to live is over
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

// Policy is a policy of the outlier detector: a condition on one slice of what is known of a target,
// and a decision. Conditions are in the language of package expr; docs/policy.md has their names.
type Policy struct {
	// Slice is what the conditions see.
	Slice Slice `koanf:"slice" json:"slice"`
	// When is the condition under which the decision is made.
	When string `koanf:"when" json:"when"`
	// Clear is the condition that ends the decision early. Default: "", none: an ejection ends with its
	// time to live, draining when the condition When is over.
	Clear string `koanf:"clear" json:"clear,omitempty"`
	// Decide is the decision.
	Decide DecisionKind `koanf:"decide" json:"decide"`
	// TTLMs is an ejection's time to live, in ms, at most tuning.EjectionMaxTTL. Draining has none.
	TTLMs int `koanf:"ttl_ms" json:"ttl_ms,omitempty"`
	// Mode says whether the policy is in force. Default: live.
	Mode PolicyMode `koanf:"mode" json:"mode,omitempty"`
	// Note is for people. Default: "".
	Note string `koanf:"note" json:"note,omitempty"`
}

// DefaultPolicyName is the name of the default policy. It is in force in any case, as DefaultPolicy if the
// configuration has none of this name.
const DefaultPolicyName = "default"

// DefaultPolicy returns the default policy: two missed health checks in a row eject a target for
// tuning.EjectionTTL, an answered one ends the ejection.
func DefaultPolicy() Policy {
	return Policy{
		Slice:  SliceProbe,
		When:   fmt.Sprintf("misses_in_row >= %d", tuning.ProbeMisses),
		Clear:  "ok_in_row >= 1",
		Decide: DecideEject,
		TTLMs:  int(tuning.EjectionTTL.Milliseconds()),
		Mode:   ModeLive,
		Note:   "two missed probes in a row",
	}
}

func (c *checker) readPolicies(cfg *Config, value any) {
	if m, ok := value.(map[string]any); ok && len(m) > tuning.PoliciesMax {
		c.add("policies", "%d policies, at most %d", len(m), tuning.PoliciesMax)
	}
	c.items("policies", value, func(at, name string, item any) {
		p := Policy{Mode: ModeLive}
		before := len(c.faults)
		c.decode(at, item, &p)
		if len(c.faults) == before {
			for _, f := range c.checkPolicy(p) {
				c.add(joinPath(at, f.Path), "%s", f.Text)
			}
		}
		c.checkName(at, name)
		cfg.Policies[name] = p
	})
}
