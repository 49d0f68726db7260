package controlplane

import (
	"time"

	"myrtlefold/internal/shared/wire"
)

// Settings configure a control daemon. A duration or number of zero means that it is not set.
type Settings struct {
	// Self describes this daemon as it does to other daemons.
	Self wire.Daemon
	// BootstrapSize fixes the number of members. If it is 0, there are as many members at the bootstrap as seeds, and the
	// leader changes the number by itself.
	BootstrapSize int
	// Seeds are the addresses of the daemons that this one contacts first. They must be the same on all members at the
	// bootstrap.
	Seeds []string
	// Bootstrap is set at the control plane's first start.
	Bootstrap bool
	// Domains are failure domains that operators may name while they have no targets or proxies yet.
	Domains []string
	// CatchUpTime is how long after a replacement's start the control plane has to tolerate the next failure, 0 for
	// tuning.CatchUpDefault.
	CatchUpTime time.Duration
	// MachineLosses is how many machines the control plane must be able to lose at once without loss of service, 0 for
	// one.
	MachineLosses int
	// StopGrace is the time from Stop until the process is killed.
	StopGrace time.Duration
}
