// Package outlier turns target events into decisions. A policy is one condition
// over one slice of what is known of a target (probes, heartbeats, requests, demand)
// and one decision: an ejection, which lapses by itself, or a hold (draining), which
// lasts until its clear condition is met, or while its condition is if it has none.
// A Judge evaluates policies and is pure: events go in with their time, decisions
// come out, and the same events always give the same decisions, which is what
// shadow runs and comparisons rest on. A policy that fails to evaluate decides
// nothing, is counted, and what it had decided runs out.
package outlier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/expr-lang/expr/vm"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Event is one thing learnt about a target. Only the fields of its slice count.
type Event struct {
	At           time.Duration    `json:"at_ns"` // by the clock of whoever recorded it
	Slice        config.Slice     `json:"slice"` // a slice's name, as package config has them
	Service      string           `json:"service"`
	Name         string           `json:"name"`
	Incarnation  uint64           `json:"incarnation"`
	Success      bool             `json:"ok,omitempty"`     // probe: it answered; beat: a heartbeat came, not silence
	Milliseconds float64          `json:"ms,omitempty"`     // probe: answer time; beat: silence; exchange: time of all Count together
	State        wire.TargetState `json:"state,omitempty"`  // beat: the target's state
	Count        int              `json:"count,omitempty"`  // exchange: requests that ended, and of them
	Errors       int              `json:"errors,omitempty"` // failed ones
	Slow         int              `json:"slow,omitempty"`   // slow ones
	Demand       float64          `json:"demand,omitempty"` // demand: 0 and more, 1: as much as the target bears
}

// ID returns the identity of the target.
func (e *Event) ID() wire.TargetID {
	return wire.TargetID{Service: e.Service, Name: e.Name, Incarnation: e.Incarnation}
}

// Kinds of decisions, besides config.DecideBar and config.DecideHold, which begin one.
const (
	KindClear config.DecisionKind = "clear" // the condition to clear it is met
	KindLapse config.DecisionKind = "lapse" // the ejection's time to live is over
)

// Decision is one change of a target's standing under one policy.
type Decision struct {
	At          time.Duration       `json:"at_ns"`
	Policy      string              `json:"policy"`
	Kind        config.DecisionKind `json:"kind"` // config.DecideBar, config.DecideHold, KindClear or KindLapse
	Service     string              `json:"service"`
	Name        string              `json:"name"`
	Incarnation uint64              `json:"incarnation"`
	TTLMs       int64               `json:"ttl_ms,omitempty"`
	Shadow      bool                `json:"shadow,omitempty"` // it has no effect
	Reason      string              `json:"why,omitempty"`
}

// policy is a policy in force.
type policy struct {
	name      string
	spec      config.Policy
	when      *vm.Program
	clear     *vm.Program // nil: none
	machine   vm.VM
	evaluated uint64
	failed    uint64
	lastError string
}

// mark is a policy's present decision on a target.
type mark struct {
	until time.Duration
	hold  bool
}

// PolicyStats describes a policy in force and what it has done since it came into force.
type PolicyStats struct {
	Policy     config.Policy `json:"policy"`
	Evaluated  uint64        `json:"evaluated"`
	Failed     uint64        `json:"failed"`
	Error      string        `json:"last_error,omitempty"`
	TargetsOut int           `json:"targets_out"` // targets that it keeps requests from now
	Score      *Score        `json:"score,omitempty"`
}

// Detector evaluates the policies in force on events of any number of targets.
type Detector struct {
	policies map[string]*policy                         // by name
	sorted   []string                                   // the policies' names
	windows  map[wire.TargetID]map[config.Slice]*window // by slice
	marks    map[wire.TargetID]map[string]mark          // by policy
}

// New returns a Judge without policies; Replace puts them in force.
func New() *Detector {
	return &Detector{policies: map[string]*policy{}, windows: map[wire.TargetID]map[config.Slice]*window{}, marks: map[wire.TargetID]map[string]mark{}}
}

// Replace puts the policies of a configuration, which must have passed Check, in force. What a kept or changed ejection
// policy had decided stays until it lapses; a policy's marks go at once when it
// is removed, off, or goes between live and shadow.
func (j *Detector) Replace(c *config.Config) {
	next := map[string]*policy{}
	for name, p := range c.PoliciesInForce() {
		if p.Mode == config.ModeOff {
			continue
		}
		if old := j.policies[name]; old != nil && old.spec == p {
			next[name] = old
			continue
		}
		n := &policy{name: name, spec: p}
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
			if !next[name].continues(j.policies[name]) {
				delete(ms, name)
			}
		}
	}
	j.policies, j.sorted = next, slices.Sorted(maps.Keys(next))
}

// continues reports whether what the old policy of that name decided stands under this one.
func (p *policy) continues(old *policy) bool {
	return p != nil && old != nil && p.spec.Mode == old.spec.Mode && p.spec.Decide == old.spec.Decide
}

// Forget drops a target that is gone for good.
func (j *Detector) Forget(id wire.TargetID) {
	delete(j.windows, id)
	delete(j.marks, id)
}

