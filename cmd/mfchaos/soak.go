// This file runs the soak test: daemons and back ends are stopped at overlapping times and the configuration is changed, while
// callers keep their connections and use them until the proxy closes them. Everything random is drawn from a seed.

package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// soakOptions are the flags of command soak.
type soakOptions struct {
	seed     uint64
	span     time.Duration // duration of the script
	grace    time.Duration // time from SIGTERM until a process is killed
	proxies  int
	controls int
	targets  int // back ends of both services together
	callers  int
	readers  int  // callers that send ahead and read long responses through a small window
	stalled  int  // callers that neither read nor close their connections
	faults   bool // also kill daemons and delete data
}

// bind declares the flags.
func (o *soakOptions) bind(command *kingpin.CmdClause) {
	command.Flag("seed", "seed of the script and the callers").Default("1").Uint64Var(&o.seed)
	command.Flag("for", "duration of the script").Default("30s").DurationVar(&o.span)
	command.Flag("grace", "time from SIGTERM until a process is killed").Default("6s").DurationVar(&o.grace)
	command.Flag("proxies", "proxy daemons").Default("5").IntVar(&o.proxies)
	command.Flag("cores", "control daemons").Default("3").IntVar(&o.controls)
	command.Flag("targets", "back ends").Default("15").IntVar(&o.targets)
	command.Flag("callers", "callers, with one connection each").Default("100").IntVar(&o.callers)
	command.Flag("readers", "further callers, which send ahead and read long responses through a small window").Default("12").IntVar(&o.readers)
	command.Flag("stalled", "further callers, which neither read nor close their connections").Default("4").IntVar(&o.stalled)
	command.Flag("faults", "also kill daemons and delete their data").BoolVar(&o.faults)
}

// deployment returns the fleet of a soak: a third of the back ends belong to service monitoring, the others to records.
func (o *soakOptions) deployment() Deployment {
	monitoring := max(1, o.targets/3)
	return Deployment{Controls: o.controls, Proxies: o.proxies, Domains: []string{"hill", "port", "coast"}, ReserveDomain: "reserve", Services: []Service{
		{"records", max(1, o.targets-monitoring), "250ms", 6, "0s"}, {"monitoring", monitoring, "90ms", 6, "0s"}}}
}

// soak is one run of the soak test or of the upgrade test.
type soak struct {
	*fleet
	options   *soakOptions
	startedAt time.Time // start of the script and the callers; the fleet started earlier
	log       eventLog
}

// runSoak runs a soak on a fleet that serves, and returns the exit code.
func (f *fleet) runSoak(o *soakOptions) int {
	signal.Ignore(syscall.SIGHUP) // inherited: a SIGHUP can't end a daemon before its program handles it
	s := &soak{fleet: f, options: o, startedAt: time.Now(), log: newEventLog()}
	f.logf("soak %d: %d control daemons, %d proxies, %d targets, %d callers", o.seed, len(f.controls), len(f.proxies), len(f.backends), o.callers)
	callers := s.startCallers()
	operator := s.runSoakScript()
	outcomes := callers.finish()
	operator.checkAfterLoss()
	return s.report(outcomes)
}

// Parts of a run that have a random source for each caller, by the number of the first one.
const (
	firstCallerPart  = 1_000
	firstReaderPart  = 1_000_000
	firstStalledPart = 2_000_000
)

// random returns a separate random source for each part of a run, so that the draws of one part don't change those of another.
func (o *soakOptions) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(o.seed, part)) }

// report checks the callers' outcomes, prints their counts and the violations, and returns the exit code.
func (s *soak) report(outcomes []requestOutcome) int {
	ran := s.countRuns()
	counts := map[outcomeClass]int{}
	for i := range outcomes {
		counts[s.classify(&outcomes[i], ran)]++
	}
	s.checkRequestLogs(outcomes, ran)
	fmt.Printf("\nsoak seed %d: %d requests, %v; %d stops, %d SIGHUPs, %d changes acknowledged, %d calls without a conclusive reply, %d kills, %d freezes, %d overtaken changes\n",
		s.options.seed, len(outcomes), counts, s.log.count(eventStop), s.log.count(eventSIGHUP), s.log.count(eventChange), s.log.count(eventUnanswered), s.log.count(eventKill),
		s.log.count(eventFreeze), s.log.count(eventOvertaken))
	if len(s.violations) == 0 {
		fmt.Println("  all rules held")
		return 0
	}
	for _, rule := range slices.Sorted(maps.Keys(s.violations)) {
		fmt.Printf("  %-*s BROKEN %d times\n", ruleWidth, rule, s.violations[rule])
	}
	fmt.Fprintf(os.Stderr, "soak %d: logs and request logs are in %s\n", s.options.seed, s.dir)
	return 1
}
