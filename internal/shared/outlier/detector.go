// Package outlier is the outlier detector: it turns events of targets into decisions on them. A policy
// is one condition on one slice of what is known of a target (health checks, heartbeats, requests,
// demand) and one decision: ejection, which lapses by itself, or draining, which lasts until its clear
// condition is met, or as long as its condition is if it has none, and lapses tuning.EjectionTTL after its
// condition was last met.
//
// A Detector evaluates policies and is pure: events go in with their time, decisions come out, and
// the same events always give the same decisions. Shadow policies and comparisons rely on that. A policy
// whose evaluation fails decides nothing, the failure is counted, and what it decided before lapses.
// The package gathers no events and acts on no decision: the control plane does both.
//
// Begin with Event, Decision and Detector.Step. environment.go has the names that conditions see,
// score.go how well each policy does, compare.go and session.go the same for recordings and streams.
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

// Detector evaluates the policies in force on events of any number of targets. It is not safe for
// concurrent use.
type Detector struct {
	policies    map[string]*policy // by name
	policyNames []string           // sorted
	windows     map[wire.TargetID]map[config.Slice]*window
	decided     map[wire.TargetID]map[string]activeDecision // by policy
}

// policy is a policy in force.
type policy struct {
	name      string
	settings  config.Policy
	when      *vm.Program
	clear     *vm.Program // nil: none
	machine   vm.VM
	evaluated uint64 // evaluations of conditions
	failed    uint64 // evaluations that failed
	lastError string
}

// activeDecision is a decision of one policy that a target is under.
type activeDecision struct {
	until time.Duration // when it lapses
	drain bool          // draining, else an ejection
}

// PolicyStats describes a policy in force and what it has done since it came into force.
type PolicyStats struct {
	Policy     config.Policy `json:"policy"`
	Evaluated  uint64        `json:"evaluated"`            // evaluations of its conditions
	Failed     uint64        `json:"failed"`               // evaluations that failed
	Error      string        `json:"last_error,omitempty"` // of the last failed one
	TargetsOut int           `json:"targets_out"`          // targets that it keeps requests from now
	Score      *Score        `json:"score,omitempty"`      // nil: not scored
}

// New returns a Detector without policies; Replace puts them in force.
func New() *Detector {
	return &Detector{
		policies: map[string]*policy{},
		windows:  map[wire.TargetID]map[config.Slice]*window{},
		decided:  map[wire.TargetID]map[string]activeDecision{},
	}
}

// Replace puts the policies of a configuration, which must have passed Check, in force. A policy that
// stays, or that changes neither its mode nor its kind of decision, keeps its decisions until they
// lapse or are cleared; those of other policies end at once.
func (d *Detector) Replace(cfg *config.Config) {
	next := map[string]*policy{}
	for name, settings := range cfg.PoliciesInForce() {
		if settings.Mode == config.ModeOff {
			continue
		}
		if present := d.policies[name]; present != nil && present.settings == settings {
			next[name] = present
			continue
		}
		next[name] = newPolicy(name, settings)
	}
	for _, decisions := range d.decided {
		for name := range decisions {
			if !next[name].keepsDecisionsOf(d.policies[name]) {
				delete(decisions, name)
			}
		}
	}
	d.policies, d.policyNames = next, slices.Sorted(maps.Keys(next))
}

func newPolicy(name string, settings config.Policy) *policy {
	p := &policy{name: name, settings: settings}
	var err error
	if p.when, err = compile(settings.Slice, settings.When); err == nil && settings.Clear != "" {
		p.clear, err = compile(settings.Slice, settings.Clear)
	}
	if err != nil {
		panic(errors.Wrapf(err, "policy %s was accepted", name))
	}
	return p
}

// keepsDecisionsOf reports whether decisions of the previous policy of that name stay under this one.
// Either may be nil.
func (p *policy) keepsDecisionsOf(previous *policy) bool {
	return p != nil && previous != nil && p.settings.Mode == previous.settings.Mode && p.settings.Decide == previous.settings.Decide
}

// Forget drops a target that is gone for good.
func (d *Detector) Forget(id wire.TargetID) {
	delete(d.windows, id)
	delete(d.decided, id)
}

// Ejected returns until when live policies keep requests from a target, and the policy whose decision
// lapses last; 0 and "" if there is none.
func (d *Detector) Ejected(now time.Duration, id wire.TargetID) (until time.Duration, policy string) {
	if len(d.decided[id]) == 0 {
		return 0, ""
	}
	for _, name := range slices.Sorted(maps.Keys(d.decided[id])) {
		decision, p := d.decided[id][name], d.policies[name]
		if p != nil && p.settings.Mode == config.ModeLive && decision.until > now && decision.until > until {
			until, policy = decision.until, name
		}
	}
	return until, policy
}

