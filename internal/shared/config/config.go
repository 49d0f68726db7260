// Package config is the operator's configuration: services, rules, routes, limits, policies and
// objectives, read from JSON and checked as a whole. A check lists every fault by its path, unknown
// fields included, so that nothing that was not understood ever takes effect.
//
// It also has what else daemons exchange with their users as JSON: the reports of targets
// (targetreport.go) and the body of an error response (errorbody.go). It puts nothing into force, and
// does not know the language of policies' conditions: package outlier checks those.
//
// Begin with Config and Parse. Each kind of item has its file (service.go, rule.go, route.go, limits.go,
// policy.go, objective.go) with its fields, how it is read and what is checked.
package config

import (
	"iter"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Config is a configuration that Parse has read. It is not changed afterwards.
type Config struct {
	// Revision is the operator's own number for the document. Default: 0, the present revision plus one.
	Revision uint64 `json:"revision,omitempty"`
	// Services are the services by name. Default: none.
	Services map[string]Service `json:"services"`
	// Rules send the requests that no route matches to services. Default: none.
	Rules []Rule `json:"rules"`
	// Routes are the routes by name. Default: none.
	Routes map[string]Route `json:"routes,omitempty"`
	// Limits bound what callers may send. Default: nil, the bounds of package tuning.
	Limits *Limits `json:"limits,omitempty"`
	// Policies are the outlier detector's policies by name, without the default one if the document does
	// not name it: see PoliciesInForce. Default: none.
	Policies map[string]Policy `json:"policies,omitempty"`
	// Objectives are the service-level objectives by name. Default: none.
	Objectives map[string]Objective `json:"aims,omitempty"`

	routeIndex routeIndex
}

// ErrNotJSON marks the error for a document that is not exactly one JSON object. Such a document has no
// faults by path; the message says where reading ended.
var ErrNotJSON = errors.New("not a JSON object")

// Fault is one fault of a document.
type Fault struct {
	Path string `json:"path"` // of the faulty value in the document, such as services.records.cap
	Text string `json:"text"` // for people
}

// PoliciesInForce yields the policies by name, in order of their names. The default policy is among
// them in any case.
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

// MergePatch returns the document that an RFC 7396 merge patch makes of doc, unchecked. Its errors are
// marked ErrNotJSON.
func MergePatch(doc, patch []byte) ([]byte, error) {
	if _, err := parseObject(patch); err != nil {
		return nil, err
	}
	merged, err := jsonpatch.MergePatch(doc, patch)
	return merged, errors.Mark(err, ErrNotJSON)
}
