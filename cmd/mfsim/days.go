package main

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/verification/simulator"
)

// job is a day to simulate: one run of random faults, see simulator.RunRandomFaults.
type job struct {
	seed  uint64
	kinds []simulator.Fault // kinds of faults to inject; empty: all
}

// result is a simulated day. A nil world reports that a worker has finished.
type result struct {
	job
	world *simulator.World
}

// runDays simulates days of random faults, prints those that violated a rule and a summary, and returns the exit status.
func runDays(opts options) int {
	jobs := make(chan job)
	go opts.sendJobs(jobs, opts.selectedFaults())
	results := make(chan result)
	plan := opts.simulatorPlan()
	start := time.Now()
	workers := runtime.GOMAXPROCS(0)
	for range workers {
		go func() {
			for j := range jobs {
				results <- result{j, simulator.RunRandomFaults(j.seed, plan, j.kinds, opts.faultsPerDay(), opts.span)}
			}
			results <- result{} // the worker has finished
		}()
	}
	sum := summary{rules: map[string]int{}, digests: map[uint64]string{}}
	for workers > 0 {
		r := <-results
		if r.world == nil {
			workers--
			continue
		}
		sum.add(opts, r)
	}
	sum.print(opts, time.Since(start))
	if sum.failed > 0 {
		return statusFailed
	}
	return 0
}

// sendJobs sends the days to simulate and closes the channel.
func (o options) sendJobs(jobs chan<- job, only []simulator.Fault) {
	defer close(jobs)
	for seed := o.from; seed < o.from+o.seeds; seed++ {
		if !o.pairs {
			jobs <- job{seed, only}
			continue
		}
		for i, a := range simulator.Faults {
			for _, b := range simulator.Faults[i:] {
				jobs <- job{seed, []simulator.Fault{a, b}}
			}
		}
	}
}

// shownPerRuleMax limits how many days are printed for each rule that they violated.
const shownPerRuleMax = 2

// summary is the totals over days.
type summary struct {
	failed, ran, steps int // days that violated a rule, all days, and the simulation steps of all days
	served, requests   int
	latestToDraining   time.Duration     // longest time from a target's acknowledged draining to an attempt there
	latestToCrashed    time.Duration     // longest time from a target's crash to an attempt there
	rules              map[string]int    // number of days by the rule that they violated
	digests            map[uint64]string // by seed; empty unless --digest is given
}

// add adds a day to the totals and prints it if it violated a rule and is one of the first to violate it.
func (s *summary) add(opts options, day result) {
	stats := &day.world.Stats
	s.ran++
	s.steps += stats.Steps
	s.latestToDraining = max(s.latestToDraining, stats.LatestToDraining)
	s.latestToCrashed = max(s.latestToCrashed, stats.LatestToCrashed)
	s.served, s.requests = s.served+stats.Served, s.requests+stats.Requests
	if opts.digest {
		s.digests[day.seed] = day.world.Digest()
	}
	if day.world.Failure == "" {
		return
	}
	s.failed++
	rule, _, _ := strings.Cut(day.world.Failure, ":")
	s.rules[rule]++
	if s.rules[rule] <= shownPerRuleMax {
		printFailure(opts, day)
	}
}

// printFailure prints how a day violated a rule, the end of its trace and the command that replays it.
func printFailure(o options, r result) {
	var kinds []string
	for _, k := range r.kinds {
		kinds = append(kinds, fmt.Sprintf("--kind %q", k.Name))
	}
	fmt.Printf("seed %d: %s\n%s\nreplay: mfsim --from %d -n 1 --faults %d --span %v --plan %s %s\n\n",
		r.seed, r.world.Failure, r.world.Trace(o.trace), r.seed, o.faults, o.span, o.plan, strings.Join(kinds, " "))
}

// print prints the digests and the totals.
func (s *summary) print(o options, took time.Duration) {
	for _, seed := range slices.Sorted(maps.Keys(s.digests)) {
		fmt.Printf("digest %s faults %d seed %d: %s\n", o.plan, o.faultsPerDay(), seed, s.digests[seed])
	}
	fmt.Printf("%d days, %d steps, %d of %d requests served, latest request to a draining target %v, to a crashed one %v, violated rules %v, %.1f s\n",
		s.ran, s.steps, s.served, s.requests, s.latestToDraining, s.latestToCrashed, s.rules, took.Seconds())
	fmt.Printf("%d passed, %d failed\n", s.ran-s.failed, s.failed)
}
