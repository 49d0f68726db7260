// This file is a daemon's settings: where they come from and what is checked.

package daemon

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Settings are a daemon's own: its place in the fleet, not what the fleet serves.
type Settings struct {
	Name     string   `koanf:"name" json:"name"`               // unique in the fleet
	Domain   string   `koanf:"domain" json:"domain"`           // failure domain (zone)
	Addr     string   `koanf:"addr" json:"addr"`               // IP:port at which other daemons reach it
	Bind     string   `koanf:"bind" json:"bind,omitempty"`     // IP:port to listen on for them, "": Addr
	LocalIP  string   `koanf:"from" json:"from,omitempty"`     // IP that connections leave from, "": the system's choice
	HTTP     string   `koanf:"http" json:"http"`               // IP:port of its HTTP API
	Listen   string   `koanf:"listen" json:"listen,omitempty"` // IP:port for callers; proxies only
	Seeds    []string `koanf:"seeds" json:"seeds"`             // addresses of some other daemons
	Data     string   `koanf:"data" json:"data,omitempty"`     // folder of its state; core members only
	Size     int      `koanf:"size" json:"size,omitempty"`     // members that found the core, 0: the seeds do
	LogLevel string   `koanf:"log" json:"log,omitempty"`       // level: error, warn, info or debug
	// Bootstrap says that this is the fleet's first start ever: without a size, the seeds found the core then.
	Bootstrap bool `koanf:"found" json:"found,omitempty"`
	// Domains are all domains of the fleet, if they are known beforehand.
	Domains []string `koanf:"domains" json:"domains,omitempty"`
	// MemoryMb is how much memory the process may take, in MiB; 0: not bounded.
	MemoryMb int `koanf:"memory_mb" json:"memory_mb,omitempty"`
	// GraceMs is how long after SIGTERM the process is ended by force, in ms; 0: not known.
	GraceMs int `koanf:"grace_ms" json:"grace_ms,omitempty"`
	// RetryRatio, RetryWindowMs and RetrySlack bound retries, per service and over all proxies: a
	// part of the requests in a window, and how many beside it; 0: the program's own.
	RetryRatio    float64 `koanf:"retry_ratio" json:"retry_ratio,omitempty"`
	RetryWindowMs int     `koanf:"retry_window_ms" json:"retry_window_ms,omitempty"`
	RetrySlack    int     `koanf:"retry_slack" json:"retry_slack,omitempty"`
	// CatchUpMs is how long after the start of a replacement a core has to bear the next loss of a
	// member, and Losses how many members may be lost at once; 0: the program's own.
	CatchUpMs       int `koanf:"catch_up_ms" json:"catch_up_ms,omitempty"`
	ToleratedLosses int `koanf:"losses" json:"losses,omitempty"`
	// ReadyWhenEmptied has a proxy stay ready for callers while its domain is emptied.
	ReadyWhenEmptied bool `koanf:"ready_when_emptied" json:"ready_when_emptied,omitempty"`
}

// Platform is what differs between platforms that the daemons run on.
type Platform struct {
	// Load reads the settings, and returns with them the text that they were read from and their
	// faults; nil: they come from flags and a file.
	Load func() (Settings, []byte, []config.Fault, error)
	// Headers are the names of the headers that requests carry.
	Headers reverseproxy.Headers
}

// DefaultPlatform returns the product's own dialect.
func DefaultPlatform() Platform { return Platform{Headers: reverseproxy.DefaultHeaders()} }

// settingsCheck collects the faults of settings.
type settingsCheck struct{ faults []config.Fault }

func (c *settingsCheck) add(path, format string, a ...any) {
	c.faults = append(c.faults, config.Fault{Path: path, Text: fmt.Sprintf(format, a...)})
}

// reachable checks an address that others connect to.
func (c *settingsCheck) reachable(path, v string) {
	if ap, err := netip.ParseAddrPort(v); err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		c.add(path, "%q is not IP:port with an address that others can reach", v)
	}
}

// Check returns the faults of settings for a kind of daemon, by the settings' names.
func (s *Settings) Check(kind wire.DaemonKind) []config.Fault {
	c := &settingsCheck{}
	if s.Name == "" || len(s.Name) > tuning.ItemNameMax || strings.ContainsAny(s.Name, " /\"") {
		c.add("name", "must be 1 to %d characters without spaces, quotes or /", tuning.ItemNameMax)
	}
	if s.Domain == "" {
		c.add("domain", "is missing")
	}
	s.checkAddresses(c)
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		c.add("log", "%v", err)
	}
	s.checkNumbers(c)
	switch kind {
	case wire.ControlDaemon:
		s.checkCore(c)
	case wire.ProxyDaemon:
		s.checkGate(c)
	}
	return c.faults
}

func (s *Settings) checkAddresses(c *settingsCheck) {
	c.reachable("addr", s.Addr)
	c.reachable("http", s.HTTP)
	if s.Bind != "" {
		if ap, err := netip.ParseAddrPort(s.Bind); err != nil || ap.Port() == 0 {
			c.add("bind", "%q is not IP:port", s.Bind)
		}
	}
	if s.LocalIP != "" {
		if ip, err := netip.ParseAddr(s.LocalIP); err != nil || ip.IsUnspecified() {
			c.add("from", "%q is not an IP of this machine", s.LocalIP)
		}
	}
	for i, a := range s.Seeds {
		c.reachable(fmt.Sprintf("seeds[%d]", i), a)
	}
}

