// This file is a daemon's process: what its parts share, and how it starts.

package daemon

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
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

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/version"
	"myrtlefold/internal/shared/wire"
)

// The exit codes of a daemon.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2 // the command line or the settings are invalid
)

// Kind says which of the two daemons a process is.
type Kind = wire.DaemonKind

// The two daemons.
const (
	ControlDaemon = wire.ControlDaemon
	ProxyDaemon   = wire.ProxyDaemon
)

// program is a daemon's program as its command line names it.
type program struct{ name, help string }

// programs are the daemons' programs, by kind of daemon.
var programs = map[wire.DaemonKind]program{
	wire.ControlDaemon: {"mfcontrol", "A control daemon: keeps the configuration, the proxy membership and the health of targets."},
	wire.ProxyDaemon:   {"mfproxy", "A proxy daemon: forwards callers' requests to back ends."},
}

// Process is a daemon's process: what its parts share.
type Process struct {
	*Clock
	Kind        wire.DaemonKind
	Settings    Settings
	Log         *logrus.Logger
	Metrics     *prometheus.Registry
	Incarnation uint64 // a random number of this start
	Loop        *Loop
	Transport   *Transport
	Checker     *HealthChecker

	platform    Platform
	rawSettings []byte         // the text that Settings were read from
	hangups     chan os.Signal // SIGHUP, caught from the start on: by default it ends a process
	stops       chan os.Signal // SIGTERM and SIGINT, caught from the start on: requests may be under way before Wait
	exitCode    chan int       // takes the exit code when the state machine is done
}

// Start reads command line and settings and returns the daemon's process. If anything is wrong, or only a check was
// asked for, it prints that and returns no process but the exit code.
func Start(kind wire.DaemonKind, args []string, platform Platform) (*Process, int) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	stops := make(chan os.Signal, 2)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)

	name := programs[kind].name
	app := kingpin.New(name, programs[kind].help)
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	if platform.Load == nil {
		flags := &Flags{}
		flags.Bind(app, kind)
		platform.Load = func() (LoadedSettings, error) { return flags.Load(kind) }
	}
	check := app.Flag("check", "check the settings and exit").Bool()
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v, see --help\n", name, err)
		return nil, exitUsage
	}
	loaded, err := platform.Load()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return nil, exitUsage
	}
	for _, fault := range loaded.Faults {
		fmt.Fprintf(os.Stderr, "%s: settings: %s: %s\n", name, fault.Path, fault.Text)
	}
	if len(loaded.Faults) > 0 {
		return nil, exitUsage
	}
	if *check {
		fmt.Println("settings are sound")
		return nil, exitOK
	}
	limitMemory(loaded.Settings)
	p := newProcess(kind, loaded.Settings, newLogger(loaded.Settings.LogLevel), platform)
	p.rawSettings, p.hangups, p.stops = loaded.Raw, hangups, stops
	return p, exitOK
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(&logrus.JSONFormatter{})
	parsed, _ := logrus.ParseLevel(level) // it was checked with the settings
	log.SetLevel(parsed)
	return log
}

func newProcess(kind wire.DaemonKind, settings Settings, log *logrus.Logger, platform Platform) *Process {
	clock := &Clock{start: time.Now()}
	loop := newLoop(clock)
	traffic := &Traffic{}
	localAddr := settings.localAddr()
	metrics := prometheus.NewRegistry()
	metrics.MustRegister(traffic, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return &Process{
		Clock:       clock,
		Kind:        kind,
		Settings:    settings,
		Log:         log,
		Metrics:     metrics,
		Incarnation: rand.Uint64() | 1, // never 0, which is none
		Loop:        loop,
		Transport:   &Transport{log: log, clock: clock, loop: loop, traffic: traffic, localAddr: localAddr, queues: map[string]chan outgoing{}},
		Checker:     newHealthChecker(clock, loop, localAddr, platform.Headers),
		platform:    platform,
		exitCode:    make(chan int, 1),
	}
}

// limitMemory bounds the runtime's memory by a part of the process's, since the rest goes to what the runtime doesn't
// count.
func limitMemory(settings Settings) {
	if settings.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMb<<20) * tuning.MemoryShare))
		debug.SetGCPercent(tuning.GCPercent)
	}
}

// localAddr returns the address that connections leave from, nil for the system's choice.
func (s *Settings) localAddr() net.Addr {
	if s.LocalIP == "" {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(s.LocalIP)}
}

// Daemon returns what the daemon says of itself to others.
func (p *Process) Daemon() wire.Daemon {
	return wire.Daemon{
		Name:        p.Settings.Name,
		Kind:        p.Kind,
		Domain:      p.Settings.Domain,
		Addr:        p.Settings.Addr,
		HTTP:        p.Settings.HTTP,
		Incarnation: p.Incarnation,
	}
}

// listenForDaemons accepts other daemons' connections until the context ends.
func (p *Process) listenForDaemons(ctx context.Context) error {
	return p.Transport.Listen(ctx, cmp.Or(p.Settings.Bind, p.Settings.Addr), func(err error) {
		p.Log.WithError(err).Fatal("connections of daemons can't be accepted")
	})
}

// Execute carries out the commands that the state machines of both daemons give; only on the loop's goroutine. What a
// command starts ends with the context.
func (p *Process) Execute(ctx context.Context, command statemachine.Command) {
	switch c := command.(type) {
	case statemachine.Send:
		p.Transport.Send(ctx, c.Addr, c.Message)
	case statemachine.Probe:
		p.Checker.Check(c)
	case statemachine.Reply:
		p.Loop.Respond(c.ID, c)
	case statemachine.StateChange:
		p.logStateChange(c)
	case statemachine.Exit:
		select {
		case p.exitCode <- exitOK:
		default: // it is said already
		}
	default:
		panic(errors.AssertionFailedf("command %T", command))
	}
}

func (p *Process) logStateChange(change statemachine.StateChange) {
	p.Log.WithFields(logrus.Fields{
		"subject": change.Subject,
		"from":    change.From,
		"to":      change.To,
		"reason":  change.Reason,
		"daemon":  p.Settings.Name,
	}).Info("state changed")
}
