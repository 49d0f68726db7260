// Command mfload is an open-loop load generator. It sends a mix of requests to the proxies that are ready, simulates
// clients with and without retries, and checks every response, and at the end also the request logs of the test back
// ends. Latency is measured from the time at which a request was scheduled, so that a stall counts for every request
// that it delayed.
//
// Start with generator; mix.go defines the request mixes, request.go sends and checks a single request, collector.go
// and report.go evaluate the outcomes.
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

// Exit codes.
const (
	exitFailed = 1 // a response or a request log violates a requirement
	exitUsage  = 2 // invalid command line or mix
)

// options holds the command-line options.
type options struct {
	proxies      []string      // addresses for callers, each ADDR or ADDR=HTTP
	mix          string        // name of a built-in mix or of a JSON file
	rate         float64       // requests per second
	duration     time.Duration // how long requests are sent
	requestLogs  string        // directory of the back ends' request logs; "": not checked
	processingMs int           // processing time requested from the back ends, in ms; negative: their default
	output       string        // text or json
	perSecond    bool          // report the counts of each second
	seed         uint64        // of the random numbers
	maxInFlight  int64         // maximum number of requests in flight
}

// define registers the command-line flags.
func (o *options) define(app *kingpin.Application) {
	app.Flag("gate", "address of a proxy for callers, or ADDR=HTTP to poll HTTP/ready for its readiness (repeatable)").Required().StringsVar(&o.proxies)
	app.Flag("mix", "request mix: kelani, kiyihat, or a JSON file").Default("kiyihat").StringVar(&o.mix)
	app.Flag("rate", "requests per second").Default("100").Float64Var(&o.rate)
	app.Flag("for", "how long to send requests").Default("10s").DurationVar(&o.duration)
	app.Flag("ledgers", "directory of the back ends' request logs, which are checked at the end").StringVar(&o.requestLogs)
	app.Flag("work", "processing time to request from the back ends, in ms; negative: their default").Default("-1").IntVar(&o.processingMs)
	app.Flag("output", "output format: text or json").Short('o').Default("text").EnumVar(&o.output, "text", "json")
	app.Flag("per-second", "also report the counts of each second").BoolVar(&o.perSecond)
	app.Flag("seed", "random seed for arrivals and mix").Default("1").Uint64Var(&o.seed)
	app.Flag("open", "maximum number of requests in flight; further requests count as unanswered").Default("4000").Int64Var(&o.maxInFlight)
}

func main() {
	app := kingpin.New("mfload", "Sends a deployment's mix of requests through the proxies and checks every response.")
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
	if report.failed() {
		os.Exit(exitFailed)
	}
}

// run sends the load and returns the report.
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
			fmt.Fprintf(os.Stderr, "mfload: check request logs: %v\n", err)
		}
	}
	return c.finish(opts)
}
