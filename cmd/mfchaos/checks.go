// This file holds what was served against the rules.

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// violation notes that a rule was broken.
func (f *fleet) violation(rule, format string, args ...any) {
	f.violations[rule]++
	f.violationTexts = append(f.violationTexts, rule+": "+fmt.Sprintf(format, args...))
	f.logf("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// emptiedSlack is how long after the acknowledgement a request that was on its way may still begin in an emptied domain.
const emptiedSlack = 500 * time.Millisecond

// checkEmptied looks for requests that began in an emptied domain.
func (f *fleet) checkEmptied(domain string, from, until time.Time) {
	late := 0
	for _, entry := range f.requestLog() {
		if entry.Domain == domain && entry.StartedAt > from.Add(emptiedSlack).UnixNano() && entry.StartedAt < until.UnixNano() {
			late++
		}
	}
	if late > 0 {
		f.violation("emptied domain", "%d exchanges ran in %s more than 0.5 s after it was emptied", late, domain)
	}
}

// checkWarmupRate looks in the ledgers for seconds in which a warming target ran more than its service's rate and the
// half over it that complete turns can make.
func (f *fleet) checkWarmupRate() {
	var configuration struct {
		Services map[string]struct {
			Rate float64 `json:"cold_per_s"`
		}
	}
	if err := json.Unmarshal(f.config, &configuration); err != nil {
		f.violation("cold rate", "the configuration is not read: %v", err)
		return
	}
	ran, most := 0, 0
	arrivals := map[string][]int64{} // of the last second, by back end
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
			f.violation("cold rate", "%s ran %d exchanges in a second while cold, of %g", entry.Name, len(second), rate)
		}
	}
	f.logf("%d exchanges ran at cold targets, at most %d in a second at one", ran, most)
}

// verdict prints what the load saw and which rules held, and returns the exit code.
func (f *fleet) verdict(seed uint64) int {
	var rep map[string]any
	report, _ := os.ReadFile(f.path("load.json"))
	if json.Unmarshal(report, &rep) != nil {
		fmt.Println("the load generator left no report")
		return 1
	}
	num := func(k string) int { f, _ := rep[k].(float64); return int(f) }
	for rule, k := range map[string]string{"runs twice": "ran_twice", "refused but ran": "ran_though_refused", "wrong answer": "wrong_answers", "another's answer": "answers_of_others",
		"wrong service": "wrong_service", "leaving target": "to_leaving_after_2s", "come back when": "refused_without_retry_after"} {
		if n := num(k); n > 0 {
			f.violation(rule, "%d", n)
		}
	}
	if f.routes {
		f.checkWarmupRate()
	}
	fmt.Printf("\nseed %d, %s, faults: %s\n", seed, f.name, strings.Join(f.faults, ", "))
	fmt.Printf("offered %d, served %d, refused %d, unknown %d, no answer %d, latency ms %v, latest to a leaving target %d ms\n",
		num("offered"), num("served"), num("refused"), num("unknown"), num("no_answer"), rep["latency_ms"], num("latest_to_leaving_ms"))
	for _, e := range examplesOf(rep) {
		fmt.Println("  e.g.", e)
	}
	for _, r := range []string{"runs twice", "refused but ran", "wrong answer", "another's answer", "wrong service", "leaving target", "cold rate", "come back when", "emptied domain",
		"in force everywhere", "one base", "history", "invalid configuration", "planned restart", "settings changed", "capacity back", "back in 15 s"} {
		if r == "cold rate" && !f.routes {
			continue
		}
		v := "held"
		if f.violations[r] > 0 {
			v = fmt.Sprintf("BROKEN %d times", f.violations[r])
		}
		fmt.Printf("  %-22s %s\n", r, v)
	}
	if len(f.violations) > 0 {
		return 1
	}
	return 0
}

// examplesOf are what the load generator noted for people; it leaves the field out if
// there is nothing.
func examplesOf(report map[string]any) []any {
	examples, _ := report["examples"].([]any)
	return examples
}