// Ejected returns until when a live policy keeps requests from a target, and the policy's name; of
// several the last one to end, and 0 if there is none.
func (j *Detector) Ejected(now time.Duration, id wire.TargetID) (until time.Duration, why string) {
	if len(j.marks[id]) == 0 {
		return 0, ""
	}
	for _, name := range slices.Sorted(maps.Keys(j.marks[id])) {
		m, p := j.marks[id][name], j.policies[name]
		if p != nil && p.spec.Mode == config.ModeLive && m.until > now && m.until > until {
			until, why = m.until, name
		}
	}
	return until, why
}

// Restore takes over a decision of an earlier leader, which has left to run.
func (j *Detector) Restore(now time.Duration, id wire.TargetID, policy string, left time.Duration) {
	if p := j.policies[policy]; p != nil && p.spec.Mode == config.ModeLive && left > 0 {
		j.mark(id, policy, mark{until: now + min(left, tuning.EjectionMaxTTL), hold: p.spec.Decide == config.DecideDrain})
	}
}

// mark sets a policy's decision on a target.
func (j *Detector) mark(id wire.TargetID, policy string, m mark) {
	if j.marks[id] == nil {
		j.marks[id] = map[string]mark{}
	}
	j.marks[id][policy] = m
}

// Tick ends the ejections whose time to live is over, and returns those decisions.
func (j *Detector) Tick(now time.Duration) []Decision {
	var out []Decision
	for _, id := range slices.SortedFunc(maps.Keys(j.marks), wire.TargetID.Compare) {
		for _, name := range slices.Sorted(maps.Keys(j.marks[id])) {
			if p := j.policies[name]; j.marks[id][name].until <= now {
				delete(j.marks[id], name)
				out = append(out, p.decision(now, KindLapse, id, "time to live is over"))
			}
		}
		if len(j.marks[id]) == 0 {
			delete(j.marks, id)
		}
	}
	return out
}

func (p *policy) decision(now time.Duration, kind config.DecisionKind, id wire.TargetID, why string) Decision {
	d := Decision{At: now, Policy: p.name, Kind: kind, Service: id.Service, Name: id.Name, Incarnation: id.Incarnation, Shadow: p.spec.Mode == config.ModeShadow, Reason: why}
	if kind == config.DecideEject {
		d.TTLMs = int64(p.spec.TTLMs)
	}
	return d
}

// Step takes one event and returns the decisions that it led to.
func (j *Detector) Step(e Event) []Decision {
	id := e.ID()
	if j.windows[id] == nil {
		j.windows[id] = map[config.Slice]*window{}
	}
	w := j.windows[id][e.Slice]
	if w == nil {
		w = &window{}
		j.windows[id][e.Slice] = w
	}
	w.add(e)
	known := j.facts(id, e, w)
	var out []Decision
	for _, name := range j.names() {
		if p := j.policies[name]; p.spec.Slice == e.Slice {
			out = append(out, j.apply(p, e.At, id, known)...)
		}
	}
	return out
}

// apply evaluates one policy on a target and changes its mark; it returns the decision, if that is
// a new one.
func (j *Detector) apply(p *policy, now time.Duration, id wire.TargetID, known any) []Decision {
	hit, err := p.evaluate(p.when, known)
	clear := false
	if err == nil && !hit && p.clear != nil {
		clear, err = p.evaluate(p.clear, known)
	}
	if err != nil {
		return nil
	}
	m, marked := j.marks[id][p.name]
	switch {
	case hit && p.spec.Decide == config.DecideDrain:
		j.mark(id, p.name, mark{until: now + tuning.EjectionTTL, hold: true})
		if !marked {
			return []Decision{p.decision(now, config.DecideDrain, id, p.spec.When)}
		}
	case hit:
		j.mark(id, p.name, mark{until: now + time.Duration(p.spec.TTLMs)*time.Millisecond})
		if !marked || m.until <= now {
			return []Decision{p.decision(now, config.DecideEject, id, p.spec.When)}
		}
	case marked && (clear || m.hold && p.clear == nil):
		delete(j.marks[id], p.name)
		return []Decision{p.decision(now, KindClear, id, cmp.Or(p.spec.Clear, "condition is over"))}
	}
	return nil
}

// evaluate runs a condition; a failure is counted.
func (p *policy) evaluate(condition *vm.Program, known any) (bool, error) {
	p.evaluated++
	p.machine.MemoryBudget = tuning.PolicyMemory
	v, err := p.machine.Run(condition, known)
	b, ok := v.(bool)
	if err == nil && !ok {
		err = errors.Newf("gave %T, not a bool", v)
	}
	if err != nil {
		p.failed++
		p.lastError = err.Error()
	}
	return b, err
}

// names returns the policies' names in order.
// names are the policies in force, in order.
func (j *Detector) names() []string { return j.sorted }

// Stats returns what there is to say of each policy in force, by name; without its score.
func (j *Detector) Stats() map[string]PolicyStats {
	out := map[string]PolicyStats{}
	for name, p := range j.policies {
		s := PolicyStats{Policy: p.spec, Evaluated: p.evaluated, Failed: p.failed, Error: p.lastError}
		for _, ms := range j.marks {
			if _, ok := ms[name]; ok {
				s.TargetsOut++
			}
		}
		out[name] = s
	}
	return out
}
