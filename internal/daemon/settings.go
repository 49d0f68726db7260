// This file is a daemon's settings.

package daemon

import (
	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
)

// Settings are a daemon's own: its place in the fleet, not what the fleet serves.
type Settings struct {
	// Name is the daemon's, unique in the fleet.
	Name string `koanf:"name" json:"name"`
	// Domain is its failure domain (zone).
	Domain string `koanf:"domain" json:"domain"`
	// Addr is the IP:port at which other daemons reach it.
	Addr string `koanf:"addr" json:"addr"`
	// Bind is the IP:port to listen on for them; "": Addr.
	Bind string `koanf:"bind" json:"bind,omitempty"`
	// LocalIP is the IP that connections leave from; "": the system's choice.
	LocalIP string `koanf:"from" json:"from,omitempty"`
	// HTTP is the IP:port of its HTTP API.
	HTTP string `koanf:"http" json:"http"`
	// Listen is the IP:port for callers; proxies only.
	Listen string `koanf:"listen" json:"listen,omitempty"`
	// Seeds are the addresses of some other daemons.
	Seeds []string `koanf:"seeds" json:"seeds"`
	// Data is the folder of its stored state; control daemons only.
	Data string `koanf:"data" json:"data,omitempty"`
	// Size is how many members bootstrap the control plane; 0: the seeds do.
	Size int `koanf:"size" json:"size,omitempty"`
	// LogLevel is error, warn, info or debug.
	LogLevel string `koanf:"log" json:"log,omitempty"`
	// Bootstrap says that this is the fleet's first start ever: without a size, the seeds bootstrap the control plane
	// then.
	Bootstrap bool `koanf:"found" json:"found,omitempty"`
	// Domains are all domains of the fleet, if they are known beforehand.
	Domains []string `koanf:"domains" json:"domains,omitempty"`
	// MemoryMb is how much memory the process may take, in MiB; 0: not bounded.
	MemoryMb int `koanf:"memory_mb" json:"memory_mb,omitempty"`
	// GraceMs is how long after SIGTERM the process is ended by force, in ms; 0: not known.
	GraceMs int `koanf:"grace_ms" json:"grace_ms,omitempty"`
	// RetryRatio, RetryWindowMs and RetrySlack bound retries, per service and over all proxies: the ratio of retries
	// to requests in a window, and how many more; 0: the program's own.
	RetryRatio    float64 `koanf:"retry_ratio" json:"retry_ratio,omitempty"`
	RetryWindowMs int     `koanf:"retry_window_ms" json:"retry_window_ms,omitempty"`
	RetrySlack    int     `koanf:"retry_slack" json:"retry_slack,omitempty"`
	// CatchUpMs is how long after the start of a replacement the control plane has to bear the next loss of a member,
	// and ToleratedLosses how many members may be lost at once; 0: the program's own.
	CatchUpMs       int `koanf:"catch_up_ms" json:"catch_up_ms,omitempty"`
	ToleratedLosses int `koanf:"losses" json:"losses,omitempty"`
	// ReadyWhenEmptied has a proxy stay ready for callers while its domain is emptied.
	ReadyWhenEmptied bool `koanf:"ready_when_emptied" json:"ready_when_emptied,omitempty"`
}

// LoadedSettings are settings as they were read.
type LoadedSettings struct {
	Settings Settings
	Raw      []byte         // the text that they were read from
	Faults   []config.Fault // why they can't be used, by the settings' names
}

// Platform is what differs between platforms that the daemons run on.
type Platform struct {
	// Load reads the settings; nil: they come from flags and a file. With an error of the text it still returns the
	// text.
	Load func() (LoadedSettings, error)
	// Headers are the names of the headers that requests carry.
	Headers reverseproxy.Headers
}

// DefaultPlatform returns the product's own platform: flags and a settings file, and its own headers.
func DefaultPlatform() Platform { return Platform{Headers: reverseproxy.DefaultHeaders()} }
