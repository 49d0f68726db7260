// Package policy turns target events into decisions. A policy is one condition
// over one slice of what is known of a target (probe, beat, request, demand)
// and one decision: an ejection, which lapses by itself, or a hold, which lasts until its
// clear condition holds, or while its condition does if it has none. A Judge is pure: events go in with their time, decisions
// come out, and the same events always give the same decisions, which is what
// shadow runs and comparisons rest on. A policy that fails to evaluate decides
// nothing, is counted, and what it had decided runs out.
package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/expr-lang/expr/vm"

	"github.com/cockroachdb/errors"

	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/wire"
)

// Event is one thing learnt about a target. Only the fields of its slice count.
type Event struct {
	At      time.Duration `json:"at_ns"`
	Slice   string        `json:"slice"`
	Service string        `json:"service"`
	Name    string        `json:"name"`
	Inc     uint64        `json:"incarnation"`
	Ok      bool          `json:"ok,omitempty"`
	Ms      float64       `json:"ms,omitempty"`
	State   string        `json:"state,omitempty"`
	Count   int           `json:"count,omitempty"`
	Errors  int           `json:"errors,omitempty"`
	Slow    int           `json:"slow,omitempty"`
	Demand  float64       `json:"demand,omitempty"`
}

func (e *Event) ID() wire.ID { return wire.ID{Service: e.Service, Name: e.Name, Inc: e.Inc} }

// Decision is one change of a target's standing under one policy.
type Decision struct {
	At      time.Duration `json:"at_ns"`
	Policy  string        `json:"policy"`
	Kind    string        `json:"kind"` // bar, hold, clear, lapse
	Service string        `json:"service"`
	Name    string        `json:"name"`
	Inc     uint64        `json:"incarnation"`
	TTLMs   int64         `json:"ttl_ms,omitempty"`
	Shadow  bool          `json:"shadow,omitempty"`
	Why     string        `json:"why,omitempty"`
}

type policy struct {
	name    string
	p       model.Policy
	when    *vm.Program
	clear   *vm.Program
	machine vm.VM
	ran     uint64
	failed  uint64
	lastErr string
}

// mark is a policy's present word on a target.
type mark struct {
	until time.Duration
	hold  bool
}

type Stat struct {
	Policy model.Policy `json:"policy"`
	Ran    uint64       `json:"evaluated"`
	Failed uint64       `json:"failed"`
	Error  string       `json:"last_error,omitempty"`
	Marks  int          `json:"targets_out"`
	Score  *Score       `json:"score,omitempty"`
}

type Judge struct {
	policies map[string]*policy
	windows  map[wire.ID]map[string]*window
	marks    map[wire.ID]map[string]mark
}

func New() *Judge {
	return &Judge{policies: map[string]*policy{}, windows: map[wire.ID]map[string]*window{}, marks: map[wire.ID]map[string]mark{}}
}

// Replace puts a configuration's policies in force. What a kept or changed ejection
// policy had decided stays until it lapses; a policy's marks go at once when it
// is removed, off, or goes between live and shadow.
func (j *Judge) Replace(c *model.Config) {
	next := map[string]*policy{}
	for name, p := range c.All() {
		if p.Mode == "off" {
			continue
		}
		if old := j.policies[name]; old != nil && old.p == p {
			next[name] = old
			continue
		}
		n := &policy{name: name, p: p}
		var err error
		if n.when, err = compile(p.Slice, p.When); err == nil && p.Clear != "" {
			n.clear, err = compile(p.Slice, p.Clear)
		}
		if err != nil {
			panic(errors.Wrapf(err, "policy %s was accepted", name))
		}
		next[name] = n
	}
	for _, ms := range j.marks {
		for name := range ms {
			if n, o := next[name], j.policies[name]; n == nil || o == nil || n.p.Mode != o.p.Mode || n.p.Decide != o.p.Decide {
				delete(ms, name)
			}
		}
	}
	j.policies = next
}

// Forget drops a target that is gone for good.
func (j *Judge) Forget(id wire.ID) {
	delete(j.windows, id)
	delete(j.marks, id)
}

// Barred says whether a live policy keeps a target out now, until when, and which.
func (j *Judge) Barred(now time.Duration, id wire.ID) (until time.Duration, why string) {
	for _, name := range slices.Sorted(maps.Keys(j.marks[id])) {
		m, p := j.marks[id][name], j.policies[name]
		if p != nil && p.p.Mode == "live" && m.until > now && m.until > until {
			until, why = m.until, name
		}
	}
	return until, why
}

