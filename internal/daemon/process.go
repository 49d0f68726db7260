// Package daemon is what is around the state machines of the daemons (their owners): the clock,
// the loop that feeds an owner on its one goroutine, messages between daemons over TCP,
// probes, the disk, settings, logs and counters. Host is the one context that all of it
// shares. Nothing here decides anything. The package also holds mfctl, the operators' command.
package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"myrtlefold/internal/shared/statemachine"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/version"
	"myrtlefold/internal/shared/wire"
)

// Process is the context that a daemon's parts share.
type Process struct {
	Kind        wire.DaemonKind
	Settings    Settings
	Log         *logrus.Logger
	Metrics     *prometheus.Registry
	Incarnation uint64 // a random number of this start
	Loop        *Loop
	// exitCode takes the exit code when the owner is done.
	exitCode chan int
	// Traffic counts the messages between this daemon and others.
	Traffic *Traffic
	// Headers are the names of the headers on probes; none: the product's own.
	Headers reverseproxy.Headers

	load        func() (Settings, []byte, []config.Fault, error)
	dialect     Platform
	rawSettings []byte         // the text that Settings were read from
	hup         chan os.Signal // SIGHUP, caught from the start on: by default it ends a process
	stops       chan os.Signal // SIGTERM and SIGINT, caught from the start on: requests may be under way before Wait
	start       time.Time
	queues      map[string]chan queued // messages to be sent, by address
	tables      packedTables           // those that are sent to many
	probes      map[wire.TargetID]*probed
	probesAt    time.Duration // when idle connections were last closed
}

// Kind says which of the two daemons a process is.
type Kind = wire.DaemonKind

// The two daemons.
const (
	ControlDaemon = wire.ControlDaemon
	ProxyDaemon   = wire.ProxyDaemon
)

// programs are the daemons' programs, by kind of daemon.
var programs = map[wire.DaemonKind]struct{ name, help string }{
	wire.ControlDaemon: {"mfcontrol", "A control daemon: keeps the configuration, the proxy membership and the health of targets."},
	wire.ProxyDaemon:   {"mfproxy", "A proxy daemon: forwards callers' requests to back ends."},
}

// Start reads command line and settings and returns the daemon's context. If anything is wrong it
// prints each fault and ends the process with exit code 2.
func Start(kind wire.DaemonKind, args []string, dialect Platform) *Process {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	stops := make(chan os.Signal, 2)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	program := programs[kind]
	app := kingpin.New(program.name, program.help)
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	f := &Flags{}
	load := dialect.Load
	if load == nil {
		f.Bind(app, kind)
		load = func() (Settings, []byte, []config.Fault, error) { return f.Load(kind) }
	}
	check := app.Flag("check", "check the settings and exit").Bool()
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v, see --help\n", program.name, err)
		os.Exit(2)
	}
	set, raw, faults, err := load()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program.name, err)
		os.Exit(2)
	}
	for _, x := range faults {
		fmt.Fprintf(os.Stderr, "%s: settings: %s: %s\n", program.name, x.Path, x.Text)
	}
	if len(faults) > 0 {
		os.Exit(2)
	}
	if *check {
		fmt.Println("settings are sound")
		os.Exit(0)
	}
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(&logrus.JSONFormatter{})
	lv, _ := logrus.ParseLevel(set.LogLevel)
	log.SetLevel(lv)
	h := newProcess(kind, set, log)
	h.load, h.dialect, h.Headers, h.rawSettings, h.hup, h.stops = load, dialect, dialect.Headers, raw, hup, stops
	h.bound(set)
	h.Metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return h
}

// newProcess returns a daemon's context without touching what a process has only one of.
func newProcess(kind wire.DaemonKind, set Settings, log *logrus.Logger) *Process {
	h := &Process{Kind: kind, Settings: set, Log: log, Metrics: prometheus.NewRegistry(), Incarnation: rand.Uint64() | 1, Traffic: &Traffic{},
		start: time.Now(), queues: map[string]chan queued{}, exitCode: make(chan int, 1)}
	h.Metrics.MustRegister(h.Traffic)
	h.Loop = &Loop{queue: make(chan item, tuning.EventQueue), host: h, waiting: map[uint64]chan statemachine.Command{}}
	return h
}

// bound tells the runtime how much memory it may use: a part of the process's, since the rest goes
// to what the runtime does not count.
func (h *Process) bound(s Settings) {
	if s.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMb<<20) * tuning.MemoryShare))
		debug.SetGCPercent(tuning.GCPercent)
	}
}

// Now returns the monotonic time since the process started; it is never 0.
func (h *Process) Now() time.Duration { return time.Since(h.start) + time.Millisecond }

// LocalAddr returns the address that connections leave from, nil for the system's choice.
func (h *Process) LocalAddr() net.Addr {
	if h.Settings.LocalIP == "" {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(h.Settings.LocalIP)}
}

// Daemon returns what the daemon says of itself to others.
func (h *Process) Daemon() wire.Daemon {
	return wire.Daemon{Name: h.Settings.Name, Kind: h.Kind, Domain: h.Settings.Domain, Addr: h.Settings.Addr, HTTP: h.Settings.HTTP, Incarnation: h.Incarnation}
}

// Fatal logs an error that the daemon can't go on with, and ends the process with exit code 1.
func (h *Process) Fatal(err error, what string) {
	h.Log.WithError(err).Error(what)
	os.Exit(1)
}

// Execute carries out the commands that both kinds of owners give; on the owner's goroutine.
func (h *Process) Execute(cmd statemachine.Command) {
	switch c := cmd.(type) {
	case statemachine.Send:
		h.Send(c.Addr, c.Message)
	case statemachine.Probe:
		h.CheckHealth(c)
	case statemachine.Reply:
		h.Loop.Respond(c.ID, c)
	case statemachine.StateChange:
		h.Log.WithFields(logrus.Fields{"what": c.Subject, "from": c.From, "to": c.To, "why": c.Reason, "daemon": h.Settings.Name}).Info("change")
	case statemachine.Exit:
		select {
		case h.exitCode <- 0:
		default:
		}
	default:
		panic(errors.AssertionFailedf("command %T", cmd))
	}
}

// Signals has the first SIGTERM or SIGINT stop the owner, and a second one end the process.
func (h *Process) HandleSignals() {
	go func() {
		<-h.stops
		h.Loop.Post(statemachine.Stop{})
		<-h.stops
		h.Log.Warn("second signal")
		os.Exit(1)
	}()
}

// closeAPI ends the HTTP API: it takes no more calls, and the answers that the owner has given are written.
func (h *Process) closeAPI(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.ShutdownWriteTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		h.Log.WithError(err).Warn("calls are left without an answer")
		server.Close()
	}
}

// Wait handles signals and changes of settings until the owner is done, and returns the exit code.
// seeds takes new seeds, on the owner's goroutine.
func (h *Process) Wait(seeds func([]string)) int {
	h.HandleSignals()
	h.WatchSettings(func(s []string) { h.Loop.Inspect(func(time.Duration) { seeds(s) }) })
	h.Log.WithField("settings", h.Settings).Info("started")
	return <-h.exitCode
}
