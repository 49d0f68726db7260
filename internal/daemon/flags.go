// This file is a daemon's settings as command line and file give them.

package daemon

import (
	"os"
	"reflect"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// defaultSize is how many members bootstrap a control plane, if neither file nor flags say.
const defaultSize = 3

// Flags are the settings as a command line has them; what is given there overrides the file.
type Flags struct {
	File      string // the settings file, "": none
	given     Settings
	sizeGiven bool // a size is given, which may be 0
}

// Bind puts the flags for a kind of daemon on a command line.
func (f *Flags) Bind(app *kingpin.Application, kind wire.DaemonKind) {
	app.Flag("settings", "settings file (JSON); looked at again while running").Short('s').StringVar(&f.File)
	app.Flag("name", "this daemon's name, unique in the fleet").StringVar(&f.given.Name)
	app.Flag("domain", "the domain (zone) that this machine stands in").StringVar(&f.given.Domain)
	app.Flag("addr", "IP:port for the other daemons").StringVar(&f.given.Addr)
	app.Flag("bind", "IP:port to listen on for the other daemons, if it is not addr itself").StringVar(&f.given.Bind)
	app.Flag("from", "IP that pipes to daemons and back ends leave from (default: the system's choice)").StringVar(&f.given.LocalIP)
	app.Flag("http", "IP:port for operators, back ends, /ready, /live and /metrics").StringVar(&f.given.HTTP)
	app.Flag("seed", "address of another daemon (repeat for up to three)").StringsVar(&f.given.Seeds)
	app.Flag("memory-mb", "MiB that the process may take; the runtime is told").IntVar(&f.given.MemoryMb)
	app.Flag("log", "log level: error, warn, info or debug").StringVar(&f.given.LogLevel)
	if kind == wire.ProxyDaemon {
		app.Flag("listen", "IP:port for callers").StringVar(&f.given.Listen)
		app.Flag("grace-ms", "how long after SIGTERM the process is ended by force").IntVar(&f.given.GraceMs)
	} else {
		app.Flag("data", "folder for this member's state").StringVar(&f.given.Data)
		app.Flag("size", "how many members found the core: 3 or 5 (1 for trials), 0 if the seeds found it and it grows (default 3)").IsSetByUser(&f.sizeGiven).IntVar(&f.given.Size)
		app.Flag("catch-up-ms", "how long after a replacement's start the core has to bear the next loss of a member").IntVar(&f.given.CatchUpMs)
		app.Flag("losses", "how many core members may be lost at once").IntVar(&f.given.ToleratedLosses)
		app.Flag("found", "this is the fleet's first start ever: without a size, the seeds found the core").BoolVar(&f.given.Bootstrap)
	}
}

// Load reads the file, puts the flags in place of what it says, and checks the result. With an error of the file's
// text it still returns the text.
func (f *Flags) Load(kind wire.DaemonKind) (LoadedSettings, error) {
	loaded := LoadedSettings{Settings: Settings{LogLevel: "info"}}
	settings := &loaded.Settings
	if kind == wire.ControlDaemon {
		settings.Size = defaultSize
	}
	if f.File != "" {
		var err error
		if loaded.Raw, err = os.ReadFile(f.File); err != nil {
			return loaded, errors.Wrap(err, "settings file")
		}
		if loaded.Faults, err = config.Decode(loaded.Raw, settings); err != nil {
			return loaded, errors.Wrapf(err, "settings file %s", f.File)
		}
	}
	f.override(settings)
	loaded.Faults = append(loaded.Faults, settings.Check(kind)...)
	return loaded, nil
}

// override puts the flags that are given in place of settings.
func (f *Flags) override(settings *Settings) {
	given, result := reflect.ValueOf(f.given), reflect.ValueOf(settings).Elem()
	for i := range given.NumField() {
		if !given.Field(i).IsZero() {
			result.Field(i).Set(given.Field(i))
		}
	}
	if f.sizeGiven {
		settings.Size = f.given.Size
	}
}
