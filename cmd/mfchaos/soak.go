// This file is the soak: a fleet under planned work that comes in series and overlaps, with callers that keep
// their connections and use them until a proxy's process is gone. It prints what broke, by seed.

package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// soakOptions are the flags of the soak.
type soakOptions struct {
	seed     uint64
	span     time.Duration
	grace    time.Duration
	proxies  int
	controls int
	targets  int
	callers  int
	faults   bool
}

func (o *soakOptions) bind(command *kingpin.CmdClause) {
	command.Flag("seed", "seed of the script and the callers").Default("1").Uint64Var(&o.seed)
	command.Flag("for", "how long the script lasts").Default("30s").DurationVar(&o.span)
	command.Flag("grace", "how long after SIGTERM a process is ended by force").Default("6s").DurationVar(&o.grace)
	command.Flag("proxies", "proxy daemons").Default("5").IntVar(&o.proxies)
	command.Flag("cores", "control daemons").Default("3").IntVar(&o.controls)
	command.Flag("targets", "back ends").Default("15").IntVar(&o.targets)
	command.Flag("callers", "connections that callers keep").Default("100").IntVar(&o.callers)
	command.Flag("faults", "also kill daemons and lose disks").BoolVar(&o.faults)
}

// deployment is the fleet of a soak: a third of the back ends serve readings, the others records.
func (o *soakOptions) deployment() Deployment {
	monitoring := max(1, o.targets/3)
	return Deployment{Controls: o.controls, Proxies: o.proxies, Domains: []string{"hill", "port", "coast"}, Services: []Service{
		{"records", max(1, o.targets-monitoring), "250ms", 6, "0s"}, {"monitoring", monitoring, "90ms", 6, "0s"}}}
}

// soak is one run.
type soak struct {
	*fleet
	options   *soakOptions
	startedAt time.Time
	log       eventLog
}

// runSoak plays one seed on a fleet that is up, and returns the exit code.
func (f *fleet) runSoak(o *soakOptions) int {
	s := &soak{fleet: f, options: o, startedAt: time.Now(), log: newEventLog()}
	f.logf("soak %d: %d cores, %d proxies, %d targets, %d callers", o.seed, len(f.controls), len(f.proxies), len(f.backends), o.callers)
	callers := s.startCallers()
	operator := s.playScript()
	outcomes := callers.finish()
	operator.checkAfterLoss()
	return s.report(outcomes)
}

// random is a source of its own for each part of a run, so that one part's draws move no other's.
func (o *soakOptions) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(o.seed, part)) }

// report prints what the callers saw and what broke.
func (s *soak) report(outcomes []soakOutcome) int {
	ran := s.countRuns()
	counts := map[string]int{}
	for i := range outcomes {
		counts[s.classify(&outcomes[i], ran)]++
	}
	s.checkLedgers(outcomes, ran)
	fmt.Printf("\nsoak seed %d: %d requests, %v; %d stops, %d hangups, %d changes acknowledged, %d orders unanswered, %d kills\n",
		s.options.seed, len(outcomes), counts, s.log.count(eventStop), s.log.count(eventHangup), s.log.count(eventChange), s.log.count(eventUnanswered), s.log.count(eventKill))
	if len(s.violations) == 0 {
		fmt.Println("  all rules held")
		return 0
	}
	for _, rule := range slices.Sorted(maps.Keys(s.violations)) {
		fmt.Printf("  %-22s BROKEN %d times\n", rule, s.violations[rule])
	}
	fmt.Fprintf(os.Stderr, "soak %d: logs and ledgers stand in %s\n", s.options.seed, s.dir)
	return 1
}
