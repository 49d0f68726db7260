package config

import (
	"fmt"

	"myrtlefold/internal/shared/tuning"
)

// Signal is a kind of observation of a target. The conditions of a policy evaluate the observations of one signal.
// In configurations, recordings and event streams the field is called slice and holds these values.
type Signal string

// The signals.
const (
	SignalProbe     Signal = "probe"    // results of health checks
	SignalHeartbeat Signal = "beat"     // the target's heartbeats
	SignalRequest   Signal = "exchange" // outcomes of callers' requests
	SignalDemand    Signal = "demand"   // the load that the target reports
)

// DecisionKind is the kind of a policy's decision. The values appear in configurations and event streams.
type DecisionKind string

// Decisions that a policy may make.
const (
	DecideEject DecisionKind = "bar"  // ejection: no requests until the time to live expires
	DecideDrain DecisionKind = "hold" // draining: no new requests until the decision is cleared
)

// PolicyMode determines whether a policy is evaluated and whether its decisions take effect. The values appear in
// configurations.
type PolicyMode string

// Modes of a policy.
const (
	ModeLive   PolicyMode = "live"   // decisions take effect
	ModeShadow PolicyMode = "shadow" // decisions are made and scored but have no effect
	ModeOff    PolicyMode = "off"    // the policy is not evaluated
)

// Policy is a policy of the outlier detector: a condition on one signal of a target, and a decision.
// Conditions are expressions of package expr. docs/policy.md lists the variables that they may use.
type Policy struct {
	// Signal is the kind of observation that the conditions evaluate.
	Signal Signal `koanf:"slice" json:"slice"`
	// When is the condition under which the decision is made.
	When string `koanf:"when" json:"when"`
	// Clear is the condition that ends the decision early. Default: "", none. Then an ejection ends when its time to
	// live expires, and draining when the condition When no longer holds.
	Clear string `koanf:"clear" json:"clear,omitempty"`
	// Decide is the kind of decision, DecideEject or DecideDrain.
	Decide DecisionKind `koanf:"decide" json:"decide"`
	// TTLMs is the time to live of an ejection, in ms, at most tuning.EjectionMaxTTL. It must be 0 for draining.
	TTLMs int `koanf:"ttl_ms" json:"ttl_ms,omitempty"`
	// Mode determines whether the policy is evaluated and takes effect. Default: live.
	Mode PolicyMode `koanf:"mode" json:"mode,omitempty"`
	// Note is a human-readable comment. Default: "".
	Note string `koanf:"note" json:"note,omitempty"`
}

// DefaultPolicyName is the name of the default policy. A policy of this name is always in force: the one in the
// configuration or else DefaultPolicy.
const DefaultPolicyName = "default"

// DefaultPolicy returns the built-in default policy: two consecutive missed health checks eject a target for
// tuning.EjectionTTL, and an answered one ends the ejection.
func DefaultPolicy() Policy {
	return Policy{
		Signal: SignalProbe,
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
		c.add("policies", "%d policies exceed the limit of %d", len(m), tuning.PoliciesMax)
	}
	c.readItems("policies", value, func(at, name string, item any) {
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
