// Package config defines, parses and validates the operator's configuration: services, rules, routes, limits, policies and
// objectives. A JSON document is checked as a whole. Every fault, unknown fields included, is reported with its path,
// so that a document that is not fully understood never takes effect.
//
// The package also defines the other JSON bodies that daemons exchange with their users: the reports of targets
// (targetreport.go) and the body of error responses (errorbody.go). It does not apply configurations, and does not
// parse the conditions of policies, which package outlier checks.
//
// Start with Config and Parse. Each kind of item has a file (service.go, rule.go, route.go, limits.go, policy.go,
// objective.go) with its fields, decoding and checks.
package config

import (
	"iter"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Config is a parsed configuration. It is not modified after Parse.
type Config struct {
	// Revision is the operator's number for the document. Default: 0, which means the current revision plus one.
	Revision uint64 `json:"revision,omitempty"`
	// Services are the services by name. Default: none.
	Services map[string]Service `json:"services"`
	// Rules assign requests that no route matches to services. Default: none.
	Rules []Rule `json:"rules"`
	// Routes are the routes by name. Default: none.
	Routes map[string]Route `json:"routes,omitempty"`
	// Limits bound the requests and connections of callers. Default: nil, which means the limits in package tuning.
	Limits *Limits `json:"limits,omitempty"`
	// Policies are the outlier detector's policies by name. The default policy is among them only if the document
	// defines it: see PoliciesInForce. Default: none.
	Policies map[string]Policy `json:"policies,omitempty"`
	// Objectives are the service-level objectives by name. Default: none.
	Objectives map[string]Objective `json:"aims,omitempty"`

	routeIndex routeIndex
}

// ErrNotJSON marks the error for a document that is not exactly one JSON object. No faults are reported for such a
// document; the error message says where parsing failed.
var ErrNotJSON = errors.New("not a JSON object")

// Fault is a validation error in a document.
type Fault struct {
	Path string `json:"path"` // path of the invalid value in the document, such as services.records.cap
	Text string `json:"text"` // human-readable description
}

// PoliciesInForce yields the names and policies, sorted by name. They always include the default policy.
func (c *Config) PoliciesInForce() iter.Seq2[string, Policy] {
	policies := maps.Clone(c.Policies)
	if policies == nil {
		policies = map[string]Policy{}
	}
	if _, ok := policies[DefaultPolicyName]; !ok {
		policies[DefaultPolicyName] = DefaultPolicy()
	}
	return func(yield func(string, Policy) bool) {
		for _, name := range slices.Sorted(maps.Keys(policies)) {
			if !yield(name, policies[name]) {
				return
			}
		}
	}
}

// MergePatch applies an RFC 7396 merge patch to doc and returns the result without validating it. Its errors are
// marked ErrNotJSON.
func MergePatch(doc, patch []byte) ([]byte, error) {
	if _, err := parseObject(patch); err != nil {
		return nil, err
	}
	merged, err := jsonpatch.MergePatch(doc, patch)
	return merged, errors.Mark(err, ErrNotJSON)
}
