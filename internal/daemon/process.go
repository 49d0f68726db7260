// The state that the parts of a daemon's process share, and the start of the process.

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

	"myrtlefold/internal/shared/gracefulclose"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/version"
	"myrtlefold/internal/shared/wire"
)

// Exit codes of a daemon.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2 // invalid command line or settings
)

// Kind is the kind of a daemon: control daemon or proxy.
type Kind = wire.DaemonKind

// Kinds of daemons.
const (
	ControlDaemon = wire.ControlDaemon
	ProxyDaemon   = wire.ProxyDaemon
)

// program is the name and the --help text of a daemon's executable.
type program struct{ name, help string }

// programs maps each kind of daemon to its executable.
var programs = map[wire.DaemonKind]program{
	wire.ControlDaemon: {"mfcontrol", "Control daemon: replicates the configuration, the proxy membership and the health of targets."},
	wire.ProxyDaemon:   {"mfproxy", "Proxy daemon: forwards requests of callers to back ends."},
}

// Process holds what the parts of a daemon's process share.
type Process struct {
	*Clock
	Kind        wire.DaemonKind
	Settings    Settings
	Log         *logrus.Logger
	Metrics     *prometheus.Registry
	Incarnation uint64 // random, distinguishes this run from earlier ones; never 0
	Loop        *Loop
	Transport   *Transport
	Checker     *HealthChecker

	platform        Platform
	closing         *gracefulclose.Group // connections of the HTTP servers that are being closed
	callBodyTimeout time.Duration
	callCounts      callCounts
	rawSettings     []byte         // text that Settings were read from
	reloadSignals   chan os.Signal // SIGHUP, caught before startup because its default action ends the process
	stopSignals     chan os.Signal // SIGTERM and SIGINT, caught before startup since callers may be served before Wait
	exitCode        chan int       // receives the exit code when the state machine has stopped
}

// Start parses the command line, loads the settings and returns the daemon's process. If either is invalid, or with the
// flag --check, it prints the result and returns a nil process and the exit code.
func Start(kind wire.DaemonKind, args []string, platform Platform) (*Process, int) {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	stopSignals := make(chan os.Signal, 2)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)

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
		fmt.Println("settings are valid")
		return nil, exitOK
	}
	limitMemory(loaded.Settings)
	p := newProcess(kind, loaded.Settings, newLogger(loaded.Settings.LogLevel), platform)
	p.rawSettings, p.reloadSignals, p.stopSignals = loaded.Raw, reloadSignals, stopSignals
	return p, exitOK
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(&logrus.JSONFormatter{})
	parsed, _ := logrus.ParseLevel(level) // can't fail: Settings.Check has parsed it
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
	process := &Process{
		Clock:           clock,
		Kind:            kind,
		Settings:        settings,
		Log:             log,
		Metrics:         metrics,
		Incarnation:     rand.Uint64() | 1, // 0 means no incarnation
		Loop:            loop,
		Transport:       &Transport{log: log, clock: clock, loop: loop, traffic: traffic, localAddr: localAddr, queues: map[string]chan outgoing{}},
		Checker:         newHealthChecker(clock, loop, localAddr, platform.Headers),
		platform:        platform,
		closing:         gracefulclose.NewGroup(gracefulclose.DefaultBounds()),
		callBodyTimeout: tuning.CallBodyTimeout,
		exitCode:        make(chan int, 1),
	}
	process.RegisterCounters("close", func() any { return &process.closing.Counts })
	process.RegisterCounters("call", func() any { return &process.callCounts })
	return process
}

// limitMemory sets the memory limit of the Go runtime to tuning.MemoryShare of the process's limit, and its GC percentage.
// The rest of the process's limit is for memory that the runtime doesn't count.
func limitMemory(settings Settings) {
	if settings.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMb<<20) * tuning.MemoryShare))
		debug.SetGCPercent(tuning.GCPercent)
	}
}

// localAddr returns the local address of outgoing connections, nil for the system's choice.
func (s *Settings) localAddr() net.Addr {
	if s.LocalIP == "" {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(s.LocalIP)}
}

// Daemon returns the daemon's description of itself for other daemons.
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

// listenForDaemons accepts connections of other daemons until the context ends.
func (p *Process) listenForDaemons(ctx context.Context) error {
	return p.Transport.Listen(ctx, cmp.Or(p.Settings.Bind, p.Settings.Addr), func(err error) {
		p.Log.WithError(err).Fatal("accepting connections of daemons failed")
	})
}

// Execute executes the commands that the state machines of both daemons have in common. It must be called on the loop's
// goroutine. Work that a command starts ends with the context.
func (p *Process) Execute(ctx context.Context, command statemachine.Command) {
	switch c := command.(type) {
	case statemachine.Send:
		p.Transport.Send(ctx, c.Addr, c.Message)
	case statemachine.Probe:
		p.Checker.Check(c)
	case statemachine.Reply:
		p.Loop.Respond(c.ID, c)
	case statemachine.CheckCaller:
		p.Loop.Respond(c.ID, c)
	case statemachine.StateChange:
		p.logStateChange(c)
	case statemachine.Exit:
		select {
		case p.exitCode <- exitOK:
		default: // an exit code is already set
		}
	default:
		panic(errors.AssertionFailedf("unknown command %T", command))
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
