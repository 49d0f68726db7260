// This file is a daemon's settings: where they come from and what is checked.

package host

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"myrtlefold/forward"
	"myrtlefold/model"
)

// Settings are a daemon's own: its place, not what it serves.
type Settings struct {
	Name   string   `koanf:"name" json:"name"`
	Domain string   `koanf:"domain" json:"domain"`
	Addr   string   `koanf:"addr" json:"addr"`
	Bind   string   `koanf:"bind" json:"bind,omitempty"`
	From   string   `koanf:"from" json:"from,omitempty"`
	Http   string   `koanf:"http" json:"http"`
	Listen string   `koanf:"listen" json:"listen,omitempty"`
	Seeds  []string `koanf:"seeds" json:"seeds"`
	Data   string   `koanf:"data" json:"data,omitempty"`
	Size   int      `koanf:"size" json:"size,omitempty"`
	Log    string   `koanf:"log" json:"log,omitempty"`
	// Found says that this is the fleet's first start ever: where no size is told, the seeds found the core then.
	Found bool `koanf:"found" json:"found,omitempty"`
	// Domains are all domains of the fleet, if they are known beforehand.
	Domains []string `koanf:"domains" json:"domains,omitempty"`
	// MemoryMb is what the process may take, in MiB; the runtime is told. 0: not bounded.
	MemoryMb int `koanf:"memory_mb" json:"memory_mb,omitempty"`
	// GraceMs is how long after the polite signal the process is ended by force, 0: not known.
	GraceMs int `koanf:"grace_ms" json:"grace_ms,omitempty"`
	// RetryRatio, RetryWindowMs and RetrySlack bound what goes to a second target or a later
	// one, per service and over all proxies; 0: the program's own.
	RetryRatio    float64 `koanf:"retry_ratio" json:"retry_ratio,omitempty"`
	RetryWindowMs int     `koanf:"retry_window_ms" json:"retry_window_ms,omitempty"`
	RetrySlack    int     `koanf:"retry_slack" json:"retry_slack,omitempty"`
	// CatchUpMs is how long after the start of a replacement a core has to bear the next loss of a
	// member, and Losses how many members may be lost at once; 0: the program's own.
	CatchUpMs int `koanf:"catch_up_ms" json:"catch_up_ms,omitempty"`
	Losses    int `koanf:"losses" json:"losses,omitempty"`
	// ReadyWhenEmptied has a proxy go on asking for callers while its domain is emptied.
	ReadyWhenEmptied bool `koanf:"ready_when_emptied" json:"ready_when_emptied,omitempty"`
}

// Dialect is how a platform speaks where that is not the product's own way.
type Dialect struct {
	// Load reads the settings and, for comparing, what they were read from; nil: flags and file.
	Load func() (Settings, []byte, []model.Fault, error)
	// Headers are the names of the headers that requests carry.
	Headers forward.Headers
}

// Own is the product's own way.
func Own() Dialect { return Dialect{Headers: forward.Defaults()} }

