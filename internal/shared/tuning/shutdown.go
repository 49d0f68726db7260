package tuning

import "time"

// Shutdown of a proxy. Its grace period is the configured time until the process is killed.
const (
	// ShutdownLinger is how long a stopping proxy goes on taking requests after it is unready, so that callers
	// move away.
	ShutdownLinger = 1500 * time.Millisecond
	// ShutdownLingerMax is the same where a grace period is configured and long enough: two missed checks at
	// 1 s, and a little.
	ShutdownLingerMax = 2500 * time.Millisecond
	// ShutdownTimeout is how long a stopping proxy finishes its requests if no grace period is configured.
	ShutdownTimeout = 20 * time.Second
	// ShutdownMargin is how much of the grace period it leaves unused.
	ShutdownMargin = 300 * time.Millisecond
	// ShutdownReserve is how long before the end of its time targets must respond to a stopping proxy: their last
	// responses must still be forwarded, by a machine that may be busy. After half of it the proxy responds
	// by itself.
	ShutdownReserve = 500 * time.Millisecond
	// ShutdownReserveParts is the divisor of a short time that gives a shorter reserve.
	ShutdownReserveParts = 8
	// ShutdownWriteTimeout is how much longer a stopping proxy waits for responses to be written: within
	// ShutdownMargin.
	ShutdownWriteTimeout = 200 * time.Millisecond
	// ShutdownPoll is how often it checks that they are.
	ShutdownPoll = 5 * time.Millisecond
)
