package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/verification/modelcheck"
)

// check is the command that explores the quorum node systematically.
type check struct {
	command  *kingpin.CmdClause
	list     *bool
	scenario *string
	states   *int
	depth    *int
	workers  *int
	walks    *int
	length   *int
	seed     *uint64
}

func checkCommand(app *kingpin.Application) *check {
	c := app.Command("check", "Explores the agreement among core members: all orders of events up to a bound, then random ones.")
	return &check{
		command:  c,
		list:     c.Flag("scenarios", "list the scenarios").Bool(),
		scenario: c.Flag("scenario", "only this one").String(),
		states:   c.Flag("states", "distinct states of each scenario").Default("200000").Int(),
		depth:    c.Flag("depth", "most actions from the start of a scenario").Default("1000").Int(),
		workers:  c.Flag("workers", "threads that expand states").Default("3").Int(),
		walks:    c.Flag("walks", "random walks of each scenario, beyond its bounds").Default("1000").Int(),
		length:   c.Flag("length", "actions of a walk").Default("400").Int(),
		seed:     c.Flag("seed", "of the walks").Default("1").Uint64(),
	}
}

// run explores and returns the process's exit status.
func (c *check) run() int {
	if *c.scenario != "" && modelcheck.ScenarioByName(*c.scenario) == nil {
		fmt.Fprintf(os.Stderr, "mfsim: no scenario %q, see check --scenarios\n", *c.scenario)
		return 2
	}
	status := 0
	for i := range modelcheck.Scenarios {
		s := &modelcheck.Scenarios[i]
		if *c.scenario != "" && s.Name != *c.scenario {
			continue
		}
		if *c.list {
			fmt.Printf("%-20s %s\n", s.Name, s.Description)
			continue
		}
		if !c.explore(s) {
			status = 1
		}
	}
	return status
}

// explore searches one scenario and then walks in it; it says whether all held.
func (c *check) explore(s *modelcheck.Scenario) bool {
	limits := modelcheck.Limits{States: *c.states, Depth: *c.depth, Workers: *c.workers}
	started := time.Now()
	found := modelcheck.Search(s, limits)
	fmt.Printf("%v, %.1f s\n", found, time.Since(started).Seconds())
	started = time.Now()
	walked := modelcheck.Walk(s, *c.seed, *c.walks, *c.length)
	fmt.Printf("%v, %.1f s\n", walked, time.Since(started).Seconds())
	return found.Violation == "" && walked.Violation == ""
}
