// Command mfload is the load generator: open-loop arrivals of a mix of requests at the proxies that are ready, clients
// that retry as they please, and a check of every response, at the end also against the request logs of the test back
// ends. Latency counts from the moment a request was due, so that a stall is felt by all that it delayed.
//
// Begin with generator; mix.go has the requests, request.go one request, collector.go and report.go what is made of the
// outcomes.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/shared/version"
)

// The exit codes.
const (
	exitBroken = 1 // a response or a request log is not as it must be
	exitUsage  = 2
)

// options are the command line's.
type options struct {
	proxies     []string // caller addresses, or ADDR=HTTP
	mix         string
	rate        float64       // requests a second
	duration    time.Duration // of the arrivals
	requestLogs string        // folder of the back ends' request logs, "": they are not checked
	workMs      int           // asked of the back ends; below 0: their own
	output      string
	perSecond   bool
	seed        uint64
	openMax     int64 // requests that may be open at once
}

// define puts the flags on the command line.
func (o *options) define(app *kingpin.Application) {
	app.Flag("gate", "caller address of a proxy, or ADDR=HTTP to ask HTTP/ready whether it takes callers (repeat)").Required().StringsVar(&o.proxies)
	app.Flag("mix", "kelani, kiyihat, or a JSON file").Default("kiyihat").StringVar(&o.mix)
	app.Flag("rate", "exchanges a second").Default("100").Float64Var(&o.rate)
	app.Flag("for", "how long").Default("10s").DurationVar(&o.duration)
	app.Flag("ledgers", "folder of the back ends' ledgers, checked at the end").StringVar(&o.requestLogs)
	app.Flag("work", "milliseconds of work asked of the back end (default: its own)").Default("-1").IntVar(&o.workMs)
	app.Flag("output", "text or json").Short('o').Default("text").EnumVar(&o.output, "text", "json")
	app.Flag("per-second", "also report each second").BoolVar(&o.perSecond)
	app.Flag("seed", "seed of arrivals and mix").Default("1").Uint64Var(&o.seed)
	app.Flag("open", "most exchanges open at once; further arrivals count as unanswered").Default("4000").Int64Var(&o.openMax)
}

func main() {
	app := kingpin.New("mfload", "Sends a deployment's mix of exchanges and checks every answer.")
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	var opts options
	opts.define(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "mfload: %v, see --help\n", err)
		os.Exit(exitUsage)
	}
	mix, err := loadMix(opts.mix)
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfload: mix %s: %v\n", opts.mix, err)
		os.Exit(exitUsage)
	}
	report := run(opts, mix)
	if opts.output == "json" {
		json.NewEncoder(os.Stdout).Encode(report)
	} else {
		report.print(os.Stdout)
	}
	if report.broken() {
		os.Exit(exitBroken)
	}
}

// run sends the load and makes the report.
func run(opts options, mix []requestKind) *report {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	generator := newGenerator(opts)
	generator.proxies.refresh(ctx)
	go generator.proxies.run(ctx)
	go generator.run(mix)
	c := newCollector()
	for outcome := range generator.outcomes {
		c.add(outcome)
	}
	c.report.Seconds = time.Since(c.begin).Seconds()
	if opts.requestLogs != "" {
		if err := c.checkRequestLogs(opts.requestLogs, generator.idPrefix); err != nil {
			fmt.Fprintf(os.Stderr, "mfload: %v\n", err)
		}
	}
	return c.finish(opts)
}
