// Command mfbackend is a test back end. It registers and sends heartbeats, serves its identity, logs every request that
// it runs, and fails on request in the ways that the fleet must tolerate: it hangs, runs a request and loses the
// response, sends garbage or half a response, is slow, warms up, or leaves. It stands for a back end's code, so only
// its identity page or health check, its reports and the headers of requests are part of the system's contract.
//
// Begin with backend, in server.go; registration.go is its part towards the daemons, faults.go how it fails.
package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/shared/version"
	"myrtlefold/internal/verification/requestlog"
)

// options are the command line's.
type options struct {
	service, name, domain string
	addr                  string // IP:port that daemons are told
	bind                  string // IP:port to listen on, "": addr
	from                  string // IP that heartbeats leave from, "": the system's choice
	daemons               []string
	work                  time.Duration // how long a request takes
	slots                 int64         // requests that run at once; others wait
	warmup                time.Duration // how long its state is warming
	warmupRateTime        time.Duration // how long it only bears its service's warm-up rate
	checkPath             string        // where it is asked for its health; "": it is asked for its identity
	uniqueName            bool          // its name is this start's alone, and its reports go by it
	requestLog            string        // file, "": none
}

// define puts the flags on the command line.
func (o *options) define(app *kingpin.Application) {
	app.Flag("service", "service that it belongs to").Required().StringVar(&o.service)
	app.Flag("name", "its name in the service").Required().StringVar(&o.name)
	app.Flag("addr", "IP:port to serve on").Required().StringVar(&o.addr)
	app.Flag("bind", "IP:port to listen on, if it is not addr itself").StringVar(&o.bind)
	app.Flag("from", "IP that its words leave from").StringVar(&o.from)
	app.Flag("domain", "domain (zone)").Default("").StringVar(&o.domain)
	app.Flag("daemon", "HTTP address of a daemon to beat to (repeat)").Required().StringsVar(&o.daemons)
	app.Flag("work", "how long an exchange takes").Default("10ms").DurationVar(&o.work)
	app.Flag("bears", "how many exchanges it works on at once; others wait").Default("64").Int64Var(&o.slots)
	app.Flag("warm", "how long it says that it is warming up").Default("0s").DurationVar(&o.warmup)
	app.Flag("health", "path where it tells its health; then it takes the identity that is expected with each exchange, and turns away what it has no room for").StringVar(&o.checkPath)
	app.Flag("named", "take a name of its own for this start, and send words of targets by name").BoolVar(&o.uniqueName)
	app.Flag("cold", "how long after its start it bears only its service's cold rate").Default("0s").DurationVar(&o.warmupRateTime)
	app.Flag("ledger", "file to append the ledger to").StringVar(&o.requestLog)
}

func main() {
	app := kingpin.New("mfbackend", "A stand-in back end that can fail on request and keeps a ledger of what it ran.")
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	var o options
	o.define(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "mfbackend: %v, see --help\n", err)
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "mfbackend:", err)
		os.Exit(1)
	}
}

// run serves until a signal or a caller asks the back end to leave, and until it has left.
func run(opts options) error {
	log, err := requestlog.Create(opts.requestLog)
	if err != nil {
		return err
	}
	defer log.Close()
	target := newBackend(opts, log)
	listener, err := net.Listen("tcp", cmp.Or(opts.bind, opts.addr))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: target.handler()}
	go server.Serve(listener)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go target.sendHeartbeats(ctx)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-target.leaveRequests:
	}
	target.leave()
	return nil
}
