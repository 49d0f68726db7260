// Command mfbackend is a test back end. It registers and sends heartbeats, serves its identity, logs every request that
// it runs, and injects on request the faults that the fleet must tolerate: it hangs, runs a request and loses the
// response, sends garbage or half a response, is slow, warms up, or leaves. It takes the place of a real back end, so
// only its identity page or health check, its reports and the headers of requests are part of the system's contract.
//
// Start with backend in server.go; registration.go communicates with the daemons, and faults.go injects faults.
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

// options holds the command-line options.
type options struct {
	service, name, domain string
	addr                  string        // IP:port that it registers
	bind                  string        // IP:port to listen on; "": addr
	from                  string        // source IP of heartbeats; "": chosen by the system
	daemons               []string      // HTTP addresses of the daemons
	processingTime        time.Duration // of a request without testbackend.ProcessingTimeHeader
	slots                 int64         // number of requests that run concurrently; others wait
	warmup                time.Duration // time after the start for which its state is warming
	warmupRateTime        time.Duration // time after the start for which it is limited to its service's warm-up rate
	checkPath             string        // path of its health check; "": none, its identity is checked instead
	uniqueName            bool          // its name is unique to this start of the process, and its reports identify it by name alone
	requestLog            string        // file; "": none
}

// define registers the command-line flags.
func (o *options) define(app *kingpin.Application) {
	app.Flag("service", "service of the back end").Required().StringVar(&o.service)
	app.Flag("name", "name of the back end in its service").Required().StringVar(&o.name)
	app.Flag("addr", "IP:port to serve on and to register").Required().StringVar(&o.addr)
	app.Flag("bind", "IP:port to listen on, if not addr").StringVar(&o.bind)
	app.Flag("from", "source IP of heartbeats and reports").StringVar(&o.from)
	app.Flag("domain", "failure domain (zone)").Default("").StringVar(&o.domain)
	app.Flag("daemon", "HTTP address of a daemon to send heartbeats to (repeatable)").Required().StringsVar(&o.daemons)
	app.Flag("work", "processing time of a request").Default("10ms").DurationVar(&o.processingTime)
	app.Flag("bears", "number of requests to run concurrently; others wait").Default("64").Int64Var(&o.slots)
	app.Flag("warm", "time after the start for which to report the state warming").Default("0s").DurationVar(&o.warmup)
	app.Flag("health", "path of its health check; if set, it rejects requests intended for another target and requests beyond its capacity").StringVar(&o.checkPath)
	app.Flag("named", "use a name that is unique to this start, and send reports that identify the target by name").BoolVar(&o.uniqueName)
	app.Flag("cold", "time after the start for which it is limited to its service's warm-up rate (cold_per_s)").Default("0s").DurationVar(&o.warmupRateTime)
	app.Flag("ledger", "request log file to append to").StringVar(&o.requestLog)
}

func main() {
	app := kingpin.New("mfbackend", "A test back end that injects faults on request and logs the requests that it ran.")
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

// run serves requests until a signal or a caller asks the back end to leave, and returns after it has left.
func run(opts options) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	fmt.Println("handling signals")
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
	select {
	case <-signals:
	case <-target.leaveRequests:
	}
	target.leave()
	return nil
}
