// This file measures what control costs at sizes that one machine could not carry as
// processes of their own. Hollow gates are gate owners, many to a process, each with an
// address of its own, that speak the daemons' real messages to real mfcontrol processes
// and carry no traffic; hollow targets, too, share a process, send their words and
// answer probes. The driver reads processor time and memory from /proc and messages
// from each side's counters, over a span in which nothing else happens, and then how
// long changes take. One real mfproxy stands among the hollow ones for comparison.

package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Times and bounds of a run: each wait ends, whatever the fleet does.
const (
	hollowUp       = 20 * time.Second      // until all gates are granted and all targets usable
	hollowChange   = 12 * time.Second      // until a change or an ejection has reached all
	hollowPoll     = 10 * time.Millisecond // how often gates are looked at for that
	hollowPatience = 2 * time.Second       // for the answer of one hollow process
	hollowFreeze   = 3 * time.Second       // how long the core is frozen
	hollowSoon     = 1500 * time.Millisecond
	clockTicks     = 100 // of processor time a second, in /proc
)

type hollowFlags struct {
	gates, targets, routes, changes string
	cores, spares                   int
	gateProcs, targetProcs          int
	real, threads, runs, rounds     int
	net                             int
	settle, span, beat              time.Duration
	orphans, ramp                   int
	out                             string
	bytes                           bool
	// of a part
	part, seeds, control string
	first, count         int
}

func (f *hollowFlags) bind(cmd, part *kingpin.CmdClause) {
	cmd.Flag("gates", "how many gates; several sizes by commas").Default("12").StringVar(&f.gates)
	cmd.Flag("targets", "how many targets").Default("36").StringVar(&f.targets)
	cmd.Flag("route-count", "how many routes").Default("10").StringVar(&f.routes)
	cmd.Flag("changes", "configuration changes a second during the span").Default("0").StringVar(&f.changes)
	cmd.Flag("cores", "core members").Default("3").IntVar(&f.cores)
	cmd.Flag("spares", "core daemons beside the members").Default("1").IntVar(&f.spares)
	cmd.Flag("real", "how many of the gates are real processes").Default("1").IntVar(&f.real)
	cmd.Flag("gate-processes", "processes that the hollow gates share").Default("2").IntVar(&f.gateProcs)
	cmd.Flag("target-processes", "processes that the hollow targets share").Default("1").IntVar(&f.targetProcs)
	cmd.Flag("threads", "GOMAXPROCS of core members and real gates, 0: the runtime's own").Default("2").IntVar(&f.threads)
	cmd.Flag("runs", "how often each size is measured").Default("3").IntVar(&f.runs)
	cmd.Flag("rounds", "how often each change is timed within a run").Default("3").IntVar(&f.rounds)
	cmd.Flag("settle", "how long the fleet is left alone before it is measured").Default("2s").DurationVar(&f.settle)
	cmd.Flag("span", "how long it is measured").Default("4s").DurationVar(&f.span)
	for _, c := range []*kingpin.CmdClause{cmd, part} {
		c.Flag("beat", "how often each target sends its word").Default(tuning.BeatEvery.String()).DurationVar(&f.beat)
	}
	cmd.Flag("orphans", "with up to so many gates also freeze the core and measure the gates meanwhile").Default("48").IntVar(&f.orphans)
	cmd.Flag("output", "text or json").Short('o').Default("text").EnumVar(&f.out, "text", "json")
	cmd.Flag("bytes", "only say how large configurations and tables of growing size are").BoolVar(&f.bytes)
	for _, c := range []*kingpin.CmdClause{cmd, part} {
		c.Flag("net", "second byte of the loopback addresses that are used, and the one after").Default("40").IntVar(&f.net)
	}
	for _, c := range []*kingpin.CmdClause{cmd, part} {
		c.Flag("ramp", "how many hollow gates start a second, 0: all at once").Default("0").IntVar(&f.ramp)
	}
	part.Flag("kind", "gates or targets").Required().EnumVar(&f.part, "gates", "targets")
	part.Flag("first", "first number").IntVar(&f.first)
	part.Flag("count", "how many").IntVar(&f.count)
	part.Flag("of", "how many targets there are in all").StringVar(&f.targets)
	part.Flag("daemons", "core members' addresses (gates) or HTTP addresses (targets), by commas").StringVar(&f.seeds)
	part.Flag("control", "address where the driver asks").StringVar(&f.control)
}

