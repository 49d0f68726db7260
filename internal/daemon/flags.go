// Reading a daemon's settings from the command line and the settings file.

package daemon

import (
	"os"
	"reflect"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// defaultSize is the number of members that bootstrap the control plane if neither file nor flags set it.
const defaultSize = 3

// Flags holds the settings given on the command line. They override the settings file.
type Flags struct {
	File      string   // path of the settings file, empty for none
	given     Settings // values of the flags, zero for those not given
	sizeGiven bool     // whether --size was given, since 0 is a valid size
}

// Bind defines the flags for a kind of daemon on a command line.
func (f *Flags) Bind(app *kingpin.Application, kind wire.DaemonKind) {
	app.Flag("settings", "settings file (JSON); reloaded when it changes").Short('s').StringVar(&f.File)
	app.Flag("name", "this daemon's name, unique in the fleet").StringVar(&f.given.Name)
	app.Flag("domain", "failure domain (zone) of this machine").StringVar(&f.given.Domain)
	app.Flag("addr", "IP:port at which other daemons reach this one").StringVar(&f.given.Addr)
	app.Flag("bind", "IP:port to listen on for other daemons (default: --addr)").StringVar(&f.given.Bind)
	app.Flag("from", "local IP of outgoing connections to daemons and back ends (default: chosen by the system)").StringVar(&f.given.LocalIP)
	app.Flag("http", "IP:port of the HTTP API: operators, back ends, /ready, /live and /metrics").StringVar(&f.given.HTTP)
	app.Flag("seed", "address of another daemon (repeatable, up to three)").StringsVar(&f.given.Seeds)
	app.Flag("memory-mb", "memory limit of the process in MiB, which also sets the soft limit of the Go runtime").IntVar(&f.given.MemoryMb)
	app.Flag("log", "log level: error, warn, info or debug").StringVar(&f.given.LogLevel)
	if kind == wire.ProxyDaemon {
		app.Flag("listen", "IP:port for callers").StringVar(&f.given.Listen)
		app.Flag("grace-ms", "time in ms between SIGTERM and SIGKILL").IntVar(&f.given.GraceMs)
	} else {
		app.Flag("data", "data directory of this member").StringVar(&f.given.Data)
		app.Flag("size", "number of members that bootstrap the control plane: 3 or 5 (1 for tests), or 0 to bootstrap with the seeds and grow (default 3)").IsSetByUser(&f.sizeGiven).IntVar(&f.given.Size)
		app.Flag("catch-up-ms", "time in ms after the start of a replacement within which the control plane must tolerate the next loss of a member").IntVar(&f.given.CatchUpMs)
		app.Flag("losses", "number of control plane members that may be lost at once").IntVar(&f.given.ToleratedLosses)
		app.Flag("found", "first start of the fleet: with size 0 the seeds bootstrap the control plane").BoolVar(&f.given.Bootstrap)
	}
}

// Load reads the settings file, applies the flags over it and checks the result. If the file can't be decoded, the
// returned settings still hold its text in Raw.
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

// override replaces settings by the flags that are given.
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
