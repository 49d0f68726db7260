// Package outlier implements outlier detection: it evaluates policies on events about targets and decides
// which targets to eject or drain. A policy has one condition on one kind of observation (health checks,
// heartbeats, requests or demand) and one decision. An ejection expires after the policy's time to live.
// Draining lasts until the clear condition is met or, without a clear condition, until the condition no
// longer holds; it also expires tuning.EjectionTTL after the condition last held.
//
// A Detector is deterministic: it has no clock of its own and does no I/O, so the same timestamped events
// always give the same decisions. Shadow policies and comparisons rely on that. If the evaluation of a
// policy fails, the policy decides nothing, the failure is counted, and its earlier decisions expire.
// The package neither collects events nor carries out decisions: the control plane does both.
//
// Start with Event, Decision and Detector.Step. environment.go defines the variables that conditions may
// use, score.go scores policies, and compare.go and session.go evaluate policies on recordings and streams.
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

// Detector evaluates the policies in force on the events of any number of targets. It is not safe for
// concurrent use.
type Detector struct {
	policies    map[string]*policy                          // by name
	policyNames []string                                    // the keys of policies, sorted
	windows     map[wire.TargetID]map[config.Signal]*window // latest events by target and signal
	decided     map[wire.TargetID]map[string]activeDecision // by target and policy name
}

// policy is a policy in force with its compiled conditions.
type policy struct {
	name      string
	settings  config.Policy
	when      *vm.Program
	clear     *vm.Program // nil if the policy has no clear condition
	machine   vm.VM
	evaluated uint64 // number of evaluated conditions
	failed    uint64 // number of evaluations that failed
	lastError string // error of the latest failed evaluation, "" if none failed
}

// activeDecision is a policy's decision that applies to a target now.
type activeDecision struct {
	until time.Duration // when it expires
	drain bool          // true: draining, false: ejection
}

// PolicyStats describes a policy in force and its evaluations since it came into force.
type PolicyStats struct {
	Policy     config.Policy `json:"policy"`
	Evaluated  uint64        `json:"evaluated"`            // number of evaluated conditions
	Failed     uint64        `json:"failed"`               // number of evaluations that failed
	Error      string        `json:"last_error,omitempty"` // error of the latest failed evaluation, "" if none failed
	TargetsOut int           `json:"targets_out"`          // number of targets that the policy ejects or drains now
	Score      *Score        `json:"score,omitempty"`      // nil if the policy is not scored
}

// New returns a Detector without policies. Call Replace to set them.
func New() *Detector {
	return &Detector{
		policies: map[string]*policy{},
		windows:  map[wire.TargetID]map[config.Signal]*window{},
		decided:  map[wire.TargetID]map[string]activeDecision{},
	}
}

// Replace puts the policies of a configuration in force; each must have passed Check. A policy whose mode
// and kind of decision stay the same keeps its active decisions until they expire or are cleared. Decisions
// of all other policies end at once.
func (d *Detector) Replace(cfg *config.Config) {
	next := map[string]*policy{}
	for name, settings := range cfg.PoliciesInForce() {
		if settings.Mode == config.ModeOff {
			continue
		}
		if current := d.policies[name]; current != nil && current.settings == settings {
			next[name] = current
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
	if p.when, err = compile(settings.Signal, settings.When); err == nil && settings.Clear != "" {
		p.clear, err = compile(settings.Signal, settings.Clear)
	}
	if err != nil {
		panic(errors.Wrapf(err, "policy %s passed Check but does not compile", name))
	}
	return p
}

// keepsDecisionsOf reports whether active decisions of previous, the earlier policy of the same name, remain
// valid under p. Either may be nil.
func (p *policy) keepsDecisionsOf(previous *policy) bool {
	return p != nil && previous != nil && p.settings.Mode == previous.settings.Mode && p.settings.Decide == previous.settings.Decide
}

// Forget removes all data of a target that will not return.
func (d *Detector) Forget(id wire.TargetID) {
	delete(d.windows, id)
	delete(d.decided, id)
}

// Ejected returns when the last active decision of the live policies on a target expires, whether it is an
// ejection or draining, and the policy's name. If no such decision is active, it returns 0 and "".
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

// Restore adds a decision that was made under an earlier leader and expires after the duration left. It does
// nothing if the policy is not in force or not live.
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

// Tick removes the decisions that have expired by now. It returns a KindLapse decision for each, sorted by
// target and policy.
func (d *Detector) Tick(now time.Duration) []Decision {
	var lapsed []Decision
	for _, id := range slices.SortedFunc(maps.Keys(d.decided), wire.TargetID.Compare) {
		for _, name := range slices.Sorted(maps.Keys(d.decided[id])) {
			if p := d.policies[name]; d.decided[id][name].until <= now {
				delete(d.decided[id], name)
				lapsed = append(lapsed, p.decision(now, KindLapse, id, "time to live expired"))
			}
		}
		if len(d.decided[id]) == 0 {
			delete(d.decided, id)
		}
	}
	return lapsed
}

// Step processes one event and returns the resulting decisions, sorted by policy.
func (d *Detector) Step(event Event) []Decision {
	id := event.ID()
	if d.windows[id] == nil {
		d.windows[id] = map[config.Signal]*window{}
	}
	w := d.windows[id][event.Signal]
	if w == nil {
		w = &window{}
		d.windows[id][event.Signal] = w
	}
	w.add(event)
	environment := d.environment(id, event, w)
	var decisions []Decision
	for _, name := range d.policyNames {
		if p := d.policies[name]; p.settings.Signal == event.Signal {
			decisions = append(decisions, d.evaluate(p, event.At, id, environment)...)
		}
	}
	return decisions
}

// evaluate evaluates one policy for a target and updates the policy's active decision. It returns a decision
// if one began or was cleared, else nil.
func (d *Detector) evaluate(policy *policy, now time.Duration, id wire.TargetID, environment any) []Decision {
	met, err := policy.run(policy.when, environment)
	cleared := false
	if err == nil && !met && policy.clear != nil {
		cleared, err = policy.run(policy.clear, environment)
	}
	if err != nil {
		return nil
	}
	active, decided := d.decided[id][policy.name]
	switch {
	case met && policy.settings.Decide == config.DecideDrain:
		d.setDecision(id, policy.name, activeDecision{until: now + tuning.EjectionTTL, drain: true})
		if !decided {
			return []Decision{policy.decision(now, config.DecideDrain, id, policy.settings.When)}
		}
	case met:
		d.setDecision(id, policy.name, activeDecision{until: now + time.Duration(policy.settings.TTLMs)*time.Millisecond})
		if !decided || active.until <= now {
			return []Decision{policy.decision(now, config.DecideEject, id, policy.settings.When)}
		}
	case decided && (cleared || active.drain && policy.clear == nil):
		delete(d.decided[id], policy.name)
		return []Decision{policy.decision(now, KindClear, id, cmp.Or(policy.settings.Clear, "condition no longer holds"))}
	}
	return nil
}

// run evaluates a condition of the policy and counts the evaluation and its failure.
func (p *policy) run(condition *vm.Program, environment any) (bool, error) {
	p.evaluated++
	p.machine.MemoryBudget = tuning.PolicyMemory
	value, err := p.machine.Run(condition, environment)
	met, ok := value.(bool)
	if err == nil && !ok {
		err = errors.Newf("condition returned %T, want bool", value)
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

// Stats returns the statistics of the policies in force by name, without scores.
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