// hollowIP is the i-th address of a block of a thousand; blocks are cores, controls, gates, targets.
func hollowIP(net, block, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", net+block/3, block%3*80+i/250, i%250+1)
}

const (
	coreBlock = iota
	controlBlock
	gateBlock
	targetBlock
)

var hollowDomains = []string{"hill", "port", "coast"}

func hollowDomain(i int) string { return hollowDomains[i%len(hollowDomains)] }

// hollowServices is how many services so many targets make.
func hollowServices(targets int) int { return max(1, targets/12) }

func hollowTarget(i, targets int) (service, name string) {
	return fmt.Sprintf("s-%03d", i%hollowServices(targets)), fmt.Sprintf("t-%04d", i)
}

// hollowConfig is a configuration with so many routes over the targets' services.
func hollowConfig(targets, routes int) []byte {
	c := config.Config{Services: map[string]config.Service{}, Rules: []config.Rule{}, Routes: map[string]config.Route{}}
	n := hollowServices(targets)
	for i := range n {
		c.Services[fmt.Sprintf("s-%03d", i)] = config.Service{Cap: 64, WarmCap: 4, TimeoutMs: 2000, BodyMax: tuning.BodyMax, Tries: 2}
	}
	for i := range routes {
		c.Routes[hollowRoute(i)] = config.Route{Host: fmt.Sprintf("h%d.example", i%97), Prefix: fmt.Sprintf("/r%d/", i), Kind: config.Repeatable,
			TimeoutMs: 2000, AimMs: 200, Attempts: 2, Service: fmt.Sprintf("s-%03d", i%n)}
	}
	b, _ := json.Marshal(c)
	return b
}

func hollowRoute(i int) string { return fmt.Sprintf("r-%05d", i) }

// hollow measures all sizes, run after run, and prints a table with a line through each row.
func (l *lab) hollow(f *hollowFlags) int {
	sizes, along, err := f.sizes()
	if err != nil {
		fmt.Fprintln(os.Stderr, "mfchaos:", err)
		return 2
	}
	if f.bytes {
		fmt.Print(hollowBytes())
		return 0
	}
	if f.threads > 0 {
		os.Setenv("GOMAXPROCS", strconv.Itoa(f.threads))
		defer os.Unsetenv("GOMAXPROCS")
	}
	if err := os.RemoveAll(l.dir); err != nil {
		fmt.Fprintln(os.Stderr, "mfchaos:", err)
		return 1
	}
	code := 0
	got := make([]map[string][]float64, len(sizes))
	var order []string
	for i := range sizes {
		got[i] = map[string][]float64{}
	}
	for k := range f.runs {
		for i, s := range sizes { // sizes in turn, so that a busy moment does not fall on one alone
			h := &hollowLab{lab: l, f: f, size: s}
			before := load()
			err := h.measure()
			h.fig("load average before", before)
			if err != nil {
				fmt.Fprintf(os.Stderr, "mfchaos: run %d: %v\n", k+1, err)
				code = 1
			}
			h.end()
			for _, g := range h.figures {
				if !slices.Contains(order, g.Name) {
					order = append(order, g.Name)
				}
				got[i][g.Name] = append(got[i][g.Name], g.Value)
			}
			if f.out == "json" {
				b, _ := json.Marshal(map[string]any{"run": k + 1, "size": s, "figures": h.figures})
				fmt.Println(string(b))
			}
		}
	}
	if f.out == "text" {
		fmt.Print(hollowTable(sizes, along, order, got, f))
	}
	return code
}

