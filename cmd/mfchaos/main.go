// Command mfchaos runs a whole fleet on this machine's loopback as separate
// processes, breaks it by a seeded script while mfload sends a deployment's mix,
// and prints a verdict per rule. It is the only program that starts processes,
// and it ends only those, by their numbers.
//
// Begin with fleet, in fleet.go, and fleet.perform here, which carries out a command; faults.go has the faults,
// checks.go the rules that a script's run is held to, soak.go the soak, upgrade.go the roll between versions.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/shared/version"
)

// options are the flags and arguments that do not stand in the lab itself.
type options struct {
	config      string
	seed        uint64
	span        time.Duration
	rate        float64
	gap         time.Duration
	only        []string
	wipe        bool
	rounds      int
	phase       time.Duration
	policyPhase time.Duration
	soak        soakOptions
	upgrade     upgradeOptions
	net         int
}

// define puts the commands and flags on the command line.
func (f *fleet) define(app *kingpin.Application, opts *options) {
	app.Flag("deployment", "kelani, kiyihat, small or press").Short('d').Default("small").EnumVar(&f.name, "kelani", "kiyihat", "small", "press")
	app.Flag("dir", "folder for settings, state, logs and ledgers (made anew)").Default("lab").StringVar(&f.dir)
	app.Flag("bin", "folder of the programs").Default("bin").StringVar(&f.bin)
	app.Flag("loopback", "second number of the lab's loopback addresses; it takes the next one too").Default(strconv.Itoa(defaultNetwork)).IntVar(&opts.net)
	app.Flag("config", "configuration (default: the deployment's sample)").StringVar(&opts.config)
	app.Flag("routes", "configure by routes; back ends tell health, slots and how long they are cold, and take a new name at each start").BoolVar(&f.routes)
	app.Command("up", "start the fleet and leave it running until interrupted")
	run := app.Command("run", "start the fleet, load and break it, print a verdict per rule")
	run.Flag("seed", "seed of the script").Default("1").Uint64Var(&opts.seed)
	run.Flag("for", "how long the load lasts").Default("40s").DurationVar(&opts.span)
	run.Flag("rate", "exchanges a second (default: the deployment's)").Float64Var(&opts.rate)
	run.Flag("gap", "mean time between faults").Default("3s").DurationVar(&opts.gap)
	run.Flag("fault", "only these faults (repeat)").StringsVar(&opts.only)
	run.Flag("wipe-at-end", "end with all core disks lost").BoolVar(&opts.wipe)
	measure := app.Command("measure", "measure what the README states: death to last exchange, change to in force, cost of carrying")
	measure.Flag("rounds", "how often").Default("9").IntVar(&opts.rounds)
	overload := app.Command("overload", "ask a fleet (-d press) for half, all, twice and half of what it bears, then restart its service under load")
	overload.Flag("phase", "how long each part lasts").Default("12s").DurationVar(&opts.phase)
	policies := app.Command("policies", "one target fails, then one is slow: load without and with the shipped policy, put in force under load, and compare on the recording")
	policies.Flag("phase", "how long each load lasts").Default("12s").DurationVar(&opts.policyPhase)
	opts.soak.bind(app.Command("soak", "stops, hangups and changes in series that overlap, under callers that use their connections until a process is gone"))
	opts.upgrade.bind(app.Command("upgrade", "roll a fleet of earlier daemons to the present ones and back, under callers and changes; nothing is lost, nothing is damaged"))
}

func main() {
	app := kingpin.New("mfchaos", "Runs a whole fleet on loopback and breaks it by script.")
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	f := &fleet{violations: map[string]int{}, startedAt: time.Now()}
	opts := &options{}
	f.define(app, opts)
	cmd, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfchaos: %v, see --help\n", err)
		os.Exit(2)
	}
	addresses = prefixesOf(opts.net)
	f.deployment = deployments[f.name]
	if cmd == "soak" {
		f.deployment, f.routes, f.grace = opts.soak.deployment(), true, opts.soak.grace
		opts.config = filepath.Join("sample", "kelani-routes.json")
	}
	if cmd == "upgrade" {
		f.deployment, f.routes, f.grace = opts.upgrade.soak.deployment(), true, opts.upgrade.soak.grace
		f.initial = opts.upgrade.earlier()
		opts.config = filepath.Join("sample", "kelani-routes.json")
	}
	if err := f.readConfig(opts.config); err != nil {
		fmt.Fprintln(os.Stderr, "mfchaos:", err)
		os.Exit(2)
	}
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, os.Interrupt, syscall.SIGTERM)
	code := 0
	done := make(chan int, 1)
	go f.perform(cmd, opts, done)
	select {
	case <-sig:
	case code = <-done:
	}
	f.killAll()
	os.Exit(code)
}

// perform carries out a command and sends the exit code; 'up' sends none, and lasts until a signal.
func (f *fleet) perform(cmd string, opts *options, done chan<- int) {
	if err := f.start(); err != nil {
		fmt.Fprintln(os.Stderr, "mfchaos:", err)
		done <- 1
		return
	}
	switch cmd {
	case "up":
		f.describe()
	case "run":
		if opts.rate == 0 {
			opts.rate = f.deployment.Rate
		}
		done <- f.runScript(opts.seed, opts.span, opts.rate, opts.gap, opts.only, opts.wipe)
	case "policies":
		done <- f.policies(opts.policyPhase)
	case "overload":
		done <- f.overload(opts.phase)
	case "soak":
		done <- f.runSoak(&opts.soak)
	case "upgrade":
		done <- f.runUpgrade(&opts.upgrade)
	case "measure":
		done <- f.measure(opts.rounds)
	}
}
