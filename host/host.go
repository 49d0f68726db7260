// Package host is the shell around the owners: the clock, the loop that feeds an
// owner on its one goroutine, messages between daemons over TCP, probes, the
// disk, settings, logs and counters. Host is the one context that all of it
// shares. Nothing here decides anything.
package host

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"

	"myrtlefold/core"
	"myrtlefold/forward"
	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/wire"
)

// Version is what the programs say they are.
var Version = "0.1.0"

// Host is the context that a daemon's parts share.
type Host struct {
	Kind  string
	Set   Settings
	Log   *logrus.Logger
	Reg   *prometheus.Registry
	Inc   uint64
	Loop  *Loop
	load  func() (Settings, []byte, []model.Fault, error)
	say   Dialect
	raw   []byte
	hup   chan os.Signal // SIGHUP, caught from the start on: by default it ends a process
	start time.Time
	out   map[string]chan queued
	// tables are those that are sent to many.
	tables packedTables
	Quit   chan int
	// Traffic counts the messages between this daemon and others.
	Traffic *Traffic
	// Headers are the names that targets are asked with; none: the product's own.
	Headers  forward.Headers
	probes   map[wire.ID]*probed
	probesAt time.Duration
}

// Start reads command line and settings; on any fault it says each and exits 2.
func Start(kind string, args []string, say Dialect) *Host {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	app := kingpin.New("mf"+kind, map[string]string{
		"core": "A control daemon: keeps the configuration, the roster and the judgement of targets.",
		"gate": "A proxy daemon: carries callers' exchanges to back ends."}[kind])
	app.Version(Version)
	app.HelpFlag.Short('h')
	f := &Flags{}
	load := say.Load
	if load == nil {
		f.Bind(app, kind)
		load = func() (Settings, []byte, []model.Fault, error) { return f.Load(kind) }
	}
	check := app.Flag("check", "check the settings and exit").Bool()
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "mf%s: %v, see --help\n", kind, err)
		os.Exit(2)
	}
	set, raw, faults, err := load()
	if err != nil {
		fmt.Fprintf(os.Stderr, "mf%s: %v\n", kind, err)
		os.Exit(2)
	}
	for _, x := range faults {
		fmt.Fprintf(os.Stderr, "mf%s: settings: %s: %s\n", kind, x.Path, x.Text)
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
	lv, _ := logrus.ParseLevel(set.Log)
	log.SetLevel(lv)
	h := New(kind, set, log)
	h.load, h.say, h.Headers, h.raw, h.hup = load, say, say.Headers, raw, hup
	h.bound(set)
	h.Reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return h
}

// New is a daemon's context by itself: what the process has in common is Start's.
func New(kind string, set Settings, log *logrus.Logger) *Host {
	h := &Host{Kind: kind, Set: set, Log: log, Reg: prometheus.NewRegistry(), Inc: rand.Uint64() | 1, Traffic: &Traffic{},
		start: time.Now(), out: map[string]chan queued{}, Quit: make(chan int, 1)}
	h.Reg.MustRegister(h.Traffic)
	h.Loop = &Loop{in: make(chan item, limit.EventQueue), h: h, waits: map[uint64]chan any{}}
	return h
}

// bound tells the runtime how much memory there is: the most goes to what lives, and
// a part stays for what the runtime does not count.
func (h *Host) bound(s Settings) {
	if s.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMb<<20) * limit.MemoryShare))
		debug.SetGCPercent(limit.GcPercent)
	}
}

// Now is monotonic time since the process started, never 0.
func (h *Host) Now() time.Duration { return time.Since(h.start) + time.Millisecond }

// From is where connections leave from, nil for the system's choice.
func (h *Host) From() net.Addr {
	if h.Set.From == "" {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(h.Set.From)}
}

func (h *Host) Daemon() wire.Daemon {
	return wire.Daemon{Name: h.Set.Name, Kind: h.Kind, Domain: h.Set.Domain, Addr: h.Set.Addr, Http: h.Set.Http, Inc: h.Inc}
}

// Fatal ends the process on something that it can't go on without.
func (h *Host) Fatal(err error, what string) {
	h.Log.WithError(err).Error(what)
	os.Exit(1)
}

// Do carries out the commands that both daemons' owners give; on the owner's goroutine.
func (h *Host) Do(cmd any) {
	switch c := cmd.(type) {
	case core.Send:
		h.Send(c.Addr, c.M)
	case core.Probe:
		h.Probe(c)
	case core.Reply:
		h.Loop.Answer(c.ID, c)
	case core.Change:
		h.Log.WithFields(logrus.Fields{"what": c.What, "from": c.From, "to": c.To, "why": c.Why, "daemon": h.Set.Name}).Info("change")
	case core.Exit:
		select {
		case h.Quit <- 0:
		default:
		}
	default:
		panic(errors.AssertionFailedf("command %T", cmd))
	}
}

// Signals passes the first polite signal to the owner; a second one ends the process.
func (h *Host) Signals() {
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ch
		h.Loop.Tell(core.Stop{})
		<-ch
		h.Log.Warn("second signal")
		os.Exit(1)
	}()
}

// Watch looks at the settings again and again, and at once on SIGHUP. Sound changes of
// log level, seeds and memory take effect; others wait for the next start; unsound ones
// are said once and the old ones kept.
func (h *Host) Watch(seeds func([]string)) {
	tick := time.NewTicker(limit.SettingsEvery)
	go func() {
		seen, cur := string(h.raw), h.Set
		for {
			select {
			case <-h.hup:
			case <-tick.C:
			}
			s, b, faults, err := h.load()
			if string(b) == seen && err == nil {
				continue
			}
			if err != nil || len(faults) > 0 {
				if string(b) != seen || err != nil && seen != err.Error() {
					h.Log.WithError(err).WithField("faults", faults).Warn("changed settings are unsound; the old ones stay")
				}
				if seen = string(b); err != nil {
					seen = err.Error()
				}
				continue
			}
			seen = string(b)
			if lv, _ := logrus.ParseLevel(s.Log); s.Log != cur.Log {
				h.Log.SetLevel(lv)
			}
			if !slices.Equal(s.Seeds, cur.Seeds) {
				seeds(s.Seeds)
			}
			h.bound(s)
			rest := s
			rest.Log, rest.Seeds, rest.MemoryMb = cur.Log, cur.Seeds, cur.MemoryMb
			waits := !reflect.DeepEqual(rest, cur)
			cur.Log, cur.Seeds, cur.MemoryMb = s.Log, s.Seeds, s.MemoryMb
			h.Log.WithFields(logrus.Fields{"log": s.Log, "seeds": s.Seeds, "rest_at_next_start": waits}).Info("settings changed")
		}
	}()
}
