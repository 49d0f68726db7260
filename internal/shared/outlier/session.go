// This file evaluates policies over a stream: lines with target events go in, lines with
// decisions come out, and a line may replace policies in between. A line that can't be
// taken is answered with an error and changes nothing.

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

// bareEvent lets a line be an event itself.
type bareEvent Event

// inLine is a line of a stream.
type inLine struct {
	Event    *Event                     `json:"event"`
	Policies map[string]json.RawMessage `json:"policies"`
	bareEvent
}

func parseLine(b []byte) (l inLine, err error) {
	if err := json.Unmarshal(b, &l); err != nil {
		return l, err
	}
	if l.Event == nil && l.Slice != "" {
		x := Event(l.bareEvent)
		l.Event = &x
	}
	return l, nil
}

// Result is an answer to a line: one decision, the policies that it replaced, or why it was not taken.
type Result struct {
	Line     uint64         `json:"line"` // the number of the line that it answers, from 1
	Decision *Decision      `json:"decision,omitempty"`
	Replaced []string       `json:"replaced,omitempty"`
	Error    string         `json:"error,omitempty"`
	Faults   []config.Fault `json:"faults,omitempty"`
}

// Session evaluates policies over one stream. It takes no part in what the fleet does.
type Session struct {
	Lines   uint64 // lines taken so far
	judge   *Detector
	cfg     config.Config
	last    time.Duration
	targets map[wire.TargetID]bool
}

// NewSession returns a Session that begins with the policies of a configuration.
func NewSession(c *config.Config) *Session {
	s := &Session{judge: New(), cfg: *c, targets: map[wire.TargetID]bool{}}
	s.judge.Replace(&s.cfg)
	return s
}

// Evaluate evaluates one line and returns the answers to it, in order.
func (s *Session) Evaluate(b []byte) (out []Result) {
	s.Lines++
	no := func(f string, a ...any) []Result {
		return []Result{{Line: s.Lines, Error: fmt.Sprintf(f, a...)}}
	}
	l, err := parseLine(b)
	if err != nil {
		return no("not a JSON object: %v", err)
	}
	if l.Policies != nil {
		return s.replace(l.Policies)
	}
	e := l.Event
	if e == nil {
		return nil // a stream's line without an event: a decision, or what was missed
	}
	switch _, known := facts[e.Slice]; {
	case !known:
		return no(unknownSlice, e.Slice)
	case e.Service == "" || e.Name == "" || e.Incarnation == 0:
		return no("an event needs service, name and incarnation")
	case e.At < s.last:
		return no("at_ns goes back: %d after %d", e.At, s.last)
	case e.Count < 0 || e.Errors < 0 || e.Slow < 0 || e.Errors > e.Count || e.Slow > e.Count:
		return no("count, errors and slow don't fit together")
	case !s.targets[e.ID()] && len(s.targets) >= tuning.SessionTargets:
		return no("more than %d targets in one stream", tuning.SessionTargets)
	}
	s.last = e.At
	s.targets[e.ID()] = true
	for _, x := range append(s.judge.Tick(e.At), s.judge.Step(*e)...) {
		out = append(out, Result{Line: s.Lines, Decision: &x})
	}
	return out
}

// replace puts policies in the place of those of their names; null removes one.
func (s *Session) replace(ps map[string]json.RawMessage) []Result {
	next := s.cfg
	next.Policies = maps.Clone(s.cfg.Policies)
	if next.Policies == nil {
		next.Policies = map[string]config.Policy{}
	}
	out := Result{Line: s.Lines}
	for name, raw := range ps {
		if string(raw) == "null" {
			delete(next.Policies, name)
		} else {
			p := config.Policy{Mode: config.ModeLive}
			faults, err := config.Decode(raw, &p)
			if err != nil {
				faults = append(faults, config.Fault{Text: errors.UnwrapAll(err).Error()})
			}
			for _, f := range append(faults, Check(p)...) {
				f.Path = "policies." + name + "." + f.Path
				out.Faults = append(out.Faults, f)
			}
			next.Policies[name] = p
		}
		out.Replaced = append(out.Replaced, name)
	}
	if len(next.Policies) > tuning.PoliciesMax {
		out.Faults = append(out.Faults, config.Fault{Path: "policies", Text: fmt.Sprintf("at most %d", tuning.PoliciesMax)})
	}
	if len(out.Faults) > 0 {
		out.Replaced, out.Error = nil, "unsound policies; those before stay"
		return []Result{out}
	}
	s.cfg = next
	s.judge.Replace(&s.cfg)
	return []Result{out}
}
