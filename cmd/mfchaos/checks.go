// This file checks the results of a run against the rules.

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// Rules that a run is checked against, by the names that are printed.
const (
	ruleAtMostOnce           = "at most once"                    // a non-idempotent request runs at most once
	ruleRejectedRequest      = "rejected requests not run"       // a request that is reported as rejected has not run
	ruleCorrectResponse      = "correct response content"        // a response has the content that its request asked for
	ruleOwnResponse          = "response matches request"        // a request gets its own response
	ruleRightService         = "correct service"                 // a request reaches only targets of its service
	ruleDrainingTarget       = "no requests to draining targets" // a target gets no new requests later than 2 s after it began to drain
	ruleWarmupRate           = "warm-up rate limit"              // a target that warms up gets at most 1.5 times its service's warm-up rate in any second
	ruleRetryAfter           = "Retry-After on rejection"        // a temporary rejection has a Retry-After
	ruleEmptiedDomain        = "no requests to emptied domains"  // an emptied domain gets no requests
	ruleConfigurationInForce = "configuration in force"          // all proxies that serve follow an acknowledged configuration
	ruleOneChangePerBase     = "one change per base revision"    // at most one of several changes on the same base is accepted
	ruleLinearizable         = "linearizability"                 // reads and changes of the configuration are linearizable
	ruleInvalidConfiguration = "invalid configuration rejected"  // an invalid configuration is rejected and changes nothing
	ruleGracefulStop         = "graceful stop"                   // a daemon that gets SIGTERM exits in time and without an error
	ruleSettingsReload       = "settings reload"                 // a daemon reloads a valid settings file and survives an invalid one
	ruleFullCapacity         = "full capacity"                   // after a fault all targets serve again within 15 s
	ruleRecoveryTime         = "recovery time"                   // after a fault the fleet serves again within 15 s
)

// Rules that only a soak or an upgrade checks.
const (
	ruleNoCrash              = "no unexpected exit"     // no process exits without being asked
	ruleNoPermanentRejection = "no 4xx responses"       // no valid request gets a 4xx response
	ruleNoEarlyTimeout       = "no early timeouts"      // a graceful stop does not make a proxy time a request out early
	ruleDeadline             = "deadline"               // a request is answered within its deadline
	ruleLostRequest          = "no lost responses"      // no request loses its response without a reason
	ruleChangeAccepted       = "valid changes accepted" // a change on the newest acknowledged revision is accepted
	ruleDurability           = "durability"             // acknowledged changes survive the loss of all processes
	ruleNoDamage             = "no unreadable data"     // no control daemon reports unreadable data
	ruleLateChange           = "no late changes"        // a change has no effect after a later one about the same subject is acknowledged
)

// ruleWidth is the width of the column of rules in printed verdicts: that of the longest name.
const ruleWidth = len(ruleDrainingTarget)

// ruleTestEnvironment counts failures of the test itself, not of the fleet: something could not be started, written or read.
const ruleTestEnvironment = "test environment"

