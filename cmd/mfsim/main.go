// Command mfsim runs seeds through the simulator and reports each rule that
// broke, with a short trace and the command that replays it.
package main

import (
	"cmp"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/host"
	"myrtlefold/sim"
)

func main() {
	debug.SetGCPercent(sim.GCPercent)
	app := kingpin.New("mfsim", "Runs a simulated fleet by seed through the faults that it must bear.")
	app.Version(host.Version)
	app.HelpFlag.Short('h')
	from := app.Flag("from", "first seed").Default("1").Uint64()
	n := app.Flag("seeds", "how many seeds").Short('n').Default("100").Uint64()
	faults := app.Flag("faults", "faults in a day").Default("12").Int()
	span := app.Flag("span", "virtual time over which they begin").Default("25s").Duration()
	kinds := app.Flag("kind", "only this kind of fault (repeat; see --kinds)").Strings()
	each := app.Flag("pairs", "run every pair of kinds once per seed").Bool()
	list := app.Flag("kinds", "list the kinds of faults").Bool()
	rule := app.Flag("rule", "run this rule's own scene (see --rules)").String()
	scenes := app.Flag("rules", "list the rules' scenes, what each causes and the guard that makes it fail").Bool()
	broken := app.Flag("without-guard", "with --rule: take its guard out, to see the check fail").Bool()
	avail := app.Flag("availability", "what each kind of fault leaves of the service (with --pairs: the worst pairs)").Bool()
	trace := app.Flag("trace", "lines of trace for a failing seed").Default("40").Int()
	plan := app.Flag("plan", "small, kelani or kiyihat").Default("small").Enum("small", "kelani", "kiyihat")
	app.Command("days", "Runs seeds through days of faults, or a rule's scene (the default).").Default()
	check := checkCommand(app)
	command, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfsim: %v, see --help\n", err)
		os.Exit(2)
	}
	if command == check.command.FullCommand() {
		os.Exit(check.run())
	}
	if *list {
		for _, f := range sim.Faults {
			fmt.Println(f.Name)
		}
		return
	}
	if *scenes {
		for _, s := range sim.Scenes {
			fmt.Printf("%-14s %s; guard: %s\n", s.Name, s.Threat, s.Sabotage)
		}
		return
	}
	if *rule != "" {
		i := slices.IndexFunc(sim.Scenes, func(s sim.Scene) bool { return s.Name == *rule })
		if i < 0 {
			fmt.Fprintf(os.Stderr, "mfsim: no rule %q, see --rules\n", *rule)
			os.Exit(2)
		}
		os.Exit(stage(&sim.Scenes[i], *from, *n, sim.Plans[*plan], *broken, *trace))
	}
	if *avail {
		os.Exit(availability(*from, *n, sim.Plans[*plan], *each))
	}
	var only []sim.Fault
	for _, k := range *kinds {
		f, ok := sim.ByName(k)
		if !ok {
			fmt.Fprintf(os.Stderr, "mfsim: no kind %q, see --kinds\n", k)
			os.Exit(2)
		}
		only = append(only, f)
	}
	type job struct {
		seed  uint64
		kinds []sim.Fault
	}
	jobs := make(chan job)
	go func() {
		for s := *from; s < *from+*n; s++ {
			if !*each {
				jobs <- job{s, only}
				continue
			}
			for i, a := range sim.Faults {
				for _, b := range sim.Faults[i:] {
					jobs <- job{s, []sim.Fault{a, b}}
				}
			}
		}
		close(jobs)
	}()
	type result struct {
		job
		w *sim.World
	}
	results := make(chan result)
	start := time.Now()
	for range runtime.GOMAXPROCS(0) {
		go func() {
			for j := range jobs {
				count := *faults
				if *each {
					count = 2
				}
				results <- result{j, sim.Day(j.seed, sim.Plans[*plan], j.kinds, count, *span)}
			}
			results <- result{}
		}()
	}
	failed, ran, steps := 0, 0, 0
	var leave, gone time.Duration
	var served, total int
	rules := map[string]int{}
	for left := runtime.GOMAXPROCS(0); left > 0; {
		r := <-results
		if r.w == nil {
			left--
			continue
		}
		ran++
		steps += r.w.Stats.Steps
		leave, gone = max(leave, r.w.Stats.MaxLeave), max(gone, r.w.Stats.MaxGone)
		served, total = served+r.w.Stats.Served, total+r.w.Stats.Exchanges
		if r.w.Fail != "" {
			failed++
			rule, _, _ := strings.Cut(r.w.Fail, ":")
			rules[rule]++
			if rules[rule] <= 2 {
				var ks []string
				for _, k := range r.kinds {
					ks = append(ks, fmt.Sprintf("--kind %q", k.Name))
				}
				fmt.Printf("seed %d: %s\n%s\nreplay: mfsim --from %d -n 1 --faults %d --span %v --plan %s %s\n\n", r.seed, r.w.Fail, r.w.Trace(*trace), r.seed, *faults, *span, *plan, strings.Join(ks, " "))
			}
		}
	}
	fmt.Printf("%d days, %d steps, %d of %d exchanges served, latest exchange to a leaving target %v, to a gone one %v, broken rules %v, %.1f s\n",
		ran, steps, served, total, leave, gone, rules, time.Since(start).Seconds())
	fmt.Printf("%d passed, %d failed\n", ran-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// stage runs one scene; without its guard it is the seeds that hold which fail.
func stage(s *sim.Scene, from, n uint64, p sim.Plan, broken bool, trace int) int {
	held, showed, caused := 0, 0, 0
	for seed := from; seed < from+n; seed++ {
		w := s.Stage(seed, p, broken)
		caused += s.Caused(&w.Stats)
		switch {
		case w.Fail == "":
			held++
		case s.Shows(w):
			showed++
		}
		if w.Fail != "" && held+showed <= 3 {
			fmt.Printf("seed %d: %s\n", seed, w.Fail)
			if !broken {
				fmt.Println(w.Trace(trace))
			}
		}
	}
	fmt.Printf("%s: %s\ncaused %d times in %d seeds; held in %d, broke %q in %d\n", s.Name, s.Threat, caused, n, held, s.Rule, showed)
	if !broken && held < int(n) || broken && showed == 0 || caused == 0 {
		return 1
	}
	return 0
}

// availability prints a row a kind: the worst seed of each figure, but sums for parts.
func availability(from, n uint64, p sim.Plan, pairs bool) int {
	var sets [][]sim.Fault
	for i, a := range sim.Faults {
		if !pairs {
			sets = append(sets, []sim.Fault{a})
			continue
		}
		for _, b := range sim.Faults[i+1:] {
			sets = append(sets, []sim.Fault{a, b})
		}
	}
	rows := make([][]sim.Row, len(sets))
	var wg sync.WaitGroup
	turn := make(chan bool, runtime.GOMAXPROCS(0))
	for i, set := range sets {
		wg.Go(func() {
			turn <- true
			for seed := from; seed < from+n; seed++ {
				rows[i] = append(rows[i], sim.Measure(seed, p, set...))
			}
			<-turn
		})
	}
	wg.Wait()
	type line struct {
		bad  float64
		text string
	}
	var lines []line
	code := 0
	for _, rs := range rows {
		var sum sim.Row
		var gaps, wholes, forces []time.Duration
		out := map[string]int{}
		for _, r := range rs {
			sum.Offered, sum.Refused, sum.Failed, sum.NoAnswer = sum.Offered+r.Offered, sum.Refused+r.Refused, sum.Failed+r.Failed, sum.NoAnswer+r.NoAnswer
			gaps, wholes = append(gaps, r.Gap), append(wholes, r.Whole)
			out[r.Outcome]++
			if r.Outcome == "in force" {
				forces = append(forces, r.Force)
			}
			if r.Fail != "" {
				fmt.Printf("%v: %s\n", r.Kinds, r.Fail)
				code = 1
			}
		}
		span := func(l []time.Duration) string {
			if len(l) == 0 {
				return "-"
			}
			slices.Sort(l)
			return fmt.Sprintf("%.1f (%.1f)", l[len(l)/2].Seconds(), l[len(l)-1].Seconds())
		}
		pc := func(x int) string { return fmt.Sprintf("%.2f", 100*float64(x)/float64(max(1, sum.Offered))) }
		var odd []string
		for _, o := range []string{"refused", "unknown", "no answer"} {
			if out[o] > 0 {
				odd = append(odd, fmt.Sprintf("%s %d", o, out[o]))
			}
		}
		lines = append(lines, line{sum.Bad(), fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s | %s |", strings.Join(rs[0].Kinds, " + "),
			pc(sum.Refused), pc(sum.Failed), pc(sum.NoAnswer), span(gaps), span(wholes), span(forces), strings.Join(odd, ", "))})
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(b.bad, a.bad) })
	fmt.Println("| kind | refused % | failed % | no answer % | longest gap s | whole again s | change in force s | other outcomes |\n|---|---|---|---|---|---|---|---|")
	for i, l := range lines {
		if !pairs || i < 40 {
			fmt.Println(l.text)
		}
	}
	return code
}
