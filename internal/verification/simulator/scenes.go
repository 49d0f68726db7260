package simulator

import (
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/shared/wire"
)

// Scene is a scenario that tests one or more rules. It injects faults that threaten the rules, counts how often the situation
// that they create occurred, and names a guard. With the guard disabled, the check of one of the rules must fail.
type Scene struct {
	Name        string
	Rules       []Rule             // one of these is violated if the guard is disabled
	Threat      string             // description of the situation, for mfsim --rules
	Faults      []string           // names of the faults to inject
	Repeats     int                // number of times that each fault is injected
	AdjustPlan  func(*Plan)        // changes the plan for the scene; nil: no change
	Script      func(w *World)     // runs instead of the faults; nil: the faults are injected
	Planned     bool               // the scene has only planned stops and changes, so no request may be lost
	Occurrences func(s *Stats) int // returns how often the situation occurred
	// DisabledGuard is the guard without which the scene violates one of the rules.
	DisabledGuard Guard
}

// Scenes lists all scenes. Faults that need HTTP (altered, wrong and incomplete responses) are tested in package reverseproxy.
var Scenes = []Scene{
	{Name: "twice", Rules: []Rule{ruleAtMostOnce}, Threat: "targets run a request and lose its response, proxies are killed with requests in flight",
		Faults: []string{"service loses responses", "target loses responses", "proxy killed"}, Repeats: 2,
		Occurrences: func(s *Stats) int { return s.LostNonIdempotent }, DisabledGuard: guardAtMostOnce},
	{Name: "surplus", Rules: []Rule{ruleOwnResponse}, Threat: "targets send responses that no request waits for, connections are reset and callers cancel",
		Faults: []string{"targets send surplus responses", "connections reset", "callers cancel requests", "service loses responses"}, Repeats: 2, AdjustPlan: func(p *Plan) { p.Rate = 250 },
		Occurrences: func(s *Stats) int { return min(s.SurplusResponses, s.MismatchedResponses, s.ResetAttempts, s.Canceled) }, DisabledGuard: guardResponseIDs},
	{Name: "reset", Rules: []Rule{ruleAtMostOnce}, Threat: "connections are reset and surplus responses arrive while non-idempotent requests are at their targets",
		Faults: []string{"connections reset", "targets send surplus responses"}, Repeats: 3, AdjustPlan: func(p *Plan) { p.Rate, p.NonIdempotent = 250, 0.7 },
		Occurrences: func(s *Stats) int { return min(s.ResetAttempts, s.MismatchedResponses) }, DisabledGuard: guardAtMostOnce},
	{Name: "refused", Rules: []Rule{ruleRejectedRequest}, Threat: "requests are rejected after an attempt, when responses are lost and targets hang",
		Faults: []string{"service loses responses", "target hangs", "service slow"}, Repeats: 2, AdjustPlan: func(p *Plan) { p.Rate = 700 },
		Occurrences: func(s *Stats) int { return min(s.Rejected, s.LostResponses) }, DisabledGuard: guardUnknownAfterSend},
	{Name: "wrong-service", Rules: []Rule{ruleRightService}, Threat: "addresses are reassigned to another service while proxies are isolated",
		Faults: []string{"address reassigned", "address reassigned", "service removed, its addresses reassigned"}, Repeats: 3,
		AdjustPlan:  func(p *Plan) { p.Rate = 250 },
		Occurrences: func(s *Stats) int { return s.WrongIdentities }, DisabledGuard: guardIdentity},
	{Name: "leaving", Rules: []Rule{ruleDrainingTarget}, Threat: "targets are drained while leaders are killed and proxies are isolated",
		Faults: []string{"target drained", "leader killed", "proxy isolated", "proxy frozen before writing requests"}, Repeats: 2,
		Occurrences: func(s *Stats) int { return s.Drains }, DisabledGuard: guardDraining},
	{Name: "gone", Rules: []Rule{ruleCrashedTarget}, Threat: "targets crash without notice, also together with the leader",
		Faults: []string{"target crash without restart", "target crash", "leader killed", "stale target reports"}, Repeats: 2,
		Occurrences: func(s *Stats) int { return s.TargetCrashes }, DisabledGuard: guardHealthChecks},
	{Name: "emptied", Rules: []Rule{ruleEmptiedDomain}, Threat: "a domain is emptied while proxies are isolated, frozen and get a new leader",
		Faults: []string{"domain emptied and restored", "proxy isolated", "proxy frozen before writing requests", "leader killed"}, Repeats: 2,
		Occurrences: func(s *Stats) int { return s.EmptiedDomains }, DisabledGuard: guardEmptiedDomains},
	{Name: "in-force", Rules: []Rule{ruleConfigurationInForce}, Threat: "configurations change while proxies are isolated, frozen and lose their leader",
		Faults: []string{"config", "config patch", "proxy isolated", "proxy frozen", "leader isolated"}, Repeats: 2,
		Occurrences: func(s *Stats) int { return s.AcceptedChanges }, DisabledGuard: guardReplyInForce},
	{Name: "slip", Rules: []Rule{ruleRevisionOrder}, Threat: "messages with earlier tables and of earlier leaders arrive late",
		Faults: []string{"network loses and delays messages", "config", "leader killed"}, Repeats: 3,
		Occurrences: func(s *Stats) int { return min(s.AcceptedChanges, s.ReorderedMessages) }, DisabledGuard: guardTableVersions},
	{Name: "one-base", Rules: []Rule{ruleOneChangePerBase}, Threat: "two changes are based on the same revision, with invalid changes in between",
		Faults: []string{"config pair", "config pair", "config invalid", "config rolled back"}, Repeats: 3,
		Occurrences: func(s *Stats) int { return s.RejectedChanges }, DisabledGuard: guardBaseRevision},
	{Name: "forgotten", Rules: []Rule{ruleDurability, ruleConfigurationInForce, ruleRevisionOrder}, Threat: "power fails and daemons are killed just after an acknowledgement",
		Faults: []string{"power failure of the whole fleet", "all control daemons killed", "config change, then leader killed"}, Repeats: 2,
		Occurrences: func(s *Stats) int { return s.AcceptedChanges }, DisabledGuard: guardSync},
	{Name: "warming", Rules: []Rule{ruleWarmingConcurrency}, Threat: "a whole service restarts and warms up under full load, proxies are added, removed and killed",
		Faults: []string{"config", "service restarts and warms up", "proxy added, another lost permanently", "proxy killed"}, Repeats: 2, AdjustPlan: func(p *Plan) { p.Rate = 300 },
		Occurrences: func(s *Stats) int { return s.MostWhileWarming }, DisabledGuard: guardWarmingConcurrency},
	{Name: "cold", Rules: []Rule{ruleWarmupRate}, Threat: "a whole service that has routes restarts and warms up under load, proxies are added, removed, killed and isolated",
		Faults: []string{"config", "service restarts and warms up", "target warms up again", "domain emptied and restored", "proxy added, another lost permanently", "proxy killed", "proxy isolated"}, Repeats: 2,
		AdjustPlan:  func(p *Plan) { p.Rate, p.Slots, p.WarmupRate = 300, 6, 8 },
		Occurrences: func(s *Stats) int { return s.WarmupArrivals }, DisabledGuard: guardWarmupReport},
	{Name: "slots", Rules: []Rule{ruleAtMostOnce}, Threat: "targets with few slots reject requests and lose responses under load",
		Faults: []string{"service loses responses", "target loses responses", "service slow", "proxy killed"}, Repeats: 2,
		AdjustPlan:  func(p *Plan) { p.Rate, p.Slots = 500, 3 },
		Occurrences: func(s *Stats) int { return min(s.TargetRejections, s.LostNonIdempotent) }, DisabledGuard: guardAtMostOnce},
	{Name: "retries", Rules: []Rule{ruleRetryBudget}, Threat: "a service loses all responses to idempotent requests",
		Faults: []string{"service loses responses"}, Repeats: 3, AdjustPlan: func(p *Plan) { p.NonIdempotent, p.Rate = 0, 300 },
		Occurrences: func(s *Stats) int { return s.Retries }, DisabledGuard: guardRetryBudget},
	{Name: "in-flight", Rules: []Rule{ruleGracefulStop}, Threat: "planned changes of proxies, leaders, members, targets, configurations and domains under load",
		Faults: []string{"proxy restarted gracefully", "rolling restart of a service", "leader restarted gracefully", "config", "config patch", "domain emptied and restored", "member replaced by operator", "policy replaced"}, Repeats: 1,
		Planned: true, Occurrences: func(s *Stats) int { return s.GracefulStops }, DisabledGuard: guardGracefulStop},
	{Name: "left", Rules: []Rule{ruleConfigurationInForce, ruleEmptiedDomain}, Threat: "any number of proxies leave and return while configurations change, domains are emptied and leaders and links fail",
		Faults: []string{"proxies leave", "config", "domain emptied and restored", "proxies leave", "leader killed", "config patch", "proxy isolated", "control plane partitioned from proxies"}, Repeats: 2,
		AdjustPlan:  func(p *Plan) { p.Proxies = 6 },
		Occurrences: func(s *Stats) int { return min(s.GracefulStops, s.AcceptedChanges) }, DisabledGuard: guardEndOfService},
	{Name: "back", Rules: []Rule{ruleRecoveryTime}, Threat: "all daemons and their disks are lost at once, and one control daemon never returns",
		Script: (*World).loseEverything, Occurrences: func(*Stats) int { return 1 }, DisabledGuard: guardBootstrapHellos},
	{Name: "one-leader", Rules: []Rule{ruleSingleLeader}, Threat: "leaders are frozen, isolated, stalled and transfer leadership",
		Faults: []string{"leader frozen", "leader isolated", "control plane partitioned", "leader's disk stalls", "leader restarted gracefully"}, Repeats: 2,
		Occurrences: func(s *Stats) int { return s.Steps }, DisabledGuard: guardClockRate},
}

