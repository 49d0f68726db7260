package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/verification/simulator"
)

// pairsShownMax limits how many pairs of kinds are printed.
const pairsShownMax = 40

// measureAvailability prints a table with a row for each kind of fault, or pair of kinds, over all seeds. Rows with the
// largest share of unserved requests come first. It returns the exit status.
func measureAvailability(opts options) int {
	var rows []row
	status := 0
	for _, measured := range measureAll(opts, faultSets(opts.pairs)) {
		for _, m := range measured {
			if m.Failure != "" {
				fmt.Printf("%v: %s\n", m.Faults, m.Failure)
				status = statusFailed
			}
		}
		rows = append(rows, newRow(measured))
	}
	slices.SortStableFunc(rows, func(a, b row) int { return cmp.Compare(b.unserved, a.unserved) })
	fmt.Println("| kind | rejected % | unknown % | abandoned % | longest gap s | full capacity after s | change in force after s | other change outcomes |\n|---|---|---|---|---|---|---|---|")
	for i, r := range rows {
		if !opts.pairs || i < pairsShownMax {
			fmt.Println(r.text)
		}
	}
	return status
}

// faultSets returns a set for each kind of fault, or for each pair of different kinds.
func faultSets(pairs bool) (sets [][]simulator.Fault) {
	for i, a := range simulator.Faults {
		if !pairs {
			sets = append(sets, []simulator.Fault{a})
			continue
		}
		for _, b := range simulator.Faults[i+1:] {
			sets = append(sets, []simulator.Fault{a, b})
		}
	}
	return sets
}

// measureAll measures each set of faults with each seed, with as many sets at once as there are processors.
func measureAll(o options, sets [][]simulator.Fault) [][]simulator.Availability {
	plan := simulator.Plans[o.plan]
	measured := make([][]simulator.Availability, len(sets))
	forEach(len(sets), func(i int) {
		for seed := o.from; seed < o.from+o.seeds; seed++ {
			measured[i] = append(measured[i], simulator.MeasureAvailability(seed, plan, sets[i]...))
		}
	})
	return measured
}

// row is a row of the table, with its sort key.
type row struct {
	unserved float64 // share of the requests that were not served
	text     string
}

// newRow returns the row of one set of faults, summed over its seeds.
func newRow(measured []simulator.Availability) row {
	var sum simulator.Availability
	var gaps, recoveries, latencies []time.Duration
	outcomes := map[simulator.ChangeOutcome]int{}
	for _, m := range measured {
		sum.Requests += m.Requests
		sum.Rejected += m.Rejected
		sum.Unknown += m.Unknown
		sum.Abandoned += m.Abandoned
		gaps, recoveries = append(gaps, m.LongestGap), append(recoveries, m.Recovery)
		outcomes[m.Outcome]++
		if m.Outcome == simulator.OutcomeInForce {
			latencies = append(latencies, m.ChangeLatency)
		}
	}
	percent := func(count int) string {
		return fmt.Sprintf("%.2f", 100*float64(count)/float64(max(1, sum.Requests)))
	}
	var others []string
	for _, outcome := range []simulator.ChangeOutcome{simulator.OutcomeRejected, simulator.OutcomeUnknown, simulator.OutcomeNoReply} {
		if outcomes[outcome] > 0 {
			others = append(others, fmt.Sprintf("%s %d", outcome, outcomes[outcome]))
		}
	}
	return row{sum.UnservedShare(), fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s | %s |", strings.Join(measured[0].Faults, " + "),
		percent(sum.Rejected), percent(sum.Unknown), percent(sum.Abandoned), medianAndMax(gaps), medianAndMax(recoveries), medianAndMax(latencies), strings.Join(others, ", "))}
}

// medianAndMax formats the median and the maximum of some durations in seconds. It sorts the durations.
func medianAndMax(durations []time.Duration) string {
	if len(durations) == 0 {
		return "-"
	}
	slices.Sort(durations)
	return fmt.Sprintf("%.1f (%.1f)", durations[len(durations)/2].Seconds(), durations[len(durations)-1].Seconds())
}