// recordViolation counts and logs a violation of a rule.
func (f *fleet) recordViolation(rule, format string, args ...any) {
	f.violationsMutex.Lock()
	defer f.violationsMutex.Unlock()
	f.violations[rule]++
	f.violationMessages = append(f.violationMessages, rule+": "+fmt.Sprintf(format, args...))
	f.logf("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// emptiedDomainSlack is how long after the acknowledgement a request that a proxy had already sent may still start in an
// emptied domain.
const emptiedDomainSlack = 500 * time.Millisecond

// checkEmptiedDomain checks that no request started in a domain while it was emptied.
func (f *fleet) checkEmptiedDomain(domain string, from, until time.Time) {
	late := 0
	for _, entry := range f.requestLog() {
		if entry.Domain == domain && entry.StartedAt > from.Add(emptiedDomainSlack).UnixNano() && entry.StartedAt < until.UnixNano() {
			late++
		}
	}
	if late > 0 {
		f.recordViolation(ruleEmptiedDomain, "%d requests ran in %s more than 0.5 s after it was emptied", late, domain)
	}
}

// checkWarmupRate checks in the request logs that no back end, while it warmed up, ran more requests in any second than 1.5
// times its service's warm-up rate. Each of the proxies that share this rate may exceed it by one request. The fleets
// have so few proxies that this excess stays within half of the rate.
func (f *fleet) checkWarmupRate() {
	var configuration struct {
		Services map[string]struct {
			Rate float64 `json:"cold_per_s"`
		}
	}
	if err := json.Unmarshal(f.config, &configuration); err != nil {
		f.recordViolation(ruleWarmupRate, "the configuration can't be decoded: %v", err)
		return
	}
	ran, most := 0, 0
	arrivals := map[string][]int64{} // start times within the last second, by back end
	for _, entry := range f.requestLog() {
		if !entry.WarmingUp {
			continue
		}
		ran++
		second := append(arrivals[entry.Name], entry.StartedAt)
		slices.Sort(second)
		second = slices.DeleteFunc(second, func(at int64) bool { return at <= entry.StartedAt-int64(time.Second) })
		arrivals[entry.Name] = second
		most = max(most, len(second))
		if rate := configuration.Services[entry.Service].Rate; rate > 0 && float64(len(second)) > 1.5*rate {
			f.recordViolation(ruleWarmupRate, "%s ran %d requests in a second while warming up, its rate is %g", entry.Name, len(second), rate)
		}
	}
	f.logf("%d requests ran at targets that were warming up, at most %d in a second at one target", ran, most)
}

// printVerdict prints the load generator's report and which rules held, and returns the exit code.
func (f *fleet) printVerdict(seed uint64) int {
	var rep map[string]any
	report, _ := os.ReadFile(f.path("load.json"))
	if json.Unmarshal(report, &rep) != nil {
		fmt.Println("mfchaos: the load generator left no valid report in load.json")
		return 1
	}
	num := func(k string) int { f, _ := rep[k].(float64); return int(f) }
	for rule, k := range map[string]string{ruleAtMostOnce: "ran_twice", ruleRejectedRequest: "ran_though_refused", ruleCorrectResponse: "wrong_answers", ruleOwnResponse: "answers_of_others",
		ruleRightService: "wrong_service", ruleDrainingTarget: "to_leaving_after_2s", ruleRetryAfter: "refused_without_retry_after"} {
		if n := num(k); n > 0 {
			f.recordViolation(rule, "%d", n)
		}
	}
	if f.routes {
		f.checkWarmupRate()
	}
	fmt.Printf("\nseed %d, %s, faults: %s\n", seed, f.deploymentName, strings.Join(f.faults, ", "))
	fmt.Printf("offered %d, served %d, rejected %d, unknown %d, no reply %d, latency ms %v, latest request to a draining target %d ms\n",
		num("offered"), num("served"), num("refused"), num("unknown"), num("no_answer"), rep["latency_ms"], num("latest_to_leaving_ms"))
	for _, e := range examplesOf(rep) {
		fmt.Println("  e.g.", e)
	}
	for _, r := range []string{ruleAtMostOnce, ruleRejectedRequest, ruleCorrectResponse, ruleOwnResponse, ruleRightService, ruleDrainingTarget, ruleWarmupRate, ruleRetryAfter, ruleEmptiedDomain,
		ruleConfigurationInForce, ruleOneChangePerBase, ruleLinearizable, ruleInvalidConfiguration, ruleGracefulStop, ruleSettingsReload, ruleFullCapacity, ruleRecoveryTime} {
		if r == ruleWarmupRate && !f.routes {
			continue
		}
		v := "held"
		if f.violations[r] > 0 {
			v = fmt.Sprintf("BROKEN %d times", f.violations[r])
		}
		fmt.Printf("  %-*s %s\n", ruleWidth, r, v)
	}
	if len(f.violations) > 0 {
		return 1
	}
	return 0
}

// examplesOf returns the examples of violations in the load generator's report. The report omits the field if there are
// none.
func examplesOf(report map[string]any) []any {
	examples, _ := report["examples"].([]any)
	return examples
}