// hollowTable shows each figure's median and span by size, and the line through the medians.
func hollowTable(sizes []hollowSize, along func(hollowSize) float64, order []string, got []map[string][]float64, f *hollowFlags) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d core members, %d real gates, %d threads each, %d processors; span %v, %d runs: median (least to most); line: at 0, per one, part unexplained\n\n|", f.cores, f.real, f.threads, runtime.NumCPU(), f.span, f.runs)
	for _, s := range sizes {
		fmt.Fprintf(&b, " | %v", s)
	}
	b.WriteString(" | line |\n|---|" + strings.Repeat("---|", len(sizes)+1) + "\n")
	for _, n := range order {
		fmt.Fprintf(&b, "| %s", n)
		var x, y []float64
		for i, s := range sizes {
			v := got[i][n]
			if len(v) == 0 {
				b.WriteString(" | -")
				continue
			}
			v = slices.Clone(v)
			for i := range v {
				if v[i] < 0 { // not in time
					v[i] = math.Inf(1)
				}
			}
			mid, lo, hi := median(v)
			fmt.Fprintf(&b, " | %s (%s to %s)", short(mid), short(lo), short(hi))
			if !math.IsInf(mid, 1) {
				x, y = append(x, along(s)), append(y, mid)
			}
		}
		if at0, slope, rest := line(x, y); len(x) > 1 {
			fmt.Fprintf(&b, " | %s, %s, %.2f", short(at0), short(slope), rest)
		} else {
			b.WriteString(" | -")
		}
		b.WriteString(" |\n")
	}
	return b.String()
}

// hollowBytes is what configurations and tables take that have nothing but routes, services,
// targets or gates in them.
func hollowBytes() string {
	var b strings.Builder
	for _, n := range []int{10, 100, 1000, 2500, 23000} {
		fmt.Fprintf(&b, "configuration with %d routes: %d bytes\n", n, len(hollowConfig(36, n)))
	}
	fmt.Fprintf(&b, "configuration with %d services: %d bytes\n", hollowServices(42000), len(hollowConfig(42000, 1)))
	size := func(t *wire.Table) int {
		m, _ := wire.Encode(&wire.Msg{Kind: uint16(wire.KPush), Push: &wire.Push{Table: t}})
		return len(wire.Pack(nil, m))
	}
	for _, n := range []int{36, 150, 600, 1200, 100000} {
		var t wire.Table
		for i := range n {
			s, name := hollowTarget(i, n)
			t.Targets = append(t.Targets, wire.Target{Service: s, Name: name, Inc: 1 << 60, Addr: hollowIP(40, targetBlock, i%4000) + ":7301", Domain: hollowDomain(i), State: config.Ready,
				Demand: 0.25, HasDemand: true, Beating: true, Turn: uint32(i)})
		}
		fmt.Fprintf(&b, "table with %d targets: %d bytes\n", n, size(&t))
	}
	for _, n := range []int{0, 30} {
		var p wire.Pull
		for i := range n {
			s, name := hollowTarget(i, n)
			p.Seen = append(p.Seen, wire.Seen{Service: s, Name: name, Inc: 1 << 60, Ok: 1, SumMs: 3.5})
		}
		m, _ := wire.Encode(&wire.Msg{Kind: uint16(wire.KPull), From: "gate-0000", To: "core-1", Stamp: 1, Pull: &p})
		fmt.Fprintf(&b, "pull that reports on %d targets: %d bytes\n", n, len(wire.Pack(nil, m)))
	}
	for _, n := range []int{12, 48, 192, 7100} {
		var t wire.Table
		for i := range n {
			s := gateSettings(40, i%1000, nil)
			t.Gates = append(t.Gates, wire.Gate{Name: s.Name, Addr: s.Addr, Domain: s.Domain, Live: true})
		}
		fmt.Fprintf(&b, "table with %d gates: %d bytes\n", n, size(&t))
	}
	return b.String()
}