// Restore takes over a decision of an earlier leader, with the time that it has left. A policy that is
// not in force or not live has none.
func (d *Detector) Restore(now time.Duration, id wire.TargetID, policy string, left time.Duration) {
	if p := d.policies[policy]; p != nil && p.settings.Mode == config.ModeLive && left > 0 {
		d.setDecision(id, policy, activeDecision{
			until: now + min(left, tuning.EjectionMaxTTL),
			drain: p.settings.Decide == config.DecideDrain,
		})
	}
}

func (d *Detector) setDecision(id wire.TargetID, policy string, decision activeDecision) {
	if d.decided[id] == nil {
		d.decided[id] = map[string]activeDecision{}
	}
	d.decided[id][policy] = decision
}

// Tick ends the decisions that have lapsed, and returns that, in order of targets and policies.
func (d *Detector) Tick(now time.Duration) []Decision {
	var lapsed []Decision
	for _, id := range slices.SortedFunc(maps.Keys(d.decided), wire.TargetID.Compare) {
		for _, name := range slices.Sorted(maps.Keys(d.decided[id])) {
			if p := d.policies[name]; d.decided[id][name].until <= now {
				delete(d.decided[id], name)
				lapsed = append(lapsed, p.decision(now, KindLapse, id, "time to live is over"))
			}
		}
		if len(d.decided[id]) == 0 {
			delete(d.decided, id)
		}
	}
	return lapsed
}

// Step takes one event and returns the decisions that it led to, in order of policies.
func (d *Detector) Step(event Event) []Decision {
	id := event.ID()
	if d.windows[id] == nil {
		d.windows[id] = map[config.Slice]*window{}
	}
	w := d.windows[id][event.Slice]
	if w == nil {
		w = &window{}
		d.windows[id][event.Slice] = w
	}
	w.add(event)
	environment := d.environment(id, event, w)
	var decisions []Decision
	for _, name := range d.policyNames {
		if p := d.policies[name]; p.settings.Slice == event.Slice {
			decisions = append(decisions, d.evaluate(p, event.At, id, environment)...)
		}
	}
	return decisions
}

// evaluate evaluates one policy on a target and updates its decision; it returns the change, if there
// is one.
func (d *Detector) evaluate(policy *policy, now time.Duration, id wire.TargetID, environment any) []Decision {
	met, err := policy.run(policy.when, environment)
	cleared := false
	if err == nil && !met && policy.clear != nil {
		cleared, err = policy.run(policy.clear, environment)
	}
	if err != nil {
		return nil
	}
	present, decided := d.decided[id][policy.name]
	switch {
	case met && policy.settings.Decide == config.DecideDrain:
		d.setDecision(id, policy.name, activeDecision{until: now + tuning.EjectionTTL, drain: true})
		if !decided {
			return []Decision{policy.decision(now, config.DecideDrain, id, policy.settings.When)}
		}
	case met:
		d.setDecision(id, policy.name, activeDecision{until: now + time.Duration(policy.settings.TTLMs)*time.Millisecond})
		if !decided || present.until <= now {
			return []Decision{policy.decision(now, config.DecideEject, id, policy.settings.When)}
		}
	case decided && (cleared || present.drain && policy.clear == nil):
		delete(d.decided[id], policy.name)
		return []Decision{policy.decision(now, KindClear, id, cmp.Or(policy.settings.Clear, "condition is over"))}
	}
	return nil
}

// run evaluates a condition. Its error is counted; the policy decides nothing then.
func (p *policy) run(condition *vm.Program, environment any) (bool, error) {
	p.evaluated++
	p.machine.MemoryBudget = tuning.PolicyMemory
	value, err := p.machine.Run(condition, environment)
	met, ok := value.(bool)
	if err == nil && !ok {
		err = errors.Newf("gave %T, not a bool", value)
	}
	if err != nil {
		p.failed++
		p.lastError = err.Error()
	}
	return met, err
}

func (p *policy) decision(now time.Duration, kind config.DecisionKind, id wire.TargetID, reason string) Decision {
	decision := Decision{
		At:          now,
		Policy:      p.name,
		Kind:        kind,
		Service:     id.Service,
		Name:        id.Name,
		Incarnation: id.Incarnation,
		Shadow:      p.settings.Mode == config.ModeShadow,
		Reason:      reason,
	}
	if kind == config.DecideEject {
		decision.TTLMs = int64(p.settings.TTLMs)
	}
	return decision
}

// Stats returns the statistics of each policy in force, by name, without scores.
func (d *Detector) Stats() map[string]PolicyStats {
	stats := map[string]PolicyStats{}
	for name, p := range d.policies {
		s := PolicyStats{Policy: p.settings, Evaluated: p.evaluated, Failed: p.failed, Error: p.lastError}
		for _, decisions := range d.decided {
			if _, ok := decisions[name]; ok {
				s.TargetsOut++
			}
		}
		stats[name] = s
	}
	return stats
}
