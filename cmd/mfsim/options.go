package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/shared/version"
	"myrtlefold/internal/verification/simulator"
)

// options are the parsed command line.
type options struct {
	from, seeds  uint64        // first seed and number of seeds
	faults       int           // number of faults in a day
	span         time.Duration // virtual time in which faults begin
	kinds        []string      // names of the kinds of faults to inject; empty: all
	pairs        bool          // run each pair of kinds of faults once per seed
	listKinds    bool
	rule         string // name of a scene; "": none
	listRules    bool
	withoutGuard bool // disable the guard of the scene named by rule
	availability bool // measure availability instead of simulating days
	trace        int  // maximum number of lines of trace that are printed for a failed seed
	plan         string
	digest       bool          // print the digest of each run
	check        *checkCommand // nil unless the command is check
}

// parseOptions parses the command line; it ends the process if the command line is wrong.
func parseOptions(args []string) options {
	app := kingpin.New("mfsim", "Simulates a fleet and the faults that it must tolerate, from seeds.")
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	var o options
	app.Flag("from", "first seed").Default("1").Uint64Var(&o.from)
	app.Flag("seeds", "number of seeds").Short('n').Default("100").Uint64Var(&o.seeds)
	app.Flag("faults", "faults in a simulated day").Default("12").IntVar(&o.faults)
	app.Flag("span", "virtual time in which the faults start").Default("25s").DurationVar(&o.span)
	app.Flag("kind", "inject only this kind of fault (repeatable; see --kinds)").StringsVar(&o.kinds)
	app.Flag("pairs", "run every pair of kinds once per seed").BoolVar(&o.pairs)
	app.Flag("kinds", "list the kinds of faults").BoolVar(&o.listKinds)
	app.Flag("rule", "run the scene with this name (see --rules)").StringVar(&o.rule)
	app.Flag("rules", "list the scenes that test the rules, with the threat that each causes and the guard without which one of its rules is violated").BoolVar(&o.listRules)
	app.Flag("without-guard", "with --rule: disable the scene's guard, to see that the rule's check can fail").BoolVar(&o.withoutGuard)
	app.Flag("availability", "measure availability under each kind of fault (with --pairs: under pairs of kinds, the worst are printed)").BoolVar(&o.availability)
	app.Flag("trace", "lines of trace that are printed for a failed seed").Default("40").IntVar(&o.trace)
	app.Flag("plan", "plan of the simulated fleet: small, kelani or kiyihat").Default("small").EnumVar(&o.plan, "small", "kelani", "kiyihat")
	app.Flag("digest", "print each day's or scene's digest: a hash of all events, commands and messages").BoolVar(&o.digest)
	app.Command("days", "Simulates days of random faults, or one scene (the default command).").Default()
	check := newCheckCommand(app)
	command, err := app.Parse(args)
	if err != nil {
		exitWithUsageError("%v, see --help", err)
	}
	if command == check.command.FullCommand() {
		o.check = check
	}
	return o
}

// Exit statuses other than 0.
const (
	statusFailed = 1 // a rule was violated, a scene's threat did not occur, or no rule was violated without its guard
	statusUsage  = 2 // the command line is wrong
)

// exitWithUsageError prints an error in the command line and ends the process.
func exitWithUsageError(format string, a ...any) {
	fmt.Fprintf(os.Stderr, "mfsim: "+format+"\n", a...)
	os.Exit(statusUsage)
}

// simulatorPlan returns the plan that the command line names.
func (o options) simulatorPlan() simulator.Plan {
	plan := simulator.Plans[o.plan]
	plan.Digest = o.digest
	return plan
}

// selectedFaults returns the kinds of faults that the command line names, or none if it allows all.
func (o options) selectedFaults() []simulator.Fault {
	var only []simulator.Fault
	for _, name := range o.kinds {
		fault, found := simulator.FaultByName(name)
		if !found {
			exitWithUsageError("unknown kind of fault %q, see --kinds", name)
		}
		only = append(only, fault)
	}
	return only
}

// faultsPerDay returns the number of faults in a day.
func (o options) faultsPerDay() int {
	if o.pairs {
		return 2
	}
	return o.faults
}
