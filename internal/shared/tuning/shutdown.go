package tuning

import "time"

// Shutdown of a proxy. Its grace period is the configured time until the process is killed.
const (
	// ShutdownLinger is how long a proxy that shuts down still accepts requests after it reports that it is not ready,
	// so that callers can move to other proxies.
	ShutdownLinger = 1500 * time.Millisecond
	// ShutdownLingerMax is the same if a grace period is configured and long enough: two missed readiness checks
	// at intervals of 1 s, and a little more.
	ShutdownLingerMax = 2500 * time.Millisecond
	// ShutdownTimeout is how long a proxy that shuts down completes its requests if no grace period is configured.
	ShutdownTimeout = 20 * time.Second
	// ShutdownStallTimeout is how long a caller may acknowledge nothing of a response that is being written while the proxy
	// shuts down. It is below ShutdownLingerMax, so that such a caller does not prolong the shutdown.
	ShutdownStallTimeout = 2 * time.Second
	// ShutdownMargin is the part of the grace period that is left unused.
	ShutdownMargin = 300 * time.Millisecond
	// ShutdownReserve is the last part of a shutdown, in which a machine that may be busy forwards the last responses.
	// Targets must have responded before it begins. After half of the reserve the proxy responds in their place.
	ShutdownReserve = 500 * time.Millisecond
	// ShutdownReserveDivisor is the divisor of the time for the shutdown that gives the longest reserve.
	ShutdownReserveDivisor = 8
	// ShutdownWriteTimeout is how much longer a proxy that shuts down waits for responses to be written. It is below
	// ShutdownMargin.
	ShutdownWriteTimeout = 200 * time.Millisecond
	// SignOffWait is how long a proxy that serves no more waits until the leader has removed it from the membership. An election
	// and the gathering of tables fit into it.
	SignOffWait = 3 * time.Second
	// ShutdownPoll is how often a proxy that shuts down checks whether all responses are written.
	ShutdownPoll = 5 * time.Millisecond
)
