// This file is the judge as a stream: lines with target events go in, lines with
// decisions come out, and a line may replace policies in between. A line that
// can't be taken is answered by itself and changes nothing.

package policy

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/wire"
)

// event0 lets a line be an event itself.
type event0 Event

type inLine struct {
	Event    *Event                     `json:"event"`
	Policies map[string]json.RawMessage `json:"policies"`
	event0
}

func parseLine(b []byte) (l inLine, err error) {
	if err := json.Unmarshal(b, &l); err != nil {
		return l, err
	}
	if l.Event == nil && l.Slice != "" {
		x := Event(l.event0)
		l.Event = &x
	}
	return l, nil
}

// OutLine is what a line in was answered with: decisions one by one, or why it
// was not taken.
type OutLine struct {
	Line     uint64        `json:"line"`
	Decision *Decision     `json:"decision,omitempty"`
	Replaced []string      `json:"replaced,omitempty"`
	Error    string        `json:"error,omitempty"`
	Faults   []model.Fault `json:"faults,omitempty"`
}

// Desk judges one stream. It takes no part in what the fleet does.
type Desk struct {
	Line    uint64 // lines taken so far
	j       *Judge
	cfg     model.Config
	last    time.Duration
	targets map[wire.ID]bool
}

func NewDesk(c *model.Config) *Desk {
	d := &Desk{j: New(), cfg: *c, targets: map[wire.ID]bool{}}
	d.j.Replace(&d.cfg)
	return d
}

// Take judges one line and answers it.
func (d *Desk) Take(b []byte) (out []OutLine) {
	d.Line++
	no := func(f string, a ...any) []OutLine {
		return []OutLine{{Line: d.Line, Error: fmt.Sprintf(f, a...)}}
	}
	l, err := parseLine(b)
	if err != nil {
		return no("not a JSON object: %v", err)
	}
	if l.Policies != nil {
		return d.replace(l.Policies)
	}
	e := l.Event
	if e == nil {
		return nil // a stream's line without an event: a decision, or what was missed
	}
	switch _, known := envs[e.Slice]; {
	case !known:
		return no("no slice %q: probe, beat, exchange or demand", e.Slice)
	case e.Service == "" || e.Name == "" || e.Inc == 0:
		return no("an event needs service, name and incarnation")
	case e.At < d.last:
		return no("at_ns goes back: %d after %d", e.At, d.last)
	case e.Count < 0 || e.Errors < 0 || e.Slow < 0 || e.Errors > e.Count || e.Slow > e.Count:
		return no("count, errors and slow don't fit together")
	case !d.targets[e.ID()] && len(d.targets) >= limit.DeskTargets:
		return no("more than %d targets in one stream", limit.DeskTargets)
	}
	d.last = e.At
	d.targets[e.ID()] = true
	for _, x := range append(d.j.Tick(e.At), d.j.Step(*e)...) {
		out = append(out, OutLine{Line: d.Line, Decision: &x})
	}
	return out
}

// replace puts policies in the place of those of their names; null removes one.
func (d *Desk) replace(ps map[string]json.RawMessage) []OutLine {
	next := d.cfg
	next.Policies = maps.Clone(d.cfg.Policies)
	if next.Policies == nil {
		next.Policies = map[string]model.Policy{}
	}
	out := OutLine{Line: d.Line}
	for name, raw := range ps {
		if string(raw) == "null" {
			delete(next.Policies, name)
		} else {
			p := model.Policy{Mode: "live"}
			faults, err := model.Decode(raw, &p)
			if err != nil {
				faults = append(faults, model.Fault{Text: errors.UnwrapAll(err).Error()})
			}
			for _, f := range append(faults, Check(p)...) {
				f.Path = "policies." + name + "." + f.Path
				out.Faults = append(out.Faults, f)
			}
			next.Policies[name] = p
		}
		out.Replaced = append(out.Replaced, name)
	}
	if len(next.Policies) > limit.PolicyMax {
		out.Faults = append(out.Faults, model.Fault{Path: "policies", Text: fmt.Sprintf("at most %d", limit.PolicyMax)})
	}
	if len(out.Faults) > 0 {
		out.Replaced, out.Error = nil, "unsound policies; those before stay"
		return []OutLine{out}
	}
	d.cfg = next
	d.j.Replace(&d.cfg)
	return []OutLine{out}
}
