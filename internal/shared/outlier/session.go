package outlier

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Session evaluates policies on a caller's stream of JSON lines. Each line either holds an event, for which the
// resulting decisions are returned, or replaces policies. A rejected line gets an error and changes nothing. A
// session has no effect on the fleet. It is not safe for concurrent use.
type Session struct {
	Lines    uint64 // number of lines passed to Evaluate so far, rejected ones included
	detector *Detector
	config   config.Config          // only its policies are used
	lastAt   time.Duration          // time of the latest event
	targets  map[wire.TargetID]bool // targets seen so far
}

// inputLine is a line of a stream: an event, either as the line itself or in the field "event", or policies to
// replace.
type inputLine struct {
	Event    *Event                     `json:"event"`
	Policies map[string]json.RawMessage `json:"policies"`
	bareEvent
}

// bareEvent is embedded in inputLine to decode a line that is itself an event.
type bareEvent Event

// parseLine decodes a line and sets Event if the line itself is an event.
func parseLine(text []byte) (line inputLine, err error) {
	if err := json.Unmarshal(text, &line); err != nil {
		return line, err
	}
	if line.Event == nil && line.Signal != "" {
		event := Event(line.bareEvent)
		line.Event = &event
	}
	return line, nil
}

// Result is one result of a line: a decision, the names of the replaced policies, or an error.
type Result struct {
	Line     uint64         `json:"line"`               // number of the line, starting at 1
	Decision *Decision      `json:"decision,omitempty"` // nil if the result is not a decision
	Replaced []string       `json:"replaced,omitempty"` // names of the replaced policies, unsorted
	Error    string         `json:"error,omitempty"`    // human-readable, "" if the line was accepted
	Faults   []config.Fault `json:"faults,omitempty"`   // faults of the policies in the line
}

// NewSession returns a Session that starts with the policies of a configuration.
func NewSession(c *config.Config) *Session {
	s := &Session{detector: New(), config: *c, targets: map[wire.TargetID]bool{}}
	s.detector.Replace(&s.config)
	return s
}

// Evaluate evaluates one line and returns its results in the order in which they occurred.
func (s *Session) Evaluate(text []byte) []Result {
	s.Lines++
	line, err := parseLine(text)
	if err != nil {
		return s.rejected(fmt.Sprintf("not a JSON object: %v", err))
	}
	if line.Policies != nil {
		return s.replacePolicies(line.Policies)
	}
	if line.Event == nil {
		return nil // another line of a recorded stream: a decision, or how many lines the reader of that stream missed
	}
	event := *line.Event
	if why := s.checkEvent(&event); why != "" {
		return s.rejected(why)
	}
	s.lastAt = event.At
	s.targets[event.ID()] = true
	var results []Result
	for _, decision := range append(s.detector.Tick(event.At), s.detector.Step(event)...) {
		results = append(results, Result{Line: s.Lines, Decision: &decision})
	}
	return results
}

// rejected returns the result for a rejected line.
func (s *Session) rejected(why string) []Result {
	return []Result{{Line: s.Lines, Error: why}}
}

// checkEvent returns why an event is rejected, "" if it is valid.
func (s *Session) checkEvent(e *Event) string {
	switch _, known := environments[e.Signal]; {
	case !known:
		return fmt.Sprintf(unknownSignal, e.Signal)
	case e.Service == "" || e.Name == "" || e.Incarnation == 0:
		return "an event needs service, name and incarnation"
	case e.At < s.lastAt:
		return fmt.Sprintf("at_ns must not decrease: %d after %d", e.At, s.lastAt)
	case e.Count < 0 || e.Errors < 0 || e.Slow < 0 || e.Errors > e.Count || e.Slow > e.Count:
		return "errors and slow must be between 0 and count"
	case !s.targets[e.ID()] && len(s.targets) >= tuning.SessionTargetsMax:
		return fmt.Sprintf("more than %d targets in one stream", tuning.SessionTargetsMax)
	}
	return ""
}

// replacePolicies replaces policies by name; null removes a policy. If any policy has a fault, nothing changes.
func (s *Session) replacePolicies(changed map[string]json.RawMessage) []Result {
	next := s.config
	next.Policies = maps.Clone(s.config.Policies)
	if next.Policies == nil {
		next.Policies = map[string]config.Policy{}
	}
	result := Result{Line: s.Lines}
	for name, raw := range changed {
		result.Replaced = append(result.Replaced, name)
		if string(raw) == "null" {
			delete(next.Policies, name)
			continue
		}
		p, faults := parsePolicy(raw)
		for _, f := range faults {
			f.Path = "policies." + name + "." + f.Path
			result.Faults = append(result.Faults, f)
		}
		next.Policies[name] = p
	}
	if len(next.Policies) > tuning.PoliciesMax {
		result.Faults = append(result.Faults, config.Fault{Path: "policies", Text: fmt.Sprintf("more than %d policies", tuning.PoliciesMax)})
	}
	if len(result.Faults) > 0 {
		result.Replaced, result.Error = nil, "invalid policies; the previous ones stay in effect"
		return []Result{result}
	}
	s.config = next
	s.detector.Replace(&s.config)
	return []Result{result}
}

// parsePolicy decodes and checks one policy. The paths of its faults are field names.
func parsePolicy(raw []byte) (config.Policy, []config.Fault) {
	p := config.Policy{Mode: config.ModeLive}
	faults, err := config.Decode(raw, &p)
	if err != nil {
		faults = append(faults, config.Fault{Text: errors.UnwrapAll(err).Error()})
	}
	return p, append(faults, Check(p)...)
}
