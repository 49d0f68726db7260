package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/shared/version"
	"myrtlefold/internal/verification/simulator"
)

// options are the command line.
type options struct {
	from, seeds  uint64
	faults       int
	span         time.Duration
	kinds        []string
	pairs        bool
	listKinds    bool
	rule         string
	listRules    bool
	withoutGuard bool
	availability bool
	trace        int
	plan         string
	digest       bool
	check        *check // nil: days are run
}

// parse reads the command line; it ends the program if that is wrong.
func parse(args []string) options {
	app := kingpin.New("mfsim", "Runs a simulated fleet by seed through the faults that it must bear.")
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	var o options
	app.Flag("from", "first seed").Default("1").Uint64Var(&o.from)
	app.Flag("seeds", "how many seeds").Short('n').Default("100").Uint64Var(&o.seeds)
	app.Flag("faults", "faults in a day").Default("12").IntVar(&o.faults)
	app.Flag("span", "virtual time over which they begin").Default("25s").DurationVar(&o.span)
	app.Flag("kind", "only this kind of fault (repeat; see --kinds)").StringsVar(&o.kinds)
	app.Flag("pairs", "run every pair of kinds once per seed").BoolVar(&o.pairs)
	app.Flag("kinds", "list the kinds of faults").BoolVar(&o.listKinds)
	app.Flag("rule", "run this rule's own scene (see --rules)").StringVar(&o.rule)
	app.Flag("rules", "list the rules' scenes, what each causes and the guard that makes it fail").BoolVar(&o.listRules)
	app.Flag("without-guard", "with --rule: take its guard out, to see the check fail").BoolVar(&o.withoutGuard)
	app.Flag("availability", "what each kind of fault leaves of the service (with --pairs: the worst pairs)").BoolVar(&o.availability)
	app.Flag("trace", "lines of trace for a failing seed").Default("40").IntVar(&o.trace)
	app.Flag("plan", "small, kelani or kiyihat").Default("small").EnumVar(&o.plan, "small", "kelani", "kiyihat")
	app.Flag("digest", "print each day's or scene's digest: a hash of all events, commands and messages").BoolVar(&o.digest)
	app.Command("days", "Runs seeds through days of faults, or a rule's scene (the default).").Default()
	check := checkCommand(app)
	command, err := app.Parse(args)
	if err != nil {
		usage("%v, see --help", err)
	}
	if command == check.command.FullCommand() {
		o.check = check
	}
	return o
}

// Exit statuses, beside 0.
const (
	statusFailed = 1 // a rule was broken, or a scene did not show what it should
	statusUsage  = 2 // the command line is wrong
)

// usage ends the program for a wrong command line.
func usage(format string, a ...any) {
	fmt.Fprintf(os.Stderr, "mfsim: "+format+"\n", a...)
	os.Exit(statusUsage)
}

// fleet is the plan that the command line names.
func (o options) fleet() simulator.Plan {
	plan := simulator.Plans[o.plan]
	plan.Digest = o.digest
	return plan
}

// onlyFaults are the kinds of faults that the command line names, none: all.
func (o options) onlyFaults() []simulator.Fault {
	var only []simulator.Fault
	for _, name := range o.kinds {
		fault, found := simulator.FaultByName(name)
		if !found {
			usage("no kind %q, see --kinds", name)
		}
		only = append(only, fault)
	}
	return only
}

// faultsPerDay is how many faults a day has.
func (o options) faultsPerDay() int {
	if o.pairs {
		return 2
	}
	return o.faults
}