// Adopt takes over an ejection that an earlier leader had decided.
func (j *Judge) Adopt(now time.Duration, id wire.ID, policy string, left time.Duration) {
	if p := j.policies[policy]; p != nil && p.p.Mode == "live" && left > 0 {
		j.mark(id, policy, mark{until: now + min(left, limit.EjectionMaxTTL), hold: p.p.Decide == "hold"})
	}
}

func (j *Judge) mark(id wire.ID, policy string, m mark) {
	if j.marks[id] == nil {
		j.marks[id] = map[string]mark{}
	}
	j.marks[id][policy] = m
}

// Tick lets ejections lapse.
func (j *Judge) Tick(now time.Duration) []Decision {
	var out []Decision
	for _, id := range slices.SortedFunc(maps.Keys(j.marks), wire.ID.Compare) {
		for _, name := range slices.Sorted(maps.Keys(j.marks[id])) {
			if p := j.policies[name]; j.marks[id][name].until <= now {
				delete(j.marks[id], name)
				out = append(out, p.decision(now, "lapse", id, "time to live is over"))
			}
		}
		if len(j.marks[id]) == 0 {
			delete(j.marks, id)
		}
	}
	return out
}

func (p *policy) decision(now time.Duration, kind string, id wire.ID, why string) Decision {
	d := Decision{At: now, Policy: p.name, Kind: kind, Service: id.Service, Name: id.Name, Inc: id.Inc, Shadow: p.p.Mode == "shadow", Why: why}
	if kind == "bar" {
		d.TTLMs = int64(p.p.TTLMs)
	}
	return d
}

// Step takes one event and returns the decisions that it led to.
func (j *Judge) Step(e Event) []Decision {
	id := e.ID()
	if j.windows[id] == nil {
		j.windows[id] = map[string]*window{}
	}
	w := j.windows[id][e.Slice]
	if w == nil {
		w = &window{}
		j.windows[id][e.Slice] = w
	}
	good := e.Ok
	if e.Slice == "exchange" {
		good = e.Errors == 0
	}
	if w.ok != good {
		w.row = 0
	}
	w.ok = good
	w.row++
	w.events = append(w.events, e)
	if n := len(w.events) - limit.Window; n > 0 {
		w.events = w.events[n:]
	}
	env := j.env(id, e, w)
	var out []Decision
	for _, name := range j.names() {
		p := j.policies[name]
		if p.p.Slice != e.Slice {
			continue
		}
		hit, err := p.eval(p.when, env)
		clear := false
		if err == nil && !hit && p.clear != nil {
			clear, err = p.eval(p.clear, env)
		}
		if err != nil {
			continue
		}
		m, was := j.marks[id][name]
		switch {
		case hit && p.p.Decide == "hold":
			j.mark(id, name, mark{until: e.At + limit.EjectionTTL, hold: true})
			if !was {
				out = append(out, p.decision(e.At, "hold", id, p.p.When))
			}
		case hit:
			j.mark(id, name, mark{until: e.At + time.Duration(p.p.TTLMs)*time.Millisecond})
			if !was || m.until <= e.At {
				out = append(out, p.decision(e.At, "bar", id, p.p.When))
			}
		case was && (clear || m.hold && p.clear == nil):
			delete(j.marks[id], name)
			out = append(out, p.decision(e.At, "clear", id, cmp.Or(p.p.Clear, "condition is over")))
		}
	}
	return out
}

func (p *policy) eval(prog *vm.Program, env any) (bool, error) {
	p.ran++
	p.machine.MemoryBudget = limit.PolicyMemory
	v, err := p.machine.Run(prog, env)
	b, ok := v.(bool)
	if err == nil && !ok {
		err = errors.Newf("gave %T, not a bool", v)
	}
	if err != nil {
		p.failed++
		p.lastErr = err.Error()
	}
	return b, err
}

func (j *Judge) names() []string { return slices.Sorted(maps.Keys(j.policies)) }

// Stats describes the policies in force by name.
func (j *Judge) Stats() map[string]Stat {
	out := map[string]Stat{}
	for name, p := range j.policies {
		s := Stat{Policy: p.p, Ran: p.ran, Failed: p.failed, Error: p.lastErr}
		for _, ms := range j.marks {
			if _, ok := ms[name]; ok {
				s.Marks++
			}
		}
		out[name] = s
	}
	return out
}
