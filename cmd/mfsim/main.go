// Command mfsim runs seeds through the simulator and reports each rule that
// broke, with a short trace and the command that replays it.
package main

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
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

// usage ends the program for a wrong command line.
func usage(format string, a ...any) {
	fmt.Fprintf(os.Stderr, "mfsim: "+format+"\n", a...)
	os.Exit(2)
}

func main() {
	debug.SetGCPercent(simulator.GCPercent)
	o := parse(os.Args[1:])
	switch {
	case o.check != nil:
		os.Exit(o.check.run())
	case o.listKinds:
		for _, f := range simulator.Faults {
			fmt.Println(f.Name)
		}
	case o.listRules && o.digest:
		os.Exit(sceneDigests(o))
	case o.listRules:
		for _, s := range simulator.Scenes {
			fmt.Printf("%-14s %s; guard: %s\n", s.Name, s.Threat, s.DisabledGuard)
		}
	case o.rule != "":
		i := slices.IndexFunc(simulator.Scenes, func(s simulator.Scene) bool { return s.Name == o.rule })
		if i < 0 {
			usage("no rule %q, see --rules", o.rule)
		}
		os.Exit(stage(&simulator.Scenes[i], o))
	case o.availability:
		os.Exit(availability(o.from, o.seeds, simulator.Plans[o.plan], o.pairs))
	default:
		os.Exit(days(o))
	}
}

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

// days runs days by seed, prints those that broke a rule and a summary, and returns the exit code.
func days(o options) int {
	jobs := make(chan job)
	go o.deal(jobs, o.only())
	results := make(chan result)
	plan := o.fleet()
	start := time.Now()
	for range runtime.GOMAXPROCS(0) {
		go func() {
			for j := range jobs {
				results <- result{j, simulator.Day(j.seed, plan, j.kinds, o.count(), o.span)}
			}
			results <- result{}
		}()
	}
	sum := summary{rules: map[string]int{}, digests: map[uint64]string{}}
	for left := runtime.GOMAXPROCS(0); left > 0; {
		r := <-results
		if r.world == nil {
			left--
			continue
		}
		sum.add(o, r)
	}
	for _, seed := range slices.Sorted(maps.Keys(sum.digests)) {
		fmt.Printf("digest %s faults %d seed %d: %s\n", o.plan, o.count(), seed, sum.digests[seed])
	}
	fmt.Printf("%d days, %d steps, %d of %d exchanges served, latest exchange to a leaving target %v, to a gone one %v, broken rules %v, %.1f s\n",
		sum.ran, sum.steps, sum.served, sum.total, sum.leave, sum.gone, sum.rules, time.Since(start).Seconds())
	fmt.Printf("%d passed, %d failed\n", sum.ran-sum.failed, sum.failed)
	if sum.failed > 0 {
		return 1
	}
	return 0
}

// fleet is the plan that the command line names.
func (o options) fleet() simulator.Plan {
	plan := simulator.Plans[o.plan]
	plan.Digest = o.digest
	return plan
}

// only returns the kinds of faults that the command line names.
func (o options) only() []simulator.Fault {
	var only []simulator.Fault
	for _, name := range o.kinds {
		f, ok := simulator.FaultByName(name)
		if !ok {
			usage("no kind %q, see --kinds", name)
		}
		only = append(only, f)
	}
	return only
}

// count is how many faults a day has.
func (o options) count() int {
	if o.pairs {
		return 2
	}
	return o.faults
}

// deal sends the days to run, and closes the channel.
func (o options) deal(jobs chan<- job, only []simulator.Fault) {
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
	served, total      int               // requests
	leave, gone        time.Duration     // latest request to a leaving target and to a gone one
	rules              map[string]int    // days by the rule that they broke
	digests            map[uint64]string // by seed, if they are asked for
}

// add takes in a day, and prints it if it broke a rule.
func (s *summary) add(o options, r result) {
	stats := &r.world.Stats
	s.ran++
	s.steps += stats.Steps
	s.leave, s.gone = max(s.leave, stats.LatestToDraining), max(s.gone, stats.LatestToCrashed)
	s.served, s.total = s.served+stats.Served, s.total+stats.Requests
	if o.digest {
		s.digests[r.seed] = r.world.Digest()
	}
	if r.world.Failure == "" {
		return
	}
	s.failed++
	rule, _, _ := strings.Cut(r.world.Failure, ":")
	s.rules[rule]++
	if s.rules[rule] > shownPerRule {
		return
	}
	var kinds []string
	for _, k := range r.kinds {
		kinds = append(kinds, fmt.Sprintf("--kind %q", k.Name))
	}
	fmt.Printf("seed %d: %s\n%s\nreplay: mfsim --from %d -n 1 --faults %d --span %v --plan %s %s\n\n",
		r.seed, r.world.Failure, r.world.Trace(o.trace), r.seed, o.faults, o.span, o.plan, strings.Join(kinds, " "))
}

