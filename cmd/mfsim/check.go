package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/verification/modelcheck"
)

// checkCommand is the command that checks the consensus protocol by exploring its states.
type checkCommand struct {
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

// newCheckCommand declares the command and its flags.
func newCheckCommand(app *kingpin.Application) *checkCommand {
	c := app.Command("check", "Model-checks the consensus among control daemons: all orders of events up to a bound, then random walks.")
	return &checkCommand{
		command:  c,
		list:     c.Flag("scenarios", "list the scenarios").Bool(),
		scenario: c.Flag("scenario", "check only this scenario").String(),
		states:   c.Flag("states", "most distinct states of each scenario").Default("200000").Int(),
		depth:    c.Flag("depth", "most transitions from the first state of a scenario").Default("1000").Int(),
		workers:  c.Flag("workers", "threads that expand states").Default("3").Int(),
		walks:    c.Flag("walks", "random walks in each scenario, without its budget of events").Default("1000").Int(),
		length:   c.Flag("length", "transitions of each walk").Default("400").Int(),
		seed:     c.Flag("seed", "seed of the walks").Default("1").Uint64(),
	}
}

// run checks the scenarios, or lists them, and returns the exit status.
func (c *checkCommand) run() int {
	if *c.scenario != "" && modelcheck.ScenarioByName(*c.scenario) == nil {
		fmt.Fprintf(os.Stderr, "mfsim: unknown scenario %q, see check --scenarios\n", *c.scenario)
		return statusUsage
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
			status = statusFailed
		}
	}
	return status
}

// explore searches the states of one scenario and then takes random walks in it; it reports whether no
// invariant was violated.
func (c *checkCommand) explore(s *modelcheck.Scenario) bool {
	limits := modelcheck.Limits{States: *c.states, Depth: *c.depth, Workers: *c.workers}
	started := time.Now()
	searched := modelcheck.Search(s, limits)
	fmt.Printf("%v, %.1f s\n", searched, time.Since(started).Seconds())
	started = time.Now()
	walked := modelcheck.Walk(s, *c.seed, *c.walks, *c.length)
	fmt.Printf("%v, %.1f s\n", walked, time.Since(started).Seconds())
	return searched.Violation == "" && walked.Violation == ""
}