// sceneSpan is the time span in which a scene's faults begin.
const sceneSpan = 25 * time.Second

// Run runs the scene with a seed. If withoutGuard is set, its guard is disabled.
func (s *Scene) Run(seed uint64, plan Plan, withoutGuard bool) *World {
	if s.AdjustPlan != nil {
		s.AdjustPlan(&plan)
	}
	disabled := guardNone
	if withoutGuard {
		disabled = s.DisabledGuard
	}
	if s.Script != nil {
		w := Start(seed, plan)
		w.disabledGuard = disabled
		w.Run(w.now + 2*time.Second)
		s.Script(w)
		return w
	}
	faults := s.faults()
	return runRandomFaults(seed, plan, faults, len(faults), sceneSpan, func(w *World) {
		w.disabledGuard, w.checks.plannedOnly = disabled, s.Planned
		if disabled == guardClockRate {
			w.redrawClockRates()
		}
	})
}

// faults returns the scene's faults, each Repeats times.
func (s *Scene) faults() (faults []Fault) {
	for range s.Repeats {
		for _, name := range s.Faults {
			f, found := FaultByName(name)
			if !found {
				panic("scene " + s.Name + ": unknown fault " + name)
			}
			faults = append(faults, f)
		}
	}
	return faults
}

// redrawClockRates sets new random rates for the clocks of all processes from now on.
func (w *World) redrawClockRates() {
	for _, p := range w.fleet() {
		p.clockOffset, p.startedAt = p.localTime(), w.now
		p.clockRate = w.randomClockRate()
	}
}

