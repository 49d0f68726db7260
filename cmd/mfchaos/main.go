// Command mfchaos runs a whole fleet as separate processes on the loopback network of this machine, injects faults from a
// seeded script while mfload sends load, and prints for each rule whether it held. It is the only program that starts
// processes, and it ends only those, by their process IDs.
//
// Begin with fleet, in fleet.go, and fleet.runCommand here, which runs a command; faults.go and outage.go have the faults,
// checks.go the rules that a run is checked against, soak.go the soak test and upgrade.go the rolling upgrade between two
// versions.
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

// options are the flags and arguments that are not stored in the fleet itself.
type options struct {
	config      string // file; "": the deployment's sample
	seed        uint64
	span        time.Duration
	rate        float64       // requests per second; 0: the deployment's
	meanGap     time.Duration // between faults
	onlyFaults  []string      // empty: all
	wipeAtEnd   bool
	rounds      int
	phase       time.Duration
	policyPhase time.Duration
	soak        soakOptions
	upgrade     upgradeOptions
	network     int // second octet of the bind addresses
}

// defineCommands declares the commands and flags.
func (f *fleet) defineCommands(app *kingpin.Application, opts *options) {
	app.Flag("deployment", "kelani, kiyihat, small or press").Short('d').Default("small").EnumVar(&f.deploymentName, "kelani", "kiyihat", "small", "press")
	app.Flag("dir", "directory for settings, state, logs and request logs (deleted and created again)").Default("lab").StringVar(&f.dir)
	app.Flag("bin", "directory of the programs").Default("bin").StringVar(&f.bin)
	app.Flag("loopback", "second octet of the loopback addresses that the fleet listens on; its relays use the next one").Default(strconv.Itoa(defaultLoopbackNetwork)).IntVar(&opts.network)
	app.Flag("config", "configuration (default: the deployment's sample)").StringVar(&opts.config)
	app.Flag("routes", "use the sample configuration with routes; back ends report health, slots and the rest of their warm-up time, and take a new name at each start").BoolVar(&f.routes)
	app.Command("up", "start the fleet and leave it running until interrupted")
	run := app.Command("run", "start the fleet, inject faults under load and print for each rule whether it held")
	run.Flag("seed", "seed of the script").Default("1").Uint64Var(&opts.seed)
	run.Flag("for", "duration of the load").Default("40s").DurationVar(&opts.span)
	run.Flag("rate", "requests per second (default: the deployment's)").Float64Var(&opts.rate)
	run.Flag("gap", "mean time between faults").Default("3s").DurationVar(&opts.meanGap)
	run.Flag("fault", "inject only this kind of fault (repeatable)").StringsVar(&opts.onlyFaults)
	run.Flag("wipe-at-end", "kill all daemons and delete their data at the end").BoolVar(&opts.wipeAtEnd)
	measure := app.Command("measure", "measure the figures of the README: time from a target's crash to its ejection by the last proxy, time until a configuration is in force, latency through a proxy")
	measure.Flag("rounds", "repetitions of each measurement").Default("9").IntVar(&opts.rounds)
	overload := app.Command("overload", "load a fleet (-d press) with 50, 90, 100, 200 and again 50 % of its capacity, then restart its service under load")
	overload.Flag("phase", "duration of each load").Default("12s").DurationVar(&opts.phase)
	policies := app.Command("policies", "make one target fail, then be slow; load the fleet without and with the shipped policy, which is put under load, and compare policies on the recorded events")
	policies.Flag("phase", "duration of each load").Default("12s").DurationVar(&opts.policyPhase)
	opts.soak.bind(app.Command("soak", "stop, signal and reconfigure daemons at random, overlapping times while callers use each connection until it is closed"))
	opts.upgrade.bind(app.Command("upgrade", "upgrade a fleet of earlier daemons to the current ones and back, under load and configuration changes, and check that nothing acknowledged is lost or damaged"))
}

func main() {
	app := kingpin.New("mfchaos", "Runs a whole fleet on loopback and injects faults into it.")
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	f := &fleet{violations: map[string]int{}, startedAt: time.Now()}
	opts := &options{}
	f.defineCommands(app, opts)
	cmd, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfchaos: %v, see --help\n", err)
		os.Exit(2)
	}
	prefixes = addressPrefixesOf(opts.network)
	f.deployment = deployments[f.deploymentName]
	if cmd == "soak" {
		f.deployment, f.routes, f.grace = opts.soak.deployment(), true, opts.soak.grace
		opts.config = filepath.Join("sample", "kelani-routes.json")
	}
	if cmd == "upgrade" {
		f.deployment, f.routes, f.grace = opts.upgrade.soak.deployment(), true, opts.upgrade.soak.grace
		f.initial = opts.upgrade.earlierPrograms()
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
	go f.runCommand(cmd, opts, done)
	select {
	case <-sig:
	case code = <-done:
	}
	f.killAll()
	os.Exit(code)
}

// runCommand starts the fleet, runs a command and sends the exit code. For 'up' it sends none: the fleet runs until a signal.
func (f *fleet) runCommand(cmd string, opts *options, done chan<- int) {
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
		done <- f.runScript(opts)
	case "policies":
		done <- f.comparePolicies(opts.policyPhase)
	case "overload":
		done <- f.runOverload(opts.phase)
	case "soak":
		done <- f.runSoak(&opts.soak)
	case "upgrade":
		done <- f.runUpgrade(&opts.upgrade)
	case "measure":
		done <- f.measureLatencies(opts.rounds)
	}
}
