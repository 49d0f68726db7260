// The settings of a daemon and of the platform that it runs on.

package daemon

import (
	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
)

// Settings are the settings of one daemon. The configuration of services and routes is not part of them.
type Settings struct {
	// Name is the daemon's name, unique in the fleet.
	Name string `koanf:"name" json:"name"`
	// Domain is the daemon's failure domain (zone).
	Domain string `koanf:"domain" json:"domain"`
	// Addr is the IP:port at which other daemons reach this one.
	Addr string `koanf:"addr" json:"addr"`
	// Bind is the IP:port to listen on for other daemons. If empty, Addr is used.
	Bind string `koanf:"bind" json:"bind,omitempty"`
	// LocalIP is the local IP of outgoing connections. If empty, the system chooses it.
	LocalIP string `koanf:"from" json:"from,omitempty"`
	// HTTP is the IP:port of the HTTP API.
	HTTP string `koanf:"http" json:"http"`
	// Listen is the IP:port for callers. Proxies only.
	Listen string `koanf:"listen" json:"listen,omitempty"`
	// Seeds are the addresses of other daemons that are contacted first.
	Seeds []string `koanf:"seeds" json:"seeds"`
	// Data is the data directory. Control daemons only.
	Data string `koanf:"data" json:"data,omitempty"`
	// Size is the number of members that bootstrap the control plane. If 0, the seeds bootstrap it.
	Size int `koanf:"size" json:"size,omitempty"`
	// LogLevel is the log level: error, warn, info or debug.
	LogLevel string `koanf:"log" json:"log,omitempty"`
	// Bootstrap is set for the first start of the fleet: if Size is 0, the seeds then bootstrap the control plane.
	Bootstrap bool `koanf:"found" json:"found,omitempty"`
	// Domains are all failure domains of the fleet, empty if they are not known in advance.
	Domains []string `koanf:"domains" json:"domains,omitempty"`
	// MemoryMb is the memory limit of the process in MiB. 0 means no limit.
	MemoryMb int `koanf:"memory_mb" json:"memory_mb,omitempty"`
	// GraceMs is the time in ms between SIGTERM and SIGKILL. 0 means unknown.
	GraceMs int `koanf:"grace_ms" json:"grace_ms,omitempty"`
	// RetryRatio, RetryWindowMs and RetrySlack set the retry budget of each service over all proxies: the ratio of
	// retries to requests in a window, the length of the window in ms, and the number of retries allowed on top. 0 means
	// the built-in default.
	RetryRatio    float64 `koanf:"retry_ratio" json:"retry_ratio,omitempty"`
	RetryWindowMs int     `koanf:"retry_window_ms" json:"retry_window_ms,omitempty"`
	RetrySlack    int     `koanf:"retry_slack" json:"retry_slack,omitempty"`
	// CatchUpMs is the time in ms after the start of a replacement within which the control plane must tolerate the
	// next loss of a member, and ToleratedLosses the number of members that may be lost at once. 0 means the built-in
	// default.
	CatchUpMs       int `koanf:"catch_up_ms" json:"catch_up_ms,omitempty"`
	ToleratedLosses int `koanf:"losses" json:"losses,omitempty"`
	// ReadyWhenEmptied makes a proxy report ready to callers even while its domain is emptied.
	ReadyWhenEmptied bool `koanf:"ready_when_emptied" json:"ready_when_emptied,omitempty"`
}

// LoadedSettings is the result of reading the settings.
type LoadedSettings struct {
	Settings Settings
	Raw      []byte         // text of the settings file, nil if there is none
	Faults   []config.Fault // why the settings are invalid, by their names; empty if they are valid
}

// Platform holds what differs between the platforms that the daemons run on.
type Platform struct {
	// Load reads the settings. If nil, they are read from flags and a settings file. If the text can't be decoded,
	// the result still holds it in Raw.
	Load func() (LoadedSettings, error)
	// Headers are the names of the headers of requests and responses.
	Headers reverseproxy.Headers
}

// DefaultPlatform returns the platform with settings from flags and a settings file, and the default headers.
func DefaultPlatform() Platform { return Platform{Headers: reverseproxy.DefaultHeaders()} }
