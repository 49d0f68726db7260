// This file holds what was served against the rules.

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

func (l *lab) note(rule, f string, a ...any) {
	l.broken[rule]++
	l.notes = append(l.notes, rule+": "+fmt.Sprintf(f, a...))
	l.say("BROKEN %s: %s", rule, fmt.Sprintf(f, a...))
}

// checkEmptied looks for requests that began in an emptied domain.
func (l *lab) checkEmptied(domain string, from, to time.Time) {
	files, _ := filepath.Glob(l.path("ledger", "*.ledger"))
	late := 0
	for _, f := range files {
		b, _ := os.ReadFile(f)
		for line := range bytes.Lines(b) {
			var e struct {
				At     int64  `json:"at_ns"`
				Domain string `json:"domain"`
			}
			if json.Unmarshal(line, &e) == nil && e.Domain == domain && e.At > from.UnixNano()+5e9/10 && e.At < to.UnixNano() {
				late++
			}
		}
	}
	if late > 0 {
		l.note("emptied domain", "%d exchanges ran in %s more than 0.5 s after it was emptied", late, domain)
	}
}

// checkCold looks in the ledgers for seconds in which a cold target ran more than its
// service's rate and the half over it that whole turns can make.
func (l *lab) checkCold() {
	var cfg struct {
		Services map[string]struct {
			PerS float64 `json:"cold_per_s"`
		}
	}
	if err := json.Unmarshal(l.config, &cfg); err != nil {
		l.note("cold rate", "the configuration is not read: %v", err)
		return
	}
	files, _ := filepath.Glob(l.path("ledger", "*.ledger"))
	ran, most := 0, 0
	for _, f := range files {
		b, _ := os.ReadFile(f)
		at := map[string][]int64{}
		for line := range bytes.Lines(b) {
			var e struct {
				At      int64 `json:"at_ns"`
				Service string
				Name    string
				Cold    bool
			}
			if json.Unmarshal(line, &e) != nil || !e.Cold {
				continue
			}
			ran++
			w := append(at[e.Name], e.At)
			slices.Sort(w)
			w = slices.DeleteFunc(w, func(t int64) bool { return t <= e.At-1e9 })
			at[e.Name] = w
			most = max(most, len(w))
			if rate := cfg.Services[e.Service].PerS; rate > 0 && float64(len(w)) > 1.5*rate {
				l.note("cold rate", "%s ran %d exchanges in a second while cold, of %g", e.Name, len(w), rate)
			}
		}
	}
	l.say("%d exchanges ran at cold targets, at most %d in a second at one", ran, most)
}

func (l *lab) verdict(seed uint64) int {
	var rep map[string]any
	b, _ := os.ReadFile(l.path("load.json"))
	if json.Unmarshal(b, &rep) != nil {
		fmt.Println("the load generator left no report")
		return 1
	}
	num := func(k string) int { f, _ := rep[k].(float64); return int(f) }
	for rule, k := range map[string]string{"runs twice": "ran_twice", "refused but ran": "ran_though_refused", "wrong answer": "wrong_answers", "another's answer": "answers_of_others",
		"wrong service": "wrong_service", "leaving target": "to_leaving_after_2s", "come back when": "refused_without_retry_after"} {
		if n := num(k); n > 0 {
			l.note(rule, "%d", n)
		}
	}
	if l.routes {
		l.checkCold()
	}
	fmt.Printf("\nseed %d, %s, faults: %s\n", seed, l.name, strings.Join(l.faults, ", "))
	fmt.Printf("offered %d, served %d, refused %d, unknown %d, no answer %d, latency ms %v, latest to a leaving target %d ms\n",
		num("offered"), num("served"), num("refused"), num("unknown"), num("no_answer"), rep["latency_ms"], num("latest_to_leaving_ms"))
	for _, e := range examplesOf(rep) {
		fmt.Println("  e.g.", e)
	}
	for _, r := range []string{"runs twice", "refused but ran", "wrong answer", "another's answer", "wrong service", "leaving target", "cold rate", "come back when", "emptied domain",
		"in force everywhere", "one base", "history", "invalid configuration", "planned restart", "settings changed", "capacity back", "back in 15 s"} {
		if r == "cold rate" && !l.routes {
			continue
		}
		v := "held"
		if l.broken[r] > 0 {
			v = fmt.Sprintf("BROKEN %d times", l.broken[r])
		}
		fmt.Printf("  %-22s %s\n", r, v)
	}
	if len(l.broken) > 0 {
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