// ViolatedIn reports whether the run in w violated one of the scene's rules.
func (s *Scene) ViolatedIn(w *World) bool {
	rule, _, _ := strings.Cut(w.Failure, ":")
	return w.Failure != "" && slices.Contains(s.Rules, Rule(rule))
}

// RuleNames returns the names of the scene's rules as mfsim prints them.
func (s *Scene) RuleNames() string {
	var names []string
	for _, rule := range s.Rules {
		names = append(names, string(rule))
	}
	return strings.Join(names, "|")
}

// loseEverything kills all daemons at once and wipes the disks of all control daemons; one of these never returns.
func (w *World) loseEverything() {
	for i, p := range w.fleet() {
		w.Kill(p)
		if p.kind == wire.ControlDaemon {
			w.WipeDisk(p)
		}
		if i > 0 {
			w.restartLater(p, w.randomMilliseconds(200, 2000))
		}
	}
	w.forgetAcknowledgements()
	w.checks.history.Reset()
	w.checks.domains.Reset()
	end := w.now + recoveryBound
	for w.Leader() == nil && w.now < end {
		w.Run(w.now + 100*time.Millisecond)
	}
	if leader := w.Leader(); leader != nil {
		w.PutConfig(leader, 0, 3)
	}
	w.AwaitRecovery(end - w.now)
	w.Finish()
}
