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

// Session evaluates policies on one stream of lines: events go in and decisions come out, and a line
// may replace policies in between. A line that is rejected gets an error and changes nothing. A
// session has no effect on the fleet. It is for one goroutine.
type Session struct {
	Lines    uint64 // lines evaluated so far
	detector *Detector
	config   config.Config // with the policies in force
	lastAt   time.Duration // time of the latest event
	targets  map[wire.TargetID]bool
}

// inputLine is a line of a stream: an event, bare or in a field, or policies to replace.
type inputLine struct {
	Event    *Event                     `json:"event"`
	Policies map[string]json.RawMessage `json:"policies"`
	bareEvent
}

// bareEvent lets a line be an event itself.
type bareEvent Event

func parseLine(text []byte) (line inputLine, err error) {
	if err := json.Unmarshal(text, &line); err != nil {
		return line, err
	}
	if line.Event == nil && line.Slice != "" {
		event := Event(line.bareEvent)
		line.Event = &event
	}
	return line, nil
}

// Result is what came of a line: one decision, the policies that it replaced, or why it was rejected.
type Result struct {
	Line     uint64         `json:"line"` // number of the line, from 1
	Decision *Decision      `json:"decision,omitempty"`
	Replaced []string       `json:"replaced,omitempty"` // names of policies, in no order
	Error    string         `json:"error,omitempty"`    // for people
	Faults   []config.Fault `json:"faults,omitempty"`   // of the line's policies
}

// NewSession returns a Session that begins with the policies of a configuration.
func NewSession(c *config.Config) *Session {
	s := &Session{detector: New(), config: *c, targets: map[wire.TargetID]bool{}}
	s.detector.Replace(&s.config)
	return s
}

// Evaluate evaluates one line and returns its results, in order.
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
		return nil // a stream's line without an event: a decision, or how many lines a reader missed
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

// rejected returns the result of a line that is rejected.
func (s *Session) rejected(why string) []Result {
	return []Result{{Line: s.Lines, Error: why}}
}

// checkEvent returns why an event is rejected, "": it is not.
func (s *Session) checkEvent(e *Event) string {
	switch _, known := environments[e.Slice]; {
	case !known:
		return fmt.Sprintf(unknownSlice, e.Slice)
	case e.Service == "" || e.Name == "" || e.Incarnation == 0:
		return "an event needs service, name and incarnation"
	case e.At < s.lastAt:
		return fmt.Sprintf("at_ns goes back: %d after %d", e.At, s.lastAt)
	case e.Count < 0 || e.Errors < 0 || e.Slow < 0 || e.Errors > e.Count || e.Slow > e.Count:
		return "count, errors and slow don't fit together"
	case !s.targets[e.ID()] && len(s.targets) >= tuning.SessionTargets:
		return fmt.Sprintf("more than %d targets in one stream", tuning.SessionTargets)
	}
	return ""
}

// replacePolicies replaces policies by their names; null removes one. If one has a fault, all stay.
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
		result.Faults = append(result.Faults, config.Fault{Path: "policies", Text: fmt.Sprintf("at most %d", tuning.PoliciesMax)})
	}
	if len(result.Faults) > 0 {
		result.Replaced, result.Error = nil, "unsound policies; those before stay"
		return []Result{result}
	}
	s.config = next
	s.detector.Replace(&s.config)
	return []Result{result}
}

// parsePolicy reads and checks one policy; faults are by the names of its fields.
func parsePolicy(raw []byte) (config.Policy, []config.Fault) {
	p := config.Policy{Mode: config.ModeLive}
	faults, err := config.Decode(raw, &p)
	if err != nil {
		faults = append(faults, config.Fault{Text: errors.UnwrapAll(err).Error()})
	}
	return p, append(faults, Check(p)...)
}
