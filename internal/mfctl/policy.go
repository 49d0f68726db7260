// The policy commands that contact no member, and the output of the list of policies.

package mfctl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/tuning"
)

// comparePolicies evaluates policies on recorded events and prints their scores. A policy is named after its file, and
// the default policy is always included.
func (c *cli) comparePolicies(recording string, files []string) int {
	policies := map[string]config.Policy{config.DefaultPolicyName: config.DefaultPolicy()}
	for _, file := range files {
		policy, valid := readPolicy(file)
		if !valid {
			return exitInvalid
		}
		policies[strings.TrimSuffix(filepath.Base(file), ".json")] = policy
	}
	input := io.Reader(os.Stdin)
	if recording != standardInput {
		file, err := os.Open(recording)
		if err != nil {
			return fail(err, exitUsage)
		}
		defer file.Close()
		input = file
	}
	var events []outlier.Event
	err := outlier.ReadEvents(input, func(event outlier.Event) error {
		events = append(events, event)
		return nil
	})
	if err != nil {
		return fail(err, exitInvalid)
	}
	scores := outlier.Compare(events, policies)
	if c.json {
		printJSON(scores)
	} else {
		printScores(scores)
	}
	return exitOK
}

func printScores(scores []outlier.Score) {
	table := newTable()
	defer table.Flush()
	fmt.Fprintln(table, "POLICY\tEJECTIONS\tWRONG EJECTIONS\tERRORS\tMISSED ERRORS\tSLOW\tMISSED SLOW\tTIME TO EJECT MS\tEJECTED MS\tTRANSITIONS\tFAILED EVALUATIONS")
	for _, s := range scores {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t%d\n", s.Policy, s.Ejections, s.WrongEjections, s.Errors,
			s.MissedErrors, s.Slow, s.MissedSlow, s.TimeToEjectMs, s.EjectedMs, s.Transitions, s.FailedEvaluations)
	}
}

// readPolicy reads a policy from a file and prints its faults, if any.
func readPolicy(file string) (policy config.Policy, valid bool) {
	policy.Mode = config.ModeLive
	var faults []config.Fault
	text, err := os.ReadFile(file)
	if err == nil {
		faults, err = config.Decode(text, &policy)
	}
	if err != nil {
		fail(errors.Wrap(err, file), exitInvalid)
		return policy, false
	}
	faults = append(faults, outlier.Check(policy)...)
	for _, fault := range faults {
		fmt.Fprintf(os.Stderr, "mfctl: %s: %s: %s\n", file, fault.Path, fault.Text)
	}
	return policy, len(faults) == 0
}

// evaluatePolicies evaluates the policies of a configuration file on the events read from standard input and prints
// each result. Without a file it evaluates the default policy.
func evaluatePolicies(file string) int {
	policies := &config.Config{}
	if file != "" {
		text, err := os.ReadFile(file)
		var faults []config.Fault
		if err == nil {
			policies, faults, err = outlier.ParseConfig(text)
		}
		if err != nil || len(faults) > 0 {
			fmt.Fprintf(os.Stderr, "mfctl: %s: %v %v\n", file, err, faults)
			return exitInvalid
		}
	}
	session := outlier.NewSession(policies)
	results := json.NewEncoder(os.Stdout)
	code := exitOK
	lines := bufio.NewScanner(os.Stdin)
	lines.Buffer(nil, tuning.SessionLineMax)
	for lines.Scan() {
		for _, result := range session.Evaluate(lines.Bytes()) {
			if result.Error != "" {
				code = exitInvalid // returned at the end: later lines are still evaluated
			}
			if results.Encode(result) != nil {
				return exitFailed
			}
		}
	}
	if err := lines.Err(); err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: line %d: %v\n", session.Lines+1, err)
		return exitInvalid
	}
	return code
}

// printPolicies prints the response body of /v1/policies as a table.
func printPolicies(body []byte) {
	var list struct {
		Revision uint64
		SinceMs  float64 `json:"since_ms"`
		Policies map[string]outlier.PolicyStats
	}
	json.Unmarshal(body, &list) // policies that can't be decoded are left out
	table := newTable()
	defer table.Flush()
	fmt.Fprintf(table, "revision %d, scores of the last %.0f s\n", list.Revision, list.SinceMs/1000)
	fmt.Fprintln(table, "NAME\tMODE\tSLICE\tDECISION\tTTL MS\tEVALUATIONS\tFAILED EVALUATIONS\tTARGETS OUT\tEJECTIONS\tWRONG EJECTIONS\tERRORS\tMISSED ERRORS\tTIME TO EJECT MS\tCONDITION\tLAST ERROR")
	for _, name := range slices.Sorted(maps.Keys(list.Policies)) {
		stats := list.Policies[name]
		policy, score := stats.Policy, outlier.Score{}
		if stats.Score != nil {
			score = *stats.Score
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%s\t%s\n", name, policy.Mode, policy.Signal,
			policy.Decide, policy.TTLMs, stats.Evaluated, stats.Failed, stats.TargetsOut, score.Ejections, score.WrongEjections,
			score.Errors, score.MissedErrors, score.TimeToEjectMs, policy.When, stats.Error)
	}
}
