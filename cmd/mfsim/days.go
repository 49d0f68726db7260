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

// job is a day to run, by its seed and the kinds of faults in it (none: all).
type job struct {
	seed  uint64
	kinds []simulator.Fault
}

// result is a day that was run.
type result struct {
	job
	world *simulator.World
}

// runDays runs days by seed, prints those that broke a rule and a summary, and returns the exit status.
func runDays(chosen options) int {
	jobs := make(chan job)
	go chosen.sendJobs(jobs, chosen.onlyFaults())
	results := make(chan result)
	plan := chosen.fleet()
	start := time.Now()
	workers := runtime.GOMAXPROCS(0)
	for range workers {
		go func() {
			for j := range jobs {
				results <- result{j, simulator.Day(j.seed, plan, j.kinds, chosen.faultsPerDay(), chosen.span)}
			}
			results <- result{} // the worker is done
		}()
	}
	sum := summary{rules: map[string]int{}, digests: map[uint64]string{}}
	for workers > 0 {
		r := <-results
		if r.world == nil {
			workers--
			continue
		}
		sum.add(chosen, r)
	}
	sum.print(chosen, time.Since(start))
	if sum.failed > 0 {
		return statusFailed
	}
	return 0
}

// sendJobs sends the days to run, and closes the channel.
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

// shownPerRule is how many days that broke a rule are printed.
const shownPerRule = 2

// summary adds up what days had.
type summary struct {
	failed, ran, steps int
	served, requests   int
	latestToDraining   time.Duration     // latest attempt at a draining target
	latestToCrashed    time.Duration     // latest attempt at a crashed target
	rules              map[string]int    // days by the rule that they broke
	digests            map[uint64]string // by seed, if they are asked for
}

// add takes in a day, and prints it if it broke a rule.
func (s *summary) add(chosen options, day result) {
	stats := &day.world.Stats
	s.ran++
	s.steps += stats.Steps
	s.latestToDraining = max(s.latestToDraining, stats.LatestToDraining)
	s.latestToCrashed = max(s.latestToCrashed, stats.LatestToCrashed)
	s.served, s.requests = s.served+stats.Served, s.requests+stats.Requests
	if chosen.digest {
		s.digests[day.seed] = day.world.Digest()
	}
	if day.world.Failure == "" {
		return
	}
	s.failed++
	rule, _, _ := strings.Cut(day.world.Failure, ":")
	s.rules[rule]++
	if s.rules[rule] <= shownPerRule {
		printFailure(chosen, day)
	}
}

// printFailure prints how a day failed, and the command that replays it.
func printFailure(o options, r result) {
	var kinds []string
	for _, k := range r.kinds {
		kinds = append(kinds, fmt.Sprintf("--kind %q", k.Name))
	}
	fmt.Printf("seed %d: %s\n%s\nreplay: mfsim --from %d -n 1 --faults %d --span %v --plan %s %s\n\n",
		r.seed, r.world.Failure, r.world.Trace(o.trace), r.seed, o.faults, o.span, o.plan, strings.Join(kinds, " "))
}

func (s *summary) print(o options, took time.Duration) {
	for _, seed := range slices.Sorted(maps.Keys(s.digests)) {
		fmt.Printf("digest %s faults %d seed %d: %s\n", o.plan, o.faultsPerDay(), seed, s.digests[seed])
	}
	fmt.Printf("%d days, %d steps, %d of %d exchanges served, latest exchange to a leaving target %v, to a gone one %v, broken rules %v, %.1f s\n",
		s.ran, s.steps, s.served, s.requests, s.latestToDraining, s.latestToCrashed, s.rules, took.Seconds())
	fmt.Printf("%d passed, %d failed\n", s.ran-s.failed, s.failed)
}