func (s *Settings) checkNumbers(c *settingsCheck) {
	for _, n := range []struct {
		path  string
		value float64
	}{
		{"memory_mb", float64(s.MemoryMb)},
		{"grace_ms", float64(s.GraceMs)},
		{"catch_up_ms", float64(s.CatchUpMs)},
		{"losses", float64(s.ToleratedLosses)},
		{"retry_ratio", s.RetryRatio},
		{"retry_window_ms", float64(s.RetryWindowMs)},
		{"retry_slack", float64(s.RetrySlack)},
	} {
		if !(n.value >= 0 && n.value <= math.MaxInt32+1) {
			c.add(n.path, "%v is below 0 or too large", n.value)
		}
	}
}

func (s *Settings) checkCore(c *settingsCheck) {
	if s.Data == "" {
		c.add("data", "is missing: a core member needs a folder")
	}
	if !slices.Contains([]int{0, 1, 3, 5}, s.Size) {
		c.add("size", "a core has 3 or 5 members (1 for trials, 0 if the seeds found it), not %d", s.Size)
	}
	if s.Size == 0 && len(s.Seeds) == 0 {
		c.add("seeds", "is empty, and no size is told")
	}
	if s.Size > 1 && len(s.Seeds) == 0 {
		c.add("seeds", "is empty")
	}
	if s.Listen != "" {
		c.add("listen", "is for proxies")
	}
}

func (s *Settings) checkGate(c *settingsCheck) {
	c.reachable("listen", s.Listen)
	if len(s.Seeds) == 0 {
		c.add("seeds", "is empty")
	}
	if s.Size != 0 {
		c.add("size", "is for core members")
	}
}

// Flags are the settings as a command line has them; what is given there goes before the file.
type Flags struct {
	File  string // the settings file, "": none
	set   Settings
	sized bool // a size is given, which may be 0
}

// Bind puts the flags for a kind of daemon on a command line.
func (f *Flags) Bind(app *kingpin.Application, kind wire.DaemonKind) {
	app.Flag("settings", "settings file (JSON); looked at again while running").Short('s').StringVar(&f.File)
	app.Flag("name", "this daemon's name, unique in the fleet").StringVar(&f.set.Name)
	app.Flag("domain", "the domain (zone) that this machine stands in").StringVar(&f.set.Domain)
	app.Flag("addr", "IP:port for the other daemons").StringVar(&f.set.Addr)
	app.Flag("bind", "IP:port to listen on for the other daemons, if it is not addr itself").StringVar(&f.set.Bind)
	app.Flag("from", "IP that pipes to daemons and back ends leave from (default: the system's choice)").StringVar(&f.set.LocalIP)
	app.Flag("http", "IP:port for operators, back ends, /ready, /live and /metrics").StringVar(&f.set.HTTP)
	app.Flag("seed", "address of another daemon (repeat for up to three)").StringsVar(&f.set.Seeds)
	app.Flag("memory-mb", "MiB that the process may take; the runtime is told").IntVar(&f.set.MemoryMb)
	app.Flag("log", "log level: error, warn, info or debug").StringVar(&f.set.LogLevel)
	if kind == wire.ProxyDaemon {
		app.Flag("listen", "IP:port for callers").StringVar(&f.set.Listen)
		app.Flag("grace-ms", "how long after SIGTERM the process is ended by force").IntVar(&f.set.GraceMs)
	} else {
		app.Flag("data", "folder for this member's state").StringVar(&f.set.Data)
		app.Flag("size", "how many members found the core: 3 or 5 (1 for trials), 0 if the seeds found it and it grows (default 3)").IsSetByUser(&f.sized).IntVar(&f.set.Size)
		app.Flag("catch-up-ms", "how long after a replacement's start the core has to bear the next loss of a member").IntVar(&f.set.CatchUpMs)
		app.Flag("losses", "how many core members may be lost at once").IntVar(&f.set.ToleratedLosses)
		app.Flag("found", "this is the fleet's first start ever: without a size, the seeds found the core").BoolVar(&f.set.Bootstrap)
	}
}

// Load reads the file, lays the flags over it and checks the whole. It returns the file's text, and
// the faults of the settings by their names; errors are those of reading the file.
func (f *Flags) Load(kind wire.DaemonKind) (Settings, []byte, []config.Fault, error) {
	s := Settings{LogLevel: "info"}
	if kind == wire.ControlDaemon {
		s.Size = 3
	}
	var raw []byte
	var faults []config.Fault
	if f.File != "" {
		var err error
		if raw, err = os.ReadFile(f.File); err != nil {
			return s, nil, nil, errors.Wrap(err, "settings file")
		}
		if faults, err = config.Decode(raw, &s); err != nil {
			return s, raw, nil, errors.Wrapf(err, "settings file %s", f.File)
		}
	}
	over := reflect.ValueOf(f.set)
	for i := range over.NumField() {
		if !over.Field(i).IsZero() {
			reflect.ValueOf(&s).Elem().Field(i).Set(over.Field(i))
		}
	}
	if f.sized {
		s.Size = f.set.Size
	}
	return s, raw, append(faults, s.Check(kind)...), nil
}