// stage runs one scene; without its guard it is the seeds that hold which fail.
func stage(s *simulator.Scene, o options) int {
	held, showed, caused := 0, 0, 0
	for seed := o.from; seed < o.from+o.seeds; seed++ {
		w := s.Run(seed, o.fleet(), o.withoutGuard)
		if o.digest {
			fmt.Printf("digest scene %s seed %d: %s\n", s.Name, seed, w.Digest())
		}
		caused += s.Occurrences(&w.Stats)
		switch {
		case w.Failure == "":
			held++
		case s.ShownBy(w):
			showed++
		}
		if w.Failure != "" && held+showed <= 3 {
			fmt.Printf("seed %d: %s\n", seed, w.Failure)
			if !o.withoutGuard {
				fmt.Println(w.Trace(o.trace))
			}
		}
	}
	fmt.Printf("%s: %s\ncaused %d times in %d seeds; held in %d, broke %q in %d\n", s.Name, s.Threat, caused, o.seeds, held, s.Rule, showed)
	if !o.withoutGuard && held < int(o.seeds) || o.withoutGuard && showed == 0 || caused == 0 {
		return 1
	}
	return 0
}

// sceneDigests runs all scenes, as many at once as there are processors, and prints their digests.
func sceneDigests(o options) int {
	lines := make([][]string, len(simulator.Scenes))
	failed := false
	var wg sync.WaitGroup
	turn := make(chan bool, runtime.GOMAXPROCS(0))
	var lock sync.Mutex
	for i := range simulator.Scenes {
		wg.Go(func() {
			turn <- true
			defer func() { <-turn }()
			scene := &simulator.Scenes[i]
			for seed := o.from; seed < o.from+o.seeds; seed++ {
				w := scene.Run(seed, o.fleet(), false)
				lines[i] = append(lines[i], fmt.Sprintf("digest scene %s seed %d: %s", scene.Name, seed, w.Digest()))
				if w.Failure != "" {
					lines[i] = append(lines[i], w.Failure)
					lock.Lock()
					failed = true
					lock.Unlock()
				}
			}
		})
	}
	wg.Wait()
	for _, l := range lines {
		fmt.Println(strings.Join(l, "\n"))
	}
	if failed {
		return 1
	}
	return 0
}

// availability prints a row for each kind of fault, or pair of kinds: figures over all seeds, worst first.
func availability(from, n uint64, p simulator.Plan, pairs bool) int {
	var lines []line
	code := 0
	for _, rows := range measure(from, n, p, sets(pairs)) {
		for _, r := range rows {
			if r.Failure != "" {
				fmt.Printf("%v: %s\n", r.Faults, r.Failure)
				code = 1
			}
		}
		lines = append(lines, lineOf(rows))
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(b.bad, a.bad) })
	fmt.Println("| kind | refused % | failed % | no answer % | longest gap s | whole again s | change in force s | other outcomes |\n|---|---|---|---|---|---|---|---|")
	for i, l := range lines {
		if !pairs || i < pairsShown {
			fmt.Println(l.text)
		}
	}
	return code
}

// pairsShown is how many of the pairs of kinds are printed.
const pairsShown = 40

// sets returns each kind of fault by itself, or each pair of two.
func sets(pairs bool) (sets [][]simulator.Fault) {
	for i, a := range simulator.Faults {
		if !pairs {
			sets = append(sets, []simulator.Fault{a})
			continue
		}
		for _, b := range simulator.Faults[i+1:] {
			sets = append(sets, []simulator.Fault{a, b})
		}
	}
	return sets
}

// measure runs each set of faults with each seed, as many at once as there are processors.
func measure(from, n uint64, p simulator.Plan, sets [][]simulator.Fault) [][]simulator.Availability {
	rows := make([][]simulator.Availability, len(sets))
	var wg sync.WaitGroup
	turn := make(chan bool, runtime.GOMAXPROCS(0))
	for i, set := range sets {
		wg.Go(func() {
			turn <- true
			for seed := from; seed < from+n; seed++ {
				rows[i] = append(rows[i], simulator.MeasureAvailability(seed, p, set...))
			}
			<-turn
		})
	}
	wg.Wait()
	return rows
}

// line is a row of the table, with what it is sorted by.
type line struct {
	bad  float64
	text string
}

// lineOf adds up the seeds of one set of faults.
func lineOf(rows []simulator.Availability) line {
	var sum simulator.Availability
	var gaps, wholes, forces []time.Duration
	outcomes := map[string]int{}
	for _, r := range rows {
		sum.Requests += r.Requests
		sum.Rejected += r.Rejected
		sum.Failed += r.Failed
		sum.Abandoned += r.Abandoned
		gaps, wholes = append(gaps, r.LongestGap), append(wholes, r.Recovery)
		outcomes[r.Outcome]++
		if r.Outcome == "in force" {
			forces = append(forces, r.ChangeLatency)
		}
	}
	percent := func(x int) string {
		return fmt.Sprintf("%.2f", 100*float64(x)/float64(max(1, sum.Requests)))
	}
	var others []string
	for _, o := range []string{"refused", "unknown", "no answer"} {
		if outcomes[o] > 0 {
			others = append(others, fmt.Sprintf("%s %d", o, outcomes[o]))
		}
	}
	return line{sum.UnservedShare(), fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s | %s |", strings.Join(rows[0].Faults, " + "),
		percent(sum.Rejected), percent(sum.Failed), percent(sum.Abandoned), medianAndMost(gaps), medianAndMost(wholes), medianAndMost(forces), strings.Join(others, ", "))}
}

// medianAndMost prints both in seconds; it sorts l.
func medianAndMost(l []time.Duration) string {
	if len(l) == 0 {
		return "-"
	}
	slices.Sort(l)
	return fmt.Sprintf("%.1f (%.1f)", l[len(l)/2].Seconds(), l[len(l)-1].Seconds())
}