// Check lists the faults of settings for a kind of daemon.
func (s *Settings) Check(kind string) []model.Fault {
	var fs []model.Fault
	add := func(p, f string, a ...any) { fs = append(fs, model.Fault{Path: p, Text: fmt.Sprintf(f, a...)}) }
	addr := func(p, v string) {
		if ap, err := netip.ParseAddrPort(v); err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
			add(p, "%q is not IP:port with an address that others can reach", v)
		}
	}
	if s.Name == "" || len(s.Name) > 64 || strings.ContainsAny(s.Name, " /\"") {
		add("name", "must be 1 to 64 characters without spaces, quotes or /")
	}
	if s.Domain == "" {
		add("domain", "is missing")
	}
	addr("addr", s.Addr)
	addr("http", s.Http)
	if s.Bind != "" {
		if ap, err := netip.ParseAddrPort(s.Bind); err != nil || ap.Port() == 0 {
			add("bind", "%q is not IP:port", s.Bind)
		}
	}
	if s.From != "" {
		if ip, err := netip.ParseAddr(s.From); err != nil || ip.IsUnspecified() {
			add("from", "%q is not an IP of this machine", s.From)
		}
	}
	for i, a := range s.Seeds {
		addr(fmt.Sprintf("seeds[%d]", i), a)
	}
	if _, err := logrus.ParseLevel(s.Log); err != nil {
		add("log", "%v", err)
	}
	for _, n := range []struct {
		path string
		v    float64
	}{{"memory_mb", float64(s.MemoryMb)}, {"grace_ms", float64(s.GraceMs)}, {"catch_up_ms", float64(s.CatchUpMs)}, {"losses", float64(s.Losses)}, {"retry_ratio", s.RetryRatio}, {"retry_window_ms", float64(s.RetryWindowMs)}, {"retry_slack", float64(s.RetrySlack)}} {
		if !(n.v >= 0 && n.v <= 1<<31) {
			add(n.path, "%v is below 0 or too large", n.v)
		}
	}
	switch kind {
	case "core":
		if s.Data == "" {
			add("data", "is missing: a core member needs a folder")
		}
		if s.Size != 0 && s.Size != 1 && s.Size != 3 && s.Size != 5 {
			add("size", "a core has 3 or 5 members (1 for trials, 0 if the seeds found it), not %d", s.Size)
		}
		if s.Size == 0 && len(s.Seeds) == 0 {
			add("seeds", "is empty, and no size is told")
		}
		if s.Size > 1 && len(s.Seeds) == 0 {
			add("seeds", "is empty")
		}
		if s.Listen != "" {
			add("listen", "is for proxies")
		}
	case "gate":
		addr("listen", s.Listen)
		if len(s.Seeds) == 0 {
			add("seeds", "is empty")
		}
		if s.Size != 0 {
			add("size", "is for core members")
		}
	}
	return fs
}

// Flags puts the settings on a command line; what is given there goes before the file.
type Flags struct {
	File  string
	set   Settings
	sized bool // a size is given, which may be 0
}

func (f *Flags) Bind(app *kingpin.Application, kind string) {
	app.Flag("settings", "settings file (JSON); looked at again while running").Short('s').StringVar(&f.File)
	app.Flag("name", "this daemon's name, unique in the fleet").StringVar(&f.set.Name)
	app.Flag("domain", "the domain (zone) that this machine stands in").StringVar(&f.set.Domain)
	app.Flag("addr", "IP:port for the other daemons").StringVar(&f.set.Addr)
	app.Flag("bind", "IP:port to listen on for the other daemons, if it is not addr itself").StringVar(&f.set.Bind)
	app.Flag("from", "IP that pipes to daemons and back ends leave from (default: the system's choice)").StringVar(&f.set.From)
	app.Flag("http", "IP:port for operators, back ends, /ready, /live and /metrics").StringVar(&f.set.Http)
	app.Flag("seed", "address of another daemon (repeat for up to three)").StringsVar(&f.set.Seeds)
	app.Flag("memory-mb", "MiB that the process may take; the runtime is told").IntVar(&f.set.MemoryMb)
	app.Flag("log", "log level: error, warn, info or debug").StringVar(&f.set.Log)
	if kind == "gate" {
		app.Flag("listen", "IP:port for callers").StringVar(&f.set.Listen)
		app.Flag("grace-ms", "how long after SIGTERM the process is ended by force").IntVar(&f.set.GraceMs)
	} else {
		app.Flag("data", "folder for this member's state").StringVar(&f.set.Data)
		app.Flag("size", "how many members found the core: 3 or 5 (1 for trials), 0 if the seeds found it and it grows (default 3)").IsSetByUser(&f.sized).IntVar(&f.set.Size)
		app.Flag("catch-up-ms", "how long after a replacement's start the core has to bear the next loss of a member").IntVar(&f.set.CatchUpMs)
		app.Flag("losses", "how many core members may be lost at once").IntVar(&f.set.Losses)
		app.Flag("found", "this is the fleet's first start ever: without a size, the seeds found the core").BoolVar(&f.set.Found)
	}
}

// Load reads the file, lays the flags over it and checks the whole.
func (f *Flags) Load(kind string) (Settings, []byte, []model.Fault, error) {
	s := Settings{Log: "info"}
	if kind == "core" {
		s.Size = 3
	}
	var raw []byte
	var faults []model.Fault
	if f.File != "" {
		var err error
		if raw, err = os.ReadFile(f.File); err != nil {
			return s, nil, nil, errors.Wrap(err, "settings file")
		}
		if faults, err = model.Decode(raw, &s); err != nil {
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
