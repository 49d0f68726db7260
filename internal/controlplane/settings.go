package controlplane

import (
	"time"

	"myrtlefold/internal/shared/wire"
)

// Settings are what a control daemon is given at its start. A zero duration or number means that it isn't given.
type Settings struct {
	// Self is this daemon as it introduces itself to others.
	Self wire.Daemon
	// BootstrapSize is how many members bootstrap the first control plane, 0: as many as there are seeds.
	BootstrapSize int
	// Seeds are the addresses of daemons to introduce itself to. At the first start all members are given the same.
	Seeds []string
	// Bootstrap says that this is the control plane's first start.
	Bootstrap bool
	// Domains are failure domains that operators may name before any target or proxy stands in them.
	Domains []string
	// CatchUpTime is how long after a replacement's start the control plane has to tolerate the next failure.
	CatchUpTime time.Duration
	// MachineLosses is how many machines of the control plane may be lost at once.
	MachineLosses int
	// StopGrace is how long after Stop the process is killed.
	StopGrace time.Duration
}
